/// @file
/// A small deployment on loopback for the cases of the review: the platform's store, the processes of the product with
/// the settings of the deploy file, application instances, and the record of what was seen.
#pragma once

#include <condition_variable>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "review/standins/http.h"

namespace review {

/// Figures of a small deployment, as the users' sheet of `hallazgo-comun` gives them.
inline constexpr Milliseconds kHeartbeat{1500};
inline constexpr Milliseconds kContact{3000};
inline constexpr Milliseconds kDrain{2000};
inline constexpr Milliseconds kGracePeriod{6000};

/// Writes lines with the seconds since the start of the case; thread-safe.
class Record {
public:
    explicit Record(const std::string& file);
    void write(const std::string& line);
    /// Seconds since the start, for lines and for checks.
    [[nodiscard]] double seconds(Clock::time_point at) const;
    [[nodiscard]] double seconds() const { return seconds(Clock::now()); }

private:
    std::mutex mutex_;
    std::ofstream file_;
    Clock::time_point start_ = Clock::now();
};

/// The platform's store: objects by kind and name, one counter of revisions, lists and watches.
class Store {
public:
    explicit Store(const Address& address);
    /// Writes the `Spec` of an object as the operator does.
    void put(const std::string& kind, const std::string& name, const nlohmann::json& spec);

private:
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json object;
        bool is_gone = false;
    };
    struct Reply {
        int status = 0;
        nlohmann::json body;
    };
    void serve(Connection& connection);
    Reply answer(const Message& request);
    Reply read(const std::string& kind, const std::string& name, const std::map<std::string, std::string>& query);
    Reply watch(const std::string& kind, std::uint64_t revision, Milliseconds wait);
    Reply write(const std::string& method, const std::string& kind, std::string name, nlohmann::json object);
    nlohmann::json change(const std::string& kind, const std::string& name, const nlohmann::json& spec, bool is_gone);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 1;
    std::map<std::string, std::map<std::string, nlohmann::json>> objects_;
    std::vector<Change> history_;
    std::atomic<bool> is_stopping_ = false;
    std::unique_ptr<Server> server_;

public:
    ~Store();
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;
};

/// One machine: a process of the product beside one application instance.
struct Machine {
    std::string name;
    std::string zone;
    std::string service;
    std::string ip;

    [[nodiscard]] Address inbound() const { return {ip, 8300}; }
    [[nodiscard]] Address instance() const { return {ip, 8301}; }
    [[nodiscard]] Address ready() const { return {ip, 8302}; }
    [[nodiscard]] Address outbound() const { return {ip, 8304}; }
    [[nodiscard]] Address control() const { return {ip, 8306}; }
};

/// The process of the product on a machine. Ends it when destroyed.
class Process {
public:
    /// Fills the template of the deploy file into `folder`.
    Process(Machine machine, const Address& store, const std::string& seeds, std::string folder);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /// Runs the command of the deploy file with the settings.
    void start();
    void signal(int number) const;
    /// Waits until the process has ended. @return false if it still runs at the deadline.
    bool awaitEnd(Clock::time_point deadline);
    [[nodiscard]] bool isRunning();
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] const Machine& machine() const { return machine_; }

private:
    Machine machine_;
    std::string folder_;
    int process_ = -1;
};

/// An application instance: heartbeats to its node, and requests that a case's handler answers.
class Instance {
public:
    /// Answers a request that this instance is to run. May close the connection by returning false.
    using Handler = std::function<bool(Connection&, const Message&)>;

    Instance(Machine machine, std::string id, std::uint32_t slots, Handler handler);
    ~Instance();
    Instance(const Instance&) = delete;
    Instance& operator=(const Instance&) = delete;

    [[nodiscard]] const std::string& id() const { return id_; }
    /// Sends no further heartbeats by itself.
    void stopHeartbeats() { sends_heartbeats_ = false; }
    /// The next heartbeat as it would be sent now.
    [[nodiscard]] Message nextHeartbeat();
    /// Sends a message to the node. @return true if it acknowledged.
    [[nodiscard]] bool send(const Message& message) const;
    [[nodiscard]] Message leaveMessage() const;
    /// Closes the listener and ends all that runs.
    void end();

private:
    void serve(Connection& connection);
    void sendHeartbeats();

    Machine machine_;
    std::string id_;
    std::uint32_t slots_;
    Handler handler_;
    std::atomic<std::uint64_t> calls_ = 0;
    std::atomic<bool> sends_heartbeats_ = true;
    std::atomic<bool> is_ended_ = false;
    std::thread heartbeats_;
    std::unique_ptr<Server> server_;
};

/// A whole answer of an instance to a request.
Message answerOf(const Message& request, const std::string& instance, std::string body);

/// A free loopback address for each machine: 127.x.y.1 and up, with x and y from the process id.
std::string loopbackIp(std::size_t number);

/// A route of the configuration document.
nlohmann::json routeOf(const std::string& host, const std::string& prefix, const std::string& kind,
                       const std::string& service, int timeout_ms);
nlohmann::json configOf(int version, const nlohmann::json& routes, const std::vector<std::string>& services);

/// Waits until all processes are ready. @return false if they aren't in time.
bool awaitReady(const std::vector<Process*>& processes, Milliseconds timeout);

}  // namespace review
