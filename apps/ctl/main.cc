/// @file
/// dewcrank: the operators' command line.

#include <cxxopts.hpp>
#include <iostream>

#include "apps/ctl/commands.h"
#include "apps/ctl/explain.h"
#include "src/adapters/socket_address.h"

namespace {

using dewcrank::ctl::Output;

/// `explain`, a request's id and a file.
constexpr std::size_t kLeastExplainWords = 3;

cxxopts::Options makeOptions() {
    cxxopts::Options options("dewcrank", "Edits the table and shows what is in force.");
    options.positional_help("COMMAND ...");
    auto add = options.add_options();
    add("store", "IP:PORT of the platform's object store", cxxopts::value<std::string>()->default_value(""));
    add("output", "text, json or csv", cxxopts::value<std::string>()->default_value("text"));
    add("wait", "seconds to wait until an edit is in force at every zone",
        cxxopts::value<double>()->default_value("0"));
    add("count", "how often `watch` shows the status; 0: until interrupted",
        cxxopts::value<std::uint32_t>()->default_value("0"));
    add("help", "print this help");
    add("words", "command and arguments", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    return options;
}

int run(const cxxopts::ParseResult& given) {
    dewcrank::ctl::Request request;
    const auto output = given["output"].as<std::string>();
    if (output != "text" && output != "json" && output != "csv") {
        std::cerr << "flags: --output: got '" << output << "', allowed: text, json, csv\n";
        return dewcrank::ctl::kExitBadInput;
    }
    request.output = output == "json" ? Output::kJson : (output == "csv" ? Output::kCsv : Output::kText);
    request.wait = dewcrank::Duration(static_cast<std::int64_t>(given["wait"].as<double>() * 1e6));
    request.count = given["count"].as<std::uint32_t>();
    if (given.count("words") > 0) {
        request.words = given["words"].as<std::vector<std::string>>();
    }
    if (!request.words.empty() && request.words[0] == "explain") {
        if (request.words.size() < kLeastExplainWords) {
            std::cerr << "explain: a request's id and one log file at least are expected\n";
            return dewcrank::ctl::kExitBadInput;
        }
        return dewcrank::ctl::explain(request.words[1], {request.words.begin() + 2, request.words.end()});
    }
    const auto store = given["store"].as<std::string>();
    const bool needs_store = request.words.empty() || request.words[0] != "drain";
    if (needs_store && !dewcrank::adapters::parseSocketAddress(store)) {
        std::cerr << "flags: --store: got '" << store << "', IP:PORT with an IP number is expected\n";
        return dewcrank::ctl::kExitBadInput;
    }
    dewcrank::ctl::PlatformAccess platform(store);
    return dewcrank::ctl::runCommand(platform, request);
}

}  // namespace

int main(int argc, char** argv) {
    auto options = makeOptions();
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0) {
            std::cout << options.help();
            return dewcrank::ctl::kExitOk;
        }
        return run(given);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "flags: " << error.what() << '\n';
        return dewcrank::ctl::kExitBadInput;
    }
}
