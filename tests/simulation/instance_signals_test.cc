/// What instances say about themselves in responses, a rate limit or that they are leaving, is heeded by all nodes.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sim/sidecar_fleet.h"
#include "src/base/http_status.h"
#include "tests/support/fleets.h"

using namespace dewcrank;
using tests::instanceOptions;

namespace {

constexpr std::uint64_t kSeeds = 3;
constexpr double kLoadPerSecond = 150;
constexpr Duration kWarmUp = 4s;     ///< From the start of a fleet until its load has run for a second.
constexpr Duration kLoadTime = 16s;  ///< From then on.
/// Time after which a request finds out whether a limit still holds, however low it is.
constexpr Duration kLongestUnasked = 4s;
constexpr double kRate = 8;
/// Indices of the first machines of the services.
constexpr std::size_t kBrowse = 0;
constexpr std::size_t kDesk = 3;
constexpr std::size_t kLeaf = 6;
constexpr std::size_t kCopies = 3;

/// Runs fail with their internal calls, so that a rejected call wastes the work of its tree.
std::vector<sim::FleetService> fleetServices() {
    auto services = tests::callingServices();
    services[0].instance.fails_with_internal_call = true;
    services[1].instance.fails_with_internal_call = true;
    return services;
}

/// A fleet under load that has run for a second.
struct LoadedFleet {
    explicit LoadedFleet(std::uint64_t seed, double per_second = kLoadPerSecond,
                         const DisabledMechanisms& disabled = {},
                         const std::vector<sim::FleetService>& services = fleetServices(),
                         Duration load_time = kLoadTime)
        : fleet(seed, services, disabled), load_time(load_time) {
        fleet.putTable("browse", "desk", "leaf");
        fleet.runFor(kWarmUp - 1s);
        fleet.generateLoad(per_second, fleet.queue().now() + 1s + load_time);
        fleet.runFor(1s);
        started = fleet.queue().now();
    }
    void nameRateLimit(std::size_t machine, std::optional<double> limit) {
        fleet.instance(machine).options().rate_limit = limit;
    }
    void nameRateLimits(std::size_t first, std::size_t count, std::optional<double> limit) {
        for (std::size_t machine = first; machine < first + count; ++machine) {
            nameRateLimit(machine, limit);
        }
    }
    void runToEnd() { fleet.runFor(started + load_time + 3s - fleet.queue().now()); }

    sim::SidecarFleet fleet;
    Duration load_time;
    TimePoint started{};
};

/// Checks all invariants, one message an invariant.
void checkInvariants(const sim::SidecarFleet& fleet, const std::string& name) {
    std::map<std::string, int> counts = {{sim::kRateLimitInvariant, 0}, {sim::kLeavingInvariant, 0}};
    std::map<std::string, std::string> examples;
    for (const auto& violation : fleet.violations()) {
        ++counts[violation.invariant];
        examples[violation.invariant] = violation.detail;
    }
    for (const auto& [invariant, count] : counts) {
        BOOST_TEST(count == 0, name << ": " << invariant << ": " << count << " times, " << examples[invariant]);
    }
}

/// @return the arrivals at an incarnation from `begin` on, whoever sent them, in the fullest window of 4 s.
double fullestWindow(const sim::SidecarFleet& fleet, const std::string& incarnation, TimePoint begin) {
    std::vector<TimePoint> times;
    double most = 0;
    for (const auto& arrival : fleet.records().arrivals) {
        if (arrival.incarnation != incarnation || arrival.at < begin) {
            continue;
        }
        times.push_back(arrival.at);
        const auto first = std::upper_bound(times.begin(), times.end(), arrival.at - sim::kRateLimitWindow);
        most = std::max(most, static_cast<double>(times.end() - first));
    }
    return most;
}

double arrivalsPerSecond(const sim::SidecarFleet& fleet, const std::set<std::string>& incarnations, TimePoint begin,
                         TimePoint end) {
    const auto& arrivals = fleet.records().arrivals;
    const auto count = std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& arrival) {
        return incarnations.contains(arrival.incarnation) && arrival.at >= begin && arrival.at < end;
    });
    return static_cast<double>(count) / toSeconds(end - begin);
}

/// @return the share of callers' requests sent in [begin, end) with this path that succeeded.
double servedShare(const sim::SidecarFleet& fleet, const std::string& path, TimePoint begin, TimePoint end) {
    double sent = 0;
    double served = 0;
    for (const auto& request : fleet.requests()) {
        if (request->path == path && request->sent >= begin && request->sent < end) {
            sent += 1;
            served += request->status == kHttpOk ? 1 : 0;
        }
    }
    return served / std::max(1.0, sent);
}

