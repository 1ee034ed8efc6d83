#include "review/standins/order_flow.hpp"

// Many clients send a body of the size that the configuration allows, at once. Orders of other
// clients are at a sound engine meanwhile.

namespace {

using namespace review;

constexpr int machine_memory_mb = 110;
constexpr milliseconds order_work{300};
constexpr std::size_t order_clients = 8;
constexpr std::size_t large_clients = 35;
constexpr std::size_t body_bytes = 4'000'000;
constexpr std::size_t piece_bytes = 100'000;
constexpr std::chrono::seconds flow_before{4};
constexpr std::chrono::seconds flow_after{3};

/// Sends the body at less than a 35th of the machine's link of 1,000 Mbit/s: 4 MB take 1.4 s. A
/// client that is alone uses a third of the link.
void send_large(record& notes, std::uint16_t port, std::size_t number) {
    const milliseconds piece_time{is_troubled() ? 35 : 2};
    call upload;
    upload.path = "/uploads/sheet";
    upload.id = "sheet-" + std::to_string(number);
    upload.deadline = milliseconds{8000};
    channel opened{port};
    bool is_open = opened.is_open() && opened.send_bytes(head_of(upload, body_bytes));
    const std::string piece(piece_bytes, 's');
    auto next = clock::now();
    for (std::size_t sent = 0; is_open && sent < body_bytes; sent += piece_bytes) {
        is_open = opened.send_bytes(piece);
        next += piece_time;
        std::this_thread::sleep_until(next);
    }
    const outcome got = is_open ? opened.receive(*upload.deadline) : outcome{};
    notes.write("client: " + upload.id + " got " + std::to_string(got.status) + " " + got.fault);
}

void send_all(record& notes, std::uint16_t port) {
    std::vector<std::thread> clients;
    for (std::size_t number = 0; number < large_clients; ++number) {
        clients.emplace_back([&notes, port, number] { send_large(notes, port, number); });
        if (!is_troubled()) {
            // One client at a time.
            clients.back().join();
            clients.pop_back();
        }
    }
    for (std::thread& client : clients) {
        client.join();
    }
}

[[noreturn]] void run(const std::string& folder, const std::string& record_file) {
    record notes{record_file};
    store platform;
    engine sound{notes, "engine-sound", order_work};
    engine reader{notes, "engine-uploads", order_work};
    sound.enter(platform, "orders");
    reader.enter(platform, "uploads");
    platform.put("op/config",
                 configuration(7,
                               json::array({plain_route("orders", "non_idempotent", 800, 1),
                                            plain_route("uploads", "idempotent", 5000, 2)}),
                               json::array({plain_service("orders"), plain_service("uploads")})));
    router machine{notes, folder, place_of(platform.port())};
    if (!machine.start() || !wait_until_served(notes, machine.callers(), "orders") ||
        !wait_until_served(notes, machine.callers(), "uploads")) {
        finish(machine, exit_not_run);
    }
    machine.enforce_memory(machine_memory_mb);
    order_flow orders{notes, machine.callers(), "orders", order_clients};
    std::this_thread::sleep_for(flow_before);
    send_all(notes, machine.callers());
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
