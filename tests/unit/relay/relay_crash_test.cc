/// What a relay does when its instance ends: whom it suspects, whom it tries, whom it refuses.

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "src/relay/relay_service.h"
#include "tests/support/fakes.h"

using namespace dewcrank;
using relay::RelayReason;

namespace {

/// Keeps what it is sent until it is told how that ends. Probes end as `probe` says, at once.
class TestedInstance : public BackEndPort {
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
            result.answer.status = 500;
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
    std::vector<std::string> paths;  ///< Of what it has.

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
    void beat(const std::string& id, std::uint64_t sequence, std::uint64_t born_ms = 0) {
        instance::Heartbeat heartbeat;
        heartbeat.id = id;
        heartbeat.born_ms = born_ms;
        heartbeat.slots = 20;
        heartbeat.sequence = sequence;
        local.onHeartbeat(heartbeat);
    }
    void start(const std::string& path) {
        relay::RelayRequest request;
        request.request.path = path;
        request.instance = local.record().id();
        request.deadline = time.clock.now() + 2s;
        request.longest_wait = 1s;
        request.is_suspect = is_told_as_suspect;
        request.is_only_choice = is_only_choice;
        relay.start(std::move(request), [this](const relay::RelayResult& result) { reasons.push_back(result.reason); });
        time.advance(1ms);
    }
    static quarantine::Fingerprint fingerprint(const std::string& path) {
        HttpRequest request;
        request.path = path;
        return quarantine::fingerprintOf(request);
    }
    /// All connections of the instance break.
    void breakAll() {
        reasons.clear();
        instances.endAll(AttemptOutcome::kUnknown, "connection-closed");
        time.advance(20ms);
    }
    void answerAll() {
        reasons.clear();
        instances.endAll(AttemptOutcome::kAnswered, "");
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
    bool is_told_as_suspect = false;
    bool is_only_choice = false;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_relay_crash, RelayFixture)

BOOST_AUTO_TEST_CASE(suspects_are_tried_one_by_one_and_the_one_that_ends_the_next_instance_is_refused) {
    start("/a");
    start("/b");
    breakAll();
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices[0].suspects.size() == 2U);
    BOOST_TEST((reasons == std::vector{RelayReason::kInstanceEnded, RelayReason::kInstanceEnded}));
    BOOST_TEST(!local.isReady());
    beat("i2", 1);
    start("/a");
    start("/b");
    start("/other");
    BOOST_TEST(instances.paths == (std::vector<std::string>{"/a", "/other"}), boost::test_tools::per_element());
    answerAll();
    BOOST_TEST(instances.paths == std::vector<std::string>{"/b"}, boost::test_tools::per_element());
    start("/other");
    breakAll();
    BOOST_REQUIRE(notices.size() == 2U);
    BOOST_TEST(notices[1].quarantined.size() == 1U);
    BOOST_TEST(notices[1].suspects.empty());  // The other one has ended well just before.
    beat("i3", 1);
    reasons.clear();
    start("/b");
    BOOST_TEST((reasons == std::vector{RelayReason::kQuarantined}));
    start("/a");
    BOOST_TEST(instances.paths == std::vector<std::string>{"/a"}, boost::test_tools::per_element());
}

/// Two of three are up after an end elsewhere. This relay runs suspects once that has settled, one at a time; when
/// it is the last one that is up, none.
BOOST_AUTO_TEST_CASE(suspects_wait_until_an_instance_can_be_spared) {
    fleet::Replicas replicas{2, 1, 0};
    relay.setReplicaView([&replicas] { return replicas; });
    quarantine.markSuspect(fingerprint("/a"));
    quarantine.markSuspect(fingerprint("/b"));
    relay.onInstanceEndedElsewhere();
    start("/a");
    start("/b");
    start("/other");
    BOOST_TEST(instances.paths == std::vector<std::string>{"/other"}, boost::test_tools::per_element());
    time.advance(250ms);
    BOOST_TEST(instances.paths == (std::vector<std::string>{"/other", "/a"}), boost::test_tools::per_element());
    replicas = {1, 2, 0};
    relay.onInstanceEndedElsewhere();
    answerAll();
    BOOST_TEST(instances.paths.empty());
    time.advance(1s);
    BOOST_TEST((reasons.back() == RelayReason::kSuspect));
    BOOST_TEST(instances.paths.empty());
}

/// The entry would send it on before the news of the verdict is everywhere.
BOOST_AUTO_TEST_CASE(what_is_convicted_by_its_own_run_is_told_so) {
    quarantine.markSuspect(fingerprint("/a"));
    start("/a");
    breakAll();
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices[0].quarantined.size() == 1U);
    BOOST_TEST((reasons == std::vector{RelayReason::kQuarantined}));
}

