#include "src/quarantine/exchange.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "src/adapters/seeded_random.h"
#include "tests/support/fakes.h"

using namespace dewcrank;
using quarantine::QuarantineState;

namespace {

constexpr quarantine::Fingerprint kOne = 17;
constexpr quarantine::Fingerprint kTwo = 23;
constexpr std::size_t kRelays = 12;

wire::NodeRecord recordOf(const std::string& name) {
    wire::NodeRecord record;
    record.set_name(name);
    record.set_incarnation(1);
    record.set_address(name);
    record.mutable_instance()->set_id("i-" + name);
    record.mutable_instance()->set_service("leaf");
    return record;
}

/// Delivers requests to the exchange at an address. Requests to `unreachable` time out.
class Wire : public HttpTransport {
public:
    explicit Wire(Clock& clock) : clock_(clock) {}
    AttemptHandle send(const std::string& address, HttpRequest request, Duration timeout, Callback callback) override {
        ++sent;
        auto attempt = std::make_unique<Running>();
        const bool is_lost = address == unreachable || !exchanges.contains(address);
        attempt->timer = clock_.startTimer(is_lost ? timeout : 1ms, [=, this, callback = std::move(callback)] {
            AttemptResult result;
            result.outcome = is_lost ? AttemptOutcome::kUnknown : AttemptOutcome::kResponded;
            if (!is_lost) {
                result.response = exchanges.at(address)->handle(request);
            }
            callback(result);
        });
        return attempt;
    }
    std::map<std::string, quarantine::Exchange*> exchanges;
    std::string unreachable;
    int sent = 0;

private:
    struct Running : Attempt {
        TimerHandle timer;
    };
    Clock& clock_;
};

/// A relay with its dependencies.
struct Relay {
    Relay(tests::VirtualTime& time, Wire& wire, const std::string& relay_name)
        : name(relay_name),
          directory(time.clock, recordOf(name)),
          quarantine(time.clock, {}),
          exchange(time.clock, random, log, wire, directory, quarantine, "leaf", {}) {
        wire.exchanges[name] = &exchange;
        exchange.start();
    }
    std::string name;
    adapters::SeededRandom random{1};
    tests::RecordingLog log;
    fleet::NodeDirectory directory;
    quarantine::Quarantine quarantine;
    quarantine::Exchange exchange;
};

struct ExchangeFixture {
    ExchangeFixture() {
        for (std::size_t number = 0; number < kRelays; ++number) {
            relays.push_back(std::make_unique<Relay>(time, wire, "n" + std::to_string(number)));
        }
        for (auto& relay : relays) {
            introduce(*relay);
        }
        time.advance(10ms);
        wire.sent = 0;
    }
    void introduce(Relay& relay) const {
        for (std::size_t number = 0; number < kRelays; ++number) {
            const auto name = "n" + std::to_string(number);
            if (name != relay.name) {
                relay.directory.merge(recordOf(name));
            }
        }
    }
    /// The first relay reports a crash with kOne as the trial and kTwo as a suspect.
    void reportCrash() {
        relays[0]->quarantine.markQuarantined(kOne);
        relays[0]->quarantine.markSuspect(kTwo);
        relays[0]->exchange.broadcast({"i-n0", 2, {kTwo}, {kOne}});
    }

    tests::VirtualTime time;
    Wire wire{time.clock};
    std::vector<std::unique_ptr<Relay>> relays;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unit_quarantine_exchange, ExchangeFixture)

BOOST_AUTO_TEST_CASE(a_crash_is_broadcast_at_once_and_nothing_is_sent_without_records) {
    time.advance(10s);
    BOOST_TEST(wire.sent == 0);
    reportCrash();
    time.advance(2ms);
    for (auto& relay : relays) {
        BOOST_TEST((relay->quarantine.state(kOne) == QuarantineState::kQuarantined), relay->name);
        BOOST_TEST((relay->quarantine.state(kTwo) == QuarantineState::kSuspect), relay->name);
    }
}

BOOST_AUTO_TEST_CASE(a_relay_that_was_unreachable_gets_records_by_gossip) {
    wire.unreachable = "n5";
    reportCrash();
    time.advance(5s);
    BOOST_TEST((relays[5]->quarantine.state(kOne) == QuarantineState::kClear));
    wire.unreachable = "";
    time.advance(3s);
    BOOST_TEST((relays[5]->quarantine.state(kOne) == QuarantineState::kQuarantined));
}

BOOST_AUTO_TEST_CASE(a_restarted_relay_requests_suspects_as_well) {
    reportCrash();
    time.advance(2ms);
    relays[5] = std::make_unique<Relay>(time, wire, "n5");
    introduce(*relays[5]);
    time.advance(5ms);
    BOOST_TEST((relays[5]->quarantine.state(kOne) == QuarantineState::kQuarantined));
    BOOST_TEST((relays[5]->quarantine.state(kTwo) == QuarantineState::kSuspect));
}

/// Guards against a request that stays suspect or quarantined although another relay has seen the request complete.
BOOST_AUTO_TEST_CASE(a_completion_at_one_relay_clears_the_request_at_all) {
    relays[3]->quarantine.onCompleted(kOne);
    relays[3]->quarantine.onCompleted(kTwo);
    reportCrash();
    time.advance(4s);
    for (auto& relay : relays) {
        BOOST_TEST((relay->quarantine.state(kOne) == QuarantineState::kClear), relay->name);
    }
    BOOST_TEST((relays[0]->quarantine.state(kTwo) == QuarantineState::kClear));
    BOOST_TEST((relays[3]->quarantine.state(kTwo) == QuarantineState::kClear));
}

BOOST_AUTO_TEST_CASE(a_malformed_message_is_rejected_and_logged) {
    HttpRequest request;
    request.body = "\xff\xff\xff";
    BOOST_TEST(relays[0]->exchange.handle(request).status == 400);
    BOOST_REQUIRE(relays[0]->log.lines.size() == 1U);
    BOOST_TEST(relays[0]->log.lines[0].find("event=quarantine_refused") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