/// Names of the current incarnations of some machines.
std::set<std::string> incarnationsOf(sim::SidecarFleet& fleet, std::size_t first, std::size_t count) {
    std::set<std::string> names;
    for (std::size_t machine = first; machine < first + count; ++machine) {
        names.insert(fleet.instance(machine).incarnationName());
    }
    return names;
}

std::string seedName(std::uint64_t seed) {
    return "seed " + std::to_string(seed);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(simulation_instance_signals)

// Guards against instances that get as many requests as before although they name a lower rate limit.
BOOST_AUTO_TEST_CASE(an_instance_gets_no_more_than_the_rate_that_it_names) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        LoadedFleet it(seed);
        it.nameRateLimit(kBrowse, kRate);
        it.runToEnd();
        checkInvariants(it.fleet, seedName(seed));
    }
}

// The other instances take over what a limited one does not take, for first attempts of all kinds.
BOOST_AUTO_TEST_CASE(callers_notice_nothing_while_one_instance_is_limited) {
    for (const double rate : {0.0, 0.3, 3.0, 8.0}) {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            LoadedFleet calm(seed);
            calm.runToEnd();
            LoadedFleet it(seed);
            it.nameRateLimit(kBrowse, rate);
            it.runToEnd();
            const auto name = seedName(seed) + ", " + std::to_string(rate);
            checkInvariants(it.fleet, name);
            const auto& incarnation = it.fleet.instance(kBrowse).incarnationName();
            const auto most = fullestWindow(it.fleet, incarnation, it.started + 1s);
            BOOST_TEST(most <= rate * toSeconds(sim::kRateLimitWindow) + sim::kRateLimitSlack, name << ": " << most);
            for (const auto* path : {"/work/x", "/sign/x"}) {
                const auto end = it.started + kLoadTime;
                const double before = servedShare(calm.fleet, path, calm.started, end);
                const double share = servedShare(it.fleet, path, it.started, end);
                BOOST_TEST(share >= before - 0.01, name << " " << path << ": " << share << " of " << before);
            }
        }
    }
}

// While all instances of a service are limited and callers want more, what they take is used.
BOOST_AUTO_TEST_CASE(limits_of_all_instances_are_used_while_callers_want_more) {
    for (const double rate : {4.0, 8.0, 20.0}) {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            LoadedFleet it(seed);
            it.nameRateLimits(kBrowse, kCopies, rate);
            it.runToEnd();
            const auto name = seedName(seed) + ", " + std::to_string(rate);
            checkInvariants(it.fleet, name);
            for (std::size_t machine = kBrowse; machine < kBrowse + kCopies; ++machine) {
                const auto& incarnation = it.fleet.instance(machine).incarnationName();
                const auto most = fullestWindow(it.fleet, incarnation, it.started + 1s);
                BOOST_TEST(most <= rate * toSeconds(sim::kRateLimitWindow) + sim::kRateLimitSlack,
                           name << ": " << most);
            }
            const auto used = arrivalsPerSecond(it.fleet, incarnationsOf(it.fleet, kBrowse, kCopies), it.started + 2s,
                                                it.started + kLoadTime) /
                              (rate * kCopies);
            BOOST_TEST(used >= 0.95, name << ": " << used << " is used");
            const double share = servedShare(it.fleet, "/sign/x", it.started, it.started + kLoadTime);
            BOOST_TEST(share >= 0.98, name << ": " << share << " of the requests to other services are served");
        }
    }
}

// Limits of the deepest service reject whole call trees, the least urgent first.
BOOST_AUTO_TEST_CASE(limits_of_a_called_service_reject_the_least_urgent_call_trees_at_their_entries) {
    constexpr double kLeafRate = 30;  // In all 90 of the 150 calls that are wanted.
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        LoadedFleet it(seed);
        it.nameRateLimits(kLeaf, kCopies, kLeafRate);
        it.runToEnd();
        checkInvariants(it.fleet, seedName(seed));
        const auto begin = it.started + 2s;
        const auto end = it.started + kLoadTime;
        const double used =
            arrivalsPerSecond(it.fleet, incarnationsOf(it.fleet, kLeaf, kCopies), begin, end) / (kLeafRate * kCopies);
        BOOST_TEST(used >= 0.95, seedName(seed) << ": " << used << " is used");
        const double urgent = servedShare(it.fleet, "/sign/x", begin, end);
        const double other = servedShare(it.fleet, "/work/x", begin, end);
        BOOST_TEST(urgent >= 0.95, seedName(seed) << ": " << urgent << " of the urgent requests are served");
        BOOST_TEST(urgent > other, seedName(seed) << ": " << other << " of the others are served");
        const auto completed = static_cast<double>(it.fleet.countResponses(kHttpOk));
        const auto failed = static_cast<double>(it.fleet.countResponses(kHttpInternalServerError));
        BOOST_TEST(failed <= 0.05 * completed, seedName(seed) << ": " << failed << " call trees fail midway");
    }
}

