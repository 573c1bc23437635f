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
    FakeInstance instance{time.clock};
    std::vector<std::uint64_t> accepted;  ///< Sequence numbers.
    instance::HeartbeatCheck check{
        time.clock, instance, {}, kAddress, [this](const instance::Heartbeat& it) { accepted.push_back(it.sequence); },
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
        check.onHeartbeat(beat("i1", ++sequence), false);
        expect(row.is_accepted ? std::vector{sequence} : std::vector<std::uint64_t>{}, row.name);
    }
    BOOST_TEST(instance.paths.size() == 6U);
    BOOST_TEST(instance.paths.front() == "/health");
}

/// Guards against an instance that is out of service for as long as its health path says the wrong thing.
BOOST_AUTO_TEST_CASE(an_instance_that_goes_on_sending_heartbeats_is_believed) {
    check.onTable("/health");
    instance.respond(503, "i1");
    check.onHeartbeat(beat("i1", 7), false);
    check.onHeartbeat(beat("i1", 8), false);  // Both were delayed.
    expect({}, "delayed");
    time.advance(1s);
    check.onHeartbeat(beat("i1", 9), false);
    expect({9}, "continued");
}

BOOST_AUTO_TEST_CASE(an_instance_that_cannot_be_asked_is_believed) {
    check.onTable("/health");
    check.onHeartbeat(beat("i1", 7), false);
    expect({7}, "no response");
    instance.respond(503, "");
    instance.result.response.headers.set(HeaderNames{}.not_executed, "1");
    check.onHeartbeat(beat("i1", 8), false);
    expect({8}, "full");
    check.onTable("");
    check.onHeartbeat(beat("i1", 9), false);
    expect({9}, "no health path");
    BOOST_TEST(check.probesSent() == 2U);
}

/// Guards against probes of instances that are known, have just started or are leaving.
BOOST_AUTO_TEST_CASE(a_heartbeat_that_needs_no_confirmation_counts_at_once) {
    check.onHeartbeat(beat("i1", 1), false);
    check.onHeartbeat(beat("i1", 2), true);
    check.onHeartbeat(beat("i2", 9, true), false);
    BOOST_TEST(accepted.size() == 3U);
    BOOST_TEST(check.probesSent() == 0U);
}

/// A node that starts learns the health path with the table; the newest heartbeat since then counts.
BOOST_AUTO_TEST_CASE(a_heartbeat_before_the_table_waits_for_it) {
    instance.respond(200, "i1");
    check.onHeartbeat(beat("i1", 7), false);
    check.onHeartbeat(beat("i1", 8), false);
    expect({}, "no table");
    check.onTable("/health");
    expect({8}, "table");
    BOOST_TEST(check.probesSent() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
