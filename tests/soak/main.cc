/// @file
/// dewcrank-soak: sends load to a fleet of real nodes under random faults, and checks the fleet's invariants.
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
#include "tests/soak/kept_posts.h"
#include "tests/soak/open_connections.h"

namespace dewcrank::soak {

namespace {

enum ExitCode { kExitOk = 0, kExitViolated = 1, kExitBadInput = 2, kExitNotReady = 3 };

constexpr Duration kReadyTimeout = 60s;
constexpr Duration kReadyPoll = 50ms;
/// Wait after the load for the last responses.
constexpr Duration kResponseDrainTime = 5s;
/// Minimum fraction of requests served in the recovery window, the final part of the load, when faults have ended.
constexpr double kMinServedAtEnd = 0.9;
constexpr Duration kRecoveryWindow = 4s;
constexpr std::size_t kMaxShownViolations = 20;
/// Keeps the proxies within the limit of open file descriptors: every connection between two nodes takes two.
constexpr std::size_t kMaxCopies = 10;
constexpr Duration kNever = std::chrono::hours(24);

struct Options {
    std::string directory;
    std::uint64_t seed = 1;
    Duration length{};
    double rate = 0;
    std::size_t copies = 1;
    std::vector<std::string> only;
    std::vector<std::string> faults;  ///< Explicit faults, which replace random ones.
    bool has_tenants = true;
    bool has_open_connections = false;  ///< Beside the other load, callers keep connections and use them to the end.
    bool has_calm_stops = false;  ///< Beside the other load, POST requests on kept connections; draws planned stops.
    bool is_untimed = false;      ///< Skips checks with a time limit.
    bool shows_progress = false;  ///< Prints a line every second.
};

/// One soak, from the setup of the fleet to the report.
class Soak {
public:
    explicit Soak(Options options)
        : options_(std::move(options)),
          fleet_(loop_, options_.directory, options_.seed, options_.copies, options_.has_tenants,
                 options_.has_calm_stops),
          callers_(loop_, fleet_),
          open_connections_(loop_, fleet_, options_.seed),
          kept_posts_(loop_, fleet_, options_.seed + 2),
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
        if (options_.faults.empty() && options_.has_calm_stops) {
            adapters::SeededRandom random(options_.seed + 3);
            faults_ = drawStops(random, options_.length, fleet_.size());
        } else if (options_.faults.empty()) {
            faults_ = drawFaults(fleet_.random(), options_.length, fleet_.size(), options_.only);
        }
        for (const auto& text : options_.faults) {
            BOOST_LEAF_AUTO(fault, parseFault(text, fleet_.size()));
            faults_.push_back(std::move(fault));
        }
        return {};
    }

    /// Prints, every second, the outcomes of the requests that ended since the last line.
    void showProgress() {
        ++progress_lines_;
        progress_timer_ =
            loop_.startTimer(load_started_ + progress_lines_ * 1s - loop_.now(), [this] { showProgress(); });
        if (progress_lines_ == 1) {
            return;
        }
        std::map<int, int> ended;
        for (const auto& request : fleet_.observations().requests) {
            const bool is_new = request->ended > last_progress_ && !request->has_disconnected;
            ended[is_new ? request->status : 0] += 1;
        }
        last_progress_ = loop_.now();
        std::printf("%3lld s  served %4d  refused %4d  failed %4d\n", static_cast<long long>(progress_lines_ - 1),
                    ended[kHttpOk], ended[kHttpServiceUnavailable],
                    ended[kHttpInternalServerError] + ended[kHttpBadGateway] + ended[kHttpGatewayTimeout]);
        std::fflush(stdout);
    }

    void awaitReady() {
        if (fleet_.allReady()) {
            begin();
            return;
        }
        if (loop_.now() - started_ > kReadyTimeout) {
            std::cerr << "soak: the nodes did not become ready in time\n";
            result_ = kExitNotReady;
            loop_.stop();
            return;
        }
        timer_ = loop_.startTimer(kReadyPoll, [this] { awaitReady(); });
    }

    void begin() {
        load_started_ = loop_.now();
        for (const auto& fault : faults_) {
            std::printf("fault: at_ms=%lld lasts_ms=%lld kind=%s node=%s\n",
                        static_cast<long long>(toMilliseconds(fault.at)),
                        static_cast<long long>(toMilliseconds(fault.duration)), fault.name.c_str(),
                        fleet_.node(fault.node).name.c_str());
        }
        last_progress_ = load_started_;
        callers_.setRate(options_.rate);
        callers_.start();
        if (options_.has_open_connections) {
            open_connections_.start();
        }
        if (options_.has_calm_stops) {
            kept_posts_.start();
        }
        injector_.schedule(faults_);
        if (options_.shows_progress) {
            showProgress();
        }
        timer_ = loop_.startTimer(options_.length, [this] {
            callers_.stop();
            open_connections_.stop();
            kept_posts_.stop();
            timer_ = loop_.startTimer(kResponseDrainTime, [this] { finish(); });
        });
    }

    void finish() {
        CheckBounds bounds{kRetryLimit};
        bounds.max_runs = Fleet::maxRuns();
        if (options_.is_untimed) {
            bounds.table_propagation = kNever;
            bounds.disconnect_slack = kNever;
        }
        auto violations = findViolations(fleet_.observations(), bounds, loop_.now());
        if (!options_.is_untimed) {
            checkRecovery(&violations);
        }
        progress_timer_.reset();
        report(violations);
        result_ = violations.empty() ? kExitOk : kExitViolated;
        loop_.stop();
    }

