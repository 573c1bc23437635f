#include "apps/ctl/log_line.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace dewcrank::ctl {

std::string fieldValue(const std::string& line, const std::string& key) {
    const auto key_begin = (" " + line).find(" " + key + "=");
    if (key_begin == std::string::npos) {
        return "";
    }
    const auto begin = key_begin + key.size() + 1;
    return line.substr(begin, line.find(' ', begin) - begin);
}

double fieldNumber(const std::string& line, const std::string& key) {
    return std::strtod(fieldValue(line, key).c_str(), nullptr);
}

double secondsOfDay(const std::string& time) {
    int hours = 0;
    int minutes = 0;
    double seconds = 0;
    const auto clock = time.substr(std::min(time.size(), time.find('T') + 1));
    std::sscanf(clock.c_str(), "%d:%d:%lf", &hours, &minutes, &seconds);
    return hours * 3600.0 + minutes * 60.0 + seconds;
}

}  // namespace dewcrank::ctl
