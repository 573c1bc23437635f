#include "src/quarantine/trial_gate.h"

#include <boost/test/unit_test.hpp>
#include <optional>

#include "tests/support/fakes.h"

using namespace dewcrank;
using quarantine::TrialConditions;

namespace {

struct GateFixture {
    GateFixture() {
        time.advance(10s);
        gate.setConditionsSource([this] { return now; });
    }
    /// @return the time that a suspect waits right after a crash; nullopt if this relay may run no trials.
    std::optional<Duration> waitAfterCrash(const fleet::Replicas& replicas, double utilization = 0.1) {
        now = {replicas, utilization};
        gate.onInstanceCrashed();
        return gate.wait();
    }

    tests::VirtualTime time;
    TrialConditions now;
    quarantine::TrialGateKnobs knobs;
    quarantine::TrialGate gate{time.clock, knobs};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_quarantine_trial_gate, GateFixture)

BOOST_AUTO_TEST_CASE(the_only_instance_of_a_service_runs_suspects_at_once) {
    BOOST_TEST((waitAfterCrash({1, 0, 0}) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(the_last_instance_up_runs_no_suspect_until_the_others_count_as_lost) {
    BOOST_TEST((waitAfterCrash({1, 2, 0}) == knobs.max_restart_time));
    time.advance(1s);
    BOOST_TEST((*gate.wait() == knobs.max_restart_time - 1s));
    time.advance(4s);
    BOOST_TEST((gate.wait() == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(two_instances_wait_for_the_settle_time_after_a_crash) {
    BOOST_TEST((waitAfterCrash({2, 1, 0}) == knobs.settle_time));
    time.advance(knobs.settle_time);
    BOOST_TEST((gate.wait() == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(at_a_small_service_one_relay_runs_suspects) {
    BOOST_TEST(!waitAfterCrash({2, 1, 1}).has_value());
    BOOST_TEST(!waitAfterCrash({3, 0, 1}).has_value());
    BOOST_TEST(!waitAfterCrash({3, 0, 2}).has_value());
    BOOST_TEST((waitAfterCrash({3, 0, 0}) == knobs.settle_time));
}

/// Guards against a trial whose crash leaves too few instances for the load of the service.
BOOST_AUTO_TEST_CASE(without_spare_capacity_suspects_wait_for_the_crashed_instance) {
    BOOST_TEST((waitAfterCrash({3, 0, 0}, 0.6) == knobs.settle_time));
    BOOST_TEST((waitAfterCrash({3, 0, 0}, 0.7) == knobs.max_restart_time));
    BOOST_TEST((waitAfterCrash({2, 1, 0}, 0.6) == knobs.max_restart_time));
}

BOOST_AUTO_TEST_CASE(at_a_large_service_all_but_two_relays_run_them_at_once) {
    BOOST_TEST((waitAfterCrash({300, 3, 0}, 0.9) == Duration::zero()));
    BOOST_TEST((waitAfterCrash({300, 3, 297}, 0.9) == Duration::zero()));
    BOOST_TEST(!waitAfterCrash({300, 3, 298}).has_value());
    BOOST_TEST(!waitAfterCrash({300, 3, 299}).has_value());
}

BOOST_AUTO_TEST_CASE(without_a_crash_suspects_run_at_once) {
    now = {{2, 0, 0}, 0.9};
    BOOST_TEST((gate.wait() == Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()
