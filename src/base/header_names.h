/// @file
/// Names of the HTTP headers exchanged with callers and instances. A platform may override the names.
#pragma once

#include <string>
#include <vector>

namespace dewcrank {

struct HeaderNames {
    std::string request_id = "x-request-id";
    std::string deadline_ms = "x-deadline-ms";              ///< Request: remaining time of the caller, in milliseconds.
    std::string expected_instance = "x-expected-instance";  ///< Request: only the instance with this id executes it.
    std::string not_executed = "x-not-executed";            ///< Response: the request was not executed.
    std::string instance_id = "x-instance-id";              ///< Response: id of the instance, if another was expected.
    std::string caller_service = "x-caller-service";        ///< Request: service of the instance local to the entry.
    std::string tenant = "x-tenant";                        ///< Request: the caller's tenant, set by the entry.
    std::string auth_scheme = "Bearer";           ///< Scheme of the `Authorization` header with a caller's key.
    std::string server_stamp = "x-server-stamp";  ///< Response: signature of the instance, on its own responses only.
    std::string server_load = "x-server-load";    ///< Response: running, waiting, slots and pace of the instance.
    /// Response: requests per second that the instance takes from all callers together. Any of these names.
    std::vector<std::string> rate_limit = {"x-rate-limit"};
    /// Response: "1" if the instance is leaving. Any of these names.
    std::vector<std::string> leaving = {"x-leaving"};
};

}  // namespace dewcrank
