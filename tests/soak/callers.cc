#include "tests/soak/callers.h"

#include <cmath>
#include <utility>

#include "platform/header_names.h"
#include "src/base/http_status.h"

namespace dewcrank::soak {

namespace {

constexpr const char* kHost = "fleet.example";
constexpr Duration kDeadline = 2s;
/// Time after the deadline in which a late response is still recorded.
constexpr Duration kResponseGrace = 1s;
constexpr double kDisconnectShare = 0.05;
constexpr std::uint64_t kMaxDisconnectDelayUs = 100'000;
constexpr const char* kNonIdempotentRoute = "/sign/";
constexpr std::size_t kMaxNodeDraws = 8;
constexpr Duration kCrashInterval = 230ms;
constexpr const char* kQuarantineBody =
    "quarantined\n";  ///< Response body of a node that rejects a quarantined request.

}  // namespace

Callers::Callers(adapters::EventLoop& loop, Fleet& fleet)
    : loop_(loop), fleet_(fleet), client_(loop, adapters::HttpLimits{}), names_(platform::headerNames()) {}

void Callers::sendNext() {
    const double gap = -std::log(1 - fleet_.random().unit()) / per_second_;
    next_due_ += Duration(static_cast<std::int64_t>(gap * 1e6));
    timer_ = loop_.startTimer(next_due_ - loop_.now(), [this] {
        const auto& routes = fleet_.callerRoutes();
        const auto& route = routes[fleet_.random().below(routes.size())];
        send(route, route + "x", client_retries_);
        sendNext();
    });
}

void Callers::startCrashing() {
    ++crash_path_number_;
    sendCrashing(0);
}

/// Alternates between an idempotent and a non-idempotent route.
void Callers::sendCrashing(std::size_t index) {
    const std::string route = index % 2 == 0 ? "/work/" : kNonIdempotentRoute;
    send(route,
         route.substr(0, route.size() - 1) + std::string(standins::kCrashPathMarker) +
             std::to_string(crash_path_number_),
         client_retries_);
    crash_timer_ = loop_.startTimer(kCrashInterval, [this, index] { sendCrashing(index + 1); });
}

void Callers::send(const std::string& route, const std::string& path, int client_retries) {
    auto entry = static_cast<std::size_t>(fleet_.random().below(fleet_.size()));
    for (std::size_t tries = 0; tries < kMaxNodeDraws && !fleet_.isInRotation(entry); ++tries) {
        entry = static_cast<std::size_t>(fleet_.random().below(fleet_.size()));
    }
    const auto number = ++last_number_;
    CallerRequest request;
    request.id = "c" + std::to_string(number);
    request.route = route;
    request.path = path;
    request.is_idempotent = route != kNonIdempotentRoute;
    request.entry = entry;
    request.sent = loop_.now();
    request.deadline = kDeadline;
    request.key = fleet_.pickKey();
    auto* recorded = &fleet_.observations().addRequest(std::move(request));
    HttpRequest message;
    message.method = recorded->is_idempotent ? "GET" : "POST";
    message.path = path;
    message.headers.set("Host", kHost);
    message.headers.set(names_.request_id, recorded->id);
    message.headers.set(names_.deadline_ms, std::to_string(toMilliseconds(kDeadline)));
    if (!recorded->key.empty()) {
        message.headers.set("Authorization", names_.auth_scheme + " " + recorded->key);
        message.headers.set(names_.tenant, "forged");
    }
    auto& pending = pending_[number];
    pending.attempt = client_.send(fleet_.node(entry).callers.text(), std::move(message), kDeadline + kResponseGrace,
                                   [this, number, recorded, client_retries](const AttemptResult& result) {
                                       onCompleted(number, recorded, client_retries, result);
                                   });
    if (fleet_.random().unit() < kDisconnectShare) {
        const auto wait = Duration(static_cast<std::int64_t>(1 + fleet_.random().below(kMaxDisconnectDelayUs)));
        pending.disconnect_timer = loop_.startTimer(wait, [this, number, recorded] {
            recorded->has_disconnected = true;
            recorded->ended = loop_.now();
            const auto ended = pending_.extract(number);
        });
    }
}

void Callers::onCompleted(std::uint64_t number, CallerRequest* request, int client_retries,
                          const AttemptResult& result) {
    const auto ended = pending_.extract(number);
    request->ended = loop_.now();
    request->was_sent = result.outcome != AttemptOutcome::kNotSent;
    if (result.outcome == AttemptOutcome::kResponded) {
        fleet_.observations().recordResponse(result.response, request);
    }
    const auto& response = result.response;
    fleet_.observations().onPassedResponse(request->entry, response);
    request->is_complete = response.headers.has(names_.server_stamp) && response.body.starts_with(request->id + " ");
    request->is_quarantined = request->status == kHttpServiceUnavailable && response.body == kQuarantineBody;
    if (request->status == kHttpServiceUnavailable && client_retries > 0) {
        send(request->route, request->path, client_retries - 1);
    }
}

}  // namespace dewcrank::soak
