/// @file
/// Parser for the log lines of nodes, which consist of key=value pairs separated by blanks.
#pragma once

#include <string>

namespace dewcrank::ctl {

/// @return the value of a key in a log line; empty if the line does not have the key.
std::string fieldValue(const std::string& line, const std::string& key);
/// @return the value of a key as a number; 0 if the key is missing or its value is not a number.
double fieldNumber(const std::string& line, const std::string& key);
/// @return seconds since midnight of a timestamp such as 2026-01-31T12:00:05.250.
double secondsOfDay(const std::string& time);

}  // namespace dewcrank::ctl
