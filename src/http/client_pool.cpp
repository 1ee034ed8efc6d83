#include "src/http/client_pool.hpp"

#include "src/http/error.hpp"

namespace cicadahatch::http {

result<response> client_pool::call(const endpoint& place, const request& sent,
                                   std::chrono::milliseconds timeout, std::size_t max_body_bytes) {
    std::vector<client_connection> kept = take_idle(place);
    if (!kept.empty()) {
        client_connection& connection = kept.front();
        auto answer = connection.call(sent, timeout, max_body_bytes);
        if (answer) {
            give_back(place, std::move(connection));
            return answer;
        }
    }
    return call_once(place, sent, timeout, max_body_bytes);
}

result<response> client_pool::call_once(const endpoint& place, const request& sent,
                                        std::chrono::milliseconds timeout,
                                        std::size_t max_body_bytes) {
    auto connection = client_connection::open(place, tls_);
    if (!connection) {
        return tl::unexpected(connection.error());
    }
    auto answer = connection->call(sent, timeout, max_body_bytes);
    if (answer) {
        give_back(place, std::move(*connection));
    }
    return answer;
}

std::vector<client_connection> client_pool::take_idle(const endpoint& place) {
    const std::lock_guard lock{mutex_};
    std::vector<client_connection> taken;
    auto& kept = idle_[place];
    while (!kept.empty() && taken.empty()) {
        // What has come since the last response belongs to no later call.
        if (kept.back().is_idle_alive()) {
            taken.push_back(std::move(kept.back()));
        }
        kept.pop_back();
    }
    return taken;
}

void client_pool::give_back(const endpoint& place, client_connection connection) {
    const std::lock_guard lock{mutex_};
    auto& kept = idle_[place];
    if (connection.is_reusable() && kept.size() < max_idle_) {
        kept.push_back(std::move(connection));
    }
}

} // namespace cicadahatch::http
