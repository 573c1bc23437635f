/// Each promise of the soak is seen broken by evidence that breaks it, and not by what excuses it.

#include "tests/soak/checks.h"

#include <boost/test/unit_test.hpp>
#include <functional>

#include "tests/support/fakes.h"

using namespace dewcrank;

namespace {

constexpr std::size_t kNode = 3;

struct Evidence {
    Evidence() {
        time.advance(100s);
        seen.node_of_instance["i3-1"] = kNode;
        seen.onTable(1, {{"/work/", "browse"}, {"/sign/", "desk"}});
        time.advance(10s);
    }
    soak::CallerRequest& request(const std::string& route, int status) {
        soak::CallerRequest request;
        request.id = "c1";
        request.route = route;
        request.is_repeatable = route == "/work/";
        request.entry = kNode;
        request.sent = time.clock.now();
        request.deadline = 2s;
        request.status = status;
        request.is_whole = status == 200;
        request.ended = status == 0 ? TimePoint{} : time.clock.now() + 50ms;
        return seen.addRequest(std::move(request));
    }
    void run(const std::string& service, Duration length = 20ms) {
        seen.onRunBegan(service, "i3-1", "c1");
        time.advance(length);
        seen.onRunEnded("i3-1", "c1");
    }
    void arrive(const std::string& service, const std::string& id) {
        HttpRequest request;
        request.headers.set(HeaderNames().request_id, id);
        seen.onArrival(service, "i3-1", request);
    }
    /// The promises that are broken.
    std::vector<std::string> broken() {
        std::vector<std::string> promises;
        for (const auto& breach : soak::findBreaches(seen, {{0.2, 4, 10s}}, time.clock.now())) {
            promises.push_back(breach.promise);
        }
        return promises;
    }

