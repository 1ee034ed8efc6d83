#include "programs/cicadahatch/admin_client.hpp"
#include "programs/cicadahatch/command.hpp"
#include "programs/cicadahatch/error.hpp"

namespace cicadahatch::tool {

namespace {

/// \brief Adds a daemon's records, each with the daemon's address.
/// \param list name of the list in the answer; empty: the answer is the one record
bool add_records(const daemon_reply& reply, const std::string& list, json& records) {
    const json answer = json::parse(*reply.body, nullptr, false);
    const bool is_sound =
        answer.is_object() && (list.empty() || (answer.contains(list) && answer[list].is_array()));
    if (!is_sound) {
        return false;
    }
    const json found = list.empty() ? json::array({answer}) : answer[list];
    for (const json& entry : found) {
        json record{{"admin", to_string(reply.daemon)}};
        record.update(entry.is_object() ? entry : json{{"value", entry}});
        records.push_back(std::move(record));
    }
    return true;
}

exit_code print_replies(const terminal& to, std::vector<daemon_reply> replies,
                        const std::string& list) {
    json records = json::array();
    for (daemon_reply& reply : replies) {
        if (reply.body && !add_records(reply, list, records)) {
            reply.body = failure(errc::malformed_answer);
        }
    }
    print_records(to, records);
    return report_failures(to, replies);
}

/// \brief Asks every daemon for a resource and prints what comes back.
exit_code inspect(const argument_list& arguments, const terminal& to, const std::string& resource,
                  const std::string& summary, const std::string& list) {
    auto options = make_options(resource, summary);
    add_admin_options(options);
    const parse_outcome parsed = parse(options, arguments, to);
    if (!parsed.line) {
        return parsed.stop;
    }
    const auto target = admin_target_of(parsed.line->values);
    if (!target) {
        return fail(to, "", target.error(), exit_code::usage);
    }
    return print_replies(parsed.line->to, ask_all(*target, read_request(resource)), list);
}

} // namespace

exit_code run_status(const argument_list& arguments, const terminal& to) {
    return inspect(arguments, to, "status", "Shows the state of daemons.", "");
}

exit_code run_cells(const argument_list& arguments, const terminal& to) {
    return inspect(arguments, to, "cells", "Shows the cells whose home the daemons are.", "cells");
}

exit_code run_engines(const argument_list& arguments, const terminal& to) {
    return inspect(arguments, to, "engines", "Shows the backend servers as the daemons see them.",
                   "engines");
}

exit_code run_members(const argument_list& arguments, const terminal& to) {
    return inspect(arguments, to, "members", "Shows the daemons that the daemons see.", "members");
}

} // namespace cicadahatch::tool
