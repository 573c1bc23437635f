/// @file
/// HTTP/1 message parser on the http_parser library, and the writer of message heads. The parser rejects messages
/// that another parser could frame differently (request smuggling).
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "src/base/http_message.h"

namespace dewcrank::adapters {

/// Size limits of one HTTP message, in bytes.
struct HttpLimits {
    std::size_t header_bytes = std::size_t{16} * 1024;  ///< Request target and header fields together.
    std::size_t body_bytes = std::size_t{8} * 1024 * 1024;
};

/// @return true for the methods that the proxy forwards; TRACE, CONNECT and OPTIONS are not among them.
bool isAllowedMethod(std::string_view method);

/// Incremental parser for consecutive messages of one connection. Only complete messages can be taken out.
class HttpMessageParser {
public:
    enum class Kind { kRequest, kResponse };
    enum class State {
        kIncomplete,     ///< More bytes are needed.
        kComplete,       ///< The message is complete; bytes after it were not consumed.
        kMalformed,      ///< Not HTTP, ambiguously framed, or a head over its limit.
        kTooLarge,       ///< The body exceeds its limit.
        kUnknownMethod,  ///< A well-formed request line with an unknown method.
    };

    HttpMessageParser(Kind kind, HttpLimits limits);
    HttpMessageParser(const HttpMessageParser&) = delete;
    HttpMessageParser& operator=(const HttpMessageParser&) = delete;

    /// Sets the limits of the messages that begin from now on; one that has begun keeps its own.
    void setLimits(HttpLimits limits);
    /// Starts a new message.
    /// @param expects_no_body true for the response to a HEAD request.
    void reset(bool expects_no_body = false);
    /// Parses bytes up to the end of the message. @param consumed number of bytes parsed.
    State feed(const char* data, std::size_t size, std::size_t* consumed);
    /// Reports an orderly close by the peer. @return kComplete for a response that is delimited by it, else kMalformed.
    State finish();

    /// @return true once the first byte of the message was parsed.
    [[nodiscard]] bool hasStarted() const { return has_started_; }
    /// @return true once all header fields were parsed.
    [[nodiscard]] bool hasCompleteHead() const { return has_complete_head_; }
    /// @return true if only the close of the connection ends the message.
    [[nodiscard]] bool endsWithConnection() const { return ends_with_connection_; }
    /// @return true if the connection may carry another message after this one.
    [[nodiscard]] bool shouldKeepAlive() const { return keep_alive_; }
    /// @return the bytes of the body that have been parsed.
    [[nodiscard]] std::size_t bodyBytes() const { return body_.size(); }
    /// @return true if the sender waits for an interim response (100 Continue) before it sends the body.
    [[nodiscard]] bool expectsContinue() const;

    /// Moves the message out. Valid only after kComplete.
    [[nodiscard]] HttpRequest takeRequest();
    [[nodiscard]] HttpResponse takeResponse();

private:
    static HttpMessageParser* self(http_parser* parser) { return static_cast<HttpMessageParser*>(parser->data); }
    static http_parser_settings makeSettings();
    int onHeaderField(const char* at, std::size_t length);
    int onHeaderValue(const char* at, std::size_t length);
    int onHeadersComplete();
    int onBody(const char* at, std::size_t length);
    int onMessageComplete();
    /// Stops the parser. @return the code of a failed http_parser callback.
    int fail(State state);
    /// Adds the current name and value to the headers.
    void flushHeader();
    /// Maps an error of the library to a state.
    [[nodiscard]] State errorState(const char* data, std::size_t size) const;

    http_parser_type type_;
    HttpLimits limits_;       ///< Of the current message.
    HttpLimits next_limits_;  ///< Of those that begin later.
    http_parser parser_{};
    bool expects_no_body_ = false;
    bool has_started_ = false;
    bool has_complete_head_ = false;
    bool is_complete_ = false;
    bool ends_with_connection_ = false;
    bool keep_alive_ = false;
    State failure_ = State::kIncomplete;
    std::size_t head_bytes_ = 0;            ///< Of the incomplete head, and of the interim responses before it.
    std::size_t framing_header_count_ = 0;  ///< Content-Length and Transfer-Encoding fields.
    bool in_value_ = false;
    const char* input_start_ = nullptr;  ///< Start of the buffer that is being parsed.
    std::size_t consumed_bytes_ = 0;     ///< Bytes of this message before that buffer.
    std::size_t value_end_ = 0;          ///< Offset in the message at which the last fragment of the value ended.
    std::string url_;
    std::string field_;
    std::string value_;
    Headers headers_;
    std::string body_;
};

/// Framing of an outgoing message.
struct Framing {
    long long body_size = -1;       ///< Value of Content-Length; negative: no such header.
    bool close_connection = false;  ///< Write "Connection: close".
    std::string_view host;          ///< Value of Host if the headers have none; empty: no such header.
};

/// @return the start line, the header fields and the blank line of a message. Framing fields and invalid fields in
/// `headers` are omitted.
/// @param first_line request line or status line, without line end.
std::string writeHead(const std::string& first_line, const Headers& headers, const Framing& framing);

}  // namespace dewcrank::adapters
