#include "src/sidecar/table_watcher.h"

#include <algorithm>
#include <utility>

namespace dewcrank::sidecar {

namespace {
constexpr std::string_view kWatch = "watch";
}  // namespace

TableWatcher::TableWatcher(Clock& clock, RandomSource& random, EventLog& log, ControlStore& store,
                           fleet::NodeDirectory& directory, fleet::Gossip& gossip, policy::RouteTable& table,
                           policy::TableLease& lease, const TableWatcherKnobs& knobs,
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
      backoff_(knobs.min_backoff),
      refresher_(clock, random, directory, gossip, table, lease, refresher, [this] { return refresh(); }) {
    table_.signalAdopted().connect([this] { onTableAdopted(); });
}

void TableWatcher::start() {
    started_ = clock_.now();
    refresher_.start();
    check();
}

void TableWatcher::check() {
    const auto interval = table_.isKnown() ? knobs_.check_interval : knobs_.first_check_interval;
    check_timer_ = clock_.startTimer(interval, [this] { check(); });
    probePredecessors();
    countPositiveChecks();
    if (!is_watching_ && isDue()) {
        log_.write(Event("store_followed").with("zone", directory_.self().zone()));
        startNextCall();
    }
    if (!isCandidate()) {
        directory_.setStoreUnreachable(false);
    }
}

void TableWatcher::countPositiveChecks() {
    const auto nodes = std::exchange(nodes_at_check_, directory_.otherCount());
    const bool is_stable = table_.isKnown() || nodes == nodes_at_check_;
    positive_checks_ = is_stable && isWatcher() ? positive_checks_ + 1 : 0;
}

bool TableWatcher::isDue() const {
    const bool is_starting = clock_.now() - started_ < knobs_.startup_period;
    const auto wanted = table_.isKnown() ? knobs_.checks_before_watching : knobs_.first_checks_before_watching;
    return positive_checks_ >= (is_starting ? wanted : 1) || isIsolated();
}

// Choice of the watchers ---------------------------------------------------------

bool TableWatcher::isCandidate() const {
    return ranking_.predecessors(knobs_.candidates).size() < knobs_.candidates;
}

/// Predecessors that report the store as unreachable are not counted. A node that reports so itself keeps trying.
bool TableWatcher::isWatcher() const {
    if (isIsolated()) {
        return true;
    }
    const auto predecessors = ranking_.predecessors(knobs_.candidates);
    if (predecessors.size() >= knobs_.candidates || directory_.self().is_stopping()) {
        return false;
    }
    const auto zones = directory_.zoneCount();
    const auto wanted = (knobs_.watchers + zones - 1) / zones;
    const auto watching = static_cast<std::size_t>(std::count_if(
        predecessors.begin(), predecessors.end(), [](const auto* node) { return !node->record.is_store_away(); }));
    return directory_.self().is_store_away() || watching < wanted;
}

bool TableWatcher::isIsolated() const {
    const auto contact = directory_.lastContact();
    return !contact || clock_.now() - *contact > knobs_.max_isolation;
}

/// Detects failed predecessors, which may receive no other requests.
void TableWatcher::probePredecessors() {
    const auto predecessors = ranking_.predecessors(knobs_.candidates);
    if (predecessors.size() < knobs_.candidates) {
        for (const auto* node : predecessors) {
            probeIfNoRecentContact(*node);
        }
    } else if (++checks_ % knobs_.checks_between_probes == 0) {
        probeIfNoRecentContact(*ranking_.predecessor());
    }
}

void TableWatcher::probeIfNoRecentContact(const fleet::KnownNode& node) {
    if (clock_.now() - node.last_contact > knobs_.max_silence) {
        gossip_.probe(node.record.name(), knobs_.probe_timeout, [](bool) {});
    }
}

// Calls to the store -------------------------------------------------------------

/// Starts the next call. After a failure it is a read, which shows sooner than a watch whether the store responds.
void TableWatcher::startNextCall() {
    is_watching_ = isWatcher();
    if (!is_watching_) {
        return;
    }
    if (revision_ == 0 || failures_ > 0) {
        read();
    } else {
        watch();
    }
}

void TableWatcher::watch() {
    is_watch_open_ = true;
    store_.watchTable(revision_, knobs_.watch_timeout,
                      [this, id = ++watch_id_, sent = clock_.now()](std::optional<TableRead> response) {
                          if (id == watch_id_) {
                              is_watch_open_ = false;
                              onResponse(std::move(response), {kWatch, sent});
                          }
                      });
}

void TableWatcher::onTableAdopted() {
    if (is_watch_open_) {
        lag_timer_ = clock_.startTimer(knobs_.max_watch_lag, [this, id = watch_id_] { replaceWatch(id); });
    }
}

/// Starts the new watch at the same revision: it reports at once what the replaced one should have.
void TableWatcher::replaceWatch(std::uint64_t watch_id) {
    if (is_watch_open_ && watch_id == watch_id_) {
        log_.write(Event("watch_replaced").with("version", table_.version()));
        is_watch_open_ = false;
        ++watch_id_;
        startNextCall();
    }
}

void TableWatcher::read() {
    store_.readTable([this, sent = clock_.now()](std::optional<TableRead> response) {
        const EndedCall call{"read", sent};
        adopt(&response, call);
        onResponse(std::move(response), call);
    });
}

/// Starts no read while the watcher's own calls are reads: they show the same.
bool TableWatcher::refresh() {
    if (is_watching_ && !is_watch_open_) {
        return false;
    }
    store_.readTable([this, sent = clock_.now()](std::optional<TableRead> response) {
        onRefreshed(std::move(response), {"refresh", sent});
    });
    return true;
}

/// The result counts for the watcher as well: its open watch may hear nothing.
void TableWatcher::onRefreshed(std::optional<TableRead> response, const EndedCall& call) {
    const bool has_response = adopt(&response, call);
    if (has_response) {
        failures_ = 0;
        directory_.setStoreUnreachable(false);
    } else {
        logFailed("refresh", call);
        countFailure();
    }
    refresher_.onReadEnded(has_response);
}

/// Adopts the table of a read. A linearizable read also confirms the table's lease, unless the store returned an older
/// version than has been seen: it was restored from a copy, and may lack further versions that revoke keys.
/// @return true if the store responded.
bool TableWatcher::adopt(std::optional<TableRead>* response, const EndedCall& call) {
    if (!*response) {
        return false;
    }
    gossip_.onStoreEra(store_.era());
    auto& table = (*response)->table;
    const bool is_newest = (table ? table->version() : 0) >= table_.newestSeen();
    if (table) {
        adoptTable(std::move(*table), call);
    }
    table.reset();
    if (is_newest) {
        lease_.onRead(call.sent);
    }
    return true;
}

void TableWatcher::adoptTable(wire::RouteTable table, const EndedCall& call) {
    if (table_.adopt(std::move(table))) {
        log_.write(Event("table_adopted")
                       .with("version", table_.version())
                       .with("from", "store")
                       .with("call", call.name)
                       .with("waited_ms", toMilliseconds(clock_.now() - call.sent)));
    }
}

void TableWatcher::logFailed(std::string_view step, const EndedCall& call) {
    log_.write(Event("store_failed")
                   .with("step", step)
                   .with("call", call.name)
                   .with("waited_ms", toMilliseconds(clock_.now() - call.sent)));
}

/// A watch that spans a restore of the store starts at a revision that was assigned twice and may miss changes: the
/// table is read again.
void TableWatcher::onResponse(std::optional<TableRead> response, const EndedCall& call) {
    if (!response) {
        onFailed(call);
        return;
    }
    backoff_ = knobs_.min_backoff;
    failures_ = 0;
    directory_.setStoreUnreachable(false);
    if (response->table) {
        adoptTable(std::move(*response->table), call);
    }
    gossip_.onStoreEra(store_.era());
    const bool is_same_era = std::exchange(era_, gossip_.storeEra()) == gossip_.storeEra();
    const bool is_outdated = store_.era() < gossip_.storeEra();
    const bool is_watch = call.name == kWatch;
    revision_ = (is_watch && !is_same_era) || is_outdated ? 0 : response->revision;
    startNextCall();
}

void TableWatcher::onFailed(const EndedCall& call) {
    logFailed("table", call);
    countFailure();
    retry_timer_ = clock_.startTimer(nextBackoff(), [this] { startNextCall(); });
}

void TableWatcher::countFailure() {
    if (++failures_ >= knobs_.failures_to_hand_over && is_watching_ && isCandidate()) {
        directory_.setStoreUnreachable(true);
    }
}

Duration TableWatcher::nextBackoff() {
    const auto spread = static_cast<std::uint64_t>(backoff_.count());
    const auto wait = backoff_ / 2 + Duration(static_cast<std::int64_t>(random_.below(spread)));
    backoff_ = std::min(backoff_ * 2, knobs_.max_backoff);
    return wait;
}

}  // namespace dewcrank::sidecar
