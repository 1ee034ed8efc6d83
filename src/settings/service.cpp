#include "src/settings/service.hpp"

#include "src/settings/field_description.hpp"
#include "src/settings/internal/document.hpp"
#include "src/settings/internal/service_fields.hpp"

namespace cicadahatch::settings {

parsed<service> parse_service(std::string_view text, std::string_view source) {
    internal::fault_list faults{text, source};
    parsed<service> outcome;
    const Json::Value root = internal::parse_document(text, faults);
    if (faults.empty()) {
        faults.note_place("", root.getOffsetStart());
        internal::read_object(internal::service_fields(), root, outcome.value, "", faults);
    }
    // Contradictions are looked for only between fields that are sound by themselves.
    if (faults.empty()) {
        internal::check_service(outcome.value, faults);
    }
    outcome.errors = faults.take();
    return outcome;
}

std::string render_service(const service& described) {
    const Json::Value json = internal::write_object(internal::service_fields(), described);
    return internal::render_json(json, "  ") + "\n";
}

std::vector<field_description> describe_service() {
    return internal::describe(internal::service_fields());
}

} // namespace cicadahatch::settings
