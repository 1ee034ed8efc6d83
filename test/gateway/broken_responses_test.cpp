#include "test/support/gateway_fixture.hpp"
#include "test/support/raw_server.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace {

using namespace std::chrono_literals;
using namespace std::string_literals;
using namespace cicadahatch;
using test_support::eventually;
using test_support::gateway_fixture;
using test_support::join;
using test_support::raw_answer;
using test_support::raw_field;
using test_support::raw_server;

/// Below the configured limit, and more than the connection to a raw_server holds.
constexpr std::size_t long_upload_bytes = 4'190'000;
constexpr std::size_t max_body_bytes = 4UL * 1024 * 1024;

/// Long enough for a long upload on a busy machine.
constexpr std::chrono::milliseconds route_timeout = 5s;

const std::string server_fields =
    "X-Cicadahatch-Attempt-Id: {id}\r\nX-Cicadahatch-Server-Signature: s\r\nConnection: close\r\n";
const std::string ok_head = "HTTP/1.1 200 OK\r\n" + server_fields;
const std::string whole_answer = ok_head + "Content-Length: 5\r\n\r\nwhole";
const std::string event_head = ok_head + "Content-Type: text/event-stream\r\n";

/// \returns a success with a length that leaves the connection open
std::string json_answer(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nX-Cicadahatch-Attempt-Id: {id}\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string fill_in_id(std::string text, const std::string& head) {
    const std::string mark = "{id}";
    for (std::size_t at = text.find(mark); at != std::string::npos; at = text.find(mark)) {
        text.replace(at, mark.size(), raw_field(head, "X-Cicadahatch-Attempt-Id"));
    }
    return text;
}

/// A server whose answers the test sets, and which keeps the heads of the requests.
class scripted_server {
public:
    void set_answer(raw_answer answer) {
        const std::lock_guard lock{mutex_};
        answer_ = std::move(answer);
    }
    void set_hold_answer(raw_answer answer) {
        const std::lock_guard lock{mutex_};
        hold_answer_ = std::move(answer);
    }
    /// \returns the number of requests whose head holds a text
    [[nodiscard]] std::size_t count(const std::string& text) {
        const std::lock_guard lock{mutex_};
        return static_cast<std::size_t>(
            std::count_if(heads_.begin(), heads_.end(), [&text](const std::string& head) {
                return head.find(text) != std::string::npos;
            }));
    }
    [[nodiscard]] http::endpoint place() const { return server_.place(); }
    static raw_answer sound_hold() {
        return {json_answer(R"({"hold":"h1"})"), raw_answer::ending::keep};
    }

private:
    raw_answer answer(const std::string& head) {
        const std::lock_guard lock{mutex_};
        heads_.push_back(head);
        const bool is_hold = head.find("/cicadahatch/hold-take") != std::string::npos;
        const bool is_management_call = head.find(" /cicadahatch/") != std::string::npos;
        raw_answer made = is_hold ? hold_answer_
                          : is_management_call
                              ? raw_answer{json_answer("{}"), raw_answer::ending::keep}
                              : answer_;
        made.bytes = fill_in_id(made.bytes, head);
        return made;
    }

    std::mutex mutex_;
    raw_answer answer_{whole_answer};
    raw_answer hold_answer_ = sound_hold();
    std::vector<std::string> heads_;
    raw_server server_{[this](const std::string& head) { return answer(head); }};
};

struct broken_responses_fixture : gateway_fixture {
    scripted_server plain;
    scripted_server prefill;
    scripted_server decode;

    broken_responses_fixture() {
        auto configuration = nlohmann::json::parse(test_support::sample_platform_configuration(2));
        configuration["limits"]["bodyBytes"] = max_body_bytes;
        for (auto& route : configuration["routes"]) {
            route["timeoutMs"] = route_timeout.count();
        }
        stub.put("op/config", configuration.dump());
        replace("shop-1", "raw-shop", "shop", "", plain);
        REQUIRE(eventually([this] { return call("GET", "/plain/x").ends_with("whole"); }));
        REQUIRE(eventually([this] { return is_upload_answered(); }));
    }

    void replace(const std::string& former, const std::string& id, const std::string& service,
                 const std::string& stage, const scripted_server& server) {
        stub.erase_entry(former);
        stub.register_server(id, service, stage, server.place());
        REQUIRE(eventually([&] { return has_logged("\"" + id + "\""); }));
    }
    void replace_engines() {
        prefill.set_answer(sound_prefill());
        replace("p-1", "raw-prefill", "model", "prefill", prefill);
        decode.set_answer(sound_stream());
        replace("x-1", "raw-decode", "model", "decode", decode);
        REQUIRE(eventually([this] {
            return call_stream("/stream/x").find("id: 1") != std::string::npos &&
                   decode.count("/stream/x") > 0;
        }));
    }
    /// Calls until a request of a stream has reached the server.
    [[nodiscard]] bool stream_reaches(scripted_server& server, const std::string& target,
                                      const std::string& body = "prompt") const {
        const std::size_t before = server.count(target);
        return eventually([&] {
            static_cast<void>(call_stream("/stream/x", body));
            return server.count(target) > before;
        });
    }
    static raw_answer sound_prefill() {
        return {json_answer(R"({"kvHandle":"k1","tokens":10,"version":1})"),
                raw_answer::ending::keep};
    }
    static raw_answer sound_stream() {
        return {event_head + "\r\nid: 0\ndata: 0\n\nid: 1\ndata: 1\n\n"};
    }
    [[nodiscard]] std::string call_stream(const std::string& target,
                                          const std::string& body = "prompt") const {
        return call("POST", target, stream_head(), body);
    }
    [[nodiscard]] bool is_upload_answered() const {
        return status_of(call("POST", "/book/x", {}, long_upload())) == 200;
    }
    static std::string long_upload() { return std::string(long_upload_bytes, 'u'); }
    static bool is_complete_stream(const std::string& received) {
        return status_of(received) == 200 && received.ends_with("\r\n0\r\n\r\n");
    }

    /// Brings the server back from an ejection.
    void answer_soundly() {
        plain.set_answer({whole_answer});
        REQUIRE(eventually([this] { return call("GET", "/plain/x").ends_with("whole"); }));
    }
    /// The server answers with these bytes; callers of a request that runs once and of one that may
    /// be repeated must get 502, and the former's server exactly one request.
    /// \param parts of the bytes
    void check_rejected(std::initializer_list<std::string_view> parts) {
        const std::string bytes = join(parts);
        INFO(bytes);
        plain.set_answer({bytes});
        const std::size_t before = plain.count("POST /book/x");
        CHECK(status_of(call("POST", "/book/x", {}, "b")) == 502);
        CHECK(plain.count("POST /book/x") == before + 1);
        answer_soundly();
        plain.set_answer({bytes});
        CHECK(status_of(call("GET", "/plain/x")) == 502);
        answer_soundly();
    }
    /// \returns what the caller gets as the server answers with these bytes
    [[nodiscard]] std::string answer_to(const raw_answer& answer, const std::string& body = "b") {
        plain.set_answer(answer);
        return call("POST", "/book/x", {}, body);
    }
};

/// Lines of a head that are not header fields (RFC 9112, 5.1).
const std::vector<std::string> malformed_lines = {
    "X A: v",    "X\tA: v",   "X\0A: v"s, "X\x01Y: v", "X\x0bY: v", "X\x1fY: v",
    "X\x7fY: v", "X\xe9Y: v", "X\rA: v",  "X\nA: v",   "\"X\": v",  "X[A: v",
    "X/A: v",    ": v",       "no colon", "X-A : v",   "X-A\t: v"};

/// Field lines that begin with whitespace: obsolete line folding (RFC 9112, 5.2).
const std::vector<std::string> folded_lines = {" Content-Length: 4",
                                               "\tContent-Length: 4",
                                               " Transfer-Encoding: chunked",
                                               " X-Cicadahatch-Not-Executed: 1",
                                               " : v",
                                               " "};

const std::vector<std::string> malformed_heads = {
    "HTTP/1.1 000 OK\r\n" + server_fields, "HTTP/1.1 700 OK\r\n" + server_fields,
    ok_head + "X A: v\r\n", ok_head + "X\x01: v\r\n", ok_head + "X-A: b\r\n X-B: c\r\n"};

} // namespace

