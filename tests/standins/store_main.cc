/// @file
/// The stand-in of the platform's store as a process, for the tests of command lines.

#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

#include "platform/config_document.h"
#include "src/adapters/seeded_random.h"
#include "tests/standins/object_store.h"

using namespace dewcrank;

namespace {

int serve(const cxxopts::ParseResult& given) {
    adapters::EventLoop loop;
    adapters::SeededRandom random(1);
    standins::ObjectStore store(loop, random);
    store.faults().lost_responses = given["lost-answers"].as<double>();
    store.faults().error_status = given["refuses-with"].as<int>();
    if (given.count("config") > 0) {
        std::ifstream file(given["config"].as<std::string>());
        store.put(platform::kConfigKind, platform::kConfigName, nlohmann::json::parse(file));
    }
    const bool listens = runOrReport(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(address, store.listen({"127.0.0.1", 0}));
            std::cout << address.text() << std::endl;
            return {};
        },
        [](const StepError& error) { std::cerr << error.text() << '\n'; });
    if (!listens) {
        return EXIT_FAILURE;
    }
    loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
    cxxopts::Options options("dewcrank-standin-store", "A store on a free port of loopback, which it prints.");
    auto add = options.add_options();
    add("config", "file with the configuration that it holds", cxxopts::value<std::string>());
    add("lost-answers", "share of the writes whose answer is lost", cxxopts::value<double>()->default_value("0"));
    add("refuses-with", "status of every answer; 0: it serves", cxxopts::value<int>()->default_value("0"));
    return serve(options.parse(argc, argv));
}
