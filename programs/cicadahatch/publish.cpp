#include "cicadahatch/core"
#include "programs/cicadahatch/admin_client.hpp"
#include "programs/cicadahatch/command.hpp"
#include "programs/cicadahatch/faults.hpp"
#include "programs/cicadahatch/in_force.hpp"
#include "programs/cicadahatch/platform_client.hpp"
#include "programs/cicadahatch/publication.hpp"
#include "programs/cicadahatch/service_set.hpp"

#include <algorithm>
#include <thread>

namespace cicadahatch::tool {

namespace {

/// Longest time in which an accepted configuration comes into force everywhere.
constexpr const char* default_wait_ms = "9000";

constexpr std::chrono::milliseconds first_pause{100};
constexpr int max_doublings = 5;

void pause_before_retry(int failures) {
    thread_local random_source random{stable_hash(unique_token())};
    const duration base = first_pause * (1 << std::min(failures, max_doublings));
    std::this_thread::sleep_for(random.jittered(base));
}

cxxopts::Options publish_options() {
    auto options =
        make_options("publish",
                     "Checks the service files of directories and puts them into force. Services "
                     "without a file stay as they are.",
                     "DIR|FILE...");
    auto add = options.add_options();
    add("dry-run", "show only what would change");
    add("base", "revision that the files were made from; default: the one in force",
        cxxopts::value<std::uint64_t>(), "REVISION");
    add("erase", "services to erase", cxxopts::value<argument_list>(), "NAME[,..]");
    add("whole", "erase every service that has no file");
    add("change-id", "name of the change; give that of an earlier try whose outcome is unknown",
        cxxopts::value<std::string>(), "ID");
    add("wait", "wait until the daemons named by --admin have it in force");
    add("wait-ms", "longest wait", cxxopts::value<std::int64_t>()->default_value(default_wait_ms),
        "MS");
    add("places", "", cxxopts::value<argument_list>());
    options.parse_positional("places");
    add_platform_option(options);
    add_admin_options(options);
    return options;
}

publish_wish wish_of(const cxxopts::ParseResult& values, std::vector<settings::service> services) {
    publish_wish wish;
    wish.services = std::move(services);
    if (values.count("erase") > 0) {
        for (const std::string& name : values["erase"].as<argument_list>()) {
            wish.erased.emplace_back(name);
        }
    }
    wish.is_whole = values.count("whole") > 0;
    if (values.count("base") > 0) {
        wish.base = revision{values["base"].as<std::uint64_t>()};
    }
    wish.change_id =
        values.count("change-id") > 0 ? values["change-id"].as<std::string>() : unique_token();
    wish.pause = pause_before_retry;
    wish.is_dry_run = values.count("dry-run") > 0;
    return wish;
}

exit_code wait_everywhere(const admin_target& target, const parsed_line& line, revision at) {
    const std::chrono::milliseconds longest{line.values["wait-ms"].as<std::int64_t>()};
    const auto replies = wait_in_force(target, at, longest);
    const exit_code code = report_failures(line.to, replies);
    if (code == exit_code::ok && line.to.format == output_format::table) {
        line.to.out << "in force at " << replies.size() << " daemons\n";
    }
    return code == exit_code::ok ? exit_code::ok : exit_code::unreachable;
}

exit_code publish_line(const parsed_line& line, std::vector<settings::service> services) {
    const bool waits = line.values.count("wait") > 0;
    const auto target = admin_target_of(line.values);
    if (waits && !target) {
        return fail(line.to, "", target.error(), exit_code::usage);
    }
    const auto store = open_platform(line.values);
    if (!store) {
        return fail(line.to, "", store.error(), exit_code::usage);
    }
    const auto outcome =
        publish_services(**store, wish_of(line.values, std::move(services)), line.to);
    if (outcome.code != exit_code::ok || !waits || outcome.at.empty()) {
        return outcome.code;
    }
    return wait_everywhere(*target, line, outcome.at);
}

} // namespace

exit_code run_publish(const argument_list& arguments, const terminal& to) {
    auto options = publish_options();
    const parse_outcome parsed = parse(options, arguments, to);
    if (!parsed.line) {
        return parsed.stop;
    }
    const cxxopts::ParseResult& values = parsed.line->values;
    const auto places =
        values.count("places") > 0 ? values["places"].as<argument_list>() : argument_list{};
    if (places.empty() && values.count("erase") == 0) {
        return fail_usage(to, "nothing to publish");
    }
    auto collected = collect_services(places);
    if (!collected.is_valid()) {
        print_faults(parsed.line->to, collected.errors);
        return exit_code::failed;
    }
    const bool is_empty = collected.value.empty() && values.count("erase") == 0;
    if (is_empty || (values.count("whole") > 0 && collected.value.empty())) {
        return fail_usage(to, "no service file found");
    }
    return publish_line(*parsed.line, std::move(collected.value));
}

} // namespace cicadahatch::tool
