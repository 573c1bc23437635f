/// @file
/// What an instance says about itself in the headers of a response.
#pragma once

#include <optional>

#include "src/balancing/load_report.h"
#include "src/base/header_names.h"
#include "src/base/http_message.h"

namespace dewcrank::relay {

/// Signals of one response.
struct InstanceSignals {
    std::optional<double> rate_limit;           ///< Requests per second that the instance takes; none: no limit.
    bool has_invalid_rate_limit = false;        ///< A limit is named whose value cannot be used.
    bool is_leaving = false;                    ///< The instance is about to end and takes no new requests.
    std::optional<balancing::LoadReport> load;  ///< None: the response names no load, or an invalid one.
    bool has_invalid_load = false;              ///< A load is named that cannot be used.
};

/// Reads the signals of a response. A rate limit is a decimal number that is neither negative nor absurdly high.
[[nodiscard]] InstanceSignals readSignals(const HttpResponse& response, const HeaderNames& names);

}  // namespace dewcrank::relay
