#include "src/quarantine/fingerprint.h"

#include <xxhash.h>

#include <cstdio>

namespace dewcrank::quarantine {

namespace {

/// The hash of the preceding parts seeds the next one, so that bytes moved across the border of two parts change it.
std::uint64_t hashOf(std::string_view part, std::uint64_t seed) {
    return XXH3_64bits_withSeed(part.data(), part.size(), seed);
}

}  // namespace

Fingerprint fingerprintOf(const HttpRequest& request) {
    auto hash = hashOf(request.method, 0);
    hash = hashOf(request.headers.get("host"), hash);
    hash = hashOf(request.path, hash);
    return hashOf(request.body, hash);
}

std::string fingerprintText(Fingerprint fingerprint) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(fingerprint));
    return text;
}

}  // namespace dewcrank::quarantine
