#include "src/forwarding/shutdown_schedule.hpp"

#include "src/forwarding/constants.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using forwarding::plan_shutdown;
using forwarding::shutdown_schedule;

const time_point start{100s};

} // namespace

TEST_CASE("shutdown schedule, any limit, its times are in order and before the limit") {
    for (const std::chrono::milliseconds limit :
         {0ms, 1ms, 100ms, 1000ms, 3000ms, 8000ms, 3600000ms}) {
        CAPTURE(limit.count());
        const shutdown_schedule planned = plan_shutdown(start, limit);
        CHECK(start <= planned.last_stream_admission);
        CHECK(planned.last_stream_admission <= planned.last_placement);
        CHECK(planned.last_response <= planned.exit);
        CHECK(planned.exit <= start + limit);
        if (limit > 1ms) {
            CHECK(start < planned.last_response);
            CHECK(planned.last_response < planned.exit);
            CHECK(planned.exit < start + limit);
        }
    }
}

TEST_CASE("shutdown schedule, limit of eight seconds, streams are taken until the load balancer "
          "has noticed") {
    const shutdown_schedule planned = plan_shutdown(start, 8s);
    CHECK(planned.last_stream_admission == start + forwarding::balancer_detection_time);
    CHECK(planned.exit - planned.last_placement == forwarding::ordinary_stream_duration);
}

TEST_CASE("shutdown schedule, limit shorter than an ordinary stream, no more streams are taken") {
    const shutdown_schedule planned = plan_shutdown(start, 1s);
    CHECK(planned.last_stream_admission == start);
    CHECK(planned.last_placement == start);
}
