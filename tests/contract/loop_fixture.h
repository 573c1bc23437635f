/// @file
/// Test fixture with a real event loop and a time limit, for tests on the loopback interface.
#pragma once

#include <boost/test/unit_test.hpp>
#include <functional>

#include "src/adapters/event_loop.h"

namespace dewcrank::tests {

/// Time after which a wait fails the test.
inline constexpr Duration kWaitLimit = 20s;

/// Owns an event loop, and runs the loop until a condition holds.
class LoopFixture {
public:
    /// Runs the loop until `done` returns true; fails the test after kWaitLimit.
    void runUntil(const std::function<bool()>& done) {
        const auto started = loop.now();
        while (!done()) {
            BOOST_REQUIRE_MESSAGE(loop.now() - started < kWaitLimit, "not done in time");
            const auto timer = loop.startTimer(2ms, [this] { loop.stop(); });
            loop.run();
        }
    }
    void runFor(Duration duration) {
        const auto end = loop.now() + duration;
        runUntil([&] { return loop.now() >= end; });
    }

    adapters::EventLoop loop;
};

}  // namespace dewcrank::tests
