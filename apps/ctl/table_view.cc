#include "apps/ctl/table_view.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

namespace dewcrank::ctl {

namespace {

using Json = nlohmann::ordered_json;
using TextRow = std::vector<std::string>;
using Rows = std::map<std::string, policy::RowCells>;

constexpr const char* kStep = "table.import";

/// Pads the cells so that columns are aligned.
std::string alignColumns(const std::vector<TextRow>& rows) {
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column] + std::string(widths[column] - row[column].size() + 2, ' ');
        }
        text += line.substr(0, line.find_last_not_of(' ') + 1) + '\n';
    }
    return text;
}

std::string asText(const Rows& rows) {
    std::string text;
    for (const auto& type : policy::rowTypes()) {
        const auto columns = policy::columnsOf(type);
        std::vector<TextRow> lines(1, TextRow{"row"});
        for (const auto& column : columns) {
            lines.front().push_back(column.name);
        }
        for (const auto& [name, cells] : rows) {
            if (policy::rowTypeOf(name) != type) {
                continue;
            }
            TextRow line{name};
            for (const auto& column : columns) {
                line.push_back(cells.at(column.name));
            }
            lines.push_back(std::move(line));
        }
        text += alignColumns(lines) + '\n';
    }
    return text;
}

std::string asCsv(const Rows& rows) {
    TextRow columns;
    for (const auto& type : policy::rowTypes()) {
        for (const auto& column : policy::columnsOf(type)) {
            columns.push_back(column.name);
        }
    }
    std::string text = "row";
    for (const auto& column : columns) {
        text += ',' + column;
    }
    text += '\n';
    for (const auto& [name, cells] : rows) {
        text += name;
        for (const auto& column : columns) {
            const auto cell = cells.find(column);
            text += ',' + (cell == cells.end() ? "" : cell->second);
        }
        text += '\n';
    }
    return text;
}

std::string asJson(const Rows& rows) {
    Json table = Json::object();
    for (const auto& [name, cells] : rows) {
        for (const auto& [column, value] : cells) {
            table[name][column] = value;
        }
    }
    return Json{{"rows", std::move(table)}}.dump(2) + '\n';
}

TextRow splitLine(const std::string& line) {
    TextRow cells;
    std::stringstream stream(line);
    std::string cell;
    while (std::getline(stream, cell, ',')) {
        cells.push_back(cell);
    }
    return cells;
}

Result<Rows> parseCsv(const std::string& file, const std::string& text) {
    std::stringstream stream(text);
    std::string line;
    std::getline(stream, line);
    const auto columns = splitLine(line);
    Rows rows;
    for (int number = 2; std::getline(stream, line); ++number) {
        const auto cells = splitLine(line);
        if (cells.size() > columns.size()) {
            return stepError(kStep, file + ":" + std::to_string(number), "more cells than columns");
        }
        for (std::size_t index = 1; index < cells.size(); ++index) {
            if (!cells[index].empty()) {
                rows[cells[0]][columns[index]] = cells[index];
            }
        }
    }
    return rows;
}

Result<Rows> parseJson(const std::string& file, const std::string& text) {
    const auto json = Json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("rows") || !json["rows"].is_object()) {
        return stepError(kStep, file, "an object with \"rows\" is expected");
    }
    Rows rows;
    for (const auto& [name, cells] : json["rows"].items()) {
        if (!cells.is_object()) {
            return stepError(kStep, file, name + ": an object of cells is expected");
        }
        for (const auto& [column, value] : cells.items()) {
            rows[name][column] = value.is_string() ? value.get<std::string>() : value.dump();
        }
    }
    return rows;
}

}  // namespace

std::string renderTable(const wire::RouteTable& table, OutputFormat output) {
    const auto rows = policy::rowsOf(table);
    switch (output) {
        case OutputFormat::kJson:
            return asJson(rows);
        case OutputFormat::kCsv:
            return asCsv(rows);
        case OutputFormat::kText:
            break;
    }
    return "version " + std::to_string(table.version()) + "\n\n" + asText(rows);
}

std::string renderColumns() {
    std::vector<TextRow> lines(1, TextRow{"row", "column", "meaning", "allowed"});
    for (const auto& type : policy::rowTypes()) {
        for (const auto& column : policy::columnsOf(type)) {
            lines.push_back({type, column.name, column.meaning, column.allowed});
        }
    }
    return alignColumns(lines);
}

Result<Rows> parseRows(const std::string& file, const std::string& text) {
    const auto first = text.find_first_not_of(" \t\r\n");
    const bool is_json = first != std::string::npos && text[first] == '{';
    return is_json ? parseJson(file, text) : parseCsv(file, text);
}

}  // namespace dewcrank::ctl
