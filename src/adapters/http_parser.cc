#include "src/adapters/http_parser.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include "src/base/http_status.h"

namespace dewcrank::adapters {

namespace {

constexpr std::array<std::string_view, 6> kAllowedMethods = {"GET", "POST", "HEAD", "PUT", "DELETE", "PATCH"};
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;
constexpr unsigned kLastStatus = 599;
/// Result of the library's callback after a head: the message has no body.
constexpr int kSkipBody = 1;
/// Value of content_length in the library if a message has no length.
constexpr auto kUnknownLength = std::numeric_limits<std::uint64_t>::max();
constexpr unsigned char kFirstVisible = 0x21;
constexpr unsigned char kDelete = 0x7f;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::size_t kTypicalHeadSize = 1024;

/// Membership flag for each character value.
using CharacterSet = std::array<bool, std::numeric_limits<unsigned char>::max() + 1>;

/// Characters of a token (RFC 9110, section 5.6.2).
constexpr CharacterSet makeTokenCharacters() {
    CharacterSet set{};
    for (const char character :
         std::string_view("0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ!#$%&'*+-.^_`|~")) {
        set.at(static_cast<unsigned char>(character)) = true;
    }
    return set;
}

/// Characters of a field value: visible and 8-bit characters, space and tab (RFC 9110, section 5.5).
constexpr CharacterSet makeValueCharacters() {
    CharacterSet set{};
    for (std::size_t value = kFirstVisible; value < set.size(); ++value) {
        set.at(value) = value != kDelete;
    }
    set.at(' ') = true;
    set.at('\t') = true;
    return set;
}

constexpr CharacterSet kTokenCharacters = makeTokenCharacters();
constexpr CharacterSet kValueCharacters = makeValueCharacters();

bool isTokenCharacter(char character) {
    return kTokenCharacters[static_cast<unsigned char>(character)];
}

bool isToken(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isValueCharacter(char character) {
    return kValueCharacters[static_cast<unsigned char>(character)];
}

bool isFramingHeader(std::string_view name) {
    return sameHeaderName(name, "content-length") || sameHeaderName(name, "transfer-encoding") ||
           sameHeaderName(name, "connection") || sameHeaderName(name, "keep-alive");
}

/// A status outside of 100 to 599 is invalid (RFC 9110, section 15), and no request of a client here asks for another
/// protocol.
bool isValidStatus(unsigned status) {
    return status >= kFirstStatus && status <= kLastStatus && status != kSwitchingProtocols;
}

/// @return whether a response with this status has no body, whatever length its head names (RFC 9110, section 6.4.1).
bool isBodyless(unsigned status) {
    return status < kFirstFinalStatus || status == kNoContent || status == kNotModified;
}

/// @return true if the bytes start with a request line that is well-formed apart from its method.
bool looksLikeRequestLine(std::string_view bytes) {
    const auto line = bytes.substr(0, bytes.find('\r'));
    const auto method_end = line.find(' ');
    const auto target_end = line.rfind(' ');
    return method_end != std::string_view::npos && target_end > method_end && isToken(line.substr(0, method_end)) &&
           line.substr(target_end + 1).starts_with("HTTP/1.");
}

}  // namespace

bool isAllowedMethod(std::string_view method) {
    return std::find(kAllowedMethods.begin(), kAllowedMethods.end(), method) != kAllowedMethods.end();
}

HttpMessageParser::HttpMessageParser(Kind kind, HttpLimits limits)
    : type_(kind == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE), limits_(limits), next_limits_(limits) {
    reset();
}

void HttpMessageParser::setLimits(HttpLimits limits) {
    next_limits_ = limits;
    if (!has_started_) {
        limits_ = limits;
    }
}

http_parser_settings HttpMessageParser::makeSettings() {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = [](http_parser* parser) {
        self(parser)->has_started_ = true;
        return 0;
    };
    settings.on_url = [](http_parser* parser, const char* at, std::size_t length) {
        self(parser)->url_.append(at, length);
        return 0;
    };
    settings.on_header_field = [](http_parser* parser, const char* at, std::size_t length) {
        return self(parser)->onHeaderField(at, length);
    };
    settings.on_header_value = [](http_parser* parser, const char* at, std::size_t length) {
        return self(parser)->onHeaderValue(at, length);
    };
    settings.on_headers_complete = [](http_parser* parser) { return self(parser)->onHeadersComplete(); };
    settings.on_body = [](http_parser* parser, const char* at, std::size_t length) {
        return self(parser)->onBody(at, length);
    };
    settings.on_message_complete = [](http_parser* parser) { return self(parser)->onMessageComplete(); };
    return settings;
}

void HttpMessageParser::reset(bool expects_no_body) {
    http_parser_init(&parser_, type_);
    parser_.data = this;
    limits_ = next_limits_;
    expects_no_body_ = expects_no_body;
    has_started_ = false;
    has_complete_head_ = false;
    is_complete_ = false;
    ends_with_connection_ = false;
    keep_alive_ = false;
    failure_ = State::kIncomplete;
    head_bytes_ = 0;
    framing_header_count_ = 0;
    in_value_ = false;
    consumed_bytes_ = 0;
    value_end_ = 0;
    url_.clear();
    field_.clear();
    value_.clear();
    headers_ = Headers();
    body_.clear();
}

HttpMessageParser::State HttpMessageParser::feed(const char* data, std::size_t size, std::size_t* consumed) {
    static const http_parser_settings settings = makeSettings();
    input_start_ = data;
    const bool was_reading_head = !has_complete_head_;
    *consumed = http_parser_execute(&parser_, &settings, data, size);
    consumed_bytes_ += *consumed;
    if (is_complete_) {
        return State::kComplete;
    }
    if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
        return failure_ != State::kIncomplete ? failure_ : errorState(data, size);
    }
    if (was_reading_head) {
        head_bytes_ += *consumed;
        if (!has_complete_head_ && head_bytes_ > limits_.header_bytes) {
            return State::kMalformed;
        }
    }
    return State::kIncomplete;
}

HttpMessageParser::State HttpMessageParser::finish() {
    std::size_t consumed = 0;
    return ends_with_connection_ ? feed("", 0, &consumed) : State::kMalformed;
}

HttpMessageParser::State HttpMessageParser::errorState(const char* data, std::size_t size) const {
    const bool is_method = HTTP_PARSER_ERRNO(&parser_) == HPE_INVALID_METHOD;
    return is_method && looksLikeRequestLine({data, size}) ? State::kUnknownMethod : State::kMalformed;
}

int HttpMessageParser::fail(State state) {
    failure_ = state;
    return -1;
}

int HttpMessageParser::onHeaderField(const char* at, std::size_t length) {
    if (in_value_) {
        flushHeader();
    }
    field_.append(at, length);
    return 0;
}

/// Rejects folded values: a fragment that does not start where the previous one ended is on another line.
int HttpMessageParser::onHeaderValue(const char* at, std::size_t length) {
    const auto begin = consumed_bytes_ + static_cast<std::size_t>(at - input_start_);
    if (in_value_ && begin != value_end_) {
        return fail(State::kMalformed);
    }
    in_value_ = true;
    value_.append(at, length);
    value_end_ = begin + length;
    return 0;
}

void HttpMessageParser::flushHeader() {
    if (sameHeaderName(field_, "content-length") || sameHeaderName(field_, "transfer-encoding")) {
        ++framing_header_count_;
    }
    headers_.add(std::exchange(field_, {}), std::exchange(value_, {}));
    in_value_ = false;
}

int HttpMessageParser::onHeadersComplete() {
    if (!field_.empty()) {
        flushHeader();
    }
    has_complete_head_ = true;
    const auto& lines = headers_.lines();
    const bool is_valid = std::all_of(lines.begin(), lines.end(), [](const Header& line) {
        return isToken(line.name) && std::all_of(line.value.begin(), line.value.end(), isValueCharacter);
    });
    const auto encoding = headers_.get("transfer-encoding");
    // More than one framing field is ambiguous (request smuggling, RFC 9112, section 6.3).
    if (!is_valid || framing_header_count_ > 1 || (!encoding.empty() && !sameHeaderName(encoding, "chunked"))) {
        return fail(State::kMalformed);
    }
    std::size_t head_size = url_.size();
    for (const auto& line : lines) {
        head_size += line.name.size() + line.value.size();
    }
    if (head_size > limits_.header_bytes) {
        return fail(State::kMalformed);
    }
    const bool is_response = type_ == HTTP_RESPONSE;
    if (is_response && !isValidStatus(parser_.status_code)) {
        return fail(State::kMalformed);
    }
    const bool has_body = !expects_no_body_ && !(is_response && isBodyless(parser_.status_code));
    if (!has_body) {
        return kSkipBody;
    }
    const bool has_length = (parser_.flags & F_CHUNKED) != 0 || parser_.content_length != kUnknownLength;
    if (parser_.content_length != kUnknownLength && parser_.content_length > limits_.body_bytes) {
        return fail(State::kTooLarge);
    }
    ends_with_connection_ = is_response && !has_length;
    return 0;
}

int HttpMessageParser::onBody(const char* at, std::size_t length) {
    if (body_.size() + length > limits_.body_bytes) {
        return fail(State::kTooLarge);
    }
    body_.append(at, length);
    return 0;
}

int HttpMessageParser::onMessageComplete() {
    if (type_ == HTTP_RESPONSE && parser_.status_code < kFirstFinalStatus) {
        const auto no_body = expects_no_body_;
        const auto parser = parser_;
        const auto head_bytes = head_bytes_;
        const auto limits = limits_;
        reset(no_body);
        parser_ = parser;
        limits_ = limits;
        head_bytes_ = head_bytes;  // Interim responses without end are a head without end.
        return 0;                  // The final response follows.
    }
    if (!field_.empty()) {
        flushHeader();  // Last trailer field.
    }
    is_complete_ = true;
    keep_alive_ = http_should_keep_alive(&parser_) != 0;
    http_parser_pause(&parser_, 1);
    return 0;
}

bool HttpMessageParser::expectsContinue() const {
    return sameHeaderName(headers_.get("expect"), "100-continue");
}

HttpRequest HttpMessageParser::takeRequest() {
    HttpRequest request;
    request.method = http_method_str(static_cast<http_method>(parser_.method));
    request.path = std::move(url_);
    request.headers = std::move(headers_);
    request.body = std::move(body_);
    return request;
}

HttpResponse HttpMessageParser::takeResponse() {
    HttpResponse response;
    response.status = static_cast<int>(parser_.status_code);
    response.headers = std::move(headers_);
    response.body = std::move(body_);
    return response;
}

std::string writeHead(const std::string& first_line, const Headers& headers, const Framing& framing) {
    std::string head;
    head.reserve(kTypicalHeadSize);
    head.append(first_line).append(kLineEnd);
    for (const auto& [name, value] : headers.lines()) {
        const bool is_safe = isToken(name) && std::all_of(value.begin(), value.end(), isValueCharacter);
        if (is_safe && !isFramingHeader(name)) {
            head.append(name).append(": ").append(value).append(kLineEnd);
        }
    }
    if (!framing.host.empty() && !headers.has("host")) {
        head.append("Host: ").append(framing.host).append(kLineEnd);
    }
    if (framing.close_connection) {
        head.append("Connection: close").append(kLineEnd);
    }
    if (framing.body_size >= 0) {
        head.append("Content-Length: ").append(std::to_string(framing.body_size)).append(kLineEnd);
    }
    head.append(kLineEnd);
    return head;
}

}  // namespace dewcrank::adapters
