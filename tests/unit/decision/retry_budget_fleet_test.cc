/// @file
/// Guards against relays of a service that together admit more retries in a window than its limit allows, while relays
/// restart and load moves between them. A retry is requested after every request.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <numeric>
#include <vector>

#include "src/adapters/seeded_random.h"
#include "src/decision/retry_budget.h"

using namespace dewcrank;

namespace {

constexpr decision::RetryLimit kLimit{0.2, 20, 10s};
constexpr TimePoint kStart(100s);
constexpr Duration kDuration = 60s;
constexpr Duration kStep = 10ms;  ///< One request is sent per step.
constexpr std::uint64_t kSeeds = 20;

/// Changes during a run, as mean times between two changes; zero: never.
struct Disturbance {
    const char* name;
    std::size_t relays;
    Duration restarts;     ///< Restarts of a random relay, which is down for up to three seconds.
    Duration load_moves;   ///< Assignments of new random weights to all relays.
    double inherited = 0;  ///< Share of the requests that are calls of retried requests.
};

const Disturbance kCases[] = {
    {"nothing", 4, 0s, 0s},
    {"restarts", 4, 1300ms, 0s},
    {"frequent restarts", 4, 300ms, 0s},
    {"restarts among many", 12, 200ms, 0s},
    {"restarts of the only relay", 1, 4s, 0s},
    {"load moves", 4, 0s, 2s},
    {"load moves constantly", 4, 0s, 300ms},
    {"both", 4, 1300ms, 2s},
    {"both, with calls of retried requests", 4, 1300ms, 2s, 0.08},
};

struct Relay {
    std::unique_ptr<decision::RetryBudget> budget;  ///< Null while the relay is down.
    TimePoint restarts_at{};
    double weight = 1;
};

class Service {
public:
    Service(const Disturbance& disturbance, std::uint64_t seed)
        : disturbance_(disturbance), random_(seed), relays_(disturbance.relays) {
        for (auto& relay : relays_) {
            relay.budget = std::make_unique<decision::RetryBudget>(kLimit, kStart);
        }
    }

    void run() {
        for (now_ = kStart; now_ < kStart + kDuration; now_ += kStep) {
            disturb();
            requests_.push_back(now_);  // A request counts as sent even while no relay is up.
            if (auto* relay = chooseRelay()) {
                request(*relay);
            }
        }
    }

    /// @return the greatest excess of retries in any window over the limit for the requests of that window.
    [[nodiscard]] double worstExcess() const {
        double worst = -kLimit.slack;
        for (const auto begin : retries_) {
            const double limit = kLimit.ratio * countFrom(requests_, begin) + kLimit.slack;
            worst = std::max(worst, countFrom(retries_, begin) - limit);
        }
        return worst;
    }
    /// @return retries per request that a relay received.
    [[nodiscard]] double retryShare() const {
        return static_cast<double>(retries_.size()) / static_cast<double>(received_);
    }

private:
    static double countFrom(const std::vector<TimePoint>& times, TimePoint begin) {
        const auto from = std::lower_bound(times.begin(), times.end(), begin);
        return static_cast<double>(std::lower_bound(from, times.end(), begin + kLimit.window) - from);
    }
    bool happens(Duration mean) {
        return mean > Duration::zero() && random_.unit() < toSeconds(kStep) / toSeconds(mean);
    }
    std::size_t relaysUp() const {
        return static_cast<std::size_t>(
            std::count_if(relays_.begin(), relays_.end(), [](const Relay& relay) { return relay.budget != nullptr; }));
    }
    void disturb() {
        for (auto& relay : relays_) {
            if (relay.budget == nullptr && relay.restarts_at <= now_) {
                relay.budget = std::make_unique<decision::RetryBudget>(kLimit, now_);
            }
        }
        if (happens(disturbance_.restarts)) {
            auto& relay = relays_[random_.below(relays_.size())];
            relay.budget = nullptr;
            relay.restarts_at = now_ + std::chrono::milliseconds(random_.below(3000));
        }
        if (happens(disturbance_.load_moves)) {
            for (auto& relay : relays_) {
                relay.weight = random_.unit() < 0.5 ? 0.02 : 1;
            }
        }
    }
    Relay* chooseRelay() {
        double total = 0;
        for (const auto& relay : relays_) {
            total += relay.budget == nullptr ? 0 : relay.weight;
        }
        double remaining = random_.unit() * total;
        for (auto& relay : relays_) {
            remaining -= relay.budget == nullptr ? 0 : relay.weight;
            if (relay.budget != nullptr && remaining <= 0) {
                return &relay;
            }
        }
        return nullptr;
    }
    void request(Relay& relay) {
        const bool is_inherited = random_.unit() < disturbance_.inherited;
        ++received_;
        relay.budget->onFirstAttempt(now_, is_inherited ? 1 : 0);
        if (is_inherited || relay.budget->tryRetry(now_, relaysUp(), 1)) {
            retries_.push_back(now_);
        }
    }

    Disturbance disturbance_;
    adapters::SeededRandom random_;
    TimePoint now_{};
    std::vector<Relay> relays_;
    std::vector<TimePoint> requests_;
    std::vector<TimePoint> retries_;
    std::size_t received_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(unit_decision_retry_budget_fleet)

BOOST_AUTO_TEST_CASE(the_parts_never_exceed_the_whole) {
    for (const auto& entry : kCases) {
        double worst = -kLimit.slack;
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            Service service(entry, seed);
            service.run();
            worst = std::max(worst, service.worstExcess());
        }
        BOOST_TEST(worst <= 0, entry.name << ": " << worst << " retries beyond the limit");
    }
}

/// Guards against a budget that stays within its limit only because it denies too much.
BOOST_AUTO_TEST_CASE(most_of_the_limit_can_be_used) {
    for (const auto& entry : kCases) {
        Service service(entry, 1);
        service.run();
        BOOST_TEST(service.retryShare() > 0.7 * kLimit.ratio, entry.name << ": " << service.retryShare());
    }
}

BOOST_AUTO_TEST_SUITE_END()
