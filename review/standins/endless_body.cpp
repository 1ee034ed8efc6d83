#include "review/standins/order_flow.hpp"

#include <boost/asio/write.hpp>

// An engine in trouble answers one look-up with bytes that are no answer and have no end, until its
// caller closes. Orders of other clients are at a sound engine meanwhile.

namespace {

using namespace review;

constexpr int machine_memory_mb = 110;
constexpr milliseconds order_work{300};
constexpr milliseconds lookup_work{60};
constexpr std::size_t order_clients = 8;
constexpr std::chrono::seconds flow_before{4};
constexpr std::chrono::seconds flow_after{3};

/// Sends at most what the link of a machine carries: 1,000 Mbit/s.
void send_without_end(record& notes, tcp::socket& to) {
    constexpr std::size_t piece_bytes = 125'000;
    constexpr milliseconds piece_time{1};
    const std::string piece(piece_bytes, 'x');
    net_error error;
    std::uint64_t sent = 0;
    auto next = clock::now();
    while (!error) {
        sent += boost::asio::write(to, boost::asio::buffer(piece), error);
        next = std::max(next + piece_time, clock::now());
        std::this_thread::sleep_until(next);
    }
    notes.write("engine-in-trouble: sent " + std::to_string(sent) + " bytes until the close");
}

bool answer_without_end(record& notes, tcp::socket& to, const http_request& asked) {
    const std::string id = field_of(asked, id_field);
    const std::string head = "HTTP/1.1 200 OK\r\n" + std::string{id_field} + ": " + id + "\r\n" +
                             signature_field + ": s.x." + id +
                             "\r\nTransfer-Encoding: chunked\r\n\r\n";
    notes.write("engine-in-trouble: answers " + id + " with bytes without end in a chunked body");
    net_error error;
    boost::asio::write(to, boost::asio::buffer(head), error);
    send_without_end(notes, to);
    return true;
}

[[noreturn]] void run(const std::string& folder, const std::string& record_file) {
    record notes{record_file};
    store platform;
    engine sound{notes, "engine-sound", order_work};
    engine troubled{notes, "engine-in-trouble", lookup_work};
    sound.enter(platform, "orders");
    troubled.enter(platform, "lookups");
    platform.put("op/config",
                 configuration(7,
                               json::array({plain_route("orders", "non_idempotent", 800, 1),
                                            plain_route("lookups", "idempotent", 800, 2)}),
                               json::array({plain_service("orders"), plain_service("lookups")})));
    router machine{notes, folder, place_of(platform.port())};
    if (!machine.start() || !wait_until_served(notes, machine.callers(), "orders") ||
        !wait_until_served(notes, machine.callers(), "lookups")) {
        finish(machine, exit_not_run);
    }
    machine.enforce_memory(machine_memory_mb);
    order_flow orders{notes, machine.callers(), "orders", order_clients};
    std::this_thread::sleep_for(flow_before);
    if (is_troubled()) {
        troubled.set_fault([&](tcp::socket& to, const http_request& asked) {
            return answer_without_end(notes, to, asked);
        });
    }
    call lookup;
    lookup.path = "/lookups/stock";
    lookup.id = "lookup-1";
    lookup.deadline = milliseconds{1500};
    const outcome got = send_once(machine.callers(), lookup, *lookup.deadline);
    notes.write("client: lookup-1 got " + std::to_string(got.status) + " " + got.fault);
    std::this_thread::sleep_for(flow_after);
    orders.stop();
    notes.write("the daemon held " + std::to_string(machine.most_memory_mb()) + " MB at most");
    const bool is_broken = is_lost_broken(notes, orders, sound);
    notes.write(is_broken ? "LOST was broken" : "LOST held");
    finish(machine, is_broken ? exit_broken : exit_held);
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 3) {
        return exit_not_run;
    }
    run(argv[1], argv[2]);
}
