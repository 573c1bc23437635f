/// @file
/// HTTP requests and responses, complete with their bodies.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dewcrank {

/// A header field (RFC 9110, section 5).
struct Header {
    std::string name;
    std::string value;
};

/// Header fields in the order received. Names are case-insensitive.
class Headers {
public:
    void add(std::string name, std::string value) { lines_.push_back({std::move(name), std::move(value)}); }
    /// Sets a header, replacing every line of that name.
    void set(std::string_view name, std::string value);
    void remove(std::string_view name);  ///< Removes every line of that name.
    /// @return the first value of `name`, or an empty string.
    [[nodiscard]] std::string_view get(std::string_view name) const;
    [[nodiscard]] bool has(std::string_view name) const;
    /// @return the first header that has one of `names`, or null.
    [[nodiscard]] const Header* findAny(const std::vector<std::string>& names) const;
    [[nodiscard]] const std::vector<Header>& lines() const { return lines_; }
    /// Removes all lines whose name starts with `prefix`.
    void removePrefix(std::string_view prefix);

private:
    std::vector<Header> lines_;
};

/// A complete request.
struct HttpRequest {
    std::string method;
    std::string path;  ///< Path with query, as received.
    Headers headers;
    std::string body;
};

/// A complete response.
struct HttpResponse {
    int status = 0;
    Headers headers;
    std::string body;
};

/// @return a response with a body of this media type.
HttpResponse makeResponse(int status, const std::string& content_type, std::string body);

/// Compares two header names, ignoring case.
bool sameHeaderName(std::string_view left, std::string_view right);

/// Removes the hop-by-hop headers (RFC 9110, section 7.6.1), including those listed in the `Connection` header.
void removeHopByHopHeaders(Headers& headers);

}  // namespace dewcrank
