/// @file
/// What an entry asks before a request becomes a call, in this order: is there a table, does the request have a route
/// and an id, who calls, and is there room in the caller's quota. What is beyond its quota is turned away before it
/// counts as demand for anything.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <variant>

#include "src/entry/access_check.h"
#include "src/ports/clock.h"
#include "src/quota/quota_client.h"

namespace dewcrank::entry {

/// A request that may become a call.
struct Admitted {
    policy::RoutePtr route;
    policy::TenantPtr tenant;           ///< Null if it has none.
    std::optional<quota::Token> token;  ///< To be given back if the request does not run.
};

/// What a request is turned away with, and its route if it has one.
struct Rejected {
    Rejection rejection;
    policy::RoutePtr route;
};

/// What the intake goes by. Outlives it.
struct IntakeServices {
    Clock& clock;
    const policy::RouteTable& table;
    const policy::TableLease& lease;
    quota::QuotaClient& quota;
    const HeaderNames& names;
    AccessKnobs access;
};

class CallIntake {
public:
    using CallId = std::uint64_t;
    using Outcome = std::variant<Admitted, Rejected>;
    /// Gets the request back as it was handed in.
    using Callback = std::function<void(HttpRequest, Outcome)>;

    explicit CallIntake(IntakeServices services) : services_(services) {}

    /// Calls back exactly once, at once or later, unless the request is cancelled.
    /// @param number chosen by the caller, for `cancel` and `isWaiting`.
    void start(CallId id, HttpRequest request, const Callback& callback);
    void cancel(CallId id);
    [[nodiscard]] bool isWaiting(CallId id) const { return waiting_.contains(id); }
    [[nodiscard]] std::size_t waitingCount() const { return waiting_.size(); }

private:
    /// One that waits for its token.
    struct Waiting {
        HttpRequest request;
        Admitted admitted;
        quota::QuotaClient::Number token = 0;
    };
    [[nodiscard]] std::optional<Rejection> rejectionFor(const HttpRequest& request,
                                                        const policy::RoutePtr& route) const;
    void takeToken(CallId id, HttpRequest request, Admitted admitted, const Callback& callback);
    void onToken(CallId id, const quota::TokenResult& result, const Callback& callback);

    IntakeServices services_;
    std::map<CallId, Waiting> waiting_;
};

}  // namespace dewcrank::entry
