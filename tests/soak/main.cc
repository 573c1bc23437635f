/// @file
/// dewcrank-soak: drives a fleet of real nodes under random faults, and holds it to its promises.
/// scripts/soak.sh starts it together with the nodes.

#include <cstdio>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>

#include "src/base/http_status.h"
#include "tests/soak/callers.h"
#include "tests/soak/checks.h"
#include "tests/soak/faults.h"
#include "tests/soak/fleet.h"

namespace dewcrank::soak {

namespace {

enum ExitCode { kExitOk = 0, kExitBroken = 1, kExitBadInput = 2, kExitNotReady = 3 };

constexpr Duration kReadyLimit = 60s;
constexpr Duration kReadyPoll = 50ms;
/// After the load, for the last answers.
constexpr Duration kLastAnswers = 5s;
/// Served of what is sent in the last part of a soak, at least: faults have ended for a while by then.
constexpr double kLeastServedAtEnd = 0.9;
constexpr Duration kJudgedEnd = 4s;
constexpr std::size_t kShownBreaches = 20;
/// 90 nodes: each keeps connections to all others, of which each takes two descriptors of this process, whose proxies
/// are between them: 16,000 of the 20,000 that a process may have.
constexpr std::size_t kMostCopies = 10;
constexpr Duration kNever = std::chrono::hours(24);

struct Options {
    std::string directory;
    std::uint64_t seed = 1;
    Duration length{};
    double rate = 0;
    std::size_t copies = 1;
    std::vector<std::string> only;
    std::vector<std::string> faults;  ///< Given instead of drawn.
    bool is_untimed = false;          ///< Promises with a bound in time are not judged.
    bool shows_progress = false;      ///< A line a second.
};

/// One soak, from the start of the fleet to its report.
class Soak {
public:
    explicit Soak(Options options)
        : options_(std::move(options)),
          fleet_(loop_, options_.directory, options_.seed, options_.copies),
          callers_(loop_, fleet_),
          injector_(loop_, fleet_, callers_, options_.rate) {}

    int run() {
        const bool is_prepared = runOrReport(
            [&]() -> Result<void> {
                BOOST_LEAF_CHECK(fleet_.prepare());
                return planFaults();
            },
            [](const StepError& error) { std::cerr << error.text() << '\n'; });
        if (!is_prepared) {
            return kExitBadInput;
        }
        awaitReady();
        loop_.run();
        return result_;
    }

private:
    Result<void> planFaults() {
        if (options_.faults.empty()) {
            faults_ = drawFaults(fleet_.random(), options_.length, fleet_.size(), options_.only);
        }
        for (const auto& text : options_.faults) {
            BOOST_LEAF_AUTO(fault, parseFault(text, fleet_.size()));
            faults_.push_back(std::move(fault));
        }
        return {};
    }

    /// What became of the requests that have ended since the last line.
    void showProgress() {
        ++shown_;
        progress_timer_ = loop_.startTimer(began_ + shown_ * 1s - loop_.now(), [this] { showProgress(); });
        if (shown_ == 1) {
            return;
        }
        std::map<int, int> ended;
        for (const auto& request : fleet_.seen().requests) {
            const bool is_new = request->ended > last_shown_ && !request->has_left;
            ended[is_new ? request->status : 0] += 1;
        }
        last_shown_ = loop_.now();
        std::printf("%3lld s  served %4d  refused %4d  failed %4d\n", static_cast<long long>(shown_ - 1),
                    ended[kHttpOk], ended[kHttpServiceUnavailable],
                    ended[kHttpInternalServerError] + ended[kHttpBadGateway] + ended[kHttpGatewayTimeout]);
        std::fflush(stdout);
    }

    void awaitReady() {
        if (fleet_.allTakeCallers()) {
            begin();
            return;
        }
        if (loop_.now() - started_ > kReadyLimit) {
            std::cerr << "soak: the nodes are not ready in time\n";
            result_ = kExitNotReady;
            loop_.stop();
            return;
        }
        timer_ = loop_.startTimer(kReadyPoll, [this] { awaitReady(); });
    }

    void begin() {
        began_ = loop_.now();
        for (const auto& fault : faults_) {
            std::printf("fault: at_ms=%lld lasts_ms=%lld kind=%s node=%s\n",
                        static_cast<long long>(toMilliseconds(fault.at)),
                        static_cast<long long>(toMilliseconds(fault.lasts)), fault.name.c_str(),
                        fleet_.node(fault.node).name.c_str());
        }
        last_shown_ = began_;
        callers_.setRate(options_.rate);
        callers_.start();
        injector_.schedule(faults_);
        if (options_.shows_progress) {
            showProgress();
        }
        timer_ = loop_.startTimer(options_.length, [this] {
            callers_.stop();
            timer_ = loop_.startTimer(kLastAnswers, [this] { finish(); });
        });
    }

    void finish() {
        CheckBounds bounds{kRepeats};
        bounds.most_runs = Fleet::mostRuns();
        if (options_.is_untimed) {
            bounds.table = kNever;
            bounds.leave_slack = kNever;
        }
        auto breaches = findBreaches(fleet_.seen(), bounds, loop_.now());
        if (!options_.is_untimed) {
            addRecovery(&breaches);
        }
        progress_timer_.reset();
        report(breaches);
        result_ = breaches.empty() ? kExitOk : kExitBroken;
        loop_.stop();
    }

