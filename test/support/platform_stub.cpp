#include "test/support/platform_stub.hpp"

#include "src/forwarding/asio.hpp"
#include "src/store/internal/base64.hpp"
#include "test/support/require.hpp"
#include "test/support/reserved_port.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/post.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <strings.h>
#include <thread>

namespace cicadahatch::test_support {

namespace {

namespace asio = forwarding::asio;
namespace beast_http = forwarding::beast_http;
using forwarding::capture_error;
using forwarding::net_error;
using forwarding::tcp;
using json = nlohmann::json;
using namespace std::chrono_literals;
using plain_answer = engine_script::plain_answer;
using stream_framing = engine_script::stream_framing;
using any_request = beast_http::request<beast_http::string_body>;

constexpr const char* attempt_field = "X-Cicadahatch-Attempt-Id";
constexpr const char* signature_field = "X-Cicadahatch-Server-Signature";

std::string text(boost::beast::string_view view) {
    return {view.data(), view.size()};
}

/// \returns the value of a query parameter, or an empty string
std::string query_value(const std::string& target, const std::string& name) {
    const std::size_t at = target.find(name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

struct stored_item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
};

json to_json(const std::string& key, const stored_item& item) {
    return {{"key", key},
            {"value", store::internal::encode_base64(item.value)},
            {"revision", item.revision},
            {"createdAt", item.created},
            {"lease", item.lease}};
}

/// Open connections; used by the stub's thread only. Outlives the engine: coroutines that serve its
/// connections are destroyed with the event loop.
using socket_set = std::shared_ptr<std::set<tcp::socket*>>;

/// The store's data, as far as a restore brings it back.
struct store_data {
    std::map<std::string, stored_item> items;
    std::deque<json> history;
    std::uint64_t revision = 1;
    std::uint64_t next_lease = 1;
};

struct stub_engine {
    std::string id;
    std::string service;
    std::string stage;
    std::string state = "ready";
    engine_script script;
    std::unique_ptr<tcp::acceptor> acceptor;
    std::uint64_t next_handle = 1;
    std::string late_copy; ///< duplicate of a response, sent before the next one
    std::uint64_t born = 1000;
    socket_set connections = std::make_shared<std::set<tcp::socket*>>();
};

/// Adds a socket to a set of open connections for its lifetime.
class connection_entry {
public:
    connection_entry(socket_set& open, tcp::socket& socket) : open_(open), socket_(&socket) {
        open_->insert(socket_);
    }
    connection_entry(const connection_entry&) = delete;
    connection_entry& operator=(const connection_entry&) = delete;
    connection_entry(connection_entry&&) = delete;
    connection_entry& operator=(connection_entry&&) = delete;
    ~connection_entry() { open_->erase(socket_); }

private:
    socket_set open_;
    tcp::socket* socket_;
};

} // namespace

struct platform_stub::parts {
    asio::io_context loop{1};
    tcp::acceptor store_acceptor{loop};
    const std::atomic<std::size_t> unlimited{0};
    tcp::acceptor severable_acceptor{loop};
    bool is_severed = false;                    ///< used by the stub's thread only
    std::atomic<std::size_t> severable_rate{0}; ///< bytes a second; zero: not limited
    socket_set severable_connections = std::make_shared<std::set<tcp::socket*>>();
    std::thread thread;
    mutable std::mutex mutex;
    store_data data;
    store_data copy;        ///< for a restore
    std::string generation; ///< as stated in replies; empty: none
    socket_set store_connections = std::make_shared<std::set<tcp::socket*>>();
    store_mode mode = store_mode::normal;
    std::map<std::string, std::unique_ptr<stub_engine>> engines;
    std::vector<received_request> seen;
    std::vector<std::chrono::steady_clock::time_point> crash_times;
    std::size_t cancelled = 0;
    std::size_t calls = 0;

    static std::unique_ptr<tcp::acceptor> listen(asio::io_context& on) {
        const tcp::endpoint place{asio::ip::make_address("127.0.0.1"), reserve_port()};
        return std::make_unique<tcp::acceptor>(on, place);
    }

