#include "src/adapters/process_log.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <string>

using namespace dewcrank;

BOOST_AUTO_TEST_SUITE(contract_process_log)

BOOST_AUTO_TEST_CASE(a_full_pipe_does_not_block_and_dropped_lines_are_reported_later) {
    std::fflush(stdout);
    const int kept = dup(STDOUT_FILENO);
    int ends[2];
    BOOST_REQUIRE(pipe(ends) == 0);
    dup2(ends[1], STDOUT_FILENO);
    const auto dropped_before = adapters::ProcessLog::droppedLines();
    adapters::ProcessLog log("");
    constexpr int kLines = 20'000;  // More than a pipe holds: a blocking write would hang here.
    for (int number = 0; number < kLines; ++number) {
        log.write(Event("filler").with("number", number).with("text", std::string(40, 'x')));
    }
    const auto dropped = adapters::ProcessLog::droppedLines() - dropped_before;
    std::string text(1 << 20, '\0');
    const auto first = read(ends[0], text.data(), text.size());
    log.write(Event("after"));
    const auto second = read(ends[0], text.data(), text.size());
    dup2(kept, STDOUT_FILENO);
    close(kept);
    close(ends[0]);
    close(ends[1]);
    BOOST_TEST(dropped > 0U);
    BOOST_TEST(first > 0);
    BOOST_REQUIRE(second > 0);
    const auto after = text.substr(0, static_cast<std::size_t>(second));
    BOOST_TEST(after.find("event=log_lines_dropped count=" + std::to_string(dropped)) != std::string::npos, after);
    BOOST_TEST(after.find("event=after") != std::string::npos, after);
}

BOOST_AUTO_TEST_SUITE_END()
