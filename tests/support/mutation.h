/// @file
/// Seeded mutation of texts, as input for fuzz tests of parsers.
#pragma once

#include <string>
#include <vector>

#include "src/adapters/seeded_random.h"

namespace dewcrank::tests {

/// Applies random deletions, insertions, replacements and duplications. The same seed gives the same texts.
class Mutator {
public:
    /// @param fragments tokens of the format under test, which are inserted into texts.
    Mutator(std::uint64_t seed, std::vector<std::string> fragments) : random_(seed), fragments_(std::move(fragments)) {}

    /// @return the text after one to four changes.
    std::string mutated(std::string text) {
        const auto changes = 1 + random_.below(4);
        for (std::uint64_t change = 0; change < changes; ++change) {
            changeOnce(text);
        }
        return text;
    }
    /// @return a random number from 0 to `bound` - 1.
    std::size_t below(std::size_t bound) { return static_cast<std::size_t>(random_.below(bound)); }

private:
    void changeOnce(std::string& text) {
        const auto at = below(text.size() + 1);
        const auto length = std::min(below(8) + 1, text.size() - at);
        switch (below(5)) {
            case 0:
                text.erase(at, length);
                break;
            case 1:
                text.insert(at, 1, static_cast<char>(below(256)));
                break;
            case 2:
                text.insert(at, fragments_[below(fragments_.size())]);
                break;
            case 3:
                text.replace(at, length, fragments_[below(fragments_.size())]);
                break;
            default:
                text.insert(below(text.size() + 1), text.substr(at, below(40)));
        }
    }

    adapters::SeededRandom random_;
    std::vector<std::string> fragments_;
};

}  // namespace dewcrank::tests
