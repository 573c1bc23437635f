#include "src/entry/call_intake.h"

#include <utility>

#include "src/base/http_status.h"

namespace dewcrank::entry {

namespace {

constexpr Duration kNotReadyRetryAfter = 500ms;
/// An owner of tokens is missing for some seconds at most, most often for less than one.
constexpr Duration kNoOwnerRetryAfter = 500ms;

}  // namespace

std::optional<Refusal> CallIntake::refusalOf(const HttpRequest& request, const policy::RoutePtr& route) const {
    if (!services_.table.isKnown()) {
        return Refusal{kHttpServiceUnavailable, "not-ready", kNotReadyRetryAfter};
    }
    if (route == nullptr && services_.table.isStale()) {
        return Refusal{kHttpServiceUnavailable, "table-behind", services_.access.catch_up};
    }
    if (route == nullptr) {
        return Refusal{kHttpNotFound, "no-route", {}};
    }
    if (request.headers.get(services_.names.request_id).empty()) {
        return Refusal{kHttpBadRequest, "no-request-id", {}};
    }
    return std::nullopt;
}

void CallIntake::start(RequestId number, HttpRequest request, const Callback& callback) {
    const auto route = services_.table.match(request.headers.get("host"), request.path);
    if (const auto refusal = refusalOf(request, route)) {
        callback(std::move(request), TurnedAway{*refusal, route});
        return;
    }
    auto access = checkAccess(services_.clock.now(), services_.table, services_.lease, *route,
                              keyIn(request.headers, services_.names.auth_scheme), services_.access);
    if (access.refusal) {
        callback(std::move(request), TurnedAway{*access.refusal, route});
        return;
    }
    Admitted admitted{route, std::move(access.tenant), std::nullopt};
    if (admitted.tenant == nullptr || admitted.tenant->rate_per_s() <= 0) {
        callback(std::move(request), std::move(admitted));
        return;
    }
    takeToken(number, std::move(request), std::move(admitted), callback);
}

void CallIntake::takeToken(RequestId number, HttpRequest request, Admitted admitted, const Callback& callback) {
    const auto tenant = admitted.tenant;
    waiting_[number] = {std::move(request), std::move(admitted), 0};
    const auto token = services_.quota.take(
        *tenant, [this, number, callback](const quota::TokenResult& result) { onToken(number, result, callback); });
    if (const auto found = waiting_.find(number); found != waiting_.end()) {
        found->second.token = token;
    }
}

void CallIntake::onToken(RequestId number, const quota::TokenResult& result, const Callback& callback) {
    auto ended = waiting_.extract(number);
    if (ended.empty()) {
        return;
    }
    auto& it = ended.mapped();
    switch (result.outcome) {
        case quota::TokenOutcome::kGranted:
            it.admitted.token = result.token;
            callback(std::move(it.request), std::move(it.admitted));
            return;
        case quota::TokenOutcome::kOverLimit:
            callback(std::move(it.request),
                     TurnedAway{{kHttpTooManyRequests, "quota", result.retry_after}, it.admitted.route});
            return;
        case quota::TokenOutcome::kNoOwner:
            callback(std::move(it.request),
                     TurnedAway{{kHttpServiceUnavailable, "quota-unknown", kNoOwnerRetryAfter}, it.admitted.route});
    }
}

void CallIntake::cancel(RequestId number) {
    if (const auto ended = waiting_.extract(number); !ended.empty()) {
        services_.quota.cancel(ended.mapped().token);
    }
}

}  // namespace dewcrank::entry
