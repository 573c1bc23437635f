#include "src/fleet/gossip.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "src/base/http_status.h"

namespace dewcrank::fleet {

namespace {

/// Rumor of the table: the empty name of no record, as every message carries the table version.
const std::string kTableRumor;
/// Random draws per wanted node, as suspected nodes are skipped.
constexpr std::size_t kTriesPerNode = 4;

}  // namespace

Gossip::Gossip(Clock& clock, RandomSource& random, EventLog& log, HttpTransport& nodes, NodeDirectory& directory,
               policy::RouteTable& table, policy::TableLease& lease, GossipKnobs knobs)
    : clock_(clock),
      random_(random),
      log_(log),
      nodes_(clock, nodes),
      directory_(directory),
      table_(table),
      lease_(lease),
      knobs_(knobs),
      rumors_(knobs.rumors) {
    directory_.signalSelfChanged().connect(
        [this] { queueRumor(directory_.self().name(), knobs_.self_change_fanout, Duration::zero()); });
    directory_.signalAddressConflict().connect([this](const std::string& previous, const std::string& claimant) {
        resolveAddressConflict(previous, claimant);
    });
    table_.signalAdopted().connect([this] { pushTable(); });
}

void Gossip::start() {
    scheduleNext();
}

void Gossip::scheduleNext() {
    tick_timer_ = clock_.startTimer(jitter(knobs_.interval), [this] { tick(); });
}

/// Uniform from 0.5 to 1.5 of an interval, so that nodes do not synchronize.
Duration Gossip::jitter(Duration interval) {
    return interval / 2 +
           Duration(static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(interval.count()))));
}

/// Starts an exchange with a random node. Suspected nodes are included, so that a node that responds again receives
/// the changes that it has missed.
void Gossip::tick() {
    if (directory_.otherCount() > 0) {
        exchangeWith(directory_.other(random_.below(directory_.otherCount())).record.name());
    }
    scheduleNext();
}

/// @return names of random nodes that are not suspected, each once; fewer than `limit` if the draws run out.
std::vector<std::string> Gossip::randomNodes(std::size_t limit) {
    std::set<std::string> names;
    for (std::size_t tries = limit * kTriesPerNode; tries > 0 && names.size() < limit; --tries) {
        if (directory_.otherCount() == 0) {
            break;
        }
        const auto& node = directory_.other(random_.below(directory_.otherCount()));
        if (!NodeDirectory::isSuspected(node)) {
            names.insert(node.record.name());
        }
    }
    return {names.begin(), names.end()};
}

wire::Gossip Gossip::makeMessage() const {
    wire::Gossip message;
    message.set_sender(directory_.self().name());
    message.set_sender_address(directory_.self().address());
    message.set_table_version(table_.version());
    message.set_store_era(store_era_);
    message.set_sender_incarnation(directory_.self().incarnation());
    if (const auto age = lease_.age(clock_.now())) {
        message.set_table_age_us(static_cast<std::uint64_t>(age->count()));
    }
    return message;
}

// Rumors ---------------------------------------------------------------------

/// Adds a rumor to the next round, which is sent now if `wait` is zero, else after `wait` unless one is scheduled.
void Gossip::queueRumor(const std::string& name, std::size_t fanout, Duration wait) {
    rumors_.add(name);
    const bool is_immediate = wait == Duration::zero();
    if (next_fanout_ == 0 || is_immediate) {
        rumor_timer_ = clock_.startTimer(wait, [this] { sendRumorRound(); });
    }
    next_fanout_ = std::max(next_fanout_, fanout);
}

/// Sends the table version to table_fanout nodes without the queued records, which would be dropped too early
/// as already known.
void Gossip::pushTable() {
    for (const auto& node : randomNodes(knobs_.table_fanout)) {
        sendRumors(node, {});
    }
    queueRumor(kTableRumor, knobs_.rumor_fanout, Duration::zero());
}

void Gossip::sendRumorRound() {
    const auto fanout = std::exchange(next_fanout_, 0);
    const auto names = rumors_.next(knobs_.max_records);
    for (const auto& node : randomNodes(fanout)) {
        sendRumors(node, names);
    }
    if (!rumors_.empty()) {
        next_fanout_ = knobs_.rumor_fanout;
        rumor_timer_ = clock_.startTimer(jitter(knobs_.rumor_interval), [this] { sendRumorRound(); });
    }
}

