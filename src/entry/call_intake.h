/// @file
/// Checks of a request at its entry node before it becomes a call, in this order: route table present, route found,
/// request id present, caller authenticated, tenant within its quota. Rejected requests do not count as demand.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "src/entry/access_check.h"
#include "src/ports/clock.h"
#include "src/quota/quota_client.h"

namespace dewcrank::entry {

/// A request that has passed all checks.
struct Admitted {
    policy::RoutePtr route;
    policy::TenantPtr tenant;           ///< Null if the request has none.
    std::optional<quota::Token> token;  ///< Quota token; return it if the request does not run.
};

/// A request that has failed a check.
struct Rejected {
    Rejection rejection;
    policy::RoutePtr route;  ///< Null if no route matches.
};

/// Dependencies of the intake; they outlive it.
struct IntakeServices {
    Clock& clock;
    const policy::RouteTable& table;
    const policy::TableLease& lease;
    quota::QuotaClient& quota;
    const HeaderNames& names;
    AccessKnobs access;
};

/// Runs the checks, and waits for quota tokens if they must be requested from another node.
class CallIntake {
public:
    using CallId = std::uint64_t;
    using Outcome = std::variant<Admitted, Rejected>;
    /// Receives the request unchanged.
    using Callback = std::function<void(HttpRequest, Outcome)>;

    explicit CallIntake(IntakeServices services) : services_(services) {}

    /// Calls back exactly once, synchronously or later, unless the request is cancelled.
    /// @param id for `cancel` and `isWaiting`; must be unique among waiting requests.
    void start(CallId id, HttpRequest request, const Callback& callback);
    /// Cancels a waiting request; its callback is not called. Ignores other ids.
    void cancel(CallId id);
    /// @return true while the request waits for a quota token.
    [[nodiscard]] bool isWaiting(CallId id) const { return waiting_.contains(id); }
    /// @return the ids of the requests that wait for a quota token, from their headers; `limit` at most.
    [[nodiscard]] std::vector<std::string> waitingRequests(std::size_t limit) const;
    [[nodiscard]] std::size_t waitingCount() const { return waiting_.size(); }

private:
    /// A request that waits for its quota token.
    struct Waiting {
        HttpRequest request;
        Admitted admitted;
        quota::QuotaClient::RequestId token = 0;
    };
    [[nodiscard]] std::optional<Rejection> rejectionFor(const HttpRequest& request,
                                                        const policy::RoutePtr& route) const;
    void takeToken(CallId id, HttpRequest request, Admitted admitted, const Callback& callback);
    void onToken(CallId id, const quota::TokenResult& result, const Callback& callback);

    IntakeServices services_;
    std::map<CallId, Waiting> waiting_;
};

}  // namespace dewcrank::entry
