/// @file
/// The virtual network: HTTP calls over links that are slow or cut.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sim/virtual_clock.h"
#include "src/ports/http_transport.h"
#include "src/ports/random_source.h"

namespace dewcrank::sim {

/// How links behave.
struct NetworkOptions {
    Duration within_zone = 100us;  ///< One way.
    Duration between_zones = 500us;
    Duration client = 8ms;  ///< Between callers and their zone.
    Duration connect = 1ms;
};

/// A server on a host: takes requests, and notices of callers that have left.
struct Server {
    using Reply = std::function<void(HttpResponse)>;
    Host* host = nullptr;
    /// @return a number for `left`.
    std::function<std::uint64_t(HttpRequest, Reply)> handle;
    std::function<void(std::uint64_t)> left;
};

/// Zones, hosts and what is between them.
class Network {
public:
    Network(EventQueue& queue, RandomSource& random, NetworkOptions options)
        : queue_(queue), random_(random), options_(options) {}

    /// Cuts or heals one direction between two zones.
    void setCut(const std::string& from, const std::string& to, bool is_cut);
    [[nodiscard]] bool isCut(const std::string& from, const std::string& to) const;

    void addServer(const std::string& address, Server server) {
        closing_servers_.erase(address);
        servers_[address] = std::move(server);
    }
    /// The server takes no new connections and closes each after its next answer.
    void stopAccepting(const std::string& address) { closing_servers_.insert(address); }
    /// One HTTP call, as HttpClient promises it.
    AttemptHandle call(Host& from, const std::string& address, HttpRequest request, Duration timeout,
                       HttpTransport::Callback callback);
    /// A host has died: whoever waits for its answers sees the connection close.
    void onHostKilled(Host& host);

private:
    struct Call;
    class CallHandle;
    using CallPtr = std::shared_ptr<Call>;

    [[nodiscard]] Duration latency(const std::string& from, const std::string& to);
    void deliver(const CallPtr& call);
    void answer(const CallPtr& call, HttpResponse answer);
    void finish(const CallPtr& call, AttemptResult result);
    void finishLater(const CallPtr& call, Duration delay, AttemptResult result);
    void leave(const CallPtr& call);
    void forget(const CallPtr& call);

    EventQueue& queue_;
    RandomSource& random_;
    NetworkOptions options_;
    std::map<std::string, Server> servers_;
    std::set<std::pair<std::string, std::string>> cuts_;
    /// When each became idle; the last one is used first.
    std::map<std::pair<Host*, std::string>, std::vector<TimePoint>> idle_connections_;
    std::set<std::string> closing_servers_;
    std::map<std::uint64_t, CallPtr> calls_;
    std::uint64_t last_call_ = 0;
};

/// Zone name of a zone's callers; "client:north" talks to "north" at the client latency.
std::string clientZone(const std::string& zone);

/// HttpTransport of one host.
class SimHttpPort : public HttpTransport {
public:
    SimHttpPort(Network& network, Host& host) : network_(network), host_(host) {}
    AttemptHandle send(const std::string& address, HttpRequest request, Duration timeout, Callback callback) override {
        return network_.call(host_, address, std::move(request), timeout, std::move(callback));
    }

private:
    Network& network_;
    Host& host_;
};

}  // namespace dewcrank::sim
