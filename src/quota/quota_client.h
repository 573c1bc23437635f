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
#include "src/base/weakening.h"
#include "src/fleet/node_directory.h"
#include "src/policy/route_table.h"
#include "src/ports/back_end_port.h"
#include "src/ports/clock.h"
#include "src/ports/event_log.h"
#include "src/ports/random_source.h"
#include "src/quota/shard_lease_manager.h"

namespace dewcrank::quota {

/// Path of questions at a node's address.
inline constexpr std::string_view kQuotaPath = "/fleet/quota";

/// Constants of the asking.
struct QuotaClientKnobs {
    Duration request_timeout = 150ms;  ///< An owner that has not answered by then is left alone for a time.
    Duration owner_backoff = 500ms;    ///< That time.
    /// Owners that one request asks at most. At 0.62 of its limit a tenant finds nothing at one in ten of its shards.
    std::uint32_t max_owners = 3;
    /// Tokens that were not spent go back with the next question to their owner, or after this.
    Duration return_delay = 100ms;
    /// When a caller beyond its tenant's limit may come back, at the least.
    Duration min_retry_after = 1s;
    Weakening weakening;  ///< Tests only.
};

/// Says which owner's term a token is of.
struct Token {
    std::uint32_t shard = 0;
    std::uint64_t term = 0;
};

/// What became of a request for a token.
enum class TokenOutcome {
    kGranted,
    kOverLimit,  ///< The tenant is at its limit.
    kNoOwner,    ///< No owner could be asked.
};
struct TokenResult {
    TokenOutcome outcome = TokenOutcome::kNoOwner;
    Token token;             ///< If granted.
    Duration retry_after{};  ///< If beyond.
};

/// Counts since the start.
struct QuotaTotals {
    std::uint64_t granted = 0;           ///< To requests of this node.
    std::uint64_t denied = 0;            ///< Requests of this node that were beyond their tenants' limits.
    std::uint64_t no_owner = 0;          ///< Requests of this node for which no owner could be asked.
    std::uint64_t returned = 0;          ///< Tokens that were not spent.
    std::uint64_t requests_sent = 0;     ///< Questions sent to other nodes.
    std::uint64_t granted_to_peers = 0;  ///< Tokens handed out to other nodes.
};

/// One question to each owner is under way at a time: what comes meanwhile goes with the next one.
class QuotaClient {
public:
    using RequestId = std::uint64_t;
    using Callback = std::function<void(const TokenResult&)>;

    QuotaClient(Clock& clock, RandomSource& random, EventLog& log, BackEndPort& nodes,
                const fleet::NodeDirectory& directory, const policy::RouteTable& table,
                ShardLeaseManager& lease_manager, QuotaClientKnobs knobs);

    /// Calls back once, at once or later. @return a number for `cancel`; 0 if it has called back.
    RequestId take(const wire::Tenant& tenant, Callback callback);
    void cancel(RequestId id);
    /// The request for which it was granted has not run.
    void returnToken(const std::string& tenant, const Token& token);
    /// Answers another node's question.
    HttpAnswer handle(const HttpRequest& request);
    [[nodiscard]] const QuotaTotals& totals() const { return totals_; }

private:
    struct PendingRequest {
        std::string tenant;
        Callback callback;
        std::uint32_t untried_shards = 0;  ///< Shards of the tenant that were not asked yet, a bit each.
        std::uint32_t owners_asked = 0;
        bool was_denied = false;
    };
    struct Tenant {
        std::array<TimePoint, kShardCount> denied_until{};
    };
    using IdsByTenant = std::map<std::string, std::vector<RequestId>>;  ///< By tenant, in order of arrival.
    struct Shard {
        IdsByTenant queued;
        IdsByTenant in_flight;  ///< With the question that is under way.
        bool is_request_in_flight = false;
        AttemptHandle attempt;
        TimerHandle local_timer;
        TimePoint unavailable_until{};
        std::uint64_t term = 0;  ///< Of the tokens to give back.
        std::map<std::string, std::uint32_t> to_return;
    };
    [[nodiscard]] const wire::NodeRecord* ownerOf(std::uint32_t shard) const;
    [[nodiscard]] std::vector<std::uint32_t> shardOrder(std::uint32_t shards);
    void requestTakeover(std::uint32_t shard, const std::string& previous_owner);
    void enqueue(RequestId id);
    void sendQueued(std::uint32_t shard);
    void sendToOwner(std::uint32_t shard, const wire::NodeRecord& owner, const wire::QuotaAsk& quota_request);
    [[nodiscard]] wire::QuotaAsk makeRequest(std::uint32_t shard);
    wire::QuotaGrant grantTokens(const wire::QuotaAsk& quota_request);
    void onResponse(std::uint32_t shard, const wire::QuotaGrant* response);
    void onGrant(std::uint32_t shard, std::uint64_t term, const wire::QuotaGrant::Line& line,
                 std::vector<RequestId>* ids);
    void complete(RequestId id, const TokenResult& result);
    void fail(RequestId id);

    Clock& clock_;
    RandomSource& random_;
    EventLog& log_;
    BackEndPort& nodes_;
    const fleet::NodeDirectory& directory_;
    const policy::RouteTable& table_;
    ShardLeaseManager& lease_manager_;
    QuotaClientKnobs knobs_;
    std::array<Shard, kShardCount> shards_;
    std::map<std::string, Tenant> tenants_;
    TimerHandle return_timer_;
    std::map<std::uint32_t, AttemptHandle> takeovers_;  ///< By shard.
    RequestId last_id_ = 0;
    std::map<RequestId, PendingRequest> pending_;  ///< Those that are called back later.
    QuotaTotals totals_;
};

}  // namespace dewcrank::quota