TEST_CASE_FIXTURE(broken_responses_fixture,
                  "response, status of other than three digits from 100 on, reaches no caller") {
    for (const char* status :
         {"000", "001", "099", "20", "2000", "+20", "-20", "2x0", "20 ", "", "0x0"}) {
        const std::string line = join({"HTTP/1.1 ", status, " OK\r\n"});
        check_rejected({line, server_fields, "Content-Length: 5\r\n\r\nwhole"});
        check_rejected({line, server_fields, "\r\nwhole"});
    }
    check_rejected({"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n"});
    check_rejected({"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 X\r\n", server_fields,
                    "Content-Length: 5\r\n\r\nwhole"});
}

TEST_CASE_FIXTURE(broken_responses_fixture,
                  "response, malformed field line in a head or trailer, reaches no caller") {
    for (const std::string& line : malformed_lines) {
        check_rejected({ok_head, line, "\r\nContent-Length: 5\r\n\r\nwhole"});
        check_rejected({"HTTP/1.1 102 Processing\r\n", line, "\r\n\r\n", whole_answer});
        check_rejected(
            {ok_head, "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n", line, "\r\n\r\n"});
    }
}

TEST_CASE_FIXTURE(broken_responses_fixture,
                  "response, field line that begins with whitespace, reaches no caller") {
    for (const std::string& line : folded_lines) {
        const std::string rest = "Content-Length: 5\r\n\r\nwhole";
        check_rejected({"HTTP/1.1 200 OK\r\n", line, "\r\n", server_fields, rest});
        check_rejected({ok_head, line, "\r\n", rest});
        check_rejected({ok_head, "X-A: b\r\n", line, "\r\n\r\nwhole"});
        check_rejected({"HTTP/1.1 102 Processing\r\nX-A: b\r\n", line, "\r\n\r\n", whole_answer});
    }
}

