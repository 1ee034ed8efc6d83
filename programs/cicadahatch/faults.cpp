#include "programs/cicadahatch/faults.hpp"

namespace cicadahatch::tool {

namespace {

json to_json(const settings::field_error& fault) {
    return {{"file", fault.source},
            {"line", fault.line},
            {"field", fault.field},
            {"fault", fault.code.message()},
            {"accepted", fault.accepted}};
}

} // namespace

void print_faults(const terminal& to, const std::vector<settings::field_error>& faults) {
    if (to.format == output_format::json) {
        json records = json::array();
        for (const settings::field_error& fault : faults) {
            records.push_back(to_json(fault));
        }
        print_records(to, records);
        return;
    }
    for (const settings::field_error& fault : faults) {
        to.err << settings::to_string(fault) << '\n';
    }
}

} // namespace cicadahatch::tool