// A limit may fall, rise and end, and begin again.
BOOST_AUTO_TEST_CASE(limits_that_change_hold_at_once_and_end_with_the_first_response_without_one) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        LoadedFleet it(seed);
        const std::optional<double> limits[] = {20, 4, 12, std::nullopt, 0.3, std::nullopt};
        Duration at{};
        for (const auto& limit : limits) {
            it.fleet.after(at, [&it, limit] { it.nameRateLimits(kBrowse, kCopies, limit); });
            at += 2s;
        }
        it.runToEnd();
        checkInvariants(it.fleet, seedName(seed));
        const auto found_out = it.started + at - 2s + kLongestUnasked;
        const double share = servedShare(it.fleet, "/work/x", found_out, it.started + kLoadTime);
        BOOST_TEST(share >= 0.98, seedName(seed) << ": " << share << " is served after the limits");
    }
}

using Fault = std::function<void(sim::SidecarFleet&)>;

/// Faults beside limits and leaving instances.
const std::map<std::string, Fault> kFaults = {
    {"nodes stopped in turn",
     [](sim::SidecarFleet& fleet) {
         for (std::size_t machine = 0; machine < fleet.machineCount(); ++machine) {
             fleet.after(std::chrono::milliseconds(1500 + 1500 * machine),
                         [&fleet, machine] { fleet.restartNode(machine); });
         }
     }},
    {"nodes killed in turn",
     [](sim::SidecarFleet& fleet) {
         for (std::size_t machine = 0; machine < fleet.machineCount(); ++machine) {
             const auto at = std::chrono::milliseconds(1500 + 1500 * machine);
             fleet.after(at, [&fleet, machine] { fleet.killNode(machine); });
             fleet.after(at + 300ms, [&fleet, machine] { fleet.startNode(machine); });
         }
     }},
    {"the relays of the instances killed again and again",
     [](sim::SidecarFleet& fleet) {
         for (int round = 0; round < 10; ++round) {
             for (std::size_t machine = kBrowse; machine < kBrowse + kCopies; ++machine) {
                 const auto at = std::chrono::milliseconds(1500 + 1300 * round + 200 * machine);
                 fleet.after(at, [&fleet, machine] { fleet.killNode(machine); });
                 fleet.after(at + 50ms, [&fleet, machine] { fleet.startNode(machine); });
             }
         }
     }},
    {"machines suspended in turn",
     [](sim::SidecarFleet& fleet) {
         for (std::size_t machine = 0; machine < fleet.machineCount(); ++machine) {
             fleet.after(std::chrono::milliseconds(1500 + 1500 * machine),
                         [&fleet, machine] { fleet.suspendMachine(machine, 1200ms); });
         }
     }},
    {"a zone cut off",
     [](sim::SidecarFleet& fleet) {
         for (const auto* other : {"zone1", "zone2"}) {
             fleet.after(3s, [&fleet, other] {
                 fleet.network().setCut("zone0", other, true);
                 fleet.network().setCut(other, "zone0", true);
             });
             fleet.after(7s, [&fleet, other] {
                 fleet.network().setCut("zone0", other, false);
                 fleet.network().setCut(other, "zone0", false);
             });
         }
     }},
    {"the instances replaced by unlimited ones under their ids",
     [](sim::SidecarFleet& fleet) {
         for (std::size_t machine = kBrowse; machine < kBrowse + kCopies; ++machine) {
             const auto at = std::chrono::milliseconds(4000 + 1500 * machine);
             fleet.after(at, [&fleet, machine] { fleet.instance(machine).crash(); });
             fleet.after(at + 500ms, [&fleet, machine] {
                 auto options = fleet.instance(machine).options();
                 options.rate_limit = std::nullopt;
                 options.says_leaving = false;
                 options.keeps_id = true;
                 fleet.instance(machine).start(options);
             });
         }
     }},
};

BOOST_AUTO_TEST_CASE(limits_hold_beside_restarts_suspensions_and_cuts) {
    for (const auto& [fault, begin] : kFaults) {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            for (const double rate : {0.3, 3.0, 30.0}) {
                LoadedFleet it(seed);
                it.nameRateLimits(kBrowse, kCopies, rate);
                begin(it.fleet);
                it.runToEnd();
                checkInvariants(it.fleet, fault + ", " + seedName(seed) + ", " + std::to_string(rate));
            }
        }
    }
}

