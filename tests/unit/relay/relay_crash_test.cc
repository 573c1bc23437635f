/// Crashes of the instance: which requests the relay suspects, tries one at a time and rejects.

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "src/relay/relay_service.h"
#include "tests/support/fakes.h"

using namespace dewcrank;
using relay::RelayReason;

namespace {

/// Holds requests until a test completes or fails the requests. Probes end with the result `probe` after a millisecond.
class TestedInstance : public HttpTransport {
public:
    explicit TestedInstance(Clock& clock) : clock_(clock) {}
    AttemptHandle send(const std::string&, HttpRequest request, Duration, Callback callback) override {
        if (request.path == "/health") {
            auto attempt = std::make_unique<Running>();
            attempt->timer =
                clock_.startTimer(1ms, [result = probe, callback = std::move(callback)] { callback(result); });
            return attempt;
        }
        paths.push_back(request.path);
        callbacks.push_back(std::move(callback));
        return std::make_unique<Attempt>();
    }
    void endAll(AttemptOutcome outcome, const std::string& reason) {
        paths.clear();
        for (auto& callback : std::exchange(callbacks, {})) {
            AttemptResult result;
            result.outcome = outcome;
            result.response.status = 500;
            result.reason = reason;
            callback(result);
        }
    }
    void endSome(std::size_t count, AttemptOutcome outcome, const std::string& reason) {
        std::vector<Callback> rest(callbacks.begin() + static_cast<std::ptrdiff_t>(count), callbacks.end());
        callbacks.resize(count);
        endAll(outcome, reason);
        callbacks.insert(callbacks.end(), rest.begin(), rest.end());
    }
    AttemptResult probe{AttemptOutcome::kNotSent, {}, "connect-failed"};
    std::vector<std::string> paths;  ///< Paths of the requests since the last `endAll` or `endSome`.

private:
    struct Running : Attempt {
        TimerHandle timer;
    };
    Clock& clock_;
    std::vector<Callback> callbacks;
};

struct RelayFixture {
    RelayFixture() {
        time.advance(1s);
        relay.signalCrashed().connect([this](const quarantine::CrashNotice& it) { notices.push_back(it); });
        beat("i1", 1);
    }
    void beat(const std::string& id, std::uint64_t sequence, std::uint64_t start_ms = 0) {
        instance::Heartbeat heartbeat;
        heartbeat.id = id;
        heartbeat.start_ms = start_ms;
        heartbeat.slots = 20;
        heartbeat.sequence = sequence;
        local.onHeartbeat(heartbeat);
    }
    void start(const std::string& path) {
        relay::RelayRequest request;
        request.request.path = path;
        request.instance = local.record().id();
        request.deadline = time.clock.now() + 2s;
        request.max_wait = 1s;
        request.is_suspect = marks_suspect;
        request.is_only_candidate = is_only_candidate;
        relay.start(std::move(request), [this](const relay::RelayResult& result) { reasons.push_back(result.reason); });
        time.advance(1ms);
    }
    static quarantine::Fingerprint fingerprint(const std::string& path) {
        HttpRequest request;
        request.path = path;
        return quarantine::fingerprintOf(request);
    }
    /// Loses all connections of the instance.
    void loseAllConnections() {
        reasons.clear();
        instances.endAll(AttemptOutcome::kUnknown, "connection-closed");
        time.advance(20ms);
    }
    void answerAll() {
        reasons.clear();
        instances.endAll(AttemptOutcome::kResponded, "");
        time.advance(1ms);
    }

