#include "src/http/response_head.hpp"

#include "src/http/constants.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <doctest/doctest.h>
#include <optional>

namespace {

using namespace cicadahatch;
using namespace std::string_literals;
namespace beast = boost::beast;

struct response_head_fixture {
    beast::flat_buffer received;
    std::optional<beast::http::response_parser<beast::http::string_body>> parser;

    /// Receives the bytes in parts of a size, until the head is complete or an error is found.
    boost::system::error_code parse(std::string_view bytes, std::size_t part) {
        received.clear();
        parser.emplace();
        boost::system::error_code error = beast::http::error::need_more;
        while (error == beast::http::error::need_more && !bytes.empty()) {
            const std::size_t size = std::min(part, bytes.size());
            std::copy_n(bytes.begin(), size, static_cast<char*>(received.prepare(size).data()));
            received.commit(size);
            bytes.remove_prefix(size);
            error = http::parse_response_head(*parser, received);
        }
        return error;
    }
};

constexpr std::array<std::size_t, 4> part_sizes{1, 2, 7, 1000};

} // namespace

TEST_CASE_FIXTURE(response_head_fixture, "head, lines of fields, is complete and leaves the body") {
    const std::string head = "HTTP/1.1 200 OK\r\nX-A:  b\r\nContent-Length: 4\r\n\r\n";
    for (const std::size_t part : part_sizes) {
        INFO(part);
        REQUIRE_FALSE(parse(head, part));
        CHECK(parser->get()["X-A"] == "b");
        CHECK(received.size() == 0);
    }
    REQUIRE_FALSE(parse(head + "\n \n\t", 1000));
    CHECK(received.size() == 4);
}

TEST_CASE_FIXTURE(response_head_fixture, "head, not complete, needs more") {
    for (const std::size_t part : part_sizes) {
        INFO(part);
        CHECK(parse("HTTP/1.1 200 OK\r\nX-A: b\r\n", part) == beast::http::error::need_more);
    }
}

// Guards against fields that are dropped because their line is taken for a part of the one before.
TEST_CASE_FIXTURE(response_head_fixture, "head, line that begins with whitespace, is an error") {
    for (const std::size_t part : part_sizes) {
        for (const char* lines :
             {"X-A: b\r\n Content-Length: 4\r\n", "X-A: b\r\n\tX-B: c\r\n", "X-A:\r\n \r\n",
              "X-A: b\r\nX-B: c\r\n d\r\nX-C: e\r\n", " X-A: b\r\n"}) {
            INFO(part, std::string{lines});
            CHECK(parse(std::string{"HTTP/1.1 200 OK\r\n"} + lines + "\r\n", part) ==
                  beast::http::error::bad_field);
        }
    }
}

TEST_CASE_FIXTURE(response_head_fixture, "head, transfer coding other than chunked, is an error") {
    const std::string begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: ";
    CHECK_FALSE(parse(begin + "chunked\r\n\r\n", 1000));
    CHECK_FALSE(parse(begin + "Chunked\r\n\r\n", 1000));
    for (const char* codings : {"gzip", "gzip, chunked", "chunked, chunked", "identity",
                                "gzip\r\nTransfer-Encoding: chunked"}) {
        INFO(std::string{codings});
        CHECK(parse(begin + codings + "\r\n\r\n", 1000) ==
              beast::http::error::bad_transfer_encoding);
    }
}

TEST_CASE_FIXTURE(response_head_fixture, "head, status outside 100 to 599, is an error") {
    for (const char* status : {"100", "200", "599"}) {
        INFO(std::string{status});
        CHECK_FALSE(parse(std::string{"HTTP/1.1 "} + status + " X\r\n\r\n", 1000));
    }
    for (const char* status : {"000", "001", "099", "600", "999"}) {
        INFO(std::string{status});
        CHECK(parse(std::string{"HTTP/1.1 "} + status + " X\r\n\r\n", 1000) ==
              beast::http::error::bad_status);
    }
}

// Guards against readers that wait for more although their buffer is full.
TEST_CASE_FIXTURE(response_head_fixture,
                  "head, endless part, is an error before the buffer is full") {
    const std::string endless(1'000'000, 'x');
    const std::string fields = "HTTP/1.1 200 OK\r\n";
    for (const std::string& begin :
         {""s, "HTTP/"s, "HTTP/1.1 200 "s, fields, fields + "X-A: "s, fields + "X-A: b\r\n "s}) {
        INFO(begin);
        received = beast::flat_buffer{http::max_unparsed_bytes};
        const auto error = parse(begin + endless, 1000);
        CHECK(error.failed());
        CHECK(error != beast::http::error::need_more);
    }
}