void Gossip::sendRumors(const std::string& node, const std::vector<std::string>& names) {
    auto rumor = makeMessage();
    rumor.set_is_rumor(true);
    std::vector<std::string> sent_names;
    std::uint64_t self_sequence = 0;
    for (const auto& name : names) {
        rumors_.onSent(name);
        self_sequence = name == directory_.self().name() ? directory_.self().sequence() : self_sequence;
        if (const auto* record = directory_.record(name)) {
            *rumor.add_records() = *record;
            sent_names.push_back(name);
        }
    }
    send(node, rumor, [this, node, self_sequence, sent_names = std::move(sent_names)](const wire::Gossip* response) {
        onRumorResponse(sent_names, response);
        if (response != nullptr && self_sequence > 0) {
            onSelfCopied(node, self_sequence);
        }
    });
}

// Copies of the own record -----------------------------------------------------

void Gossip::awaitCopies(std::size_t copies, Duration limit, std::function<void()> done) {
    const auto available = std::min(copies, directory_.otherCount());
    if (available == 0) {
        done();
        return;
    }
    const auto id = ++last_copy_wait_;
    auto limit_timer = clock_.startTimer(limit, [this, id] { endCopyWait(id); });
    copy_waits_[id] = {directory_.self().sequence(), available, {}, std::move(done), std::move(limit_timer)};
    queueRumor(directory_.self().name(), knobs_.self_change_fanout, Duration::zero());
}

void Gossip::onSelfCopied(const std::string& node, std::uint64_t sequence) {
    std::vector<std::uint64_t> complete;
    for (auto& [id, wait] : copy_waits_) {
        if (sequence >= wait.sequence) {
            wait.nodes.insert(node);
        }
        if (wait.nodes.size() >= wait.copies) {
            complete.push_back(id);
        }
    }
    for (const auto id : complete) {
        endCopyWait(id);
    }
}

void Gossip::endCopyWait(std::uint64_t id) {
    auto wait = copy_waits_.extract(id);
    if (!wait.empty()) {
        wait.mapped().done();
    }
}

void Gossip::onRumorResponse(const std::vector<std::string>& names, const wire::Gossip* response) {
    if (response == nullptr) {
        return;
    }
    for (const auto index : response->known()) {
        if (index < names.size()) {
            rumors_.onAlreadyKnown(names[index]);
        }
    }
    if (response->table_version() >= table_.version()) {
        rumors_.onAlreadyKnown(kTableRumor);
    }
}

// Exchanges ------------------------------------------------------------------

void Gossip::announceSelf() {
    queueRumor(directory_.self().name(), knobs_.self_change_fanout, Duration::zero());
    for (const auto& name : randomNodes(knobs_.initial_exchanges)) {
        exchangeWith(name);
    }
}

/// Sends a hash of the directory first; the digest follows only if the receiver's hash differs.
void Gossip::exchangeWith(const std::string& name) {
    if (directory_.find(name) == nullptr || !exchanging_.insert(name).second) {
        return;
    }
    auto exchange = makeMessage();
    exchange.set_directory_hash(directory_.hash());
    if (table_requests_.size() < knobs_.max_table_requests) {
        exchange.set_is_table_wanted(true);
        table_requests_.insert(name);
    }
    send(name, exchange, [this, name](const wire::Gossip* response) {
        if (response != nullptr && response->is_digest_wanted()) {
            table_requests_.erase(name);
            sendDigest(name);
        } else {
            onExchangeEnded(name);
        }
    });
}

void Gossip::onExchangeEnded(const std::string& name) {
    exchanging_.erase(name);
    table_requests_.erase(name);
}

void Gossip::sendDigest(const std::string& name) {
    auto exchange = makeMessage();
    for (auto& version : directory_.digest()) {
        *exchange.add_digest() = std::move(version);
    }
    send(name, exchange, [this, name](const wire::Gossip* response) {
        onExchangeEnded(name);
        if (response != nullptr && response->wanted_size() > 0) {
            sendRequested(name, *response);
        }
    });
}

void Gossip::sendRequested(const std::string& name, const wire::Gossip& response) {
    auto reply = makeMessage();
    for (const auto& wanted : response.wanted()) {
        if (const auto* record = directory_.record(wanted)) {
            *reply.add_records() = *record;
        }
    }
    send(name, reply, nullptr);
}

