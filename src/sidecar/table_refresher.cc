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
      pause_(knobs.first_pause) {}

void TableRefresher::start() {
    if (lease_.isRequired()) {
        drawAge();
        look();
    }
}

void TableRefresher::drawAge() {
    const auto spread = static_cast<std::uint64_t>((knobs_.most_age - knobs_.least_age).count());
    read_age_ = knobs_.least_age + Duration(static_cast<std::int64_t>(random_.below(spread)));
}

void TableRefresher::look() {
    timer_ = clock_.startTimer(knobs_.look_interval, [this] { look(); });
    if (!isActive()) {
        return;
    }
    const auto now = clock_.now();
    const auto age = lease_.age(now);
    if (!age || *age > knobs_.peers_age) {
        gossip_.requestTableAge(knobs_.peers_asked);
    }
    if ((!age || *age > read_age_) && !is_reading_ && now >= next_read_) {
        is_reading_ = true;
        read_();
    }
}

void TableRefresher::onReadEnded(bool is_read) {
    is_reading_ = false;
    drawAge();
    if (is_read) {
        pause_ = knobs_.first_pause;
        return;
    }
    const auto spread = static_cast<std::uint64_t>(pause_.count());
    next_read_ = clock_.now() + pause_ / 2 + Duration(static_cast<std::int64_t>(random_.below(spread)));
    pause_ = std::min(pause_ * 2, knobs_.longest_pause);
}

}  // namespace dewcrank::sidecar
