#include "test/demo/traffic.hpp"

#include "test/support/http_calls.hpp"

#include <mutex>
#include <nlohmann/json.hpp>
#include <set>

namespace demo {

namespace {

using namespace cicadahatch;
using nlohmann::json;

std::string kind_of(const prompt& sent) {
    return sent.to->model_service + (sent.is_urgent ? " urgent" : " deferrable");
}

bool is_prefix(const std::string& part, const std::string& whole) {
    return whole.compare(0, part.size(), part) == 0;
}

} // namespace

crowd::~crowd() {
    for (std::thread& caller : callers_) {
        caller.join();
    }
}

void crowd::add(std::function<void()> caller) {
    callers_.emplace_back(std::move(caller));
}

void send(const prompt& sent, outcomes& told) {
    http::header_list headers;
    if (sent.is_urgent) {
        headers = {{"X-Work-Rank", "urgent"}, {"Authorization", "Bearer " + sent.to->urgent_token}};
    }
    const auto answer = test_support::stream_completion(
        sent.daemon, sent.to->model_service, sent.text, sent.tokens, headers, sent.on_token);
    const std::string expected = test_support::expected_text(sent.text, sent.tokens);
    if (answer.is_whole && answer.text == expected) {
        return told.answered(kind_of(sent));
    }
    if (answer.is_whole || !is_prefix(answer.text, expected)) {
        return told.wrong(kind_of(sent) + ": the text is not the one expected");
    }
    if (answer.problem.empty() && !sent.may_be_cut) {
        return told.wrong(kind_of(sent) + ": cut off without a reason");
    }
    told.refused(kind_of(sent), answer.problem);
}

void book_at_once(const std::vector<http::endpoint>& daemons, const deployment& to,
                  const std::string& key, outcomes& told) {
    std::mutex mutex;
    std::set<std::string> runs;
    {
        crowd callers;
        for (const http::endpoint& daemon : daemons) {
            callers.add([&, daemon] {
                const std::string path = "/services/" + to.plain_service + to.orders_path;
                const auto answer = test_support::book(daemon, path, key, "order " + key);
                if (!answer || answer->status != http::status_ok) {
                    return told.refused(to.plain_service, answer ? answer->body : "");
                }
                const json content = json::parse(answer->body, nullptr, false);
                if (!content.is_object() || content.value("echo", "") != "order " + key) {
                    return told.wrong(to.plain_service + ": the answer is another's");
                }
                told.answered(to.plain_service);
                const std::lock_guard lock{mutex};
                runs.insert(answer->body);
            });
        }
    }
    if (runs.size() > 1) {
        told.wrong(to.plain_service + ": two callers got answers of two runs");
    }
}

} // namespace demo
