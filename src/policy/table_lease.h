/// @file
/// For how long the table held here may be taken for the newest. Whoever cannot show that lets nobody in by a key:
/// it may have been revoked meanwhile.
#pragma once

#include <cstdint>
#include <optional>

#include "src/base/time.h"
#include "src/base/disabled_mechanisms.h"

namespace dewcrank::policy {

/// Constants of the lease.
struct TableLeaseKnobs {
    /// A key that the store's table no longer holds runs nothing later than this after its revocation; zero: keys
    /// are not bound to a lease.
    Duration revocation{};
    /// Of `revocation`, kept for clocks that run at different rates and for the way from the check to the instance.
    double margin_share = 0.04;
    DisabledMechanisms disabled;  ///< Tests only.
};

/// Invariant: the table held here contains every version that the store had acknowledged by `confirmed`.
///
/// A read of the store confirms the moment at which it was sent: what is acknowledged while it is under way may be
/// missing from its answer. A peer tells how long ago its own table was confirmed. Its answer was written after the
/// question to it had been sent, so that the age counts back from there: however long question and answer were
/// under way, the moment worked out is never too late. What a peer tells without having been asked confirms nothing:
/// a cut may have held it up for any time. Neither does a watch that waits: it says that it has heard nothing.
class TableLease {
public:
    explicit TableLease(TableLeaseKnobs knobs) : knobs_(knobs) {}

    /// The store has answered a linearizable read, and the table held here is at least the one that it gave.
    void onRead(TimePoint sent);
    /// A peer has answered a question. @param age of its own confirmation when it answered. @param theirs the version
    /// that it holds. @param mine the version held here: an older one is not confirmed by it.
    void onPeer(TimePoint asked, Duration age, std::uint64_t theirs, std::uint64_t mine);
    /// How long ago the table was known to be the newest; nothing if it never was.
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const;
    /// True if keys are to be checked against a lease at all.
    [[nodiscard]] bool isRequired() const { return knobs_.revocation > Duration::zero(); }
    /// True while requests may be let in by their keys.
    [[nodiscard]] bool isValid(TimePoint now) const;

private:
    TableLeaseKnobs knobs_;
    std::optional<TimePoint> confirmed_;  ///< Only grows.
};

}  // namespace dewcrank::policy
