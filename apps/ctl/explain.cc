#include "apps/ctl/explain.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <set>

#include "apps/ctl/commands.h"

namespace dewcrank::ctl {

namespace {

constexpr double kAroundSeconds = 2;
const std::set<std::string> kBeliefEvents = {
    "table_adopted", "instance_changed", "node_started",    "node_stopping", "node_stopped",
    "store_failed",  "settings_read",    "relay_failed",    "node_silent",   "load",
    "nodes_listed",  "events_left_out",  "settings_refused"};

/// The value of a key in a line of key=value pairs; empty if it is not there.
std::string valueOf(const std::string& line, const std::string& key) {
    const auto at = (" " + line).find(" " + key + "=");
    if (at == std::string::npos) {
        return "";
    }
    const auto begin = at + key.size() + 1;
    return line.substr(begin, line.find(' ', begin) - begin);
}

/// Seconds of the day of a time such as 2026-01-31T12:00:05.250.
double secondsOf(const std::string& time) {
    int hours = 0;
    int minutes = 0;
    double seconds = 0;
    const auto clock = time.substr(std::min(time.size(), time.find('T') + 1));
    std::sscanf(clock.c_str(), "%d:%d:%lf", &hours, &minutes, &seconds);
    return hours * 3600.0 + minutes * 60.0 + seconds;
}

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
