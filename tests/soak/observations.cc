#include "tests/soak/observations.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace dewcrank::soak {

namespace {

bool overlaps(const Disturbance& it, TimePoint from, TimePoint to) {
    return it.started <= to && (it.ended == TimePoint{} || it.ended >= from);
}

}  // namespace

CallerRequest& Observations::addRequest(CallerRequest request) {
    request.version = tables.empty() ? 0 : tables.back().version;
    requests.push_back(std::make_unique<CallerRequest>(std::move(request)));
    return *requests.back();
}

void Observations::onArrival(const std::string& service, const std::string& instance, const HttpRequest& request) {
    const std::string id(request.headers.get(names_.request_id));
    const bool is_new = arrived_.insert(service + " " + id).second;
    const Arrival arrival{clock_.now(), id, is_new && !calls_of_retries_.contains(id)};
    if (!arrival.is_first) {
        calls_of_retries_.insert(standins::Instance::callId(id, instance));
    }
    arrivals[service].push_back(arrival);
    arrivals_by_instance[instance].push_back(arrival);
    tenant_by_request[id] = request.headers.get(names_.tenant);
    if (request.headers.has("Authorization")) {
        leaked_keys.push_back(id);
    }
}

void Observations::onRunStarted(const std::string& service, const std::string& instance, const std::string& id) {
    active_runs_[instance + " " + id] = runs.size();
    runs.push_back({id, service, instance, clock_.now(), {}});
}

void Observations::onRunEnded(const std::string& instance, const std::string& id) {
    const auto found = active_runs_.extract(instance + " " + id);
    if (!found.empty()) {
        runs[found.mapped()].ended = clock_.now();
    }
    const auto call = open_calls_.extract(standins::Instance::callId(id, instance));
    if (!call.empty()) {
        call.mapped()->has_disconnected = true;
        call.mapped()->ended = clock_.now();
    }
}

void Observations::onRunCrashed(const std::string& instance, const std::string& id) {
    if (const auto found = active_runs_.find(instance + " " + id); found != active_runs_.end()) {
        runs[found->second].has_crashed = true;
    }
}

void Observations::onRunAnswered(const std::string& instance, const std::string& id, const HttpResponse& response,
                                 bool is_intact) {
    answers[id].push_back({instance, clock_.now(), response.status,
                           std::string(response.headers.get(names_.server_stamp)), response.body.size(),
                           XXH3_64bits(response.body.data(), response.body.size()), is_intact});
}

void Observations::onCallSent(const std::string& instance, const std::string&, const HttpRequest& call) {
    const auto node = node_by_instance.find(instance);
    if (node == node_by_instance.end()) {
        return;
    }
    auto request = std::make_unique<CallerRequest>();
    request->id = call.headers.get(names_.request_id);
    request->path = call.path;
    request->route = call.path.substr(0, call.path.find('/', 1) + 1);
    request->is_idempotent = call.method == "GET";
    request->entry = node->second;
    request->sent = clock_.now();
    request->deadline = std::chrono::milliseconds(std::stoll(std::string(call.headers.get(names_.deadline_ms))));
    open_calls_[request->id] = request.get();
    calls.push_back(std::move(request));
}

void Observations::onCallEnded(const std::string& instance, const std::string& id, const AttemptResult& result) {
    const auto call = open_calls_.extract(standins::Instance::callId(id, instance));
    if (call.empty()) {
        return;
    }
    call.mapped()->ended = clock_.now();
    call.mapped()->was_sent = result.outcome != AttemptOutcome::kNotSent;
    if (result.outcome == AttemptOutcome::kResponded) {
        recordResponse(result.response, call.mapped());
    }
}

void Observations::recordResponse(const HttpResponse& response, CallerRequest* request) const {
    request->status = response.status;
    request->stamp = response.headers.get(names_.server_stamp);
    request->body_bytes = response.body.size();
    request->body_hash = XXH3_64bits(response.body.data(), response.body.size());
}

void Observations::onResponse(const std::string& instance, const sim::InstanceSignals& named) {
    auto& last = last_signals_[instance];
    if (last != named) {
        last = named;
        signals[instance].push_back({clock_.now(), sim::SignalEvent::Kind::kChange, "", named});
    }
}

void Observations::onCallAnswered(const std::string& instance, const HttpResponse& response) {
    if (const auto found = node_by_instance.find(instance); found != node_by_instance.end()) {
        onPassedResponse(found->second, response);
    }
}

void Observations::onPassedResponse(std::size_t node, const HttpResponse& response) {
    const auto named = sim::signalsIn(response, names_);
    const auto stamp = response.headers.get(names_.server_stamp);
    if (named != sim::InstanceSignals{} && stamp.starts_with(standins::kStampPrefix)) {
        const std::string instance(stamp.substr(standins::kStampPrefix.size()));
        signals[instance].push_back({clock_.now(), sim::SignalEvent::Kind::kPassed, std::to_string(node), named});
    }
}

void Observations::beginRestart(std::size_t node) {
    restarts.push_back({node, clock_.now(), {}});
}

void Observations::endRestart(std::size_t node) {
    for (auto& restart : restarts) {
        if (restart.node == node && restart.ended == TimePoint{}) {
            restart.ended = clock_.now();
        }
    }
}

void Observations::onDrainAcknowledged(const std::string& instance) {
    drained.try_emplace(instance, clock_.now());
}

void Observations::onTable(std::uint64_t version, std::map<std::string, std::string> services_by_route,
                           std::map<std::string, std::string> tenants_by_key,
                           std::map<std::string, Duration> timeouts_by_route) {
    tables.push_back(
        {version, clock_.now(), std::move(services_by_route), std::move(tenants_by_key), std::move(timeouts_by_route)});
}

std::size_t Observations::beginDisturbance(std::size_t node, bool terminates_process, bool is_planned) {
    auto& all = disturbances_[node];
    all.push_back({clock_.now(), {}, terminates_process, is_planned});
    return all.size() - 1;
}

void Observations::endDisturbance(std::size_t node, std::size_t number) {
    disturbances_[node][number].ended = clock_.now();
}

bool Observations::wasDisturbed(std::size_t node, TimePoint from, TimePoint to) const {
    const auto found = disturbances_.find(node);
    return found != disturbances_.end() && std::any_of(found->second.begin(), found->second.end(),
                                                       [&](const Disturbance& it) { return overlaps(it, from, to); });
}

bool Observations::wasHarmed(std::size_t node, TimePoint from, TimePoint to) const {
    const auto found = disturbances_.find(node);
    return found != disturbances_.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](const Disturbance& it) { return !it.is_planned && overlaps(it, from, to); });
}

bool Observations::anyDisturbed(TimePoint from, TimePoint to) const {
    return std::any_of(disturbances_.begin(), disturbances_.end(),
                       [&](const auto& entry) { return wasDisturbed(entry.first, from, to); });
}

bool Observations::wasTerminated(std::size_t node, TimePoint from, TimePoint to) const {
    const auto found = disturbances_.find(node);
    return found != disturbances_.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](const Disturbance& it) { return it.terminates_process && overlaps(it, from, to); });
}

}  // namespace dewcrank::soak
