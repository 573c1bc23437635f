/// @file
/// Limits how long a node accepts API keys without confirmation that its table is the newest: a key may have been
/// revoked meanwhile.
#pragma once

#include <cstdint>
#include <optional>

#include "src/base/disabled_mechanisms.h"
#include "src/base/time.h"

namespace dewcrank::policy {

/// Constants of the lease.
struct TableLeaseKnobs {
    Duration revocation{};        ///< Longest time that a revoked key is still accepted; zero: no lease is required.
    double margin_share = 0.04;   ///< Of `revocation`, for clock drift and for the time from check to instance.
    DisabledMechanisms disabled;  ///< Tests only.
};

/// Invariant: the local table contains every version that the store had acknowledged by `confirmed_`.
///
/// - A read of the store confirms the time at which it was sent: its response may lack later versions.
/// - A peer responds with the age of its own confirmation. The age counts back from the time at which the request
///   was sent, so that delays in the network never make the confirmation too recent.
/// - Unrequested messages of peers confirm nothing, since a partition may have delayed them, nor does a watch of the
///   store that waits.
class TableLease {
public:
    explicit TableLease(TableLeaseKnobs knobs) : knobs_(knobs) {}

    /// Registers a response to a linearizable read of the store whose table, or a newer one, is the local one.
    /// @param sent   when the read was sent.
    void onRead(TimePoint sent);
    /// Registers a peer's response.
    /// @param sent           when the request to the peer was sent.
    /// @param age            of the peer's confirmation at its response.
    /// @param peer_version   of the peer's table.
    /// @param own_version    of the local table; an older one is not confirmed.
    void onPeerResponse(TimePoint sent, Duration age, std::uint64_t peer_version, std::uint64_t own_version);
    /// @return the time since the last confirmation; nothing if there was none.
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const;
    /// True if keys are accepted only under a valid lease.
    [[nodiscard]] bool isRequired() const { return knobs_.revocation > Duration::zero(); }
    /// True while requests may be admitted by their keys.
    [[nodiscard]] bool isValid(TimePoint now) const;

private:
    TableLeaseKnobs knobs_;
    std::optional<TimePoint> confirmed_;  ///< Never decreases.
};

}  // namespace dewcrank::policy
