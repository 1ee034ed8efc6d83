#include "src/settings/daemon_settings.hpp"

#include "src/settings/field_description.hpp"
#include "src/settings/internal/daemon_fields.hpp"
#include "src/settings/internal/document.hpp"

namespace cicadahatch::settings {

parsed<daemon_settings> parse_daemon_settings(std::string_view text, std::string_view source) {
    internal::fault_list faults{text, source};
    parsed<daemon_settings> outcome;
    const Json::Value root = internal::parse_document(text, faults);
    if (faults.empty()) {
        faults.note_place("", root.getOffsetStart());
        internal::read_object(internal::daemon_fields(), root, outcome.value, "", faults);
    }
    // Contradictions are looked for only between fields that are sound by themselves.
    if (faults.empty()) {
        internal::check_daemon_settings(outcome.value, faults);
    }
    outcome.errors = faults.take();
    return outcome;
}

std::vector<field_description> describe_daemon_settings() {
    return internal::describe(internal::daemon_fields());
}

} // namespace cicadahatch::settings
