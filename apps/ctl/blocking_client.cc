#include "apps/ctl/blocking_client.h"

#include <utility>

#include "src/base/http_status.h"

namespace dewcrank::ctl {

namespace {
constexpr Duration kAnswerTimeout = 5s;
constexpr const char* kMetricsPath = "/metrics";
}  // namespace

StoreAccess::StoreAccess(const TableStoreFactory& factory, std::string address)
    : address_(std::move(address)), http_(loop_, adapters::HttpLimits{}), store_(factory(http_, address_)) {}

Result<StoredTable> StoreAccess::read() {
    std::optional<StoredTable> stored;
    store_->read([&](std::optional<StoredTable> read) {
        stored = std::move(read);
        loop_.stop();
    });
    loop_.run();
    if (!stored) {
        return stepError("store.read", address_, "the store does not answer, or holds no table");
    }
    return *stored;
}

TableWrite StoreAccess::write(const wire::RouteTable& table, std::uint64_t expected) {
    auto outcome = TableWrite::kUnknown;
    store_->write(table, expected, [&](TableWrite written) {
        outcome = written;
        loop_.stop();
    });
    loop_.run();
    return outcome;
}

Result<std::string> StoreAccess::readMetrics(const std::string& address) {
    AttemptResult response;
    HttpRequest request;
    request.method = "GET";
    request.path = kMetricsPath;
    const auto attempt = http_.send(address, std::move(request), kAnswerTimeout, [&](AttemptResult result) {
        response = std::move(result);
        loop_.stop();
    });
    loop_.run();
    if (response.outcome != AttemptOutcome::kResponded || response.response.status != kHttpOk) {
        return stepError("node.metrics", address, "no answer");
    }
    return std::move(response.response.body);
}

void StoreAccess::wait(Duration duration) {
    const auto timer = loop_.startTimer(duration, [this] { loop_.stop(); });
    loop_.run();
}

}  // namespace dewcrank::ctl
