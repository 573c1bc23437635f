/// @file
/// The virtual network: HTTP calls between hosts over links with latency, which can be cut.
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

/// Base latencies of links, each one way. The latency of a message is up to 30 % longer, at random.
struct NetworkOptions {
    Duration intra_zone = 100us;
    Duration inter_zone = 500us;
    Duration client_link = 8ms;             ///< Between callers and the zone that they call.
    Duration connect_time = 1ms;            ///< Added to the first request on a connection.
    Duration max_idle_time = kMaxIdleTime;  ///< Idle connections are closed after this time.
};

/// One end of a connection: the host that has opened it, and the address of the server.
struct ConnectionEnds {
    const Host& client;
    const std::string& address;
};

/// A server that is registered at an address.
struct Server {
    using Reply = std::function<void(HttpResponse)>;
    Host* host = nullptr;
    /// Handles a request and replies once, with status 0 if the connection is to be closed without a response.
    /// @return a number of the request for `cancel`.
    std::function<std::uint64_t(HttpRequest, Reply)> handle;
    /// Called when the client has closed the connection of a request.
    std::function<void(std::uint64_t)> cancel;
    /// @return how many connections the server accepts at present; further ones are refused. Null: any number.
    std::function<std::size_t()> max_connections{};
};

/// All servers, connections and calls under way, and the links between zones.
class Network {
public:
    Network(EventQueue& queue, RandomSource& random, NetworkOptions options)
        : queue_(queue), random_(random), options_(options) {}

    /// Cuts or restores one direction between two zones. Messages on a link that is cut are lost without a reset.
    void setCut(const std::string& from, const std::string& to, bool is_cut);
    [[nodiscard]] bool isCut(const std::string& from, const std::string& to) const;

    /// Cuts or restores one direction between two hosts.
    void setCut(const Host& from, const Host& to, bool is_cut);

    /// Makes the open connections that `affects` selects silent for good: nothing arrives on them any more, and no
    /// reset shows it. New connections work.
    void silenceConnections(const std::function<bool(const ConnectionEnds&)>& affects);

    /// Registers a server, in place of an earlier one at this address.
    void addServer(const std::string& address, Server server) {
        closing_servers_.erase(address);
        servers_[address] = std::move(server);
    }
    /// The server refuses new connections, and closes each open one after its next response.
    void stopAccepting(const std::string& address) { closing_servers_.insert(address); }
    enum class ConnectionChoice { kIdleOrNew, kNew };
    /// Sends one HTTP request, with the guarantees of HttpTransport::send().
    AttemptHandle call(Host& from, const std::string& address, HttpRequest request, Duration timeout,
                       HttpTransport::Callback callback, ConnectionChoice choice = ConnectionChoice::kIdleOrNew);
    [[nodiscard]] std::optional<Duration> idleTime(Host& from, const std::string& address) const;
    void closeIdleConnections(Host& from, const std::string& address, Duration min_idle_time);
    /// Closes all connections of a killed host: clients of its servers see a reset, its own calls are cancelled.
    void onHostKilled(Host& host);

private:
    struct Call;
    class CallHandle;
    using CallPtr = std::shared_ptr<Call>;
    /// A connection that waits for the next request of its client.
    struct IdleConnection {
        TimePoint since{};
        bool is_silent = false;
    };

    /// @return true if messages between two hosts are lost.
    [[nodiscard]] bool isBlocked(const Host& from, const Host& to) const {
        return isCut(from.zone(), to.zone()) || cut_hosts_.contains({&from, &to});
    }
    /// @return the latency of one message, drawn at random.
    [[nodiscard]] Duration latency(const std::string& from, const std::string& to);
    [[nodiscard]] bool acceptsConnection(const Call& call, const Server& server) const;
    void setHoldsConnection(const CallPtr& call, bool holds);
    void deliver(const CallPtr& call);
    void respond(const CallPtr& call, HttpResponse response);
    void finish(const CallPtr& call, AttemptResult result);
    void scheduleFinish(const CallPtr& call, Duration delay, AttemptResult result);
    void cancel(const CallPtr& call);
    void release(const CallPtr& call);

    EventQueue& queue_;
    RandomSource& random_;
    NetworkOptions options_;
    std::map<std::string, Server> servers_;
    std::set<std::pair<std::string, std::string>> cuts_;       ///< Pairs of zones, from and to.
    std::set<std::pair<const Host*, const Host*>> cut_hosts_;  ///< From and to.
    /// By client and address. The last one is used first.
    std::map<std::pair<Host*, std::string>, std::vector<IdleConnection>> idle_connections_;
    std::set<std::string> closing_servers_;
    std::map<std::string, std::size_t> busy_connections_;  ///< Connections that carry a call, by address.
    std::map<std::uint64_t, CallPtr> calls_;
    std::uint64_t last_call_ = 0;
};

/// @return the zone name of callers of a zone, "client:north" for "north". Their messages take `client_link`.
std::string clientZone(const std::string& zone);

/// The network as one host uses it.
class SimHttpPort : public HttpTransport {
public:
    SimHttpPort(Network& network, Host& host) : network_(network), host_(host) {}
    AttemptHandle send(const std::string& address, HttpRequest request, Duration timeout, Callback callback) override {
        return network_.call(host_, address, std::move(request), timeout, std::move(callback));
    }
    AttemptHandle sendOnNewConnection(const std::string& address, HttpRequest request, Duration timeout,
                                      Callback callback) override {
        return network_.call(host_, address, std::move(request), timeout, std::move(callback),
                             Network::ConnectionChoice::kNew);
    }
    [[nodiscard]] std::optional<Duration> idleTime(const std::string& address) const override {
        return network_.idleTime(host_, address);
    }
    void closeIdleConnections(const std::string& address, Duration min_idle_time) override {
        network_.closeIdleConnections(host_, address, min_idle_time);
    }

private:
    Network& network_;
    Host& host_;
};

}  // namespace dewcrank::sim