    // The functions below are called with the mutex held.
    void put(const std::string& key, const std::string& value, std::uint64_t lease) {
        ++data.revision;
        stored_item& item = data.items[key];
        item.created = item.created == 0 ? data.revision : item.created;
        item.value = value;
        item.revision = data.revision;
        item.lease = lease;
        data.history.push_back(to_json(key, item));
    }
    void erase(const std::string& key) {
        ++data.revision;
        data.items.erase(key);
        data.history.push_back({{"key", key}, {"revision", data.revision}, {"deleted", true}});
    }
    void write_entry(const stub_engine& engine) {
        const auto place = engine.acceptor->local_endpoint();
        write_entry(engine, {"127.0.0.1", place.port()});
    }
    void write_entry(const stub_engine& engine, const http::endpoint& place) {
        json entry = {{"service", engine.service},
                      {"address", http::to_string(place)},
                      {"zone", "a"},
                      {"version", "v1"},
                      {"slots", 8},
                      {"state", engine.state},
                      {"coldLeftMs", 0},
                      {"seq", 1},
                      {"born", engine.born}};
        if (!engine.stage.empty()) {
            entry["stage"] = engine.stage;
        }
        put("servers/" + engine.id, entry.dump(), 0);
    }

    json changes_after(const std::string& prefix, std::uint64_t after) {
        json events = json::array();
        for (const json& event : data.history) {
            const auto key = event.at("key").get<std::string>();
            if (event.at("revision").get<std::uint64_t>() > after && key.starts_with(prefix)) {
                events.push_back(event);
            }
        }
        return events;
    }

    json range(const std::string& prefix) {
        json listed = json::array();
        for (const auto& [key, item] : data.items) {
            if (key.starts_with(prefix)) {
                listed.push_back(to_json(key, item));
            }
        }
        return {{"items", listed}, {"truncated", false}, {"storeRevision", data.revision}};
    }

    /// \returns status and body
    std::pair<unsigned, json> transact(const json& asked) {
        json current = json::array();
        bool is_met = true;
        for (const json& row : asked.value("expected", json::array())) {
            const auto key = row.at("key").get<std::string>();
            const auto found = data.items.find(key);
            const std::uint64_t at = found == data.items.end() ? 0 : found->second.revision;
            is_met = is_met && at == row.at("revision").get<std::uint64_t>();
            if (found != data.items.end()) {
                current.push_back(to_json(key, found->second));
            }
        }
        if (!is_met) {
            return {412U, {{"items", current}}};
        }
        for (const json& row : asked.value("setKeys", json::array())) {
            const auto value = store::internal::decode_base64(row.at("value").get<std::string>());
            put(row.at("key").get<std::string>(), value.value_or(""),
                row.value("lease", std::uint64_t{0}));
        }
        for (const json& key : asked.value("remove", json::array())) {
            erase(key.get<std::string>());
        }
        return {200U, {{"revision", data.revision}}};
    }

    std::pair<unsigned, json> answer_store(const any_request& asked) {
        const std::lock_guard lock{mutex};
        const std::string target = text(asked.target());
        if (target.starts_with("/cicadahatch/kv-range")) {
            return {200U, range(query_value(target, "prefix"))};
        }
        if (target.starts_with("/cicadahatch/kv-key")) {
            const auto found = data.items.find(query_value(target, "key"));
            return found == data.items.end()
                       ? std::pair{404U, json::object()}
                       : std::pair{200U, to_json(found->first, found->second)};
        }
        if (target.starts_with("/cicadahatch/kv-txn")) {
            return transact(json::parse(asked.body()));
        }
        if (target.starts_with("/cicadahatch/kv-lease-end/")) {
            const std::uint64_t lease = std::stoull(target.substr(target.rfind('/') + 1));
            std::vector<std::string> ended;
            for (const auto& [key, item] : data.items) {
                if (item.lease == lease) {
                    ended.push_back(key);
                }
            }
            for (const std::string& key : ended) {
                erase(key);
            }
            return {200U, json::object()};
        }
        if (target == "/cicadahatch/kv-lease") {
            const json body = json::parse(asked.body());
            return {200U, {{"lease", data.next_lease++}, {"ttlMs", body.at("ttlMs")}}};
        }
        if (target.starts_with("/cicadahatch/kv-keep/")) {
            const std::uint64_t lease = std::stoull(target.substr(target.rfind('/') + 1));
            const unsigned status = lease < data.next_lease ? 200U : 404U;
            return {status, {{"ttlMs", 15000}}};
        }
        return {404U, json::object()};
    }

