#include "apps/ctl/retry_report.h"

#include <cstdio>
#include <fstream>
#include <iostream>

#include "apps/ctl/commands.h"
#include "apps/ctl/log_line.h"

namespace dewcrank::ctl {

namespace {

void add(RetryCounts* sum, const RetryCounts& counts) {
    sum->requests += counts.requests;
    sum->retries += counts.retries;
    sum->denied += counts.denied;
}

/// @return the part of the allowed retries that was used; above 1 if the budget was exceeded.
double usageRatio(const RetryWindowReport& it) {
    return it.allowed > 0 ? it.total.retries / it.allowed : 0;
}

}  // namespace

void RetryReport::read(const std::string& source, std::istream& log) {
    std::string line;
    while (std::getline(log, line)) {
        if (fieldValue(line, "event") != "repeats") {
            continue;
        }
        auto& service = services_[fieldValue(line, "service")];
        service.ratio = fieldNumber(line, "ratio");
        service.slack = fieldNumber(line, "slack");
        service.window_s = fieldNumber(line, "window_s");
        const double inherited = fieldNumber(line, "inherited");
        const RetryCounts counts{fieldNumber(line, "requests") + inherited, fieldNumber(line, "granted") + inherited,
                                 fieldNumber(line, "denied")};
        service.samples.push_back({source, secondsOfDay(fieldValue(line, "time")), counts});
    }
}

RetryWindowReport RetryReport::windowAt(const ServiceSamples& service, double begin_s) {
    RetryWindowReport report;
    report.begin_s = begin_s;
    for (const auto& sample : service.samples) {
        if (sample.time_s >= begin_s && sample.time_s < begin_s + service.window_s) {
            add(&report.total, sample.counts);
            add(&report.by_node[sample.node], sample.counts);
        }
    }
    report.allowed = service.ratio * report.total.requests + service.slack;
    return report;
}

std::vector<RetryWindowReport> RetryReport::worstWindows() const {
    std::vector<RetryWindowReport> reports;
    for (const auto& [name, service] : services_) {
        RetryWindowReport worst;
        for (const auto& sample : service.samples) {
            auto report = windowAt(service, sample.time_s);
            if (usageRatio(report) > usageRatio(worst)) {
                worst = std::move(report);
            }
        }
        worst.service = name;
        if (worst.total.retries > 0) {
            reports.push_back(std::move(worst));
        }
    }
    return reports;
}

int reportRetries(const std::vector<std::string>& files) {
    RetryReport report;
    for (const auto& file : files) {
        std::ifstream log(file);
        if (!log) {
            std::cerr << "repeats: " << file << ": cannot be read\n";
            return kExitBadInput;
        }
        report.read(file, log);
    }
    const auto windows = report.worstWindows();
    if (windows.empty()) {
        std::cerr << "repeats: no line of these files reports retries\n";
        return kExitBadInput;
    }
    for (const auto& it : windows) {
        std::printf("service=%s from_s=%.1f repeats=%.1f allowed=%.1f requests=%.0f denied=%.0f\n", it.service.c_str(),
                    it.begin_s, it.total.retries, it.allowed, it.total.requests, it.total.denied);
        for (const auto& [node, counts] : it.by_node) {
            std::printf("  %s repeats=%.1f requests=%.0f denied=%.0f\n", node.c_str(), counts.retries, counts.requests,
                        counts.denied);
        }
    }
    return kExitOk;
}

}  // namespace dewcrank::ctl
