#include "test/demo/deployment.hpp"

#include "test/support/paths.hpp"
#include "test/support/require.hpp"

#include <utility>

namespace demo {

namespace {

using cicadahatch::backend_role;
using cicadahatch::test_support::cluster;
using cicadahatch::test_support::require;

constexpr int decode_engines = 2;

std::string service_file(const deployment& shown, const std::string& service) {
    return cicadahatch::test_support::source_dir() + "/examples/" + shown.name + "/services/" +
           service + "/" + service + ".service.json";
}

cicadahatch::settings::service read_service(const std::string& path) {
    auto read = cicadahatch::settings::load_service(path);
    require(read.is_valid(), "example_service_file_is_valid");
    return std::move(read.value);
}

void start_servers(cluster& running, const deployment& shown) {
    const std::vector<std::string> model = {"--model", shown.model_service};
    const std::string& service = shown.model_service;
    running.start_backend(service, service + "-p1", backend_role::prefill, shown.domain, model);
    for (int number = 1; number <= decode_engines; ++number) {
        const std::string name = service + "-d" + std::to_string(number);
        running.start_backend(service, name, backend_role::decode, shown.domain, model);
    }
    for (const char* number : {"1", "2"}) {
        running.start_backend(shown.plain_service, shown.plain_service + number,
                              backend_role::plain, shown.domain);
    }
}

} // namespace

const std::vector<deployment>& deployments() {
    static const std::vector<deployment> shown = {
        {"association", "pattern", "portal", "/confirmations", "port-louis-a",
         "replace-me-costing-notes"},
        {"utility", "soil-route", "round-booking", "/bookings", "north-a",
         "replace-me-depot-schedulers"}};
    return shown;
}

void start_backends(cluster& running) {
    for (const deployment& shown : deployments()) {
        start_servers(running, shown);
        auto model = read_service(service_file(shown, shown.model_service));
        model.model = cicadahatch::model_id{shown.model_service};
        running.publish(model);
        running.publish(read_service(service_file(shown, shown.plain_service)));
    }
}

} // namespace demo
