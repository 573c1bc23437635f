/// Requests that could only start too late to complete by their deadlines, and the order of the others in the queue.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "src/relay/relay_service.h"
#include "tests/support/fakes.h"

using namespace dewcrank;
using relay::RelayReason;

namespace {

/// Responds to each request after 200 ms.
class SlowInstance : public HttpTransport {
public:
    explicit SlowInstance(Clock& clock) : clock_(clock) {}
    AttemptHandle send(const std::string&, HttpRequest request, Duration, Callback callback) override {
        paths.push_back(request.path);
        auto attempt = std::make_unique<Running>();
        attempt->timer = clock_.startTimer(200ms, [callback = std::move(callback)] {
            AttemptResult result;
            result.outcome = AttemptOutcome::kResponded;
            result.response.status = 500;
            callback(result);
        });
        return attempt;
    }
    std::vector<std::string> paths;

private:
    struct Running : Attempt {
        TimerHandle timer;
    };
    Clock& clock_;
};

struct LateFixture {
    explicit LateFixture(bool rejects_too_late = true) : relay(makeRelay(rejects_too_late)) {
        time.advance(1s);
        instance::Heartbeat heartbeat;
        heartbeat.id = "i1";
        heartbeat.slots = 4;
        heartbeat.sequence = 1;
        local.onHeartbeat(heartbeat);
    }
    std::unique_ptr<relay::RelayService> makeRelay(bool rejects_too_late) {
        relay::RelayKnobs knobs;
        knobs.rejects_too_late = rejects_too_late;
        return std::make_unique<relay::RelayService>(
            time.clock, log, instances, local, quarantine, names, "i:1",
            [](const std::string& service) { return service == "caller" ? 0.01 : 1.0; }, knobs);
    }
    void start(const std::string& path, Duration deadline, const std::string& caller_service = "",
               Duration max_wait = 400ms) {
        relay::RelayRequest request;
        request.request.path = path;
        request.request.headers.set(names.caller_service, caller_service);
        request.instance = "i1";
        request.route = caller_service.empty() ? "browse" : "inner";
        request.deadline = time.clock.now() + deadline;
        request.max_wait = max_wait;
        relay->start(std::move(request),
                     [this](const relay::RelayResult& result) { reasons.push_back(result.reason); });
    }
    /// Lets the relay measure the run time of both routes, and detect the internal one.
    void learn() {
        for (int round = 0; round < 12; ++round) {
            start("/l", 2s);
            start("/l", 2s, "caller");
            start("/l", 2s, "caller");
            time.advance(250ms);
        }
        reasons.clear();
        instances.paths.clear();
    }
    /// Occupies all slots for the next 200 ms.
    void fill() {
        for (int slot = 0; slot < 4; ++slot) {
            start("/f", 2s);
        }
    }

    tests::VirtualTime time;
    tests::RecordingLog log;
    SlowInstance instances{time.clock};
    instance::LocalInstance local{time.clock, 8s};
    quarantine::Quarantine quarantine{time.clock, {}};
    const HeaderNames names;
    std::unique_ptr<relay::RelayService> relay;
    std::vector<RelayReason> reasons;
};

struct OffFixture : LateFixture {
    OffFixture() : LateFixture(false) {}
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_relay_late_requests, LateFixture)

/// Guards against slots that run requests whose callers have gone: the wait would leave 150 ms of the usual 200.
BOOST_AUTO_TEST_CASE(a_request_that_cannot_complete_after_its_wait_is_rejected_at_once) {
    learn();
    fill();
    start("/late", 220ms);
    start("/in-time", 900ms);
    time.advance(1ms);
    BOOST_REQUIRE(reasons.size() == 1U);
    BOOST_TEST((reasons[0] == RelayReason::kQueueTooLong));
    time.advance(400ms);
    BOOST_REQUIRE(instances.paths.size() == 5U);
    BOOST_TEST(instances.paths[4] == "/in-time");
}

BOOST_FIXTURE_TEST_CASE(it_waits_with_the_part_off, OffFixture) {
    learn();
    fill();
    start("/late", 220ms);
    time.advance(1ms);
    BOOST_TEST(reasons.empty());
}

/// The usual run time is a mean: while a slot is free, a request with less time than that is sent.
BOOST_AUTO_TEST_CASE(a_free_slot_is_used_by_a_request_with_less_than_the_usual_time) {
    learn();
    start("/short", 150ms);
    BOOST_REQUIRE(instances.paths.size() == 1U);
    BOOST_TEST(instances.paths[0] == "/short");
}

/// Guards against trees whose work is wasted: an internal call with a shortened deadline goes first and is not rejected
/// for its usual run time.
BOOST_AUTO_TEST_CASE(calls_of_trees_that_have_begun_go_first_whatever_their_time) {
    learn();
    fill();
    start("/in-time", 900ms);
    start("/tree", 220ms, "caller");
    time.advance(1ms);
    BOOST_TEST(reasons.empty());
    time.advance(205ms);
    BOOST_REQUIRE(instances.paths.size() >= 5U);
    BOOST_TEST(instances.paths[4] == "/tree");
}

/// The longest wait is a share of the latency objective, so that the objective orders requests of one priority.
BOOST_AUTO_TEST_CASE(the_latency_objective_orders_requests_of_one_priority) {
    learn();
    fill();
    start("/objective-1600", 2s, "", 400ms);
    start("/objective-1000", 2s, "", 250ms);
    time.advance(205ms);
    BOOST_REQUIRE(instances.paths.size() == 6U);
    BOOST_TEST(instances.paths[4] == "/objective-1000");
    BOOST_TEST(instances.paths[5] == "/objective-1600");
}

BOOST_AUTO_TEST_SUITE_END()
