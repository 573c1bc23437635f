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
    double margin_share = 0.04;   ///< Share of `revocation` kept in reserve for clock drift and for the time from check
                                  ///< to instance.
    DisabledMechanisms disabled;  ///< Tests only.
};

/// Tracks until which time the local table is confirmed to be the newest one.
///
/// Invariant: the local table contains every version that the store had acknowledged by `confirmed_`.
///
/// - A read of the store confirms the time at which it was sent: its response may lack later versions.
/// - A peer responds with the age of its own confirmation. The age counts back from the time at which the request
///   was sent, so that delays in the network never make the confirmation too recent.
/// - Unrequested messages of peers confirm nothing, since a partition may have delayed them, nor does a pending watch
///   of the store.
class TableLease {
public:
    explicit TableLease(TableLeaseKnobs knobs) : knobs_(knobs) {}

    /// Registers a response to a linearizable read of the store whose table, or a newer one, is the local one.
    /// @param sent   when the read was sent.
    void onRead(TimePoint sent);
    /// Registers a peer's response.
    /// @param sent           when the request to the peer was sent.
    /// @param age            age of the peer's confirmation when the peer responded.
    /// @param peer_version   version of the peer's table.
    /// @param own_version    version of the local table; a table older than the peer's is not confirmed.
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
