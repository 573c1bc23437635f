/// @file
/// Random number generator interface; seeded in simulations, so that runs are reproducible.
#pragma once

#include <cstdint>

namespace dewcrank {

/// Source of all random numbers of a node.
class RandomSource {
public:
    virtual ~RandomSource() = default;
    /// 64 uniformly distributed bits.
    virtual std::uint64_t next() = 0;
    /// Uniform in [0, bound); 0 if bound is 0.
    std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : next() % bound; }
    /// Uniform in [0, 1).
    double unit() { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }
};

}  // namespace dewcrank
