/// @file
/// Which requests may be to blame for the end of instances, and which are kept from them (the query of
/// death of the field). A request is known by its fingerprint, so that it is recognized under a new id, from
/// another caller's try and at another node.
///
///   clear -> suspect:        it ran when an instance ended
///   suspect -> quarantined:  it was the one suspect that ran at an instance, and that ended as well
///   suspect -> clear:        it ended well, or nobody asked for it for a while
///   quarantined -> suspect:  its term is over: a new release may run it well
///   quarantined -> clear:    it has ended well at another relay meanwhile
///
/// As relays let one suspect run at a time, one end of an instance quarantines one request at most, whatever
/// else ran there: a crash for other reasons costs others nothing but the wait for their turn.
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
    /// A suspect that is not asked for again is forgotten after this: longer than callers go on trying.
    Duration suspicion_timeout = 60s;
    /// A term of quarantine; the next one of the same request is as much longer. A request that always ends
    /// its instance ends one of each service in ten minutes then, and less and less.
    Duration initial_term = std::chrono::minutes(10);
    Duration max_term = std::chrono::hours(24);
    /// Bounds of memory: the oldest suspects, and the records with least of their term left, go first. An
    /// instance of 200 slots leaves 200 suspects; 4,096 take about 0.3 MB.
    std::size_t max_suspects = 4096;
    std::size_t max_records = 256;
    RecentCompletionKnobs recent_completions;
};

/// How a relay treats a request.
enum class QuarantineState {
    kClear,
    kSuspect,      ///< Runs only while no other suspect does.
    kQuarantined,  ///< Does not run.
};

/// Aggregate: the standing of the requests of one service, as one relay knows it. Records converge over
/// relays whatever the order in which they are told: the greater version stays.
class Quarantine {
public:
    Quarantine(Clock& clock, QuarantineKnobs knobs);

    [[nodiscard]] QuarantineState state(Fingerprint fingerprint) const;
    /// How much longer it is quarantined; zero if it is not.
    [[nodiscard]] Duration remainingTerm(Fingerprint fingerprint) const;

    /// It ran when an instance ended, here or at another relay. What has ended well here lately is not
    /// suspected: requests that are asked for often run at every crash, whatever the cause.
    /// @return false if it is not suspected.
    bool markSuspect(Fingerprint fingerprint);
    /// It was the one suspect that ran when an instance ended.
    void markQuarantined(Fingerprint fingerprint);
    /// It was answered by an instance, which goes on.
    void onCompleted(Fingerprint fingerprint);
    /// The same at another relay.
    void onCompletedElsewhere(Fingerprint fingerprint);
    [[nodiscard]] bool hasRecentlyCompleted(Fingerprint fingerprint) const;

    /// Takes over what another relay knows. @return true if it was news.
    bool merge(const wire::QuarantineRecord& record);
    [[nodiscard]] std::vector<wire::QuarantineRecord> records() const;
    [[nodiscard]] std::vector<Fingerprint> suspects() const;
    [[nodiscard]] std::size_t suspectCount() const { return suspects_.size(); }
    /// Requests that are quarantined now.
    [[nodiscard]] std::size_t quarantinedCount() const;

private:
    struct Record {
        std::uint32_t version = 0;  ///< Rises with each change, over all relays.
        bool is_released = false;
        TimePoint until{};  ///< End of the term, of a release as well: so long it holds against older news.
    };
    void updateRecord(Fingerprint fingerprint, bool is_released);
    void release(Fingerprint fingerprint);
    void evictStale();

    Clock& clock_;
    QuarantineKnobs knobs_;
    std::map<Fingerprint, TimePoint> suspects_;  ///< With the time from which on each is forgotten.
    std::map<Fingerprint, Record> records_;
    RecentCompletions recent_completions_;
};

}  // namespace dewcrank::quarantine
