#include "src/settings/field_description.hpp"

namespace cicadahatch::settings {

namespace {

std::string cell(const std::string& text) {
    return " " + (text.empty() ? std::string{"–"} : text) + " |";
}

std::string code_cell(const std::string& text) {
    return cell("`" + text + "`");
}

} // namespace

std::string render_table(const std::vector<field_description>& fields) {
    std::string text = "| Field | Type | Unit | Default | Accepted | Meaning |\n"
                       "|---|---|---|---|---|---|\n";
    for (const field_description& described : fields) {
        text += "|" + code_cell(described.path) + cell(described.type) + cell(described.unit);
        text += described.fallback == "required" ? cell("required") : code_cell(described.fallback);
        text += cell(described.accepted) + cell(described.meaning) + "\n";
    }
    return text;
}

} // namespace cicadahatch::settings
