#include "programs/cicadahatch/publication.hpp"

#include "programs/cicadahatch/platform_client.hpp"
#include "src/configuration/error.hpp"
#include "src/configuration/load.hpp"

#include <map>

namespace cicadahatch::tool {

namespace {

using configuration::difference_kind;

/// \returns the configuration in force; null if nothing was published yet
result<configuration::snapshot_ptr> load_current(store::key_value_store& kept) {
    auto current = configuration::load(kept);
    if (!current && current.error() == configuration::errc::not_published) {
        return configuration::snapshot_ptr{};
    }
    return current;
}

/// \returns the whole set that the wish leads to
std::vector<settings::service> whole_set(const publish_wish& wish,
                                         const configuration::snapshot_ptr& current) {
    std::map<service_id, settings::service> set;
    if (current && !wish.is_whole) {
        for (const auto& [name, accepted] : current->services()) {
            set.emplace(name, accepted->described);
        }
    }
    for (const service_id& name : wish.erased) {
        set.erase(name);
    }
    for (const settings::service& described : wish.services) {
        set.insert_or_assign(described.name, described);
    }
    std::vector<settings::service> listed;
    listed.reserve(set.size());
    for (auto& [name, described] : set) {
        listed.push_back(std::move(described));
    }
    return listed;
}

configuration::publication make_publication(const publish_wish& wish,
                                            const configuration::snapshot_ptr& current) {
    const revision in_force = current ? current->at() : revision{};
    return {whole_set(wish, current), wish.base.value_or(in_force), wish.change_id};
}

const char* name_of(difference_kind kind) {
    switch (kind) {
    case difference_kind::created:
        return "created";
    case difference_kind::changed:
        return "changed";
    case difference_kind::erased:
        return "erased";
    }
    return "unknown";
}

std::string joined(const std::vector<std::string>& fields) {
    std::string text;
    for (const std::string& field : fields) {
        text += (text.empty() ? ": " : ", ") + field;
    }
    return text;
}

json to_json(const configuration::publish_report& report, const std::string& status) {
    json differences = json::array();
    for (const configuration::difference& entry : report.differences) {
        differences.push_back({{"service", entry.service.str()},
                               {"kind", name_of(entry.kind)},
                               {"fields", entry.fields}});
    }
    json conflicts = json::array();
    for (const configuration::conflict& entry : report.conflicts) {
        conflicts.push_back({{"service", entry.service.str()},
                             {"others", name_of(entry.others)},
                             {"revision", entry.changed.value()},
                             {"fields", entry.fields}});
    }
    return {{"status", status},
            {"revision", report.at.value()},
            {"differences", differences},
            {"conflicts", conflicts}};
}

std::string to_text(const configuration::publish_report& report, const std::string& status) {
    std::string text;
    for (const configuration::difference& entry : report.differences) {
        text += std::string{name_of(entry.kind)} + " " + entry.service.str() +
                joined(entry.fields) + "\n";
    }
    for (const configuration::conflict& entry : report.conflicts) {
        text += "conflict " + entry.service.str() + ", " + name_of(entry.others) +
                " by others in revision " + std::to_string(entry.changed.value()) +
                joined(entry.fields) + "\n";
    }
    return text + status + " at revision " + std::to_string(report.at.value());
}

void print_report(const terminal& to, const configuration::publish_report& report,
                  const std::string& status) {
    print(to, to_text(report, status), to_json(report, status));
}

publish_outcome fail_publish(const terminal& to, const std::error_code& error,
                             const std::string& change_id) {
    if (error == configuration::errc::outcome_unknown) {
        fail(to, "platform", error, exit_code::unreachable);
        to.err << "cicadahatch: repeat with --change-id " << change_id << " to find out\n";
        return {exit_code::unreachable, {}};
    }
    if (error == configuration::errc::not_accepted || is_platform_unreached(error)) {
        return {fail(to, "platform", error, exit_code::unreachable), {}};
    }
    const bool is_conflict = error == configuration::errc::base_unknown;
    return {fail(to, "publish", error, is_conflict ? exit_code::conflict : exit_code::failed), {}};
}

publish_outcome try_out(const configuration::publication& wanted,
                        const configuration::snapshot_ptr& current, const terminal& to) {
    const auto plan = configuration::plan_change(current, wanted.services, wanted.base);
    if (!plan) {
        return fail_publish(to, plan.error(), wanted.change_id);
    }
    const bool is_conflict = !plan->conflicts.empty();
    const std::string status = is_conflict                 ? "conflict"
                               : plan->differences.empty() ? "unchanged"
                                                           : "would be accepted";
    const revision at = current ? current->at() : revision{};
    print_report(to, {{}, at, plan->differences, plan->conflicts}, status);
    return {is_conflict ? exit_code::conflict : exit_code::ok, {}};
}

publish_outcome put_into_force(store::key_value_store& kept,
                               const configuration::publication& wanted,
                               const configuration::publish_limits& limits, const terminal& to) {
    const auto report = configuration::publish(kept, wanted, limits);
    if (!report) {
        return fail_publish(to, report.error(), wanted.change_id);
    }
    switch (report->status) {
    case configuration::publish_status::accepted:
        print_report(to, *report, "accepted");
        return {exit_code::ok, report->at};
    case configuration::publish_status::unchanged:
        print_report(to, *report, "unchanged");
        return {exit_code::ok, report->at};
    case configuration::publish_status::conflict:
        break;
    }
    print_report(to, *report, "conflict");
    return {exit_code::conflict, {}};
}

} // namespace

publish_outcome publish_services(store::key_value_store& kept, const publish_wish& wish,
                                 const terminal& to) {
    const auto current = load_current(kept);
    if (!current) {
        return fail_publish(to, current.error(), wish.change_id);
    }
    const configuration::publication wanted = make_publication(wish, *current);
    if (wish.is_dry_run) {
        return try_out(wanted, *current, to);
    }
    configuration::publish_limits limits;
    limits.pause = wish.pause;
    return put_into_force(kept, wanted, limits, to);
}

} // namespace cicadahatch::tool
