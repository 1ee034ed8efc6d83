#pragma once

#include "test/support/platform_stub.hpp"

#include <nlohmann/json.hpp>
#include <string>

namespace cicadahatch::test_support {

/// Bytes a second of the narrowest link of a VM, 10 Mbit/s.
inline constexpr std::size_t narrow_link_rate = 10'000'000 / 8;

/// Largest value that the store takes.
inline constexpr std::size_t max_value_bytes = 1'048'576;

/// The sample configuration with added routes, /added0/ the first, until it has a size.
inline std::string large_configuration(std::uint64_t version, std::size_t bytes) {
    constexpr std::size_t prefix_bytes = 4096;
    nlohmann::json made = nlohmann::json::parse(sample_platform_configuration(version));
    nlohmann::json added = made["routes"][0];
    const std::size_t routes = (bytes - made.dump().size()) / (prefix_bytes + added.dump().size());
    for (std::size_t number = 0; number < routes; ++number) {
        const std::string name = "added" + std::to_string(number);
        added["name"] = name;
        added["prefix"] = "/" + name + "/";
        if (number > 0) {
            added["prefix"] =
                "/" + std::string(prefix_bytes, 'p') + added["prefix"].get<std::string>();
        }
        made["routes"].push_back(added);
    }
    return made.dump();
}

/// \returns the start of the log line of a version that a gateway has read
inline std::string version_seen(std::uint64_t version) {
    return R"("configuration.seen","version":)" + std::to_string(version);
}

} // namespace cicadahatch::test_support
