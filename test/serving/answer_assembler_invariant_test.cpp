#include "cicadahatch/core"
#include "src/serving/answer_assembler.hpp"

#include <algorithm>
#include <doctest/doctest.h>

namespace {

using namespace cicadahatch;

constexpr std::uint64_t token_count = 60;

engines::frame make_frame(std::uint32_t attempt, std::uint64_t position) {
    engines::frame made;
    made.attempt = attempt_number{attempt};
    made.position = position;
    made.text = std::to_string(position) + ",";
    return made;
}

engines::frame make_foreign(std::uint32_t attempt, std::uint64_t position) {
    engines::frame made = make_frame(attempt, position);
    made.text = "foreign";
    return made;
}

std::string whole_text() {
    std::string text;
    for (std::uint64_t position = 0; position < token_count; ++position) {
        text += std::to_string(position) + ",";
    }
    return text;
}

struct assembler_fixture {
    serving::answer_assembler assembler;
    std::string delivered;

    void feed(const engines::frame& received) {
        for (const std::string& token : assembler.accept(received)) {
            delivered += token;
        }
    }

    /// Feeds positions [first, token_count) with repeats, in a locally shuffled order.
    void feed_shuffled(std::uint32_t attempt, std::uint64_t first, std::uint64_t end,
                       random_source& random) {
        std::vector<std::uint64_t> positions;
        for (std::uint64_t position = first; position < end; ++position) {
            positions.push_back(position);
            if (random.chance(0.3)) {
                positions.push_back(position);
            }
        }
        for (std::size_t index = positions.size(); index > 1; --index) {
            std::swap(positions[index - 1], positions[random.below(index)]);
        }
        for (const std::uint64_t position : positions) {
            feed(make_frame(attempt, position));
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(assembler_fixture,
                  "answer_assembler, shuffled and repeated frames, answer is whole and in order") {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        random_source random{seed};
        assembler = {};
        delivered.clear();
        assembler.begin_attempt(attempt_number{1});
        feed_shuffled(1, 0, token_count, random);
        CHECK(delivered == whole_text());
        CHECK(assembler.text() == whole_text());
        CHECK_FALSE(assembler.has_gap());
    }
}

TEST_CASE_FIXTURE(assembler_fixture,
                  "answer_assembler, late frames of an old attempt, none reaches the answer") {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        random_source random{seed};
        assembler = {};
        delivered.clear();
        assembler.begin_attempt(attempt_number{1});
        const std::uint64_t broken_at = random.below(token_count);
        feed_shuffled(1, 0, broken_at, random);
        feed(make_foreign(1, broken_at + 1));
        const std::uint64_t resumed_at = assembler.position();
        assembler.begin_attempt(attempt_number{2});
        for (std::uint64_t position = resumed_at; position < token_count; ++position) {
            feed(make_foreign(1, position));
            feed(make_frame(2, position));
            feed(make_foreign(1, position + 1));
        }
        CHECK(delivered == whole_text());
    }
}

TEST_CASE_FIXTURE(assembler_fixture, "answer_assembler, frame missing, what follows is held back") {
    assembler.begin_attempt(attempt_number{1});
    feed(make_frame(1, 0));
    feed(make_frame(1, 2));
    CHECK(delivered == "0,");
    CHECK(assembler.has_gap());
    feed(make_frame(1, 1));
    CHECK(delivered == "0,1,2,");
    CHECK_FALSE(assembler.has_gap());
}
