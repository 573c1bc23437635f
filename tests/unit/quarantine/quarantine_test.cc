#include "src/quarantine/quarantine.h"

#include <boost/test/unit_test.hpp>

#include "src/quarantine/run_tracker.h"
#include "tests/support/fakes.h"

using namespace dewcrank;
using quarantine::Quarantine;
using quarantine::QuarantineState;

namespace {

constexpr quarantine::Fingerprint kOne = 17;
constexpr quarantine::Fingerprint kTwo = 23;

struct Fixture {
    Fixture() { time.advance(1s); }  // The epoch marks an empty entry of RecentCompletions.

    tests::VirtualTime time;
    tests::RecordingLog log;
    Quarantine local{time.clock, {}};
    Quarantine remote{time.clock, {}};
    quarantine::RunTracker runs{time.clock, log, local};

    void replicate() {
        for (const auto& record : local.records()) {
            remote.merge(record);
        }
    }
    static quarantine::Run runOf(quarantine::Fingerprint fingerprint, bool is_trial) {
        return {"r1", "/work/", "i1", fingerprint, is_trial};
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_quarantine, Fixture)

BOOST_AUTO_TEST_CASE(a_suspect_is_cleared_by_completion_or_timeout) {
    BOOST_TEST((local.state(kOne) == QuarantineState::kClear));
    BOOST_TEST(local.markSuspect(kOne));
    BOOST_TEST(local.markSuspect(kTwo));
    BOOST_TEST((local.state(kOne) == QuarantineState::kSuspect));
    local.onCompleted(kOne);
    BOOST_TEST((local.state(kOne) == QuarantineState::kClear));
    time.advance(59s);
    BOOST_TEST((local.state(kTwo) == QuarantineState::kSuspect));
    time.advance(1s);
    BOOST_TEST((local.state(kTwo) == QuarantineState::kClear));
}

BOOST_AUTO_TEST_CASE(a_recently_completed_request_is_not_suspected) {
    local.onCompleted(kOne);
    time.advance(9s);
    BOOST_TEST(!local.markSuspect(kOne));
    BOOST_TEST((local.state(kOne) == QuarantineState::kClear));
    time.advance(2s);
    BOOST_TEST(local.markSuspect(kOne));
}

BOOST_AUTO_TEST_CASE(a_term_ends_in_suspicion_and_the_next_one_is_longer) {
    local.markQuarantined(kOne);
    BOOST_TEST((local.state(kOne) == QuarantineState::kQuarantined));
    BOOST_TEST((local.remainingTerm(kOne) == std::chrono::minutes(10)));
    time.advance(std::chrono::minutes(10));
    BOOST_TEST((local.state(kOne) == QuarantineState::kSuspect));
    local.markQuarantined(kOne);
    BOOST_TEST((local.remainingTerm(kOne) == std::chrono::minutes(20)));
    time.advance(std::chrono::minutes(21));
    local.onCompleted(kOne);  // The request no longer crashes instances, as after a fix.
    BOOST_TEST((local.state(kOne) == QuarantineState::kClear));
    BOOST_TEST((local.remainingTerm(kOne) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(records_converge_in_any_order) {
    local.markQuarantined(kOne);
    const auto convicted = local.records();
    local.onCompletedElsewhere(kOne);
    const auto released = local.records();
    Quarantine other(time.clock, {});
    BOOST_TEST(remote.merge(convicted[0]));
    BOOST_TEST((remote.state(kOne) == QuarantineState::kQuarantined));
    BOOST_TEST(remote.merge(released[0]));
    BOOST_TEST(other.merge(released[0]));
    BOOST_TEST(!other.merge(convicted[0]));
    BOOST_TEST((remote.state(kOne) == QuarantineState::kClear));
    BOOST_TEST((other.state(kOne) == QuarantineState::kClear));
}

BOOST_AUTO_TEST_CASE(a_local_completion_overrides_records_of_other_relays) {
    local.markQuarantined(kOne);
    remote.onCompleted(kOne);
    replicate();
    BOOST_TEST((remote.state(kOne) == QuarantineState::kClear));
    time.advance(11s);
    replicate();
    BOOST_TEST((remote.state(kOne) == QuarantineState::kQuarantined));
}

BOOST_AUTO_TEST_CASE(memory_is_bounded_while_instances_flap) {
    for (quarantine::Fingerprint fingerprint = 0; fingerprint < 20'000; ++fingerprint) {
        local.markSuspect(fingerprint);
        time.advance(1us);
    }
    BOOST_TEST(local.suspectCount() == 4096U);
    BOOST_TEST((local.state(19'999) == QuarantineState::kSuspect));
    BOOST_TEST((local.state(0) == QuarantineState::kClear));
    for (quarantine::Fingerprint fingerprint = 0; fingerprint < 1000; ++fingerprint) {
        local.markQuarantined(fingerprint);
        time.advance(1us);
    }
    BOOST_TEST(local.records().size() == 256U);
    BOOST_TEST((local.state(999) == QuarantineState::kQuarantined));
}

BOOST_AUTO_TEST_CASE(a_crash_is_attributed_to_the_trial) {
    runs.onSent(1, runOf(kOne, true));
    runs.onSent(2, runOf(kTwo, false));
    runs.onSent(3, {"r3", "/work/", "i0", 31, false});
    const auto notice = runs.attributeCrash("i1");
    BOOST_TEST(notice.runs == 2U);
    BOOST_TEST(notice.quarantined == std::vector<quarantine::Fingerprint>{kOne}, boost::test_tools::per_element());
    BOOST_TEST(notice.suspects == std::vector<quarantine::Fingerprint>{kTwo}, boost::test_tools::per_element());
    BOOST_TEST((local.state(kOne) == QuarantineState::kQuarantined));
    BOOST_TEST((local.state(kTwo) == QuarantineState::kSuspect));
    BOOST_TEST((local.state(31) == QuarantineState::kClear));
}

/// Guards against a missed suspect whose caller cancelled the request shortly before the instance crashed.
BOOST_AUTO_TEST_CASE(a_run_that_was_cancelled_just_before_counts_and_one_that_was_cancelled_earlier_does_not) {
    runs.onSent(1, runOf(kOne, false));
    runs.onCancelled(1);
    time.advance(200ms);
    runs.onSent(2, runOf(kTwo, true));
    runs.onCancelled(2);
    time.advance(80ms);
    runs.attributeCrash("i1");
    BOOST_TEST((local.state(kOne) == QuarantineState::kClear));
    BOOST_TEST((local.state(kTwo) == QuarantineState::kQuarantined));
}

BOOST_AUTO_TEST_SUITE_END()
