#include "programs/cicadahatch/command.hpp"
#include "programs/cicadahatch/error.hpp"
#include "programs/cicadahatch/story.hpp"

#include <fstream>

namespace cicadahatch::tool {

namespace {

/// A daemon leaves a home after at most 1.5 s of silence, and a store's entry lapses within some
/// seconds; what is older has been replaced by later beliefs.
constexpr std::chrono::seconds belief_window{5};

void add_lines(json& records, const std::string& part, const std::vector<log_record>& lines,
               std::chrono::milliseconds start) {
    for (const log_record& line : lines) {
        records.push_back({{"part", part},
                           {"ms", (line.at - start).count()},
                           {"daemon", line.daemon},
                           {"event", line.event},
                           {"fields", line.fields.dump()}});
    }
}

void print_story(const terminal& to, const request_story& story) {
    const std::chrono::milliseconds start = story.lines.front().at;
    json records = json::array();
    add_lines(records, "beliefs", story.beliefs, start);
    add_lines(records, "request", story.lines, start);
    add_lines(records, "elsewhere", story.elsewhere, start);
    print_records(to, records);
    if (to.format == output_format::table) {
        to.out << conclusion_of(story) << '\n';
    }
}

} // namespace

exit_code run_explain(const argument_list& arguments, const terminal& to) {
    auto options = make_options("explain", "Tells from logs what became of a request, and why.",
                                "REQUEST_ID --log FILE[,..]");
    options.add_options()("log", "log of a daemon", cxxopts::value<argument_list>(), "FILE[,..]");
    options.add_options()("request", "", cxxopts::value<std::string>());
    options.parse_positional("request");
    const parse_outcome parsed = parse(options, arguments, to);
    if (!parsed.line) {
        return parsed.stop;
    }
    const auto& values = parsed.line->values;
    if (values.count("request") == 0 || values.count("log") == 0) {
        return fail_usage(to, "a request's id and at least one log are needed");
    }
    std::vector<log_record> records;
    for (const std::string& file : values["log"].as<argument_list>()) {
        std::ifstream log{file};
        if (!log) {
            return fail(to, file, std::make_error_code(std::errc::no_such_file_or_directory));
        }
        const auto read = read_records(log);
        records.insert(records.end(), read.begin(), read.end());
    }
    const auto story = tell_story(records, values["request"].as<std::string>(), belief_window);
    if (!story) {
        to.err << "cicadahatch: no line names this request\n";
        return exit_code::failed;
    }
    print_story(parsed.line->to, *story);
    return exit_code::ok;
}

} // namespace cicadahatch::tool
