#include "apps/ctl/explain.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <set>

#include "apps/ctl/commands.h"
#include "apps/ctl/log_line.h"

namespace dewcrank::ctl {

namespace {

/// State changes are listed up to this time from an event of the request.
constexpr double kContextSeconds = 2;
/// Events that change which table, nodes and instances a node uses, or report faults of these.
const std::set<std::string> kStateChanges = {
    "table_adopted", "instance_changed", "node_started",     "node_stopping", "node_stopped",
    "store_failed",  "settings_read",    "relay_failed",     "node_silent",   "load",
    "nodes_listed",  "events_left_out",  "settings_refused", "node_idle",     "log_lines_dropped"};
/// Events of a request whose response is lost between two hops.
const std::set<std::string> kLosses = {"instance_failed", "answer_spoiled", "run_cut",           "relay_failed",
                                       "response_cut",    "client_left",    "request_unfinished"};

/// A request that was given up with one of these statuses may have run, and its answer was lost.
bool isLoss(const std::string& line) {
    const auto event = fieldValue(line, "event");
    const auto status = fieldValue(line, "status");
    return kLosses.contains(event) || (event == "request_given_up" && (status == "502" || status == "504"));
}

void sortByTime(std::vector<TraceLine>* lines) {
    std::stable_sort(lines->begin(), lines->end(),
                     [](const TraceLine& left, const TraceLine& right) { return left.time < right.time; });
}

}  // namespace

void RequestTrace::read(const std::string& source, std::istream& log) {
    std::string line;
    while (std::getline(log, line)) {
        const auto begin = line.find("event=");
        if (begin == std::string::npos) {
            continue;
        }
        TraceLine found{fieldValue(line, "time"), source, line.substr(begin), false};
        if (fieldValue(found.text, "request") == request_) {
            found.names_request = true;
            request_lines_.push_back(found);
        } else if (kStateChanges.contains(fieldValue(found.text, "event"))) {
            state_changes_.push_back(found);
        }
    }
}

std::vector<TraceLine> RequestTrace::lines() const {
    std::vector<TraceLine> result = request_lines_;
    for (const auto& event : state_changes_) {
        const bool is_in_context =
            std::any_of(request_lines_.begin(), request_lines_.end(), [&event](const TraceLine& line) {
                return std::abs(secondsOfDay(line.time) - secondsOfDay(event.time)) <= kContextSeconds;
            });
        if (is_in_context) {
            result.push_back(event);
        }
    }
    sortByTime(&result);
    return result;
}

std::vector<TraceLine> RequestTrace::losses() const {
    std::vector<TraceLine> result;
    std::copy_if(request_lines_.begin(), request_lines_.end(), std::back_inserter(result),
                 [](const TraceLine& line) { return isLoss(line.text); });
    sortByTime(&result);
    return result;
}

int explain(const std::string& request, const std::vector<std::string>& files) {
    RequestTrace trace(request);
    for (const auto& file : files) {
        std::ifstream log(file);
        if (!log) {
            std::cerr << "explain: " << file << ": cannot be read\n";
            return kExitBadInput;
        }
        trace.read(file, log);
    }
    const auto lines = trace.lines();
    if (lines.empty()) {
        std::cerr << "explain: " << request << ": no line of these files names this request\n";
        return kExitBadInput;
    }
    for (const auto& line : lines) {
        std::cout << (line.names_request ? "> " : "  ") << line.time << ' ' << line.source << ' ' << line.text << '\n';
    }
    const auto losses = trace.losses();
    if (losses.empty()) {
        std::cout << "lost: at no hop, by these files\n";
    } else {
        const auto& first = losses.front();
        std::cout << "lost: first at " << first.source << " event=" << fieldValue(first.text, "event")
                  << " reason=" << fieldValue(first.text, "reason") << '\n';
    }
    return kExitOk;
}

}  // namespace dewcrank::ctl
