#include "src/adapters/json_list.h"

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <string>

namespace dewcrank::adapters {

namespace {

using Json = nlohmann::json;

/// Where an array stands in a text.
struct ArraySpan {
    std::size_t begin = 0;  ///< Behind the opening bracket.
    std::size_t end = 0;    ///< Of the closing bracket.
    std::vector<std::string_view> items;
};

/// Finds the array of a field of the outermost object. Goes by brackets, commas and strings alone, so that what stands
/// inside an item does not matter.
class ArrayFinder {
public:
    ArrayFinder(std::string_view text, std::string_view field) : text_(text), field_(field) {}

    /// @return nothing if there is no such array, or it has no end.
    std::optional<ArraySpan> find() {
        for (position_ = 0; position_ < text_.size() && !is_complete_; ++position_) {
            step(text_[position_]);
        }
        return is_complete_ ? std::optional(std::move(span_)) : std::nullopt;
    }

private:
    void step(char character) {
        switch (character) {
            case '"':
                readString();
                break;
            case '{':
                ++depth_;
                break;
            case '[':
                if (depth_ == 1 && !is_inside_ && last_string_ == field_) {
                    is_inside_ = true;
                    span_.begin = position_ + 1;
                    item_begin_ = span_.begin;
                }
                ++depth_;
                break;
            case '}':
            case ']':
                --depth_;
                if (is_inside_ && depth_ == 1) {
                    endItem();
                    span_.end = position_;
                    is_complete_ = true;
                }
                break;
            case ',':
                last_string_ = {};
                if (is_inside_ && depth_ == 2) {
                    endItem();
                }
                break;
            default:
                break;
        }
    }

    /// Moves to the closing quotation mark.
    void readString() {
        const auto begin = ++position_;
        while (position_ < text_.size() && text_[position_] != '"') {
            position_ += text_[position_] == '\\' ? 2 : 1;
        }
        last_string_ = text_.substr(begin, std::min(position_, text_.size()) - begin);
    }

    void endItem() {
        const auto item = text_.substr(item_begin_, position_ - item_begin_);
        if (item.find_first_not_of(" \t\r\n") != std::string_view::npos) {
            span_.items.push_back(item);
        }
        item_begin_ = position_ + 1;
    }

    std::string_view text_;
    std::string_view field_;
    std::size_t position_ = 0;
    std::size_t depth_ = 0;
    std::string_view last_string_;  ///< Since the last comma: the name of the field whose value begins.
    bool is_inside_ = false;
    bool is_complete_ = false;
    std::size_t item_begin_ = 0;
    ArraySpan span_;
};

/// Parses each item by itself.
JsonList parseItemwise(std::string_view text, std::string_view field) {
    const auto span = ArrayFinder(text, field).find();
    if (!span) {
        throw std::invalid_argument(std::string(field) + ": an array is expected");
    }
    JsonList list;
    list.document = parseJson(std::string(text.substr(0, span->begin)) + std::string(text.substr(span->end)));
    for (const auto item : span->items) {
        try {
            list.items.push_back(parseJson(item));
        } catch (const Json::exception&) {
            ++list.skipped;
        } catch (const std::invalid_argument&) {
            ++list.skipped;
        }
    }
    return list;
}

}  // namespace

Json parseJson(std::string_view text) {
    bool is_too_deep = false;
    auto document = Json::parse(text, [&](int depth, Json::parse_event_t, Json&) {
        is_too_deep = is_too_deep || depth > kMaxJsonDepth;
        return !is_too_deep;
    });
    if (is_too_deep) {
        throw std::invalid_argument("document: nested deeper than " + std::to_string(kMaxJsonDepth));
    }
    return document;
}

JsonList parseJsonList(std::string_view text, std::string_view field) {
    JsonList list;
    try {
        list.document = parseJson(text);
    } catch (const std::exception&) {
        return parseItemwise(text, field);
    }
    const std::string name(field);
    if (!list.document.is_object() || !list.document.contains(name) || !list.document[name].is_array()) {
        throw std::invalid_argument(name + ": an array is expected");
    }
    list.items = std::move(list.document[name].get_ref<Json::array_t&>());
    list.document.erase(name);
    return list;
}

}  // namespace dewcrank::adapters
