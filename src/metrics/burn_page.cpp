#include "src/metrics/burn_page.hpp"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace cicadahatch::metrics {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

constexpr double percent = 100.0;

const char* name_of(rank work_rank) {
    return work_rank == rank::urgent ? "urgent" : "deferrable";
}

double in_milliseconds(duration value) {
    return milliseconds{value}.count();
}

std::string in_utc(wall_time at) {
    const std::time_t seconds = std::chrono::system_clock::to_time_t(at);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::ostringstream out;
    out << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
    return out.str();
}

std::string fixed(double value, int digits) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << value;
    return out.str();
}

std::uint64_t refused_count(const burn_line& line) {
    std::uint64_t sum = 0;
    for (const auto& [reason, count] : line.refused) {
        sum += count;
    }
    return sum;
}

std::string refusals_of(const burn_line& line) {
    std::string text;
    for (const auto& [reason, count] : line.refused) {
        text += (text.empty() ? "" : ", ") + reason.str() + " " + std::to_string(count);
    }
    return text.empty() ? "none" : text;
}

nlohmann::json window_json(const burn_window& window) {
    return {{"seconds", std::chrono::duration_cast<std::chrono::seconds>(window.length).count()},
            {"requests", window.counted.requests},
            {"good", window.counted.good},
            {"burn_rate", window.rate}};
}

nlohmann::json line_json(const burn_line& line) {
    nlohmann::json refused = nlohmann::json::object();
    for (const auto& [reason, count] : line.refused) {
        refused[reason.str()] = count;
    }
    return {{"service", line.objective.service.str()},
            {"rank", name_of(line.objective.work_rank)},
            {"objective", line.objective.objective},
            {"first_token_target_ms", in_milliseconds(line.objective.first_token_target)},
            {"between_tokens_target_ms", in_milliseconds(line.objective.between_tokens_target)},
            {"short_window", window_json(line.short_window)},
            {"long_window", window_json(line.long_window)},
            {"budget_left", line.budget_left},
            {"first_token_ms", in_milliseconds(line.first_token)},
            {"between_tokens_ms", in_milliseconds(line.between_tokens)},
            {"wasted_prefill", line.wasted_prefill},
            {"refused", std::move(refused)}};
}

std::string escaped(const std::string& text) {
    std::string safe;
    for (const char letter : text) {
        switch (letter) {
        case '&':
            safe += "&amp;";
            break;
        case '<':
            safe += "&lt;";
            break;
        case '>':
            safe += "&gt;";
            break;
        case '"':
            safe += "&quot;";
            break;
        default:
            safe.push_back(letter);
        }
    }
    return safe;
}

/// A bar whose full width is a burn rate of max_drawn_rate, with a mark at 1.
std::string bar(double rate, const std::string& label) {
    constexpr double width = 200.0;
    constexpr double max_drawn_rate = 4.0;
    const double length = width * std::min(rate, max_drawn_rate) / max_drawn_rate;
    const char* color = rate > 1.0 ? "#b3261e" : "#1b6e3c";
    std::ostringstream out;
    out << "<svg width=\"200\" height=\"16\" role=\"img\" aria-label=\"" << label << "\">"
        << "<rect width=\"200\" height=\"16\" fill=\"#e6e6e6\"/>"
        << "<rect width=\"" << fixed(length, 1) << "\" height=\"16\" fill=\"" << color << "\"/>"
        << "<line x1=\"50\" y1=\"0\" x2=\"50\" y2=\"16\" stroke=\"#111\" stroke-width=\"2\"/>"
        << "</svg>";
    return out.str();
}

std::string rate_cell(const burn_window& window) {
    const std::string rate = fixed(window.rate, 2);
    return "<td>" + bar(window.rate, "burn rate " + rate) + "<br>" + rate + " (" +
           std::to_string(window.counted.good) + " of " + std::to_string(window.counted.requests) +
           " good)</td>";
}

std::string latency_cell(duration value, duration target) {
    const std::string limit =
        target == duration{0} ? "no target" : "target " + fixed(in_milliseconds(target), 0);
    return "<td>" + fixed(in_milliseconds(value), 1) + " ms (" + limit + ")</td>";
}

