#include "apps/sidecar/fresh_address.h"

#include <utility>

namespace dewcrank {

FreshAddress::FreshAddress(adapters::EventLoop& loop, adapters::HttpLimits limits, Duration client_timeout,
                           std::string ip, std::optional<adapters::PortRange> ports,
                           adapters::HttpServer::Handler handler)
    : ip_(std::move(ip)),
      ports_(ports),
      started_s_(static_cast<std::uint64_t>(toMilliseconds(loop.now().time_since_epoch())) / 1000),
      server_(loop, limits, client_timeout, std::move(handler)) {}

std::string FreshAddress::text() {
    const std::uint64_t count = ports_ ? ports_->last - ports_->first + 1U : 0;
    for (std::uint64_t tries = 0; !address_ && tries < count; ++tries) {
        const auto port = static_cast<std::uint16_t>(ports_->first + (started_s_ + tries) % count);
        runOrReport(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(bound, server_.listen({ip_, port}));
                address_ = bound;
                return {};
            },
            [](const StepError&) {});  // Another process uses the port; the next one is tried.
    }
    return address_ ? address_->text() : "";
}

}  // namespace dewcrank
