#include "apps/ctl/explain.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>

#include "apps/ctl/commands.h"
#include "apps/ctl/log_line.h"

namespace dewcrank::ctl {

namespace {

constexpr double kAroundSeconds = 2;
const std::set<std::string> kBeliefEvents = {
    "table_adopted", "instance_changed", "node_started",    "node_stopping", "node_stopped",
    "store_failed",  "settings_read",    "relay_failed",    "node_silent",   "load",
    "nodes_listed",  "events_left_out",  "settings_refused"};

}  // namespace

void Explanation::read(const std::string& source, std::istream& log) {
    std::string line;
    while (std::getline(log, line)) {
        const auto at = line.find("event=");
        if (at == std::string::npos) {
            continue;
        }
        ExplainedLine found{valueOf(line, "time"), source, line.substr(at), false};
        if (valueOf(found.text, "request") == request_) {
            found.is_own = true;
            own_.push_back(found);
        } else if (kBeliefEvents.contains(valueOf(found.text, "event"))) {
            beliefs_.push_back(found);
        }
    }
}

std::vector<ExplainedLine> Explanation::lines() const {
    std::vector<ExplainedLine> result = own_;
    for (const auto& belief : beliefs_) {
        const bool is_near = std::any_of(own_.begin(), own_.end(), [&belief](const ExplainedLine& own) {
            return std::abs(secondsOf(own.time) - secondsOf(belief.time)) <= kAroundSeconds;
        });
        if (is_near) {
            result.push_back(belief);
        }
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const ExplainedLine& left, const ExplainedLine& right) { return left.time < right.time; });
    return result;
}

int explain(const std::string& request, const std::vector<std::string>& files) {
    Explanation explanation(request);
    for (const auto& file : files) {
        std::ifstream log(file);
        if (!log) {
            std::cerr << "explain: " << file << ": cannot be read\n";
            return kExitBadInput;
        }
        explanation.read(file, log);
    }
    const auto lines = explanation.lines();
    if (lines.empty()) {
        std::cerr << "explain: " << request << ": no line of these files names this request\n";
        return kExitBadInput;
    }
    for (const auto& line : lines) {
        std::cout << (line.is_own ? "> " : "  ") << line.time << ' ' << line.source << ' ' << line.text << '\n';
    }
    return kExitOk;
}

}  // namespace dewcrank::ctl