    asio::awaitable<std::pair<unsigned, json>> watch(std::string target) {
        const std::string prefix = query_value(target, "prefix");
        const std::uint64_t after = std::stoull(query_value(target, "after"));
        const auto until =
            std::chrono::steady_clock::now() + 1ms * std::stoll(query_value(target, "waitMs"));
        asio::steady_timer pause{loop};
        while (true) {
            {
                const std::lock_guard lock{mutex};
                if (mode == store_mode::compacted || after > data.revision) {
                    co_return std::pair<unsigned, json>{410U, json::object()};
                }
                json events = changes_after(prefix, after);
                if (!events.empty() || std::chrono::steady_clock::now() >= until) {
                    co_return std::pair<unsigned, json>{
                        200U, {{"events", events}, {"storeRevision", data.revision}}};
                }
            }
            pause.expires_after(2ms);
            net_error ignored;
            co_await pause.async_wait(capture_error(ignored));
        }
    }

    asio::awaitable<void> serve_severable_store(tcp::socket socket) {
        if (is_severed) {
            reset(socket);
            co_return;
        }
        co_await serve_store(std::move(socket), severable_connections, severable_rate);
    }

    asio::awaitable<void> send_paced(tcp::socket& socket, std::string bytes, std::size_t rate) {
        constexpr std::size_t piece_bytes = 8192;
        asio::steady_timer pace{loop, std::chrono::steady_clock::now()};
        net_error error;
        for (std::size_t sent = 0; sent < bytes.size() && !error; sent += piece_bytes) {
            const std::string_view piece = std::string_view{bytes}.substr(sent, piece_bytes);
            pace.expires_at(pace.expiry() + std::chrono::nanoseconds{1s} * piece.size() / rate);
            co_await pace.async_wait(capture_error(error));
            co_await asio::async_write(socket, asio::buffer(piece.data(), piece.size()),
                                       capture_error(error));
        }
    }

