/// @file
/// Case 5: a version of the configuration adds a route whose clients send to a path that nodes use among themselves.
/// Usage: case-5 RECORD FOLDER

#include <algorithm>
#include <cstdio>
#include <thread>

#include "../standins-2/lab.h"

using namespace lab;

namespace {

constexpr int kRequests = 60;  ///< On each set of routes; the rule speaks of 20 or more.
constexpr double kPauseS = 0.1;
constexpr int kDeadlineMs = 2000;
constexpr double kConfigApplyS = 2;
constexpr double kContactS = 3;
constexpr std::uint64_t kMaxBody = std::uint64_t{64} * 1024 * 1024;

/// Requests on one set of routes.
struct Sent {
    int count = 0;
    int served = 0;
};

class Case {
public:
    Case(const std::string& record, const std::string& folder) : record_(record), folder_(folder) {}

    [[noreturn]] void run() {
        // The clients of two machines use the services of two others.
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
        if (hasTrouble()) {
            config["Version"] = "00000009";
            config["Routes"]["r-fleet"] = makeRoute("/fleet/", "unsafe", "trucks", kDeadlineMs);
            store.put("config", "main", config);
            record_.line("config 00000009 acknowledged: adds the route r-fleet, prefix /fleet/, to trucks");
        }
        sleepFor(kConfigApplyS + kContactS);
        Sent first;
        Sent added;
        for (int number = 0; number < kRequests; ++number) {
            const auto& entry = machines[static_cast<std::size_t>(number % 2)];
            send(entry, "/quotes/new", "q" + std::to_string(number), &first);
            if (hasTrouble()) {
                send(entry, "/fleet/quota", "f" + std::to_string(number), &added);
            }
            sleepFor(kPauseS);
        }
        int ran = 0;
        for (const auto& instance : instances) {
            const auto runs = instance->runs();
            ran += static_cast<int>(
                std::count_if(runs.begin(), runs.end(), [](const auto& it) { return it.path == "/fleet/quota"; }));
        }
        finish(judge(first, added, ran));  // The stand-ins go on until the process ends.
    }

private:
    void send(const Machine& entry, const std::string& path, const std::string& id, Sent* sent) {
        const auto body = Json{{"truck", id}, {"days", 3}}.dump();
        record_.line("send " + id + " at " + entry.name + " POST " + path + " " + body);
        const auto answer = call(entry, nullptr, "POST", "shop.example", path, id, body, kDeadlineMs);
        record_.line("answer " + id + " " + std::to_string(answer.status) + (answer.has_stamp ? " stamped " : " ") +
                     answer.body);
        ++sent->count;
        const bool is_served = answer.status == 200 && answer.has_stamp && answer.body == "done " + id;
        sent->served += is_served ? 1 : 0;
    }

    /// CONFIG: 20 or more requests on routes added later, served under a quarter as often as those on the first routes.
    int judge(const Sent& first, const Sent& added, int ran) {
        std::string text = "first routes: " + std::to_string(first.served) + " of " + std::to_string(first.count) +
                           " served; added route: " + std::to_string(added.served) + " of " +
                           std::to_string(added.count) + " served, " + std::to_string(ran) + " run by an instance";
        record_.line(text);
        std::printf("%s\n", text.c_str());
        if (first.served == 0) {
            std::fprintf(stderr, "the first routes are not served\n");
            return kCannotRun;
        }
        const double usual = static_cast<double>(first.served) / first.count;
        const bool is_broken = added.count >= 20 && static_cast<double>(added.served) / added.count < usual / 4;
        std::printf("CONFIG %s\n", is_broken ? "broken" : "held");
        return is_broken ? kBroken : kHeld;
    }

    Record record_;
    std::string folder_;
};

}  // namespace

int main(int count, char** arguments) {
    if (count != 3) {
        std::fprintf(stderr, "usage: case-5 RECORD FOLDER\n");
        return kCannotRun;
    }
    Case(arguments[1], arguments[2]).run();
}
