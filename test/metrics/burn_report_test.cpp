#include "cicadahatch/core"
#include "cicadahatch/metrics"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace {

using namespace cicadahatch;
using namespace std::chrono_literals;

struct recorder_fixture {
    manual_clock time;
    metrics::request_recorder recorder{time};
    metrics::request_recorder other{time};

    static metrics::request_observation answered(duration first, duration between) {
        metrics::request_observation seen;
        seen.service = service_id{"patterns"};
        seen.work_rank = rank::urgent;
        seen.first_token = first;
        seen.between_tokens = between;
        seen.first_token_target = 700ms;
        seen.between_tokens_target = 40ms;
        seen.prefill_tokens = 100;
        return seen;
    }
    static metrics::request_observation refused(const std::string& reason) {
        metrics::request_observation seen = answered(0ms, 0ms);
        seen.outcome = metrics::request_outcome::refused;
        seen.reason = metrics::refusal_reason{reason};
        seen.prefill_tokens = 0;
        return seen;
    }
    void record(metrics::request_recorder& into, const metrics::request_observation& seen,
                int count) {
        for (int each = 0; each < count; ++each) {
            into.record(seen);
        }
    }
    [[nodiscard]] metrics::burn_report report(const metrics::snapshot& taken) const {
        metrics::burn_objective objective;
        objective.service = service_id{"patterns"};
        objective.work_rank = rank::urgent;
        objective.objective = 0.9;
        return metrics::make_burn_report(taken, {objective}, time.wall_now());
    }
};

} // namespace

TEST_CASE_FIXTURE(recorder_fixture, "burn_report, one target missed, is not good") {
    record(recorder, answered(100ms, 20ms), 70);
    record(recorder, answered(800ms, 20ms), 10);
    record(recorder, answered(100ms, 50ms), 10);
    record(recorder, refused("queue_full"), 10);
    const metrics::burn_line line = report(recorder.take_snapshot()).lines.at(0);
    CHECK(line.short_window.counted.requests == 100);
    CHECK(line.short_window.counted.good == 70);
    CHECK(line.short_window.rate == doctest::Approx(3.0));
    CHECK(line.budget_left == doctest::Approx(-2.0));
    CHECK(line.refused.at(metrics::refusal_reason{"queue_full"}) == 10);
}

TEST_CASE_FIXTURE(recorder_fixture, "burn_report, time passes, short window forgets first") {
    record(recorder, answered(800ms, 20ms), 10);
    time.advance(10min);
    record(recorder, answered(100ms, 20ms), 30);
    const metrics::burn_line line = report(recorder.take_snapshot()).lines.at(0);
    CHECK(line.short_window.rate == doctest::Approx(0.0));
    CHECK(line.long_window.counted.requests == 40);
    CHECK(line.long_window.rate == doctest::Approx(2.5));
    time.advance(2h);
    CHECK(report(recorder.take_snapshot()).lines.at(0).long_window.counted.requests == 0);
}

TEST_CASE_FIXTURE(recorder_fixture, "burn_report, canceled requests, count for no objective") {
    metrics::request_observation seen = answered(900ms, 0ms);
    seen.outcome = metrics::request_outcome::canceled;
    seen.wasted_prefill_tokens = 25;
    recorder.record(seen);
    const metrics::burn_line line = report(recorder.take_snapshot()).lines.at(0);
    CHECK(line.long_window.counted.requests == 0);
    CHECK(line.wasted_prefill == doctest::Approx(0.25));
}

TEST_CASE_FIXTURE(recorder_fixture, "burn_report, rejected requests, listed but not counted") {
    metrics::request_observation seen = refused("in_progress");
    seen.outcome = metrics::request_outcome::rejected;
    recorder.record(seen);
    const metrics::burn_line line = report(recorder.take_snapshot()).lines.at(0);
    CHECK(line.long_window.counted.requests == 0);
    CHECK(line.refused.at(metrics::refusal_reason{"in_progress"}) == 1);
}

