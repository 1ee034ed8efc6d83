#include "test/fakes/fake_platform/gateway.hpp"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

// A stand-in for the platform: etcd's v3 JSON protocol under /v3, the VM list at /vms, and
//   POST /control {"mode": "none|unavailable|slow|lose_reply|drop_request|hold_reply", "count": N,
//                  "delay_ms": N, "compact": true, "vms": [{id, address, domain, state}]}
//                 hold_reply keeps back the replies of writes, which take effect, until the next
//                 mode is set
//   GET /control/counters
// It prints "ready HOST:PORT" and runs until SIGTERM or SIGINT.

namespace {

using namespace cicadahatch;

constexpr int worker_threads = 256;
constexpr std::size_t max_body_bytes = 8UL * 1024 * 1024;

sigset_t ending_signals() {
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

std::string listen_option(int argc, char** argv) {
    cxxopts::Options options{"fake_platform", "Stand-in for the platform's services"};
    options.add_options()("listen", "host:port; port 0 picks a free one",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    return options.parse(argc, argv)["listen"].as<std::string>();
}

int run(const std::string& listen) {
    const sigset_t signals = ending_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const auto place = http::parse_endpoint(listen);
    if (!place) {
        std::cerr << "bad endpoint: " << listen << '\n';
        return EXIT_FAILURE;
    }
    fake_platform::gateway answering;
    auto server = http::server_builder{}
                      .listen_on(*place)
                      .threads(worker_threads)
                      .max_body_bytes(max_body_bytes)
                      .handle_with([&](http::exchange& call) { answering.handle(call); })
                      .build();
    if (!server) {
        std::cerr << server.error().message() << '\n';
        return EXIT_FAILURE;
    }
    std::cout << "ready " << http::to_string((*server)->place()) << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    answering.stop();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv) {
    try {
        return run(listen_option(argc, argv));
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