TEST_CASE_FIXTURE(broken_responses_fixture,
                  "response, transfer coding other than chunked, reaches no caller") {
    const std::string chunked_body = "\r\n5\r\nwhole\r\n0\r\n\r\n";
    for (const char* codings :
         {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "identity", "x"}) {
        check_rejected({ok_head, "Transfer-Encoding: ", codings, "\r\n", chunked_body});
    }
    check_rejected(
        {ok_head, "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", chunked_body});
    check_rejected({ok_head, "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n\r\nwhole"});
}

TEST_CASE_FIXTURE(broken_responses_fixture, "response, status beyond 599, reaches no caller") {
    for (const char* status : {"600", "700", "999"}) {
        check_rejected(
            {"HTTP/1.1 ", status, " X\r\n", server_fields, "Content-Length: 5\r\n\r\nwhole"});
    }
}

TEST_CASE_FIXTURE(broken_responses_fixture,
                  "stream, malformed head, reaches no caller and is not taken for unexecuted") {
    replace_engines();
    for (const std::string& head : malformed_heads) {
        INFO(head);
        decode.set_answer({join({head, "\r\nid: 0\ndata: 0\n\n"})});
        CHECK(status_of(call_stream("/stream/x")) == 502);
        decode.set_answer(sound_stream());
        REQUIRE(eventually([this] { return is_complete_stream(call_stream("/stream/x")); }));
    }
}

