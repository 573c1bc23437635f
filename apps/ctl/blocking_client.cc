#include "apps/ctl/blocking_client.h"

#include <utility>

#include "src/base/http_status.h"

namespace dewcrank::ctl {

namespace {
constexpr Duration kResponseTimeout = 5s;
constexpr const char* kMetricsPath = "/metrics";
}  // namespace

BlockingClient::BlockingClient(const TableStoreFactory& factory, std::string address)
    : store_address_(std::move(address)),
      http_(loop_, adapters::HttpLimits{}),
      store_(factory(http_, store_address_)) {}

Result<StoredTable> BlockingClient::readTable() {
    std::optional<StoredTable> stored;
    store_->read([&](std::optional<StoredTable> read) {
        stored = std::move(read);
        loop_.stop();
    });
    loop_.run();
    if (!stored) {
        return stepError("store.read", store_address_, "the store does not answer, or holds no table");
    }
    return *stored;
}

TableWrite BlockingClient::writeTable(const wire::RouteTable& table, std::uint64_t expected) {
    auto outcome = TableWrite::kUnknown;
    store_->write(table, expected, [&](TableWrite written) {
        outcome = written;
        loop_.stop();
    });
    loop_.run();
    return outcome;
}

Result<std::string> BlockingClient::readMetrics(const std::string& address) {
    AttemptResult response;
    HttpRequest request;
    request.method = "GET";
    request.path = kMetricsPath;
    const auto attempt = http_.send(address, std::move(request), kResponseTimeout, [&](AttemptResult result) {
        response = std::move(result);
        loop_.stop();
    });
    loop_.run();
    if (response.outcome != AttemptOutcome::kResponded || response.response.status != kHttpOk) {
        return stepError("node.metrics", address, "no answer");
    }
    return std::move(response.response.body);
}

void BlockingClient::wait(Duration duration) {
    const auto timer = loop_.startTimer(duration, [this] { loop_.stop(); });
    loop_.run();
}

}  // namespace dewcrank::ctl
