/// @file
/// dewcrank-standin-store: the stand-in for the platform's store as a process, for command line tests.

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
    const bool is_listening = runOrReport(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(address, store.listen({"127.0.0.1", 0}));
            std::cout << address.text() << std::endl;
            return {};
        },
        [](const StepError& error) { std::cerr << error.text() << '\n'; });
    if (!is_listening) {
        return EXIT_FAILURE;
    }
    loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
    cxxopts::Options options("dewcrank-standin-store",
                             "Runs a stand-in store on a free loopback port and prints its address.");
    auto add = options.add_options();
    add("config", "JSON file with the initial configuration", cxxopts::value<std::string>());
    add("lost-answers", "fraction of writes whose response is lost, from 0 to 1",
        cxxopts::value<double>()->default_value("0"));
    add("refuses-with", "HTTP status of every response; 0 serves normally", cxxopts::value<int>()->default_value("0"));
    return serve(options.parse(argc, argv));
}
