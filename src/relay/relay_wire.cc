#include "src/relay/relay_wire.h"

#include <algorithm>

#include "src/base/field_list.h"
#include "src/base/http_status.h"

namespace dewcrank::relay {

namespace {

/// Of a request: sender, its table's version, instance, route, priority, is a repeat, is the last
/// choice, microseconds left, microseconds that it may wait, repeat share and requests represented in
/// thousandths, has been counted, is suspected, what is done if it fails, has had its repeat paid, is the
/// only choice.
constexpr std::string_view kCall = "dewcrank-relay-call";
/// Of an answer: sender, its table's version, outcome, reason, was offered, running, waiting, limit,
/// mean time in microseconds, is inner, demand, capacity and busy of
/// the instance in thousandths of a slot, time of the route in microseconds, bottleneck below, its level in thousandths
/// and cost in microseconds, failed below, age of the sender's table in microseconds and one, or 0, has paid the
/// repeat.
constexpr std::string_view kResult = "dewcrank-relay-result";
constexpr double kPermille = 1000;
/// Whether a route is called by instances, as far as the relay has seen.
constexpr std::int64_t kNotInner = 0;
constexpr std::int64_t kInner = 1;
constexpr std::int64_t kNotKnown = 2;

std::int64_t inThousandths(double value) {
    return static_cast<std::int64_t>(value * kPermille);
}

double fromThousandths(std::int64_t number) {
    return static_cast<double>(number) / kPermille;
}

RelayPeer readPeer(FieldReader* fields) {
    RelayPeer peer;
    peer.name = fields->text();
    peer.table_version = static_cast<std::uint64_t>(fields->number());
    return peer;
}

void write(FieldWriter* fields, const RelayPeer& peer) {
    fields->add(peer.name).add(static_cast<std::int64_t>(peer.table_version));
}

void write(FieldWriter* fields, const QueueLoad& load) {
    fields->add(load.running).add(load.waiting).add(load.limit).add(load.mean_time.count());
}

QueueLoad readLoad(FieldReader* fields) {
    QueueLoad load;
    load.running = static_cast<std::uint32_t>(fields->number());
    load.waiting = static_cast<std::uint32_t>(fields->number());
    load.limit = static_cast<std::uint32_t>(fields->number());
    load.mean_time = Duration(fields->number());
    return load;
}

void write(FieldWriter* fields, const decision::RouteReport& report) {
    fields->add(report.is_inner ? (*report.is_inner ? kInner : kNotInner) : kNotKnown);
    fields->add(inThousandths(report.load.demand)).add(inThousandths(report.load.capacity));
    fields->add(inThousandths(report.load.busy)).add(report.time.count());
    fields->add(report.below.service).add(inThousandths(report.below.level)).add(report.below.cost.count());
}

decision::RouteReport readReport(FieldReader* fields) {
    decision::RouteReport report;
    const auto inner = fields->number();
    report.is_inner = inner == kNotKnown ? std::nullopt : std::optional(inner == kInner);
    report.load.demand = fromThousandths(fields->number());
    report.load.capacity = fromThousandths(fields->number());
    report.load.busy = fromThousandths(fields->number());
    report.time = Duration(fields->number());
    report.below.service = fields->text();
    report.below.level = fromThousandths(fields->number());
    report.below.cost = Duration(fields->number());
    return report;
}

/// What another version may send in place of what is known reads as the least that can be said.
RelayOutcome outcomeOf(std::int64_t number) {
    const bool is_known = number >= 0 && number <= static_cast<std::int64_t>(RelayOutcome::kUnknown);
    return is_known ? static_cast<RelayOutcome>(number) : RelayOutcome::kUnknown;
}

FailurePlan failurePlanOf(std::int64_t number) {
    const bool is_known = number >= 0 && number <= static_cast<std::int64_t>(FailurePlan::kRepeat);
    return is_known ? static_cast<FailurePlan>(number) : FailurePlan::kGiveUp;
}

}  // namespace

HttpRequest toHttp(RelayRequest request, const RelayPeer& sender, TimePoint now) {
    FieldWriter fields;
    write(&fields, sender);
    fields.add(request.instance).add(request.route).add(request.priority);
    fields.add(request.is_repeat ? 1 : 0).add(request.is_last_choice ? 1 : 0);
    fields.add((request.deadline - now).count()).add(request.longest_wait.count());
    fields.add(inThousandths(request.lineage.repeat_share)).add(inThousandths(request.lineage.represents));
    fields.add(request.is_counted ? 1 : 0).add(request.is_suspect ? 1 : 0);
    fields.add(static_cast<std::int64_t>(request.failure_plan)).add(request.is_repeat_paid ? 1 : 0);
    fields.add(request.is_only_choice ? 1 : 0);
    auto message = std::move(request.request);
    message.headers.set(kCall, fields.take());
    return message;
}

std::optional<ReceivedRequest> fromHttp(HttpRequest request, TimePoint now) {
    if (!request.headers.has(kCall)) {
        return std::nullopt;
    }
    FieldReader fields(request.headers.get(kCall));
    ReceivedRequest received;
    received.sender = readPeer(&fields);
    auto& relayed = received.request;
    relayed.instance = fields.text();
    relayed.route = fields.text();
    relayed.priority = static_cast<std::uint32_t>(fields.number());
    relayed.is_repeat = fields.number() != 0;
    relayed.is_last_choice = fields.number() != 0;
    relayed.deadline = now + Duration(fields.number());
    relayed.longest_wait = Duration(fields.number());
    relayed.lineage.repeat_share = std::clamp(fromThousandths(fields.number()), 0.0, 1.0);
    relayed.lineage.represents = std::max(1.0, fromThousandths(fields.number()));
    relayed.is_counted = fields.number() != 0;
    relayed.is_suspect = fields.number() != 0;
    relayed.failure_plan = failurePlanOf(fields.number());
    relayed.is_repeat_paid = fields.number() != 0;
    relayed.is_only_choice = fields.number() != 0;
    request.headers.removePrefix(kRelayHeaderPrefix);
    relayed.request = std::move(request);
    return received;
}

HttpResponse toHttp(RelayResult result, const RelayPeer& sender) {
    FieldWriter fields;
    write(&fields, sender);
    fields.add(static_cast<std::int64_t>(result.outcome)).add(static_cast<std::int64_t>(result.reason));
    fields.add(result.was_offered ? 1 : 0);
    write(&fields, result.load);
    write(&fields, result.report);
    fields.add(result.failed_below ? 1 : 0);
    fields.add(sender.table_age ? sender.table_age->count() + 1 : 0);
    fields.add(result.is_repeat_paid ? 1 : 0);
    auto response = std::move(result.response);
    if (result.outcome != RelayOutcome::kResponded) {
        response.status = kHttpOk;
    }
    response.headers.removePrefix(kRelayHeaderPrefix);
    response.headers.add(std::string(kResult), fields.take());
    return response;
}

ReceivedResult fromHttp(HttpResponse response) {
    ReceivedResult received;
    auto& result = received.result;
    if (!response.headers.has(kResult)) {
        result.outcome = RelayOutcome::kUnknown;
        result.reason = RelayReason::kRelayLost;
        result.was_offered = true;
        return received;
    }
    FieldReader fields(response.headers.get(kResult));
    received.sender = readPeer(&fields);
    result.outcome = outcomeOf(fields.number());
    result.reason = static_cast<RelayReason>(fields.number());
    result.was_offered = fields.number() != 0;
    result.load = readLoad(&fields);
    result.has_load = true;
    result.report = readReport(&fields);
    result.failed_below = fields.number() != 0;
    if (const auto age = fields.number(); age > 0) {
        received.sender.table_age = Duration(age - 1);
    }
    result.is_repeat_paid = fields.number() != 0;
    response.headers.removePrefix(kRelayHeaderPrefix);
    result.response = std::move(response);
    return received;
}

}  // namespace dewcrank::relay
