/// @file
/// Names of the headers that callers and instances speak. A platform may have its own.
#pragma once

#include <string>

namespace dewcrank {

struct HeaderNames {
    std::string request_id = "x-request-id";
    std::string deadline_ms = "x-deadline-ms";              ///< Milliseconds that the caller will wait.
    std::string expected_instance = "x-expected-instance";  ///< Any other instance refuses.
    std::string not_executed = "x-not-executed";            ///< In an answer: the request was not run.
    std::string instance_id = "x-instance-id";              ///< In an answer of the wrong instance.
    std::string caller_service = "x-caller-service";        ///< Service beside the entry node.
    std::string server_load = "x-server-load";              ///< "running,waiting,slots".
    std::string tenant = "x-tenant";                        ///< Set by the entry: who calls.
    std::string key_scheme = "Bearer";                      ///< Of the `Authorization` that holds a caller's key.
    std::string server_stamp = "x-server-stamp";            ///< Signature in each answer of an instance.
};

}  // namespace dewcrank
