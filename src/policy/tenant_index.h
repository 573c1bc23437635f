/// @file
/// Finds the tenant of a request by its API key.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "proto/generated/fleet.pb.h"

namespace dewcrank::policy {

/// First character of a fingerprint, which distinguishes it from a key.
inline constexpr char kFingerprintPrefix = '#';

/// @return a label for a key in logs and tables: the prefix and a hash of 32 bits, which does not reveal the key.
std::string keyFingerprint(std::string_view key);

/// Index of tenants by key. Uses a hash that is seeded per process and a constant-time comparison, so that the duration
/// of a look-up reveals nothing about existing keys.
class TenantIndex {
public:
    explicit TenantIndex(std::uint64_t seed) : seed_(seed) {}
    /// Replaces the index. @param table must outlive the index, or exist until the next `build`.
    void build(const wire::RouteTable& table);
    /// @return the tenant that owns a key; null if there is none.
    [[nodiscard]] const wire::Tenant* findByKey(std::string_view key) const;

private:
    struct Entry {
        std::string_view key;
        const wire::Tenant* tenant = nullptr;
    };
    [[nodiscard]] std::uint64_t hashOf(std::string_view key) const;

    std::uint64_t seed_;
    std::unordered_multimap<std::uint64_t, Entry> by_hash_;
};

}  // namespace dewcrank::policy
