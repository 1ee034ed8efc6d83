#include "programs/cicadahatch/terminal.hpp"

#include <algorithm>
#include <vector>

namespace cicadahatch::tool {

namespace {

constexpr std::size_t column_gap = 2;
constexpr int json_indentation = 2;

using row = std::vector<std::string>;

std::vector<std::string> column_names(const json& records) {
    std::vector<std::string> names;
    for (const json& record : records) {
        for (const auto& [name, value] : record.items()) {
            if (std::find(names.begin(), names.end(), name) == names.end()) {
                names.push_back(name);
            }
        }
    }
    return names;
}

std::string cell_text(const json& record, const std::string& name) {
    const auto found = record.find(name);
    if (found == record.end() || found->is_null()) {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::vector<std::size_t> column_widths(const std::vector<row>& rows) {
    std::vector<std::size_t> widths(rows.front().size());
    for (const row& cells : rows) {
        for (std::size_t column = 0; column < cells.size(); ++column) {
            widths[column] = std::max(widths[column], cells[column].size());
        }
    }
    return widths;
}

void print_row(std::ostream& out, const row& cells, const std::vector<std::size_t>& widths) {
    std::string line;
    for (std::size_t column = 0; column < cells.size(); ++column) {
        line += cells[column];
        if (column + 1 < cells.size()) {
            line.append(widths[column] - cells[column].size() + column_gap, ' ');
        }
    }
    out << line << '\n';
}

} // namespace

void print_records(const terminal& to, const json& records) {
    if (to.format == output_format::json) {
        to.out << records.dump(json_indentation, ' ', false, json::error_handler_t::replace)
               << '\n';
        return;
    }
    std::vector<row> rows{column_names(records)};
    for (const json& record : records) {
        row& cells = rows.emplace_back();
        for (const std::string& name : rows.front()) {
            cells.push_back(cell_text(record, name));
        }
    }
    const std::vector<std::size_t> widths = column_widths(rows);
    for (const row& cells : rows) {
        print_row(to.out, cells, widths);
    }
}

void print(const terminal& to, const std::string& text, const json& value) {
    if (to.format == output_format::json) {
        to.out << value.dump(json_indentation, ' ', false, json::error_handler_t::replace) << '\n';
        return;
    }
    to.out << text << '\n';
}

exit_code fail(const terminal& to, const std::string& about, const std::error_code& error,
               exit_code code) {
    to.err << "cicadahatch: " << about << (about.empty() ? "" : ": ") << error.message() << '\n';
    return code;
}

} // namespace cicadahatch::tool
