#include "review/standins-2/engine.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <thread>

namespace standins {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using std::chrono::steady_clock;

constexpr const char* attempt_field = "X-Cicadahatch-Attempt-Id";
constexpr const char* signature_field = "X-Cicadahatch-Server-Signature: 3e1b.07.5a2\r\n";
constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_unavailable = 503;
constexpr std::chrono::milliseconds plain_work = 60ms;
constexpr std::chrono::milliseconds prefill_work = 100ms;
constexpr std::chrono::milliseconds event_gap = 150ms;
constexpr std::chrono::milliseconds hold_lease = 2000ms;
constexpr unsigned long tokens_per_event = 61;

/// Engines echo the identifier of the request that they answer.
std::string echo_of(const std::string& request) {
    return request.empty() ? std::string{} : std::string{attempt_field} + ": " + request + "\r\n";
}

json entry_of(const std::string& service, const std::string& address, std::size_t slots) {
    const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return {{"service", service}, {"address", address}, {"zone", "a"},
            {"version", "v1"},    {"slots", slots},     {"state", "ready"},
            {"coldLeftMs", 0},    {"seq", 1},           {"born", born.count()}};
}

bool send_event(tcp::socket& socket, unsigned long number) {
    const std::string event = "id: " + std::to_string(number) + "\ndata: token\n\n";
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    return send_bytes(socket, size.data() + event + "\r\n");
}

} // namespace

std::size_t run_book::begin(const std::string& engine, const std::string& request,
                            const std::string& what) {
    const std::lock_guard lock{mutex_};
    runs_.push_back({engine, request, what, steady_clock::now(), {}, false});
    return runs_.size() - 1;
}

void run_book::end(std::size_t number, bool is_answered) {
    const std::lock_guard lock{mutex_};
    runs_[number].ended_at = steady_clock::now();
    runs_[number].is_answered = is_answered;
}

std::vector<run> run_book::all() {
    const std::lock_guard lock{mutex_};
    return runs_;
}

std::size_t run_book::count_open(const std::string& what) {
    const std::lock_guard lock{mutex_};
    return static_cast<std::size_t>(
        std::count_if(runs_.begin(), runs_.end(), [&what](const run& row) {
            return row.what == what && row.ended_at == time_point{};
        }));
}

plain_engine::plain_engine(run_book& book, std::string id, std::string service)
    : book_(book), id_(std::move(id)), service_(std::move(service)),
      listener_([this](tcp::socket& socket, const any_request& asked) {
          return handle(socket, asked);
      }) {}

void plain_engine::enter(store& platform) const {
    constexpr std::size_t slots = 6;
    platform.put("servers/" + id_, entry_of(service_, listener_.address(), slots));
}

bool plain_engine::handle(tcp::socket& socket, const any_request& asked) {
    const std::string request = field_of(asked, attempt_field);
    const std::string echo = echo_of(request);
    const std::size_t number = book_.begin(id_, request, "plain");
    if (sends_interim_) {
        send_bytes(socket, "HTTP/1.1 102 Processing\r\n" + echo + "\r\n");
    }
    std::this_thread::sleep_for(plain_work);
    const bool is_sent = send_answer(socket, status_ok, echo + signature_field, "confirmed");
    book_.end(number, is_sent);
    return is_sent;
}

void memory_shortage::meet(const std::string& request, unsigned long event) {
    if (request != victim_ || event != event_) {
        return;
    }
    {
        const std::lock_guard lock{mutex_};
        if (ends_at_ != time_point{}) {
            return;
        }
        ends_at_ = steady_clock::now() + length_;
    }
    std::this_thread::sleep_for(length_);
}

bool memory_shortage::is_on() const {
    const std::lock_guard lock{mutex_};
    return steady_clock::now() < ends_at_;
}

bool memory_shortage::has_begun() const {
    const std::lock_guard lock{mutex_};
    return ends_at_ != time_point{};
}

model_engine::model_engine(run_book& book, std::string id, std::string stage, std::size_t slots)
    : book_(book), id_(std::move(id)), stage_(std::move(stage)), slots_(slots),
      listener_([this](tcp::socket& socket, const any_request& asked) {
          return handle(socket, asked);
      }) {}

void model_engine::enter(store& platform) const {
    json entry = entry_of("pattern", listener_.address(), slots_);
    entry["stage"] = stage_;
    entry["models"] = json::array({{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}});
    platform.put("servers/" + id_, entry);
}

