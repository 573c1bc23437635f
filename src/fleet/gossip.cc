#include "src/fleet/gossip.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "src/base/http_status.h"

namespace dewcrank::fleet {

Gossip::Gossip(Clock& clock, RandomSource& random, EventLog& log, BackEndPort& nodes, NodeDirectory& directory,
               policy::RouteTable& table, GossipKnobs knobs)
    : clock_(clock), random_(random), log_(log), nodes_(nodes), directory_(directory), table_(table), knobs_(knobs) {
    directory_.signalSelfChanged().connect(
        [this] { push_timer_ = clock_.startTimer(Duration::zero(), [this] { pushSelf(); }); });
    table_.signalAdopted().connect([this] {
        const auto delay = random_.below(static_cast<std::uint64_t>(knobs_.longest_notice_delay.count()));
        notice_timer_ = clock_.startTimer(Duration(static_cast<std::int64_t>(delay)), [this] { noticeTable(); });
    });
}

void Gossip::start() {
    scheduleNext();
}

void Gossip::scheduleNext() {
    const auto half = static_cast<std::uint64_t>(knobs_.interval.count() / 2);
    const auto delay = knobs_.interval / 2 + Duration(static_cast<std::int64_t>(random_.below(2 * half)));
    tick_timer_ = clock_.startTimer(delay, [this] { tick(); });
}

void Gossip::tick() {
    const auto name = randomNode();
    if (!name.empty()) {
        exchangeWith(name);
    }
    scheduleNext();
}

/// Any node, also one that was lost: whoever finds it alive again brings it up to date.
std::string Gossip::randomNode() {
    const auto& others = directory_.others();
    if (others.empty()) {
        return "";
    }
    auto chosen = others.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(random_.below(others.size())));
    return chosen->first;
}

wire::Gossip Gossip::message() const {
    wire::Gossip message;
    message.set_sender(directory_.self().name());
    message.set_sender_address(directory_.self().address());
    message.set_table_version(table_.version());
    return message;
}

void Gossip::pushSelf() {
    auto push = message();
    *push.add_records() = directory_.self();
    std::vector<std::string> names;
    for (const auto& [name, node] : directory_.others()) {
        names.push_back(name);
    }
    for (const auto& name : names) {
        send(name, push, nullptr);
    }
}

void Gossip::noticeTable() {
    std::vector<std::string> behind;
    for (const auto& [name, node] : directory_.others()) {
        if (node.table_version < table_.version() && !NodeDirectory::isSuspected(node)) {
            behind.push_back(name);
        }
    }
    for (const auto& name : randomly(std::move(behind), knobs_.notice_fanout)) {
        send(name, message(), nullptr);
    }
}

/// The first of a random order.
std::vector<std::string> Gossip::randomly(std::vector<std::string> names, std::size_t most) {
    for (std::size_t i = 0; i < std::min(most, names.size()); ++i) {
        std::swap(names[i], names[i + random_.below(names.size() - i)]);
    }
    names.resize(std::min(most, names.size()));
    return names;
}

void Gossip::introduceSelf() {
    pushSelf();
    std::vector<std::string> names;
    for (const auto& [name, node] : directory_.others()) {
        names.push_back(name);
    }
    for (const auto& name : randomly(std::move(names), knobs_.first_exchanges)) {
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
    send(name, exchange, [this, name](const wire::Gossip* answer) {
        if (answer != nullptr && answer->is_digest_wanted()) {
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
    send(name, exchange, [this, name](const wire::Gossip* answer) {
        exchangeEnded(name);
        if (answer != nullptr && answer->wanted_size() > 0) {
            sendWanted(name, *answer);
        }
    });
}

void Gossip::sendWanted(const std::string& name, const wire::Gossip& answer) {
    auto reply = message();
    for (const auto& wanted : answer.wanted()) {
        if (const auto* record = directory_.record(wanted)) {
            *reply.add_records() = *record;
        }
    }
    send(name, reply, nullptr);
}

void Gossip::probe(const std::string& name, Duration timeout, std::function<void(bool)> done) {
    send(name, message(), timeout, [done = std::move(done)](const wire::Gossip* answer) { done(answer != nullptr); });
}

void Gossip::send(const std::string& name, const wire::Gossip& message, Sent done) {
    send(name, message, knobs_.timeout, std::move(done));
}

void Gossip::send(const std::string& name, const wire::Gossip& message, Duration timeout, Sent done) {
    const auto* node = directory_.find(name);
    if (node == nullptr) {
        return;
    }
    HttpRequest request;
    request.method = "POST";
    request.path = std::string(kGossipPath);
    request.headers.set("Content-Type", "application/x-protobuf");
    request.body = message.SerializeAsString();
    const auto number = ++last_number_;
    in_flight_[number] = nodes_.send(node->record.address(), std::move(request), timeout,
                                     [this, number, name, done = std::move(done)](const AttemptResult& result) {
                                         const auto ended = in_flight_.extract(number);
                                         onAnswer(name, result, done);
                                     });
}

void Gossip::onAnswer(const std::string& name, const AttemptResult& result, const Sent& done) {
    wire::Gossip answer;
    const bool is_answered = result.outcome == AttemptOutcome::kAnswered && result.answer.status == kHttpOk &&
                             answer.ParseFromString(result.answer.body);
    if (is_answered) {
        directory_.onReached(name);
        mergeAll(answer);
    } else {
        directory_.onUnreachable(name);
    }
    if (done) {
        done(is_answered ? &answer : nullptr);
    }
}

void Gossip::mergeAll(const wire::Gossip& message) {
    for (const auto& record : message.records()) {
        directory_.merge(record);
    }
    directory_.onTableVersion(message.sender(), message.table_version());
    if (message.has_table()) {
        adopt(message.table(), message.sender());
    }
}

void Gossip::adopt(const wire::RouteTable& table, const std::string& from) {
    if (table_.adopt(table)) {
        log_.write(Event("table_adopted").with("version", table.version()).with("from", from));
    }
}

void Gossip::onTableVersionSeen(const std::string& name, std::uint64_t version) {
    directory_.onTableVersion(name, version);
    if (version > table_.version()) {
        exchangeWith(name);
    }
}

HttpAnswer Gossip::handle(const HttpRequest& request) {
    HttpAnswer answer;
    wire::Gossip received;
    if (!received.ParseFromString(request.body)) {
        log_.write(Event("gossip_refused").with("step", "parse").with("bytes", request.body.size()));
        answer.status = kHttpBadRequest;
        return answer;
    }
    directory_.addAddress(received.sender(), "", received.sender_address());
    directory_.onReached(received.sender());
    mergeAll(received);
    auto reply = message();
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
    if (received.table_version() > table_.version()) {
        exchangeWith(received.sender());
    }
    answer.status = kHttpOk;
    answer.body = reply.SerializeAsString();
    return answer;
}

}  // namespace dewcrank::fleet
