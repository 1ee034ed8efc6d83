#include "bench/control_cost_bench/node_group.hpp"

#include <string>
#include <thread>

namespace cicadahatch::control_cost_bench {

namespace {

using namespace std::chrono_literals;

constexpr auto digest_period = 4s;
constexpr auto pace = 5ms;
constexpr std::size_t digest_bytes = 24;
constexpr int listener_threads = 64;

/// Events of a request after its grant: 12,000 tokens of prompt, 287 tokens at 32 ms.
constexpr auto prefill_time = 280ms;
constexpr auto first_token_time = 340ms;
constexpr auto release_time = 9'500ms;

/// As in serving::cell_host.
constexpr auto removal_copy_period = 100ms;
constexpr auto whole_copy_period = 10s;

rpc::grant_record record_of(const daemon_id& owner, const rpc::acquire& asked,
                            const rpc::granted& given) {
    rpc::grant_record record;
    record.request = given.request;
    record.attempt = given.attempt;
    record.grant = given.grant;
    record.holder = owner;
    record.service = asked.service;
    record.prefill_backend = given.prefill_backend;
    record.decode_backend = given.decode_backend;
    record.expected_output_tokens = asked.expected_output_tokens;
    record.kv_pieces = given.kv_pieces;
    record.between_tokens_target = 43ms;
    return record;
}

} // namespace

node_group::node_group(std::size_t count) : books_(count) {
    handlers_.resize(count);
    std::vector<http::endpoint> seeds;
    for (std::size_t index = 0; index < count; ++index) {
        nodes_.push_back(start(index, seeds));
        handlers_[index] = nodes_.back().get();
        if (seeds.empty()) {
            seeds.push_back(nodes_.front()->self().place);
        }
    }
}

node_group::~node_group() {
    std::vector<std::thread> stopping;
    stopping.reserve(nodes_.size());
    for (auto& node : nodes_) {
        stopping.emplace_back([&node] { node.reset(); });
    }
    for (std::thread& entry : stopping) {
        entry.join();
    }
}

void node_group::run(const load& carried, std::chrono::milliseconds how_long) {
    has_copies_ = carried.has_copies;
    const moment end = std::chrono::steady_clock::now() + how_long;
    moment last = std::chrono::steady_clock::now();
    moment next_digest = last;
    moment next_copy = last;
    double due = 0;
    while (last < end) {
        std::this_thread::sleep_for(pace);
        const moment now = std::chrono::steady_clock::now();
        due += carried.requests * static_cast<double>(nodes_.size()) *
               std::chrono::duration<double>(now - last).count();
        last = now;
        for (; due >= 1; due -= 1) {
            begin_request();
        }
        send_planned(now);
        if (carried.has_digests && now >= next_digest) {
            next_digest += digest_period;
            spread_digests();
        }
        if (carried.has_copies && now >= next_copy) {
            next_copy += removal_copy_period;
            send_copies(now);
        }
    }
}

rpc::traffic node_group::carried() const {
    rpc::traffic sum;
    for (const auto& node : nodes_) {
        sum = sum + node->carried();
    }
    return sum;
}

std::unique_ptr<membership::agent> node_group::start(std::size_t index,
                                                     const std::vector<http::endpoint>& seeds) {
    return membership::agent_builder{}
        .named(id_of(index), domain_id{"mrs-1"}, incarnation{1'700'000'000'000'000 + index})
        .listen_on({"127.0.0.1", 0})
        .secret("shared")
        .threads(listener_threads)
        .seeds(seeds)
        .timed_by(clock_)
        .on_message([this, index](const rpc::delivery& taken) { take(index, taken); })
        .build()
        .value();
}

void node_group::begin_request() {
    const std::size_t from = random_.below(nodes_.size());
    const std::size_t home = random_.below(nodes_.size());
    rpc::acquire asked;
    asked.request = request_id{"3f2a9c1e77b0" + std::to_string(++requests_)};
    asked.attempt = attempt_number{1};
    asked.cell = cell_id{"mrs-1/" + std::to_string(home)};
    asked.service = service_id{"pattern-notes"};
    asked.model = model_id{"pattern-8b"};
    asked.team = team_id{"die-cutters"};
    asked.prompt_tokens = 12'000;
    asked.expected_output_tokens = 300;
    for (int block = 0; block < 4; ++block) {
        asked.prefix_hashes.push_back(random_.below(UINT64_MAX));
    }
    static_cast<void>(nodes_[from]->send(id_of(home), asked));
}

void node_group::take(std::size_t index, const rpc::delivery& taken) {
    for (const rpc::message& entry : taken.messages) {
        if (const auto* asked = std::get_if<rpc::acquire>(&entry)) {
            grant(index, taken.sender, *asked);
        } else if (const auto* given = std::get_if<rpc::granted>(&entry)) {
            plan_rest(index, taken.sender, *given);
        } else if (const auto* ended = std::get_if<rpc::release>(&entry)) {
            end_grant(index, *ended);
        }
    }
}

void node_group::grant(std::size_t index, const daemon_id& owner, const rpc::acquire& asked) {
    rpc::granted reply;
    reply.request = asked.request;
    reply.attempt = asked.attempt;
    reply.cell = asked.cell;
    reply.prefill_backend = backend_id{"prefill-04" + std::to_string(index)};
    reply.decode_backend = backend_id{"decode-00" + std::to_string(index)};
    reply.kv_pieces = 768;
    {
        const std::lock_guard lock{mutex_};
        home_book& book = books_[index];
        reply.grant = book.live.size() + book.copies;
        const rpc::grant_record record = record_of(owner, asked, reply);
        book.live.insert_or_assign(reply.request, record);
        book.added.push_back(record);
        if (has_copies_) {
            send_copy(index, std::chrono::steady_clock::now());
        }
    }
    static_cast<void>(handlers_[index]->send(owner, reply));
}

void node_group::plan_rest(std::size_t index, const daemon_id& home, const rpc::granted& given) {
    const moment now = std::chrono::steady_clock::now();
    const rpc::prefill_finished prefilled{given.request, given.attempt, given.cell, 0,
                                          prefill_time};
    const rpc::first_token seen{given.request, given.attempt, given.cell, first_token_time};
    const rpc::release ended{given.request, given.attempt, given.cell, {}, 287, 32ms};
    const std::lock_guard lock{mutex_};
    planned_.emplace(now + prefill_time, planned{index, home, prefilled});
    planned_.emplace(now + first_token_time, planned{index, home, seen});
    planned_.emplace(now + release_time, planned{index, home, ended});
}

void node_group::end_grant(std::size_t index, const rpc::release& ended) {
    const std::lock_guard lock{mutex_};
    books_[index].live.erase(ended.request);
    books_[index].removed.push_back(ended.request);
}

void node_group::send_planned(moment now) {
    std::vector<planned> due;
    {
        const std::lock_guard lock{mutex_};
        const auto end = planned_.upper_bound(now);
        for (auto entry = planned_.begin(); entry != end; ++entry) {
            due.push_back(std::move(entry->second));
        }
        planned_.erase(planned_.begin(), end);
    }
    for (planned& entry : due) {
        static_cast<void>(nodes_[entry.from]->send(entry.home, std::move(entry.content)));
    }
}

void node_group::send_copy(std::size_t index, moment now) {
    home_book& book = books_[index];
    rpc::copy_grants copied;
    copied.is_whole = now - book.whole_copy_at >= whole_copy_period;
    if (copied.is_whole) {
        book.whole_copy_at = now;
        book.added.clear();
        book.removed.clear();
        for (const auto& [id, record] : book.live) {
            copied.added.push_back(record);
        }
    }
    copied.added.insert(copied.added.end(), book.added.begin(), book.added.end());
    copied.removed = std::move(book.removed);
    book.added.clear();
    book.removed.clear();
    if (copied.added.empty() && copied.removed.empty()) {
        return;
    }
    copied.cell = cell_id{"mrs-1/" + std::to_string(index)};
    copied.sequence = ++book.copies;
    static_cast<void>(handlers_[index]->send(id_of((index + 1) % books_.size()), copied));
}

void node_group::send_copies(moment now) {
    const std::lock_guard lock{mutex_};
    for (std::size_t index = 0; index < books_.size(); ++index) {
        send_copy(index, now);
    }
}

void node_group::spread_digests() {
    ++digest_version_;
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        nodes_[index]->set_payload(membership::payload_kind::cell_digest,
                                   "mrs-1/" + std::to_string(index), digest_version_,
                                   std::string(digest_bytes, 'x'));
    }
}

daemon_id node_group::id_of(std::size_t index) {
    return daemon_id{"entry-mrs-" + std::to_string(index)};
}

} // namespace cicadahatch::control_cost_bench
