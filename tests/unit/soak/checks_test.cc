/// Guards against soak checks that miss a violation, or that report one where a fault excuses the behaviour.

#include "tests/soak/checks.h"

#include <xxhash.h>

#include <boost/test/unit_test.hpp>
#include <functional>

#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

constexpr std::size_t kNode = 3;
constexpr std::size_t kOtherNode = 4;
const std::uint64_t kEmptyBodyHash = XXH3_64bits("", 0);

struct SoakHistory {
    SoakHistory() {
        time.advance(100s);
        observations.node_by_instance["i3-1"] = kNode;
        observations.onTable(1, {{"/work/", "browse"}, {"/sign/", "desk"}}, {}, {{"/sign/", 1500ms}});
        time.advance(10s);
    }
    soak::CallerRequest& request(const std::string& route, int status) {
        soak::CallerRequest request;
        request.id = "c1";
        request.route = route;
        request.is_idempotent = route == "/work/";
        request.entry = kNode;
        request.sent = time.clock.now();
        request.deadline = 2s;
        request.status = status;
        request.is_complete = status == 200;
        request.body_hash = kEmptyBodyHash;
        request.ended = status == 0 ? TimePoint{} : time.clock.now() + 50ms;
        last_status = status;
        return observations.addRequest(std::move(request));
    }
    /// Runs the last request. The instance's response is the one that the caller has read, if that is a success.
    void run(const std::string& service, Duration length = 20ms) {
        observations.onRunStarted(service, "i3-1", "c1");
        time.advance(length);
        if (last_status == 200) {
            answer(200);
        }
        observations.onRunEnded("i3-1", "c1");
    }
    /// Runs the last request, which crashes the instance.
    void crash(const std::string& service) {
        observations.onRunStarted(service, "i3-1", "c1");
        time.advance(20ms);
        observations.onRunCrashed("i3-1", "c1");
        observations.onRunEnded("i3-1", "c1");
    }
    /// The instance answers the last request with an empty body.
    void answer(int status, bool is_intact = true) {
        HttpResponse response;
        response.status = status;
        observations.onRunAnswered("i3-1", "c1", response, is_intact);
    }
    /// A request that is run for 300 ms and answered, and whose caller sees `status` after 310 ms.
    soak::CallerRequest& answeredRequest(int status, int answered, const std::string& route = "/sign/") {
        auto& sent = request(route, status);
        sent.ended = sent.sent + 310ms;
        sent.body_hash = kEmptyBodyHash;
        observations.onRunStarted(route == "/sign/" ? "desk" : "browse", "i3-1", "c1");
        time.advance(300ms);
        answer(answered);
        observations.onRunEnded("i3-1", "c1");
        time.advance(10ms);
        return sent;
    }
    /// A stop as planned of a node, or a fault.
    void disturb(std::size_t node, bool is_planned) {
        observations.beginRestart(node);
        observations.endDisturbance(node, observations.beginDisturbance(node, false, is_planned));
    }
    /// The call that the run of a request makes.
    HttpRequest callOf(const std::string& id) {
        HttpRequest call;
        call.method = "POST";
        call.path = "/inner/";
        call.headers.set(HeaderNames().request_id, standins::Instance::callId(id, "i3-1"));
        call.headers.set(HeaderNames().deadline_ms, "1000");
        return call;
    }
    void arrive(const std::string& service, const std::string& id) {
        HttpRequest request;
        request.headers.set(HeaderNames().request_id, id);
        observations.onArrival(service, "i3-1", request);
    }
    /// The instance names signals in a response, which the node passes on.
    void passSignals(const sim::InstanceSignals& signals) {
        const HeaderNames names;
        HttpResponse response;
        response.headers.set(names.server_stamp, std::string(standins::kStampPrefix) + "i3-1");
        sim::writeSignals(signals, names, &response.headers);
        observations.onResponse("i3-1", signals);
        observations.onPassedResponse(kNode, response);
    }
    /// Sends requests of their own, 100 ms apart, that arrive at the instance.
    void sendThere(int count) {
        for (int number = 0; number < count; ++number) {
            auto& sent = request("/work/", 200);
            sent.id = "c" + std::to_string(++last_number);
            arrive("browse", sent.id);
            time.advance(100ms);
        }
    }
    /// @return names of the violated invariants.
    std::vector<std::string> violated() {
        std::vector<std::string> invariants;
        for (const auto& violation : soak::findViolations(observations, {{0.2, 4, 10s}}, time.clock.now())) {
            invariants.push_back(violation.invariant);
        }
        return invariants;
    }

