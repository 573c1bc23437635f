#include "apps/ctl/log_line.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace dewcrank::ctl {

std::string valueOf(const std::string& line, const std::string& key) {
    const auto at = (" " + line).find(" " + key + "=");
    if (at == std::string::npos) {
        return "";
    }
    const auto begin = at + key.size() + 1;
    return line.substr(begin, line.find(' ', begin) - begin);
}

double numberOf(const std::string& line, const std::string& key) {
    return std::strtod(valueOf(line, key).c_str(), nullptr);
}

double secondsOf(const std::string& time) {
    int hours = 0;
    int minutes = 0;
    double seconds = 0;
    const auto clock = time.substr(std::min(time.size(), time.find('T') + 1));
    std::sscanf(clock.c_str(), "%d:%d:%lf", &hours, &minutes, &seconds);
    return hours * 3600.0 + minutes * 60.0 + seconds;
}

}  // namespace dewcrank::ctl
