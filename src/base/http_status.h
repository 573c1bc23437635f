/// @file
/// HTTP status codes (RFC 9110, section 15).
#pragma once

namespace dewcrank {

inline constexpr int kHttpOk = 200;
inline constexpr int kHttpBadRequest = 400;
inline constexpr int kHttpUnauthorized = 401;
inline constexpr int kHttpNotFound = 404;
inline constexpr int kHttpRequestTimeout = 408;
inline constexpr int kHttpConflict = 409;
inline constexpr int kHttpGone = 410;
inline constexpr int kHttpContentTooLarge = 413;
inline constexpr int kHttpMisdirected = 421;
inline constexpr int kHttpPreconditionRequired = 428;
inline constexpr int kHttpTooManyRequests = 429;
inline constexpr int kHttpInternalServerError = 500;
inline constexpr int kHttpNotImplemented = 501;
inline constexpr int kHttpBadGateway = 502;
inline constexpr int kHttpServiceUnavailable = 503;
inline constexpr int kHttpGatewayTimeout = 504;

/// @return true for 2xx.
inline constexpr bool isSuccess(int status) {
    return status / 100 == 2;
}

}  // namespace dewcrank