    int last_number = 1;
    int last_status = 0;
    tests::VirtualTime time;
    soak::Observations observations{time.clock, HeaderNames()};
};

constexpr const char* kDelivered = "callers read what instances answer";

/// A history, and the one invariant that it violates; empty: none.
struct Case {
    const char* name;
    const char* invariant;
    std::function<void(SoakHistory&)> record;
};

const Case kCases[] = {
    {"successful request", "",
     [](SoakHistory& it) {
         it.request("/work/", 200);
         it.run("browse");
     }},
    {"rejected, but run", "requests reported as not executed have not run",
     [](SoakHistory& it) {
         it.request("/sign/", 503);
         it.run("desk");
     }},
    {"rejected idempotent request whose run lost its response", "",
     [](SoakHistory& it) {
         it.request("/work/", 503);
         it.run("browse");
         it.answer(0, false);
     }},
    {"rejected idempotent request that an instance has answered", kDelivered,
     [](SoakHistory& it) {
         it.request("/work/", 503);
         it.run("browse");
         it.answer(200);
     }},
    {"a response as the instance sent it", "", [](SoakHistory& it) { it.answeredRequest(500, 500); }},
    {"a response of the node after the instance has answered", kDelivered,
     [](SoakHistory& it) { it.answeredRequest(502, 200); }},
    {"a closed connection after the instance has answered", kDelivered,
     [](SoakHistory& it) { it.answeredRequest(0, 200); }},
    {"a response with another status", kDelivered, [](SoakHistory& it) { it.answeredRequest(500, 404); }},
    {"a response with another stamp", kDelivered,
     [](SoakHistory& it) { it.answeredRequest(200, 200).stamp = "other"; }},
    {"a response with another body of the same size", kDelivered,
     [](SoakHistory& it) { it.answeredRequest(200, 200).body_hash ^= 1; }},
    {"a response with another size", kDelivered, [](SoakHistory& it) { it.answeredRequest(200, 200).body_bytes = 1; }},
    {"a response of the node while the instance is at work", kDelivered,
     [](SoakHistory& it) {
         auto& sent = it.request("/sign/", 504);
         it.observations.onRunStarted("desk", "i3-1", "c1");
         it.time.advance(500ms);
         sent.ended = it.time.clock.now();
         it.observations.onRunEnded("i3-1", "c1");
     }},
    {"a response of the node in the margin of the route's timeout", "",
     [](SoakHistory& it) { it.answeredRequest(504, 200).ended += 1140ms; }},
    {"a response of the node just before the margin of the route's timeout", kDelivered,
     [](SoakHistory& it) { it.answeredRequest(504, 200).ended += 1120ms; }},
    {"a response of the node after the caller's deadline", "",
     [](SoakHistory& it) { it.answeredRequest(504, 200).deadline = 360ms; }},
    {"a response of the node after a table with a shorter timeout", "",
     [](SoakHistory& it) {
         it.observations.onTable(2, {{"/work/", "browse"}, {"/sign/", "desk"}}, {}, {{"/sign/", 300ms}});
         it.answeredRequest(504, 200);
     }},
    {"a response lost beside a fault of the relay", "",
     [](SoakHistory& it) {
         it.disturb(kNode, false);
         it.time.advance(2900ms);
         it.answeredRequest(502, 200).entry = kOtherNode;
     }},
    {"a response lost beside a fault of the entry", "",
     [](SoakHistory& it) {
         it.disturb(kOtherNode, false);
         it.time.advance(2900ms);
         it.answeredRequest(502, 200).entry = kOtherNode;
     }},
    {"a response lost long after a fault of the relay", kDelivered,
     [](SoakHistory& it) {
         it.disturb(kNode, false);
         it.time.advance(3100ms);
         it.answeredRequest(502, 200).entry = kOtherNode;
     }},
    {"a response lost beside a fault of another node", kDelivered,
     [](SoakHistory& it) {
         it.disturb(kOtherNode, false);
         it.answeredRequest(502, 200);
     }},
    {"a response lost beside planned stops of entry and relay", kDelivered,
     [](SoakHistory& it) {
         it.disturb(kNode, true);
         it.disturb(kOtherNode, true);
         it.time.advance(1s);
         it.answeredRequest(502, 200).entry = kOtherNode;
     }},
    {"a response lost at the end of the grace period, sent soon after the signal", "",
     [](SoakHistory& it) {
         it.disturb(kNode, true);
         it.time.advance(2900ms);
         auto& sent = it.answeredRequest(0, 200, "/work/");
         sent.deadline = 4s;
         sent.ended = sent.sent + 2200ms;
     }},
    {"a response lost at the end of the grace period, sent late", kDelivered,
     [](SoakHistory& it) {
         it.disturb(kNode, true);
         it.time.advance(3100ms);
         auto& sent = it.answeredRequest(0, 200, "/work/");
         sent.deadline = 4s;
         sent.ended = sent.sent + 2200ms;
     }},
    {"a response of the node after its instance has crashed", "",
     [](SoakHistory& it) {
         it.request("/sign/", 502);
         it.crash("desk");
     }},
    {"an instance that ends its work at an earlier deadline", "instances may work until their caller's deadline",
     [](SoakHistory& it) { it.answeredRequest(504, 504); }},
    {"an instance that ends its work at its caller's deadline", "",
     [](SoakHistory& it) { it.answeredRequest(504, 504).deadline = 310ms; }},
    {"a call of an instance without the response of its instance", kDelivered,
     [](SoakHistory& it) {
         it.observations.onCallSent("i3-1", "c9", it.callOf("c9"));
         it.observations.onRunStarted("leaf", "i3-1", "c9+i3-1");
         it.time.advance(100ms);
         it.observations.onRunAnswered("i3-1", "c9+i3-1", {}, true);
         it.observations.onRunEnded("i3-1", "c9+i3-1");
         it.observations.onCallEnded("i3-1", "c9", {AttemptOutcome::kUnknown});
     }},
    {"a call of an instance that was rejected, but run", "requests reported as not executed have not run",
     [](SoakHistory& it) {
         it.observations.onCallSent("i3-1", "c9", it.callOf("c9"));
         it.observations.onRunStarted("leaf", "i3-1", "c9+i3-1");
         it.observations.onRunEnded("i3-1", "c9+i3-1");
         AttemptResult result{AttemptOutcome::kResponded};
         result.response.status = 503;
         it.observations.onCallEnded("i3-1", "c9", result);
     }},
    {"a non-idempotent call of an instance that runs twice", "non-idempotent requests run at most once",
     [](SoakHistory& it) {
         it.observations.onCallSent("i3-1", "c9", it.callOf("c9"));
         for (int count = 0; count < 2; ++count) {
             it.observations.onRunStarted("leaf", "i3-1", "c9+i3-1");
             it.observations.onRunEnded("i3-1", "c9+i3-1");
         }
     }},
    {"a call of an instance that was abandoned", "",
     [](SoakHistory& it) {
         it.observations.onCallSent("i3-1", "c9", it.callOf("c9"));
         it.observations.onRunStarted("leaf", "i3-1", "c9+i3-1");
         it.observations.onRunEnded("i3-1", "c9");
         it.observations.onRunEnded("i3-1", "c9+i3-1");
     }},
    {"non-idempotent request run twice", "non-idempotent requests run at most once",
     [](SoakHistory& it) {
         it.request("/sign/", 200);
         it.run("desk");
         it.run("desk");
     }},
    {"incomplete response", "successful responses are complete and match their request",
     [](SoakHistory& it) {
         it.request("/work/", 200).is_complete = false;
         it.run("browse");
     }},
    {"no response", "every request gets a response",
     [](SoakHistory& it) {
         it.request("/work/", 0);
         it.run("browse");
         it.time.advance(10s);
     }},
    {"no response from a killed entry", "",
     [](SoakHistory& it) {
         it.request("/work/", 0);
         it.run("browse");
         it.observations.beginDisturbance(kNode, true);
         it.time.advance(10s);
     }},
    {"connection closed before the request was read", "",
     [](SoakHistory& it) {
         auto& request = it.request("/work/", 0);
         request.ended = request.sent + 10ms;
         it.time.advance(10s);
     }},
    {"run at a service that no table allows", "requests run only at services that a table allows",
     [](SoakHistory& it) {
         it.observations.beginDisturbance(kNode, false);
         it.request("/work/", 200);
         it.run("leaf");
     }},
    {"run by a superseded table", "routing tables take effect in time",
     [](SoakHistory& it) {
         it.observations.onTable(2, {{"/work/", "desk"}});
         it.time.advance(20s);
         it.request("/work/", 200);
         it.run("browse");
     }},
    {"run by a superseded table at a partitioned node", "",
     [](SoakHistory& it) {
         it.observations.onTable(2, {{"/work/", "desk"}});
         it.observations.beginDisturbance(kNode, false);
         it.time.advance(20s);
         it.request("/work/", 200);
         it.run("browse");
     }},
    {"run by a superseded table while the store is unavailable", "",
     [](SoakHistory& it) {
         it.observations.onTable(2, {{"/work/", "desk"}});
         it.observations.beginDisturbance(soak::kStoreIndex, false);
         it.time.advance(20s);
         it.request("/work/", 200);
         it.run("browse");
     }},
    {"404 for an existing route", "no route is denied", [](SoakHistory& it) { it.request("/work/", 404); }},
    {"404 for a route of a table that may not be in force yet", "",
     [](SoakHistory& it) {
         it.observations.onTable(2, {{"/work/", "browse"}, {"/extra/", "desk"}});
         it.time.advance(2s);
         it.request("/extra/", 404);
     }},
    {"404 for a route of a table that must be in force", "no route is denied",
     [](SoakHistory& it) {
         it.observations.onTable(2, {{"/work/", "browse"}, {"/extra/", "desk"}});
         it.time.advance(3s);
         it.request("/extra/", 404);
     }},
    {"404 for a route that all recent tables contain", "no route is denied",
     [](SoakHistory& it) {
         it.observations.onTable(2, {{"/work/", "desk"}});
         it.time.advance(200ms);
         it.observations.onTable(3, {{"/work/", "browse"}});
         it.request("/work/", 404);
     }},
    {"404 for a route that is removed during the request", "",
     [](SoakHistory& it) {
         it.request("/work/", 404);
         it.time.advance(20ms);
         it.observations.onTable(2, {{"/sign/", "desk"}});
     }},
    {"run continues after its caller disconnected", "runs end when their caller disconnects",
     [](SoakHistory& it) {
         auto& request = it.request("/work/", 0);
         request.has_disconnected = true;
         request.ended = request.sent + 20ms;
         it.run("browse", 3s);
     }},
    {"arrival after a drain", "drained instances receive no requests",
     [](SoakHistory& it) {
         it.observations.onDrainAcknowledged("i3-1");
         it.time.advance(3s);
         it.arrive("browse", "c1");
     }},
    {"arrival after a drain that a partitioned link delayed", "",
     [](SoakHistory& it) {
         it.observations.onDrainAcknowledged("i3-1");
         it.observations.beginDisturbance(kNode, false);
         it.time.advance(3s);
         it.arrive("browse", "c1");
     }},
    {"too many retries", "repeats stay within their bound",
     [](SoakHistory& it) {
         for (int count = 0; count < 7; ++count) {
             it.arrive("browse", "c1");
         }
     }},
    {"too many internal calls of retried runs", "repeats stay within their bound",
     [](SoakHistory& it) {
         for (int count = 0; count < 60; ++count) {
             it.arrive("browse", "other" + std::to_string(count));  // Raises the retry limit of this service.
         }
         for (int count = 0; count < 7; ++count) {
             const auto run = "c" + std::to_string(count);
             it.arrive("browse", run);
             it.arrive("browse", run);
             it.arrive("desk", run + "+i3-1");
         }
     }},
    {"retries within the limit", "",
     [](SoakHistory& it) {
         for (int count = 0; count < 5; ++count) {
             it.arrive("browse", "c1");
         }
     }},
    {"request that keeps crashing instances", "crashing requests are quarantined",
     [](SoakHistory& it) {
         it.request("/work/", 502).path = "/work/crash-1";
         for (int count = 0; count < 8; ++count) {
             it.crash("browse");
             it.time.advance(2s);
         }
     }},
    {"request quarantined after its third crash", "",
     [](SoakHistory& it) {
         it.request("/work/", 502).path = "/work/crash-1";
         for (int count = 0; count < 5; ++count) {
             it.crash("browse");
             it.time.advance(1s);
         }
     }},
    {"more paths quarantined than instances have crashed", "other requests are not quarantined",
     [](SoakHistory& it) {
         for (const char* path : {"/work/x", "/work/y"}) {
             auto& request = it.request("/work/", 503);
             request.path = path;
             request.is_quarantined = true;
         }
     }},
    {"as many requests as a rate limit allows", "",
     [](SoakHistory& it) {
         it.passSignals({1, false});  // Allows 1.5 * 4 + 5 in 4 s.
         it.time.advance(3s);
         it.sendThere(11);
     }},
    {"one more request than a rate limit allows", sim::kRateLimitInvariant,
     [](SoakHistory& it) {
         it.passSignals({1, false});
         it.time.advance(3s);
         it.sendThere(12);
     }},
    {"requests beyond a rate limit after the node has restarted", "",
     [](SoakHistory& it) {
         it.passSignals({1, false});
         it.time.advance(3s);
         it.observations.beginRestart(kNode);
         it.sendThere(12);
         it.observations.endRestart(kNode);
         it.sendThere(12);
     }},
    {"requests after a rate limit has ended", "",
     [](SoakHistory& it) {
         it.passSignals({1, false});
         it.time.advance(3s);
         it.passSignals({});
         it.sendThere(30);
     }},
    {"a request soon after a response that says the instance is leaving", "",
     [](SoakHistory& it) {
         it.passSignals({std::nullopt, true});
         it.time.advance(1900ms);
         it.sendThere(1);
     }},
    {"a request to an instance that has said it is leaving", sim::kLeavingInvariant,
     [](SoakHistory& it) {
         it.passSignals({std::nullopt, true});
         it.time.advance(2100ms);
         it.sendThere(1);
     }},
    {"a request to a leaving instance after the node was suspended", "",
     [](SoakHistory& it) {
         it.passSignals({std::nullopt, true});
         it.observations.beginRestart(kNode);
         it.time.advance(2100ms);
         it.observations.endRestart(kNode);
         it.time.advance(100ms);
         it.sendThere(1);
     }},
    {"unexpected exit of a process", "no node process exits unexpectedly",
     [](SoakHistory& it) { it.observations.onUnexpectedExit("browse-north exited with code 134"); }},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_soak_checks)

BOOST_AUTO_TEST_CASE(each_history_violates_only_the_expected_invariant) {
    for (const auto& test_case : kCases) {
        SoakHistory history;
        test_case.record(history);
        const auto violated = history.violated();
        if (*test_case.invariant == '\0') {
            BOOST_TEST(violated.empty(), test_case.name << ": " << (violated.empty() ? "" : violated.front()));
        } else {
            BOOST_TEST(violated == std::vector<std::string>{test_case.invariant}, test_case.name);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
