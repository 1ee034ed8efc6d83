#include "src/settings/load.hpp"

#include "src/settings/constants.hpp"
#include "src/settings/error.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>

namespace cicadahatch::settings {

namespace {

namespace fs = std::filesystem;

/// \returns at most one byte more than a file may have, or nothing if it can't be read
std::optional<std::string> read_text(const std::string& file_name) {
    std::error_code error;
    if (fs::is_directory(file_name, error)) {
        return std::nullopt;
    }
    std::ifstream file(file_name, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    std::string text(max_file_bytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad()) {
        return std::nullopt;
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    return text;
}

field_error unreadable(const std::string& source, std::string field, std::string accepted) {
    return {source, 0, std::move(field), errc::unreadable, std::move(accepted)};
}

void check_tls_file(const std::string& named, const std::string& field, const std::string& source,
                    std::vector<field_error>& errors) {
    if (!named.empty() && !read_text(named)) {
        errors.push_back(unreadable(source, field, "a PEM file that this process can read"));
    }
}

void check_tls_files(const listener& described, const std::string& path, const std::string& source,
                     std::vector<field_error>& errors) {
    check_tls_file(described.tls_certificate, path + ".tls_certificate", source, errors);
    check_tls_file(described.tls_peer_ca, path + ".tls_peer_ca", source, errors);
}

bool is_service_file(const fs::path& file) {
    return file.filename().string().ends_with(service_file_suffix);
}

} // namespace

parsed<service> load_service(const std::string& file_name) {
    const auto text = read_text(file_name);
    if (!text) {
        return {{}, {unreadable(file_name, "", "a file that this process can read")}};
    }
    return parse_service(*text, file_name);
}

parsed<daemon_settings> load_daemon_settings(const std::string& file_name) {
    const auto text = read_text(file_name);
    if (!text) {
        return {{}, {unreadable(file_name, "", "a file that this process can read")}};
    }
    auto outcome = parse_daemon_settings(*text, file_name);
    check_tls_files(outcome.value.callers, "callers", file_name, outcome.errors);
    check_tls_files(outcome.value.admin, "admin", file_name, outcome.errors);
    check_tls_files(outcome.value.peers, "peers", file_name, outcome.errors);
    return outcome;
}

parsed<gateway_settings> load_gateway_settings(const std::string& file_name) {
    const auto text = read_text(file_name);
    if (!text) {
        return {{}, {unreadable(file_name, "", "a file that this process can read")}};
    }
    return parse_gateway_settings(*text, file_name);
}

parsed<std::vector<std::string>> find_service_files(const std::string& place) {
    parsed<std::vector<std::string>> found;
    std::error_code error;
    if (fs::is_regular_file(place, error)) {
        found.value.push_back(place);
        return found;
    }
    auto entry = fs::recursive_directory_iterator(place, error);
    while (!error && entry != fs::recursive_directory_iterator{}) {
        if (is_service_file(entry->path())) {
            found.value.push_back(entry->path().string());
        }
        entry.increment(error);
    }
    if (error) {
        found.errors.push_back(unreadable(place, "", "a directory or file that can be read"));
    }
    std::sort(found.value.begin(), found.value.end());
    return found;
}

} // namespace cicadahatch::settings
