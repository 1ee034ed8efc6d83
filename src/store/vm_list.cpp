#include "src/store/vm_list.hpp"

#include "src/core/macros.hpp"
#include "src/store/error.hpp"

#include <nlohmann/json.hpp>
#include <optional>

namespace cicadahatch::store {

namespace {

using nlohmann::json;

constexpr const char* vms_path = "/vms";

std::optional<std::string> text_field(const json& object, const char* name) {
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

std::optional<vm_state> state_of(const json& object) {
    const auto text = text_field(object, "state");
    if (text == "live") {
        return vm_state::live;
    }
    if (text == "leaving") {
        return vm_state::leaving;
    }
    return std::nullopt;
}

std::optional<virtual_machine> machine_of(const json& object) {
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto id = text_field(object, "id");
    const auto address = text_field(object, "address");
    const auto domain = text_field(object, "domain");
    const auto state = state_of(object);
    if (!id || !address || !domain || !state) {
        return std::nullopt;
    }
    return virtual_machine{*id, *address, domain_id{*domain}, *state};
}

} // namespace

result<vm_list> parse_vm_list(std::string_view body) {
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_array()) {
        return failure(errc::protocol);
    }
    vm_list machines;
    for (const json& object : parsed) {
        auto machine = machine_of(object);
        if (!machine) {
            return failure(errc::protocol);
        }
        machines.push_back(std::move(*machine));
    }
    return machines;
}

vm_list_client::vm_list_client(std::vector<http::endpoint> endpoints,
                               std::chrono::milliseconds timeout)
    : endpoints_(std::move(endpoints)), timeout_(timeout) {
    CICADAHATCH_ASSERT(!endpoints_.empty(), vm_list_client_has_an_endpoint);
}

result<vm_list> vm_list_client::fetch() {
    for (const http::endpoint& place : endpoints_) {
        const http::request sent{"GET", vms_path, "", {http::no_interim()}, ""};
        const auto answer = pool_.call(place, sent, timeout_);
        if (answer && answer->status == http::status_ok) {
            return parse_vm_list(answer->body);
        }
    }
    return failure(errc::unavailable);
}

} // namespace cicadahatch::store
