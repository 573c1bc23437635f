/// A run has all the time of its request at the instance, unless it is a sample of the call graph.

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
        for (int call = 0; call < 80; ++call) {
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
    static relay::RelayKnobs knobs() {
        relay::RelayKnobs result;
        result.samples_calls = true;
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

/// Guards against the same for a request that may run twice, unless the deployment asks for samples.
BOOST_AUTO_TEST_CASE(only_samples_are_handed_less_time) {
    instances.work = 60ms;
    int samples = 0;
    for (int run = 0; run < 200; ++run) {
        start(RetryPolicy::kAlways);
        time.advance(100ms);
    }
    for (const auto& [id, times] : instances.handed_times) {
        samples += times.front() < kTimeLimit - 1ms ? 1 : 0;
        BOOST_TEST((times.front() >= kTimeLimit - 1ms || times.front() <= kTimeLimit / 2));
    }
    BOOST_TEST(samples > 0);
    BOOST_TEST(samples < 20);
}

/// Guards against the loss of the instance's own answer at the deadline, which the relay used to end at the same time.
BOOST_AUTO_TEST_CASE(an_instance_that_is_out_of_time_says_so_itself) {
    instances.work = 2s;
    for (int run = 0; run < 20; ++run) {
        start(RetryPolicy::kIfNotRun);
        time.advance(kTimeLimit + 50ms);
    }
    BOOST_TEST(results.size() == 20U);
    for (const auto& result : results) {
        BOOST_TEST((result.outcome == relay::RelayOutcome::kResponded));
        BOOST_TEST(result.response.status == kHttpGatewayTimeout);
    }
}

/// Guards against a run that is awaited for ever if neither its instance nor its entry ends it.
BOOST_AUTO_TEST_CASE(a_run_without_a_response_ends_shortly_after_its_deadline) {
    instances.work = 5s;
    instances.answers_at_deadline = false;
    start(RetryPolicy::kIfNotRun);
    time.advance(kTimeLimit - 1ms);
    BOOST_TEST(results.empty());
    time.advance(200ms);
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST((results[0].outcome == relay::RelayOutcome::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()
