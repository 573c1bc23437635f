/// @file
/// Case 1: a machine that is being stopped goes on taking requests from a connection on which requests overlap, passes
/// them on, and cuts them when it ends.
/// Usage: case-1 FOLDER RECORD; TROUBLE=0 leaves the SIGTERMs out. Exit status: 1 rule broken, 0 rule held, 2 not run.
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

#include "review/standins/deployment.h"

namespace {

using namespace review;  // NOLINT: a program of one file.

constexpr Milliseconds kWork{400};
constexpr Milliseconds kDeadline{5000};
constexpr int kRouteTimeoutMs = 800;  ///< As the sheet's site has it for its pipelined route.
/// A client of the pipelining kind sends a further request while the one before is unanswered.
constexpr Milliseconds kRequestInterval{250};
constexpr std::size_t kConnections = 4;
constexpr double kTimeoutSeconds = 0.8;
constexpr double kPlannedWorkSeconds = 7;       ///< `GracePeriodS` + 1 s after the SIGTERM.
constexpr double kExcusedStartSeconds = 3;      ///< Requests sent up to then may be cut in the last sixth of the grace.
constexpr double kLastSixthOfGraceSeconds = 5;  ///< Begins this long after the SIGTERM.
constexpr Milliseconds kReadinessInterval{1000};
constexpr int kMissesUntilOut = 2;
constexpr const char* kHost = "hallazgo.example";
constexpr const char* kPath = "/buscar/objeto";

/// The platform's view of the nodes of one zone: who is out after two misses.
class ReadinessWatch {
public:
    ReadinessWatch(Record& record, std::vector<Process*> nodes)
        : record_(record), nodes_(std::move(nodes)), misses_(nodes_.size(), 0), thread_([this] { watch(); }) {}
    ~ReadinessWatch() {
        is_over_ = true;
        thread_.join();
    }
    ReadinessWatch(const ReadinessWatch&) = delete;
    ReadinessWatch& operator=(const ReadinessWatch&) = delete;

    /// True if clients of the first node are given new work: it is in, or fewer than half of the zone's nodes are.
    [[nodiscard]] bool givesWork() const { return gives_work_; }

private:
    void watch() {
        while (!is_over_) {
            const auto next = Clock::now() + kReadinessInterval;
            std::size_t in = 0;
            for (std::size_t number = 0; number < nodes_.size(); ++number) {
                misses_[number] = nodes_[number]->isReady() ? 0 : misses_[number] + 1;
                in += misses_[number] < kMissesUntilOut ? 1 : 0;
            }
            const bool gives_work = misses_[0] < kMissesUntilOut || 2 * in < nodes_.size();
            record_.write("platform: " + std::to_string(in) + " of " + std::to_string(nodes_.size()) +
                          " nodes of the zone are in; the first has " + std::to_string(misses_[0]) +
                          " misses; its clients get " + (gives_work ? "new work" : "no new work"));
            gives_work_ = gives_work;
            std::this_thread::sleep_until(next);
        }
    }

    Record& record_;
    std::vector<Process*> nodes_;
    std::vector<int> misses_;
    std::atomic<bool> gives_work_ = true;
    std::atomic<bool> is_over_ = false;
    std::thread thread_;
};

struct Request {
    std::string id;
    double sent = 0;
    double ended = 0;
    ReadEnd end = ReadEnd::kTimedOut;
    int status = 0;
    bool follows_close = false;  ///< An answer that closes the connection came before: it counts as not read.
};

struct Run {
    double began = 0;
    bool was_answered = false;
};

class Case {
public:
    Case(const std::string& folder, const std::string& record) : folder_(folder), record_(record) {}
    int run(bool has_trouble);

private:
    bool answer(Connection& connection, const Message& request, const std::string& instance);
    void pipeline(std::size_t number, const ReadinessWatch& readiness);
    bool warmUp();
    int judge();

