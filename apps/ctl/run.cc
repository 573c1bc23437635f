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

/// Arguments of the shortest `explain` command: its name, the id of a request and one log file.
constexpr std::size_t kMinExplainArgs = 3;

cxxopts::Options makeOptions() {
    cxxopts::Options options(
        "dewcrank",
        "Edits the route table, shows which version nodes apply, and reports requests, retries and crashes from logs.");
    options.positional_help("COMMAND ...");
    auto add = options.add_options();
    add("store", "IP:PORT of the platform's store", cxxopts::value<std::string>()->default_value(""));
    add("node", "IP:PORT of the metrics of a node, to read its table version; once for each node",
        cxxopts::value<std::vector<std::string>>());
    add("output", "text, json or csv", cxxopts::value<std::string>()->default_value("text"));
    add("wait", "seconds to wait until all given nodes apply an edit", cxxopts::value<double>()->default_value("0"));
    add("help", "print this help");
    add("words", "command and arguments", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    return options;
}

/// Prints an error if `text`, the value of `flag`, is not an address. @return true if it is one.
bool checkAddress(const char* flag, const std::string& text) {
    if (adapters::parseSocketAddress(text)) {
        return true;
    }
    std::cerr << "flags: " << flag << ": got '" << text << "', IP:PORT with a numeric IP address is expected\n";
    return false;
}

/// Runs a command that uses the store or nodes.
int runStoreCommand(const cxxopts::ParseResult& parsed, CommandLine command, const TableStoreFactory& factory) {
    const auto store_address = parsed["store"].as<std::string>();
    if (parsed.count("node") > 0) {
        command.nodes = parsed["node"].as<std::vector<std::string>>();
    }
    const bool needs_store = command.args.empty() || command.args[0] != "status";
    const bool are_addresses = std::all_of(command.nodes.begin(), command.nodes.end(),
                                           [](const std::string& node) { return checkAddress("--node", node); });
    if ((needs_store && !checkAddress("--store", store_address)) || !are_addresses) {
        return kExitBadInput;
    }
    BlockingClient client(factory, store_address);
    return runCommand(client, command);
}

/// A command that reads only log files.
struct LogCommand {
    const char* name;
    int (*run)(const std::vector<std::string>& files);
};

constexpr LogCommand kLogCommands[] = {{"crashes", &reportCrashes}, {"repeats", &reportRetries}};

/// @return the log command that the first argument names; null if there is none.
const LogCommand* findLogCommand(const std::vector<std::string>& args) {
    const auto* found = std::find_if(std::begin(kLogCommands), std::end(kLogCommands),
                                     [&](const LogCommand& it) { return !args.empty() && args[0] == it.name; });
    return found == std::end(kLogCommands) ? nullptr : found;
}

int runLogCommand(const LogCommand& command, const std::vector<std::string>& args) {
    if (args.size() < 2) {
        std::cerr << command.name << ": one log file at least is expected\n";
        return kExitBadInput;
    }
    return command.run({args.begin() + 1, args.end()});
}

/// Builds the CommandLine from the parsed options and runs the command.
int runArguments(const cxxopts::ParseResult& parsed, const TableStoreFactory& factory) {
    CommandLine command;
    const auto output = parsed["output"].as<std::string>();
    if (output != "text" && output != "json" && output != "csv") {
        std::cerr << "flags: --output: got '" << output << "', allowed: text, json, csv\n";
        return kExitBadInput;
    }
    command.output =
        output == "json" ? OutputFormat::kJson : (output == "csv" ? OutputFormat::kCsv : OutputFormat::kText);
    command.wait = Duration(static_cast<std::int64_t>(parsed["wait"].as<double>() * 1e6));
    if (parsed.count("words") > 0) {
        command.args = parsed["words"].as<std::vector<std::string>>();
    }
    const auto& args = command.args;
    if (args == std::vector<std::string>{"table", "columns"}) {
        std::cout << renderColumns();
        return kExitOk;
    }
    if (const auto* log_command = findLogCommand(args)) {
        return runLogCommand(*log_command, args);
    }
    if (args.empty() || args[0] != "explain") {
        return runStoreCommand(parsed, std::move(command), factory);
    }
    if (args.size() < kMinExplainArgs) {
        std::cerr << "explain: the id of a request and at least one log file are expected\n";
        return kExitBadInput;
    }
    return explain(args[1], {args.begin() + 2, args.end()});
}

}  // namespace

int run(int argc, char** argv, const TableStoreFactory& factory) {
    auto options = makeOptions();
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return kExitOk;
        }
        return runArguments(parsed, factory);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "flags: " << error.what() << '\n';
        return kExitBadInput;
    }
}

}  // namespace dewcrank::ctl
