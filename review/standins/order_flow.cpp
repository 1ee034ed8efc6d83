#include "review/standins/order_flow.hpp"

namespace review {

namespace {

constexpr milliseconds patience{1500};
constexpr milliseconds pause{20};
constexpr std::size_t most_lost = 3;

} // namespace

order_flow::order_flow(record& notes, std::uint16_t port, std::string service, std::size_t clients)
    : notes_(notes), port_(port), service_(std::move(service)) {
    for (std::size_t number = 0; number < clients; ++number) {
        clients_.emplace_back([this, number] { run(number); });
    }
}

void order_flow::stop() {
    is_stopping_ = true;
    for (std::thread& client : clients_) {
        if (client.joinable()) {
            client.join();
        }
    }
}

std::vector<std::string> order_flow::unanswered() {
    const std::lock_guard lock{mutex_};
    return unanswered_;
}

void order_flow::run(std::size_t number) {
    std::unique_ptr<channel> kept;
    for (std::size_t step = 0; !is_stopping_; ++step) {
        if (!kept || !kept->is_open()) {
            kept = std::make_unique<channel>(port_);
        }
        call order;
        order.path = "/" + service_ + "/order";
        order.id = "client-" + std::to_string(number) + "-order-" + std::to_string(step);
        order.deadline = patience;
        order.body = "one steel die";
        if (!kept->is_open() || !kept->send(order)) {
            kept.reset();
            std::this_thread::sleep_for(pause);
            continue;
        }
        const outcome got = kept->receive(patience + pause);
        if (got.status != 0) {
            ++answered_;
            continue;
        }
        notes_.write("client: " + order.id + ": " + got.fault);
        const std::lock_guard lock{mutex_};
        unanswered_.push_back(order.id);
    }
}

bool is_lost_broken(record& notes, order_flow& orders, engine& sound) {
    std::size_t lost = 0;
    for (const std::string& order : orders.unanswered()) {
        if (sound.runs_of(order) > 0) {
            ++lost;
            notes.write("LOST: " + order +
                        " ran at the sound engine, its channel ended unanswered");
        }
    }
    notes.write(std::to_string(orders.answered()) + " orders answered, " + std::to_string(lost) +
                " passed on and not answered");
    return lost > most_lost;
}

} // namespace review
