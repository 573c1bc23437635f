#include "src/quarantine/exchange.h"

#include <algorithm>
#include <utility>

#include "src/base/http_status.h"

namespace dewcrank::quarantine {

Exchange::Exchange(Clock& clock, RandomSource& random, EventLog& log, HttpTransport& nodes,
                   fleet::NodeDirectory& directory, Quarantine& quarantine, std::string service, ExchangeKnobs knobs)
    : clock_(clock),
      random_(random),
      log_(log),
      nodes_(clock, nodes),
      directory_(directory),
      quarantine_(quarantine),
      service_(std::move(service)),
      knobs_(knobs) {
    directory_.signalChanged().connect([this](const std::string&) { requestInitialState(); });
}

void Exchange::start() {
    timer_ = clock_.startTimer(knobs_.interval, [this] { gossip(); });
}

wire::Quarantine Exchange::message() const {
    wire::Quarantine message;
    message.set_sender(directory_.self().name());
    for (auto& record : quarantine_.records()) {
        *message.add_records() = std::move(record);
    }
    return message;
}

std::vector<std::string> Exchange::relays() const {
    std::vector<std::string> names;
    for (const auto* node : directory_.othersWithService(service_)) {
        names.push_back(node->record.name());
    }
    return names;
}

std::vector<std::string> Exchange::randomRelays(std::size_t count) {
    auto names = relays();
    for (std::size_t index = 0; index < std::min(count, names.size()); ++index) {
        std::swap(names[index], names[index + random_.below(names.size() - index)]);
    }
    names.resize(std::min(count, names.size()));
    return names;
}

void Exchange::gossip() {
    start();
    const auto update = message();
    if (update.records_size() == 0) {
        return;
    }
    for (const auto& name : randomRelays(knobs_.fanout)) {
        send(name, update);
    }
}

/// Requests the state once, as soon as the directory lists another relay: a started process has no records.
void Exchange::requestInitialState() {
    if (has_requested_state_ || directory_.othersWithService(service_).empty()) {
        return;
    }
    has_requested_state_ = true;
    auto query = message();
    query.set_are_suspects_wanted(true);
    for (const auto& name : randomRelays(knobs_.initial_requests)) {
        send(name, query);
    }
}

void Exchange::broadcast(const CrashNotice& notice) {
    auto update = message();
    update.set_has_instance_ended(true);
    for (const auto fingerprint : notice.suspects) {
        update.add_suspects(fingerprint);
    }
    for (const auto& name : relays()) {
        send(name, update);
    }
}

void Exchange::send(const std::string& name, const wire::Quarantine& message) {
    const auto* node = directory_.find(name);
    if (node == nullptr) {
        return;
    }
    HttpRequest request;
    request.method = "POST";
    request.path = std::string(kExchangePath);
    request.headers.set("Content-Type", "application/x-protobuf");
    request.body = message.SerializeAsString();
    const auto id = ++last_id_;
    in_flight_[id] = nodes_.send(node->record.address(), std::move(request), knobs_.timeout,
                                 [this, id, name](const AttemptResult& result) {
                                     const auto ended = in_flight_.extract(id);
                                     onResponse(name, result);
                                 });
}

void Exchange::onResponse(const std::string& name, const AttemptResult& result) {
    wire::Quarantine response;
    const bool is_valid = result.outcome == AttemptOutcome::kResponded && result.response.status == kHttpOk &&
                          response.ParseFromString(result.response.body);
    if (!is_valid) {
        directory_.onUnreachable(name);
        return;
    }
    directory_.onReached(name);
    merge(response);
    for (const auto fingerprint : response.ended_well()) {
        quarantine_.onCompletedElsewhere(fingerprint);
    }
}

void Exchange::merge(const wire::Quarantine& message) {
    for (const auto& record : message.records()) {
        if (quarantine_.merge(record)) {
            log_.write(Event("quarantine_learned")
                           .with("fingerprint", fingerprintText(record.fingerprint()))
                           .with("from", message.sender())
                           .with("released", record.is_released() ? "yes" : "no")
                           .with("left_ms", record.left_ms()));
        }
    }
    for (const auto fingerprint : message.suspects()) {
        quarantine_.markSuspect(fingerprint);
    }
}

HttpResponse Exchange::handle(const HttpRequest& request) {
    HttpResponse response;
    wire::Quarantine received;
    if (!received.ParseFromString(request.body)) {
        log_.write(Event("quarantine_refused").with("step", "parse").with("bytes", request.body.size()));
        response.status = kHttpBadRequest;
        return response;
    }
    directory_.onReached(received.sender());
    merge(received);
    if (received.has_instance_ended()) {
        signal_instance_crashed_.emit();
    }
    auto reply = message();
    const auto add_if_completed = [&](Fingerprint fingerprint) {
        if (quarantine_.hasRecentlyCompleted(fingerprint)) {
            reply.add_ended_well(fingerprint);
        }
    };
    std::for_each(received.suspects().begin(), received.suspects().end(), add_if_completed);
    for (const auto& record : received.records()) {
        if (!record.is_released()) {
            add_if_completed(record.fingerprint());
        }
    }
    if (received.are_suspects_wanted()) {
        for (const auto fingerprint : quarantine_.suspects()) {
            reply.add_suspects(fingerprint);
        }
    }
    response.status = kHttpOk;
    response.body = reply.SerializeAsString();
    return response;
}

}  // namespace dewcrank::quarantine
