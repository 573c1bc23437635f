#include "src/adapters/buffer_budget.h"

#include <algorithm>

namespace dewcrank::adapters {

void BufferBudget::set(Reader& reader, std::size_t bytes) {
    if (bytes < kMinCounted) {
        remove(reader);
        return;
    }
    const auto [found, is_new] = holdings_.try_emplace(&reader);
    auto& holding = found->second;
    holding.order = is_new ? ++last_order_ : holding.order;
    held_ = held_ - holding.bytes + bytes;
    holding.bytes = bytes;
    update();
}

void BufferBudget::remove(Reader& reader) {
    const auto found = holdings_.find(&reader);
    if (found == holdings_.end()) {
        return;
    }
    held_ -= found->second.bytes;
    setPaused(&reader, &found->second, false);
    holdings_.erase(found);
    update();
}

void BufferBudget::update() {
    const auto first = std::min_element(holdings_.begin(), holdings_.end(), [](const auto& left, const auto& right) {
        return left.second.order < right.second.order;
    });
    for (auto it = holdings_.begin(); it != holdings_.end(); ++it) {
        setPaused(it->first, &it->second, it != first && held_ > limit_);
    }
}

void BufferBudget::setPaused(Reader* reader, Holding* holding, bool is_paused) {
    if (holding->is_paused == is_paused) {
        return;
    }
    holding->is_paused = is_paused;
    pauses_ += is_paused ? 1 : 0;
    reader->setPaused(is_paused);
}

}  // namespace dewcrank::adapters
