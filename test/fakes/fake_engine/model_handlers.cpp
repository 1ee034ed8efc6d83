#include "test/fakes/fake_engine/state.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace fake_engine {

using cicadahatch::http::exchange;
using cicadahatch::http::json_response;
using nlohmann::json;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t max_cached_prefixes = 64;
constexpr std::size_t cached_prefix_bytes = 256;
constexpr int tokens_before_death = 5;

json body_of(const exchange& call) {
    return json::parse(call.request().body, nullptr, false);
}

void refuse(exchange& call, int status, const std::string& code) {
    call.respond(json_response(status, json{{"code", code}, {"execution", "not_run"}}.dump()));
}

int count_tokens(const std::string& text) {
    std::istringstream words{text};
    int count = 0;
    for (std::string word; words >> word;) {
        ++count;
    }
    return std::max(count, 1);
}

int pieces_for(const state& engine, int tokens) {
    const int size = engine.configured.tokens_per_piece;
    return (tokens + size - 1) / size;
}

int cached_tokens(state& engine, const std::string& prompt) {
    const std::string prefix = prompt.substr(0, cached_prefix_bytes);
    auto& cached = engine.cached_prefixes;
    if (std::find(cached.begin(), cached.end(), prefix) != cached.end()) {
        return count_tokens(prefix);
    }
    cached.push_back(prefix);
    ++engine.cache_sequence;
    if (cached.size() > max_cached_prefixes) {
        cached.pop_front();
    }
    return 0;
}

/// Sleeps for the prefill's time, unless it is cancelled meanwhile.
bool work(state& engine, std::unique_lock<std::mutex>& lock, const json& asked, int tokens) {
    const std::chrono::duration<double> time{tokens / engine.configured.prefill_tokens_per_second};
    const auto ends =
        steady_clock::now() + std::chrono::duration_cast<steady_clock::duration>(time);
    const std::string request = asked["request_id"];
    const std::uint32_t attempt = asked["attempt"];
    return !engine.changed.wait_until(lock, ends,
                                      [&] { return is_cancelled(engine, request, attempt); });
}

bool is_valid(const json& asked) {
    return asked.is_object() && asked.contains("request_id") && asked.contains("attempt");
}

/// Sleeps for the transfer's time and counts it as under way.
void transfer(state& engine) {
    std::unique_lock lock{engine.mutex};
    const auto time = engine.configured.transfer_time;
    ++engine.transfers;
    lock.unlock();
    std::this_thread::sleep_for(time);
    lock.lock();
    --engine.transfers;
}

/// Fetches the exported KV cache from the prefill engine.
std::string pull_prompt(const json& source) {
    const auto place = cicadahatch::http::parse_endpoint(source.value("source", ""));
    if (!place) {
        return {};
    }
    const std::string path = "/v1/kv/" + source.value("handle", "");
    const auto pulled =
        cicadahatch::http::call(*place, {"GET", path, "", {}, ""}, std::chrono::milliseconds{2000});
    return pulled && pulled->status == 200 ? pulled->body : std::string{};
}

std::string frame(std::uint32_t attempt, std::uint64_t position, const std::string& text) {
    const json data{{"attempt", attempt}, {"position", position}, {"text", text}};
    return "id: " + std::to_string(position) + "\ndata: " + data.dump() + "\n\n";
}

/// One running decode.
struct stream_job {
    std::string handle;
    std::string request;
    std::string prompt;
    std::uint32_t attempt = 0;
    std::uint64_t position = 0;
    std::uint64_t end = 0;
};

bool may_go_on(state& engine, const stream_job& job) {
    const std::lock_guard lock{engine.mutex};
    return !is_cancelled(engine, job.request, job.attempt);
}

bool write_frames(state& engine, exchange& call, stream_job& job) {
    const fault broken = engine.current_fault;
    std::string bytes = frame(job.attempt, job.position, token_at(job.prompt, job.position));
    ++job.position;
    if (broken == fault::reorder_frames && job.position < job.end) {
        bytes = frame(job.attempt, job.position, token_at(job.prompt, job.position)) + bytes;
        ++job.position;
    }
    if (broken == fault::repeat_frames) {
        bytes += bytes;
    }
    return call.write(bytes);
}

