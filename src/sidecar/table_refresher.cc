#include "src/sidecar/table_refresher.h"

#include <algorithm>
#include <utility>

namespace dewcrank::sidecar {

TableRefresher::TableRefresher(Clock& clock, RandomSource& random, fleet::NodeDirectory& directory,
                               fleet::Gossip& gossip, const policy::RouteTable& table, const policy::TableLease& lease,
                               TableRefresherKnobs knobs, StartRead read)
    : clock_(clock),
      random_(random),
      directory_(directory),
      gossip_(gossip),
      ranking_(directory),
      table_(table),
      lease_(lease),
      knobs_(knobs),
      read_(std::move(read)),
      backoff_(knobs.min_backoff) {}

void TableRefresher::start() {
    drawReadAge();
    check();
}

void TableRefresher::drawReadAge() {
    const auto spread = static_cast<std::uint64_t>((knobs_.max_read_age - knobs_.min_read_age).count());
    random_read_age_ = knobs_.min_read_age + Duration(static_cast<std::int64_t>(random_.below(spread)));
}

void TableRefresher::check() {
    const auto now = clock_.now();
    const auto age = table_.isKnown() ? lease_.age(now).value_or(knobs_.max_read_age) : Duration::zero();
    timer_ = clock_.startTimer(untilNextCheck(age), [this] { check(); });
    if (knobs_.disabled.table_refresh && !decidesAboutKeys()) {
        return;
    }
    if (age <= pollAge()) {
        unanswered_polls_ = 0;
    } else if (now >= next_poll_) {
        next_poll_ = now + (isReader() ? Duration::zero() : knobs_.poll_interval);
        poll();
    }
    if (!is_reading_ && now >= next_read_ && isReadDue(age)) {
        is_reading_ = read_();
    }
}

Duration TableRefresher::untilNextCheck(Duration age) const {
    return std::max(knobs_.check_interval, std::min(pollAge(), knobs_.min_read_age) - age);
}

/// Readers poll the node that reads first, unless it is this one.
void TableRefresher::poll() {
    const auto done = [this](bool has_response) { onPolled(has_response); };
    const auto* first = isReader() ? ranking_.first(directory_.zones().front()) : nullptr;
    if (first != nullptr) {
        gossip_.probe(first->record.name(), knobs_.poll_timeout, done);
    } else {
        gossip_.probeRandom(knobs_.poll_timeout, done);
    }
}

void TableRefresher::onPolled(bool has_response) {
    unanswered_polls_ = has_response ? 0 : unanswered_polls_ + 1;
}

Duration TableRefresher::pollAge() const {
    return isReader() ? readerAge() - knobs_.reader_poll_lead : knobs_.poll_age;
}

bool TableRefresher::isReader() const {
    return ranking_.predecessors(knobs_.readers_per_zone).size() < knobs_.readers_per_zone;
}

bool TableRefresher::isReadDue(Duration age) const {
    return (isReader() && age > readerAge()) || (isCutOff() && age > knobs_.poll_age) ||
           (decidesAboutKeys() && age > random_read_age_);
}

Duration TableRefresher::readerAge() const {
    const auto zones = directory_.zones();
    const auto zone = std::lower_bound(zones.begin(), zones.end(), directory_.self().zone()) - zones.begin();
    const auto rank = ranking_.predecessors(knobs_.readers_per_zone).size();
    return knobs_.first_read_age + knobs_.rank_interval * rank + knobs_.rank_interval * zone / zones.size();
}

void TableRefresher::onReadEnded(bool has_response) {
    is_reading_ = false;
    drawReadAge();
    if (has_response) {
        backoff_ = knobs_.min_backoff;
        return;
    }
    const auto spread = static_cast<std::uint64_t>(backoff_.count());
    next_read_ = clock_.now() + backoff_ / 2 + Duration(static_cast<std::int64_t>(random_.below(spread)));
    backoff_ = std::min(backoff_ * 2, knobs_.max_backoff);
}

}  // namespace dewcrank::sidecar
