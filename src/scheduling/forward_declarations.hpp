#pragma once

namespace cicadahatch::scheduling {

struct cell_digest;
struct cell_policy;
struct cell_state;
struct engine;
struct engine_spec;
struct grant;
struct live_grant;
struct rank_queue;
struct refusal;
struct request_spec;
struct tick_output;
struct waiting_request;

class cell_builder;

} // namespace cicadahatch::scheduling
