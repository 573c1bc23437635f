#include "src/ports/event_log.h"

namespace dewcrank {

namespace {

bool needsQuotes(std::string_view value) {
    return value.empty() || value.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

void appendQuoted(std::string& line, std::string_view value) {
    line += '"';
    for (const char character : value) {
        if (character == '\n' || character == '\r') {
            line += ' ';
            continue;
        }
        if (character == '"' || character == '\\') {
            line += '\\';
        }
        line += character;
    }
    line += '"';
}

}  // namespace

std::string Event::line() const {
    std::string line = "event=" + name_;
    for (const auto& field : fields_) {
        line += ' ' + field.key + '=';
        if (needsQuotes(field.value)) {
            appendQuoted(line, field.value);
        } else {
            line += field.value;
        }
    }
    return line;
}

}  // namespace dewcrank
