/// @file
/// Reads HTTP/1 messages from bytes, on the http_parser library, and refuses what two readers
/// could frame differently.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "src/base/http_message.h"

namespace dewcrank::adapters {

/// Limits of one HTTP message.
struct HttpLimits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{8} * 1024 * 1024;
};

/// True for the methods that are passed on.
bool isAllowedMethod(std::string_view method);

/// Reads one message after the other. A message is whole or it is none.
class HttpMessageParser {
public:
    enum class Kind { kRequest, kResponse };
    enum class State {
        kIncomplete,
        kComplete,   ///< The message is whole; bytes behind it were not consumed.
        kMalformed,  ///< Not HTTP, or framed ambiguously.
        kTooLarge,   ///< The body is over its limit.
        kUnknownMethod,
    };

    HttpMessageParser(Kind kind, HttpLimits limits);
    HttpMessageParser(const HttpMessageParser&) = delete;
    HttpMessageParser& operator=(const HttpMessageParser&) = delete;

    /// Begins a new message.
    /// @param expects_no_body the answer belongs to a HEAD request.
    void reset(bool expects_no_body = false);
    /// Consumes bytes up to the end of the message. @param consumed how many were taken.
    State feed(const char* data, std::size_t size, std::size_t* consumed);
    /// The stream has ended cleanly: completes an answer that is delimited by it.
    State finish();

    [[nodiscard]] bool hasStarted() const { return has_started_; }
    [[nodiscard]] bool hasCompleteHead() const { return has_complete_head_; }
    /// True if only the end of the connection ends the message.
    [[nodiscard]] bool endsWithConnection() const { return ends_with_connection_; }
    /// True if the connection may carry another message after this one.
    [[nodiscard]] bool shouldKeepAlive() const { return keep_alive_; }
    /// True if the sender waits for an interim answer before it sends the body.
    [[nodiscard]] bool expectsContinue() const;

    [[nodiscard]] HttpRequest takeRequest();
    [[nodiscard]] HttpAnswer takeResponse();

private:
    static HttpMessageParser* self(http_parser* parser) { return static_cast<HttpMessageParser*>(parser->data); }
    static http_parser_settings makeSettings();
    int onHeaderField(const char* at, std::size_t length);
    int onHeaderValue(const char* at, std::size_t length);
    int onHeadersComplete();
    int onBody(const char* at, std::size_t length);
    int onMessageComplete();
    int fail(State state);
    void flushHeader();
    [[nodiscard]] State errorState(const char* data, std::size_t size) const;

    http_parser_type type_;
    HttpLimits limits_;
    http_parser parser_{};
    bool expects_no_body_ = false;
    bool has_started_ = false;
    bool has_complete_head_ = false;
    bool is_complete_ = false;
    bool ends_with_connection_ = false;
    bool keep_alive_ = false;
    State failure_ = State::kIncomplete;
    std::size_t head_bytes_ = 0;
    std::size_t framing_header_count_ = 0;
    bool in_value_ = false;
    const char* input_start_ = nullptr;  ///< Of the bytes that are being fed.
    std::size_t consumed_bytes_ = 0;     ///< Of this message, before them.
    std::size_t value_end_ = 0;          ///< Where the value that is being read has come to, counted as they are.
    std::string url_;
    std::string field_;
    std::string value_;
    Headers headers_;
    std::string body_;
};

/// What frames a message that is written.
struct Framing {
    long long body_size = -1;       ///< Written as the length, unless it is negative.
    bool close_connection = false;  ///< The connection ends with this message.
    std::string_view host;          ///< Written if the headers have none; empty: never.
};

/// The head of a message, without those of its headers that frame it, and its end.
std::string writeHead(const std::string& first_line, const Headers& headers, const Framing& framing);

}  // namespace dewcrank::adapters
