/// @file
/// Reads the lines that nodes log: key=value pairs.
#pragma once

#include <string>

namespace dewcrank::ctl {

/// The value of a key in a line of key=value pairs; empty if it is not there.
std::string valueOf(const std::string& line, const std::string& key);
/// The same as a number; 0 if it is none.
double numberOf(const std::string& line, const std::string& key);
/// Seconds of the day of a time such as 2026-01-31T12:00:05.250.
double secondsOf(const std::string& time);

}  // namespace dewcrank::ctl
