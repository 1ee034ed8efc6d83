#include "test/support/http_calls.hpp"

#include "cicadahatch/core"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

namespace cicadahatch::test_support {

namespace {

using nlohmann::json;
using std::chrono::steady_clock;

constexpr std::chrono::milliseconds answer_timeout{60'000};
constexpr std::size_t max_line_bytes = 64UL * 1024;
constexpr std::string_view data_field = "data: ";
constexpr std::uint64_t token_values = 100'000;

http::request completion(const std::string& service, const std::string& prompt,
                         std::uint32_t max_tokens, bool is_streamed, http::header_list headers) {
    headers.push_back({"Content-Type", "application/json"});
    headers.push_back(http::no_interim());
    const json body{{"model", service},
                    {"prompt", prompt},
                    {"max_tokens", max_tokens},
                    {"stream", is_streamed}};
    return {"POST", "/v1/completions", "", headers, body.dump()};
}

/// Takes in one data field; false at the end of the answer.
bool take_data(streamed_answer& answer, const std::string& data, steady_clock::time_point& last) {
    if (data == "[DONE]") {
        answer.is_whole = true;
        return false;
    }
    const json content = json::parse(data, nullptr, false);
    if (!content.contains("choices")) {
        answer.problem = data;
        return false;
    }
    const auto now = steady_clock::now();
    if (answer.positions.empty()) {
        answer.first_token = now - last;
    } else {
        answer.longest_gap = std::max<duration>(answer.longest_gap, now - last);
    }
    last = now;
    answer.text += content["choices"][0]["text"].get<std::string>();
    return true;
}

} // namespace

streamed_answer stream_completion(const http::endpoint& daemon, const std::string& service,
                                  const std::string& prompt, std::uint32_t max_tokens,
                                  const http::header_list& headers,
                                  const std::function<void(std::size_t)>& on_token) {
    streamed_answer answer;
    auto last = steady_clock::now();
    auto stream = http::response_stream::open(
        daemon, completion(service, prompt, max_tokens, true, headers), answer_timeout);
    if (!stream) {
        return answer;
    }
    answer.status = stream->head().status;
    if (answer.status != http::status_ok) {
        answer.problem = stream->read_rest().value_or("");
        return answer;
    }
    std::uint64_t position = 0;
    while (const auto line = stream->read_line(max_line_bytes)) {
        if (line->rfind("id: ", 0) == 0) {
            position = std::stoull(line->substr(std::string{"id: "}.size()));
        }
        if (line->rfind(data_field, 0) != 0) {
            continue;
        }
        if (!take_data(answer, line->substr(data_field.size()), last)) {
            break;
        }
        answer.positions.push_back(position);
        if (on_token) {
            on_token(answer.positions.size());
        }
    }
    return answer;
}

result<http::response> complete(const http::endpoint& daemon, const std::string& service,
                                const std::string& prompt, std::uint32_t max_tokens) {
    return http::call(daemon, completion(service, prompt, max_tokens, false, {}), answer_timeout);
}

std::string expected_text(const std::string& prompt, std::uint32_t tokens) {
    std::string text;
    for (std::uint32_t position = 0; position < tokens; ++position) {
        text += "t" + std::to_string(stable_hash(prompt, position) % token_values) + " ";
    }
    return text;
}

result<http::response> book(const http::endpoint& daemon, const std::string& path,
                            const std::string& key, const std::string& body) {
    http::request sent{"POST", path, "", {{"Content-Type", "application/json"}}, body};
    sent.headers.push_back(http::no_interim());
    if (!key.empty()) {
        sent.headers.push_back({"Idempotency-Key", key});
    }
    return http::call(daemon, sent, answer_timeout);
}

std::string fetch(const http::endpoint& place, const std::string& path) {
    const auto answer =
        http::call(place, {"GET", path, "", {http::no_interim()}, ""}, answer_timeout);
    return answer ? answer->body : std::string{};
}

std::string post(const http::endpoint& place, const std::string& path, const std::string& body) {
    const auto answer = http::call(place, {"POST", path, "", {}, body}, answer_timeout);
    return answer ? answer->body : std::string{};
}

bool eventually(const std::function<bool()>& holds, std::chrono::milliseconds bound) {
    constexpr std::chrono::milliseconds look_period{10};
    const auto ends = steady_clock::now() + bound;
    while (steady_clock::now() < ends) {
        if (holds()) {
            return true;
        }
        std::this_thread::sleep_for(look_period);
    }
    return holds();
}

} // namespace cicadahatch::test_support