    /// \param rate of replies, bytes a second; zero: not limited
    asio::awaitable<void> serve_store(tcp::socket socket, socket_set& open,
                                      const std::atomic<std::size_t>& rate) {
        const connection_entry entry{open, socket};
        boost::beast::flat_buffer buffer;
        while (true) {
            any_request asked;
            net_error error;
            co_await beast_http::async_read(socket, buffer, asked, capture_error(error));
            if (error) {
                co_return;
            }
            store_mode now = store_mode::normal;
            {
                const std::lock_guard lock{mutex};
                ++calls;
                now = mode;
            }
            if (now == store_mode::unresponsive) {
                asio::steady_timer never{loop, 1h};
                co_await never.async_wait(capture_error(error));
            }
            if (now == store_mode::endless_reply) {
                co_await send_until_closed(
                    socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;");
                co_return;
            }
            std::pair<unsigned, json> made{503U, json::object()};
            if (now != store_mode::busy) {
                const std::string target = text(asked.target());
                const bool is_watch = target.starts_with("/cicadahatch/kv-watch");
                if (is_watch) {
                    made = co_await watch(target);
                } else {
                    made = answer_store(asked);
                }
            }
            if (now == store_mode::lost_reply) {
                co_return;
            }
            if (now == store_mode::interim_reply) {
                co_await send(socket, interim_text({}));
            }
            beast_http::response<beast_http::string_body> answer;
            answer.result(made.first);
            answer.version(11);
            if (const std::string stated = stated_generation(); !stated.empty()) {
                answer.set("Store-Era", stated);
            }
            answer.body() = made.second.dump();
            answer.prepare_payload();
            if (rate > 0) {
                std::ostringstream serialized;
                serialized << answer;
                co_await send_paced(socket, serialized.str(), rate);
                continue;
            }
            co_await beast_http::async_write(socket, answer, capture_error(error));
        }
    }

    void note(const stub_engine& engine, const any_request& asked) {
        const std::lock_guard lock{mutex};
        received_request row{engine.id, text(asked.method_string()), text(asked.target()), {}, {},
                             {}};
        for (const auto& field : asked) {
            row.head.push_back({text(field.name_string()), text(field.value())});
        }
        row.body = asked.body();
        row.at = std::chrono::steady_clock::now();
        seen.push_back(std::move(row));
    }

    std::string stated_generation() {
        const std::lock_guard lock{mutex};
        return generation;
    }

    engine_script script_of(const stub_engine& engine) {
        const std::lock_guard lock{mutex};
        return engine.script;
    }

    static asio::awaitable<bool> send(tcp::socket& socket, std::string bytes) {
        net_error error;
        co_await asio::async_write(socket, asio::buffer(bytes), capture_error(error));
        co_return !error;
    }

    /// Sends the bytes, or closes the connection after those that the script allows.
    static asio::awaitable<void> send_or_cut(tcp::socket& socket, std::string bytes,
                                             const engine_script& script) {
        if (script.cut_after_bytes == 0) {
            co_await send(socket, std::move(bytes));
            co_return;
        }
        co_await send(socket, bytes.substr(0, script.cut_after_bytes));
        net_error ignored;
        socket.close(ignored);
    }

    static std::string status_fields(const engine_script& script, bool is_refusal) {
        const bool states_time = is_refusal && script.retry_after_s > 0;
        const std::string leaving = script.reports_leaving ? "Server-Leaving: 1\r\n" : "";
        const std::string time =
            states_time ? "Retry-After: " + std::to_string(script.retry_after_s) + "\r\n" : "";
        const std::string limit =
            script.request_limit > 0
                ? "Server-Limit: " + std::to_string(script.request_limit) + "\r\n"
                : "";
        return leaving + time + limit;
    }

    /// Sends until the daemon closes the connection.
    /// \param line sent again and again
    static asio::awaitable<void> send_until_closed(tcp::socket& socket, std::string head,
                                                   std::string line = "x") {
        constexpr std::size_t repetitions = 4096;
        bool is_open = co_await send(socket, std::move(head));
        std::string more;
        for (std::size_t number = 0; number < repetitions; ++number) {
            more += line;
        }
        while (is_open) {
            is_open = co_await send(socket, more);
        }
    }

    static std::string answer_text(const std::string& id, unsigned status, const std::string& extra,
                                   const std::string& body) {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + attempt_field + ": " + id +
               "\r\n" + extra + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
    }

    static std::string interim_text(const std::string& id) {
        return "HTTP/1.1 102 Processing\r\n" + std::string{attempt_field} + ": " + id + "\r\n\r\n";
    }

    static std::string chunked_head(const std::string& id, const std::string& extra) {
        return "HTTP/1.1 200 OK\r\n" + extra + attempt_field + ": " + id +
               "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n";
    }

    static void reset(tcp::socket& socket) {
        net_error ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    static void reset_all(const std::set<tcp::socket*>& sockets) {
        for (tcp::socket* socket : sockets) {
            reset(*socket);
        }
    }

    asio::awaitable<void> answer_plain(tcp::socket& socket, const any_request& asked,
                                       engine_script script) {
        const std::string id = text(asked[attempt_field]);
        const std::string mark =
            std::string{signature_field} + ": s\r\n" + status_fields(script, false);
        const std::string body = "whole answer";
        if (script.plain_delay > 0ms) {
            asio::steady_timer pause{loop, script.plain_delay};
            net_error ignored;
            co_await pause.async_wait(capture_error(ignored));
        }
        switch (script.plain) {
        case plain_answer::normal:
            co_await send_or_cut(socket, answer_text(id, 200, mark, body), script);
            co_return;
        case plain_answer::not_run:
            co_await send(socket, answer_text(id, 503,
                                              "X-Cicadahatch-Not-Executed: 1\r\n" +
                                                  status_fields(script, true),
                                              "full"));
            co_return;
        case plain_answer::plain_503:
            co_await send(socket, answer_text(id, 503, mark, "failed"));
            co_return;
        case plain_answer::error_500:
            co_await send(socket, answer_text(id, 500, mark, "failed"));
            co_return;
        case plain_answer::reset:
            reset(socket);
            co_return;
        case plain_answer::unsigned_200:
            co_await send(socket, answer_text(id, 200, "", body));
            co_return;
        case plain_answer::cut_short:
            co_await send(socket, "HTTP/1.1 200 OK\r\n" + mark + "Content-Length: 50\r\n\r\nwho");
            reset(socket);
            co_return;
        case plain_answer::foreign_answer:
            co_await send(socket, answer_text("another", 200, mark, "not yours"));
            co_await send(socket, answer_text(id, 200, mark, body));
            co_return;
        case plain_answer::garbage:
            co_await send(socket, "\x01\x02 no answer\r\n\r\n");
            reset(socket);
            co_return;
        case plain_answer::endless_head:
            co_await send_until_closed(socket, "HTTP/1.1 200 OK\r\nX-More: ");
            co_return;
        case plain_answer::endless_body:
            co_await send_until_closed(socket, "HTTP/1.1 200 OK\r\n" + mark + attempt_field + ": " +
                                                   id + "\r\n\r\n");
            co_return;
        case plain_answer::endless_chunk_size:
            co_await send_until_closed(socket, chunked_head(id, mark));
            co_return;
        case plain_answer::endless_chunk_extension:
            co_await send_until_closed(socket, chunked_head(id, mark) + "5;");
            co_return;
        case plain_answer::endless_trailer_field:
            co_await send_until_closed(socket, chunked_head(id, mark) + "0\r\nX-More: ");
            co_return;
        case plain_answer::endless_trailer:
            co_await send_until_closed(socket, chunked_head(id, mark) + "0\r\n", "X-More: x\r\n");
            co_return;
        case plain_answer::hang:
            co_await wait_until_closed(socket);
            co_return;
        }
    }

    /// Waits until the daemon closes the connection and counts it as aborted.
    asio::awaitable<void> wait_until_closed(tcp::socket& socket) {
        std::array<char, 64> bytes{};
        net_error error;
        while (!error) {
            co_await socket.async_read_some(asio::buffer(bytes), capture_error(error));
        }
        const std::lock_guard lock{mutex};
        ++cancelled;
    }

    /// Sends an event, or resets the connection where the script says so.
    /// \returns whether the stream goes on
    asio::awaitable<bool> send_event(tcp::socket& socket, stub_engine& engine,
                                     const engine_script& script, unsigned event) {
        const std::string whole =
            "id: " + std::to_string(event) + "\ndata: " + std::to_string(event) + "\n\n";
        if (script.reset_after_events != 0 && event == script.reset_after_events) {
            {
                const std::lock_guard lock{mutex};
                engine.script.reset_after_events = 0;
            }
            if (script.resets_within_event) {
                co_await send(socket, "4\r\n" + whole.substr(0, 4) + "\r\n");
            }
            reset(socket);
            co_return false;
        }
        std::array<char, 32> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", whole.size());
        const bool is_chunked = script.framing == stream_framing::chunked;
        const std::string sent = is_chunked ? size.data() + whole + "\r\n" : whole;
        if (!co_await send(socket, sent)) {
            const std::lock_guard lock{mutex};
            ++cancelled;
            co_return false;
        }
        co_return true;
    }

    asio::awaitable<bool> stream(tcp::socket& socket, const any_request& asked, stub_engine& engine,
                                 engine_script script) {
        const std::string id = text(asked[attempt_field]);
        const std::string after = text(asked["Last-Event-Id"]);
        const bool is_chunked = script.framing == stream_framing::chunked;
        const std::string framing = is_chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n";
        const unsigned first = after.empty() ? 0 : static_cast<unsigned>(std::stoul(after)) + 1;
        const std::string head = "HTTP/1.1 200 OK\r\n" + std::string{attempt_field} + ": " + id +
                                 "\r\n" + signature_field + ": s-" + engine.id + "\r\n" +
                                 status_fields(script, false) +
                                 "Content-Type: text/event-stream\r\n" + framing;
        co_await send_or_cut(socket, head, script);
        if (!socket.is_open()) {
            co_return false;
        }
        asio::steady_timer pause{loop};
        net_error error;
        if (holds_crash_part(asked, script)) {
            pause.expires_after(script.first_event_delay);
            co_await pause.async_wait(capture_error(error));
            asio::co_spawn(loop, crash_engine(engine), asio::detached);
            co_return false;
        }
        if (script.has_endless_event) {
            co_await send_until_closed(socket, "fffffff\r\ndata: ");
            co_return false;
        }
        if (script.has_endless_extension) {
            co_await send_until_closed(socket, "5;");
            co_return false;
        }
        while (script.trickles_first_event) {
            pause.expires_after(50ms);
            co_await pause.async_wait(capture_error(error));
            if (!co_await send(socket, "1\r\nd\r\n")) {
                const std::lock_guard lock{mutex};
                ++cancelled;
                co_return false;
            }
        }
        const bool has_events = script.framing != stream_framing::until_close_empty;
        for (unsigned event = first; event < script.events && has_events; ++event) {
            pause.expires_after(event == first ? script.first_event_delay : script.event_gap);
            co_await pause.async_wait(capture_error(error));
            if (script.silent_before_event != 0 && event == script.silent_before_event) {
                pause.expires_after(script.silence);
                co_await pause.async_wait(capture_error(error));
            }
            if (!co_await send_event(socket, engine, script, event)) {
                co_return false;
            }
        }
        if (script.framing == stream_framing::until_close_cut) {
            co_await send(socket, "id: 99\nda");
        }
        if (!is_chunked) {
            co_return false;
        }
        co_return co_await send(socket, "0\r\n\r\n");
    }

    asio::awaitable<bool> answer_engine(tcp::socket& socket, const any_request& asked,
                                        stub_engine& engine) {
        const engine_script script = script_of(engine);
        const std::string target = text(asked.target());
        const std::string id = text(asked[attempt_field]);
        if (script.is_unresponsive) {
            co_await wait_until_closed(socket);
            co_return false;
        }
        for (unsigned sent = 0; sent < script.interim_responses; ++sent) {
            co_await send(socket, interim_text(id));
        }
        if (target == "/cicadahatch/hold-take") {
            const std::string body = script.has_capacity ? R"({"hold":"h1"})" : "{}";
            const std::string answer =
                answer_text(id, script.has_capacity ? 200 : 503,
                            status_fields(script, !script.has_capacity), body);
            engine.late_copy = script.duplicates_hold_answers ? answer : std::string{};
            if (script.repeats_hold_refusal) {
                engine.late_copy = "HTTP/1.1 503 X\r\nX-Cicadahatch-Not-Executed: 1\r\n"
                                   "Content-Length: 2\r\n\r\n{}";
            }
            co_return co_await send(socket, answer);
        }
        if (!engine.late_copy.empty()) {
            co_await send(socket, std::exchange(engine.late_copy, {}));
        }
        if (target == "/cicadahatch/report") {
            co_return co_await send(
                socket, answer_text(id, 200, "", R"({"running":0,"kvUsed":0,"seq":0})"));
        }
        if (target.starts_with("/cicadahatch/")) {
            co_return co_await send(socket, answer_text(id, 200, "", "{}"));
        }
        if (script.answers_421) {
            co_return co_await send(
                socket, answer_text(id, 421, "X-Cicadahatch-Not-Executed: 1\r\n", "{}"));
        }
        if (!text(asked["X-Cicadahatch-Stage"]).empty()) {
            const std::string handle = "k" + std::to_string(engine.next_handle++);
            const std::string body = R"({"kvHandle":")" + handle + R"(","tokens":10,"version":1})";
            const unsigned status = script.fails_prefill ? 500 : 200;
            co_return co_await send(socket, answer_text(id, status, "", body));
        }
        if (script.fails_decode) {
            co_return co_await send(
                socket,
                answer_text(id, 500, std::string{signature_field} + ": s\r\n", "error text\n\n"));
        }
        if (engine.stage == "decode") {
            co_return co_await stream(socket, asked, engine, script);
        }
        co_await answer_plain(socket, asked, script);
        co_return socket.is_open();
    }

    void accept_callers(stub_engine& engine) {
        accept(*engine.acceptor, [this, &engine](tcp::socket socket) {
            asio::co_spawn(loop, serve_engine(std::move(socket), engine), asio::detached);
        });
    }

    /// Resets all connections, refuses new ones, and serves again after a while.
    asio::awaitable<void> crash_engine(stub_engine& engine) {
        if (!engine.acceptor->is_open()) {
            co_return;
        }
        const tcp::endpoint place = engine.acceptor->local_endpoint();
        engine.acceptor->close();
        reset_all(*engine.connections);
        {
            const std::lock_guard lock{mutex};
            crash_times.push_back(std::chrono::steady_clock::now());
        }
        asio::steady_timer pause{loop, script_of(engine).crash_duration};
        net_error ignored;
        co_await pause.async_wait(capture_error(ignored));
        const std::lock_guard lock{mutex};
        engine.acceptor = std::make_unique<tcp::acceptor>(loop, place);
        ++engine.born;
        write_entry(engine);
        accept_callers(engine);
    }

    /// Whether a request holds the part on which the engine crashes.
    static bool holds_crash_part(const any_request& asked, const engine_script& script) {
        const std::string parts = "," + text(asked["X-Cicadahatch-Prompt-Prefix"]);
        return !script.crash_part.empty() &&
               parts.find("," + script.crash_part + ":") != std::string::npos;
    }

    asio::awaitable<void> serve_engine(tcp::socket socket, stub_engine& engine) {
        const connection_entry entry{engine.connections, socket};
        boost::beast::flat_buffer buffer;
        bool goes_on = true;
        while (goes_on) {
            any_request asked;
            net_error error;
            co_await beast_http::async_read(socket, buffer, asked, capture_error(error));
            if (error) {
                co_return;
            }
            note(engine, asked);
            goes_on = co_await answer_engine(socket, asked, engine);
        }
    }

    template <class Serve>
    void accept(tcp::acceptor& acceptor, Serve serve) {
        acceptor.async_accept([this, &acceptor, serve](const net_error& error, tcp::socket socket) {
            if (error) {
                return;
            }
            net_error ignored; // Small writes are only delayed without the option.
            socket.set_option(tcp::no_delay(true), ignored);
            serve(std::move(socket));
            accept(acceptor, serve);
        });
    }
};

platform_stub::platform_stub() : parts_(std::make_unique<parts>()) {
    parts& own = *parts_;
    own.store_acceptor = std::move(*parts::listen(own.loop));
    own.accept(own.store_acceptor, [&own](tcp::socket socket) {
        asio::co_spawn(own.loop,
                       own.serve_store(std::move(socket), own.store_connections, own.unlimited),
                       asio::detached);
    });
    own.severable_acceptor = std::move(*parts::listen(own.loop));
    own.accept(own.severable_acceptor, [&own](tcp::socket socket) {
        asio::co_spawn(own.loop, own.serve_severable_store(std::move(socket)), asio::detached);
    });
    own.thread = std::thread([&own] { own.loop.run(); });
}

platform_stub::~platform_stub() {
    parts_->loop.stop();
    parts_->thread.join();
}

http::endpoint platform_stub::store() const {
    return {"127.0.0.1", parts_->store_acceptor.local_endpoint().port()};
}

void platform_stub::add_engine(const std::string& id, const std::string& service,
                               const std::string& stage) {
    parts& own = *parts_;
    const std::lock_guard lock{own.mutex};
    auto made = std::make_unique<stub_engine>();
    made->id = id;
    made->service = service;
    made->stage = stage;
    made->acceptor = parts::listen(own.loop);
    stub_engine& engine = *made;
    own.engines[id] = std::move(made);
    own.write_entry(engine);
    asio::post(own.loop, [&own, &engine] { own.accept_callers(engine); });
}

void platform_stub::register_server(const std::string& id, const std::string& service,
                                    const std::string& stage, const http::endpoint& place) {
    const std::lock_guard lock{parts_->mutex};
    stub_engine registered;
    registered.id = id;
    registered.service = service;
    registered.stage = stage;
    parts_->write_entry(registered, place);
}

void platform_stub::crash(const std::string& id) {
    parts& own = *parts_;
    const std::lock_guard lock{own.mutex};
    stub_engine& engine = *own.engines.at(id);
    asio::post(own.loop, [&own, &engine] {
        asio::co_spawn(own.loop, own.crash_engine(engine), asio::detached);
    });
}

std::vector<std::chrono::steady_clock::time_point> platform_stub::crashes() const {
    const std::lock_guard lock{parts_->mutex};
    return parts_->crash_times;
}

void platform_stub::set_script(const std::string& id, const engine_script& script) {
    const std::lock_guard lock{parts_->mutex};
    parts_->engines.at(id)->script = script;
}

void platform_stub::set_state(const std::string& id, const std::string& state) {
    const std::lock_guard lock{parts_->mutex};
    stub_engine& engine = *parts_->engines.at(id);
    engine.state = state;
    parts_->write_entry(engine);
}

void platform_stub::erase_entry(const std::string& id) {
    const std::lock_guard lock{parts_->mutex};
    parts_->erase("servers/" + id);
}

std::size_t platform_stub::count_keys(const std::string& prefix) const {
    const std::lock_guard lock{parts_->mutex};
    const auto& items = parts_->data.items;
    return static_cast<std::size_t>(
        std::count_if(items.begin(), items.end(),
                      [&prefix](const auto& row) { return row.first.starts_with(prefix); }));
}

void platform_stub::expire_leases() {
    const std::lock_guard lock{parts_->mutex};
    std::vector<std::string> expired;
    for (const auto& [key, item] : parts_->data.items) {
        if (item.lease != 0) {
            expired.push_back(key);
        }
    }
    for (const std::string& key : expired) {
        parts_->erase(key);
    }
}

void platform_stub::put(const std::string& key, const std::string& value) {
    const std::lock_guard lock{parts_->mutex};
    parts_->put(key, value, 0);
}

void platform_stub::set_store_mode(store_mode mode) {
    const std::lock_guard lock{parts_->mutex};
    parts_->mode = mode;
}

void platform_stub::state_generation(const std::string& text) {
    const std::lock_guard lock{parts_->mutex};
    parts_->generation = text;
}

void platform_stub::copy_store() {
    const std::lock_guard lock{parts_->mutex};
    parts_->copy = parts_->data;
    if (parts_->generation.empty()) {
        parts_->generation = "1";
    }
}

void platform_stub::restore_store() {
    parts& own = *parts_;
    const std::lock_guard lock{own.mutex};
    own.data = own.copy;
    own.generation = std::to_string(std::stoull(own.generation) + 1);
    asio::post(own.loop, [&own] {
        parts::reset_all(*own.store_connections);
        parts::reset_all(*own.severable_connections);
    });
}

http::endpoint platform_stub::severable_store() const {
    return {"127.0.0.1", parts_->severable_acceptor.local_endpoint().port()};
}

void platform_stub::sever_store(bool is_severed) {
    parts& own = *parts_;
    asio::post(own.loop, [&own, is_severed] {
        own.is_severed = is_severed;
        if (is_severed) {
            parts::reset_all(*own.severable_connections);
        }
    });
}

void platform_stub::set_severable_rate(std::size_t bytes_per_second) {
    parts_->severable_rate = bytes_per_second;
}

std::vector<received_request> platform_stub::seen() const {
    const std::lock_guard lock{parts_->mutex};
    return parts_->seen;
}

std::size_t platform_stub::count(const std::string& id, const std::string& target) const {
    const std::lock_guard lock{parts_->mutex};
    std::size_t counted = 0;
    for (const received_request& row : parts_->seen) {
        const bool is_meant = (id.empty() || row.engine == id) && row.target.starts_with(target);
        counted += is_meant ? 1U : 0U;
    }
    return counted;
}

std::size_t platform_stub::aborted_requests() const {
    const std::lock_guard lock{parts_->mutex};
    return parts_->cancelled;
}

std::size_t platform_stub::store_calls() const {
    const std::lock_guard lock{parts_->mutex};
    return parts_->calls;
}

std::string sample_platform_configuration(std::uint64_t version) {
    const auto route = [](const char* name, const char* prefix, const char* kind,
                          const char* service, int timeout, int attempts, bool can_resume) {
        return json{{"name", name},    {"host", "t.example"},     {"prefix", prefix},
                    {"kind", kind},    {"timeoutMs", timeout},    {"sloMs", 300},
                    {"priority", 0},   {"service", service},      {"attempts", attempts},
                    {"sticky", false}, {"canResume", can_resume}, {"gapSloMs", 100}};
    };
    const json engine = {{"slots", 8},       {"kvTokens", 10000}, {"kvTokenBytes", 100},
                         {"stride", 10},     {"backups", true},   {"handleTtlS", 0.5},
                         {"reconfigS", 1.0}, {"holdMs", 2000.0}};
    const json made = {
        {"version", version},
        {"routes",
         {route("r-plain", "/plain/", "idempotent", "shop", 800, 2, false),
          route("r-book", "/book/", "non_idempotent", "shop", 800, 1, false),
          route("r-stream", "/stream/", "streaming", "model", 5000, 1, false),
          route("r-resume", "/resume/", "streaming", "model", 5000, 2, true)}},
        {"services",
         {{{"name", "shop"}, {"healthPath", "/health"}, {"maxConns", 100}},
          {{"name", "model"}, {"healthPath", "/health"}, {"maxConns", 100}, {"engine", engine}}}},
        {"limits",
         {{"headerBytes", 4096},
          {"bodyBytes", 20000},
          {"headerTimeoutMs", 500},
          {"idleTimeoutMs", 5000}}}};
    return made.dump();
}

std::string header_value(const received_request& seen, const std::string& name) {
    for (const http::header& field : seen.head) {
        if (strcasecmp(field.name.c_str(), name.c_str()) == 0) {
            return field.value;
        }
    }
    return {};
}

} // namespace cicadahatch::test_support
