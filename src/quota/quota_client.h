/// @file
/// Gets the tokens that requests of tenants need, from the owners of the shards.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "src/base/http_message.h"
#include "src/base/disabled_mechanisms.h"
#include "src/fleet/node_directory.h"
#include "src/policy/route_table.h"
#include "src/ports/http_transport.h"
#include "src/ports/clock.h"
#include "src/ports/event_log.h"
#include "src/ports/random_source.h"
#include "src/quota/shard_keeper.h"

namespace dewcrank::quota {

/// Path of questions at a node's address.
inline constexpr std::string_view kQuotaPath = "/fleet/quota";

/// Constants of the asking.
struct QuotaClientKnobs {
    Duration ask_timeout = 150ms;  ///< An owner that has not answered by then is left alone for a time.
    Duration unavailable = 500ms;  ///< That time.
    /// Owners that one request asks at most. At 0.62 of its limit a tenant finds nothing at one in ten of its shards.
    std::uint32_t most_asks = 3;
    /// Tokens that were not spent go back with the next question to their owner, or after this.
    Duration return_after = 100ms;
    /// When a caller beyond its tenant's limit may come back, at the least.
    Duration least_retry_after = 1s;
    DisabledMechanisms disabled;  ///< Tests only.
};

/// Says which owner's term a token is of.
struct Token {
    std::uint32_t shard = 0;
    std::uint64_t term = 0;
};

/// What became of a request for a token.
enum class TokenAnswer {
    kGranted,
    kBeyond,   ///< The tenant is at its limit.
    kUnknown,  ///< No owner could be asked.
};
struct TokenResult {
    TokenAnswer response = TokenAnswer::kUnknown;
    Token token;             ///< If granted.
    Duration retry_after{};  ///< If beyond.
};

/// Counts since the start.
struct QuotaTotals {
    std::uint64_t granted = 0;   ///< To requests of this node.
    std::uint64_t beyond = 0;    ///< Requests of this node that were beyond their tenants' limits.
    std::uint64_t unknown = 0;   ///< Requests of this node for which no owner could be asked.
    std::uint64_t returned = 0;  ///< Tokens that were not spent.
    std::uint64_t asks = 0;      ///< Questions sent to other nodes.
    std::uint64_t lent = 0;      ///< Tokens handed out to other nodes.
};

/// One question to each owner is under way at a time: what comes meanwhile goes with the next one.
class QuotaClient {
public:
    using Number = std::uint64_t;
    using Callback = std::function<void(const TokenResult&)>;

    QuotaClient(Clock& clock, RandomSource& random, EventLog& log, HttpTransport& nodes,
                const fleet::NodeDirectory& directory, const policy::RouteTable& table, ShardKeeper& keeper,
                QuotaClientKnobs knobs);

    /// Calls back once, at once or later. @return a number for `cancel`; 0 if it has called back.
    Number take(const wire::Tenant& tenant, Callback callback);
    void cancel(Number number);
    /// The request for which it was granted has not run.
    void giveBack(const std::string& tenant, const Token& token);
    /// Answers another node's question.
    HttpResponse handle(const HttpRequest& request);
    [[nodiscard]] const QuotaTotals& totals() const { return totals_; }

private:
    struct Waiter {
        std::string tenant;
        Callback callback;
        std::uint32_t open = 0;  ///< Shards of the tenant that were not asked yet, a bit each.
        std::uint32_t asks = 0;
        bool was_denied = false;
    };
    struct Tenant {
        std::array<TimePoint, kShards> denied_until{};
    };
    using Waiting = std::map<std::string, std::vector<Number>>;  ///< By tenant, in order of arrival.
    struct Shard {
        Waiting queued;
        Waiting asked;  ///< With the question that is under way.
        bool is_asking = false;
        AttemptHandle attempt;
        TimerHandle local;
        TimePoint unavailable_until{};
        std::uint64_t term = 0;  ///< Of the tokens to give back.
        std::map<std::string, std::uint32_t> to_return;
    };
    [[nodiscard]] const wire::NodeRecord* ownerOf(std::uint32_t shard) const;
    [[nodiscard]] std::vector<std::uint32_t> preference(std::uint32_t shards);
    void takeOver(std::uint32_t shard, const std::string& former);
    void queue(Number number);
    void ask(std::uint32_t shard);
    void send(std::uint32_t shard, const wire::NodeRecord& owner, const wire::QuotaAsk& question);
    [[nodiscard]] wire::QuotaAsk questionTo(std::uint32_t shard);
    wire::QuotaGrant grant(const wire::QuotaAsk& question);
    void onAnswer(std::uint32_t shard, const wire::QuotaGrant* response);
    void onLine(std::uint32_t shard, std::uint64_t term, const wire::QuotaGrant::Line& line,
                std::vector<Number>* numbers);
    void end(Number number, const TokenResult& result);
    void giveUp(Number number);

    Clock& clock_;
    RandomSource& random_;
    EventLog& log_;
    HttpTransport& nodes_;
    const fleet::NodeDirectory& directory_;
    const policy::RouteTable& table_;
    ShardKeeper& keeper_;
    QuotaClientKnobs knobs_;
    std::array<Shard, kShards> shards_;
    std::map<std::string, Tenant> tenants_;
    TimerHandle return_timer_;
    std::map<std::uint32_t, AttemptHandle> takeovers_;  ///< By shard.
    Number last_number_ = 0;
    std::map<Number, Waiter> waiters_;  ///< Those that are called back later.
    QuotaTotals totals_;
};

}  // namespace dewcrank::quota
