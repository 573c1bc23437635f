#include "src/quota/quota_client.h"

#include <algorithm>
#include <utility>

#include "src/base/http_status.h"

namespace dewcrank::quota {

namespace {

/// Wait reported for a tenant that is missing from the owner's table, which may be of another version.
constexpr std::uint32_t kUnknownTenantRetryMs = 200;

}  // namespace

QuotaClient::QuotaClient(Clock& clock, RandomSource& random, EventLog& log, HttpTransport& nodes,
                         const fleet::NodeDirectory& directory, const policy::RouteTable& table,
                         ShardLeaseManager& lease_manager, QuotaClientKnobs knobs, const OverloadFeatures& features)
    : clock_(clock),
      random_(random),
      log_(log),
      nodes_(nodes),
      directory_(directory),
      table_(table),
      lease_manager_(lease_manager),
      knobs_(knobs),
      features_(features) {
    lease_manager_.signalTakeover().connect(
        [this](std::uint32_t shard, const std::string& previous_owner) { requestTakeover(shard, previous_owner); });
}

QuotaClient::RequestId QuotaClient::take(const wire::Tenant& tenant, Callback callback) {
    const auto id = ++last_id_;
    auto& pending = pending_[id];
    pending.tenant = tenant.name();
    pending.callback = std::move(callback);
    for (std::uint32_t shard = 0; shard < kShardCount; ++shard) {
        pending.untried_shards |= isShardOf(tenant, shard) ? 1U << shard : 0;
    }
    enqueue(id);
    return pending_.contains(id) ? id : 0;
}

void QuotaClient::cancel(RequestId id) {
    pending_.erase(id);
}

/// Queued tokens of another term are discarded, as the owner would not accept them.
void QuotaClient::returnToken(const std::string& tenant, const Token& token) {
    ++totals_.returned;
    auto& shard = shards_[token.shard];
    if (shard.term != token.term) {
        shard.to_return.clear();
        shard.term = token.term;
    }
    ++shard.to_return[tenant];
    if (!return_timer_) {
        return_timer_ = clock_.startTimer(knobs_.return_delay, [this] {
            return_timer_.reset();
            for (std::uint32_t shard_index = 0; shard_index < kShardCount; ++shard_index) {
                sendQueued(shard_index);
            }
        });
    }
}

const wire::NodeRecord* QuotaClient::ownerOf(std::uint32_t shard) const {
    const auto owns = [shard](const wire::NodeRecord& record) {
        const auto& shards = record.quota_shards();
        return std::find(shards.begin(), shards.end(), shard) != shards.end();
    };
    if (owns(directory_.self())) {
        return &directory_.self();
    }
    for (const auto* node : directory_.shardOwners()) {
        if (owns(node->record) && fleet::NodeDirectory::isReachable(*node)) {
            return &node->record;
        }
    }
    return nullptr;
}

/// Shards in random order, those with owners in this zone first: traffic between zones has a cost and a higher latency.
std::vector<std::uint32_t> QuotaClient::shardOrder(std::uint32_t shards) {
    std::vector<std::uint32_t> order;
    const auto first = static_cast<std::uint32_t>(random_.below(kShardCount));
    for (std::uint32_t step = 0; step < kShardCount; ++step) {
        const auto shard = (first + step) % kShardCount;
        if ((shards & (1U << shard)) != 0) {
            order.push_back(shard);
        }
    }
    const auto& zone = directory_.self().zone();
    std::stable_partition(order.begin(), order.end(), [&](std::uint32_t shard) {
        const auto* owner = ownerOf(shard);
        return owner != nullptr && owner->zone() == zone;
    });
    return order;
}

void QuotaClient::enqueue(RequestId id) {
    auto& pending = pending_.at(id);
    const auto now = clock_.now();
    const auto& tenant = tenants_[pending.tenant];
    if (pending.owners_tried < knobs_.max_owners) {
        for (const auto shard_index : shardOrder(pending.untried_shards)) {
            auto& shard = shards_[shard_index];
            const bool is_available = shard.unavailable_until <= now && tenant.denied_until[shard_index] <= now;
            if (!is_available || ownerOf(shard_index) == nullptr) {
                continue;
            }
            pending.untried_shards &= ~(1U << shard_index);
            ++pending.owners_tried;
            shard.queued[pending.tenant].push_back(id);
            sendQueued(shard_index);
            return;
        }
    }
    fail(id);
}

void QuotaClient::fail(RequestId id) {
    const auto& pending = pending_.at(id);
    const auto now = clock_.now();
    const auto& denied = tenants_[pending.tenant].denied_until;
    const bool is_denied =
        pending.was_denied || std::any_of(denied.begin(), denied.end(), [now](TimePoint until) { return until > now; });
    TokenResult result;
    result.outcome = is_denied ? TokenOutcome::kOverLimit : TokenOutcome::kNoOwner;
    result.retry_after = knobs_.min_retry_after;
    ++(is_denied ? totals_.denied : totals_.no_owner);
    complete(id, result);
}

void QuotaClient::complete(RequestId id, const TokenResult& result) {
    auto ended = pending_.extract(id);
    if (!ended.empty()) {
        ended.mapped().callback(result);
    }
}

std::optional<FleetRate> QuotaClient::fleetRate(const wire::Tenant& tenant) const {
    return fleet_rates_.rateOf(clock_.now(), tenant, [this](std::uint32_t shard) { return ownerOf(shard) != nullptr; });
}

// Requests ------------------------------------------------------------------

wire::QuotaAsk QuotaClient::makeRequest(std::uint32_t shard_index) {
    auto& shard = shards_[shard_index];
    wire::QuotaAsk quota_request;
    quota_request.set_sender(directory_.self().name());
    quota_request.set_shard(shard_index);
    quota_request.set_term(shard.term);
    for (auto& [tenant, ids] : shard.queued) {
        std::erase_if(ids, [this](RequestId id) { return !pending_.contains(id); });
        auto* line = quota_request.add_lines();
        line->set_tenant(tenant);
        line->set_wanted(static_cast<std::uint32_t>(ids.size()));
        if (const auto returned = shard.to_return.extract(tenant); !returned.empty()) {
            line->set_returned(returned.mapped());
        }
    }
    for (const auto& [tenant, count] : shard.to_return) {
        auto* line = quota_request.add_lines();
        line->set_tenant(tenant);
        line->set_returned(count);
    }
    shard.to_return.clear();
    return quota_request;
}

void QuotaClient::sendQueued(std::uint32_t shard_index) {
    auto& shard = shards_[shard_index];
    if (shard.is_request_in_flight || (shard.queued.empty() && shard.to_return.empty())) {
        return;
    }
    const auto* owner = ownerOf(shard_index);
    if (owner == nullptr && shard.queued.empty()) {
        shard.to_return.clear();
        return;
    }
    if (owner == nullptr) {
        shard.in_flight = std::exchange(shard.queued, {});
        shard.is_request_in_flight = true;
        shard.local_timer =
            clock_.startTimer(Duration::zero(), [this, shard_index] { onResponse(shard_index, nullptr); });
        return;
    }
    const auto quota_request = makeRequest(shard_index);
    shard.in_flight = std::exchange(shard.queued, {});
    shard.is_request_in_flight = true;
    if (owner == &directory_.self()) {
        shard.local_timer = clock_.startTimer(Duration::zero(), [this, shard_index, quota_request] {
            const auto response = grantTokens(quota_request);
            onResponse(shard_index, &response);
        });
        return;
    }
    ++totals_.requests_sent;
    sendToOwner(shard_index, *owner, quota_request);
}

void QuotaClient::sendToOwner(std::uint32_t shard_index, const wire::NodeRecord& owner,
                              const wire::QuotaAsk& quota_request) {
    HttpRequest request;
    request.method = "POST";
    request.path = std::string(kQuotaPath);
    request.body = quota_request.SerializeAsString();
    shards_[shard_index].attempt = nodes_.send(
        owner.address(), std::move(request), knobs_.request_timeout, [this, shard_index](const AttemptResult& result) {
            const auto ended = std::exchange(shards_[shard_index].attempt, nullptr);
            wire::QuotaGrant response;
            const bool has_response = result.outcome == AttemptOutcome::kResponded &&
                                      result.response.status == kHttpOk &&
                                      response.ParseFromString(result.response.body);
            onResponse(shard_index, has_response ? &response : nullptr);
        });
}

/// A node that does not own the shard, or does not respond, gets no requests for owner_backoff.
void QuotaClient::onResponse(std::uint32_t shard_index, const wire::QuotaGrant* response) {
    auto& shard = shards_[shard_index];
    shard.is_request_in_flight = false;
    auto in_flight = std::exchange(shard.in_flight, {});
    const bool is_owner = response != nullptr && response->is_owner();
    if (is_owner) {
        for (const auto& line : response->lines()) {
            if (const auto found = in_flight.find(line.tenant()); found != in_flight.end()) {
                onGrant(shard_index, response->term(), line, &found->second);
            }
        }
    } else {
        shard.unavailable_until = clock_.now() + knobs_.owner_backoff;
        log_.write(Event("quota_owner_unavailable")
                       .with("shard", shard_index)
                       .with("reason", response == nullptr ? "no-answer" : "not-the-owner"));
    }
    for (const auto& [tenant, ids] : in_flight) {
        for (const auto id : ids) {
            if (pending_.contains(id)) {
                enqueue(id);
            }
        }
    }
    sendQueued(shard_index);
}

/// Distributes the tokens granted to one tenant. @param ids its requests, in order of arrival.
void QuotaClient::onGrant(std::uint32_t shard_index, std::uint64_t term, const wire::QuotaGrant::Line& line,
                          std::vector<RequestId>* ids) {
    if (features_.fair_shares) {
        fleet_rates_.onReport(clock_.now(), shard_index, line.tenant(), line.asked_per_s());
    }
    TokenResult result;
    result.outcome = TokenOutcome::kGranted;
    result.token = {shard_index, term};
    auto left = line.granted();
    for (const auto id : *ids) {
        if (left == 0) {
            break;
        }
        if (pending_.contains(id)) {
            --left;
            ++totals_.granted;
            complete(id, result);
        }
    }
    for (; left > 0; --left) {
        returnToken(line.tenant(), result.token);  // The request for this token was cancelled meanwhile.
    }
    if (line.next_ms() > 0) {
        tenants_[line.tenant()].denied_until[shard_index] = clock_.now() + std::chrono::milliseconds(line.next_ms());
        for (const auto id : *ids) {
            if (const auto pending = pending_.find(id); pending != pending_.end()) {
                pending->second.was_denied = true;
            }
        }
    }
}

// Grants --------------------------------------------------------------------

/// Requests that the previous owner of a shard stops granting. If that node does not respond, its lease has to expire.
void QuotaClient::requestTakeover(std::uint32_t shard_index, const std::string& previous_owner) {
    const auto* node = directory_.find(previous_owner);
    if (node == nullptr || !fleet::NodeDirectory::isReachable(*node)) {
        return;
    }
    wire::QuotaAsk quota_request;
    quota_request.set_sender(directory_.self().name());
    quota_request.set_shard(shard_index);
    quota_request.set_takes_over(true);
    HttpRequest request;
    request.method = "POST";
    request.path = std::string(kQuotaPath);
    request.body = quota_request.SerializeAsString();
    takeovers_[shard_index] = nodes_.send(
        node->record.address(), std::move(request), knobs_.request_timeout,
        [this, shard_index](const AttemptResult& result) {
            const auto ended = takeovers_.extract(shard_index);
            wire::QuotaGrant response;
            if (result.outcome == AttemptOutcome::kResponded && result.response.status == kHttpOk &&
                response.ParseFromString(result.response.body)) {
                lease_manager_.onPreviousOwnerStopped(shard_index, response.sender(), response.incarnation());
            }
        });
}

wire::QuotaGrant QuotaClient::grantTokens(const wire::QuotaAsk& quota_request) {
    wire::QuotaGrant response;
    response.set_sender(directory_.self().name());
    response.set_incarnation(directory_.self().incarnation());
    if (quota_request.takes_over()) {
        lease_manager_.relinquish(quota_request.shard());
        return response;
    }
    auto* shard = lease_manager_.grantableShard(quota_request.shard());
    if (shard == nullptr) {
        return response;
    }
    response.set_is_owner(true);
    response.set_term(lease_manager_.termOf(quota_request.shard()));
    const bool is_same_term = quota_request.term() == response.term();
    for (const auto& line : quota_request.lines()) {
        const auto* tenant = table_.tenantNamed(line.tenant());
        auto* granted = response.add_lines();
        if (knobs_.disabled.quota_limit) {
            granted->set_tenant(line.tenant());
            granted->set_granted(line.wanted());
        } else if (tenant == nullptr) {
            granted->set_tenant(line.tenant());
            granted->set_next_ms(kUnknownTenantRetryMs);
        } else {
            *granted = shard->grant(clock_.now(), *tenant, line.wanted(), is_same_term ? line.returned() : 0);
            if (features_.fair_shares) {
                granted->set_asked_per_s(shard->asked().perSecond(clock_.now(), line.tenant()));
            }
        }
    }
    return response;
}

HttpResponse QuotaClient::handle(const HttpRequest& request) {
    HttpResponse response;
    wire::QuotaAsk quota_request;
    if (!quota_request.ParseFromString(request.body) || quota_request.shard() >= kShardCount) {
        log_.write(Event("quota_question_refused").with("step", "parse").with("bytes", request.body.size()));
        response.status = kHttpBadRequest;
        return response;
    }
    const auto granted = grantTokens(quota_request);
    for (const auto& line : granted.lines()) {
        totals_.granted_to_peers += line.granted();
    }
    response.status = kHttpOk;
    response.body = granted.SerializeAsString();
    return response;
}

}  // namespace dewcrank::quota
