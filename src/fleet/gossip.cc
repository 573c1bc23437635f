#include "src/fleet/gossip.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "src/base/http_status.h"

namespace dewcrank::fleet {

namespace {

/// Stands for the table among the rumors: each message tells its version anyway.
const std::string kTableRumor;
/// Tries to find a node that is not suspected, for each that is wanted.
constexpr std::size_t kTriesForReachable = 4;

}  // namespace

Gossip::Gossip(Clock& clock, RandomSource& random, EventLog& log, HttpTransport& nodes, NodeDirectory& directory,
               policy::RouteTable& table, policy::TableLease& lease, GossipKnobs knobs)
    : clock_(clock),
      random_(random),
      log_(log),
      nodes_(nodes),
      directory_(directory),
      table_(table),
      lease_(lease),
      knobs_(knobs),
      rumors_(knobs.rumors) {
    directory_.signalSelfChanged().connect(
        [this] { spread(directory_.self().name(), knobs_.first_fanout, Duration::zero()); });
    directory_.signalAddressShared().connect(
        [this](const std::string& former, const std::string& latter) { settleAddress(former, latter); });
    table_.signalAdopted().connect([this] { spreadTable(); });
}

void Gossip::start() {
    scheduleNext();
}

void Gossip::scheduleNext() {
    tick_timer_ = clock_.startTimer(spreadOut(knobs_.interval), [this] { tick(); });
}

/// From half of an interval to one and a half: nodes do not stay in step.
Duration Gossip::spreadOut(Duration interval) {
    return interval / 2 +
           Duration(static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(interval.count()))));
}

/// With any node, also one that was lost: whoever finds it alive again brings it up to date.
void Gossip::tick() {
    if (directory_.otherCount() > 0) {
        exchangeWith(directory_.other(random_.below(directory_.otherCount())).record.name());
    }
    scheduleNext();
}

