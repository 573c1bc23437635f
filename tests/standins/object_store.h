/// @file
/// Stand-in for the platform's object store: the part of its HTTP interface that nodes use, and fault injection.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "src/adapters/event_loop.h"
#include "src/adapters/http_server.h"
#include "src/ports/random_source.h"

namespace dewcrank::standins {

/// Faults of the store. The default responds at once.
struct StoreFaults {
    int error_status = 0;          ///< HTTP status of every response, without executing the request; 0: none.
    bool never_responds = false;   ///< Requests are read and get no response.
    Duration delay{};              ///< Delay before each request is executed.
    double lost_responses = 0;     ///< Share of executed writes whose connection closes without a response.
    bool expires_history = false;  ///< Watches from revisions before the current one get status 410.
};

/// Stores objects by kind and name in memory, with one revision counter for all of them. Acknowledged writes are lost
/// only by `restoreFromBackup`.
class ObjectStore {
public:
    ObjectStore(adapters::EventLoop& loop, RandomSource& random);

    /// @param address to listen at; port 0 selects a free port. @return the address in use.
    Result<adapters::SocketAddress> listen(const adapters::SocketAddress& address) { return server_.listen(address); }
    /// Writes the `Spec` of an object directly, unaffected by faults, as an operator would.
    void put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
    /// Saves a backup of all objects, the history and the revision.
    void saveCopy();
    /// Restores the backup and aborts open watches. Later writes are lost, their revisions are reused, and the era
    /// increases.
    void restoreFromBackup();
    /// @return the `Spec` of an object; null if it does not exist.
    [[nodiscard]] nlohmann::json get(const std::string& kind, const std::string& name) const;
    StoreFaults& faults() { return faults_; }
    /// @return the number of HTTP requests received.
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    using Json = nlohmann::json;
    using Exchange = std::shared_ptr<adapters::ServerExchange>;
    /// An entry of the history: a write or a deletion.
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        Json object;
        bool is_deleted = false;
    };
    /// A long poll for changes of a kind after a revision.
    struct Watch {
        std::uint64_t number = 0;
        std::string kind;
        std::uint64_t revision = 0;
        Exchange exchange;
        TimerHandle timer;
    };
    /// Parsed path of a request.
    struct Target {
        std::string kind;
        std::string name;
        std::map<std::string, std::string> query;
    };
    static Target targetOf(const std::string& path);
    void onRequest(const HttpRequest& request, const Exchange& exchange);
    void serve(const HttpRequest& request, const Exchange& exchange);
    void list(const Target& target, const Exchange& exchange);
    void watch(const Target& target, const Exchange& exchange);
    void write(const std::string& method, const Target& target, const Json& body, const Exchange& exchange);
    void remove(const Target& target, const Exchange& exchange);
    /// Responds to a write that was executed, or closes the connection (`lost_responses`).
    void acknowledge(const Exchange& exchange, const Json& body);
    void respond(const Exchange& exchange, int status, const Json& body);
    void store(const std::string& kind, const std::string& name, const Json& spec);
    void onChanged(const Change& change);
    void endWatch(std::uint64_t number);
    [[nodiscard]] Json changesSince(const std::string& kind, std::uint64_t revision) const;

    adapters::EventLoop& loop_;
    RandomSource& random_;
    StoreFaults faults_;
    std::uint64_t calls_ = 0;
    std::uint64_t era_ = 1;
    std::uint64_t revision_ = 1;
    std::uint64_t oldest_revision_ = 0;  ///< Watches from earlier revisions get status 410.
    using Objects = std::map<std::string, std::map<std::string, Json>>;
    Objects objects_;  ///< Objects by kind, then by name.
    std::vector<Change> history_;
    struct Copy {
        std::uint64_t revision = 1;
        Objects objects;
        std::vector<Change> history;
    };
    Copy copy_;
    std::uint64_t last_number_ = 0;
    std::map<std::uint64_t, Watch> watches_;
    std::map<std::uint64_t, TimerHandle> delayed_;
    std::vector<Exchange> stalled_;
    adapters::HttpServer server_;
};

}  // namespace dewcrank::standins