void Gossip::contact(const std::string& address, std::function<void(bool)> done) {
    sendTo(address, "", makeMessage(), knobs_.timeout, [this, done = std::move(done)](const wire::Gossip* response) {
        const bool is_other = response != nullptr && response->sender() != directory_.self().name();
        if (is_other) {
            queueRumor(directory_.self().name(), knobs_.self_change_fanout, Duration::zero());
            exchangeWith(response->sender());
        }
        done(is_other);
    });
}

void Gossip::probe(const std::string& name, Duration timeout, std::function<void(bool)> done) {
    send(name, makeMessage(), timeout,
         [done = std::move(done)](const wire::Gossip* response) { done(response != nullptr); });
}

void Gossip::probeRandom(Duration timeout, const std::function<void(bool)>& done) {
    const auto names = randomNodes(1);
    if (names.empty()) {
        done(false);
    } else {
        probe(names.front(), timeout, done);
    }
}

void Gossip::send(const std::string& name, const wire::Gossip& message, OnResponse done) {
    send(name, message, knobs_.timeout, std::move(done));
}

void Gossip::send(const std::string& name, const wire::Gossip& message, Duration timeout, OnResponse done) {
    if (const auto* node = directory_.find(name)) {
        auto addressed = message;
        addFormerLeaves(name, &addressed);
        sendTo(node->record.address(), name, addressed, timeout, std::move(done));
    }
}

/// A restarted node has forgotten what it acknowledged to its instance, and other nodes have not.
void Gossip::addFormerLeaves(const std::string& receiver, wire::Gossip* message) const {
    for (auto& leave : directory_.formerLeaves(receiver)) {
        *message->add_receiver_leaves() = std::move(leave);
    }
}

/// @param name of the expected responder; empty if any node may respond.
void Gossip::sendTo(const std::string& address, const std::string& name, const wire::Gossip& message, Duration timeout,
                    OnResponse done) {
    HttpRequest request;
    request.method = "POST";
    request.path = std::string(kGossipPath);
    request.headers.set("Content-Type", "application/x-protobuf");
    request.body = message.SerializeAsString();
    const auto attempt_id = ++last_attempt_id_;
    in_flight_[attempt_id] =
        nodes_.send(address, std::move(request), timeout,
                    [this, attempt_id, name, sent = clock_.now(), done = std::move(done)](const AttemptResult& result) {
                        const auto ended = in_flight_.extract(attempt_id);
                        onResponse(name, sent, result, done);
                    });
}

/// A response counts as contact with the node that its sender field names, which may not be the expected one: an
/// address can be reassigned.
void Gossip::onResponse(const std::string& name, TimePoint sent, const AttemptResult& result, const OnResponse& done) {
    wire::Gossip response;
    const bool has_response = result.outcome == AttemptOutcome::kResponded && result.response.status == kHttpOk &&
                              response.ParseFromString(result.response.body);
    const bool is_expected_sender =
        has_response && (response.sender() == name || name.empty() || knobs_.disabled.peer_name_check);
    if (is_expected_sender && !name.empty()) {
        directory_.onReached(name);
    }
    if (has_response) {
        directory_.addAddress(response.sender(), "", response.sender_address());
        directory_.onReached(response.sender());
        const bool has_restarted = directory_.onIncarnationSeen(response.sender(), response.sender_incarnation());
        mergeMessage(response, nullptr);
        if (response.has_table()) {
            adoptTable(response.table(), response.sender());
        }
        if (has_restarted && !directory_.formerLeaves(response.sender()).empty()) {
            send(response.sender(), makeMessage(), nullptr);
        }
        fetchIfNewer(response.sender(), response.table_version());
        if (response.has_table_age_us()) {
            const Duration age(static_cast<std::int64_t>(response.table_age_us()));
            lease_.onPeerResponse(sent, age, response.table_version(), table_.version());
        }
    }
    if (has_response && !is_expected_sender) {
        log_.write(Event("node_displaced").with("peer", name).with("by", response.sender()));
        directory_.onSuperseded(name);
    } else if (!has_response) {
        logUnanswered(name, sent, result);
        directory_.onUnreachable(name);
    }
    if (done) {
        done(is_expected_sender ? &response : nullptr);
    }
}