std::string model_engine::next_name(const char* kind) {
    return kind + id_ + std::to_string(++last_name_);
}

bool model_engine::handle(tcp::socket& socket, const any_request& asked) {
    const std::string target{asked.target().data(), asked.target().size()};
    const std::string request = field_of(asked, attempt_field);
    const std::string echo = echo_of(request);
    if (target.starts_with("/cicadahatch/")) {
        return call(socket, asked, target, echo);
    }
    if (field_of(asked, "X-Cicadahatch-Stage") == "prefill") {
        return prefill(socket, request, echo);
    }
    return decode(socket, asked, request, echo);
}

bool model_engine::call(tcp::socket& socket, const any_request& asked, const std::string& target,
                        const std::string& echo) {
    if (target == "/cicadahatch/hold-take") {
        return take_hold(socket, echo);
    }
    if (target == "/cicadahatch/order") {
        return send_answer(socket, status_conflict, echo, "{}");
    }
    const std::lock_guard lock{mutex_};
    if (target == "/cicadahatch/report") {
        const json report{{"stage", stage_},    {"busy", false},       {"seq", 0},
                          {"queued", 0},        {"running", running_}, {"kvUsed", running_ * 6000},
                          {"kvTotal", 101'752}, {"kvHandles", 0},      {"models", json::array()}};
        return send_answer(socket, status_ok, echo, report.dump());
    }
    if (asked.method() == beast_http::verb::delete_) {
        holds_.erase(target.substr(target.rfind('/') + 1));
    }
    return send_answer(socket, status_ok, echo, "{}");
}

bool model_engine::take_hold(tcp::socket& socket, const std::string& echo) {
    const std::lock_guard lock{mutex_};
    const time_point now = steady_clock::now();
    std::erase_if(holds_, [now](const auto& row) { return row.second <= now; });
    const bool is_short = shortage_ != nullptr && shortage_->is_on();
    if (is_short || running_ + holds_.size() >= slots_) {
        return send_answer(socket, status_unavailable, echo, "{}");
    }
    const std::string name = next_name("h");
    holds_[name] = now + hold_lease;
    return send_answer(socket, status_ok, echo, json{{"hold", name}}.dump());
}

bool model_engine::prefill(tcp::socket& socket, const std::string& request,
                           const std::string& echo) {
    const std::size_t number = book_.begin(id_, request, "prefill");
    std::this_thread::sleep_for(prefill_work);
    std::string handle;
    {
        const std::lock_guard lock{mutex_};
        handle = next_name("k");
    }
    const json answer{{"kvHandle", handle}, {"tokens", 5000}, {"version", 1}};
    const bool is_sent = send_answer(socket, status_ok, echo, answer.dump());
    book_.end(number, is_sent);
    return is_sent;
}

bool model_engine::decode(tcp::socket& socket, const any_request& asked, const std::string& request,
                          const std::string& echo) {
    const std::string usage = field_of(asked, "X-Cicadahatch-Token-Usage");
    const std::size_t comma = usage.find(',');
    const unsigned long tokens =
        comma == std::string::npos ? tokens_per_event : std::stoul(usage.substr(comma + 1));
    const std::string after = field_of(asked, "Last-Event-Id");
    const unsigned long first = after.empty() ? 1 : std::stoul(after) + 1;
    {
        const std::lock_guard lock{mutex_};
        ++running_;
        holds_.erase(field_of(asked, "X-Cicadahatch-Kv-Hold"));
    }
    const std::size_t number = book_.begin(id_, request, "decode");
    bool is_open = send_bytes(socket, "HTTP/1.1 200 OK\r\n" + echo + signature_field +
                                          "Content-Type: text/event-stream\r\n"
                                          "Transfer-Encoding: chunked\r\n\r\n");
    for (unsigned long event = first; is_open && event <= tokens / tokens_per_event; ++event) {
        std::this_thread::sleep_for(event_gap);
        is_open = send_event(socket, event);
        if (is_open && shortage_ != nullptr) {
            shortage_->meet(request, event);
        }
    }
    is_open = is_open && send_bytes(socket, "0\r\n\r\n");
    {
        const std::lock_guard lock{mutex_};
        --running_;
    }
    book_.end(number, is_open);
    return is_open;
}

} // namespace standins