    tests::VirtualTime time;
    tests::RecordingLog log;
    TestedInstance instances{time.clock};
    instance::LocalInstance local{time.clock, 8s};
    quarantine::Quarantine quarantine{time.clock, {}};
    const HeaderNames names;
    relay::RelayService relay{
        time.clock, log, instances, local, quarantine, names, "i:1", [](const std::string&) { return 1.0; }, {}};
    std::vector<quarantine::CrashNotice> notices;
    std::vector<RelayReason> reasons;
    bool marks_suspect = false;
    bool is_only_candidate = false;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_relay_crash, RelayFixture)

BOOST_AUTO_TEST_CASE(suspects_are_tried_one_by_one_and_the_one_that_crashes_the_next_instance_is_rejected) {
    start("/a");
    start("/b");
    loseAllConnections();
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices[0].suspects.size() == 2U);
    BOOST_TEST((reasons == std::vector{RelayReason::kInstanceCrashed, RelayReason::kInstanceCrashed}));
    BOOST_TEST(!local.isReady());
    beat("i2", 1);
    start("/a");
    start("/b");
    start("/other");
    BOOST_TEST(instances.paths == (std::vector<std::string>{"/a", "/other"}), boost::test_tools::per_element());
    answerAll();
    BOOST_TEST(instances.paths == std::vector<std::string>{"/b"}, boost::test_tools::per_element());
    start("/other");
    loseAllConnections();
    BOOST_REQUIRE(notices.size() == 2U);
    BOOST_TEST(notices[1].quarantined.size() == 1U);
    BOOST_TEST(notices[1].suspects.empty());  // The other request completed before the crash.
    beat("i3", 1);
    reasons.clear();
    start("/b");
    BOOST_TEST((reasons == std::vector{RelayReason::kQuarantined}));
    start("/a");
    BOOST_TEST(instances.paths == std::vector<std::string>{"/a"}, boost::test_tools::per_element());
}

/// Guards against suspects that crash the last instance: with two of three instances up after a remote crash, suspects
/// run one at a time after a pause; with one instance up, suspects do not run.
BOOST_AUTO_TEST_CASE(suspects_wait_until_an_instance_can_be_spared) {
    fleet::Replicas replicas{2, 1, 0};
    relay.setReplicaView([&replicas] { return replicas; });
    quarantine.markSuspect(fingerprint("/a"));
    quarantine.markSuspect(fingerprint("/b"));
    relay.onRemoteCrash();
    start("/a");
    start("/b");
    start("/other");
    BOOST_TEST(instances.paths == std::vector<std::string>{"/other"}, boost::test_tools::per_element());
    time.advance(250ms);
    BOOST_TEST(instances.paths == (std::vector<std::string>{"/other", "/a"}), boost::test_tools::per_element());
    replicas = {1, 2, 0};
    relay.onRemoteCrash();
    answerAll();
    BOOST_TEST(instances.paths.empty());
    time.advance(1s);
    BOOST_TEST((reasons.back() == RelayReason::kSuspect));
    BOOST_TEST(instances.paths.empty());
}

/// Guards against a retry by the entry before all relays have received the notice of the quarantine.
BOOST_AUTO_TEST_CASE(a_request_that_its_own_run_quarantines_is_reported_as_quarantined) {
    quarantine.markSuspect(fingerprint("/a"));
    start("/a");
    loseAllConnections();
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices[0].quarantined.size() == 1U);
    BOOST_TEST((reasons == std::vector{RelayReason::kQuarantined}));
}

/// Guards against an immediate run of a suspect at a relay that has not received the notice of the crash yet.
BOOST_AUTO_TEST_CASE(a_request_that_is_marked_as_suspect_implies_a_crash) {
    relay.setReplicaView([] { return fleet::Replicas{3, 0, 0}; });
    marks_suspect = true;
    start("/a");
    BOOST_TEST(instances.paths.empty());
    time.advance(250ms);
    BOOST_TEST(instances.paths == std::vector<std::string>{"/a"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_lost_connection_of_a_live_instance_marks_no_suspects) {
    instances.probe = {AttemptOutcome::kResponded, {}, ""};
    start("/a");
    loseAllConnections();
    BOOST_TEST((reasons == std::vector{RelayReason::kNoCompleteResponse}));
    BOOST_TEST(notices.empty());
    BOOST_TEST(local.isReady());
}

BOOST_AUTO_TEST_CASE(a_planned_stop_marks_no_suspects) {
    start("/a");
    local.onLeave("i1");
    loseAllConnections();
    BOOST_TEST(notices.empty());
}

/// Guards against a missed crash when no connection is lost, as after a power failure of the host.
BOOST_AUTO_TEST_CASE(another_instance_in_place_of_one_that_did_not_leave_implies_its_crash) {
    start("/a");
    beat("i2", 1);
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices[0].instance == "i1");
    BOOST_TEST(notices[0].suspects.size() == 1U);
}

/// Guards against missed suspects when a slow node reads the closed connections a few at a time.
BOOST_AUTO_TEST_CASE(runs_whose_closed_connections_are_read_late_are_suspected_all_the_same) {
    for (int number = 0; number < 12; ++number) {
        start("/" + std::to_string(number));
    }
    for (int turn = 0; turn < 4; ++turn) {
        instances.endSome(3, AttemptOutcome::kUnknown, "connection-closed");
        time.advance(30ms);
    }
    BOOST_REQUIRE(!notices.empty());
    BOOST_TEST(quarantine.suspectCount() == 12U);
}

/// Guards against lost suspects when the probes time out and only the next instance reveals the crash.
BOOST_AUTO_TEST_CASE(runs_that_were_lost_before_another_instance_came_are_suspected) {
    instances.probe = {AttemptOutcome::kNotSent, {}, "timeout"};
    start("/a");
    loseAllConnections();
    BOOST_TEST(notices.empty());
    time.advance(3s);
    beat("i2", 1);
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices[0].suspects.size() == 1U);
}

