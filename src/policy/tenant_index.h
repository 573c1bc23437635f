/// @file
/// Who calls: the tenants of a table by their keys.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "proto/generated/fleet.pb.h"

namespace dewcrank::policy {

/// Before a fingerprint, so that it is not taken for a key.
inline constexpr char kFingerprintMark = '#';

/// Tells keys apart where people read: the mark and 32 bits, from which a key of full length cannot be had back.
std::string keyFingerprint(std::string_view key);

/// Keys are found by a hash that is seeded in each process, and then compared whole in a time that does not depend
/// on where they differ: how long a look-up takes tells nothing of the keys that there are.
class TenantIndex {
public:
    explicit TenantIndex(std::uint64_t seed) : seed_(seed) {}
    /// @param table outlives the index, or the next `build`.
    void build(const wire::RouteTable& table);
    /// The tenant that holds a key; null if none does.
    [[nodiscard]] const wire::Tenant* holderOf(std::string_view key) const;

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
