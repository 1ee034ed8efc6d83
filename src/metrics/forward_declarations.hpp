#pragma once

namespace cicadahatch::metrics {

class latency_histogram;
class registry;
class request_recorder;
class window_counter;

struct burn_report;
struct request_observation;
struct series_snapshot;
struct snapshot;

} // namespace cicadahatch::metrics
