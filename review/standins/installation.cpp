#include "review/standins/installation.hpp"

#include <cstdlib>

namespace review {

void finish(router& machine, int code) {
    machine.stop();
    std::_Exit(code);
}

bool is_troubled() {
    const char* chosen = std::getenv("TROUBLE");
    return chosen == nullptr || std::string{chosen} != "0";
}

json plain_route(const std::string& service, const std::string& kind, int timeout_ms,
                 int attempts) {
    return {{"name", "r-" + service}, {"host", "shop.example"},  {"prefix", "/" + service + "/"},
            {"kind", kind},           {"timeoutMs", timeout_ms}, {"sloMs", 300},
            {"priority", 2},          {"service", service},      {"attempts", attempts},
            {"sticky", false}};
}

json plain_service(const std::string& name) {
    return {{"name", name},
            {"healthPath", "/health"},
            {"maxConns", 100},
            {"protocol", "h1"},
            {"tls", false}};
}

json configuration(int version, const json& routes, const json& services) {
    return {{"version", version},
            {"routes", routes},
            {"services", services},
            {"limits",
             {{"headerBytes", 16384},
              {"bodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}}};
}

bool wait_until_served(record& notes, std::uint16_t port, const std::string& service) {
    constexpr int most_tries = 60;
    constexpr milliseconds pause{100};
    for (int number = 0; number < most_tries; ++number) {
        call asked;
        asked.path = "/" + service + "/first";
        asked.id = "first-" + service + "-" + std::to_string(number);
        asked.deadline = milliseconds{1500};
        if (send_once(port, asked, *asked.deadline).status == 200) {
            return true;
        }
        std::this_thread::sleep_for(pause);
    }
    notes.write("the service is not served");
    return false;
}

} // namespace review
