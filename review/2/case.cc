/// @file
/// Case 2: a node that was restarted has forgotten that it acknowledged its instance's leaving: a heartbeat of that
/// instance which comes late makes it a target of new requests again.
/// Usage: case-2 FOLDER RECORD; TROUBLE=0 leaves the SIGKILL out. Exit status: 1 rule broken, 0 rule held, 2 not run.
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

#include "review/standins/deployment.h"

namespace {

using namespace review;  // NOLINT: a program of one file.

constexpr Milliseconds kWork{150};
constexpr Milliseconds kDeadline{5000};
constexpr Milliseconds kRequestInterval{40};
constexpr Milliseconds kHeartbeatDelay{2500};  ///< "A heartbeat may come seconds late."
constexpr Milliseconds kKillDelay{100};        ///< From the acknowledgement of the leaving.
constexpr Milliseconds kRestartDelay{500};     ///< The platform restarts an ended process after a short delay.
/// The instance serves on after its acknowledgement: for `DrainMs` "and a little longer (at times many seconds)".
constexpr Milliseconds kServesOn{14000};
constexpr double kContactSeconds = 3;
constexpr double kDrainSeconds = 2;
constexpr const char* kHost = "entregas.example";
constexpr const char* kPath = "/entrega/nueva";

struct Arrival {
    std::string id;
    double at = 0;
};

struct Request {
    std::string id;
    int status = 0;
    ReadEnd end = ReadEnd::kTimedOut;
};

class Case {
public:
    Case(const std::string& folder, const std::string& record) : folder_(folder), record_(record) {}
    int run(bool has_trouble);

private:
    bool answer(Connection& connection, const Message& request, const std::string& instance);
    void send(const std::string& id);
    void sendRequests();
    int judge();

