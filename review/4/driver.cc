/// @file
/// Case 4: a version of the configuration adds a route, and the body of one client's request on it takes the place of
/// the configuration on all nodes.
/// Usage: case-4 RECORD FOLDER

#include <cstdio>

#include "../standins-2/lab.h"

using namespace lab;

namespace {

constexpr int kRequests = 60;  ///< Before the client's request, and after it.
constexpr double kPauseS = 0.05;
constexpr int kDeadlineMs = 2000;
constexpr double kConfigApplyS = 2;
constexpr double kContactS = 3;
constexpr std::uint64_t kMaxBody = std::uint64_t{64} * 1024 * 1024;
constexpr std::uint64_t kPrice = 149900;

/// Writes fields of a protocol buffer.
class Fields {
public:
    Fields& number(std::uint32_t field, std::uint64_t value) {
        varint(field << 3U);
        varint(value);
        return *this;
    }
    Fields& text(std::uint32_t field, const std::string& value) {
        varint((field << 3U) | 2U);
        varint(value.size());
        bytes_ += value;
        return *this;
    }
    [[nodiscard]] const std::string& bytes() const { return bytes_; }

private:
    void varint(std::uint64_t value) {
        for (; value >= 0x80; value >>= 7U) {
            bytes_ += static_cast<char>((value & 0x7fU) | 0x80U);
        }
        bytes_ += static_cast<char>(value);
    }
    std::string bytes_;
};

/// What the clients of the truck rental send, as the clients have defined it:
///     message Booking { string id = 1; string place = 2; uint32 days = 3; Price price = 7; }
///     message Price { uint64 amount = 1; }
std::string booking() {
    const auto price = Fields().number(1, kPrice).bytes();
    return Fields().text(1, "booking-17").text(2, "Recife").number(3, 3).text(7, price).bytes();
}

/// Requests on the first route.
struct Sent {
    int count = 0;
    int served = 0;
    int denied = 0;
};

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
        if (hasTrouble()) {
            config["Version"] = "00000009";
            config["Routes"]["r-fleet"] = makeRoute("/fleet/", "unsafe", "trucks", kDeadlineMs);
            store.put("config", "main", config);
            record_.line("config 00000009 acknowledged: adds the route r-fleet, prefix /fleet/, to trucks");
        }
        sleepFor(kConfigApplyS + kContactS);
        sendQuotes(machines, "a", &before_);
        if (hasTrouble()) {
            send(machines[0], "/fleet/gossip", "b0", booking());
        }
        sleepFor(kContactS);
        sendQuotes(machines, "c", &after_);
        config["Version"] = "0000000c";
        store.put("config", "main", config);
        record_.line("config 0000000c acknowledged: as before");
        sleepFor(kConfigApplyS + kContactS);
        sendQuotes(machines, "d", &last_);
        finish(judge());
    }

private:
    void sendQuotes(const std::vector<Machine>& machines, const std::string& prefix, Sent* sent) {
        for (int number = 0; number < kRequests; ++number) {
            const auto id = prefix + std::to_string(number);
            const auto answer = send(machines[static_cast<std::size_t>(number % 4)], "/quotes/new", id,
                                     Json{{"truck", id}, {"days", 3}}.dump());
            ++sent->count;
            sent->served += answer.status == 200 && answer.has_stamp ? 1 : 0;
            const bool is_own = !answer.has_stamp && answer.status >= 300 && answer.status < 500;
            const bool is_promise = answer.status == 408 || answer.status == 421 || answer.status == 429;
            sent->denied += is_own && !is_promise ? 1 : 0;
            sleepFor(kPauseS);
        }
    }

    Answer send(const Machine& entry, const std::string& path, const std::string& id, const std::string& body) {
        record_.line("send " + id + " at " + entry.name + " POST " + path + ", " + std::to_string(body.size()) +
                     " bytes");
        auto answer = call(entry, nullptr, "POST", "shop.example", path, id, body, kDeadlineMs);
        record_.line("answer " + id + " " + std::to_string(answer.status) + (answer.has_stamp ? " stamped " : " ") +
                     answer.body.substr(0, answer.body.find('\n')));
        return answer;
    }

    /// DENIED: more than 5 + one in 500 of all requests end with a 3xx or 4xx of the system's own (other than 408, 421,
    /// 429) though they are proper and every configuration that may be in force allows them.
    int judge() {
        const int count = before_.count + after_.count + last_.count;
        const int denied = before_.denied + after_.denied + last_.denied;
        const double allowed = 5 + count / 500.0;
        const auto part = [](const Sent& sent) {
            return std::to_string(sent.served) + " of " + std::to_string(sent.count) + " served, " +
                   std::to_string(sent.denied) + " denied";
        };
        const bool is_broken = denied > allowed;
        const auto text = "before: " + part(before_) + "; after: " + part(after_) +
                          "; after one more version: " + part(last_) + "; DENIED " + (is_broken ? "broken" : "held");
        record_.line(text);
        std::printf("%s\n", text.c_str());
        if (before_.served == 0) {
            std::fprintf(stderr, "no request is served\n");
            return kCannotRun;
        }
        return is_broken ? kBroken : kHeld;
    }

    Record record_;
    std::string folder_;
    Sent before_;
    Sent after_;
    Sent last_;
};

}  // namespace

int main(int count, char** arguments) {
    if (count != 3) {
        std::fprintf(stderr, "usage: case-4 RECORD FOLDER\n");
        return kCannotRun;
    }
    Case(arguments[1], arguments[2]).run();
}