void wait_while_hanging(state& engine) {
    std::unique_lock lock{engine.mutex};
    engine.changed.wait(lock, [&] { return engine.current_fault != fault::hang; });
}

void stream(state& engine, exchange& call, stream_job& job) {
    const std::uint64_t start = job.position;
    while (job.position < job.end) {
        std::this_thread::sleep_for(engine.configured.token_interval);
        wait_while_hanging(engine);
        const bool dies = engine.current_fault == fault::die_mid_stream &&
                          job.position >= start + tokens_before_death;
        if (dies || !may_go_on(engine, job) || !write_frames(engine, call, job)) {
            return;
        }
    }
    call.write("data: [DONE]\n\n");
}

bool begin_decode(state& engine, const json& asked, stream_job& job) {
    const std::lock_guard lock{engine.mutex};
    expire_holdings(engine);
    const int tokens = count_tokens(job.prompt) + static_cast<int>(job.end);
    const int pieces = pieces_for(engine, tokens);
    if (is_cancelled(engine, job.request, job.attempt) || free_pieces(engine) < pieces) {
        return false;
    }
    job.handle = "d" + std::to_string(engine.next_handle++);
    const auto never = steady_clock::time_point::max();
    engine.holdings[job.handle] = {job.handle, job.request, job.attempt, "", pieces, true, never};
    run_record record;
    record.kind = "decode";
    record.request = job.request;
    record.attempt = job.attempt;
    record.tokens = asked.value("max_tokens", 0);
    engine.records.push_back(record);
    return true;
}

int running_decodes(const state& engine) {
    return static_cast<int>(
        std::count_if(engine.holdings.begin(), engine.holdings.end(),
                      [](const auto& entry) { return entry.second.is_decoding; }));
}

} // namespace

