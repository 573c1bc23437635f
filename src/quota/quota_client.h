/// @file
/// Acquires quota tokens for the requests of tenants from the owners of the quota shards.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "src/base/disabled_mechanisms.h"
#include "src/base/http_message.h"
#include "src/base/overload_features.h"
#include "src/fleet/node_directory.h"
#include "src/policy/route_table.h"
#include "src/ports/clock.h"
#include "src/ports/event_log.h"
#include "src/ports/http_transport.h"
#include "src/ports/random_source.h"
#include "src/quota/fleet_rates.h"
#include "src/quota/shard_lease_manager.h"

namespace dewcrank::quota {

/// Path at a node's address that receives `wire::QuotaAsk` messages.
inline constexpr std::string_view kQuotaPath = "/fleet/quota";

struct QuotaClientKnobs {
    Duration request_timeout = 150ms;  ///< Timeout of a token request to an owner.
    Duration owner_backoff = 500ms;    ///< No requests to a shard for this long after one to its owner has failed.
    /// Maximum number of shard owners tried per request. One shard may be empty while the tenant is below its limit: at
    /// 0.62 of its limit, one in ten of its shards is.
    std::uint32_t max_owners = 3;
    Duration return_delay = 100ms;  ///< Unused tokens are returned with the next token request, or after this.
    Duration min_retry_after = 1s;  ///< Retry-After of the rejection of a request over its tenant's limit.
    DisabledMechanisms disabled;    ///< Tests only.
};

/// Origin of a granted token; needed to return it.
struct Token {
    std::uint32_t shard = 0;
    std::uint64_t term = 0;  ///< Of the owner that granted it.
};

/// Result of a token request.
enum class TokenOutcome {
    kGranted,
    kOverLimit,  ///< The tenant has used up its limit.
    kNoOwner,    ///< No shard owner could be reached.
};
struct TokenResult {
    TokenOutcome outcome = TokenOutcome::kNoOwner;
    Token token;             ///< Set if granted.
    Duration retry_after{};  ///< Set if over the limit.
};

/// Counters since the start of the process.
struct QuotaTotals {
    std::uint64_t granted = 0;           ///< Tokens granted to requests of this node.
    std::uint64_t denied = 0;            ///< Requests of this node over their tenants' limits.
    std::uint64_t no_owner = 0;          ///< Requests of this node for which no shard owner could be reached.
    std::uint64_t returned = 0;          ///< Unused tokens returned.
    std::uint64_t requests_sent = 0;     ///< Token requests sent to other nodes.
    std::uint64_t granted_to_peers = 0;  ///< Tokens granted to other nodes.
};

/// Token client of one node, and the endpoint that grants the tokens of its own shards. At most one request per shard
/// is in flight; tokens that are needed meanwhile are requested together by the next one.
///
/// Log events:
///   quota_owner_unavailable   an owner has not responded (`no-answer`) or is not the owner (`not-the-owner`)
///   quota_question_refused    a received request could not be parsed or names no shard
class QuotaClient {
public:
    using RequestId = std::uint64_t;
    using Callback = std::function<void(const TokenResult&)>;

    QuotaClient(Clock& clock, RandomSource& random, EventLog& log, HttpTransport& nodes,
                const fleet::NodeDirectory& directory, const policy::RouteTable& table,
                ShardLeaseManager& lease_manager, QuotaClientKnobs knobs, const OverloadFeatures& features = {});

    /// Requests one token. `callback` is called once, possibly before this returns.
    /// @return an id for `cancel`; 0 if the callback has been called.
    RequestId take(const wire::Tenant& tenant, Callback callback);
    /// Withdraws a request: its callback will not be called.
    void cancel(RequestId id);
    /// Returns the token of a request that was not run.
    void returnToken(const std::string& tenant, const Token& token);
    /// Serves another node's token request. @return 200 with a `wire::QuotaGrant` body, or 400 if invalid.
    HttpResponse handle(const HttpRequest& request);
    [[nodiscard]] const QuotaTotals& totals() const { return totals_; }
    /// @return the rate of a tenant's requests at all nodes; nothing if no owner has reported it lately.
    [[nodiscard]] std::optional<FleetRate> fleetRate(const wire::Tenant& tenant) const;

private:
    struct PendingRequest {
        std::string tenant;
        Callback callback;
        std::uint32_t untried_shards = 0;  ///< Bit set of the tenant's shards.
        std::uint32_t owners_tried = 0;
        bool was_denied = false;  ///< A shard had no token.
    };
    struct Tenant {
        std::array<TimePoint, kShardCount> denied_until{};  ///< By shard: when it expects a token again.
    };
    using IdsByTenant = std::map<std::string, std::vector<RequestId>>;  ///< By tenant, in order of arrival.
    struct Shard {
        IdsByTenant queued;
        IdsByTenant in_flight;  ///< Covered by the request in flight.
        bool is_request_in_flight = false;
        AttemptHandle attempt;
        TimerHandle local_timer;  ///< Completes a request to this node itself.
        TimePoint unavailable_until{};
        std::uint64_t term = 0;                          ///< Of the tokens in `to_return`.
        std::map<std::string, std::uint32_t> to_return;  ///< Unused tokens by tenant.
    };
    [[nodiscard]] const wire::NodeRecord* ownerOf(std::uint32_t shard) const;
    [[nodiscard]] std::vector<std::uint32_t> shardOrder(std::uint32_t shards);
    void requestTakeover(std::uint32_t shard_index, const std::string& previous_owner);
    void enqueue(RequestId id);
    void sendQueued(std::uint32_t shard_index);
    void sendToOwner(std::uint32_t shard_index, const wire::NodeRecord& owner, const wire::QuotaAsk& quota_request);
    [[nodiscard]] wire::QuotaAsk makeRequest(std::uint32_t shard_index);
    wire::QuotaGrant grantTokens(const wire::QuotaAsk& quota_request);
    void onResponse(std::uint32_t shard_index, const wire::QuotaGrant* response);
    void onGrant(std::uint32_t shard_index, std::uint64_t term, const wire::QuotaGrant::Line& line,
                 std::vector<RequestId>* ids);
    void complete(RequestId id, const TokenResult& result);
    void fail(RequestId id);

    Clock& clock_;
    RandomSource& random_;
    EventLog& log_;
    HttpTransport& nodes_;
    const fleet::NodeDirectory& directory_;
    const policy::RouteTable& table_;
    ShardLeaseManager& lease_manager_;
    QuotaClientKnobs knobs_;
    OverloadFeatures features_;
    FleetRates fleet_rates_;
    std::array<Shard, kShardCount> shards_;
    std::map<std::string, Tenant> tenants_;
    TimerHandle return_timer_;
    std::map<std::uint32_t, AttemptHandle> takeovers_;  ///< Stop requests to previous owners, by shard.
    RequestId last_id_ = 0;
    std::map<RequestId, PendingRequest> pending_;  ///< Requests without a result yet.
    QuotaTotals totals_;
};

}  // namespace dewcrank::quota
