#include "test/support/sample_settings.hpp"

namespace cicadahatch::test_support {

namespace {

using namespace std::chrono_literals;

settings::backend_server server(const std::string& id, const std::string& address,
                                backend_role role) {
    return {backend_id{id}, address, role, domain_id{"domain-a"}};
}

} // namespace

settings::service sample_model_service(const std::string& name) {
    settings::service made;
    made.name = service_id{name};
    made.team = team_id{"team"};
    made.kind = settings::service_kind::model;
    made.model = model_id{"model"};
    made.urgent.first_token = 1000ms;
    made.urgent.between_tokens = 50ms;
    made.deferrable.first_token = 10s;
    made.deferrable.between_tokens = 200ms;
    made.backends = {server(name + "-prefill", "127.0.0.1:8201", backend_role::prefill),
                     server(name + "-decode", "127.0.0.1:8202", backend_role::decode)};
    return made;
}

settings::service sample_plain_service(const std::string& name) {
    settings::service made;
    made.name = service_id{name};
    made.team = team_id{"team"};
    made.kind = settings::service_kind::plain;
    made.urgent.deadline = 1000ms;
    made.deferrable.deadline = 10s;
    made.at_most_once.methods = {"POST"};
    made.backends = {server(name + "-1", "127.0.0.1:8301", backend_role::plain)};
    return made;
}

} // namespace cicadahatch::test_support
