#include "sim/network.h"

#include <algorithm>
#include <utility>

namespace dewcrank::sim {

namespace {

const std::string kClientPrefix = "client:";
/// A message takes from 1 to 1.3 times the base latency of its link.
constexpr double kLatencySpread = 0.3;

/// @return the zone itself, without the mark of its callers.
std::string baseZone(const std::string& zone) {
    return zone.starts_with(kClientPrefix) ? zone.substr(kClientPrefix.size()) : zone;
}

}  // namespace

std::string clientZone(const std::string& zone) {
    return kClientPrefix + zone;
}

/// State of one HTTP call, from the sending to its end.
struct Network::Call {
    std::uint64_t number = 0;
    Host* from = nullptr;
    std::uint64_t from_incarnation = 0;
    std::string address;
    HttpRequest request;
    HttpTransport::Callback callback;
    TimerHandle timer;
    bool used_idle_connection = false;
    bool is_connected = false;
    bool is_silent = false;  ///< Nothing arrives on its connection any more.
    bool is_delivered = false;
    bool has_response = false;
    bool is_finished = false;
    bool holds_connection = false;  ///< Counted in busy_connections_.
    std::uint64_t server_number = 0;
    Host* server_host = nullptr;
};

/// Cancels the call when destroyed, as closing the connection does.
class Network::CallHandle : public Attempt {
public:
    CallHandle(Network& network, CallPtr call) : network_(network), call_(std::move(call)) {}
    ~CallHandle() override {
        call_->callback = nullptr;
        if (!call_->is_finished) {
            network_.cancel(call_);
        }
    }
    [[nodiscard]] bool isUnacknowledged() const override {
        return call_->used_idle_connection && !call_->is_connected && !call_->is_finished;
    }
    CallHandle(const CallHandle&) = delete;
    CallHandle& operator=(const CallHandle&) = delete;

private:
    Network& network_;
    CallPtr call_;
};

void Network::setCut(const std::string& from, const std::string& to, bool is_cut) {
    if (is_cut) {
        cuts_.insert({from, to});
    } else {
        cuts_.erase({from, to});
    }
}

void Network::setCut(const Host& from, const Host& to, bool is_cut) {
    if (is_cut) {
        cut_hosts_.insert({&from, &to});
    } else {
        cut_hosts_.erase({&from, &to});
    }
}

bool Network::isCut(const std::string& from, const std::string& to) const {
    return cuts_.contains({baseZone(from), baseZone(to)});
}

/// Calls that are connected, or were sent on an idle connection, have an open connection. A call that connects has none
/// yet.
void Network::silenceConnections(const std::function<bool(const ConnectionEnds&)>& affects) {
    for (auto& [ends, connections] : idle_connections_) {
        if (affects({*ends.first, ends.second})) {
            for (auto& connection : connections) {
                connection.is_silent = true;
            }
        }
    }
    for (auto& [number, call] : calls_) {
        const bool has_connection = call->is_connected || call->used_idle_connection;
        call->is_silent = call->is_silent || (has_connection && affects({*call->from, call->address}));
    }
}

Duration Network::latency(const std::string& from, const std::string& to) {
    auto base = baseZone(from) == baseZone(to) ? options_.intra_zone : options_.inter_zone;
    if (from != baseZone(from) || to != baseZone(to)) {
        base = options_.client_link;
    }
    const double factor = 1 + kLatencySpread * random_.unit();
    return Duration(static_cast<std::int64_t>(static_cast<double>(base.count()) * factor));
}

// Calls --------------------------------------------------------------------

AttemptHandle Network::call(Host& from, const std::string& address, HttpRequest request, Duration timeout,
                            HttpTransport::Callback callback, ConnectionChoice choice) {
    auto call = std::make_shared<Call>();
    call->number = ++last_call_;
    call->from = &from;
    call->from_incarnation = from.incarnation();
    call->address = address;
    call->request = std::move(request);
    call->callback = std::move(callback);
    calls_[call->number] = call;
    const auto on_timeout = [this, call] {
        const bool may_be_sent = call->is_connected || call->used_idle_connection;
        cancel(call);
        finish(call, {may_be_sent ? AttemptOutcome::kUnknown : AttemptOutcome::kNotSent, {}, std::string(kTimedOut)});
    };
    call->timer = from.startTimer(std::min(timeout, kConnectTimeout), [&from, call, timeout, on_timeout] {
        const bool may_be_sent = call->is_connected || call->used_idle_connection;
        if (!may_be_sent || timeout <= kConnectTimeout) {
            on_timeout();
            return;
        }
        call->timer = from.startTimer(timeout - kConnectTimeout, on_timeout);
    });
    const auto found = servers_.find(address);
    if (found == servers_.end()) {
        scheduleFinish(call, options_.connect_time, {AttemptOutcome::kNotSent, {}, "connect-failed"});
        return std::make_unique<CallHandle>(*this, call);
    }
    auto& idle = idle_connections_[{&from, address}];
    auto delay = latency(from.zone(), found->second.host->zone());
    std::erase_if(idle, [this](const auto& it) { return queue_.now() - it.since >= options_.max_idle_time; });
    if (!idle.empty() && choice == ConnectionChoice::kIdleOrNew) {
        call->is_silent = idle.back().is_silent;
        idle.pop_back();
        call->used_idle_connection = true;
        setHoldsConnection(call, true);
    } else {
        delay += options_.connect_time;
    }
    queue_.schedule(queue_.now() + delay, nullptr, [this, call] { deliver(call); });
    return std::make_unique<CallHandle>(*this, call);
}

std::optional<Duration> Network::idleTime(Host& from, const std::string& address) const {
    const auto found = idle_connections_.find({&from, address});
    if (found == idle_connections_.end() || found->second.empty()) {
        return std::nullopt;
    }
    const auto idle_time = queue_.now() - found->second.back().since;
    return idle_time < options_.max_idle_time ? std::optional(idle_time) : std::nullopt;
}

void Network::closeIdleConnections(Host& from, const std::string& address, Duration min_idle_time) {
    std::erase_if(idle_connections_[{&from, address}],
                  [&](const auto& it) { return queue_.now() - it.since >= min_idle_time; });
}

void Network::setHoldsConnection(const CallPtr& call, bool holds) {
    if (call->holds_connection != holds) {
        call->holds_connection = holds;
        holds ? ++busy_connections_[call->address] : --busy_connections_[call->address];
    }
}

/// Of the idle connections to the server only those of this client count: an instance is called by its own node only.
bool Network::acceptsConnection(const Call& call, const Server& server) const {
    if (closing_servers_.contains(call.address)) {
        return false;
    }
    if (server.max_connections == nullptr) {
        return true;
    }
    std::size_t open = 0;
    if (const auto busy = busy_connections_.find(call.address); busy != busy_connections_.end()) {
        open += busy->second;
    }
    if (const auto idle = idle_connections_.find({call.from, call.address}); idle != idle_connections_.end()) {
        open +=
            static_cast<std::size_t>(std::count_if(idle->second.begin(), idle->second.end(), [this](const auto& it) {
                return queue_.now() - it.since < options_.max_idle_time;
            }));
    }
    return open < server.max_connections();
}

/// The request arrives at the server's host.
void Network::deliver(const CallPtr& call) {
    const auto& server = servers_.at(call->address);
    auto* host = server.host;
    if (call->is_finished || call->is_silent || isBlocked(*call->from, *host)) {
        return;
    }
    const bool is_refused = !call->used_idle_connection && !acceptsConnection(*call, server);
    if (!host->isUp() || is_refused) {
        // On an idle connection the request went out before the reset came back.
        const auto outcome = call->used_idle_connection ? AttemptOutcome::kUnknown : AttemptOutcome::kNotSent;
        scheduleFinish(call, latency(host->zone(), call->from->zone()), {outcome, {}, std::string(kConnectionClosed)});
        return;
    }
    call->is_connected = true;
    setHoldsConnection(call, true);
    call->server_host = host;
    queue_.schedule(queue_.now(), host, [this, call] {
        if (call->is_finished) {
            return;
        }
        call->is_delivered = true;
        const auto& current = servers_.at(call->address);
        call->server_number = current.handle(
            std::move(call->request), [this, call](HttpResponse response) { respond(call, std::move(response)); });
    });
}

void Network::respond(const CallPtr& call, HttpResponse response) {
    call->has_response = true;
    const auto& from = *call->server_host;
    const auto& to = *call->from;
    if (call->is_finished || call->is_silent || isBlocked(from, to)) {
        return;
    }
    const bool has_no_response = response.status == 0;
    auto result = has_no_response ? AttemptResult{AttemptOutcome::kUnknown, {}, std::string(kConnectionClosed)}
                                  : AttemptResult{AttemptOutcome::kResponded, std::move(response), ""};
    const auto delay = latency(from.zone(), to.zone());
    queue_.schedule(queue_.now() + delay, call->from, [this, call, result = std::move(result)] {
        if (call->is_finished || call->is_silent || isBlocked(*call->server_host, *call->from)) {
            return;
        }
        if (result.outcome == AttemptOutcome::kResponded && !closing_servers_.contains(call->address)) {
            idle_connections_[{call->from, call->address}].push_back({queue_.now()});
        }
        finish(call, result);
    });
}

void Network::scheduleFinish(const CallPtr& call, Duration delay, AttemptResult result) {
    queue_.schedule(queue_.now() + delay, call->from,
                    [this, call, result = std::move(result)] { finish(call, result); });
}

void Network::finish(const CallPtr& call, AttemptResult result) {
    if (call->callback == nullptr) {
        return;
    }
    result.used_idle_connection = call->used_idle_connection;
    if (result.outcome == AttemptOutcome::kNotSent) {
        result.unsent = std::move(call->request);
    }
    const auto callback = std::exchange(call->callback, nullptr);
    release(call);
    callback(std::move(result));
}

/// The client closes its connection; the server is notified one latency later.
void Network::cancel(const CallPtr& call) {
    if (call->is_finished) {
        return;
    }
    release(call);
    const bool is_unreachable =
        call->server_host == nullptr || call->is_silent || isBlocked(*call->from, *call->server_host);
    if (is_unreachable) {
        return;
    }
    const auto delay = latency(call->from->zone(), call->server_host->zone());
    queue_.schedule(queue_.now() + delay, call->server_host, [this, call] {
        if (call->is_delivered) {
            servers_.at(call->address).cancel(call->server_number);
        }
    });
}

void Network::release(const CallPtr& call) {
    setHoldsConnection(call, false);
    call->is_finished = true;
    call->timer.reset();
    calls_.erase(call->number);
}

void Network::onHostKilled(Host& host) {
    std::erase_if(idle_connections_, [&host](const auto& entry) { return entry.first.first == &host; });
    for (auto& [route, idle] : idle_connections_) {
        const auto server = servers_.find(route.second);
        if (server != servers_.end() && server->second.host == &host) {
            idle.clear();
        }
    }
    std::vector<CallPtr> from_server;
    for (const auto& [number, call] : calls_) {
        if (call->server_host == &host && call->from != &host && !call->is_silent) {
            from_server.push_back(call);
        }
    }
    for (const auto& call : from_server) {
        if (!isBlocked(host, *call->from)) {
            scheduleFinish(call, latency(host.zone(), call->from->zone()),
                           {AttemptOutcome::kUnknown, {}, std::string(kConnectionClosed)});
        }
    }
    std::vector<CallPtr> from_client;
    for (const auto& [number, call] : calls_) {
        if (call->from == &host) {
            from_client.push_back(call);
        }
    }
    for (const auto& call : from_client) {
        call->callback = nullptr;
        cancel(call);
    }
}

}  // namespace dewcrank::sim
