/// @file
/// Case 1: a planned stop of the machine that took a request cuts the answer that its client is still reading.
/// Usage: case-1 FOLDER RECORD; TROUBLE=0 leaves the SIGTERM out. Exit status: 1 rule broken, 0 rule held, 2 not run.
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

#include "review/standins/deployment.h"

namespace {

using namespace review;  // NOLINT: a program of one file.

constexpr std::size_t kAnswerBytes = std::size_t{12} * 1024 * 1024;
constexpr Milliseconds kWork{100};
constexpr Milliseconds kDeadline{5000};
/// About 3.3 MB a second: an answer takes four seconds of the five that the client waits.
constexpr ReadPace kPace{std::size_t{64} * 1024, Milliseconds(19)};
constexpr int kReceiveBuffer = 128 * 1024;
constexpr double kPlannedWorkSeconds = 7;       ///< `GracePeriodS` + 1 s after the SIGTERM.
constexpr double kLastSixthOfGraceSeconds = 5;  ///< An instance at work later than this excuses the end.
constexpr const char* kHost = "archivo.example";
constexpr const char* kPath = "/fotos/lote-7";
/// When the downloads begin, in milliseconds from the SIGTERM. The platform asks for readiness once a second and sends
/// clients elsewhere after two misses, so that new requests come for a second at least.
constexpr int kStarts[] = {-1000, -600, -200, 200, 600, 900};

struct Download {
    std::string id;
    double sent = 0;
    double ended = 0;
    ReadEnd end = ReadEnd::kTimedOut;
    int status = 0;
    std::size_t bytes = 0;
};

struct Run {
    double began = 0;
    double ended = 0;
};

class Case {
public:
    Case(const std::string& folder, const std::string& record) : folder_(folder), record_(record) {}
    int run(bool has_trouble);

private:
    bool answer(Connection& connection, const Message& request, const std::string& instance);
    void download(Download* it);
    bool warmUp();
    int judge(double terminated_at);

