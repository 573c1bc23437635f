/// @file
/// Stand-ins of the second review: a store, application instances, clients and the start of nodes, on loopback
/// addresses. Each keeps to the users' pages; where a page is silent, it behaves as a sound program would.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lab {

using Json = nlohmann::json;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Seconds since the start of the case.
double now();
void sleepFor(double seconds);

/// Writes record.txt of a case, a line for each event.
class Record {
public:
    explicit Record(const std::string& file);
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream file_;
};

/// One HTTP message.
struct Message {
    std::string method;  ///< Of a request.
    std::string path;
    int status = 0;  ///< Of a response.
    Headers headers;
    std::string body;
    [[nodiscard]] std::string get(const std::string& name) const;
};

/// A TCP connection with blocking reads and writes, both with a timeout.
class Connection {
public:
    explicit Connection(int descriptor);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    /// @return null if the connection can't be opened.
    static std::unique_ptr<Connection> open(const std::string& ip, int port, double timeout_s);
    void setTimeout(double seconds) const;
    /// @return false once the peer is gone.
    bool write(const std::string& bytes);
    /// Reads one message; a body is read in pieces, each followed by `onPiece(size)`, and dropped if `drops_body`.
    /// @return nothing if the connection ended or timed out before the end of the message.
    std::optional<Message> read(bool is_response, bool has_body = true,
                                const std::function<void(std::size_t)>& onPiece = nullptr, bool drops_body = false);
    /// @return true if any byte of a message that is not complete was read.
    [[nodiscard]] bool hasPartOfMessage() const { return has_part_; }

private:
    bool fill();
    std::optional<std::string> readLine();
    bool readBytes(std::size_t size, std::string* body, const std::function<void(std::size_t)>& onPiece, bool drops);

    int descriptor_;
    std::string buffer_;
    bool has_part_ = false;
};

/// Accepts connections and serves each in a thread of its own.
class Listener {
public:
    using Serve = std::function<void(Connection&)>;
    Listener(const std::string& ip, int port, Serve serve);

private:
    int descriptor_;
    Serve serve_;
};

/// The platform's store, as far as nodes use it; the operator writes to it with put().
class Store {
public:
    Store(const std::string& ip, int port);
    /// Writes an object as the operator does. @return the time of the acknowledgement.
    double put(const std::string& kind, const std::string& name, const Json& spec);

private:
    struct Change {
        std::uint64_t revision;
        std::string kind;
        Json object;
        bool is_gone;
    };
    void serve(Connection& connection);
    std::pair<int, Json> answer(const Message& request);
    Json write(const std::string& kind, const std::string& name, Json object);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 1;
    std::map<std::string, std::map<std::string, Json>> objects_;
    std::vector<Change> changes_;
    std::unique_ptr<Listener> listener_;
};

/// Addresses of one machine: all at one loopback address of its own.
struct Machine {
    std::string name;
    std::string zone;
    std::string service;
    std::string ip;
    int callers = 0;
    int nodes = 0;
    int heartbeats = 0;
    int readiness = 0;
    int instance = 0;
};
/// @return machines with free ports, at addresses that no other program uses.
std::vector<Machine> makeMachines(const std::vector<std::string>& services);
/// @return a free port at 127.0.0.1.
int freePort();

/// One run at an instance.
struct Run {
    double at = 0;
    std::string id;
    std::string path;
    std::size_t body_bytes = 0;
};

/// An application instance: sends heartbeats to the node beside it and runs requests.
class Instance {
public:
    struct Options {
        double work_s = 0.02;
        double read_bytes_per_s = 0;  ///< Rate at which each body is read; 0: at once.
        int slots = 142;
    };
    Instance(Machine machine, Options options, Record& record);
    [[nodiscard]] std::vector<Run> runs();
    [[nodiscard]] const std::string& id() const { return id_; }
    /// Sends no further heartbeats of its own accord.
    void stopHeartbeats() { beats_ = false; }
    /// @return the body of the next heartbeat, which says that it is ready.
    std::string nextHeartbeat();
    /// Sends a heartbeat now. @return the status of the answer; 0: none.
    int sendHeartbeat(const std::string& body);
    /// Announces that it leaves, and says so at its health path from then on; it serves on.
    /// @return the status of the answer; 0: none.
    int leave();

private:
    void serve(Connection& connection);
    void beat();
    int post(const std::string& path, const std::string& body);

    Machine machine_;
    Options options_;
    Record& record_;
    std::string id_;
    std::atomic<bool> beats_ = true;
    std::atomic<bool> is_leaving_ = false;
    std::mutex mutex_;
    std::uint64_t sequence_ = 0;
    std::vector<Run> runs_;
    std::unique_ptr<Listener> listener_;
};

/// A node process, started with the command of the deploy file and the settings' template with its gaps filled.
class Node {
public:
    Node(Machine machine, const std::string& store, std::string folder);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;
    void start();
    void kill();
    /// @return true if the process has ended; its exit is collected then.
    bool hasEnded();
    [[nodiscard]] bool isReady() const;
    /// Memory that the process holds for itself (RssAnon), in bytes.
    [[nodiscard]] std::size_t memory() const;
    [[nodiscard]] const Machine& machine() const { return machine_; }
    [[nodiscard]] bool isRunning() const { return process_ > 0; }

private:
    Machine machine_;
    std::string settings_;
    std::string log_;
    pid_t process_ = 0;
};

/// Waits until all nodes are ready. @return false after `limit_s`.
bool awaitReady(const std::vector<std::unique_ptr<Node>>& nodes, double limit_s);

/// What a client saw of one request.
struct Answer {
    int status = 0;  ///< 0: none.
    bool has_stamp = false;
    bool is_connection_kept = false;
    std::string body;
    double sent = 0;
    double ended = 0;
};

/// Sends one request and awaits its answer.
/// @param connection a kept one; null: opens one for this request.
Answer call(const Machine& entry, Connection* connection, const std::string& method, const std::string& host,
            const std::string& path, const std::string& id, const std::string& body, int deadline_ms);

/// A route of a configuration.
Json makeRoute(const std::string& prefix, const std::string& kind, const std::string& service, int timeout_ms);
/// @return a configuration without routes.
Json makeConfig(const std::vector<std::string>& services, std::uint64_t max_body_bytes);
/// @return true unless the variable TROUBLE is 0.
bool hasTrouble();
/// Ends the process at once, with the nodes that it started.
[[noreturn]] void finish(int code);

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

}  // namespace lab