TEST_CASE_FIXTURE(recorder_fixture, "snapshot, two daemons merged in either order, same sums") {
    record(recorder, answered(100ms, 20ms), 5);
    record(other, answered(300ms, 20ms), 7);
    record(other, refused("no_capacity"), 2);
    metrics::snapshot forward = recorder.take_snapshot();
    metrics::merge(forward, other.take_snapshot());
    metrics::snapshot backward = other.take_snapshot();
    metrics::merge(backward, recorder.take_snapshot());
    CHECK(forward == backward);
    CHECK(forward.daemons == 2);
    CHECK(forward.series.at(0).completed == 12);
}

TEST_CASE_FIXTURE(recorder_fixture, "snapshot, encoded and decoded, is the same") {
    record(recorder, answered(100ms, 20ms), 5);
    record(recorder, refused("no_capacity"), 2);
    const metrics::snapshot taken = recorder.take_snapshot();
    const auto read = metrics::decode_snapshot(metrics::encode(taken));
    REQUIRE(read.has_value());
    CHECK(*read == taken);
}

TEST_CASE_FIXTURE(recorder_fixture, "decode_snapshot, damaged bytes, refused or still sound") {
    record(recorder, answered(100ms, 20ms), 50);
    record(recorder, refused("no_capacity"), 2);
    const std::string sound = metrics::encode(recorder.take_snapshot());
    constexpr std::uint64_t seed = 5;
    INFO("seed " << seed);
    random_source random{seed};
    int refused_count = 0;
    for (int round = 0; round < 5'000; ++round) {
        std::string damaged = sound.substr(0, random.below(sound.size()) + 1);
        const std::uint64_t flips = random.below(4);
        for (std::uint64_t flip = 0; flip < flips; ++flip) {
            damaged[random.below(damaged.size())] = static_cast<char>(random.below(256));
        }
        const auto read = metrics::decode_snapshot(damaged);
        refused_count += read ? 0 : 1;
        if (read) {
            CHECK(metrics::decode_snapshot(metrics::encode(*read)) == *read);
        }
    }
    CHECK(refused_count > 4'000);
}

TEST_CASE("decode_snapshot, deep nesting or a false size, refused") {
    CHECK(!metrics::decode_snapshot(std::string(1'000'000, '\x81')));
    CHECK(!metrics::decode_snapshot(std::string_view("\xbb\x1a\x00\x00\x00\x00\x00\x00\x01", 9)));
    CHECK(!metrics::decode_snapshot(""));
}

TEST_CASE_FIXTURE(recorder_fixture, "render, names with markup, stay escaped") {
    metrics::request_observation seen = answered(100ms, 20ms);
    seen.service = service_id{"a<b>\"&"};
    recorder.record(seen);
    const metrics::snapshot taken = recorder.take_snapshot();
    const metrics::burn_report made = report(taken);
    const std::string page = metrics::render_html(made);
    CHECK(page.find("a&lt;b&gt;&quot;&amp;") != std::string::npos);
    CHECK(page.find("a<b>") == std::string::npos);
    CHECK(page.find("http") == std::string::npos);
    const auto parsed = nlohmann::json::parse(metrics::render_json(made));
    CHECK(parsed["lines"].size() == 2);
    CHECK(metrics::render_text(made).find("patterns") != std::string::npos);
}

TEST_CASE_FIXTURE(recorder_fixture, "render_prometheus, series and values, in the text format") {
    metrics::registry values;
    values.counter_of(metrics::metric_name{"claims_total"}, "Claims made.").add(3);
    values.gauge_of(metrics::metric_name{"streams"}, "Open streams.").set(-1);
    recorder.record(answered(100ms, 20ms));
    const std::string text = metrics::render_prometheus(values, recorder.take_snapshot());
    CHECK(text.find("# TYPE claims_total counter\nclaims_total 3\n") != std::string::npos);
    CHECK(text.find("streams -1\n") != std::string::npos);
    CHECK(text.find("cicadahatch_first_token_seconds_bucket{service=\"patterns\",rank=\"urgent\","
                    "le=\"0.2\"} 1") != std::string::npos);
    CHECK(text.find(
              "cicadahatch_first_token_seconds_count{service=\"patterns\",rank=\"urgent\"} 1") !=
          std::string::npos);
}
