/// @file
/// Names of the HTTP headers exchanged with callers and instances. A platform may override the names.
#pragma once

#include <string>

namespace dewcrank {

struct HeaderNames {
    std::string request_id = "x-request-id";
    std::string deadline_ms = "x-deadline-ms";              ///< Request: remaining time of the caller, in milliseconds.
    std::string expected_instance = "x-expected-instance";  ///< Request: only the instance with this id executes it.
    std::string not_executed = "x-not-executed";            ///< Response: the request was not executed.
    std::string instance_id = "x-instance-id";              ///< Response: id of the instance, if another was expected.
    std::string caller_service = "x-caller-service";        ///< Request: service of the instance local to the entry.
    std::string server_load = "x-server-load";              ///< Response: "running,waiting,slots" of the instance.
    std::string rate_limit = "x-rate-limit";                ///< Response: requests per second that the instance takes.
    std::string leaving = "x-leaving";                      ///< Response: "1" if the instance is leaving.
    std::string tenant = "x-tenant";                        ///< Request: the caller's tenant, set by the entry.
    std::string auth_scheme = "Bearer";           ///< Scheme of the `Authorization` header with a caller's key.
    std::string server_stamp = "x-server-stamp";  ///< Response: signature of the instance, on its own responses only.
};

}  // namespace dewcrank