/// The entry has heard of the end before this relay.
BOOST_AUTO_TEST_CASE(a_request_that_is_told_as_a_suspect_tells_the_end_of_an_instance) {
    relay.setReplicaView([] { return fleet::Replicas{3, 0, 0}; });
    is_told_as_suspect = true;
    start("/a");
    BOOST_TEST(instances.paths.empty());
    time.advance(250ms);
    BOOST_TEST(instances.paths == std::vector<std::string>{"/a"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_lost_connection_of_an_instance_that_lives_blames_nobody) {
    instances.probe = {AttemptOutcome::kAnswered, {}, ""};
    start("/a");
    breakAll();
    BOOST_TEST((reasons == std::vector{RelayReason::kNoWholeAnswer}));
    BOOST_TEST(notices.empty());
    BOOST_TEST(local.isReady());
}

BOOST_AUTO_TEST_CASE(a_planned_end_blames_nobody) {
    start("/a");
    local.onLeave("i1");
    breakAll();
    BOOST_TEST(notices.empty());
}

/// An instance without power breaks no connection: another one in its place tells its end.
BOOST_AUTO_TEST_CASE(another_instance_in_place_of_one_that_did_not_leave_tells_its_end) {
    start("/a");
    beat("i2", 1);
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices[0].instance == "i1");
    BOOST_TEST(notices[0].suspects.size() == 1U);
}

/// A node that has little processor time reads the closed connections over a while, a few at a time.
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

/// Whether it has ended could not be found out at once: its probes hang. Another one in its place tells.
BOOST_AUTO_TEST_CASE(runs_that_were_lost_before_another_instance_came_are_suspected) {
    instances.probe = {AttemptOutcome::kNotSent, {}, "timeout"};
    start("/a");
    breakAll();
    BOOST_TEST(notices.empty());
    time.advance(3s);
    beat("i2", 1);
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices[0].suspects.size() == 1U);
}

/// Taken for dead by mistake, it goes on with heartbeats under its id: its true end is noticed all the same.
BOOST_AUTO_TEST_CASE(an_instance_that_was_taken_for_dead_by_mistake_counts_again) {
    start("/a");
    breakAll();
    BOOST_REQUIRE(notices.size() == 1U);
    beat("i1", 2);
    BOOST_TEST(local.isReady());
    start("/b");
    breakAll();
    BOOST_TEST(notices.size() == 2U);
}

/// Its machine lost its power: no connection breaks, and the next life has the id of the former.
BOOST_AUTO_TEST_CASE(runs_of_a_former_life_end_unknown_at_once_and_free_their_places) {
    beat("i2", 1, 1000);
    for (int run = 0; run < 18; ++run) {
        start("/a" + std::to_string(run));
    }
    BOOST_TEST(relay.load().running == 18U);
    beat("i2", 1, 2000);
    time.advance(1ms);
    BOOST_REQUIRE(reasons.size() == 18U);
    for (const auto reason : reasons) {
        BOOST_TEST((reason == RelayReason::kInstanceEnded));
    }
    BOOST_TEST(relay.load().running == 0U);
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices[0].runs == 18U);
    reasons.clear();
    start("/next");
    BOOST_TEST(instances.paths.size() >= 1U);
    BOOST_TEST(instances.paths.back() == "/next");
}

BOOST_AUTO_TEST_CASE(each_life_under_one_id_is_blamed_on_its_own_runs) {
    beat("i2", 1, 1000);
    start("/a");
    breakAll();
    beat("i2", 1, 2000);
    start("/b");
    breakAll();
    BOOST_REQUIRE(notices.size() == 2U);
    BOOST_TEST(notices[1].runs == 1U);
    BOOST_TEST(notices[0].instance != notices[1].instance);
}

/// The next life is there before the end of the former one has been found out.
BOOST_AUTO_TEST_CASE(an_end_that_is_found_out_late_is_not_the_next_lifes) {
    beat("i2", 1, 1000);
    start("/a");
    instances.endAll(AttemptOutcome::kUnknown, "connection-closed");
    time.advance(2ms);
    beat("i2", 1, 2000);
    time.advance(100ms);
    BOOST_TEST(local.isReady());
    BOOST_TEST(notices.size() == 1U);
}

/// Every other relay of the service is stopping as well, or away.
BOOST_AUTO_TEST_CASE(a_stopping_relay_takes_what_no_other_can_until_it_closes) {
    relay.stop(time.clock.now() + 3s);
    start("/a");
    BOOST_TEST((reasons == std::vector{RelayReason::kStopping}));
    is_only_choice = true;
    start("/b");
    BOOST_TEST(instances.paths == std::vector<std::string>{"/b"}, boost::test_tools::per_element());
    relay.close();
    start("/c");
    BOOST_TEST((reasons.back() == RelayReason::kStopping));
    BOOST_TEST(instances.paths.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
