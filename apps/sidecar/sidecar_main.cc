#include "apps/sidecar/sidecar_main.h"

#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

namespace dewcrank {

namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotListen = 3;

/// @return the ports of the flag; nothing if it is empty. @throws cxxopts::exceptions::exception if it is invalid.
std::optional<adapters::PortRange> freshPorts(const std::string& text) {
    const auto ports = adapters::parsePortRange(text);
    if (!ports && !text.empty()) {
        throw cxxopts::exceptions::parsing("fresh-ports: '" + text + "' is not FIRST,LAST with ports from 1 to 65535");
    }
    return ports;
}

int run(const std::string& file, bool only_checks, std::optional<adapters::PortRange> fresh_ports,
        const PlatformFactory& platform) {
    adapters::SidecarSettings settings;
    const auto report = [](const StepError& error) { std::cerr << error.text() << '\n'; };
    const bool is_valid = runOrReport(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(settings, adapters::readSidecarSettings(file));
            return {};
        },
        report);
    if (!is_valid) {
        return kExitBadSettings;
    }
    if (only_checks) {
        std::cout << adapters::describeSidecarSettings(settings);
        return EXIT_SUCCESS;
    }
    SidecarDaemon daemon(settings, file, platform, fresh_ports);
    if (!runOrReport([&] { return daemon.listen(); }, report)) {
        return kExitCannotListen;
    }
    daemon.run();
    return EXIT_SUCCESS;
}

}  // namespace

int runSidecar(int argc, char** argv, const PlatformFactory& platform) {
    SidecarDaemon::ignoreReload();
    cxxopts::Options options("dewcrank-sidecar", "Sidecar node for one application instance.");
    auto add = options.add_options();
    add("settings", "TOML file with the settings", cxxopts::value<std::string>());
    add("fresh-ports",
        "FIRST,LAST: free ports beside listen.heartbeats, of which one is named to an instance whose heartbeats the "
        "process cannot confirm otherwise; empty: none",
        cxxopts::value<std::string>()->default_value(""));
    add("check-settings", "check the settings, print them and exit");
    add("help", "print this help");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0 || arguments.count("settings") == 0) {
            std::cout << options.help();
            return arguments.count("help") > 0 ? EXIT_SUCCESS : kExitBadSettings;
        }
        return run(arguments["settings"].as<std::string>(), arguments.count("check-settings") > 0,
                   freshPorts(arguments["fresh-ports"].as<std::string>()), platform);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "flags: " << error.what() << '\n';
        return kExitBadSettings;
    }
}

}  // namespace dewcrank
