#include "src/instance/heartbeat_check.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

const std::string kAddress = "127.0.0.1:1";

/// Instance whose response to a probe is set by the test.
class FakeInstance : public HttpTransport {
public:
    explicit FakeInstance(Clock& clock) : clock_(clock) {}
    AttemptHandle send(const std::string&, HttpRequest request, Duration timeout, Callback callback) override {
        paths.push_back(request.path);
        auto attempt = std::make_unique<Running>();
        const auto time = result.outcome == AttemptOutcome::kResponded ? Duration(1ms) : timeout;
        attempt->timer = clock_.startTimer(time, [this, callback = std::move(callback)] { callback(result); });
        return attempt;
    }
    void respond(int status, const std::string& id) {
        result = {};
        result.outcome = AttemptOutcome::kResponded;
        result.response.status = status;
        if (!id.empty()) {
            result.response.headers.set(HeaderNames{}.instance_id, id);
        }
    }
    AttemptResult result;
    std::vector<std::string> paths;

private:
    struct Running : Attempt {
        TimerHandle timer;
    };
    Clock& clock_;
};

instance::Heartbeat beat(const std::string& id, std::uint64_t sequence, bool is_draining = false) {
    instance::Heartbeat heartbeat;
    heartbeat.id = id;
    heartbeat.sequence = sequence;
    heartbeat.is_draining = is_draining;
    return heartbeat;
}

struct CheckFixture {
    tests::VirtualTime time;
    tests::RecordingLog log;
    FakeInstance instance{time.clock};
    std::vector<std::uint64_t> accepted;  ///< Sequence numbers.
    instance::HeartbeatCheck check{
        time.clock, log,      instance,
        {},         kAddress, [this](const instance::Heartbeat& it) { accepted.push_back(it.sequence); },
        {}};
    void expect(const std::vector<std::uint64_t>& expected, const std::string& what) {
        time.advance(300ms);
        BOOST_TEST(accepted == expected, what);
        accepted.clear();
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_instance_heartbeat_check, CheckFixture)

/// Guards against a delayed heartbeat of an instance that has announced its shutdown, at a node that has just started.
BOOST_AUTO_TEST_CASE(a_heartbeat_that_cannot_be_ordered_counts_if_the_instance_confirms_it) {
    struct Row {
        const char* name;
        int status;
        const char* id;
        bool is_accepted;
    };
    check.onTable("/health");
    std::uint64_t sequence = 10;
    for (const auto& row : std::vector<Row>{{"healthy", 200, "i1", true},
                                            {"healthy, without id", 200, "", true},
                                            {"another instance", 200, "i2", false},
                                            {"another instance that leaves", 503, "i2", false},
                                            {"no such path", 404, "", true},
                                            {"leaving", 503, "i1", false}}) {
        instance.respond(row.status, row.id);
        check.onHeartbeat(beat("i1", ++sequence), {});
        expect(row.is_accepted ? std::vector{sequence} : std::vector<std::uint64_t>{}, row.name);
    }
    BOOST_TEST(instance.paths.size() == 6U);
    BOOST_TEST(instance.paths.front() == "/health");
}

/// Guards against heartbeats from before a leave, of which any number may be late: neither their number nor the time
/// between them shows that the instance is ready.
BOOST_AUTO_TEST_CASE(an_instance_that_says_that_it_leaves_is_not_revived_by_late_heartbeats) {
    check.onTable("/health");
    instance.respond(503, "i1");
    for (std::uint64_t sequence = 1; sequence < 20; ++sequence) {
        check.onHeartbeat(beat("i1", sequence), {});
        time.advance(1500ms);
    }
    expect({}, "late");
    instance.respond(200, "i1");
    check.onHeartbeat(beat("i1", 21), {});
    expect({21}, "the instance confirms a further one");
}

/// Guards against an instance that is out of service for as long as its health path says the wrong thing.
BOOST_AUTO_TEST_CASE(a_heartbeat_at_the_fresh_address_needs_no_confirmation) {
    check.onTable("/health");
    instance.respond(503, "i1");
    check.onHeartbeat(beat("i1", 7), {});
    expect({}, "asked");
    check.onHeartbeat(beat("i1", 8), {});
    BOOST_TEST(check.namesFreshAddress());
    expect({}, "told the fresh address");
    check.onHeartbeat(beat("i1", 9), {false, true});
    expect({9}, "fresh");
    BOOST_TEST(!check.namesFreshAddress());
}

/// Guards against a late heartbeat to an address that an earlier process has named and this one uses as well.
BOOST_AUTO_TEST_CASE(the_fresh_address_proves_nothing_before_this_process_has_named_it) {
    check.onTable("/health");
    instance.respond(503, "i1");
    check.onHeartbeat(beat("i1", 9), {false, true});
    expect({}, "not named yet");
    check.onHeartbeat(beat("i1", 10), {});
    check.onHeartbeat(beat("i1", 8), {false, true});
    check.onHeartbeat(beat("i1", 10), {false, true});
    check.onHeartbeat(beat("i2", 11), {false, true});
    expect({}, "composed before it was named, or told to another incarnation");
}

/// Guards against an instance that counts as ready, or is never asked again, because it could not be asked once.
BOOST_AUTO_TEST_CASE(an_instance_that_cannot_be_asked_is_asked_again) {
    check.onTable("/health");
    check.onHeartbeat(beat("i1", 7), {});
    time.advance(2s);
    expect({}, "no response");
    BOOST_TEST(check.probesSent() == 3U);
    instance.respond(503, "");
    instance.result.response.headers.set(HeaderNames{}.not_executed, "1");
    time.advance(2s);
    expect({}, "full");
    instance.respond(200, "i1");
    time.advance(4s);
    expect({7}, "asked again");
    const auto probes = check.probesSent();
    time.advance(2s);
    BOOST_TEST(check.probesSent() == probes);
}

/// Guards against probes at a high rate of instances that are full and reject them, while their heartbeats go on.
BOOST_AUTO_TEST_CASE(an_instance_that_rejects_probes_gets_few_of_them) {
    check.onTable("/health");
    instance.respond(503, "");
    instance.result.response.headers.set(HeaderNames{}.not_executed, "1");
    for (std::uint64_t sequence = 1; sequence <= 7; ++sequence) {
        check.onHeartbeat(beat("i1", sequence), {});
        time.advance(1500ms);
    }
    BOOST_TEST(check.probesSent() >= 4U);
    BOOST_TEST(check.probesSent() <= 7U);
}

BOOST_AUTO_TEST_CASE(an_instance_without_a_health_path_is_believed) {
    check.onTable("");
    check.onHeartbeat(beat("i1", 9), {});
    expect({9}, "no health path");
    BOOST_TEST(check.probesSent() == 0U);
}

/// Guards against probes of instances that are known or are leaving.
BOOST_AUTO_TEST_CASE(a_heartbeat_that_needs_no_confirmation_counts_at_once) {
    check.onHeartbeat(beat("i1", 2), {true, false});
    check.onHeartbeat(beat("i2", 9, true), {});
    BOOST_TEST(accepted.size() == 2U);
    BOOST_TEST(check.probesSent() == 0U);
}

/// A node that starts learns the health path with the table; the newest heartbeat since then counts.
BOOST_AUTO_TEST_CASE(a_heartbeat_before_the_table_waits_for_it) {
    instance.respond(200, "i1");
    check.onHeartbeat(beat("i1", 7), {});
    check.onHeartbeat(beat("i1", 8), {});
    expect({}, "no table");
    check.onTable("/health");
    expect({8}, "table");
    BOOST_TEST(check.probesSent() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
