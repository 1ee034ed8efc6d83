#include "src/http/endpoint.hpp"

#include "src/http/error.hpp"

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace cicadahatch::http {

namespace {

bool is_address(const std::string& host) {
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    return inet_pton(AF_INET, host.c_str(), parsed.data()) == 1 ||
           inet_pton(AF_INET6, host.c_str(), parsed.data()) == 1;
}

std::string without_brackets(std::string_view host) {
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    return std::string{host};
}

} // namespace

result<endpoint> parse_endpoint(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return failure(errc::bad_endpoint);
    }
    endpoint parsed;
    parsed.host = without_brackets(text.substr(0, colon));
    const std::string_view digits = text.substr(colon + 1);
    const char* end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, parsed.port);
    if (error != std::errc{} || stop != end || !is_address(parsed.host)) {
        return failure(errc::bad_endpoint);
    }
    return parsed;
}

std::string to_string(const endpoint& place) {
    const bool is_v6 = place.host.find(':') != std::string::npos;
    const std::string host = is_v6 ? "[" + place.host + "]" : place.host;
    return host + ":" + std::to_string(place.port);
}

} // namespace cicadahatch::http