std::string token_at(const std::string& prompt, std::uint64_t position) {
    const std::uint64_t hash = cicadahatch::stable_hash(prompt, position);
    return "t" + std::to_string(hash % 100'000) + " ";
}

void expire_holdings(state& engine) {
    const auto now = steady_clock::now();
    std::erase_if(engine.holdings, [&](const auto& entry) { return entry.second.expires <= now; });
}

bool is_cancelled(const state& engine, const std::string& request, std::uint32_t attempt) {
    const auto found = engine.cancelled.find(request);
    return found != engine.cancelled.end() && found->second >= attempt;
}

int free_pieces(const state& engine) {
    int held = 0;
    for (const auto& [handle, kept] : engine.holdings) {
        held += kept.pieces;
    }
    return engine.configured.kv_pieces - held;
}

void handle_prefill(state& engine, exchange& call) {
    const json asked = body_of(call);
    if (!is_valid(asked) || !asked.contains("prompt")) {
        return refuse(call, 400, "bad_request");
    }
    std::unique_lock lock{engine.mutex};
    expire_holdings(engine);
    holding kept;
    kept.request = asked["request_id"];
    kept.attempt = asked["attempt"];
    kept.prompt = asked["prompt"];
    const int tokens = count_tokens(kept.prompt);
    kept.pieces = pieces_for(engine, tokens);
    if (engine.is_leaving) {
        return refuse(call, 503, "leaving");
    }
    if (is_cancelled(engine, kept.request, kept.attempt)) {
        return refuse(call, 409, "cancelled");
    }
    if (free_pieces(engine) < kept.pieces) {
        return refuse(call, 503, "full");
    }
    const int cached = std::min(cached_tokens(engine, kept.prompt), tokens);
    kept.handle = "p" + std::to_string(engine.next_handle++);
    kept.expires = steady_clock::time_point::max();
    engine.holdings[kept.handle] = kept;
    const std::size_t record = engine.records.size();
    engine.records.push_back({"prefill", kept.request, kept.handle, kept.attempt, tokens - cached});
    if (!work(engine, lock, asked, tokens - cached)) {
        engine.holdings.erase(kept.handle);
        call.respond(json_response(409, R"({"code":"cancelled"})"));
        return;
    }
    engine.records[record].is_used = false;
    engine.holdings[kept.handle].expires = steady_clock::now() + engine.configured.kv_retention;
    lock.unlock();
    const json answer{{"kv", kept.handle}, {"prompt_tokens", tokens}, {"cached_tokens", cached}};
    call.respond(json_response(200, answer.dump()));
}

void handle_export(state& engine, exchange& call) {
    const std::string handle = call.request().path.substr(std::string{"/v1/kv/"}.size());
    std::unique_lock lock{engine.mutex};
    expire_holdings(engine);
    const auto found = engine.holdings.find(handle);
    if (found == engine.holdings.end()) {
        return refuse(call, 410, "kv_gone");
    }
    const std::string prompt = found->second.prompt;
    engine.holdings.erase(found);
    for (run_record& record : engine.records) {
        record.is_used = record.is_used || record.key == handle;
    }
    lock.unlock();
    call.respond({200, {{"Content-Type", "application/octet-stream"}}, prompt});
}

void handle_decode(state& engine, exchange& call) {
    const json asked = body_of(call);
    if (!is_valid(asked) || !asked.contains("kv")) {
        return refuse(call, 400, "bad_request");
    }
    {
        const std::lock_guard lock{engine.mutex};
        if (engine.is_leaving) {
            return refuse(call, 503, "leaving");
        }
    }
    transfer(engine);
    stream_job job;
    job.prompt = pull_prompt(asked["kv"]);
    if (job.prompt.empty()) {
        return refuse(call, 410, "kv_gone");
    }
    job.request = asked["request_id"];
    job.attempt = asked["attempt"];
    job.position = asked.value("position", 0U);
    job.end = asked.value("max_tokens", 0U);
    if (!begin_decode(engine, asked, job)) {
        return refuse(call, 409, "cancelled");
    }
    call.begin_stream(200, {{"Content-Type", "text/event-stream"}});
    stream(engine, call, job);
    const std::lock_guard lock{engine.mutex};
    engine.holdings.erase(job.handle);
}

void handle_cancel(state& engine, exchange& call) {
    const json asked = body_of(call);
    if (!is_valid(asked)) {
        return refuse(call, 400, "bad_request");
    }
    const std::string request = asked["request_id"];
    const std::uint32_t attempt = asked["attempt"];
    const std::lock_guard lock{engine.mutex};
    if (engine.cancels_to_lose > 0) {
        --engine.cancels_to_lose;
        call.abandon();
        return;
    }
    // The tombstone also stops an attempt that arrives after its cancel.
    auto& highest = engine.cancelled[request];
    highest = std::max(highest, attempt);
    const auto is_freed = [&](const auto& entry) {
        const holding& kept = entry.second;
        return kept.request == request && kept.attempt <= attempt;
    };
    const auto freed = std::erase_if(engine.holdings, is_freed);
    engine.changed.notify_all();
    call.respond(json_response(200, json{{"freed", freed}}.dump()));
}

void handle_load(state& engine, exchange& call) {
    const std::lock_guard lock{engine.mutex};
    expire_holdings(engine);
    const json answer{{"incarnation", engine.incarnation},
                      {"role", engine.configured.role},
                      {"leaving", engine.is_leaving},
                      {"running", running_decodes(engine)},
                      {"holdings", engine.holdings.size()},
                      {"slots", engine.configured.slots},
                      {"kv_pieces_total", engine.configured.kv_pieces},
                      {"kv_pieces_free", free_pieces(engine)},
                      {"tokens_per_piece", engine.configured.tokens_per_piece},
                      {"prefill_tokens_per_second", engine.configured.prefill_tokens_per_second},
                      {"cache_sequence", engine.cache_sequence},
                      {"models", json::array({{{"name", engine.configured.model},
                                               {"version", engine.configured.version},
                                               {"adapters", engine.adapters}}})}};
    call.respond(json_response(200, answer.dump()));
}

void handle_cache_events(state& engine, exchange& call) {
    const std::lock_guard lock{engine.mutex};
    json hashes = json::array();
    for (const std::string& prefix : engine.cached_prefixes) {
        hashes.push_back(cicadahatch::stable_hash(prefix));
    }
    const json answer{{"sequence", engine.cache_sequence}, {"prefix_hashes", hashes}};
    call.respond(json_response(200, answer.dump()));
}

} // namespace fake_engine
