#include "src/policy/tenant_index.h"

#include <xxhash.h>

#include <cstdio>

namespace dewcrank::policy {

namespace {

constexpr std::uint64_t kFingerprintBits = 0xffffffffU;

bool constantTimeEquals(std::string_view left, std::string_view right) {
    if (left.size() != right.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i) {
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
    }
    return difference == 0;
}

}  // namespace

std::string keyFingerprint(std::string_view key) {
    char text[16];
    std::snprintf(text, sizeof text, "%08llx",
                  static_cast<unsigned long long>(XXH3_64bits(key.data(), key.size()) & kFingerprintBits));
    return kFingerprintPrefix + std::string(text);
}

std::uint64_t TenantIndex::hashOf(std::string_view key) const {
    return XXH3_64bits_withSeed(key.data(), key.size(), seed_);
}

void TenantIndex::build(const wire::RouteTable& table) {
    by_hash_.clear();
    for (const auto& tenant : table.tenants()) {
        for (const auto& key : tenant.keys()) {
            by_hash_.emplace(hashOf(key), Entry{key, &tenant});
        }
    }
}

const wire::Tenant* TenantIndex::findByKey(std::string_view key) const {
    const auto [begin, end] = by_hash_.equal_range(hashOf(key));
    const wire::Tenant* holder = nullptr;
    for (auto it = begin; it != end; ++it) {
        holder = constantTimeEquals(it->second.key, key) ? it->second.tenant : holder;
    }
    return holder;
}

}  // namespace dewcrank::policy
