#include "programs/cicadahatch/admin_client.hpp"

#include "programs/cicadahatch/error.hpp"
#include "src/http/constants.hpp"
#include "src/http/error.hpp"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <thread>

namespace cicadahatch::tool {

namespace {

constexpr std::size_t max_connections = 16;
constexpr const char* base_path = "/admin/v1/";

std::string text_value(const cxxopts::ParseResult& values, const std::string& name) {
    return values.count(name) > 0 ? values[name].as<std::string>() : std::string{};
}

result<std::string> read_token(const cxxopts::ParseResult& values) {
    if (values.count("token-file") == 0) {
        const char* token = std::getenv("CICADAHATCH_ADMIN_TOKEN");
        return token == nullptr ? std::string{} : std::string{token};
    }
    std::ifstream file(values["token-file"].as<std::string>());
    std::string token;
    if (!std::getline(file, token)) {
        return failure(errc::unreadable_token);
    }
    return token;
}

result<std::string> body_of(result<http::response> answer) {
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    if (answer->status == http::status_unauthorized || answer->status == http::status_forbidden) {
        return failure(errc::unauthorized);
    }
    if (answer->status != http::status_ok) {
        return failure(errc::refused);
    }
    return std::move(answer->body);
}

result<std::string> ask(const http::endpoint& daemon, const http::client_tls& tls,
                        const http::request& sent) {
    auto connection = http::client_connection::open(daemon, tls);
    if (!connection) {
        return tl::unexpected(connection.error());
    }
    return body_of(connection->call(sent, admin_timeout));
}

bool is_unreached(const std::error_code& error) {
    return error.category() == http::http_category() || error == errc::not_in_force;
}

} // namespace

result<std::vector<http::endpoint>> parse_endpoints(const argument_list& texts) {
    std::vector<http::endpoint> places;
    for (const std::string& text : texts) {
        const auto place = http::parse_endpoint(text);
        if (!place) {
            return failure(errc::bad_endpoint);
        }
        places.push_back(*place);
    }
    return places;
}

result<admin_target> admin_target_of(const cxxopts::ParseResult& values) {
    auto daemons = parse_endpoints(list_value(values, "admin", "CICADAHATCH_ADMIN"));
    if (!daemons) {
        return tl::unexpected(daemons.error());
    }
    if (daemons->empty()) {
        return failure(errc::no_daemons);
    }
    auto token = read_token(values);
    if (!token) {
        return tl::unexpected(token.error());
    }
    const http::client_tls tls{text_value(values, "certificate"), text_value(values, "ca")};
    return admin_target{std::move(*daemons), std::move(*token), tls};
}

std::vector<daemon_reply> ask_all(const admin_target& target, const http::request& sent) {
    http::request authorized = sent;
    if (!target.token.empty()) {
        authorized.headers.push_back({"Authorization", "Bearer " + target.token});
    }
    std::vector<daemon_reply> replies;
    for (const http::endpoint& daemon : target.daemons) {
        replies.push_back({daemon, failure(http::errc::connect_failed)});
    }
    std::atomic<std::size_t> next{0};
    const auto work = [&] {
        for (std::size_t index = next++; index < replies.size(); index = next++) {
            replies[index].body = ask(replies[index].daemon, target.tls, authorized);
        }
    };
    std::vector<std::jthread> workers;
    for (std::size_t count = std::min(max_connections, replies.size()); count > 0; --count) {
        workers.emplace_back(work);
    }
    workers.clear();
    return replies;
}

http::request read_request(const std::string& resource) {
    return {"GET", base_path + resource, "", {}, ""};
}

http::request order_request(const std::string& resource, const json& body) {
    return {"POST", base_path + resource, "", {{"Content-Type", "application/json"}}, body.dump()};
}

exit_code report_failures(const terminal& to, const std::vector<daemon_reply>& replies) {
    exit_code code = exit_code::ok;
    for (const daemon_reply& reply : replies) {
        if (reply.body) {
            continue;
        }
        fail(to, to_string(reply.daemon), reply.body.error());
        if (is_unreached(reply.body.error())) {
            code = exit_code::unreachable;
        } else if (code == exit_code::ok) {
            code = exit_code::failed;
        }
    }
    return code;
}

} // namespace cicadahatch::tool
