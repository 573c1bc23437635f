/// @file
/// Case 8: all processes are killed after an instance's leaving was acknowledged, and two heartbeats of it come late.
/// Usage: case-8 RECORD FOLDER

#include <algorithm>
#include <cstdio>
#include <map>
#include <mutex>
#include <thread>

#include "../standins-2/lab.h"

using namespace lab;

namespace {

constexpr int kDeadlineMs = 2000;
constexpr double kPauseS = 0.04;
constexpr double kContactS = 3;
constexpr double kDrainS = 2;
constexpr double kRestartS = 0.5;
constexpr double kHeartbeatS = 1.5;
constexpr double kLateS = 6;       ///< For so long the last two heartbeats before the leaving are under way.
constexpr double kServesOnS = 14;  ///< After the acknowledgement the instance serves on, then it ends.
constexpr std::uint64_t kMaxBody = std::uint64_t{64} * 1024 * 1024;

class Case {
public:
    Case(const std::string& record, const std::string& folder) : record_(record), folder_(folder) {}

    [[noreturn]] void run() {
        const auto machines = makeMachines({"desk", "desk", "trucks", "trucks"});
        const int port = freePort();
        Store store("127.0.0.1", port);
        auto config = makeConfig({"desk", "trucks"}, kMaxBody);
        config["Routes"]["r-quotes"] = makeRoute("/quotes/", "unsafe", "trucks", kDeadlineMs);
        store.put("config", "main", config);
        std::vector<std::unique_ptr<Instance>> instances;
        std::vector<std::unique_ptr<Node>> nodes;
        for (const auto& machine : machines) {
            nodes.push_back(std::make_unique<Node>(machine, "127.0.0.1:" + std::to_string(port), folder_));
            nodes.back()->start();
            instances.push_back(std::make_unique<Instance>(machine, Instance::Options{}, record_));
        }
        if (!awaitReady(nodes, 20)) {
            std::fprintf(stderr, "the nodes don't become ready\n");
            finish(kCannotRun);
        }
        sleepFor(kContactS + 2);
        std::thread([this, &machines] { sendQuotes(machines[0]); }).detach();
        sleepFor(kContactS);

        auto& leaving = *instances[2];
        leaving.stopHeartbeats();
        sleepFor(kHeartbeatS);
        deliverLate(&leaving, "first");
        sleepFor(kHeartbeatS);
        deliverLate(&leaving, "second");
        sleepFor(0.1);
        const int status = leaving.leave();
        const double acknowledged = now();
        record_.line("Leave of " + leaving.id() + " answered " + std::to_string(status));
        if (status / 100 != 2) {
            std::fprintf(stderr, "the leaving isn't acknowledged\n");
            finish(kCannotRun);
        }
        double started = 0;
        if (hasTrouble()) {
            sleepFor(0.2);
            for (auto& node : nodes) {
                node->kill();
            }
            record_.line("all nodes killed");
            sleepFor(kRestartS);
            for (auto& node : nodes) {
                node->start();
            }
            started = now();
            record_.line("all nodes started again");
        }
        sleepFor(acknowledged + kServesOnS - now());
        finish(judge(leaving.runs(), acknowledged, started));
    }

private:
    void sendQuotes(const Machine& entry) {
        for (int number = 0;; ++number) {
            std::thread([this, number, entry] {
                const auto id = "q" + std::to_string(number);
                {
                    const std::lock_guard lock(mutex_);
                    sent_[id] = now();
                }
                record_.line("send " + id + " at " + entry.name);
                const auto answer = call(entry, nullptr, "POST", "shop.example", "/quotes/new", id, "{}", kDeadlineMs);
                record_.line("answer " + id + " " + std::to_string(answer.status));
            }).detach();
            sleepFor(kPauseS);
        }
    }

    /// The heartbeat is composed now and is under way for kLateS.
    void deliverLate(Instance* instance, const std::string& name) {
        const auto body = instance->nextHeartbeat();
        record_.line(name + " late heartbeat of " + instance->id() + " composed: " + body);
        std::thread([this, instance, name, body] {
            sleepFor(kLateS);
            const int status = instance->sendHeartbeat(body);
            record_.line(name + " late heartbeat arrives, answered " + std::to_string(status));
        }).detach();
    }

    /// DRAIN: a request that machines in touch took and sent on reaches the instance later than `DrainMs` after the
    /// acknowledgement. All machines are in touch again `ContactMs` after their start.
    int judge(const std::vector<Run>& runs, double acknowledged, double started) {
        const std::lock_guard lock(mutex_);
        const auto late = std::count_if(runs.begin(), runs.end(), [&](const Run& run) {
            const bool is_in_touch = started == 0 || sent_[run.id] >= started + kContactS;
            return is_in_touch && run.at > acknowledged + kDrainS;
        });
        const auto text = std::to_string(runs.size()) + " requests ran at the leaving instance, " +
                          std::to_string(late) +
                          " of machines in touch later than DrainMs after the acknowledgement; " + "DRAIN " +
                          (late > 0 ? "broken" : "held");
        record_.line(text);
        std::printf("%s\n", text.c_str());
        if (runs.empty()) {
            std::fprintf(stderr, "the instance got no request before it left\n");
            return kCannotRun;
        }
        return late > 0 ? kBroken : kHeld;
    }

    Record record_;
    std::string folder_;
    std::mutex mutex_;
    std::map<std::string, double> sent_;
};

}  // namespace

int main(int count, char** arguments) {
    if (count != 3) {
        std::fprintf(stderr, "usage: case-8 RECORD FOLDER\n");
        return kCannotRun;
    }
    Case(arguments[1], arguments[2]).run();
}
