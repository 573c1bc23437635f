#include "src/sidecar/table_follower.h"

#include <algorithm>
#include <utility>

namespace dewcrank::sidecar {

TableFollower::TableFollower(Clock& clock, RandomSource& random, EventLog& log, ControlStore& store,
                             fleet::NodeDirectory& directory, fleet::Gossip& gossip, policy::RouteTable& table,
                             policy::TableLease& lease, const TableFollowerKnobs& knobs,
                             const TableRefresherKnobs& refresher)
    : clock_(clock),
      random_(random),
      log_(log),
      store_(store),
      directory_(directory),
      gossip_(gossip),
      ranking_(directory),
      table_(table),
      lease_(lease),
      knobs_(knobs),
      pause_(knobs.first_pause),
      refresher_(clock, random, gossip, table, lease, refresher, [this] { refresh(); }) {}

void TableFollower::start() {
    started_ = clock_.now();
    refresher_.start();
    look();
}

void TableFollower::look() {
    const auto interval = table_.isKnown() ? knobs_.look_interval : knobs_.first_look_interval;
    look_timer_ = clock_.startTimer(interval, [this] { look(); });
    probeAhead();
    countDueLooks();
    if (!is_following_ && isDue()) {
        log_.write(Event("store_followed").with("zone", directory_.self().zone()));
        resume();
    }
    if (!isCandidate()) {
        directory_.setStoreUnreachable(false);
    }
}

void TableFollower::countDueLooks() {
    const auto nodes = std::exchange(nodes_at_look_, directory_.otherCount());
    const bool is_settled = table_.isKnown() || nodes == nodes_at_look_;
    looks_due_ = is_settled && isWatcher() ? looks_due_ + 1 : 0;
}

bool TableFollower::isDue() const {
    const bool is_settling = clock_.now() - started_ < knobs_.settling;
    const auto wanted = table_.isKnown() ? knobs_.looks_before_watching : knobs_.first_looks_before_watching;
    return looks_due_ >= (is_settling ? wanted : 1) || isAlone();
}

// Whose turn it is ---------------------------------------------------------------

bool TableFollower::isCandidate() const {
    return ranking_.predecessors(knobs_.candidates).size() < knobs_.candidates;
}

/// Those before it that the store does not answer do not count, and go on trying.
bool TableFollower::isWatcher() const {
    if (isAlone()) {
        return true;
    }
    const auto predecessors = ranking_.predecessors(knobs_.candidates);
    if (predecessors.size() >= knobs_.candidates || directory_.self().is_stopping()) {
        return false;
    }
    const auto zones = directory_.zoneCount();
    const auto wanted = (knobs_.watchers + zones - 1) / zones;
    const auto following = static_cast<std::size_t>(std::count_if(
        predecessors.begin(), predecessors.end(), [](const auto* node) { return !node->record.is_store_away(); }));
    return directory_.self().is_store_away() || following < wanted;
}

bool TableFollower::isAlone() const {
    const auto heard = directory_.lastContact();
    return !heard || clock_.now() - *heard > knobs_.longest_alone;
}

/// Nobody else may notice that those are gone: few nodes call one that has no caller and whose instance is idle.
void TableFollower::probeAhead() {
    const auto predecessors = ranking_.predecessors(knobs_.candidates);
    if (predecessors.size() < knobs_.candidates) {
        for (const auto* node : predecessors) {
            probeIfQuiet(*node);
        }
    } else if (++looks_ % knobs_.looks_between_probes == 0) {
        probeIfQuiet(*ranking_.predecessor());
    }
}

void TableFollower::probeIfQuiet(const fleet::KnownNode& node) {
    if (clock_.now() - node.last_contact > knobs_.longest_quiet) {
        gossip_.probe(node.record.name(), knobs_.probe_timeout, [](bool) {});
    }
}

// Calls to the store ---------------------------------------------------------------

/// After a failed call the store is read: that tells sooner than a watch whether it answers again.
void TableFollower::resume() {
    is_following_ = isWatcher();
    if (!is_following_) {
        return;
    }
    if (revision_ == 0 || failures_ > 0) {
        read();
    } else {
        store_.watchTable(revision_, knobs_.watch_wait,
                          [this](std::optional<TableRead> answer) { onAnswer(std::move(answer), true); });
    }
}

void TableFollower::read() {
    store_.readTable([this, sent = clock_.now()](std::optional<TableRead> answer) {
        adopt(&answer, sent);
        onAnswer(std::move(answer), false);
    });
}

void TableFollower::refresh() {
    store_.readTable([this, sent = clock_.now()](std::optional<TableRead> answer) {
        const bool is_read = adopt(&answer, sent);
        if (!is_read) {
            log_.write(Event("store_failed").with("step", "refresh"));
        }
        refresher_.onReadEnded(is_read);
    });
}

/// A read, not a watch, confirms that the table is the newest; not of a store that has come back from an older copy and
/// lacks a version that is known of: another one, which takes keys away, may be missing as well.
/// @return true if the store has answered.
bool TableFollower::adopt(std::optional<TableRead>* answer, TimePoint sent) {
    if (!*answer) {
        return false;
    }
    gossip_.onStoreEra(store_.era());
    auto& table = (*answer)->table;
    const bool is_newest = (table ? table->version() : 0) >= table_.newestSeen();
    if (table && table_.adopt(std::move(*table))) {
        log_.write(Event("table_adopted").with("version", table_.version()).with("from", "store"));
    }
    table.reset();
    if (is_newest) {
        lease_.onRead(sent);
    }
    return true;
}

/// A watch that goes on over a return of the store is told of changes after a revision that has been given out again:
/// what came before it is read anew.
void TableFollower::onAnswer(std::optional<TableRead> answer, bool is_watch) {
    if (!answer) {
        onFailed();
        return;
    }
    pause_ = knobs_.first_pause;
    failures_ = 0;
    directory_.setStoreUnreachable(false);
    if (answer->table && table_.adopt(std::move(*answer->table))) {
        log_.write(Event("table_adopted").with("version", table_.version()).with("from", "store"));
    }
    gossip_.onStoreEra(store_.era());
    const bool is_same_era = std::exchange(era_, gossip_.storeEra()) == gossip_.storeEra();
    const bool is_outdated = store_.era() < gossip_.storeEra();
    revision_ = (is_watch && !is_same_era) || is_outdated ? 0 : answer->revision;
    resume();
}

void TableFollower::onFailed() {
    log_.write(Event("store_failed").with("step", "table"));
    if (++failures_ >= knobs_.failures_to_leave && isCandidate()) {
        directory_.setStoreUnreachable(true);
    }
    retry_timer_ = clock_.startTimer(nextPause(), [this] { resume(); });
}

Duration TableFollower::nextPause() {
    const auto spread = static_cast<std::uint64_t>(pause_.count());
    const auto wait = pause_ / 2 + Duration(static_cast<std::int64_t>(random_.below(spread)));
    pause_ = std::min(pause_ * 2, knobs_.longest_pause);
    return wait;
}

}  // namespace dewcrank::sidecar
