#include "src/settings/field_error.hpp"

namespace cicadahatch::settings {

std::string to_string(const field_error& error) {
    std::string text = error.source;
    if (error.line > 0) {
        text += ":" + std::to_string(error.line);
    }
    if (!error.field.empty()) {
        text += ": " + error.field;
    }
    text += ": " + error.code.message();
    if (!error.accepted.empty()) {
        text += "; accepted: " + error.accepted;
    }
    return text;
}

} // namespace cicadahatch::settings
