/// @file
/// Bounds the bytes of incomplete messages that a process holds in sum: a sender that never ends, or many large
/// messages at a time, take no more memory than one message beyond the bound.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

namespace dewcrank::adapters {

/// Counts what connections hold of messages that have not arrived completely. While the sum is above the limit, all but
/// the connection that began first read no further, so that their senders wait. That one goes on, so that messages that
/// do end are completed one after the other.
class BufferBudget {
public:
    /// Smaller parts of messages do not count, and are never held up.
    static constexpr std::size_t kMinCounted = std::size_t{64} * 1024;

    /// A connection that reads messages.
    class Reader {
    public:
        virtual ~Reader() = default;
        /// Stops reading, or goes on. Must not call the budget.
        virtual void setPaused(bool is_paused) = 0;
    };

    /// @param limit in bytes, of all readers together.
    explicit BufferBudget(std::size_t limit) : limit_(limit) {}
    BufferBudget(const BufferBudget&) = delete;
    BufferBudget& operator=(const BufferBudget&) = delete;

    /// Sets how many bytes of an incomplete message a reader holds. Less than kMinCounted: the reader is forgotten, and
    /// reads on.
    void set(Reader& reader, std::size_t bytes);
    /// @return the bytes of all readers together.
    [[nodiscard]] std::size_t held() const { return held_; }
    /// @return the number of times that a reader was paused since the start.
    [[nodiscard]] std::uint64_t pauses() const { return pauses_; }

private:
    /// What one reader holds.
    struct Holding {
        std::uint64_t order = 0;  ///< The reader with the lowest value began first.
        std::size_t bytes = 0;
        bool is_paused = false;
    };
    void remove(Reader& reader);
    void update();
    void setPaused(Reader* reader, Holding* holding, bool is_paused);

    std::size_t limit_;
    std::size_t held_ = 0;
    std::uint64_t last_order_ = 0;
    std::uint64_t pauses_ = 0;
    std::map<Reader*, Holding> holdings_;
};

}  // namespace dewcrank::adapters
