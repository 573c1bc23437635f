/// @file
/// Stand-in for the platform's store of objects, over HTTP: what the nodes use of it, and the ways in
/// which it fails.
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

/// How the store misbehaves. All off: it answers at once.
struct StoreFaults {
    int refuses_with = 0;     ///< Status of each answer; nothing is done. 0: it serves.
    bool is_silent = false;   ///< Requests are taken and never answered.
    Duration delay{};         ///< Before each answer.
    double lost_answers = 0;  ///< Share of the writes that are done and whose connection then closes.
    bool forgets = false;     ///< Watches and reads of history are told that it is gone.
};

/// Keeps objects by kind and name, with one counter of revisions. Loses nothing it has acknowledged.
class ObjectStore {
public:
    ObjectStore(adapters::EventLoop& loop, RandomSource& random);

    Result<adapters::SocketAddress> listen(const adapters::SocketAddress& address) { return server_.listen(address); }
    /// The operator's write of `Spec`: acknowledged when it returns, whatever the faults.
    void put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
    /// What is held now can be come back to.
    void saveCopy();
    /// The copy takes the place of all that is held: what was written since is gone, and revisions are given out again.
    void restoreFromBackup();
    /// `Spec` of an object; null if there is none.
    [[nodiscard]] nlohmann::json get(const std::string& kind, const std::string& name) const;
    StoreFaults& faults() { return faults_; }
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    using Json = nlohmann::json;
    using Exchange = std::shared_ptr<adapters::ServerExchange>;
    /// One change, also a removal.
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        Json object;
        bool is_gone = false;
    };
    struct Watch {
        std::uint64_t number = 0;
        std::string kind;
        std::uint64_t revision = 0;
        Exchange exchange;
        TimerHandle timer;
    };
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
    void acknowledge(const Exchange& exchange, const Json& body);
    void answer(const Exchange& exchange, int status, const Json& body);
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
    std::uint64_t oldest_ = 0;  ///< Watches from before it are told that their history is gone.
    using Objects = std::map<std::string, std::map<std::string, Json>>;
    Objects objects_;  ///< By kind, then name.
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
    std::vector<Exchange> silenced_;
    adapters::HttpServer server_;
};

}  // namespace dewcrank::standins
