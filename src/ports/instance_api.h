/// @file
/// How an instance speaks to the node beside it: heartbeats, and leaving.
#pragma once

#include <functional>
#include <string>

#include "src/base/http_message.h"
#include "src/instance/local_instance.h"

namespace dewcrank {

/// What an instance tells its node.
class InstanceListener {
public:
    virtual ~InstanceListener() = default;
    virtual void onHeartbeat(const instance::Heartbeat& heartbeat) = 0;
    virtual void onInstanceLeave(const std::string& id) = 0;
};

/// Translates an instance's requests. The answer acknowledges what the listener was told.
class InstanceApi {
public:
    virtual ~InstanceApi() = default;
    virtual HttpAnswer handle(const HttpRequest& request, InstanceListener& listener) = 0;
};

}  // namespace dewcrank
