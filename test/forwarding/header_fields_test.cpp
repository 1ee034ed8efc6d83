#include "src/forwarding/header_fields.hpp"

#include <doctest/doctest.h>

namespace {

using namespace cicadahatch::forwarding;
using beast_http::field;

struct head_fixture {
    beast_http::request_header<> head;

    head_fixture() {
        head.target("/x/");
        head.set(field::host, "a.example");
    }
};

} // namespace

TEST_CASE_FIXTURE(head_fixture,
                  "remove_connection_fields, fields listed in Connection, are removed") {
    head.set(field::connection, "close, X-Only-Here");
    head.set("X-Only-Here", "1");
    head.set("X-Kept", "1");
    head.set(field::te, "trailers");
    head.set(field::content_length, "3");
    remove_connection_fields(head);
    CHECK(head.count("X-Only-Here") == 0);
    CHECK(head.count(field::connection) == 0);
    CHECK(head.count(field::te) == 0);
    CHECK(head.count(field::content_length) == 0);
    CHECK(head.count("X-Kept") == 1);
}

TEST_CASE_FIXTURE(head_fixture, "check_head, ordinary heads, have no fault") {
    CHECK(check_head(head) == head_fault::none);
    head.set(field::content_length, "3");
    CHECK(check_head(head) == head_fault::none);
    head.erase(field::content_length);
    head.set(field::transfer_encoding, "chunked");
    CHECK(check_head(head) == head_fault::none);
}

TEST_CASE_FIXTURE(head_fixture, "check_head, ambiguous end of the body, is a framing fault") {
    SUBCASE("length and coding") {
        head.set(field::content_length, "3");
        head.set(field::transfer_encoding, "chunked");
    }
    SUBCASE("two lengths") {
        head.insert(field::content_length, "3");
        head.insert(field::content_length, "4");
    }
    SUBCASE("unknown coding") {
        head.set(field::transfer_encoding, "xchunked");
    }
    SUBCASE("chunked not last") {
        head.set(field::transfer_encoding, "chunked, identity");
    }
    CHECK(check_head(head) == head_fault::framing);
}

TEST_CASE_FIXTURE(head_fixture, "check_head, no or two hosts, is a host fault") {
    head.insert(field::host, "b.example");
    CHECK(check_head(head) == head_fault::host);
    head.erase(field::host);
    CHECK(check_head(head) == head_fault::host);
}

TEST_CASE_FIXTURE(head_fixture, "check_head, target not a path, is a target fault") {
    head.target("http://a.example/x/");
    CHECK(check_head(head) == head_fault::target);
    head.target("*");
    CHECK(check_head(head) == head_fault::target);
}
