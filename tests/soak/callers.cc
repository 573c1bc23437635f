#include "tests/soak/callers.h"

#include <cmath>
#include <utility>

#include "platform/header_names.h"
#include "src/base/http_status.h"

namespace dewcrank::soak {

namespace {

constexpr const char* kHost = "fleet.example";
constexpr Duration kDeadline = 2s;
/// A caller waits on for so long, to see whether an answer still comes.
constexpr Duration kPatience = 1s;
constexpr double kLeaveShare = 0.05;
constexpr std::uint64_t kLatestLeaveUs = 100'000;
constexpr const char* kUnrepeatable = "/sign/";
constexpr std::size_t kTriesForNode = 8;
constexpr Duration kCrashGap = 230ms;
constexpr const char* kQuarantined = "quarantined\n";  ///< Body of the node's refusal.

}  // namespace

Callers::Callers(adapters::EventLoop& loop, Fleet& fleet)
    : loop_(loop), fleet_(fleet), client_(loop, adapters::HttpLimits{}), names_(platform::headerNames()) {}

void Callers::sendNext() {
    const double gap = -std::log(1 - fleet_.random().unit()) / per_second_;
    next_ += Duration(static_cast<std::int64_t>(gap * 1e6));
    timer_ = loop_.startTimer(next_ - loop_.now(), [this] {
        const auto& routes = fleet_.callerRoutes();
        const auto& route = routes[fleet_.random().below(routes.size())];
        send(route, route + "x", resends_);
        sendNext();
    });
}

/// One that may run twice and one that may not.
void Callers::startCrashing() {
    ++crash_number_;
    sendCrashing(0);
}

void Callers::sendCrashing(std::size_t place) {
    const std::string route = place % 2 == 0 ? "/work/" : kUnrepeatable;
    send(route, route.substr(0, route.size() - 1) + std::string(standins::kCrashWord) + std::to_string(crash_number_),
         resends_);
    crash_timer_ = loop_.startTimer(kCrashGap, [this, place] { sendCrashing(place + 1); });
}

void Callers::send(const std::string& route, const std::string& path, int resends) {
    auto entry = static_cast<std::size_t>(fleet_.random().below(fleet_.size()));
    for (std::size_t tries = 0; tries < kTriesForNode && !fleet_.takesCallers(entry); ++tries) {
        entry = static_cast<std::size_t>(fleet_.random().below(fleet_.size()));
    }
    const auto number = ++last_number_;
    CallerRequest request;
    request.id = "c" + std::to_string(number);
    request.route = route;
    request.path = path;
    request.is_repeatable = route != kUnrepeatable;
    request.entry = entry;
    request.sent = loop_.now();
    request.deadline = kDeadline;
    request.key = fleet_.pickKey();
    auto* seen = &fleet_.seen().addRequest(std::move(request));
    HttpRequest message;
    message.method = seen->is_repeatable ? "GET" : "POST";
    message.path = path;
    message.headers.set("Host", kHost);
    message.headers.set(names_.request_id, seen->id);
    message.headers.set(names_.deadline_ms, std::to_string(toMilliseconds(kDeadline)));
    message.headers.set("Authorization", names_.auth_scheme + " " + seen->key);
    message.headers.set(names_.tenant, "forged");
    auto& open = open_[number];
    open.attempt = client_.send(
        fleet_.node(entry).callers.text(), std::move(message), kDeadline + kPatience,
        [this, number, seen, resends](const AttemptResult& result) { onEnded(number, seen, resends, result); });
    if (fleet_.random().unit() < kLeaveShare) {
        const auto wait = Duration(static_cast<std::int64_t>(1 + fleet_.random().below(kLatestLeaveUs)));
        open.leaves = loop_.startTimer(wait, [this, number, seen] {
            seen->has_left = true;
            seen->ended = loop_.now();
            const auto ended = open_.extract(number);
        });
    }
}

void Callers::onEnded(std::uint64_t number, CallerRequest* request, int resends, const AttemptResult& result) {
    const auto ended = open_.extract(number);
    request->ended = loop_.now();
    request->was_taken = result.outcome != AttemptOutcome::kNotSent;
    request->status = result.outcome == AttemptOutcome::kResponded ? result.response.status : 0;
    const auto& response = result.response;
    request->is_whole = response.headers.has(names_.server_stamp) && response.body.starts_with(request->id + " ");
    request->is_quarantined = request->status == kHttpServiceUnavailable && response.body == kQuarantined;
    if (request->status == kHttpServiceUnavailable && resends > 0) {
        send(request->route, request->path, resends - 1);
    }
}

}  // namespace dewcrank::soak
