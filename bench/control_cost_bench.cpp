// Runs daemons' control plane on loopback, agents with real sockets in one process, and prints
// what a node spends, with a linear fit to the two-year size: control_cost_bench

#include "cicadahatch/core"
#include "cicadahatch/membership"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <sys/resource.h>
#include <thread>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;

constexpr double nodes_in_two_years = 410;
constexpr double domains_in_two_years = 6;
constexpr double requests_in_two_years = 5'600;
constexpr auto settle_time = 3s;
constexpr auto measured_time = 6s;
constexpr auto digest_period = 4s;
constexpr auto pace = 20ms;

struct sample {
    double nodes = 0;
    double rate = 0; ///< requests a second and node
    double sent = 0; ///< bytes a second and node
    double received = 0;
    double cpu_percent = 0;
    double resident_mb = 0;
    double messages = 0;
};

double cpu_seconds() {
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
           static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) / 1e6;
}

double resident_megabytes() {
    std::ifstream status{"/proc/self/statm"};
    double total = 0;
    double resident = 0;
    status >> total >> resident;
    return resident * 4096 / 1e6;
}

/// A group of nodes of one failure domain; each is the home of one cell.
class node_group {
public:
    explicit node_group(std::size_t count) {
        std::vector<http::endpoint> seeds;
        for (std::size_t index = 0; index < count; ++index) {
            nodes_.push_back(start(index, seeds));
            handlers_.push_back(nodes_.back().get());
            if (seeds.empty()) {
                seeds.push_back(nodes_.front()->self().place);
            }
        }
    }

    node_group(const node_group&) = delete;
    node_group& operator=(const node_group&) = delete;
    node_group(node_group&&) = delete;
    node_group& operator=(node_group&&) = delete;

    /// A listener with open links takes up to two seconds to stop, so all stop at once.
    ~node_group() {
        std::vector<std::thread> stopping;
        stopping.reserve(nodes_.size());
        for (auto& node : nodes_) {
            stopping.emplace_back([&node] { node.reset(); });
        }
        for (std::thread& entry : stopping) {
            entry.join();
        }
    }

    /// Each request is five messages: four from the daemon with the caller, one from the home.
    void run(double rate, std::chrono::milliseconds how_long) {
        const auto end = std::chrono::steady_clock::now() + how_long;
        auto next_digest = std::chrono::steady_clock::now();
        double due = 0;
        while (std::chrono::steady_clock::now() < end) {
            due += rate * static_cast<double>(nodes_.size()) *
                   std::chrono::duration<double>(pace).count();
            for (; due >= 1; due -= 1) {
                begin_request();
            }
            if (std::chrono::steady_clock::now() >= next_digest) {
                next_digest += digest_period;
                spread_digests();
            }
            std::this_thread::sleep_for(pace);
        }
    }

    rpc::traffic carried() const {
        rpc::traffic sum;
        for (const auto& node : nodes_) {
            sum = sum + node->carried();
        }
        return sum;
    }
    std::size_t size() const { return nodes_.size(); }

private:
    std::unique_ptr<membership::agent> start(std::size_t index,
                                             const std::vector<http::endpoint>& seeds) {
        const std::string name = "entry-mrs-" + std::to_string(index);
        return membership::agent_builder{}
            .named(daemon_id{name}, domain_id{"mrs-1"}, incarnation{1'700'000'000'000 + index})
            .listen_on({"127.0.0.1", 0})
            .secret("shared")
            .threads(40)
            .seeds(seeds)
            .timed_by(clock_)
            .on_message([this, index](const rpc::delivery& taken) { answer(index, taken); })
            .build()
            .value();
    }

    void begin_request() {
        const std::size_t from = random_.below(nodes_.size());
        const std::size_t home = random_.below(nodes_.size());
        rpc::acquire asked;
        asked.request = request_id{"3f2a9c1e77b0" + std::to_string(++requests_)};
        asked.attempt = attempt_number{1};
        asked.cell = cell_id{"mrs-1/7"};
        asked.service = service_id{"pattern-notes"};
        asked.model = model_id{"pattern-8b"};
        asked.team = team_id{"die-cutters"};
        asked.prompt_tokens = 12'000;
        asked.expected_output_tokens = 300;
        asked.prefix_hashes = {1, 2, 3, 4};
        static_cast<void>(nodes_[from]->send(id_of(home), asked));
    }

