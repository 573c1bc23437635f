#include "src/base/http_message.h"

#include <strings.h>

#include <algorithm>
#include <array>

namespace dewcrank {

namespace {

constexpr std::array<std::string_view, 9> kHopByHopHeaders = {
    "connection", "keep-alive",        "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
    "trailer",    "transfer-encoding", "upgrade"};

bool startsWithName(std::string_view name, std::string_view prefix) {
    return name.size() >= prefix.size() && sameHeaderName(name.substr(0, prefix.size()), prefix);
}

std::string_view trim(std::string_view text) {
    const auto begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

std::vector<std::string> splitList(std::string_view list) {
    std::vector<std::string> items;
    while (!list.empty()) {
        const auto comma = list.find(',');
        const auto item = trim(list.substr(0, comma));
        if (!item.empty()) {
            items.emplace_back(item);
        }
        list = comma == std::string_view::npos ? std::string_view{} : list.substr(comma + 1);
    }
    return items;
}

}  // namespace

HttpResponse makeResponse(int status, const std::string& content_type, std::string body) {
    HttpResponse response;
    response.status = status;
    response.headers.set("Content-Type", content_type);
    response.body = std::move(body);
    return response;
}

bool sameHeaderName(std::string_view left, std::string_view right) {
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

void Headers::set(std::string_view name, std::string value) {
    remove(name);
    add(std::string(name), std::move(value));
}

void Headers::remove(std::string_view name) {
    std::erase_if(lines_, [name](const Header& line) { return sameHeaderName(line.name, name); });
}

void Headers::removePrefix(std::string_view prefix) {
    std::erase_if(lines_, [prefix](const Header& line) { return startsWithName(line.name, prefix); });
}

std::string_view Headers::get(std::string_view name) const {
    const auto found = std::find_if(lines_.begin(), lines_.end(),
                                    [name](const Header& line) { return sameHeaderName(line.name, name); });
    return found == lines_.end() ? std::string_view{} : std::string_view{found->value};
}

bool Headers::has(std::string_view name) const {
    return std::any_of(lines_.begin(), lines_.end(),
                       [name](const Header& line) { return sameHeaderName(line.name, name); });
}

const Header* Headers::findAny(const std::vector<std::string>& names) const {
    const auto found = std::find_if(lines_.begin(), lines_.end(), [&names](const Header& line) {
        return std::any_of(names.begin(), names.end(),
                           [&line](const std::string& name) { return sameHeaderName(line.name, name); });
    });
    return found == lines_.end() ? nullptr : &*found;
}

void removeHopByHopHeaders(Headers& headers) {
    for (const auto& name : splitList(std::string(headers.get("connection")))) {
        headers.remove(name);
    }
    for (const auto name : kHopByHopHeaders) {
        headers.remove(name);
    }
}

}  // namespace dewcrank
