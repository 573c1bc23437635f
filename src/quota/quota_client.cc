#include "src/quota/quota_client.h"

#include <algorithm>
#include <utility>

#include "src/base/http_status.h"

namespace dewcrank::quota {

namespace {

/// A tenant that the owner's table does not have yet, or any more, is asked for again after this.
constexpr std::uint32_t kUnknownTenantMs = 200;

}  // namespace

QuotaClient::QuotaClient(Clock& clock, RandomSource& random, EventLog& log, HttpTransport& nodes,
                         const fleet::NodeDirectory& directory, const policy::RouteTable& table, ShardKeeper& keeper,
                         QuotaClientKnobs knobs)
    : clock_(clock),
      random_(random),
      log_(log),
      nodes_(nodes),
      directory_(directory),
      table_(table),
      keeper_(keeper),
      knobs_(knobs) {
    keeper_.signalTakenOver().connect(
        [this](std::uint32_t shard, const std::string& former) { takeOver(shard, former); });
}

QuotaClient::Number QuotaClient::take(const wire::Tenant& tenant, Callback callback) {
    const auto number = ++last_number_;
    auto& waiter = waiters_[number];
    waiter.tenant = tenant.name();
    waiter.callback = std::move(callback);
    for (std::uint32_t shard = 0; shard < kShards; ++shard) {
        waiter.open |= isShardOf(tenant, shard) ? 1U << shard : 0;
    }
    queue(number);
    return waiters_.contains(number) ? number : 0;
}

void QuotaClient::cancel(Number number) {
    waiters_.erase(number);
}

/// To its owner, unless that has another term by now.
void QuotaClient::giveBack(const std::string& tenant, const Token& token) {
    ++totals_.returned;
    auto& shard = shards_[token.shard];
    if (shard.term != token.term) {
        shard.to_return.clear();
        shard.term = token.term;
    }
    ++shard.to_return[tenant];
    if (!return_timer_) {
        return_timer_ = clock_.startTimer(knobs_.return_after, [this] {
            return_timer_.reset();
            for (std::uint32_t place = 0; place < kShards; ++place) {
                ask(place);
            }
        });
    }
}

const wire::NodeRecord* QuotaClient::ownerOf(std::uint32_t shard) const {
    const auto names = [shard](const wire::NodeRecord& record) {
        const auto& shards = record.quota_shards();
        return std::find(shards.begin(), shards.end(), shard) != shards.end();
    };
    if (names(directory_.self())) {
        return &directory_.self();
    }
    for (const auto* node : directory_.shardOwners()) {
        if (names(node->record) && fleet::NodeDirectory::isReachable(*node)) {
            return &node->record;
        }
    }
    return nullptr;
}

/// Owners of this zone first: bytes between zones cost, and an answer from there takes longer.
std::vector<std::uint32_t> QuotaClient::preference(std::uint32_t shards) {
    std::vector<std::uint32_t> order;
    const auto first = static_cast<std::uint32_t>(random_.below(kShards));
    for (std::uint32_t step = 0; step < kShards; ++step) {
        const auto shard = (first + step) % kShards;
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

void QuotaClient::queue(Number number) {
    auto& waiter = waiters_.at(number);
    const auto now = clock_.now();
    const auto& tenant = tenants_[waiter.tenant];
    if (waiter.asks < knobs_.most_asks) {
        for (const auto place : preference(waiter.open)) {
            auto& shard = shards_[place];
            const bool is_open = shard.unavailable_until <= now && tenant.denied_until[place] <= now;
            if (!is_open || ownerOf(place) == nullptr) {
                continue;
            }
            waiter.open &= ~(1U << place);
            ++waiter.asks;
            shard.queued[waiter.tenant].push_back(number);
            ask(place);
            return;
        }
    }
    giveUp(number);
}

void QuotaClient::giveUp(Number number) {
    const auto& waiter = waiters_.at(number);
    const auto now = clock_.now();
    const auto& denied = tenants_[waiter.tenant].denied_until;
    const bool is_denied =
        waiter.was_denied || std::any_of(denied.begin(), denied.end(), [now](TimePoint until) { return until > now; });
    TokenResult result;
    result.response = is_denied ? TokenAnswer::kBeyond : TokenAnswer::kUnknown;
    result.retry_after = knobs_.least_retry_after;
    ++(is_denied ? totals_.beyond : totals_.unknown);
    end(number, result);
}

void QuotaClient::end(Number number, const TokenResult& result) {
    auto ended = waiters_.extract(number);
    if (!ended.empty()) {
        ended.mapped().callback(result);
    }
}

// Questions ------------------------------------------------------------------

wire::QuotaAsk QuotaClient::questionTo(std::uint32_t place) {
    auto& shard = shards_[place];
    wire::QuotaAsk question;
    question.set_sender(directory_.self().name());
    question.set_shard(place);
    question.set_term(shard.term);
    for (auto& [tenant, numbers] : shard.queued) {
        std::erase_if(numbers, [this](Number number) { return !waiters_.contains(number); });
        auto* line = question.add_lines();
        line->set_tenant(tenant);
        line->set_wanted(static_cast<std::uint32_t>(numbers.size()));
        if (const auto back = shard.to_return.extract(tenant); !back.empty()) {
            line->set_returned(back.mapped());
        }
    }
    for (const auto& [tenant, count] : shard.to_return) {
        auto* line = question.add_lines();
        line->set_tenant(tenant);
        line->set_returned(count);
    }
    shard.to_return.clear();
    return question;
}

void QuotaClient::ask(std::uint32_t place) {
    auto& shard = shards_[place];
    if (shard.is_asking || (shard.queued.empty() && shard.to_return.empty())) {
        return;
    }
    const auto* owner = ownerOf(place);
    if (owner == nullptr && shard.queued.empty()) {
        shard.to_return.clear();
        return;
    }
    if (owner == nullptr) {
        shard.asked = std::exchange(shard.queued, {});
        shard.is_asking = true;
        shard.local = clock_.startTimer(Duration::zero(), [this, place] { onAnswer(place, nullptr); });
        return;
    }
    const auto question = questionTo(place);
    shard.asked = std::exchange(shard.queued, {});
    shard.is_asking = true;
    if (owner == &directory_.self()) {
        shard.local = clock_.startTimer(Duration::zero(), [this, place, question] {
            const auto response = grant(question);
            onAnswer(place, &response);
        });
        return;
    }
    ++totals_.asks;
    send(place, *owner, question);
}

void QuotaClient::send(std::uint32_t place, const wire::NodeRecord& owner, const wire::QuotaAsk& question) {
    HttpRequest request;
    request.method = "POST";
    request.path = std::string(kQuotaPath);
    request.body = question.SerializeAsString();
    shards_[place].attempt = nodes_.send(
        owner.address(), std::move(request), knobs_.ask_timeout, [this, place](const AttemptResult& result) {
            const auto ended = std::exchange(shards_[place].attempt, nullptr);
            wire::QuotaGrant response;
            const bool is_answered = result.outcome == AttemptOutcome::kResponded && result.response.status == kHttpOk &&
                                     response.ParseFromString(result.response.body);
            onAnswer(place, is_answered ? &response : nullptr);
        });
}

/// Whoever does not own the shard, or does not answer, is left alone for a time.
void QuotaClient::onAnswer(std::uint32_t place, const wire::QuotaGrant* response) {
    auto& shard = shards_[place];
    shard.is_asking = false;
    auto asked = std::exchange(shard.asked, {});
    const bool is_owner = response != nullptr && response->is_owner();
    if (is_owner) {
        for (const auto& line : response->lines()) {
            if (const auto found = asked.find(line.tenant()); found != asked.end()) {
                onLine(place, response->term(), line, &found->second);
            }
        }
    } else {
        shard.unavailable_until = clock_.now() + knobs_.unavailable;
        log_.write(Event("quota_owner_unavailable")
                       .with("shard", place)
                       .with("reason", response == nullptr ? "no-answer" : "not-the-owner"));
    }
    for (const auto& [tenant, numbers] : asked) {
        for (const auto number : numbers) {
            if (waiters_.contains(number)) {
                queue(number);
            }
        }
    }
    ask(place);
}

/// @param numbers those that asked; who got a token is taken out.
void QuotaClient::onLine(std::uint32_t place, std::uint64_t term, const wire::QuotaGrant::Line& line,
                         std::vector<Number>* numbers) {
    TokenResult result;
    result.response = TokenAnswer::kGranted;
    result.token = {place, term};
    auto left = line.granted();
    for (const auto number : *numbers) {
        if (left == 0) {
            break;
        }
        if (waiters_.contains(number)) {
            --left;
            ++totals_.granted;
            end(number, result);
        }
    }
    for (; left > 0; --left) {
        giveBack(line.tenant(), result.token);  // Its caller has left meanwhile.
    }
    if (line.next_ms() > 0) {
        tenants_[line.tenant()].denied_until[place] = clock_.now() + std::chrono::milliseconds(line.next_ms());
        for (const auto number : *numbers) {
            if (const auto waiter = waiters_.find(number); waiter != waiters_.end()) {
                waiter->second.was_denied = true;
            }
        }
    }
}

// Answers --------------------------------------------------------------------

/// The former owner of a shard is asked to stop. Without its answer its lease has to end.
void QuotaClient::takeOver(std::uint32_t place, const std::string& former) {
    const auto* node = directory_.find(former);
    if (node == nullptr || !fleet::NodeDirectory::isReachable(*node)) {
        return;
    }
    wire::QuotaAsk question;
    question.set_sender(directory_.self().name());
    question.set_shard(place);
    question.set_takes_over(true);
    HttpRequest request;
    request.method = "POST";
    request.path = std::string(kQuotaPath);
    request.body = question.SerializeAsString();
    takeovers_[place] = nodes_.send(
        node->record.address(), std::move(request), knobs_.ask_timeout, [this, place](const AttemptResult& result) {
            const auto ended = takeovers_.extract(place);
            wire::QuotaGrant response;
            if (result.outcome == AttemptOutcome::kResponded && result.response.status == kHttpOk &&
                response.ParseFromString(result.response.body)) {
                keeper_.onHandedOver(place, response.sender(), response.incarnation());
            }
        });
}

wire::QuotaGrant QuotaClient::grant(const wire::QuotaAsk& question) {
    wire::QuotaGrant response;
    response.set_sender(directory_.self().name());
    response.set_incarnation(directory_.self().incarnation());
    if (question.takes_over()) {
        keeper_.handOver(question.shard());
        return response;
    }
    auto* shard = keeper_.granting(question.shard());
    if (shard == nullptr) {
        return response;
    }
    response.set_is_owner(true);
    response.set_term(keeper_.termOf(question.shard()));
    const bool is_same_term = question.term() == response.term();
    for (const auto& line : question.lines()) {
        const auto* tenant = table_.tenantNamed(line.tenant());
        auto* granted = response.add_lines();
        if (knobs_.disabled.quota_limit) {
            granted->set_tenant(line.tenant());
            granted->set_granted(line.wanted());
        } else if (tenant == nullptr) {
            granted->set_tenant(line.tenant());
            granted->set_next_ms(kUnknownTenantMs);
        } else {
            *granted = shard->grant(clock_.now(), *tenant, line.wanted(), is_same_term ? line.returned() : 0);
        }
    }
    return response;
}

HttpResponse QuotaClient::handle(const HttpRequest& request) {
    HttpResponse response;
    wire::QuotaAsk question;
    if (!question.ParseFromString(request.body) || question.shard() >= kShards) {
        log_.write(Event("quota_question_refused").with("step", "parse").with("bytes", request.body.size()));
        response.status = kHttpBadRequest;
        return response;
    }
    const auto granted = grant(question);
    for (const auto& line : granted.lines()) {
        totals_.lent += line.granted();
    }
    response.status = kHttpOk;
    response.body = granted.SerializeAsString();
    return response;
}

}  // namespace dewcrank::quota
