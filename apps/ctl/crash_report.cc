#include "apps/ctl/crash_report.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>

#include "apps/ctl/commands.h"
#include "apps/ctl/log_line.h"

namespace dewcrank::ctl {

void CrashReport::read(std::istream& log) {
    std::string line;
    while (std::getline(log, line)) {
        const auto fingerprint = valueOf(line, "fingerprint");
        const bool is_run_lost = valueOf(line, "event") == "instance_failed" && valueOf(line, "sent") == "yes";
        if (!is_run_lost || fingerprint.empty()) {
            continue;
        }
        const auto instance = valueOf(line, "instance");
        const auto at = secondsOf(valueOf(line, "time"));
        ++runs_[instance];
        auto& it = by_fingerprint_[fingerprint];
        if (it.instances.empty()) {
            it.fingerprint = fingerprint;
            it.route = valueOf(line, "route");
            it.first = at;
            it.last = at;
        }
        it.instances.insert(instance);
        it.first = std::min(it.first, at);
        it.last = std::max(it.last, at);
    }
}

std::vector<RepeatedCrash> CrashReport::repeated() const {
    std::vector<RepeatedCrash> found;
    for (const auto& [fingerprint, it] : by_fingerprint_) {
        if (it.instances.size() > 1) {
            found.push_back(it);
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const auto& a, const auto& b) { return a.instances.size() > b.instances.size(); });
    return found;
}

int reportCrashes(const std::vector<std::string>& files) {
    CrashReport report;
    for (const auto& file : files) {
        std::ifstream log(file);
        if (!log) {
            std::cerr << "crashes: " << file << ": cannot be read\n";
            return kExitBadInput;
        }
        report.read(log);
    }
    if (report.runs().empty()) {
        std::cerr << "crashes: no line of these files tells of an instance that failed\n";
        return kExitBadInput;
    }
    for (const auto& [instance, runs] : report.runs()) {
        std::printf("instance=%s runs=%zu\n", instance.c_str(), runs);
    }
    for (const auto& it : report.repeated()) {
        std::printf("fingerprint=%s route=%s instances=%zu from_s=%.3f to_s=%.3f\n", it.fingerprint.c_str(),
                    it.route.c_str(), it.instances.size(), it.first, it.last);
    }
    return kExitOk;
}

}  // namespace dewcrank::ctl
