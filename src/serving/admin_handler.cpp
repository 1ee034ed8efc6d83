#include "src/serving/admin_handler.hpp"

#include "src/http/constants.hpp"
#include "src/metrics/exposition.hpp"
#include "src/metrics/snapshot.hpp"

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

namespace cicadahatch::serving {

namespace {

using nlohmann::json;

constexpr std::string_view base_path = "/admin/v1/";

const char* name_of(backend_role role) {
    switch (role) {
    case backend_role::prefill:
        return "prefill";
    case backend_role::decode:
        return "decode";
    case backend_role::plain:
        return "plain";
    }
    return "unknown";
}

json to_json(const cell_status& cell) {
    return {{"cell", cell.id.str()},
            {"model", cell.model.str()},
            {"domain", cell.domain.str()},
            {"engines", cell.engines},
            {"waiting", cell.waiting},
            {"granted", cell.granted},
            {"cached_prefixes", cell.cached_prefixes},
            {"registering", cell.is_registering}};
}

json to_json(const backend_row& server) {
    return {{"backend", server.id.str()},
            {"address", to_string(server.place)},
            {"role", name_of(present_role(server))},
            {"domain", server.domain.str()},
            {"service", server.service.str()},
            {"takes_work", takes_work(server)},
            {"leaving", has_left(server)},
            {"drained", server.is_drained},
            {"reachable", server.is_reachable},
            {"running", server.load.running},
            {"kv_pieces_free", server.load.kv_pieces_free},
            {"kv_pieces_total", server.load.kv_pieces_total}};
}

void respond(http::exchange& call, int status, const std::string& body) {
    call.respond(http::json_response(status, body));
}

void respond_error(http::exchange& call, int status, const char* code) {
    respond(call, status, json{{"code", code}}.dump());
}

bool is_same_secret(const std::string& given, const std::string& expected) {
    return given.size() == expected.size() &&
           CRYPTO_memcmp(given.data(), expected.data(), given.size()) == 0;
}

json body_of(const http::exchange& call) {
    return json::parse(call.request().body, nullptr, false);
}

} // namespace

bool admin_handler::is_authorized(const http::request& received) const {
    const std::string& token = shared_.configured.admin_token;
    if (token.empty()) {
        return true;
    }
    const std::string* given = http::find_header(received.headers, "Authorization");
    return given != nullptr && is_same_secret(*given, "Bearer " + token);
}

void admin_handler::handle(http::exchange& call) {
    if (!is_authorized(call.request())) {
        return respond_error(call, http::status_unauthorized, "unauthorized");
    }
    if (call.request().method == "GET") {
        return read(call);
    }
    if (call.request().method == "POST") {
        return order(call);
    }
    respond_error(call, http::status_method_not_allowed, "method_not_allowed");
}

void admin_handler::read(http::exchange& call) {
    const std::string& path = call.request().path;
    if (path == "/metrics") {
        const auto taken = shared_.recorder.take_snapshot();
        const std::string body = metrics::render_prometheus(values_, taken);
        call.respond({http::status_ok, {{"Content-Type", metrics::prometheus_content_type}}, body});
        return;
    }
    if (path == "/live") {
        return respond(call, http::status_ok, R"({"live":true})");
    }
    if (path == "/ready") {
        const int status = callers_.is_ready() ? http::status_ok : http::status_unavailable;
        return respond(call, status, json{{"ready", callers_.is_ready()}}.dump());
    }
    const std::string name =
        path.rfind(base_path, 0) == 0 ? path.substr(base_path.size()) : std::string{};
    if (name == "status") {
        return respond(call, http::status_ok, status());
    }
    if (name == "cells") {
        return respond(call, http::status_ok, cells());
    }
    if (name == "engines") {
        return respond(call, http::status_ok, engines());
    }
    if (name == "members") {
        return respond(call, http::status_ok, members());
    }
    if (name == "configuration") {
        return respond(call, http::status_ok, configuration());
    }
    if (name == "burn") {
        return burn(call);
    }
    respond_error(call, http::status_not_found, "unknown_path");
}

void admin_handler::order(http::exchange& call) {
    const std::string& path = call.request().path;
    if (path == std::string{base_path} + "drain") {
        return drain(call);
    }
    if (path == std::string{base_path} + "log-level") {
        return set_log_level(call);
    }
    respond_error(call, http::status_not_found, "unknown_path");
}

std::string admin_handler::status() const {
    return json{{"daemon", shared_.configured.name.str()},
                {"domain", shared_.configured.domain.str()},
                {"ready", callers_.is_ready()},
                {"draining", drain_.is_draining()},
                {"revision", shared_.directory.configured().value()},
                {"tickets", shared_.broker.tickets()},
                {"cell_load", shared_.broker.host().load()}}
        .dump();
}

std::string admin_handler::cells() const {
    json listed = json::array();
    for (const cell_status& cell : shared_.broker.host().status()) {
        listed.push_back(to_json(cell));
    }
    return json{{"cells", listed}}.dump();
}

std::string admin_handler::engines() const {
    json listed = json::array();
    for (const backend_row& server : shared_.directory.backends()) {
        listed.push_back(to_json(server));
    }
    return json{{"engines", listed}}.dump();
}

std::string admin_handler::members() const {
    json listed = json::array();
    for (const daemon_id& member : network_.live_daemons(shared_.configured.domain)) {
        listed.push_back({{"daemon", member.str()}, {"state", "live"}});
    }
    return json{{"members", listed}}.dump();
}

std::string admin_handler::configuration() const {
    json names = json::array();
    if (const auto services = shared_.directory.services()) {
        for (const auto& [name, described] : *services) {
            names.push_back(name.str());
        }
    }
    return json{{"revision", shared_.directory.configured().value()}, {"services", names}}.dump();
}

void admin_handler::burn(http::exchange& call) const {
    const std::string body = metrics::encode(shared_.recorder.take_snapshot());
    call.respond({http::status_ok, {{"Content-Type", "application/cbor"}}, body});
}

void admin_handler::drain(http::exchange& call) {
    const json asked = body_of(call);
    if (!asked.is_object()) {
        return respond_error(call, http::status_bad_request, "bad_json");
    }
    const auto backend = asked.find("backend");
    if (backend != asked.end() && backend->is_string()) {
        const auto undo = asked.find("undo");
        const bool is_undone = undo != asked.end() && *undo == true;
        const bool is_known = actions_.drain_backend(backend_id{*backend}, !is_undone);
        const int status = is_known ? http::status_ok : http::status_not_found;
        return respond(call, status, json{{"known", is_known}}.dump());
    }
    const auto daemon = asked.find("daemon");
    if (daemon != asked.end() && *daemon == true) {
        actions_.drain_daemon();
        return respond(call, http::status_ok, R"({"draining":true})");
    }
    respond_error(call, http::status_bad_request, "bad_field");
}

void admin_handler::set_log_level(http::exchange& call) {
    const json asked = body_of(call);
    const bool has_level = asked.is_object() && asked.contains("level") &&
                           asked["level"].is_number_integer() && asked["level"] >= 0 &&
                           asked["level"] <= google::GLOG_ERROR;
    if (!has_level) {
        return respond_error(call, http::status_bad_request, "bad_field");
    }
    FLAGS_minloglevel = asked["level"];
    respond(call, http::status_ok, json{{"level", FLAGS_minloglevel}}.dump());
}

} // namespace cicadahatch::serving