/// Different nodes, as many of them as can be had without suspected ones.
std::vector<std::string> Gossip::randomNodes(std::size_t most) {
    std::set<std::string> names;
    for (std::size_t tries = most * kTriesForReachable; tries > 0 && names.size() < most; --tries) {
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

wire::Gossip Gossip::message() const {
    wire::Gossip message;
    message.set_sender(directory_.self().name());
    message.set_sender_address(directory_.self().address());
    message.set_table_version(table_.version());
    message.set_store_era(store_era_);
    if (const auto age = lease_.age(clock_.now())) {
        message.set_table_age_us(static_cast<std::uint64_t>(age->count()));
    }
    return message;
}

// Rumors ---------------------------------------------------------------------

/// Something is news here. A round that is due earlier takes it along.
void Gossip::spread(const std::string& name, std::size_t fanout, Duration wait) {
    rumors_.add(name);
    const bool is_earlier = wait == Duration::zero();
    if (fanout_ == 0 || is_earlier) {
        rumor_timer_ = clock_.startTimer(wait, [this] { tellRumors(); });
    }
    fanout_ = std::max(fanout_, fanout);
}

/// More nodes than a round of rumors tells, and without the records that are due with it: each of those would be told
/// to as many at once, and be dropped early for being known.
void Gossip::spreadTable() {
    for (const auto& node : randomNodes(knobs_.table_fanout)) {
        tell(node, {});
    }
    spread(kTableRumor, knobs_.rumor_fanout, Duration::zero());
}

void Gossip::tellRumors() {
    const auto fanout = std::exchange(fanout_, 0);
    const auto names = rumors_.next(knobs_.most_records);
    for (const auto& node : randomNodes(fanout)) {
        tell(node, names);
    }
    if (!rumors_.empty()) {
        fanout_ = knobs_.rumor_fanout;
        rumor_timer_ = clock_.startTimer(spreadOut(knobs_.rumor_interval), [this] { tellRumors(); });
    }
}

void Gossip::tell(const std::string& node, const std::vector<std::string>& names) {
    auto rumor = message();
    rumor.set_is_rumor(true);
    std::vector<std::string> told;
    for (const auto& name : names) {
        rumors_.onTold(name);
        if (const auto* record = directory_.record(name)) {
            *rumor.add_records() = *record;
            told.push_back(name);
        }
    }
    send(node, rumor, [this, told = std::move(told)](const wire::Gossip* response) { onTold(told, response); });
}

void Gossip::onTold(const std::vector<std::string>& names, const wire::Gossip* response) {
    if (response == nullptr) {
        return;
    }
    for (const auto place : response->known()) {
        if (place < names.size()) {
            rumors_.onUseless(names[place]);
        }
    }
    if (response->table_version() >= table_.version()) {
        rumors_.onUseless(kTableRumor);
    }
}

// Exchanges ------------------------------------------------------------------

void Gossip::introduceSelf() {
    spread(directory_.self().name(), knobs_.first_fanout, Duration::zero());
    for (const auto& name : randomNodes(knobs_.first_exchanges)) {
        exchangeWith(name);
    }
}

/// While the directories agree an exchange is one small message each way, however large the fleet.
void Gossip::exchangeWith(const std::string& name) {
    if (directory_.find(name) == nullptr || !exchanging_.insert(name).second) {
        return;
    }
    auto exchange = message();
    exchange.set_directory_hash(directory_.hash());
    if (asked_for_table_.size() < knobs_.most_table_requests) {
        exchange.set_is_table_wanted(true);
        asked_for_table_.insert(name);
    }
    send(name, exchange, [this, name](const wire::Gossip* response) {
        if (response != nullptr && response->is_digest_wanted()) {
            asked_for_table_.erase(name);
            sendDigest(name);
        } else {
            exchangeEnded(name);
        }
    });
}

void Gossip::exchangeEnded(const std::string& name) {
    exchanging_.erase(name);
    asked_for_table_.erase(name);
}

void Gossip::sendDigest(const std::string& name) {
    auto exchange = message();
    for (auto& version : directory_.digest()) {
        *exchange.add_digest() = std::move(version);
    }
    send(name, exchange, [this, name](const wire::Gossip* response) {
        exchangeEnded(name);
        if (response != nullptr && response->wanted_size() > 0) {
            sendWanted(name, *response);
        }
    });
}

void Gossip::sendWanted(const std::string& name, const wire::Gossip& response) {
    auto reply = message();
    for (const auto& wanted : response.wanted()) {
        if (const auto* record = directory_.record(wanted)) {
            *reply.add_records() = *record;
        }
    }
    send(name, reply, nullptr);
}

void Gossip::askForTableAge(std::size_t nodes) {
    for (const auto& name : randomNodes(nodes)) {
        send(name, message(), nullptr);
    }
}

void Gossip::contact(const std::string& address, std::function<void(bool)> done) {
    sendTo(address, "", message(), knobs_.timeout, [this, done = std::move(done)](const wire::Gossip* response) {
        const bool is_other = response != nullptr && response->sender() != directory_.self().name();
        if (is_other) {
            spread(directory_.self().name(), knobs_.first_fanout, Duration::zero());
            exchangeWith(response->sender());
        }
        done(is_other);
    });
}

void Gossip::probe(const std::string& name, Duration timeout, std::function<void(bool)> done) {
    send(name, message(), timeout, [done = std::move(done)](const wire::Gossip* response) { done(response != nullptr); });
}

void Gossip::send(const std::string& name, const wire::Gossip& message, Sent done) {
    send(name, message, knobs_.timeout, std::move(done));
}

void Gossip::send(const std::string& name, const wire::Gossip& message, Duration timeout, Sent done) {
    if (const auto* node = directory_.find(name)) {
        sendTo(node->record.address(), name, message, timeout, std::move(done));
    }
}

/// @param name of the node that is to answer; empty if any may.
void Gossip::sendTo(const std::string& address, const std::string& name, const wire::Gossip& message, Duration timeout,
                    Sent done) {
    HttpRequest request;
    request.method = "POST";
    request.path = std::string(kGossipPath);
    request.headers.set("Content-Type", "application/x-protobuf");
    request.body = message.SerializeAsString();
    const auto number = ++last_number_;
    in_flight_[number] =
        nodes_.send(address, std::move(request), timeout,
                    [this, number, name, sent = clock_.now(), done = std::move(done)](const AttemptResult& result) {
                        const auto ended = in_flight_.extract(number);
                        onAnswer(name, sent, result, done);
                    });
}

/// What another node answers at the address is its own word, and none of the node that was asked.
void Gossip::onAnswer(const std::string& name, TimePoint sent, const AttemptResult& result, const Sent& done) {
    wire::Gossip response;
    const bool is_answered = result.outcome == AttemptOutcome::kResponded && result.response.status == kHttpOk &&
                             response.ParseFromString(result.response.body);
    const bool is_its_own =
        is_answered && (response.sender() == name || name.empty() || knobs_.disabled.peer_name_check);
    if (is_its_own && !name.empty()) {
        directory_.onReached(name);
    }
    if (is_answered) {
        directory_.addAddress(response.sender(), "", response.sender_address());
        directory_.onReached(response.sender());
        mergeAll(response, nullptr);
        if (response.has_table_age_us()) {
            const Duration age(static_cast<std::int64_t>(response.table_age_us()));
            lease_.onPeer(sent, age, response.table_version(), table_.version());
        }
    }
    if (is_answered && !is_its_own) {
        log_.write(Event("node_displaced").with("peer", name).with("by", response.sender()));
        directory_.onDisplaced(name);
    } else if (!is_answered) {
        directory_.onUnreachable(name);
    }
    if (done) {
        done(is_its_own ? &response : nullptr);
    }
}

/// Whoever answers at the address holds it, the other one does not.
void Gossip::settleAddress(const std::string& former, const std::string& latter) {
    probe(former, knobs_.timeout, [this, former, latter](bool is_former) {
        const auto* one = directory_.find(former);
        const auto* other = directory_.find(latter);
        const bool is_shared = one != nullptr && other != nullptr && one->record.address() == other->record.address();
        if (is_former && is_shared) {
            directory_.onDisplaced(latter);
        }
    });
}

/// @param reply told which records were no news; null for an answer.
void Gossip::mergeAll(const wire::Gossip& message, wire::Gossip* reply) {
    for (int place = 0; place < message.records_size(); ++place) {
        const auto& record = message.records(place);
        const bool is_news = directory_.merge(record);
        if (is_news && message.is_rumor()) {
            spread(record.name(), knobs_.rumor_fanout, spreadOut(knobs_.rumor_interval));
        } else if (!is_news && reply != nullptr && message.is_rumor()) {
            reply->add_known(static_cast<std::uint32_t>(place));
        }
    }
    directory_.onTableVersion(message.sender(), message.table_version());
    onStoreEra(message.store_era());
    if (message.has_table()) {
        adopt(message.table(), message.sender());
    }
}

void Gossip::adopt(const wire::RouteTable& table, const std::string& from) {
    if (table_.adopt(table)) {
        log_.write(Event("table_adopted").with("version", table.version()).with("from", from));
    }
}

void Gossip::onStoreEra(std::uint64_t era) {
    if (era <= store_era_ || knobs_.disabled.store_era_check) {
        return;
    }
    const auto former = std::exchange(store_era_, era);
    if (former > 0) {
        log_.write(Event("store_returned").with("era", era));
        signal_store_returned_.emit();
    }
}

void Gossip::onTableVersionSeen(const std::string& name, std::uint64_t version) {
    directory_.onTableVersion(name, version);
    if (table_.onVersionSeen(version)) {
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
    directory_.onHeard(received.sender());
    auto reply = message();
    mergeAll(received, &reply);
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
        *reply.mutable_table() = table_.whole();
    }
    reply.set_is_digest_wanted(received.directory_hash() != 0 && received.directory_hash() != directory_.hash());
    if (table_.onVersionSeen(received.table_version())) {
        exchangeWith(received.sender());
    }
    response.status = kHttpOk;
    response.body = reply.SerializeAsString();
    return response;
}

}  // namespace dewcrank::fleet
