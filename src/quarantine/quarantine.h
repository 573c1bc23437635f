/// @file
/// Quarantine of requests that crash instances ("query of death"). Requests are identified by fingerprint, so that
/// client retries and requests that arrive at other nodes are recognized.
///
///   clear -> suspect:        it was running when an instance crashed
///   suspect -> quarantined:  it was the only suspect running when another instance crashed
///   suspect -> clear:        it completed, or was not marked again before `suspicion_timeout`
///   quarantined -> suspect:  its term, the duration of its quarantine, is over: a new release may fix the crash
///   quarantined -> clear:    it completed at another relay
///
/// Relays run one suspect at a time, so that a crash quarantines at most one request.
#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "proto/generated/fleet.pb.h"
#include "src/base/time.h"
#include "src/ports/clock.h"
#include "src/quarantine/fingerprint.h"
#include "src/quarantine/recent_completions.h"

namespace dewcrank::quarantine {

/// Constants of the quarantine of one relay.
struct QuarantineKnobs {
    Duration suspicion_timeout = 60s;  ///< Longer than clients go on retrying.
    /// A term of quarantine lasts `initial_term` times the version of the record, so that repeated terms grow.
    Duration initial_term = std::chrono::minutes(10);
    Duration max_term = std::chrono::hours(24);
    /// Bounds of memory. The oldest suspects, and the records that expire first, are evicted. A crash of an instance
    /// with 200 slots leaves 200 suspects; 4,096 take about 0.3 MB.
    std::size_t max_suspects = 4096;
    std::size_t max_records = 256;
    RecentCompletionKnobs recent_completions;
};

/// How a relay treats a request.
enum class QuarantineState {
    kClear,        ///< Runs like any other request.
    kSuspect,      ///< Runs only while no other suspect runs.
    kQuarantined,  ///< Does not run.
};

/// One relay's view of the suspect and quarantined requests of its service. Records are versioned and merge to the
/// same result in any order: the greatest version wins.
class Quarantine {
public:
    Quarantine(Clock& clock, QuarantineKnobs knobs);

    [[nodiscard]] QuarantineState state(Fingerprint fingerprint) const;
    /// @return the time until the quarantine ends; zero if the request is not quarantined.
    [[nodiscard]] Duration remainingTerm(Fingerprint fingerprint) const;

    /// The request was running when an instance crashed, here or at another relay. A request that recently completed
    /// here stays clear: frequent requests run during every crash, whatever its cause.
    /// @return false if it stays clear.
    bool markSuspect(Fingerprint fingerprint);
    /// The request was the only suspect running when an instance crashed. Starts a term of quarantine.
    void markQuarantined(Fingerprint fingerprint);
    /// This relay's instance has responded to the request without a crash. Clears the request.
    void onCompleted(Fingerprint fingerprint);
    /// Another relay has reported that the request completed there. Clears the request.
    void onCompletedElsewhere(Fingerprint fingerprint);
    /// @return true if the request completed at this relay within the retention of `RecentCompletions`.
    [[nodiscard]] bool hasRecentlyCompleted(Fingerprint fingerprint) const;

    /// Merges a record of another relay. @return true if the record held here has changed.
    bool merge(const wire::QuarantineRecord& record);
    /// @return all records, released and expired ones included, to be sent to other relays.
    [[nodiscard]] std::vector<wire::QuarantineRecord> records() const;
    /// @return the requests whose suspicion has not timed out.
    [[nodiscard]] std::vector<Fingerprint> suspects() const;
    /// @return the number of suspects held, including timed-out ones that were not evicted yet.
    [[nodiscard]] std::size_t suspectCount() const { return suspects_.size(); }
    /// @return the number of requests whose term has not ended.
    [[nodiscard]] std::size_t quarantinedCount() const;

private:
    struct Record {
        std::uint32_t version = 0;  ///< Incremented by each change at any relay.
        bool is_released = false;   ///< Cleared before the end of its term.
        TimePoint until{};          ///< End of the term. A released record is kept too, to override older versions.
    };
    void updateRecord(Fingerprint fingerprint, bool is_released);
    void release(Fingerprint fingerprint);
    void evictStale();

    Clock& clock_;
    QuarantineKnobs knobs_;
    std::map<Fingerprint, TimePoint> suspects_;  ///< With the time at which suspicion times out.
    std::map<Fingerprint, Record> records_;
    RecentCompletions recent_completions_;
};

}  // namespace dewcrank::quarantine
