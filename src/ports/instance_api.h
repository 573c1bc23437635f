/// @file
/// Requests of an instance to its local node: heartbeats and deregistration.
#pragma once

#include <functional>
#include <string>

#include "src/base/http_message.h"
#include "src/instance/local_instance.h"

namespace dewcrank {

/// Receives the decoded requests of the instance.
class InstanceListener {
public:
    virtual ~InstanceListener() = default;
    /// @return false if the heartbeat names a service that is not part of the fleet.
    virtual bool onHeartbeat(const instance::Heartbeat& heartbeat) = 0;
    /// The instance shuts down and takes no further requests.
    /// @param id      of the instance.
    /// @param start_ms start time of the incarnation that shuts down, in milliseconds; 0: not given.
    virtual void onInstanceLeave(const std::string& id, std::uint64_t start_ms) = 0;
    /// @return "ip:port" to which the instance shall send its further heartbeats; empty: where it sends them now.
    virtual std::string heartbeatAddress() = 0;
};

/// Decodes the platform's format of the instance's requests.
class InstanceApi {
public:
    virtual ~InstanceApi() = default;
    /// Decodes `request` and calls `listener`. @return the response to the instance.
    virtual HttpResponse handle(const HttpRequest& request, InstanceListener& listener) = 0;
};

}  // namespace dewcrank
