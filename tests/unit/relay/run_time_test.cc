/// A run has all the time of its request at the instance, also if it begins as a sample of the call graph.

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "src/base/http_status.h"
#include "src/relay/relay_service.h"
#include "tests/support/fakes.h"

using namespace dewcrank;
using relay::RetryPolicy;

namespace {

/// Instance that answers each request after a given time, or with 504 at the deadline that it was handed.
class TimedInstance : public HttpTransport {
public:
    TimedInstance(Clock& clock, const HeaderNames& names) : clock_(clock), names_(names) {}
    AttemptHandle send(const std::string&, HttpRequest request, Duration timeout, Callback callback) override {
        const std::string id(request.headers.get(names_.request_id));
        const auto handed = std::chrono::milliseconds(std::stoi(std::string(request.headers.get(names_.deadline_ms))));
        auto run = std::make_unique<Run>();
        const bool is_stopped = answers_at_deadline && handed < work;
        run->timer = clock_.startTimer(is_stopped ? handed : work, [this, id, is_stopped, callback] {
            AttemptResult result;
            result.outcome = AttemptOutcome::kResponded;
            result.response.status = is_stopped ? kHttpGatewayTimeout : kHttpOk;
            result.response.headers.set(names_.request_id, id);
            result.response.headers.set(names_.server_stamp, "stamp");
            callback(result);
        });
        run->timeout = clock_.startTimer(timeout, [callback] {
            AttemptResult result;
            result.outcome = AttemptOutcome::kUnknown;
            result.reason = kTimedOut;
            callback(result);
        });
        handed_times[id].push_back(handed);
        return run;
    }
    AttemptHandle sendOnNewConnection(const std::string& address, HttpRequest request, Duration timeout,
                                      Callback callback) override {
        return send(address, std::move(request), timeout, std::move(callback));
    }

