#include "src/balancing/load_report.h"

#include <array>
#include <charconv>
#include <cstddef>

namespace dewcrank::balancing {

namespace {

constexpr double kMaxCount = 1e6;           ///< Slots or requests; more than any instance has.
constexpr double kMaxPacePercent = 10'000;  ///< 100 times the usual service time.
constexpr double kPercent = 100;
constexpr std::size_t kCounts = 3;
constexpr std::size_t kMaxValues = 4;

std::string_view trimmed(std::string_view text) {
    const auto begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

/// Parses a decimal number from zero to `most`. @param is_whole true to accept only integers.
std::optional<double> parseNumber(std::string_view text, double most, bool is_whole) {
    double value = 0;
    const auto* const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    const bool has_fraction = text.find('.') != std::string_view::npos;
    if (result.ec != std::errc() || result.ptr != end || (is_whole && has_fraction)) {
        return std::nullopt;
    }
    return value >= 0 && value <= most ? std::optional(value) : std::nullopt;
}

}  // namespace

std::optional<LoadReport> parseLoadReport(std::string_view text) {
    std::array<double, kMaxValues> values{};
    std::size_t count = 0;
    for (bool has_more = true; has_more; ++count) {
        if (count == kMaxValues) {
            return std::nullopt;
        }
        const auto comma = text.find(',');
        has_more = comma != std::string_view::npos;
        const bool is_pace = count == kCounts;
        const auto number =
            parseNumber(trimmed(text.substr(0, comma)), is_pace ? kMaxPacePercent : kMaxCount, !is_pace);
        if (!number) {
            return std::nullopt;
        }
        values[count] = *number;
        text.remove_prefix(has_more ? comma + 1 : text.size());
    }
    const bool has_pace = count == kMaxValues;
    const auto [running, waiting, slots, pace] = values;
    if (count < kCounts || slots == 0 || (has_pace && pace == 0)) {
        return std::nullopt;
    }
    return LoadReport{static_cast<std::uint32_t>(running), static_cast<std::uint32_t>(waiting),
                      static_cast<std::uint32_t>(slots), has_pace ? std::optional(pace / kPercent) : std::nullopt};
}

}  // namespace dewcrank::balancing
