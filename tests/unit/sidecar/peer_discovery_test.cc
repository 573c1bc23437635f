#include "src/sidecar/peer_discovery.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "src/adapters/seeded_random.h"

using namespace dewcrank;

BOOST_AUTO_TEST_SUITE(unit_sidecar_peer_discovery)

/// Guards against every node of a starting fleet listing itself in the store at the same time.
BOOST_AUTO_TEST_CASE(of_any_number_of_nodes_few_wait_much_less_than_the_others) {
    const sidecar::PeerDiscoveryKnobs knobs;
    adapters::SeededRandom random(1);
    for (const std::size_t nodes : {12U, 100U, 1000U, 10'000U}) {
        std::vector<Duration> waits;
        for (std::size_t node = 0; node < nodes; ++node) {
            waits.push_back(sidecar::suppressionWait(random.unit(), knobs));
        }
        const auto first = *std::min_element(waits.begin(), waits.end());
        const auto early = std::count_if(waits.begin(), waits.end(),
                                         [&](const auto& it) { return it <= first + knobs.max_suppression_wait / 4; });
        BOOST_TEST_CONTEXT("nodes " << nodes << ", early " << early) {
            BOOST_TEST(early <= 60);
            BOOST_TEST((*std::max_element(waits.begin(), waits.end()) <= knobs.max_suppression_wait));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