    void addRecovery(std::vector<Breach>* breaches) {
        double sent = 0;
        double served = 0;
        for (const auto& request : fleet_.seen().requests) {
            const bool is_judged = request->sent - began_ >= options_.length - kJudgedEnd;
            if (!is_judged || request->has_left || !fleet_.isOwed(request->key)) {
                continue;
            }
            ++sent;
            served += request->status == kHttpOk ? 1 : 0;
        }
        if (served < kLeastServedAtEnd * sent) {
            breaches->push_back(
                {"callers are served again after the faults",
                 std::to_string(static_cast<int>(served)) + " of " + std::to_string(static_cast<int>(sent))});
        }
    }

    void report(const std::vector<Breach>& breaches) {
        std::map<int, int> by_status;
        for (const auto& request : fleet_.seen().requests) {
            ++by_status[request->has_left ? -1 : request->status];
        }
        std::printf("requests: %zu, runs at instances: %zu, calls to the store: %llu\n", fleet_.seen().requests.size(),
                    fleet_.seen().runs.size(), static_cast<unsigned long long>(fleet_.store().calls()));
        for (const auto& [status, count] : by_status) {
            std::printf("  %s %d: %d\n", status < 0 ? "left early" : "status", status, count);
        }
        std::map<std::string, int> counts;
        for (const auto& breach : breaches) {
            if (++counts[breach.promise] <= static_cast<int>(kShownBreaches)) {
                std::printf("PROMISE BROKEN: %s: %s\n", breach.promise.c_str(), breach.detail.c_str());
            }
        }
        std::printf("seed %llu: promises seen broken: %zu\n", static_cast<unsigned long long>(options_.seed),
                    breaches.size());
    }

    Options options_;
    adapters::EventLoop loop_;
    Fleet fleet_;
    Callers callers_;
    FaultInjector injector_;
    TimePoint started_ = loop_.now();
    TimePoint began_{};
    std::vector<PlannedFault> faults_;
    TimerHandle timer_;
    TimerHandle progress_timer_;
    TimePoint last_shown_{};
    std::int64_t shown_ = 0;  ///< Lines so far.
    int result_ = kExitOk;
};

cxxopts::Options makeOptions() {
    cxxopts::Options options("dewcrank-soak", "Holds a fleet of real nodes to its promises under random faults.");
    auto add = options.add_options();
    add("directory", "where scripts/soak.sh finds what to start", cxxopts::value<std::string>());
    add("seed", "of faults and arrivals", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("seconds", "of load", cxxopts::value<double>()->default_value("60"));
    add("rate", "requests a second", cxxopts::value<double>()->default_value("80"));
    add("copies", "nodes of each of the three services in each of the three zones, 10 at most",
        cxxopts::value<std::size_t>()->default_value("1"));
    add("only", "kinds of faults to draw from", cxxopts::value<std::vector<std::string>>());
    add("fault", "KIND@SECONDS+SECONDS/NODE instead of drawn ones; once for each",
        cxxopts::value<std::vector<std::string>>());
    add("progress", "print a line a second");
    add("untimed", "do not judge promises with a bound in time, for machines that are busy otherwise");
    add("list", "print the kinds of faults");
    add("help", "print this help");
    return options;
}

int runWith(const cxxopts::ParseResult& given) {
    if (given.count("list") > 0) {
        for (const auto& name : faultNames()) {
            std::cout << name << '\n';
        }
        return kExitOk;
    }
    Options options;
    options.directory = given.count("directory") > 0 ? given["directory"].as<std::string>() : "";
    options.seed = given["seed"].as<std::uint64_t>();
    options.length = Duration(static_cast<std::int64_t>(given["seconds"].as<double>() * 1e6));
    options.rate = given["rate"].as<double>();
    options.copies = given["copies"].as<std::size_t>();
    options.is_untimed = given.count("untimed") > 0;
    options.shows_progress = given.count("progress") > 0;
    if (given.count("fault") > 0) {
        options.faults = given["fault"].as<std::vector<std::string>>();
    }
    if (given.count("only") > 0) {
        options.only = given["only"].as<std::vector<std::string>>();
    }
    if (!std::filesystem::is_directory(options.directory)) {
        std::cerr << "flags: --directory: '" << options.directory << "' is no directory\n";
        return kExitBadInput;
    }
    if (options.length <= Duration::zero() || options.rate <= 0) {
        std::cerr << "flags: --seconds and --rate: numbers above 0 are expected\n";
        return kExitBadInput;
    }
    if (options.copies < 1 || options.copies > kMostCopies) {
        std::cerr << "flags: --copies: a number from 1 to " << kMostCopies << " is expected\n";
        return kExitBadInput;
    }
    const auto names = faultNames();
    for (const auto& name : options.only) {
        if (std::find(names.begin(), names.end(), name) == names.end()) {
            std::cerr << "flags: --only: there is no fault '" << name << "'; --list prints them\n";
            return kExitBadInput;
        }
    }
    return Soak(std::move(options)).run();
}

}  // namespace

}  // namespace dewcrank::soak

int main(int argc, char** argv) {
    auto options = dewcrank::soak::makeOptions();
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0) {
            std::cout << options.help();
            return dewcrank::soak::kExitOk;
        }
        return dewcrank::soak::runWith(given);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "flags: " << error.what() << '\n';
        return dewcrank::soak::kExitBadInput;
    }
}
