#include "programs/cicadahatch/story.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

namespace cicadahatch::tool {

namespace {

using std::chrono::milliseconds;

/// Events that change what a daemon believes, by the beginning of their names.
constexpr std::array<std::string_view, 9> belief_prefixes{
    "backend.", "home.",    "store.", "registry.", "configuration.",
    "daemon.",  "daemons.", "order.", "settings."};

bool is_belief(const log_record& record) {
    return std::any_of(belief_prefixes.begin(), belief_prefixes.end(),
                       [&](std::string_view prefix) { return record.event.starts_with(prefix); });
}

std::string text_of(const log_record& record, const char* name) {
    const auto found = record.fields.find(name);
    return found != record.fields.end() && found->is_string() ? found->get<std::string>()
                                                              : std::string{};
}

std::optional<log_record> parse_record(const std::string& line) {
    const auto begin = line.find('{');
    if (begin == std::string::npos) {
        return std::nullopt;
    }
    auto object = nlohmann::ordered_json::parse(line.substr(begin), nullptr, false);
    const bool is_record = object.is_object() && object.contains("event") &&
                           object["event"].is_string() && object.contains("t") &&
                           object["t"].is_number_integer();
    if (!is_record) {
        return std::nullopt;
    }
    log_record record;
    record.at = milliseconds{object["t"].get<std::int64_t>()};
    record.event = object["event"].get<std::string>();
    record.daemon = object.value("daemon", std::string{});
    for (const char* name : {"t", "event", "daemon"}) {
        object.erase(name);
    }
    record.fields = std::move(object);
    return record;
}

/// The daemons and backend servers that the request's lines name.
std::set<std::string> names_met(const std::vector<log_record>& lines) {
    std::set<std::string> names;
    for (const log_record& line : lines) {
        for (const char* field : {"backend", "decode", "prefill", "home"}) {
            names.insert(text_of(line, field));
        }
    }
    names.erase(std::string{});
    return names;
}

bool concerns(const log_record& record, const std::set<std::string>& names) {
    const std::set<std::string> named = {text_of(record, "backend"), text_of(record, "home"),
                                         text_of(record, "peer")};
    return std::any_of(named.begin(), named.end(),
                       [&](const std::string& name) { return names.contains(name); });
}

/// Whether a line tells of something that went wrong.
bool is_failure(const log_record& line) {
    if (line.event == "request.end") {
        return false;
    }
    const auto status = line.fields.value("status", 0);
    const bool is_bad_status = line.fields.contains("status") && (status < 200 || status >= 300);
    return is_bad_status || !text_of(line, "error").empty() ||
           (line.event == "placement.answered" && line.fields.value("answer", 0) != 0);
}

std::string described(const log_record& line) {
    std::string text = line.event;
    for (const char* field : {"home", "backend", "decode", "ended", "reason", "error"}) {
        if (const std::string value = text_of(line, field); !value.empty()) {
            text.append(", ").append(field).append(" ").append(value);
        }
    }
    if (line.fields.contains("status")) {
        text.append(", status ").append(line.fields["status"].dump());
    }
    return text;
}

} // namespace

std::vector<log_record> read_records(std::istream& log) {
    std::vector<log_record> records;
    for (std::string line; std::getline(log, line);) {
        if (auto record = parse_record(line)) {
            records.push_back(std::move(*record));
        }
    }
    return records;
}

std::optional<request_story> tell_story(const std::vector<log_record>& records,
                                        const std::string& request, milliseconds before) {
    request_story story;
    for (const log_record& record : records) {
        if (text_of(record, "request") == request) {
            story.lines.push_back(record);
        }
    }
    if (story.lines.empty()) {
        return std::nullopt;
    }
    story.daemon = story.lines.front().daemon;
    const milliseconds from = story.lines.front().at - before;
    const milliseconds until = story.lines.back().at;
    const std::set<std::string> names = names_met(story.lines);
    for (const log_record& record : records) {
        if (!is_belief(record) || record.at < from || record.at > until) {
            continue;
        }
        if (record.daemon == story.daemon) {
            story.beliefs.push_back(record);
        } else if (concerns(record, names)) {
            story.elsewhere.push_back(record);
        }
    }
    return story;
}

std::string conclusion_of(const request_story& story) {
    const auto ended = std::find_if(story.lines.begin(), story.lines.end(), [](const auto& line) {
        return line.event == "request.end" || line.event == "request.refused";
    });
    std::string text = "The logs hold no end of it";
    if (ended != story.lines.end()) {
        text = "It ended with status " + ended->fields.value("status", nlohmann::json{}).dump();
        for (const char* field : {"outcome", "reason", "ending"}) {
            const std::string value = text_of(*ended, field);
            if (!value.empty() && value != "none") {
                text.append(", ").append(field).append(" ").append(value);
            }
        }
    }
    const auto failed = std::find_if(story.lines.rbegin(), story.lines.rend(), is_failure);
    if (failed != story.lines.rend()) {
        text.append("; before that: ").append(described(*failed));
    }
    return text + ".";
}

} // namespace cicadahatch::tool