    std::string folder_;
    Record record_;
    Machine entry_{"sidecar-zona-norte-1", "zona-norte", "reclamos", loopbackIp(0)};
    std::mutex mutex_;
    std::map<std::string, Run> runs_;
    std::vector<std::unique_ptr<Request>> requests_;
    std::atomic<bool> is_over_ = false;
    double terminated_at_ = -1;
};

bool Case::answer(Connection& connection, const Message& request, const std::string& instance) {
    const auto id = request.header("Dewcrank-Request-Id");
    {
        const std::lock_guard lock(mutex_);
        runs_[id].began = record_.seconds();
    }
    record_.write("run " + id + " begins at " + instance);
    // Drops the request when its connection closes, as most instances do.
    if (connection.awaitClose(Clock::now() + kWork)) {
        record_.write("run " + id + " was cut off");
        return false;
    }
    const bool is_written = connection.write(answerOf(request, instance, id).bytes());
    const std::lock_guard lock(mutex_);
    runs_[id].was_answered = is_written;
    return is_written;
}

/// Sends requests on one connection, each while the one before is unanswered, as long as the platform gives work.
void Case::pipeline(std::size_t number, const ReadinessWatch& readiness) {
    auto connection = Connection::open(entry_.outbound(), Milliseconds(1000));
    if (!connection) {
        record_.write("client " + std::to_string(number) + ": no connection");
        return;
    }
    std::mutex mutex;
    std::vector<Request*> waiting;
    std::atomic<bool> is_sending = true;
    std::thread reader([&] {
        bool is_closed = false;
        std::size_t next = 0;
        while (true) {
            Request* it = nullptr;
            {
                const std::lock_guard lock(mutex);
                it = next < waiting.size() ? waiting[next] : nullptr;
            }
            if (it == nullptr) {
                if (!is_sending) {
                    return;
                }
                std::this_thread::sleep_for(Milliseconds(5));
                continue;
            }
            ++next;
            Message response;
            it->follows_close = is_closed;
            it->end = is_closed ? ReadEnd::kClosed : connection->read(&response, Clock::now() + kDeadline);
            it->ended = record_.seconds();
            it->status = response.status();
            record_.write("client " + it->id + ": status " + std::to_string(it->status) + ", " + endText(it->end));
            if (it->end != ReadEnd::kComplete) {
                is_sending = false;
            } else if (response.header("Connection") == "close") {
                record_.write("client " + it->id + ": its answer closes the connection");
                is_closed = true;
                is_sending = false;
            }
        }
    });
    for (int count = 1; is_sending && !is_over_ && readiness.givesWork(); ++count) {
        Request* it = nullptr;
        {
            const std::lock_guard lock(mutex_);
            requests_.push_back(std::make_unique<Request>());
            it = requests_.back().get();
        }
        it->id = "c" + std::to_string(number) + "-" + std::to_string(count);
        it->sent = record_.seconds();
        const bool is_written = connection->write(Message{std::string("GET ") + kPath + " HTTP/1.1",
                                                          {{"Host", kHost},
                                                           {"Dewcrank-Request-Id", it->id},
                                                           {"Dewcrank-Deadline-Ms", std::to_string(kDeadline.count())}},
                                                          ""}
                                                      .bytes());
        {
            const std::lock_guard lock(mutex);
            waiting.push_back(it);
        }
        if (!is_written) {
            break;
        }
        std::this_thread::sleep_for(kRequestInterval);
    }
    is_sending = false;
    reader.join();
}

/// Sends single requests until one succeeds.
bool Case::warmUp() {
    for (int attempt = 0; attempt < 40; ++attempt) {
        const auto id = "warm-" + std::to_string(static_cast<int>(record_.seconds() * 1000));
        const auto response =
            exchange(entry_.outbound(),
                     {std::string("GET ") + kPath + " HTTP/1.1",
                      {{"Host", kHost}, {"Dewcrank-Request-Id", id}, {"Dewcrank-Deadline-Ms", "5000"}},
                      ""},
                     Milliseconds(3000));
        if (response && response->status() == 200) {
            return true;
        }
        std::this_thread::sleep_for(Milliseconds(200));
    }
    return false;
}

/// LOST: passed on to an instance, then the connection ends without an answer in the time of the planned work, before
/// the client's deadline and the route's timeout; not excused by the instance being at work in the last sixth of the
/// grace period, as the request was sent later than 3 s after the SIGTERM.
int Case::judge() {
    const std::lock_guard lock(mutex_);
    int lost = 0;
    int unanswered = 0;
    for (const auto& it : requests_) {
        const auto run = runs_.find(it->id);
        const bool has_answer = it->end == ReadEnd::kComplete;
        unanswered += has_answer ? 0 : 1;
        if (terminated_at_ < 0 || has_answer || it->follows_close || run == runs_.end()) {
            continue;
        }
        const double sent = it->sent - terminated_at_;
        const double ended = it->ended - terminated_at_;
        const bool is_planned = ended >= 0 && ended <= kPlannedWorkSeconds;
        const bool is_excused = sent <= kExcusedStartSeconds && ended >= kLastSixthOfGraceSeconds;
        const bool is_in_time = it->ended - it->sent < kTimeoutSeconds;
        if (is_planned && !is_excused && is_in_time) {
            ++lost;
            record_.write("LOST: " + it->id + ": sent " + std::to_string(sent) + " s after the SIGTERM, run " +
                          std::to_string(run->second.began - it->sent) + " s later, cut " + std::to_string(ended) +
                          " s after the SIGTERM without an answer");
        }
    }
    record_.write(std::to_string(lost) + " of " + std::to_string(requests_.size()) + " requests lost");
    return lost > 0 || (terminated_at_ < 0 && unanswered > 0) ? 1 : 0;
}

int Case::run(bool has_trouble) {
    const Machine neighbour{"sidecar-zona-norte-2", "zona-norte", "reclamos", loopbackIp(1)};
    const Machine third{"sidecar-zona-norte-3", "zona-norte", "reclamos", loopbackIp(2)};
    const Machine search{"sidecar-zona-centro-1", "zona-centro", "buscador", loopbackIp(3)};
    const Address store_address{loopbackIp(200), 8309};
    Store store(store_address);
    store.put("config", "main",
              configOf(1, {{"r-buscar", routeOf(kHost, "/buscar/", "safe", "buscador", kRouteTimeoutMs)}},
                       {"reclamos", "buscador"}));
    const auto seeds = entry_.control().text() + "," + third.control().text() + "," + search.control().text();
    std::vector<std::unique_ptr<Process>> nodes;
    std::vector<std::unique_ptr<Instance>> instances;
    std::vector<Process*> all;
    for (const auto& machine : {entry_, neighbour, third, search}) {
        nodes.push_back(std::make_unique<Process>(machine, store_address, seeds, folder_));
        nodes.back()->start();
        all.push_back(nodes.back().get());
        const auto id = "i-" + machine.name;
        instances.push_back(std::make_unique<Instance>(
            machine, id, 142,
            [this, id](Connection& connection, const Message& request) { return answer(connection, request, id); }));
    }
    if (!awaitReady(all, std::chrono::seconds(20)) || !warmUp()) {
        record_.write("the deployment did not come up");
        return 2;
    }
    std::this_thread::sleep_for(kContact + std::chrono::seconds(1));
    const ReadinessWatch readiness(record_, {nodes[0].get(), nodes[1].get(), nodes[2].get()});
    std::vector<std::thread> clients;
    for (std::size_t number = 1; number <= kConnections; ++number) {
        clients.emplace_back([this, number, &readiness] { pipeline(number, readiness); });
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const auto signal_at = Clock::now();
    if (has_trouble) {
        terminated_at_ = record_.seconds();
        nodes[0]->signal(SIGTERM);
        nodes[1]->signal(SIGTERM);
        record_.write("platform: SIGTERM to " + entry_.name + " and " + neighbour.name);
        for (auto* node : {nodes[0].get(), nodes[1].get()}) {
            if (!node->awaitEnd(signal_at + kGracePeriod)) {
                node->signal(SIGKILL);
                record_.write("platform: SIGKILL to " + node->machine().name);
                node->awaitEnd(Clock::now() + std::chrono::seconds(5));
            }
            record_.write("platform: the process of " + node->machine().name + " has ended " +
                          std::to_string(record_.seconds() - terminated_at_) + " s after the SIGTERM; it starts again");
            node->start();
        }
    }
    std::this_thread::sleep_until(signal_at + kGracePeriod + std::chrono::seconds(1));
    is_over_ = true;
    for (auto& client : clients) {
        client.join();
    }
    return judge();
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 3) {
        std::cerr << "usage: case-1 FOLDER RECORD\n";
        return 2;
    }
    const char* trouble = std::getenv("TROUBLE");
    try {
        return Case(argv[1], argv[2]).run(trouble == nullptr || std::string(trouble) != "0");
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