void Gossip::logUnanswered(const std::string& name, TimePoint sent, const AttemptResult& result) {
    if (!log_.accepts("gossip_unanswered")) {
        return;
    }
    log_.write(Event("gossip_unanswered")
                   .with("peer", name)
                   .with("reason", result.reason)
                   .with("waited_ms", toMilliseconds(clock_.now() - sent))
                   .with("connection", result.used_idle_connection ? "idle" : "new")
                   .with("table", table_.version()));
}

/// Probes the shared address: the node that responds keeps it, the other one is superseded.
void Gossip::resolveAddressConflict(const std::string& previous, const std::string& claimant) {
    probe(previous, knobs_.timeout, [this, previous, claimant](bool has_previous_responded) {
        const auto* first = directory_.find(previous);
        const auto* second = directory_.find(claimant);
        const bool is_shared =
            first != nullptr && second != nullptr && first->record.address() == second->record.address();
        if (has_previous_responded && is_shared) {
            directory_.onSuperseded(claimant);
        }
    });
}

/// @param reply receives the indexes of rumors that were already known; null if `message` is a response.
void Gossip::mergeMessage(const wire::Gossip& message, wire::Gossip* reply) {
    for (int index = 0; index < message.records_size(); ++index) {
        const auto& record = message.records(index);
        const bool is_new = directory_.merge(record);
        if (is_new && message.is_rumor()) {
            queueRumor(record.name(), knobs_.rumor_fanout, jitter(knobs_.rumor_interval));
        } else if (!is_new && reply != nullptr && message.is_rumor()) {
            reply->add_known(static_cast<std::uint32_t>(index));
        }
    }
    directory_.onTableVersion(message.sender(), message.table_version());
    if (message.receiver_leaves_size() > 0) {
        signal_leaves_recovered_.emit({message.receiver_leaves().begin(), message.receiver_leaves().end()});
    }
    onStoreEra(message.store_era());
}

void Gossip::adoptTable(const wire::RouteTable& table, const std::string& from) {
    if (table_.adopt(table)) {
        log_.write(Event("table_adopted").with("version", table.version()).with("from", from));
    }
}

void Gossip::onStoreEra(std::uint64_t era) {
    if (era <= store_era_ || knobs_.disabled.store_era_check) {
        return;
    }
    const auto previous = std::exchange(store_era_, era);
    if (previous > 0) {
        log_.write(Event("store_returned").with("era", era));
        signal_store_restored_.emit();
    }
}

void Gossip::onTableVersionSeen(const std::string& name, std::uint64_t version) {
    directory_.onTableVersion(name, version);
    fetchIfNewer(name, version);
}

void Gossip::fetchIfNewer(const std::string& name, std::uint64_t version) {
    table_.onVersionSeen(version);
    if (version > table_.version()) {
        exchangeWith(name);
    }
}

HttpResponse Gossip::handle(const HttpRequest& request) {
    HttpResponse response;
    wire::Gossip received;
    if (!received.ParseFromString(request.body)) {
        log_.write(Event("gossip_refused").with("step", "parse").with("bytes", request.body.size()));
        response.status = kHttpBadRequest;
        return response;
    }
    directory_.addAddress(received.sender(), "", received.sender_address());
    directory_.onMessageReceived(received.sender());
    directory_.onIncarnationSeen(received.sender(), received.sender_incarnation());
    auto reply = makeMessage();
    mergeMessage(received, &reply);
    addFormerLeaves(received.sender(), &reply);
    if (received.digest_size() > 0) {
        const auto difference = directory_.differenceTo({received.digest().begin(), received.digest().end()});
        for (const auto& record : difference.newer) {
            *reply.add_records() = record;
        }
        for (const auto& name : difference.older) {
            reply.add_wanted(name);
        }
    }
    if (received.is_table_wanted() && received.table_version() < table_.version()) {
        *reply.mutable_table() = table_.contents();
    }
    reply.set_is_digest_wanted(received.directory_hash() != 0 && received.directory_hash() != directory_.hash());
    fetchIfNewer(received.sender(), received.table_version());
    response.status = kHttpOk;
    response.body = reply.SerializeAsString();
    return response;
}

}  // namespace dewcrank::fleet