    Duration work{};
    bool answers_at_deadline = true;
    std::map<std::string, std::vector<Duration>> handed_times;  ///< By request id: of each run.

private:
    struct Run : Attempt {
        TimerHandle timer;
        TimerHandle timeout;
    };
    Clock& clock_;
    const HeaderNames& names_;
};

struct RunTimeFixture {
    RunTimeFixture() {
        time.advance(1s);
        beat(1, false);
        learnCallTimes();
    }
    void beat(std::uint64_t sequence, bool is_draining) {
        instance::Heartbeat heartbeat;
        heartbeat.id = "i1";
        heartbeat.slots = 20;
        heartbeat.sequence = sequence;
        heartbeat.is_draining = is_draining;
        local.onHeartbeat(heartbeat);
        time.advance(1ms);
    }
    /// The calls of the instance have a timeout of one second, which does not depend on the run.
    void learnCallTimes() {
        for (int call = 0; call < 40; ++call) {
            relay.callGraph().onCall(time.clock.now(), "inner", 1s);
            time.advance(10ms);
        }
        instances.work = 50ms;
        for (int run = 0; run < 5; ++run) {
            start(RetryPolicy::kAlways);
            time.advance(100ms);
        }
        results.clear();
        instances.handed_times.clear();
    }
    void start(RetryPolicy policy) {
        relay::RelayRequest request;
        request.request.method = "POST";
        request.request.path = "/work";
        request.request.headers.set(names.request_id, std::to_string(++last_id));
        request.route = "work";
        request.instance = "i1";
        request.retry_policy = policy;
        request.deadline = time.clock.now() + kTimeLimit;
        request.max_wait = 300ms;
        relay.start(std::move(request), [this](const relay::RelayResult& result) {
            results.push_back(result);
            ended = time.clock.now();
        });
    }
    /// @return the least time that the instance was handed for any run of a request.
    [[nodiscard]] Duration leastHandedTime() const {
        Duration least = Duration::max();
        for (const auto& [id, times] : instances.handed_times) {
            least = std::min(least, *std::min_element(times.begin(), times.end()));
        }
        return least;
    }
    /// Starts a sample that needs longer than its share of the time.
    void checkRunAgain() {
        instances.work = 1200ms;
        start(RetryPolicy::kAlways);
        const auto began = time.clock.now();
        time.advance(kTimeLimit + 10ms);
        BOOST_REQUIRE(results.size() == 1U);
        BOOST_TEST((ended >= began + kTimeLimit - 10ms));
        BOOST_REQUIRE(instances.handed_times.size() == 1U);
        const auto& handed = instances.handed_times.begin()->second;
        BOOST_REQUIRE(handed.size() == 2U);
        BOOST_TEST((handed[0] <= kTimeLimit / 2));
        BOOST_TEST((handed[1] >= kTimeLimit / 2 - 1ms));
        BOOST_TEST(relay.retryWindow().retries == (results[0].is_retry_paid ? 2 : 1));  // Its retry elsewhere, too.
        BOOST_TEST(relay.load().running == 0U);
    }
    static relay::RelayKnobs knobs() {
        relay::RelayKnobs result;
        result.retry_limit = {0.2, 40, 10s};
        return result;
    }
    static constexpr Duration kTimeLimit = 1500ms;
    tests::VirtualTime time;
    tests::RecordingLog log;
    const HeaderNames names;
    TimedInstance instances{time.clock, names};
    instance::LocalInstance local{time.clock, 8s};
    quarantine::Quarantine quarantine{time.clock, {}};
    relay::RelayService relay{
        time.clock, log, instances, local, quarantine, names, "i:1", [](const std::string&) { return 0.0; }, knobs()};
    std::vector<relay::RelayResult> results;
    TimePoint ended{};
    int last_id = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_relay_run_time, RunTimeFixture)

/// Guards against a request that must not run twice and is ended before its deadline, while its instance is at work.
BOOST_AUTO_TEST_CASE(a_run_that_cannot_be_repeated_is_handed_all_of_its_time) {
    instances.work = 1200ms;
    for (int run = 0; run < 100; ++run) {
        start(RetryPolicy::kIfNotRun);
        time.advance(1300ms);
    }
    BOOST_TEST(results.size() == 100U);
    BOOST_TEST((leastHandedTime() >= kTimeLimit - 1ms));
    for (const auto& result : results) {
        BOOST_TEST((result.outcome == relay::RelayOutcome::kResponded));
        BOOST_TEST(result.response.status == kHttpOk);
    }
}

/// Guards against a sample that ends its caller's request: one that needs longer is run again with the time left.
BOOST_AUTO_TEST_CASE(a_sample_that_the_instance_ends_is_run_again_with_the_rest_of_its_time) {
    checkRunAgain();
}

/// Guards against the same if the instance does not stop at the deadline that it was handed.
BOOST_AUTO_TEST_CASE(a_sample_without_a_response_is_run_again_with_the_rest_of_its_time) {
    instances.answers_at_deadline = false;
    checkRunAgain();
}

/// Guards against a request that reaches a draining instance: the rest of its time belongs to another relay, which does
/// not have to ask the retry budget.
BOOST_AUTO_TEST_CASE(a_sample_at_a_draining_instance_is_run_again_elsewhere) {
    instances.work = 1200ms;
    start(RetryPolicy::kAlways);
    time.advance(100ms);
    beat(2, true);
    time.advance(kTimeLimit);
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST((results[0].outcome == relay::RelayOutcome::kUnknown));
    BOOST_TEST(results[0].is_retry_paid);
    BOOST_TEST(instances.handed_times.begin()->second.size() == 1U);
}

/// Guards against a sample that is run again though it was completed.
BOOST_AUTO_TEST_CASE(a_sample_that_completes_in_time_runs_once) {
    instances.work = 60ms;
    start(RetryPolicy::kAlways);
    time.advance(kTimeLimit);
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST((leastHandedTime() <= kTimeLimit / 2));
    BOOST_TEST(instances.handed_times.begin()->second.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
