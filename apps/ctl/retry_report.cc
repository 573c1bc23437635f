#include "apps/ctl/retry_report.h"

#include <cstdio>
#include <fstream>
#include <iostream>

#include "apps/ctl/commands.h"
#include "apps/ctl/log_line.h"

namespace dewcrank::ctl {

namespace {

void add(RepeatCounts* sum, const RepeatCounts& counts) {
    sum->requests += counts.requests;
    sum->repeats += counts.repeats;
    sum->denied += counts.denied;
}

double spentShare(const RepeatWindowReport& it) {
    return it.allowed > 0 ? it.fleet.repeats / it.allowed : 0;
}

}  // namespace

void RepeatReport::read(const std::string& source, std::istream& log) {
    std::string line;
    while (std::getline(log, line)) {
        if (valueOf(line, "event") != "repeats") {
            continue;
        }
        auto& service = services_[valueOf(line, "service")];
        service.ratio = numberOf(line, "ratio");
        service.slack = numberOf(line, "slack");
        service.window = numberOf(line, "window_s");
        const double inherited = numberOf(line, "inherited");
        const RepeatCounts counts{numberOf(line, "requests") + inherited, numberOf(line, "granted") + inherited,
                                  numberOf(line, "denied")};
        service.lines.push_back({source, secondsOf(valueOf(line, "time")), counts});
    }
}

RepeatWindowReport RepeatReport::windowFrom(const Service& service, double begin) {
    RepeatWindowReport report;
    report.begin = begin;
    for (const auto& line : service.lines) {
        if (line.at >= begin && line.at < begin + service.window) {
            add(&report.fleet, line.counts);
            add(&report.by_node[line.node], line.counts);
        }
    }
    report.allowed = service.ratio * report.fleet.requests + service.slack;
    return report;
}

std::vector<RepeatWindowReport> RepeatReport::worstWindows() const {
    std::vector<RepeatWindowReport> reports;
    for (const auto& [name, service] : services_) {
        RepeatWindowReport worst;
        for (const auto& line : service.lines) {
            auto report = windowFrom(service, line.at);
            if (spentShare(report) > spentShare(worst)) {
                worst = std::move(report);
            }
        }
        worst.service = name;
        if (worst.fleet.repeats > 0) {
            reports.push_back(std::move(worst));
        }
    }
    return reports;
}

int reportRepeats(const std::vector<std::string>& files) {
    RepeatReport report;
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
        std::cerr << "repeats: no line of these files tells of repeats\n";
        return kExitBadInput;
    }
    for (const auto& it : windows) {
        std::printf("service=%s from_s=%.1f repeats=%.1f allowed=%.1f requests=%.0f denied=%.0f\n", it.service.c_str(),
                    it.begin, it.fleet.repeats, it.allowed, it.fleet.requests, it.fleet.denied);
        for (const auto& [node, counts] : it.by_node) {
            std::printf("  %s repeats=%.1f requests=%.0f denied=%.0f\n", node.c_str(), counts.repeats, counts.requests,
                        counts.denied);
        }
    }
    return kExitOk;
}

}  // namespace dewcrank::ctl
