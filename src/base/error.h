/// @file
/// Error type of the project. An error names the failed step and the peer (file, address, row), and is passed in
/// boost::leaf::result.
#pragma once

#include <boost/leaf.hpp>
#include <string>

namespace dewcrank {

/// A failed step.
struct StepError {
    std::string step;     ///< The operation, such as "settings" or "table.row".
    std::string peer;     ///< What the operation was applied to: a file with its line, an address, a row.
    std::string message;  ///< What went wrong, and which values are allowed.

    /// The error as one line: "step: peer: message".
    [[nodiscard]] std::string text() const { return step + ": " + peer + ": " + message; }
};

template <typename Value>
using Result = boost::leaf::result<Value>;

/// Creates an error to be returned as a failed Result.
inline boost::leaf::error_id stepError(std::string step, std::string peer, std::string message) {
    return boost::leaf::new_error(StepError{std::move(step), std::move(peer), std::move(message)});
}

/// Runs `body`, which returns a Result, and passes the StepError to `on_error` if `body` fails.
/// @return true if `body` succeeded.
template <typename Body, typename OnError>
bool runOrReport(Body&& body, OnError&& on_error) {
    return boost::leaf::try_handle_all(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(body());
            return true;
        },
        [&](const StepError& error) {
            on_error(error);
            return false;
        },
        [&] {
            on_error(StepError{"unknown", "", "an error without details"});
            return false;
        });
}

}  // namespace dewcrank
