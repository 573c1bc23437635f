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
        const auto fingerprint = fieldValue(line, "fingerprint");
        const bool is_request_lost =
            fieldValue(line, "event") == "instance_failed" && fieldValue(line, "sent") == "yes";
        if (!is_request_lost || fingerprint.empty()) {
            continue;
        }
        const auto instance = fieldValue(line, "instance");
        const auto time_s = secondsOfDay(fieldValue(line, "time"));
        ++lost_requests_[instance];
        auto& it = by_fingerprint_[fingerprint];
        if (it.instances.empty()) {
            it.fingerprint = fingerprint;
            it.route = fieldValue(line, "route");
            it.first_s = time_s;
            it.last_s = time_s;
        }
        it.instances.insert(instance);
        it.first_s = std::min(it.first_s, time_s);
        it.last_s = std::max(it.last_s, time_s);
    }
}

std::vector<SuspectRequest> CrashReport::suspects() const {
    std::vector<SuspectRequest> found;
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
    if (report.lostRequests().empty()) {
        std::cerr << "crashes: no line of these files reports a request that failed at an instance\n";
        return kExitBadInput;
    }
    for (const auto& [instance, count] : report.lostRequests()) {
        std::printf("instance=%s runs=%zu\n", instance.c_str(), count);
    }
    for (const auto& it : report.suspects()) {
        std::printf("fingerprint=%s route=%s instances=%zu from_s=%.3f to_s=%.3f\n", it.fingerprint.c_str(),
                    it.route.c_str(), it.instances.size(), it.first_s, it.last_s);
    }
    return kExitOk;
}

}  // namespace dewcrank::ctl