// Guards against requests to an instance that says only in its responses that it is leaving.
BOOST_AUTO_TEST_CASE(no_request_follows_a_response_that_says_the_instance_is_leaving) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        LoadedFleet it(seed);
        it.fleet.instance(kBrowse).options().says_leaving = true;
        it.runToEnd();
        checkInvariants(it.fleet, seedName(seed));
        const double share = servedShare(it.fleet, "/work/x", it.started, it.started + kLoadTime);
        BOOST_TEST(share >= 0.98, seedName(seed) << ": " << share << " is served by the others");
    }
}

BOOST_AUTO_TEST_CASE(no_request_follows_beside_restarts_suspensions_and_cuts_either) {
    for (const auto& [fault, begin] : kFaults) {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            LoadedFleet it(seed);
            it.fleet.instance(kBrowse).options().says_leaving = true;
            it.fleet.instance(kDesk).options().says_leaving = true;
            it.fleet.instance(kLeaf).options().says_leaving = true;
            it.nameRateLimit(kBrowse + 1, kRate);
            begin(it.fleet);
            it.runToEnd();
            checkInvariants(it.fleet, fault + ", " + seedName(seed));
        }
    }
}

// A rolling release: instances leave by header or by heartbeat, and limited ones are among them.
BOOST_AUTO_TEST_CASE(instances_that_leave_in_turn_while_others_are_limited) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        LoadedFleet it(seed);
        it.nameRateLimits(kBrowse, kCopies, 25);
        for (std::size_t machine = 0; machine < it.fleet.machineCount(); ++machine) {
            const auto at = std::chrono::milliseconds(500 + 1000 * machine);
            it.fleet.after(at, [&it, machine] { it.fleet.instance(machine).options().says_leaving = true; });
            if (machine % 2 == 0) {
                it.fleet.after(at + 500ms, [&it, machine] { it.fleet.instance(machine).drain(); });
            }
            it.fleet.after(at + 5s, [&it, machine] {
                auto options = it.fleet.instance(machine).options();
                options.says_leaving = false;
                it.fleet.instance(machine).crash();
                it.fleet.instance(machine).start(options);
            });
        }
        it.runToEnd();
        checkInvariants(it.fleet, seedName(seed));
    }
}

// The bound and the use do not depend on the size of the service or of the rate.
BOOST_AUTO_TEST_CASE(limits_hold_in_services_of_many_instances) {
    const struct {
        std::size_t copies;
        double rate;
        double load_per_second;
        Duration load_time;  ///< Long enough for many requests at each instance.
    } cases[] = {{30, 3, 200, kLoadTime}, {30, 0.3, 60, 60s}, {3, 300, 1800, kLoadTime}, {300, 0.3, 250, 60s}};
    for (const auto& entry : cases) {
        const std::vector<sim::FleetService> services = {{instanceOptions("browse", 30ms, 60), entry.copies},
                                                         {instanceOptions("desk", 30ms, 60), kCopies}};
        LoadedFleet it(1, entry.load_per_second, {}, services, entry.load_time);
        it.nameRateLimits(kBrowse, entry.copies, entry.rate);
        it.runToEnd();
        const auto name = std::to_string(entry.copies) + " instances, " + std::to_string(entry.rate);
        checkInvariants(it.fleet, name);
        double most = 0;
        for (std::size_t machine = 0; machine < entry.copies; ++machine) {
            const auto& incarnation = it.fleet.instance(machine).incarnationName();
            most = std::max(most, fullestWindow(it.fleet, incarnation, it.started + 1s));
        }
        BOOST_TEST(most <= entry.rate * toSeconds(sim::kRateLimitWindow) + sim::kRateLimitSlack, name << ": " << most);
        const auto used = arrivalsPerSecond(it.fleet, incarnationsOf(it.fleet, kBrowse, entry.copies), it.started + 4s,
                                            it.started + entry.load_time) /
                          (entry.rate * static_cast<double>(entry.copies));
        BOOST_TEST(used >= 0.95, name << ": " << used << " is used");
    }
}

// Shows that the checks fail without the mechanisms.
BOOST_AUTO_TEST_CASE(ignored_signals_are_seen) {
    DisabledMechanisms disabled;
    disabled.rate_limit_check = true;
    disabled.leaving_check = true;
    LoadedFleet it(1, kLoadPerSecond, disabled);
    it.nameRateLimit(kBrowse, kRate);
    it.fleet.instance(kDesk).options().says_leaving = true;
    it.runToEnd();
    std::set<std::string> broken;
    for (const auto& violation : it.fleet.violations()) {
        broken.insert(violation.invariant);
    }
    BOOST_TEST(broken.contains(sim::kRateLimitInvariant));
    BOOST_TEST(broken.contains(sim::kLeavingInvariant));
}

BOOST_AUTO_TEST_SUITE_END()
