/// Choices with balancing by pace and by zone switched off.

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "src/adapters/seeded_random.h"
#include "src/entry/relay_selector.h"
#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

constexpr int kChoices = 20000;
constexpr std::size_t kInFlight = 300;
constexpr std::uint64_t kFnvOffset = 14695981039346656037U;
constexpr std::uint64_t kFnvPrime = 1099511628211U;
/// Of the choices of commit 83865de, the last one without balancing by pace and by zone.
constexpr std::uint64_t kFormerDigest = 13570390439119251867U;

wire::NodeRecord recordOf(const std::string& name, const std::string& zone, std::uint32_t slots) {
    wire::NodeRecord record;
    record.set_name(name);
    record.set_incarnation(1);
    record.set_zone(zone);
    record.set_address(name + ":1");
    record.mutable_instance()->set_service(name == "self" ? "other" : "desk");
    record.mutable_instance()->set_id("i-" + name);
    record.mutable_instance()->set_slots(slots);
    record.mutable_instance()->set_state(wire::INSTANCE_READY);
    return record;
}

struct Scenario {
    Scenario() {
        const std::string zones[] = {"north", "east", "south", "west"};
        for (std::uint32_t index = 0; index < 40; ++index) {
            auto record = recordOf("r" + std::to_string(index), zones[index % 4], 10 + index % 7);
            record.mutable_instance()->set_cold_left_ms(index % 9 == 0 ? 3000 : 0);
            directory.merge(record);
        }
    }
    relay::QueueLoad randomLoad() {
        relay::QueueLoad load;
        load.running = static_cast<std::uint32_t>(events.below(16));
        load.waiting = static_cast<std::uint32_t>(events.below(10) == 0 ? events.below(9) : 0);
        load.limit = 16;
        load.mean_service_time = Duration(10000 + static_cast<std::int64_t>(events.below(50000)));
        if (events.below(20) == 0) {
            load.rate_limit = static_cast<double>(events.below(20));
            load.rate_wait = Duration(static_cast<std::int64_t>(events.below(400000)));
        }
        return load;
    }
    void endOne() {
        const auto index = events.below(in_flight.size());
        std::swap(in_flight[index], in_flight.back());
        const auto node = in_flight.back();
        in_flight.pop_back();
        selector.onEnded(node);
        selector.onLoad(node, randomLoad());
        selector.onOutcome(node, events.below(15) == 0);
        events.below(50) == 0 ? directory.onUnreachable(node) : directory.onReached(node);
    }
    /// @return a hash of all choices.
    std::uint64_t run() {
        std::uint64_t digest = kFnvOffset;
        for (int choice = 0; choice < kChoices; ++choice) {
            const auto node = selector.choose("desk", {}).node;
            for (const char character : node) {
                digest = (digest ^ static_cast<unsigned char>(character)) * kFnvPrime;
            }
            selector.onSent(node);
            in_flight.push_back(node);
            if (in_flight.size() > kInFlight) {
                endOne();
            }
            time.advance(Duration(static_cast<std::int64_t>(events.below(3000))));
        }
        return digest;
    }

    tests::VirtualTime time;
    adapters::SeededRandom random{1};
    adapters::SeededRandom events{2};
    fleet::NodeDirectory directory{time.clock, recordOf("self", "north", 10)};
    entry::RelaySelector selector{time.clock, random, directory, {}};
    std::vector<std::string> in_flight;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_balancing_switched_off)

// Guards against a cost that changes for fleets which do not ask for balancing by pace or by zone.
BOOST_AUTO_TEST_CASE(choices_are_the_same_as_before_the_part_was_built) {
    BOOST_TEST(Scenario().run() == kFormerDigest);
}

BOOST_AUTO_TEST_SUITE_END()
