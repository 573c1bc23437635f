#include "src/sidecar/table_refresher.h"

#include <algorithm>
#include <utility>

namespace dewcrank::sidecar {

TableRefresher::TableRefresher(Clock& clock, RandomSource& random, fleet::Gossip& gossip,
                               const policy::RouteTable& table, const policy::TableLease& lease,
                               TableRefresherKnobs knobs, std::function<void()> read)
    : clock_(clock),
      random_(random),
      gossip_(gossip),
      table_(table),
      lease_(lease),
      knobs_(knobs),
      read_(std::move(read)),
      backoff_(knobs.min_backoff) {}

void TableRefresher::start() {
    if (lease_.isRequired()) {
        drawReadAge();
        check();
    }
}

void TableRefresher::drawReadAge() {
    const auto spread = static_cast<std::uint64_t>((knobs_.max_read_age - knobs_.min_read_age).count());
    read_age_ = knobs_.min_read_age + Duration(static_cast<std::int64_t>(random_.below(spread)));
}

void TableRefresher::check() {
    timer_ = clock_.startTimer(knobs_.check_interval, [this] { check(); });
    if (!isActive()) {
        return;
    }
    const auto now = clock_.now();
    const auto age = lease_.age(now);
    if (!age || *age > knobs_.peer_request_age) {
        gossip_.requestTableAge(knobs_.peers_per_request);
    }
    if ((!age || *age > read_age_) && !is_reading_ && now >= next_read_) {
        is_reading_ = true;
        read_();
    }
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
