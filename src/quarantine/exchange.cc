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
      nodes_(nodes),
      directory_(directory),
      quarantine_(quarantine),
      service_(std::move(service)),
      knobs_(knobs) {
    directory_.signalChanged().connect([this](const std::string&) { askFirst(); });
}

void Exchange::start() {
    timer_ = clock_.startTimer(knobs_.interval, [this] { tick(); });
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

std::vector<std::string> Exchange::randomRelays(std::size_t most) {
    auto names = relays();
    for (std::size_t place = 0; place < std::min(most, names.size()); ++place) {
        std::swap(names[place], names[place + random_.below(names.size() - place)]);
    }
    names.resize(std::min(most, names.size()));
    return names;
}

void Exchange::tick() {
    start();
    const auto told = message();
    if (told.records_size() == 0) {
        return;
    }
    for (const auto& name : randomRelays(knobs_.fanout)) {
        send(name, told);
    }
}

/// A process that has just started knows nothing of what instances ended with before.
void Exchange::askFirst() {
    if (has_asked_ || directory_.othersWithService(service_).empty()) {
        return;
    }
    has_asked_ = true;
    auto question = message();
    question.set_are_suspects_wanted(true);
    for (const auto& name : randomRelays(knobs_.first_asked)) {
        send(name, question);
    }
}

void Exchange::tell(const CrashNotice& notice) {
    auto told = message();
    told.set_has_instance_ended(true);
    for (const auto fingerprint : notice.suspects) {
        told.add_suspects(fingerprint);
    }
    for (const auto& name : relays()) {
        send(name, told);
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
    const auto number = ++last_number_;
    in_flight_[number] = nodes_.send(node->record.address(), std::move(request), knobs_.timeout,
                                     [this, number, name](const AttemptResult& result) {
                                         const auto ended = in_flight_.extract(number);
                                         onAnswer(name, result);
                                     });
}

void Exchange::onAnswer(const std::string& name, const AttemptResult& result) {
    wire::Quarantine response;
    const bool is_answered = result.outcome == AttemptOutcome::kResponded && result.response.status == kHttpOk &&
                             response.ParseFromString(result.response.body);
    if (!is_answered) {
        directory_.onUnreachable(name);
        return;
    }
    directory_.onReached(name);
    merge(response);
    for (const auto fingerprint : response.ended_well()) {
        quarantine_.onEndedWellElsewhere(fingerprint);
    }
}

void Exchange::merge(const wire::Quarantine& message) {
    for (const auto& record : message.records()) {
        if (quarantine_.merge(record)) {
            log_.write(Event("quarantine_learned")
                           .with("fingerprint", textOf(record.fingerprint()))
                           .with("from", message.sender())
                           .with("released", record.is_released() ? "yes" : "no")
                           .with("left_ms", record.left_ms()));
        }
    }
    for (const auto fingerprint : message.suspects()) {
        quarantine_.suspect(fingerprint);
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
        signal_instance_ended_.emit();
    }
    auto reply = message();
    const auto add_if_well = [&](Fingerprint fingerprint) {
        if (quarantine_.hasEndedWellLately(fingerprint)) {
            reply.add_ended_well(fingerprint);
        }
    };
    std::for_each(received.suspects().begin(), received.suspects().end(), add_if_well);
    for (const auto& record : received.records()) {
        if (!record.is_released()) {
            add_if_well(record.fingerprint());
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
