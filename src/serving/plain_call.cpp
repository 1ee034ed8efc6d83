#include "src/serving/plain_call.hpp"

#include "src/http/client.hpp"
#include "src/http/constants.hpp"
#include "src/http/error.hpp"

#include <nlohmann/json.hpp>

namespace cicadahatch::serving {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds retry_after_no_backend{1000};

/// What a try at one server means for the rest.
enum class verdict : std::uint8_t { answered, did_nothing, unknown };

bool says_not_run(const http::response& answer) {
    if (answer.status != http::status_unavailable) {
        return false;
    }
    const json content = json::parse(answer.body, nullptr, false);
    if (!content.is_object()) {
        return false;
    }
    const auto told = content.find("execution");
    return told != content.end() && *told == "not_run";
}

bool is_leaving(const http::response& answer) {
    const json content = json::parse(answer.body, nullptr, false);
    const auto code = content.find("code");
    return code != content.end() && *code == "leaving";
}

verdict judge(const result<http::response>& answer) {
    if (!answer) {
        return http::is_surely_unsent(answer.error()) ? verdict::did_nothing : verdict::unknown;
    }
    return says_not_run(*answer) ? verdict::did_nothing : verdict::answered;
}

void note(backend_directory& directory, const backend_id& server,
          const result<http::response>& answer) {
    if (!answer && http::is_surely_unsent(answer.error())) {
        directory.note_unreachable(server);
    }
    if (answer && says_not_run(*answer) && is_leaving(*answer)) {
        directory.note_leaving(server, {});
    }
}

problem no_backend(execution ran) {
    return {errc::no_backend, ran, retry_after_no_backend, {}};
}

} // namespace

bool is_idempotent(const std::string& method) {
    return method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE" ||
           method == "OPTIONS";
}

plain_answer run_plain_call(backend_directory& directory, const plain_call& call) {
    std::vector<backend_id> tried;
    execution ran = execution::not_run;
    while (const auto server = directory.begin_plain(call.service, tried, call.preferred)) {
        tried.push_back(server->id);
        if (!call.may_send()) {
            directory.end_plain(server->id);
            return tl::unexpected(problem{errc::deadline_unreachable, ran, {}, {}});
        }
        const auto answer = http::call(server->place, call.sent, call.timeout);
        directory.end_plain(server->id);
        note(directory, server->id, answer);
        switch (judge(answer)) {
        case verdict::answered:
            return *answer;
        case verdict::did_nothing:
            continue;
        case verdict::unknown:
            break;
        }
        ran = execution::unknown;
        if (!call.may_be_repeated) {
            return tl::unexpected(problem{errc::backend_failed, ran, {}, {}});
        }
    }
    return tl::unexpected(no_backend(ran));
}

} // namespace cicadahatch::serving