    std::string folder_;
    Record record_;
    Machine entry_{"sidecar-zona-norte-1", "zona-norte", "buscador", loopbackIp(0)};
    std::mutex mutex_;
    std::vector<Arrival> arrivals_at_leaving_;
    std::vector<Request> requests_;
    std::map<std::string, int> runs_;
    std::atomic<bool> is_over_ = false;
    std::atomic<double> acknowledged_at_ = -1;
    double killed_at_ = -1;
    double started_at_ = -1;
};

bool Case::answer(Connection& connection, const Message& request, const std::string& instance) {
    const auto id = request.header("Dewcrank-Request-Id");
    {
        const std::lock_guard lock(mutex_);
        ++runs_[id];
        if (instance == "i-leaving") {
            arrivals_at_leaving_.push_back({id, record_.seconds()});
        }
    }
    record_.write("run " + id + " begins at " + instance);
    std::this_thread::sleep_for(kWork);
    return connection.write(answerOf(request, instance, id).bytes());
}

void Case::send(const std::string& id) {
    Request it{id, 0, ReadEnd::kClosed};
    const auto deadline = Clock::now() + kDeadline;
    if (auto connection = Connection::open(entry_.outbound(), Milliseconds(1000))) {
        Message response;
        connection->write(Message{
            std::string("POST ") + kPath + " HTTP/1.1",
            {{"Host", kHost}, {"Dewcrank-Request-Id", id}, {"Dewcrank-Deadline-Ms", std::to_string(kDeadline.count())}},
            "articulo"}
                              .bytes());
        it.end = connection->read(&response, deadline);
        it.status = response.status();
    }
    record_.write("client " + id + ": status " + std::to_string(it.status) + ", " + endText(it.end));
    const std::lock_guard lock(mutex_);
    requests_.push_back(it);
}

void Case::sendRequests() {
    std::vector<std::thread> clients;
    for (int number = 1; !is_over_; ++number) {
        clients.emplace_back([this, number] { send("req-" + std::to_string(number)); });
        std::this_thread::sleep_for(kRequestInterval);
    }
    for (auto& client : clients) {
        client.join();
    }
}

/// DRAIN, as the rules have it: later than `DrainMs` after the acknowledgement, sent on by machines in touch. The
/// machine of the entry was never disturbed; that of the relay is in touch again `ContactMs` after its start.
int Case::judge() {
    const std::lock_guard lock(mutex_);
    const double in_touch_from = started_at_ < 0 ? 0 : started_at_ + kContactSeconds;
    const double bound_from = std::max(acknowledged_at_ + kDrainSeconds, in_touch_from);
    std::size_t late = 0;
    std::size_t out_of_touch = 0;
    for (const auto& arrival : arrivals_at_leaving_) {
        late += arrival.at > bound_from ? 1 : 0;
        out_of_touch += arrival.at > acknowledged_at_ + kDrainSeconds && arrival.at <= bound_from ? 1 : 0;
    }
    std::size_t unanswered = 0;
    for (const auto& request : requests_) {
        const auto run = runs_.find(request.id);
        const bool was_run = run != runs_.end();
        unanswered += was_run && request.status != 200 ? 1 : 0;
    }
    record_.write("the leaving was acknowledged at " + std::to_string(acknowledged_at_) + " s; killed at " +
                  std::to_string(killed_at_) + " s, started at " + std::to_string(started_at_) + " s");
    record_.write("DRAIN: " + std::to_string(late) + " requests reached i-leaving later than DrainMs after the " +
                  "acknowledgement, sent on by machines in touch; " + std::to_string(out_of_touch) +
                  " more while the relay's machine was out of touch (not counted)");
    record_.write(std::to_string(unanswered) + " of " + std::to_string(requests_.size()) +
                  " requests were run without a success for the client");
    return late > 0 ? 1 : 0;
}

int Case::run(bool has_trouble) {
    const Machine leaving{"sidecar-zona-centro-1", "zona-centro", "entregas", loopbackIp(1)};
    const Machine staying{"sidecar-zona-sur-1", "zona-sur", "entregas", loopbackIp(2)};
    const Address store_address{loopbackIp(200), 8309};
    Store store(store_address);
    store.put("config", "main",
              configOf(1, {{"r-entregas", routeOf(kHost, "/entrega/", "unsafe", "entregas", 5000)}},
                       {"buscador", "entregas"}));
    const auto seeds = entry_.control().text() + "," + leaving.control().text() + "," + staying.control().text();
    Process entry_node(entry_, store_address, seeds, folder_);
    Process leaving_node(leaving, store_address, seeds, folder_);
    Process staying_node(staying, store_address, seeds, folder_);
    for (auto* node : {&entry_node, &leaving_node, &staying_node}) {
        node->start();
    }
    const auto handler = [this](const std::string& id) {
        return [this, id](Connection& connection, const Message& request) { return answer(connection, request, id); };
    };
    Instance caller(entry_, "i-caller", 142, handler("i-caller"));
    Instance leaving_instance(leaving, "i-leaving", 142, handler("i-leaving"));
    Instance staying_instance(staying, "i-staying", 142, handler("i-staying"));
    if (!awaitReady({&entry_node, &leaving_node, &staying_node}, std::chrono::seconds(20))) {
        record_.write("the deployment did not come up");
        return 2;
    }
    std::thread clients([this] { sendRequests(); });
    std::this_thread::sleep_for(kContact + std::chrono::seconds(2));

    leaving_instance.stopHeartbeats();
    std::this_thread::sleep_for(Milliseconds(1100));  // A heartbeat that is under way ends.
    const auto late_heartbeat = leaving_instance.nextHeartbeat();
    const auto arrives_at = Clock::now() + kHeartbeatDelay;
    record_.write("i-leaving: sends a heartbeat `ready`, which will come late");
    const bool is_acknowledged = leaving_instance.send(leaving_instance.leaveMessage());
    acknowledged_at_ = record_.seconds();
    const auto ends_at = Clock::now() + kServesOn;
    record_.write(std::string("i-leaving: Leave ") + (is_acknowledged ? "acknowledged" : "not acknowledged"));
    if (has_trouble) {
        std::this_thread::sleep_for(kKillDelay);
        leaving_node.signal(SIGKILL);
        leaving_node.awaitEnd(Clock::now() + std::chrono::seconds(5));
        killed_at_ = record_.seconds();
        record_.write("platform: the process of " + leaving.name + " is killed");
        std::this_thread::sleep_for(kRestartDelay);
        leaving_node.start();
        started_at_ = record_.seconds();
        record_.write("platform: it is started again");
    }
    std::this_thread::sleep_until(arrives_at);
    const bool is_late_acknowledged = leaving_instance.send(late_heartbeat);
    record_.write(std::string("i-leaving: the late heartbeat arrives, ") +
                  (is_late_acknowledged ? "acknowledged" : "not acknowledged"));
    std::this_thread::sleep_until(ends_at);
    leaving_instance.end();
    record_.write("i-leaving has ended");
    std::this_thread::sleep_for(std::chrono::seconds(2));
    is_over_ = true;
    clients.join();
    return is_acknowledged ? judge() : 2;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 3) {
        std::cerr << "usage: case-2 FOLDER RECORD\n";
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