    tests::VirtualTime time;
    soak::Observations seen{time.clock, HeaderNames()};
};

/// Evidence, and the one promise that it breaks; empty: none.
struct Row {
    const char* name;
    const char* promise;
    std::function<void(Evidence&)> happen;
};

const Row kRows[] = {
    {"all is well", "",
     [](Evidence& it) {
         it.request("/work/", 200);
         it.run("browse");
     }},
    {"refused and run", "not-run is not run",
     [](Evidence& it) {
         it.request("/sign/", 503);
         it.run("desk");
     }},
    {"refused, and run as it may be", "",
     [](Evidence& it) {
         it.request("/work/", 503);
         it.run("browse");
     }},
    {"run twice", "runs at most once",
     [](Evidence& it) {
         it.request("/sign/", 200);
         it.run("desk");
         it.run("desk");
     }},
    {"another's answer", "own whole answer",
     [](Evidence& it) {
         it.request("/work/", 200).is_whole = false;
         it.run("browse");
     }},
    {"no answer", "every request is answered",
     [](Evidence& it) {
         it.request("/work/", 0);
         it.run("browse");
         it.time.advance(10s);
     }},
    {"no answer of an entry that was killed", "",
     [](Evidence& it) {
         it.request("/work/", 0);
         it.run("browse");
         it.seen.disturb(kNode, true);
         it.time.advance(10s);
     }},
    {"closed before it was read", "",
     [](Evidence& it) {
         auto& request = it.request("/work/", 0);
         request.ended = request.sent + 10ms;
         it.time.advance(10s);
     }},
    {"a service that no table allows", "only allowed services run",
     [](Evidence& it) {
         it.seen.disturb(kNode, false);
         it.request("/work/", 200);
         it.run("leaf");
     }},
    {"a service of a table that is gone for long", "tables are in force in time",
     [](Evidence& it) {
         it.seen.onTable(2, {{"/work/", "desk"}});
         it.time.advance(20s);
         it.request("/work/", 200);
         it.run("browse");
     }},
    {"the same at a node that was cut off", "",
     [](Evidence& it) {
         it.seen.onTable(2, {{"/work/", "desk"}});
         it.seen.disturb(kNode, false);
         it.time.advance(20s);
         it.request("/work/", 200);
         it.run("browse");
     }},
    {"the same while the store is away", "",
     [](Evidence& it) {
         it.seen.onTable(2, {{"/work/", "desk"}});
         it.seen.disturb(soak::kStoreNumber, false);
         it.time.advance(20s);
         it.request("/work/", 200);
         it.run("browse");
     }},
    {"a route that is there", "no route is denied", [](Evidence& it) { it.request("/work/", 404); }},
    {"a route that has come with the newest table", "",
     [](Evidence& it) {
         it.seen.onTable(2, {{"/work/", "browse"}, {"/extra/", "desk"}});
         it.time.advance(3s);
         it.request("/extra/", 404);
     }},
    {"a route that came long ago", "no route is denied",
     [](Evidence& it) {
         it.seen.onTable(2, {{"/work/", "browse"}, {"/extra/", "desk"}});
         it.time.advance(5s);
         it.request("/extra/", 404);
     }},
    {"a route that all tables of a quick series have", "no route is denied",
     [](Evidence& it) {
         it.seen.onTable(2, {{"/work/", "desk"}});
         it.time.advance(200ms);
         it.seen.onTable(3, {{"/work/", "browse"}});
         it.request("/work/", 404);
     }},
    {"a route that a table takes away while it is asked for", "",
     [](Evidence& it) {
         it.request("/work/", 404);
         it.time.advance(20ms);
         it.seen.onTable(2, {{"/sign/", "desk"}});
     }},
    {"work for a caller that has gone", "work ends with its caller",
     [](Evidence& it) {
         auto& request = it.request("/work/", 0);
         request.has_left = true;
         request.ended = request.sent + 20ms;
         it.run("browse", 3s);
     }},
    {"arrivals after a drain", "a draining instance gets nothing",
     [](Evidence& it) {
         it.seen.onDrainAcknowledged("i3-1");
         it.time.advance(3s);
         it.arrive("browse", "c1");
     }},
    {"arrivals that a cut link has held up", "",
     [](Evidence& it) {
         it.seen.onDrainAcknowledged("i3-1");
         it.seen.disturb(kNode, false);
         it.time.advance(3s);
         it.arrive("browse", "c1");
     }},
    {"too many repeats", "repeats stay within their bound",
     [](Evidence& it) {
         for (int count = 0; count < 7; ++count) {
             it.arrive("browse", "c1");
         }
     }},
    {"calls of repeated runs", "repeats stay within their bound",
     [](Evidence& it) {
         for (int count = 0; count < 60; ++count) {
             it.arrive("browse", "other" + std::to_string(count));  // Allow the repeats of this service itself.
         }
         for (int count = 0; count < 7; ++count) {
             const auto run = "c" + std::to_string(count);
             it.arrive("browse", run);
             it.arrive("browse", run);
             it.arrive("desk", run + "+i3-1");
         }
     }},
    {"few repeats", "",
     [](Evidence& it) {
         for (int count = 0; count < 5; ++count) {
             it.arrive("browse", "c1");
         }
     }},
    {"a request that goes on ending instances", "instances are kept from what ends them",
     [](Evidence& it) {
         it.request("/work/", 502).path = "/work/crash-1";
         for (int count = 0; count < 8; ++count) {
             it.run("browse");
             it.time.advance(2s);
         }
     }},
    {"one that is kept from them from the third on", "",
     [](Evidence& it) {
         it.request("/work/", 502).path = "/work/crash-1";
         for (int count = 0; count < 5; ++count) {
             it.run("browse");
             it.time.advance(1s);
         }
     }},
    {"more paths refused than instances have ended", "others are not refused for it",
     [](Evidence& it) {
         for (const char* path : {"/work/x", "/work/y"}) {
             auto& request = it.request("/work/", 503);
             request.path = path;
             request.is_quarantined = true;
         }
     }},
    {"a process that ended", "no process ends by itself",
     [](Evidence& it) { it.seen.onUnexpectedExit("browse-north ended with 134"); }},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_soak_checks)

BOOST_AUTO_TEST_CASE(evidence_breaks_the_promise_that_it_should_and_no_other) {
    for (const auto& row : kRows) {
        Evidence evidence;
        row.happen(evidence);
        const auto broken = evidence.broken();
        if (*row.promise == '\0') {
            BOOST_TEST(broken.empty(), row.name << ": " << (broken.empty() ? "" : broken.front()));
        } else {
            BOOST_TEST(broken == std::vector<std::string>{row.promise}, row.name);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
