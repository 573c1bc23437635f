#include "src/entry/call_intake.h"

#include <utility>

#include "src/base/http_status.h"

namespace dewcrank::entry {

namespace {

constexpr Duration kNotReadyRetryAfter = 500ms;
constexpr Duration kQuotaUnknownRetryAfter = 500ms;  ///< No shard owner was reachable.

}  // namespace

std::optional<Rejection> CallIntake::rejectionFor(const HttpRequest& request, const policy::RoutePtr& route) const {
    if (!services_.table.isKnown()) {
        return Rejection{kHttpServiceUnavailable, "not-ready", kNotReadyRetryAfter};
    }
    if (route == nullptr && services_.table.isStale()) {
        return Rejection{kHttpServiceUnavailable, "table-behind", services_.access.catch_up_time};
    }
    if (route == nullptr) {
        return Rejection{kHttpNotFound, "no-route", {}};
    }
    if (request.headers.get(services_.names.request_id).empty()) {
        return Rejection{kHttpBadRequest, "no-request-id", {}};
    }
    return std::nullopt;
}

void CallIntake::start(CallId id, HttpRequest request, const Callback& callback) {
    const auto route = services_.table.match(request.headers.get("host"), request.path);
    if (const auto rejection = rejectionFor(request, route)) {
        callback(std::move(request), Rejected{*rejection, route});
        return;
    }
    auto access = checkAccess(services_.clock.now(), services_.table, services_.lease, *route,
                              callerKey(request.headers, services_.names.auth_scheme), services_.access);
    if (access.rejection) {
        callback(std::move(request), Rejected{*access.rejection, route});
        return;
    }
    Admitted admitted{route, std::move(access.tenant), std::nullopt};
    if (admitted.tenant == nullptr || admitted.tenant->rate_per_s() <= 0) {
        callback(std::move(request), std::move(admitted));
        return;
    }
    takeToken(id, std::move(request), std::move(admitted), callback);
}

void CallIntake::takeToken(CallId id, HttpRequest request, Admitted admitted, const Callback& callback) {
    const auto tenant = admitted.tenant;
    waiting_[id] = {std::move(request), std::move(admitted), 0};
    const auto token = services_.quota.take(
        *tenant, [this, id, callback](const quota::TokenResult& result) { onToken(id, result, callback); });
    if (const auto found = waiting_.find(id); found != waiting_.end()) {
        found->second.token = token;
    }
}

void CallIntake::onToken(CallId id, const quota::TokenResult& result, const Callback& callback) {
    auto ended = waiting_.extract(id);
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
                     Rejected{{kHttpTooManyRequests, "quota", result.retry_after}, it.admitted.route});
            return;
        case quota::TokenOutcome::kNoOwner:
            callback(std::move(it.request),
                     Rejected{{kHttpServiceUnavailable, "quota-unknown", kQuotaUnknownRetryAfter}, it.admitted.route});
    }
}

std::vector<std::string> CallIntake::waitingRequests(std::size_t limit) const {
    std::vector<std::string> ids;
    for (const auto& [id, it] : waiting_) {
        if (ids.size() < limit) {
            ids.emplace_back(it.request.headers.get(services_.names.request_id));
        }
    }
    return ids;
}

void CallIntake::cancel(CallId id) {
    if (const auto ended = waiting_.extract(id); !ended.empty()) {
        services_.quota.cancel(ended.mapped().token);
    }
}

}  // namespace dewcrank::entry