    void answer(std::size_t index, const rpc::delivery& taken) {
        membership::agent& self = *handlers_[index];
        for (const rpc::message& entry : taken.messages) {
            if (const auto* asked = std::get_if<rpc::acquire>(&entry)) {
                rpc::granted reply;
                reply.request = asked->request;
                reply.attempt = asked->attempt;
                reply.cell = asked->cell;
                reply.prefill_backend = backend_id{"prefill-0412"};
                reply.decode_backend = backend_id{"decode-0088"};
                static_cast<void>(self.send(taken.sender, reply));
            } else if (const auto* given = std::get_if<rpc::granted>(&entry)) {
                finish(self, taken.sender, *given);
            }
        }
    }

    static void finish(membership::agent& self, const daemon_id& home, const rpc::granted& given) {
        const auto later = rpc::urgency::deferrable;
        static_cast<void>(self.send(
            home, rpc::prefill_finished{given.request, given.attempt, given.cell, 0, 280ms},
            later));
        static_cast<void>(self.send(
            home, rpc::first_token{given.request, given.attempt, given.cell, 340ms}, later));
        static_cast<void>(self.send(
            home, rpc::release{given.request, given.attempt, given.cell, {}, 287, 32ms}, later));
    }

    void spread_digests() {
        ++digest_version_;
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            nodes_[index]->set_payload(membership::payload_kind::cell_digest,
                                       "mrs-1/" + std::to_string(index), digest_version_,
                                       std::string(24, 'x'));
        }
    }

    daemon_id id_of(std::size_t index) const {
        return daemon_id{"entry-mrs-" + std::to_string(index)};
    }

    cicadahatch::system_clock clock_;
    random_source random_{1};
    std::uint64_t requests_ = 0;
    std::uint64_t digest_version_ = 0;
    std::vector<membership::agent*> handlers_; ///< valid until an agent's destructor ends
    std::vector<std::unique_ptr<membership::agent>> nodes_;
};

sample measure(node_group& group, double rate, double resident_before) {
    group.run(rate, settle_time);
    const rpc::traffic before = group.carried();
    const double cpu = cpu_seconds();
    group.run(rate, measured_time);
    const rpc::traffic after = group.carried();
    const double seconds = std::chrono::duration<double>(measured_time).count();
    const double count = static_cast<double>(group.size());
    const double share = 1 / (seconds * count);
    return {count,
            rate,
            static_cast<double>(after.bytes_sent - before.bytes_sent) * share,
            static_cast<double>(after.bytes_received - before.bytes_received) * share,
            (cpu_seconds() - cpu) * share * 100,
            (resident_megabytes() - resident_before) / count,
            static_cast<double>(after.messages - before.messages) * share / 2};
}

void print(const sample& row) {
    std::printf("%6.0f %8.1f %10.0f %10.0f %10.1f %8.2f %8.2f\n", row.nodes, row.rate, row.sent,
                row.received, row.messages, row.cpu_percent, row.resident_mb);
}

/// Value at another size by the slope between two samples.
double extrapolate(double x1, double y1, double x2, double y2, double x) {
    return y1 + (y2 - y1) / (x2 - x1) * (x - x1);
}

} // namespace

int main() {
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    std::printf("%6s %8s %10s %10s %10s %8s %8s\n", "nodes", "req/s", "sent B/s", "recv B/s",
                "msg/s", "CPU %", "MB");
    const double rate = requests_in_two_years / nodes_in_two_years;
    const double resident_before = resident_megabytes();
    sample small;
    sample large;
    sample loaded;
    {
        node_group group{24};
        large = measure(group, 0, resident_before);
        print(large);
        loaded = measure(group, rate, resident_before);
        print(loaded);
    }
    {
        node_group group{8};
        small = measure(group, 0, resident_megabytes());
        print(small);
    }
    const double members = nodes_in_two_years / domains_in_two_years;
    const auto at_size = [&](double sample::*value) {
        const double idle =
            extrapolate(small.nodes, small.*value, large.nodes, large.*value, members);
        return idle + loaded.*value - large.*value;
    };
    std::printf("fit: %.0f nodes a domain, %.1f requests/s a node: ", members, rate);
    std::printf("sent %.0f B/s, received %.0f B/s, CPU %.2f %%\n", at_size(&sample::sent),
                at_size(&sample::received), at_size(&sample::cpu_percent));
    return 0;
}
