#include "programs/cicadahatch/order.hpp"

namespace cicadahatch::tool {

exit_code send_order(const parsed_line& line, const std::string& resource, const json& body) {
    const auto target = admin_target_of(line.values);
    if (!target) {
        return fail(line.to, "", target.error(), exit_code::usage);
    }
    const auto replies = ask_all(*target, order_request(resource, body));
    json records = json::array();
    for (const daemon_reply& reply : replies) {
        records.push_back({{"admin", to_string(reply.daemon)},
                           {"order", resource},
                           {"taken", reply.body.has_value()}});
    }
    print_records(line.to, records);
    return report_failures(line.to, replies);
}

} // namespace cicadahatch::tool