TEST_CASE_FIXTURE(broken_responses_fixture,
                  "hold or prefill, malformed head, its result is not used") {
    replace_engines();
    const std::string result = R"({"hold":"h-broken","kvHandle":"k-broken"})";
    for (const std::string& head : malformed_heads) {
        INFO(head);
        const raw_answer broken{join({head, "\r\n", result})};
        prefill.set_answer(broken);
        REQUIRE(stream_reaches(prefill, "/stream/x"));
        prefill.set_answer(sound_prefill());
        decode.set_hold_answer(broken);
        REQUIRE(stream_reaches(decode, "/cicadahatch/hold-take"));
        decode.set_hold_answer(scripted_server::sound_hold());
    }
    CHECK(decode.count("k-broken") == 0);
    CHECK(decode.count("h-broken") == 0);
}

TEST_CASE_FIXTURE(broken_responses_fixture,
                  "long upload, early 200 without a length is reset during it, reaches no caller") {
    for (const auto end : {raw_answer::ending::reset, raw_answer::ending::close}) {
        for (const char* body : {"", "part"}) {
            for (const char* version : {"HTTP/1.1", "HTTP/1.0"}) {
                INFO(static_cast<int>(end), std::string{body}, std::string{version});
                const raw_answer early{join({version, ok_head.substr(8), "\r\n", body}), end, true,
                                       0ms, 60ms};
                const std::size_t before = plain.count("POST /book/x");
                CHECK(status_of(answer_to(early, long_upload())) == 502);
                CHECK(plain.count("POST /book/x") == before + 1);
                answer_soundly();
            }
        }
    }
}

TEST_CASE_FIXTURE(
    broken_responses_fixture,
    "long repeatable upload, early 200 is reset during it, is sent to another server") {
    scripted_server other;
    stub.register_server("raw-other", "shop", "", other.place());
    REQUIRE(eventually([this] { return has_logged("\"raw-other\""); }));
    plain.set_answer({ok_head + "\r\npart", raw_answer::ending::reset, true, 0ms, 60ms});
    const std::size_t before = plain.count("POST /plain/x");
    for (int round = 0; round < 10 && plain.count("POST /plain/x") == before; ++round) {
        CHECK(call("POST", "/plain/x", {}, long_upload()).ends_with("whole"));
    }
    CHECK(plain.count("POST /plain/x") == before + 1);
}

TEST_CASE_FIXTURE(
    broken_responses_fixture,
    "long prompt, early stream without a length is reset between two events, does not "
    "look complete") {
    replace_engines();
    for (const auto end : {raw_answer::ending::reset, raw_answer::ending::close}) {
        INFO(static_cast<int>(end));
        decode.set_answer({event_head + "\r\nid: 0\ndata: 0\n\n", end, true, 0ms, 60ms});
        CHECK_FALSE(is_complete_stream(call_stream("/stream/x", long_upload())));
        decode.set_answer(sound_stream());
        REQUIRE(eventually([this] { return is_complete_stream(call_stream("/stream/x")); }));
    }
}

TEST_CASE_FIXTURE(broken_responses_fixture,
                  "long resumable prompt, early stream without a length is reset between two "
                  "events, goes on at another engine") {
    replace_engines();
    scripted_server other;
    other.set_answer(sound_stream());
    stub.register_server("raw-other", "model", "decode", other.place());
    REQUIRE(eventually([this] { return has_logged("\"raw-other\""); }));
    decode.set_answer(
        {event_head + "\r\nid: 0\ndata: 0\n\n", raw_answer::ending::reset, true, 0ms, 60ms});
    const std::size_t before = decode.count("/resume/x");
    for (int round = 0; round < 10 && decode.count("/resume/x") == before; ++round) {
        const std::string received = call_stream("/resume/x", long_upload());
        CHECK(is_complete_stream(received));
        CHECK(received.find("id: 1") != std::string::npos);
    }
    CHECK(decode.count("/resume/x") == before + 1);
}

TEST_CASE_FIXTURE(
    broken_responses_fixture,
    "long prompt, early failure without a length is reset during it, is not relayed") {
    replace_engines();
    const std::string failure = "HTTP/1.1 500 X\r\n" + server_fields + "\r\npart";
    decode.set_answer({failure, raw_answer::ending::reset, true, 0ms, 60ms});
    const std::string received = call_stream("/stream/x", long_upload());
    CHECK(status_of(received) == 502);
    CHECK(received.find("part") == std::string::npos);
}

