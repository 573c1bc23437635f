#include "apps/ctl/run.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <iostream>

#include "apps/ctl/commands.h"
#include "apps/ctl/crash_report.h"
#include "apps/ctl/explain.h"
#include "apps/ctl/retry_report.h"
#include "src/adapters/socket_address.h"

namespace dewcrank::ctl {

namespace {

/// `explain`, a request's id and a file.
constexpr std::size_t kLeastExplainWords = 3;

cxxopts::Options makeOptions() {
    cxxopts::Options options("dewcrank", "Edits the table, shows what is in force, explains requests and crashes.");
    options.positional_help("COMMAND ...");
    auto add = options.add_options();
    add("store", "IP:PORT of the platform's store", cxxopts::value<std::string>()->default_value(""));
    add("node", "IP:PORT of the metrics of a node, to ask what is in force; once for each node",
        cxxopts::value<std::vector<std::string>>());
    add("output", "text, json or csv", cxxopts::value<std::string>()->default_value("text"));
    add("wait", "seconds to wait until an edit is in force at all nodes given",
        cxxopts::value<double>()->default_value("0"));
    add("help", "print this help");
    add("words", "command and arguments", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    return options;
}

/// @return false, with the fault printed, if a flag holds no address.
bool isAddress(const char* flag, const std::string& text) {
    if (adapters::parseSocketAddress(text)) {
        return true;
    }
    std::cerr << "flags: " << flag << ": got '" << text << "', IP:PORT with an IP number is expected\n";
    return false;
}

int runWithStore(const cxxopts::ParseResult& given, Request request, const TableStoreFactory& factory) {
    const auto store = given["store"].as<std::string>();
    if (given.count("node") > 0) {
        request.nodes = given["node"].as<std::vector<std::string>>();
    }
    const bool needs_store = request.words.empty() || request.words[0] != "status";
    const bool are_addresses = std::all_of(request.nodes.begin(), request.nodes.end(),
                                           [](const std::string& node) { return isAddress("--node", node); });
    if ((needs_store && !isAddress("--store", store)) || !are_addresses) {
        return kExitBadInput;
    }
    StoreAccess access(factory, store);
    return runCommand(access, request);
}

/// A command that reads log files, and nothing else.
struct LogReport {
    const char* word;
    int (*run)(const std::vector<std::string>& files);
};

constexpr LogReport kLogReports[] = {{"crashes", &reportCrashes}, {"repeats", &reportRepeats}};

/// @return null if the first word is none of them.
const LogReport* logReportOf(const std::vector<std::string>& words) {
    const auto* found = std::find_if(std::begin(kLogReports), std::end(kLogReports),
                                     [&](const LogReport& it) { return !words.empty() && words[0] == it.word; });
    return found == std::end(kLogReports) ? nullptr : found;
}

int runLogReport(const LogReport& report, const std::vector<std::string>& words) {
    if (words.size() < 2) {
        std::cerr << report.word << ": one log file at least is expected\n";
        return kExitBadInput;
    }
    return report.run({words.begin() + 1, words.end()});
}

int runWith(const cxxopts::ParseResult& given, const TableStoreFactory& factory) {
    Request request;
    const auto output = given["output"].as<std::string>();
    if (output != "text" && output != "json" && output != "csv") {
        std::cerr << "flags: --output: got '" << output << "', allowed: text, json, csv\n";
        return kExitBadInput;
    }
    request.output = output == "json" ? Output::kJson : (output == "csv" ? Output::kCsv : Output::kText);
    request.wait = Duration(static_cast<std::int64_t>(given["wait"].as<double>() * 1e6));
    if (given.count("words") > 0) {
        request.words = given["words"].as<std::vector<std::string>>();
    }
    const auto& words = request.words;
    if (words == std::vector<std::string>{"table", "columns"}) {
        std::cout << renderColumns();
        return kExitOk;
    }
    if (const auto* report = logReportOf(words)) {
        return runLogReport(*report, words);
    }
    if (words.empty() || words[0] != "explain") {
        return runWithStore(given, std::move(request), factory);
    }
    if (words.size() < kLeastExplainWords) {
        std::cerr << "explain: a request's id and one log file at least are expected\n";
        return kExitBadInput;
    }
    return explain(words[1], {words.begin() + 2, words.end()});
}

}  // namespace

int run(int argc, char** argv, const TableStoreFactory& factory) {
    auto options = makeOptions();
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0) {
            std::cout << options.help();
            return kExitOk;
        }
        return runWith(given, factory);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "flags: " << error.what() << '\n';
        return kExitBadInput;
    }
}

}  // namespace dewcrank::ctl
