#include "src/relay/relay_wire.h"

#include <algorithm>

#include "src/base/field_list.h"
#include "src/base/http_status.h"

namespace dewcrank::relay {

namespace {

/// Header of a request. Fields: name and table version of the sender, instance, route, priority, is_retry,
/// is_last_candidate, remaining time and max_wait in microseconds, retry probability and demand weight in thousandths,
/// is_counted, is_suspect, retry policy, is_retry_paid, is_only_candidate, start time of the instance, its known rate
/// limit, share of the calls that must not be retried in thousandths.
constexpr std::string_view kRequestHeader = "dewcrank-relay-call";
/// Header of a response. Fields: name and table version of the sender, outcome, reason, was_sent, running, waiting,
/// limit, mean service time in microseconds, kind of the route, demand, capacity and busy slots in thousandths, slot
/// time of the route in microseconds, bottleneck of its calls, admission ratio of that in thousandths and cost in
/// microseconds, failed_downstream, 0 or the age of the sender's table in microseconds plus one, is_retry_paid, start
/// time of the instance, is_leaving, is_rate_limit_known, rate limit of the instance, wait for it in microseconds,
/// pace of the instance in thousandths (0: unknown) and its age in milliseconds, demand and capacity of retries and
/// first attempts per second, all three in thousandths; at the bottleneck of the route's calls: ratio of retries,
/// retries per call and calls, all three in thousandths.
constexpr std::string_view kResultHeader = "dewcrank-relay-result";
constexpr double kThousand = 1000;
constexpr double kMaxPace = 100;                 ///< Times the usual service time.
constexpr std::int64_t kMaxPaceAgeMs = 3600000;  ///< One hour; a pace that old is of no use.
/// Kind of a route: whether external callers or only instances call it, or not enough requests to tell.
constexpr std::int64_t kExternal = 0;
constexpr std::int64_t kInternal = 1;
constexpr std::int64_t kUnclassified = 2;

std::int64_t toThousandths(double value) {
    return static_cast<std::int64_t>(value * kThousand);
}

double fromThousandths(std::int64_t number) {
    return static_cast<double>(number) / kThousand;
}

/// Writes a rate limit as 0 if there is none, else as one more than its thousandths.
std::int64_t toRateField(const std::optional<double>& rate) {
    return rate ? toThousandths(*rate) + 1 : 0;
}

std::optional<double> fromRateField(std::int64_t number) {
    return number > 0 ? std::optional(fromThousandths(number - 1)) : std::nullopt;
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
    fields->add(load.running).add(load.waiting).add(load.limit).add(load.mean_service_time.count());
}

QueueLoad readLoad(FieldReader* fields) {
    QueueLoad load;
    load.running = static_cast<std::uint32_t>(fields->number());
    load.waiting = static_cast<std::uint32_t>(fields->number());
    load.limit = static_cast<std::uint32_t>(fields->number());
    load.mean_service_time = Duration(fields->number());
    return load;
}

void writePace(FieldWriter* fields, const QueueLoad& load) {
    fields->add(toThousandths(load.pace)).add(toMilliseconds(load.pace_age));
}

/// A pace that is out of range reads as unknown.
void readPace(FieldReader* fields, QueueLoad* load) {
    const double pace = fromThousandths(fields->number());
    const auto age_ms = std::clamp<std::int64_t>(fields->number(), 0, kMaxPaceAgeMs);
    if (pace > 0 && pace <= kMaxPace) {
        load->pace = pace;
        load->pace_age = std::chrono::milliseconds(age_ms);
    }
}

void write(FieldWriter* fields, const InstanceNotice& notice) {
    fields->add(static_cast<std::int64_t>(notice.start_ms)).add(notice.is_leaving ? 1 : 0);
    fields->add(notice.is_rate_limit_known ? 1 : 0).add(toRateField(notice.rate_limit));
}

InstanceNotice readNotice(FieldReader* fields) {
    InstanceNotice notice;
    notice.start_ms = static_cast<std::uint64_t>(fields->number());
    notice.is_leaving = fields->number() != 0;
    notice.is_rate_limit_known = fields->number() != 0;
    notice.rate_limit = fromRateField(fields->number());
    return notice;
}

void write(FieldWriter* fields, const decision::RouteReport& report) {
    fields->add(report.is_internal ? (*report.is_internal ? kInternal : kExternal) : kUnclassified);
    fields->add(toThousandths(report.load.demand)).add(toThousandths(report.load.capacity));
    fields->add(toThousandths(report.load.busy)).add(report.time.count());
    fields->add(report.downstream.service)
        .add(toThousandths(report.downstream.admit_ratio))
        .add(report.downstream.cost.count());
}

decision::RouteReport readReport(FieldReader* fields) {
    decision::RouteReport report;
    const auto route_kind = fields->number();
    report.is_internal = route_kind == kUnclassified ? std::nullopt : std::optional(route_kind == kInternal);
    report.load.demand = fromThousandths(fields->number());
    report.load.capacity = fromThousandths(fields->number());
    report.load.busy = fromThousandths(fields->number());
    report.time = Duration(fields->number());
    report.downstream.service = fields->text();
    report.downstream.admit_ratio = fromThousandths(fields->number());
    report.downstream.cost = Duration(fields->number());
    return report;
}

void writeRetries(FieldWriter* fields, const decision::RouteReport& report) {
    fields->add(toThousandths(report.load.retry_demand)).add(toThousandths(report.load.retry_capacity));
    fields->add(toThousandths(report.load.first_attempts)).add(toThousandths(report.downstream.retry_ratio));
    fields->add(toThousandths(report.downstream.retries_per_call)).add(toThousandths(report.downstream.calls));
}

/// Nodes of earlier versions send none of these fields. A ratio without calls is therefore unknown.
void readRetries(FieldReader* fields, decision::RouteReport* report) {
    report->load.retry_demand = fromThousandths(fields->number());
    report->load.retry_capacity = fromThousandths(fields->number());
    report->load.first_attempts = fromThousandths(fields->number());
    auto& downstream = report->downstream;
    const double retry_ratio = fromThousandths(fields->number());
    downstream.retries_per_call = fromThousandths(fields->number());
    downstream.calls = fromThousandths(fields->number());
    downstream.retry_ratio = downstream.calls > 0 ? retry_ratio : 1;
}

/// A value of a newer version that is not known here reads as the most conservative one.
RelayOutcome toOutcome(std::int64_t number) {
    const bool is_known = number >= 0 && number <= static_cast<std::int64_t>(RelayOutcome::kUnknown);
    return is_known ? static_cast<RelayOutcome>(number) : RelayOutcome::kUnknown;
}

RetryPolicy toRetryPolicy(std::int64_t number) {
    const bool is_known = number >= 0 && number <= static_cast<std::int64_t>(RetryPolicy::kAlways);
    return is_known ? static_cast<RetryPolicy>(number) : RetryPolicy::kNever;
}

}  // namespace

HttpRequest toHttp(RelayRequest request, const RelayPeer& sender, TimePoint now) {
    FieldWriter fields;
    write(&fields, sender);
    fields.add(request.instance).add(request.route).add(request.priority);
    fields.add(request.is_retry ? 1 : 0).add(request.is_last_candidate ? 1 : 0);
    fields.add((request.deadline - now).count()).add(request.max_wait.count());
    fields.add(toThousandths(request.call_context.retry_probability))
        .add(toThousandths(request.call_context.demand_weight));
    fields.add(request.is_counted ? 1 : 0).add(request.is_suspect ? 1 : 0);
    fields.add(static_cast<std::int64_t>(request.retry_policy)).add(request.is_retry_paid ? 1 : 0);
    fields.add(request.is_only_candidate ? 1 : 0);
    fields.add(static_cast<std::int64_t>(request.instance_start_ms)).add(toRateField(request.known_rate_limit));
    fields.add(toThousandths(request.call_context.no_retry_share));
    auto message = std::move(request.request);
    message.headers.set(kRequestHeader, fields.take());
    return message;
}

bool isRelayed(const HttpRequest& request) {
    return request.headers.has(kRequestHeader);
}

ReceivedRequest fromHttp(HttpRequest request, TimePoint now) {
    FieldReader fields(request.headers.get(kRequestHeader));
    ReceivedRequest received;
    received.sender = readPeer(&fields);
    auto& relayed = received.request;
    relayed.instance = fields.text();
    relayed.route = fields.text();
    relayed.priority = static_cast<std::uint32_t>(fields.number());
    relayed.is_retry = fields.number() != 0;
    relayed.is_last_candidate = fields.number() != 0;
    relayed.deadline = now + Duration(fields.number());
    relayed.max_wait = Duration(fields.number());
    relayed.call_context.retry_probability = std::clamp(fromThousandths(fields.number()), 0.0, 1.0);
    relayed.call_context.demand_weight = std::max(1.0, fromThousandths(fields.number()));
    relayed.is_counted = fields.number() != 0;
    relayed.is_suspect = fields.number() != 0;
    relayed.retry_policy = toRetryPolicy(fields.number());
    relayed.is_retry_paid = fields.number() != 0;
    relayed.is_only_candidate = fields.number() != 0;
    relayed.instance_start_ms = static_cast<std::uint64_t>(fields.number());
    relayed.known_rate_limit = fromRateField(fields.number());
    relayed.call_context.no_retry_share = std::clamp(fromThousandths(fields.number()), 0.0, 1.0);
    request.headers.removePrefix(kRelayHeaderPrefix);
    relayed.request = std::move(request);
    return received;
}

HttpResponse toHttp(RelayResult result, const RelayPeer& sender) {
    FieldWriter fields;
    write(&fields, sender);
    fields.add(static_cast<std::int64_t>(result.outcome)).add(static_cast<std::int64_t>(result.reason));
    fields.add(result.was_sent ? 1 : 0);
    write(&fields, result.load);
    write(&fields, result.report);
    fields.add(result.failed_downstream ? 1 : 0);
    fields.add(sender.table_age ? sender.table_age->count() + 1 : 0);
    fields.add(result.is_retry_paid ? 1 : 0);
    write(&fields, result.notice);
    fields.add(result.load.rate_wait.count());
    writePace(&fields, result.load);
    writeRetries(&fields, result.report);
    auto response = std::move(result.response);
    if (result.outcome != RelayOutcome::kResponded) {
        response.status = kHttpOk;
    }
    response.headers.removePrefix(kRelayHeaderPrefix);
    response.headers.add(std::string(kResultHeader), fields.take());
    return response;
}

ReceivedResult fromHttp(HttpResponse response) {
    ReceivedResult received;
    auto& result = received.result;
    if (!response.headers.has(kResultHeader)) {
        result.outcome = RelayOutcome::kUnknown;
        result.reason = RelayReason::kRelayLost;
        result.was_sent = true;
        return received;
    }
    FieldReader fields(response.headers.get(kResultHeader));
    received.sender = readPeer(&fields);
    result.outcome = toOutcome(fields.number());
    result.reason = static_cast<RelayReason>(fields.number());
    result.was_sent = fields.number() != 0;
    result.load = readLoad(&fields);
    result.has_load = true;
    result.report = readReport(&fields);
    result.failed_downstream = fields.number() != 0;
    if (const auto age = fields.number(); age > 0) {
        received.sender.table_age = Duration(age - 1);
    }
    result.is_retry_paid = fields.number() != 0;
    result.notice = readNotice(&fields);
    result.load.rate_limit = result.notice.rate_limit;
    result.load.rate_wait = Duration(fields.number());
    readPace(&fields, &result.load);
    readRetries(&fields, &result.report);
    response.headers.removePrefix(kRelayHeaderPrefix);
    result.response = std::move(response);
    return received;
}

}  // namespace dewcrank::relay