TEST_CASE_FIXTURE(broken_responses_fixture,
                  "long prompt, early prefill without a length is reset during it, its KV cache is "
                  "not used") {
    replace_engines();
    prefill.set_answer({ok_head + "\r\n" + R"({"kvHandle":"k-broken","tokens":10,"version":1})",
                        raw_answer::ending::reset, true, 0ms, 60ms});
    REQUIRE(stream_reaches(prefill, "/stream/x", long_upload()));
    CHECK(decode.count("k-broken") == 0);
}

TEST_CASE_FIXTURE(broken_responses_fixture, "complete response, early or late, is delivered") {
    const std::string until_close = ok_head + "\r\nwhole";
    const std::string chunked =
        ok_head + "Transfer-Encoding: Chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    for (const std::string& bytes : {whole_answer, chunked}) {
        INFO(bytes);
        for (const auto end : {raw_answer::ending::reset, raw_answer::ending::close,
                               raw_answer::ending::finish_then_reset}) {
            INFO(static_cast<int>(end));
            const std::string received = answer_to({bytes, end, true, 0ms, 60ms}, long_upload());
            CHECK(status_of(received) == 200);
            CHECK(received.find("whole") != std::string::npos);
        }
    }
    const raw_answer ended_first{until_close, raw_answer::ending::finish_then_reset, true};
    CHECK(answer_to(ended_first, long_upload()).ends_with("whole"));
    CHECK(answer_to({until_close}, long_upload()).ends_with("whole"));
    CHECK(answer_to({until_close, raw_answer::ending::close, false, 300ms, 300ms})
              .ends_with("whole"));
}

// Guards against a trailer that withdraws what the head states.
TEST_CASE_FIXTURE(broken_responses_fixture,
                  "response, fields in its trailer, are not taken for fields of its head") {
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n";
    std::string received =
        answer_to({ok_head + chunked + "X-Cicadahatch-Not-Executed: 1\r\nX-Other: t\r\n\r\n"});
    CHECK(status_of(received) == 200);
    CHECK(received.find("whole") != std::string::npos);
    CHECK(received.find("X-Other") == std::string::npos);
    const std::string unsigned_head =
        "HTTP/1.1 200 OK\r\nX-Cicadahatch-Attempt-Id: {id}\r\nConnection: close\r\n";
    received = answer_to({unsigned_head + chunked + "X-Cicadahatch-Server-Signature: s\r\n\r\n"});
    CHECK(status_of(received) == 502);

    replace_engines();
    decode.set_answer({event_head + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 0\ndata: 0\n\n\r\n"
                                    "0\r\nX-Other: t\r\n\r\n"});
    received = call_stream("/stream/x");
    CHECK(received.find("id: 0") != std::string::npos);
    CHECK(received.find("X-Other") == std::string::npos);
}

TEST_CASE_FIXTURE(broken_responses_fixture, "valid response, unusual head, is delivered") {
    for (const char* fields :
         {"!#$%&'*+-.^_`|~9: v\r\n", "x: \r\n", "X-A:v\r\n", "X-A: \t v \t\r\n",
          "X-A: caf\xe9 \"q\" /[]\r\n", "X-A: 1\r\nX-A: 2\r\n"}) {
        INFO(std::string{fields});
        const std::string received =
            answer_to({join({ok_head, fields, "Content-Length: 5\r\n\r\nwhole"})});
        CHECK(status_of(received) == 200);
        CHECK(received.ends_with("whole"));
    }
    for (const char* status_line : {"200 ", "299 X", "404 Not Found", "499 X", "500 X", "599 X"}) {
        INFO(std::string{status_line});
        const std::string received = answer_to({"HTTP/1.1 "s + status_line + "\r\n" +
                                                server_fields + "Content-Length: 5\r\n\r\nwhole"});
        CHECK(received.starts_with("HTTP/1.1 "s + std::string{status_line}.substr(0, 3)));
        CHECK(received.ends_with("whole"));
    }
}