    void checkRecovery(std::vector<Violation>* violations) {
        double sent = 0;
        double served = 0;
        for (const auto& request : fleet_.observations().requests) {
            const bool is_in_window = request->sent - load_started_ >= options_.length - kRecoveryWindow;
            if (!is_in_window || request->has_disconnected || !fleet_.mustBeServed(request->key)) {
                continue;
            }
            ++sent;
            served += request->status == kHttpOk ? 1 : 0;
        }
        if (served < kMinServedAtEnd * sent) {
            violations->push_back(
                {"callers are served again after the faults",
                 std::to_string(static_cast<int>(served)) + " of " + std::to_string(static_cast<int>(sent))});
        }
    }

    void report(const std::vector<Violation>& violations) {
        std::map<int, int> by_status;
        for (const auto& request : fleet_.observations().requests) {
            ++by_status[request->has_disconnected ? -1 : request->status];
        }
        std::printf("requests: %zu, runs at instances: %zu, calls to the store: %llu\n",
                    fleet_.observations().requests.size(), fleet_.observations().runs.size(),
                    static_cast<unsigned long long>(fleet_.store().calls()));
        const auto first_table =
            std::chrono::system_clock::now() - (loop_.now() - fleet_.observations().tables.front().acknowledged);
        std::printf("calls of instances: %zu, first table at %lld ms\n", fleet_.observations().calls.size(),
                    static_cast<long long>(
                        std::chrono::duration_cast<std::chrono::milliseconds>(first_table.time_since_epoch()).count()));
        std::printf("this process was late by %lld ms at most\n",
                    static_cast<long long>(toMilliseconds(fleet_.maxLateness())));
        for (const auto& [status, count] : by_status) {
            std::printf("  %s %d: %d\n", status < 0 ? "left early" : "status", status, count);
        }
        std::map<std::string, int> counts;
        for (const auto& violation : violations) {
            if (++counts[violation.invariant] <= static_cast<int>(kMaxShownViolations)) {
                std::printf("PROMISE BROKEN: %s: %s\n", violation.invariant.c_str(), violation.detail.c_str());
            }
        }
        std::printf("seed %llu: promises seen broken: %zu\n", static_cast<unsigned long long>(options_.seed),
                    violations.size());
    }

    Options options_;
    adapters::EventLoop loop_;
    Fleet fleet_;
    Callers callers_;
    OpenConnections open_connections_;
    KeptPosts kept_posts_;
    FaultInjector injector_;
    TimePoint started_ = loop_.now();
    TimePoint load_started_{};
    std::vector<PlannedFault> faults_;
    TimerHandle timer_;
    TimerHandle progress_timer_;
    TimePoint last_progress_{};
    std::int64_t progress_lines_ = 0;  ///< Calls of `showProgress`; the first prints nothing.
    int result_ = kExitOk;
};

cxxopts::Options makeOptions() {
    cxxopts::Options options("dewcrank-soak",
                             "Runs a fleet of real nodes under random faults and checks its invariants.");
    auto add = options.add_options();
    add("directory", "directory with node settings, shared with scripts/soak.sh", cxxopts::value<std::string>());
    add("seed", "seed of the random faults and arrivals", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("seconds", "duration of the load", cxxopts::value<double>()->default_value("60"));
    add("rate", "requests per second", cxxopts::value<double>()->default_value("80"));
    add("copies", "nodes per service and zone (three services in three zones), at most 10",
        cxxopts::value<std::size_t>()->default_value("1"));
    add("only", "restricts random faults to these kinds", cxxopts::value<std::vector<std::string>>());
    add("fault", "KIND@START+DURATION/NODE, in seconds; replaces random faults and may be repeated",
        cxxopts::value<std::vector<std::string>>());
    add("progress", "print a line of results every second");
    add("without-tenants", "tables have no tenants: nodes need no bound on revoked keys");
    add("open-connections", "further callers overlap requests or read slowly, on connections that they keep");
    add("calm-stops", "further callers send POST requests on kept connections; draws planned stops of several nodes");
    add("untimed", "skip checks of time limits, for machines under other load");
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
    options.has_tenants = given.count("without-tenants") == 0;
    options.has_open_connections = given.count("open-connections") > 0;
    options.has_calm_stops = given.count("calm-stops") > 0;
    options.is_untimed = given.count("untimed") > 0;
    options.shows_progress = given.count("progress") > 0;
    if (given.count("fault") > 0) {
        options.faults = given["fault"].as<std::vector<std::string>>();
    }
    if (given.count("only") > 0) {
        options.only = given["only"].as<std::vector<std::string>>();
    }
    if (!std::filesystem::is_directory(options.directory)) {
        std::cerr << "flags: --directory: '" << options.directory << "' is not a directory\n";
        return kExitBadInput;
    }
    if (options.length <= Duration::zero() || options.rate <= 0) {
        std::cerr << "flags: --seconds and --rate must be greater than 0\n";
        return kExitBadInput;
    }
    if (options.copies < 1 || options.copies > kMaxCopies) {
        std::cerr << "flags: --copies: expected a number from 1 to " << kMaxCopies << "\n";
        return kExitBadInput;
    }
    const auto names = faultNames();
    for (const auto& name : options.only) {
        if (std::find(names.begin(), names.end(), name) == names.end()) {
            std::cerr << "flags: --only: unknown fault '" << name << "'; --list prints all kinds\n";
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
