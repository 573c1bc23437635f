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
struct TurnedAway {
    Refusal refusal;
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
    using RequestId = std::uint64_t;
    using Outcome = std::variant<Admitted, TurnedAway>;
    /// Gets the request back as it was handed in.
    using Callback = std::function<void(HttpRequest, Outcome)>;

    explicit CallIntake(IntakeServices services) : services_(services) {}

    /// Calls back exactly once, at once or later, unless the request is cancelled.
    /// @param number chosen by the caller, for `cancel` and `isWaiting`.
    void start(RequestId number, HttpRequest request, const Callback& callback);
    void cancel(RequestId number);
    [[nodiscard]] bool isWaiting(RequestId number) const { return waiting_.contains(number); }
    [[nodiscard]] std::size_t waitingCount() const { return waiting_.size(); }

private:
    /// One that waits for its token.
    struct Waiting {
        HttpRequest request;
        Admitted admitted;
        quota::QuotaClient::RequestId token = 0;
    };
    [[nodiscard]] std::optional<Refusal> refusalOf(const HttpRequest& request, const policy::RoutePtr& route) const;
    void takeToken(RequestId number, HttpRequest request, Admitted admitted, const Callback& callback);
    void onToken(RequestId number, const quota::TokenResult& result, const Callback& callback);

    IntakeServices services_;
    std::map<RequestId, Waiting> waiting_;
};

}  // namespace dewcrank::entry
