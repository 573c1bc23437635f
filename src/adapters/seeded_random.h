/// @file
/// Deterministic random numbers: the 64-bit Mersenne Twister, whose sequence the C++ standard defines.
#pragma once

#include <random>

#include "src/ports/random_source.h"

namespace dewcrank::adapters {

/// Random source whose sequence depends only on the seed.
class SeededRandom : public RandomSource {
public:
    explicit SeededRandom(std::uint64_t seed) : engine_(seed) {}
    std::uint64_t next() override { return engine_(); }

private:
    std::mt19937_64 engine_;
};

}  // namespace dewcrank::adapters
