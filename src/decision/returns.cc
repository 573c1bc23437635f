#include "src/decision/returns.h"

#include <algorithm>
#include <cmath>

namespace dewcrank::decision {

namespace {

constexpr Duration kTenth = 100ms;
/// A caller may return this many tenths after its own: its timer, its connection and the network take a moment.
constexpr std::int64_t kLateTenths = 2;

std::int64_t numberOf(TimePoint at) {
    return at.time_since_epoch() / kTenth;
}

TimePoint startOf(std::int64_t number) {
    return TimePoint(kTenth * number);
}

}  // namespace

Returns::Service& Returns::serviceAt(TimePoint now, const std::string& name) {
    if (services_.size() >= kMaxServices && !services_.contains(name)) {
        services_.erase(std::min_element(services_.begin(), services_.end(), [](const auto& left, const auto& right) {
            return left.second.last_used < right.second.last_used;
        }));
    }
    auto& service = services_[name];
    service.last_used = now;
    return service;
}

void Returns::decay(TimePoint now, Service* service) const {
    const double elapsed = toSeconds(now - service->decayed_at) / toSeconds(knobs_.admitted_average_time);
    const double factor = std::exp(-elapsed);
    for (auto& admitted : service->admitted) {
        admitted *= factor;
    }
    service->decayed_at = now;
}

Returns::Tenth& Returns::tenthAt(Service* service, std::int64_t number) {
    auto& tenth = service->tenths[static_cast<std::size_t>(number) % kTenths];
    if (tenth.number != number) {
        tenth = {};
        tenth.number = number;
        tenth.threshold = random_.unit();
    }
    return tenth;
}

/// A request that has waited for longer than any caller was told is a late one at most within the late tenths; else its
/// deadline is shorter for another reason.
bool Returns::isFor(const Tenth& tenth, Duration since_first) const {
    return tenth.open > 0 && since_first >= tenth.min_since_first - knobs_.tolerance &&
           since_first <= tenth.max_since_first + kTenth * kLateTenths;
}

ReturnKind Returns::classify(TimePoint now, const std::string& service, Duration since_first) {
    auto& it = serviceAt(now, service);
    for (auto number = numberOf(now) - kLateTenths; number <= numberOf(now + knobs_.tolerance); ++number) {
        auto& tenth = tenthAt(&it, number);
        if (isFor(tenth, since_first)) {
            --tenth.open;
            ++totals_.kept;
            return ReturnKind::kKept;
        }
    }
    const bool is_at_once = since_first + knobs_.tolerance < knobs_.min_wait;
    ++(is_at_once ? totals_.at_once : totals_.unreserved);
    return is_at_once ? ReturnKind::kAtOnce : ReturnKind::kUnreserved;
}

void Returns::onDecision(TimePoint now, const Bottleneck& bottleneck, std::uint32_t rank, ReturnKind kind,
                         bool is_admitted) {
    auto& service = serviceAt(now, bottleneck.service);
    service.trend.onRatio(now, bottleneck.admit_ratio);
    decay(now, &service);
    service.admitted[rank % service.admitted.size()] += is_admitted ? 1 : 0;
    totals_.refused_again += kind != ReturnKind::kFirstAttempt && !is_admitted ? 1 : 0;
}

/// At a node that admits few requests, a share of them is less than one in most tenths.
bool Returns::isFree(const Service& service, const Tenth& tenth, std::uint32_t rank) const {
    const auto index = rank % service.admitted.size();
    const double per_tenth = service.admitted[index] * toSeconds(kTenth) / toSeconds(knobs_.admitted_average_time);
    return tenth.reserved[index] < static_cast<std::uint32_t>(per_tenth * knobs_.reserved_share + tenth.threshold);
}

/// @return the first tenth from `begin` until before `end` with free capacity; null if there is none.
Returns::Tenth* Returns::findFree(Service* service, std::uint32_t rank, std::int64_t begin, std::int64_t end) {
    for (auto number = begin; number < end; ++number) {
        auto& tenth = tenthAt(service, number);
        if (isFree(*service, tenth, rank)) {
            return &tenth;
        }
    }
    return nullptr;
}

std::optional<Duration> Returns::reserve(TimePoint now, const std::string& service, const RejectedCaller& caller) {
    const auto usable = fromSeconds(toSeconds(caller.remaining - knobs_.response_time) * knobs_.max_wait_share);
    const auto longest = std::min(usable, knobs_.max_wait);
    if (longest < knobs_.min_wait) {
        return std::nullopt;
    }
    auto& it = serviceAt(now, service);
    decay(now, &it);
    const auto expected_end = now + std::clamp(it.trend.expectedRest(now), knobs_.min_wait, longest);
    auto* tenth = findFree(&it, caller.rank, numberOf(expected_end), numberOf(now + longest) + 1);
    if (tenth == nullptr) {
        tenth = findFree(&it, caller.rank, numberOf(now + knobs_.min_wait), numberOf(expected_end));
    }
    if (tenth == nullptr) {
        return std::nullopt;
    }
    const auto begin = std::max(now + knobs_.min_wait, startOf(tenth->number));
    const auto end = std::min(now + longest, startOf(tenth->number + 1) - 1us);
    const auto wait = begin - now + fromSeconds(random_.unit() * toSeconds(end - begin));
    addReservation(tenth, caller.rank, caller.since_first + wait);
    return wait;
}

void Returns::addReservation(Tenth* tenth, std::uint32_t rank, Duration since_first) {
    tenth->min_since_first = tenth->is_used ? std::min(tenth->min_since_first, since_first) : since_first;
    tenth->max_since_first = std::max(tenth->max_since_first, since_first);
    tenth->is_used = true;
    ++tenth->reserved[rank % tenth->reserved.size()];
    ++tenth->open;
    ++totals_.reserved;
}

}  // namespace dewcrank::decision