/// Guards against a missed crash of an instance that was declared crashed by mistake before.
BOOST_AUTO_TEST_CASE(a_crash_is_detected_after_an_earlier_false_detection) {
    start("/a");
    loseAllConnections();
    BOOST_REQUIRE(notices.size() == 1U);
    beat("i1", 2);
    BOOST_TEST(local.isReady());
    start("/b");
    loseAllConnections();
    BOOST_TEST(notices.size() == 2U);
}

/// Guards against leaked slots after a power failure of the host: no connection is lost, and the id stays the same.
BOOST_AUTO_TEST_CASE(runs_of_a_former_incarnation_end_at_once_and_free_their_slots) {
    beat("i2", 1, 1000);
    for (int run = 0; run < 18; ++run) {
        start("/a" + std::to_string(run));
    }
    BOOST_TEST(relay.load().running == 18U);
    beat("i2", 1, 2000);
    time.advance(1ms);
    BOOST_REQUIRE(reasons.size() == 18U);
    for (const auto reason : reasons) {
        BOOST_TEST((reason == RelayReason::kInstanceCrashed));
    }
    BOOST_TEST(relay.load().running == 0U);
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices[0].runs == 18U);
    reasons.clear();
    start("/next");
    BOOST_TEST(instances.paths.size() >= 1U);
    BOOST_TEST(instances.paths.back() == "/next");
}

BOOST_AUTO_TEST_CASE(each_incarnation_of_one_id_has_its_own_suspects) {
    beat("i2", 1, 1000);
    start("/a");
    loseAllConnections();
    beat("i2", 1, 2000);
    start("/b");
    loseAllConnections();
    BOOST_REQUIRE(notices.size() == 2U);
    BOOST_TEST(notices[1].runs == 1U);
    BOOST_TEST(notices[0].instance != notices[1].instance);
}

/// Guards against a crash that is detected late and attributed to the next incarnation.
BOOST_AUTO_TEST_CASE(a_crash_that_is_detected_late_does_not_affect_the_next_incarnation) {
    beat("i2", 1, 1000);
    start("/a");
    instances.endAll(AttemptOutcome::kUnknown, "connection-closed");
    time.advance(2ms);
    beat("i2", 1, 2000);
    time.advance(100ms);
    BOOST_TEST(local.isReady());
    BOOST_TEST(notices.size() == 1U);
}

/// Guards against rejections while all other relays of the service are stopping or unreachable.
BOOST_AUTO_TEST_CASE(a_stopping_relay_accepts_what_no_other_can_until_it_closes) {
    relay.stop(time.clock.now() + 3s);
    start("/a");
    BOOST_TEST((reasons == std::vector{RelayReason::kStopping}));
    is_only_candidate = true;
    start("/b");
    BOOST_TEST(instances.paths == std::vector<std::string>{"/b"}, boost::test_tools::per_element());
    relay.close();
    start("/c");
    BOOST_TEST((reasons.back() == RelayReason::kStopping));
    BOOST_TEST(instances.paths.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
