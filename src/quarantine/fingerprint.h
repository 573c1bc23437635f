/// @file
/// What a request is recognized by when it comes again: its id is new with each try of a caller, and it
/// may come in at any node.
#pragma once

#include <cstdint>
#include <string>

#include "src/base/http_message.h"

namespace dewcrank::quarantine {

/// 64 bits of a hash: of the 100,000 distinct requests of some minutes, two agree once in 3.7 billion cases.
using Fingerprint = std::uint64_t;

/// Of what decides what an instance does: method, host, path with query, and body. Not of the id, the deadline
/// or what the platform sets. Costs a pass over the body.
[[nodiscard]] Fingerprint fingerprintOf(const HttpRequest& request);

/// As it stands in log lines: 16 hexadecimal digits.
[[nodiscard]] std::string fingerprintText(Fingerprint fingerprint);

}  // namespace dewcrank::quarantine
