#include "src/settings/gateway_settings.hpp"

#include "src/settings/field_description.hpp"
#include "src/settings/internal/document.hpp"
#include "src/settings/internal/gateway_fields.hpp"

namespace cicadahatch::settings {

parsed<gateway_settings> parse_gateway_settings(std::string_view text, std::string_view source) {
    internal::fault_list faults{text, source};
    parsed<gateway_settings> outcome;
    const Json::Value root = internal::parse_document(text, faults);
    if (faults.empty()) {
        faults.note_place("", root.getOffsetStart());
        internal::read_object(internal::gateway_fields(), root, outcome.value, "", faults);
    }
    outcome.errors = faults.take();
    return outcome;
}

std::vector<field_description> describe_gateway_settings() {
    return internal::describe(internal::gateway_fields());
}

} // namespace cicadahatch::settings
