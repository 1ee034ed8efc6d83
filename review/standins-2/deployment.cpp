#include "review/standins-2/deployment.hpp"

#include <array>
#include <cstdio>
#include <cstdlib>

namespace standins {

using nlohmann::json;

case_options read_options(const std::vector<std::string>& arguments) {
    constexpr std::size_t expected = 4;
    if (arguments.size() != expected) {
        return {};
    }
    const char* trouble = std::getenv("TROUBLE");
    return {arguments[1], arguments[2], arguments[3],
            trouble == nullptr || std::string{trouble} != "0"};
}

std::string record::seconds(time_point at) const {
    std::array<char, 32> text{};
    const std::chrono::duration<double> since = at - began_at_;
    std::snprintf(text.data(), text.size(), "%.3f", since.count());
    return text.data();
}

void record::write_runs(const std::vector<run>& runs) {
    for (const run& row : runs) {
        write("run: ", row.request, " ", row.what, " at ", row.engine, " from ",
              seconds(row.began_at), " to ",
              row.ended_at == time_point{} ? std::string{"(goes on)"} : seconds(row.ended_at),
              row.is_answered ? ", answered whole" : ", not answered whole");
    }
}

std::string request_text(const std::string& path, const std::string& id,
                         std::chrono::milliseconds deadline, const std::string& fields,
                         const std::string& body) {
    return "POST " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Cicadahatch-Attempt-Id: " + id +
           "\r\nX-Cicadahatch-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string stream_fields(const std::string& session, unsigned long output_tokens) {
    return "X-Cicadahatch-Model: m\r\nX-Cicadahatch-Token-Usage: 5000," +
           std::to_string(output_tokens) + "\r\nX-Cicadahatch-Prompt-Prefix: 5c1e07a2:200," +
           session + ":4800\r\n";
}

json sample_configuration() {
    const json engine{{"slots", 64},    {"kvTokens", 101'752}, {"kvTokenBytes", 35'136},
                      {"stride", 61},   {"handleTtlS", 0.5},   {"reconfigS", 6.0},
                      {"holdMs", 2000}, {"pinMs", 4000},       {"backups", true}};
    const json costing{{"name", "r-1"},       {"host", "ficu95.example"}, {"prefix", "/costing/"},
                       {"kind", "streaming"}, {"timeoutMs", 14'000},      {"sloMs", 800},
                       {"priority", 0},       {"service", "pattern"},     {"attempts", 2},
                       {"sticky", true},      {"canResume", true},        {"gapSloMs", 300}};
    const json lace{{"name", "r-2"},       {"host", "ficu95.example"}, {"prefix", "/lace/"},
                    {"kind", "streaming"}, {"timeoutMs", 14'000},      {"sloMs", 2000},
                    {"priority", 2},       {"service", "pattern"},     {"attempts", 1},
                    {"sticky", true},      {"canResume", false},       {"gapSloMs", 300}};
    const json order{{"name", "r-3"},       {"host", "ficu95.example"},
                     {"prefix", "/order/"}, {"kind", "non_idempotent"},
                     {"timeoutMs", 1500},   {"sloMs", 300},
                     {"priority", 2},       {"service", "portal"},
                     {"attempts", 1}};
    const json limits{{"headerBytes", 16'384},
                      {"bodyBytes", 4'194'304},
                      {"headerTimeoutMs", 3000},
                      {"idleTimeoutMs", 15'000}};
    const json pattern{{"name", "pattern"}, {"healthPath", "/health"},
                       {"maxConns", 360},   {"protocol", "h1"},
                       {"tls", false},      {"engine", engine}};
    const json portal{{"name", "portal"},
                      {"healthPath", "/health"},
                      {"maxConns", 100},
                      {"protocol", "h1"},
                      {"tls", false}};
    return {{"version", 7},
            {"routes", json::array({costing, lace, order})},
            {"services", json::array({pattern, portal})},
            {"limits", limits}};
}

} // namespace standins