std::string html_row(const burn_line& line) {
    return "<tr><th scope=\"row\">" + escaped(line.objective.service.str()) + "</th><td>" +
           name_of(line.objective.work_rank) + "</td><td>" +
           fixed(line.objective.objective * percent, 1) + "%</td>" + rate_cell(line.short_window) +
           rate_cell(line.long_window) + "<td>" + fixed(line.budget_left * percent, 0) + "%</td>" +
           latency_cell(line.first_token, line.objective.first_token_target) +
           latency_cell(line.between_tokens, line.objective.between_tokens_target) + "<td>" +
           fixed(line.wasted_prefill * percent, 2) + "%</td><td>" + escaped(refusals_of(line)) +
           "</td></tr>\n";
}

constexpr const char* page_head =
    "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
    "<title>Service-level burn</title><style>"
    "body{font-family:sans-serif;color:#111;background:#fff;margin:2em}"
    "table{border-collapse:collapse}th,td{border:1px solid #767676;padding:.4em;text-align:left}"
    "thead th{background:#e8eef5}</style></head><body><h1>Service-level burn</h1>\n";

constexpr const char* table_head =
    "<table><thead><tr><th>Service</th><th>Rank</th><th>Objective</th><th>Burn, 5 min</th>"
    "<th>Burn, 60 min</th><th>Budget left</th><th>First token</th><th>Between tokens</th>"
    "<th>Wasted prefill</th><th>Refused</th></tr></thead><tbody>\n";

} // namespace

std::string render_text(const burn_report& report) {
    std::ostringstream out;
    out << "service-level burn at " << in_utc(report.made) << ", " << report.daemons
        << " daemons\n";
    out << std::left << std::setw(28) << "service" << std::setw(11) << "rank" << std::right
        << std::setw(10) << "objective" << std::setw(9) << "burn 5m" << std::setw(10) << "burn 60m"
        << std::setw(9) << "budget" << std::setw(11) << "first ms" << std::setw(12) << "between ms"
        << std::setw(8) << "wasted" << std::setw(9) << "refused" << '\n';
    for (const burn_line& line : report.lines) {
        out << std::left << std::setw(28) << line.objective.service.str() << std::setw(11)
            << name_of(line.objective.work_rank) << std::right << std::setw(9)
            << fixed(line.objective.objective * percent, 1) << '%' << std::setw(9)
            << fixed(line.short_window.rate, 2) << std::setw(10) << fixed(line.long_window.rate, 2)
            << std::setw(8) << fixed(line.budget_left * percent, 0) << '%' << std::setw(11)
            << fixed(in_milliseconds(line.first_token), 1) << std::setw(12)
            << fixed(in_milliseconds(line.between_tokens), 1) << std::setw(7)
            << fixed(line.wasted_prefill * percent, 2) << '%' << std::setw(9) << refused_count(line)
            << '\n';
        if (!line.refused.empty()) {
            out << "  refused: " << refusals_of(line) << '\n';
        }
    }
    return out.str();
}

std::string render_json(const burn_report& report) {
    nlohmann::json lines = nlohmann::json::array();
    for (const burn_line& line : report.lines) {
        lines.push_back(line_json(line));
    }
    const nlohmann::json whole = {
        {"made", in_utc(report.made)}, {"daemons", report.daemons}, {"lines", std::move(lines)}};
    constexpr int indent = 2;
    return whole.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

std::string render_html(const burn_report& report) {
    std::ostringstream out;
    out << page_head << "<p>Made at " << in_utc(report.made) << " from " << report.daemons
        << " daemons. A burn rate of 1 (the mark on the bars) spends the error budget exactly; "
           "a bar's full width is 4. Budget left is that of the last 60 minutes.</p>\n"
        << table_head;
    for (const burn_line& line : report.lines) {
        out << html_row(line);
    }
    out << "</tbody></table></body></html>\n";
    return out.str();
}

} // namespace cicadahatch::metrics