    std::string folder_;
    Record record_;
    Machine entry_{"sidecar-zona-norte-1", "zona-norte", "buscador", loopbackIp(0)};
    std::mutex mutex_;
    std::map<std::string, Run> runs_;
    std::vector<std::unique_ptr<Download>> downloads_;
};

bool Case::answer(Connection& connection, const Message& request, const std::string& instance) {
    const auto id = request.header("Dewcrank-Request-Id");
    {
        const std::lock_guard lock(mutex_);
        runs_[id].began = record_.seconds();
    }
    record_.write("run " + id + " begins at " + instance);
    std::this_thread::sleep_for(kWork);
    const bool is_written = connection.write(answerOf(request, instance, std::string(kAnswerBytes, 'p')).bytes());
    record_.write("run " + id + (is_written ? " has sent its whole answer" : " was cut off"));
    const std::lock_guard lock(mutex_);
    runs_[id].ended = is_written ? record_.seconds() : 0;
    return is_written;
}

void Case::download(Download* it) {
    it->sent = record_.seconds();
    const auto deadline = Clock::now() + kDeadline;
    auto connection = Connection::open(entry_.outbound(), Milliseconds(1000), kReceiveBuffer);
    if (!connection) {
        it->end = ReadEnd::kClosed;
        it->ended = record_.seconds();
        record_.write("client " + it->id + ": no connection");
        return;
    }
    connection->write(Message{
        std::string("GET ") + kPath + " HTTP/1.1",
        {{"Host", kHost}, {"Dewcrank-Request-Id", it->id}, {"Dewcrank-Deadline-Ms", std::to_string(kDeadline.count())}},
        ""}
                          .bytes());
    record_.write("client " + it->id + " has sent its request");
    Message response;
    it->end = connection->read(&response, deadline, kPace, &it->bytes);
    it->ended = record_.seconds();
    it->status = response.status();
    record_.write("client " + it->id + ": status " + std::to_string(it->status) + ", " + endText(it->end) + ", " +
                  std::to_string(it->bytes) + " of " + response.header("Content-Length") + " bytes, after " +
                  std::to_string(it->ended - it->sent) + " s");
}

/// Downloads until one succeeds.
bool Case::warmUp() {
    for (int attempt = 0; attempt < 20; ++attempt) {
        Download it;
        it.id = "warm-" + std::to_string(attempt) + "-" + std::to_string(static_cast<int>(record_.seconds() * 1000));
        download(&it);
        if (it.end == ReadEnd::kComplete && it.status == 200 && it.bytes == kAnswerBytes) {
            return true;
        }
        std::this_thread::sleep_for(Milliseconds(300));
    }
    return false;
}

/// LOST, as the rules have it. @param terminated_at when the SIGTERM was sent; negative: never.
int Case::judge(double terminated_at) {
    int lost = 0;
    for (const auto& it : downloads_) {
        const std::lock_guard lock(mutex_);
        const auto found = runs_.find(it->id);
        const bool was_passed_on = found != runs_.end();
        const bool has_answer = it->end == ReadEnd::kComplete;
        const bool is_in_time = it->ended - it->sent < std::chrono::duration<double>(kDeadline).count();
        const bool is_planned =
            terminated_at >= 0 && it->ended >= terminated_at && it->ended <= terminated_at + kPlannedWorkSeconds;
        const bool has_instance_finished =
            was_passed_on && found->second.ended > 0 && found->second.ended < terminated_at + kLastSixthOfGraceSeconds;
        if (was_passed_on && !has_answer && is_in_time && is_planned && has_instance_finished) {
            ++lost;
            record_.write("LOST: " + it->id + ": sent " + std::to_string(it->sent - terminated_at) +
                          " s after the SIGTERM, its instance had sent the whole answer; cut " +
                          std::to_string(it->ended - terminated_at) + " s after the SIGTERM at " +
                          std::to_string(it->bytes) + " of " + std::to_string(kAnswerBytes) + " bytes");
        } else if (!has_answer && terminated_at < 0) {
            ++lost;
            record_.write("without the disruption: " + it->id + " has no complete answer");
        }
    }
    record_.write(std::to_string(lost) + " of " + std::to_string(downloads_.size()) + " requests lost");
    return lost > 0 ? 1 : 0;
}

int Case::run(bool has_trouble) {
    const Machine first{"sidecar-zona-centro-1", "zona-centro", "fototeca", loopbackIp(1)};
    const Machine second{"sidecar-zona-sur-1", "zona-sur", "fototeca", loopbackIp(2)};
    const Address store_address{loopbackIp(200), 8309};
    Store store(store_address);
    store.put(
        "config", "main",
        configOf(1, {{"r-fotos", routeOf(kHost, "/fotos/", "download", "fototeca", 5000)}}, {"buscador", "fototeca"}));
    const auto seeds = entry_.control().text() + "," + first.control().text() + "," + second.control().text();
    Process entry_node(entry_, store_address, seeds, folder_);
    Process first_node(first, store_address, seeds, folder_);
    Process second_node(second, store_address, seeds, folder_);
    for (auto* node : {&entry_node, &first_node, &second_node}) {
        node->start();
    }
    const auto handler = [this](const std::string& id) {
        return [this, id](Connection& connection, const Message& request) { return answer(connection, request, id); };
    };
    Instance caller(entry_, "i-caller", 142, handler("i-caller"));
    Instance first_instance(first, "i-first", 142, handler("i-first"));
    Instance second_instance(second, "i-second", 142, handler("i-second"));
    if (!awaitReady({&entry_node, &first_node, &second_node}, std::chrono::seconds(20)) || !warmUp()) {
        record_.write("the deployment did not come up");
        return 2;
    }
    std::this_thread::sleep_for(kContact + std::chrono::seconds(1));
    std::vector<std::thread> clients;
    const auto signal_at = Clock::now() + std::chrono::seconds(2);
    for (const int start : kStarts) {
        auto it = std::make_unique<Download>();
        it->id = "req-" + std::to_string(downloads_.size() + 1);
        clients.emplace_back([this, signal_at, start, download = it.get()] {
            std::this_thread::sleep_until(signal_at + Milliseconds(start));
            this->download(download);
        });
        downloads_.push_back(std::move(it));
    }
    std::this_thread::sleep_until(signal_at);
    double terminated_at = -1;
    if (has_trouble) {
        terminated_at = record_.seconds();
        entry_node.signal(SIGTERM);
        record_.write("platform: SIGTERM to " + entry_.name);
        if (!entry_node.awaitEnd(Clock::now() + kGracePeriod)) {
            record_.write("platform: SIGKILL to " + entry_.name);
            entry_node.signal(SIGKILL);
            entry_node.awaitEnd(Clock::now() + std::chrono::seconds(5));
        }
        record_.write("platform: the process has ended " + std::to_string(record_.seconds() - terminated_at) +
                      " s after the SIGTERM, of " + std::to_string(kGracePeriod.count()) + " ms");
        entry_node.start();
    }
    for (auto& client : clients) {
        client.join();
    }
    if (has_trouble && (!awaitReady({&entry_node}, std::chrono::seconds(20)) || !warmUp())) {
        record_.write("the process did not come back");
        return 2;
    }
    return judge(terminated_at);
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
