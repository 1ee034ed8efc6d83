#include "test/support/paths.hpp"

#include <array>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace {

namespace fs = std::filesystem;

/// Names of the platform's wire protocol, one for each family of names.
constexpr std::array platform_names{
    "X-Cicadahatch", "/cicadahatch/kv-", "kv-txn",        "kv-range",        "kvHandle",
    "hold-take",     "Kv-Source",        "op/config",     "canResume",       "handleTtlS",
    "\"servers/\"",  "setKeys",          "storeRevision", "Server-Signature"};

std::string read_file(const fs::path& file) {
    std::ifstream input(file, std::ios::binary);
    return {std::istreambuf_iterator<char>(input), {}};
}

} // namespace

TEST_CASE("sources outside the platform folder do not contain wire protocol names") {
    const fs::path root = cicadahatch::test_support::source_dir();
    std::size_t files = 0;
    for (const char* folder : {"src", "programs", "bench", "cicadahatch"}) {
        for (const auto& entry : fs::recursive_directory_iterator(root / folder)) {
            if (!entry.is_regular_file()) {
                continue;
            }
            ++files;
            const std::string text = read_file(entry.path());
            for (const char* name : platform_names) {
                INFO(entry.path().string() << " holds " << std::string{name});
                CHECK(text.find(name) == std::string::npos);
            }
        }
    }
    CHECK(files > 100);
}

TEST_CASE("platform folder contains every name of the boundary check") {
    const fs::path root = cicadahatch::test_support::source_dir();
    std::string all;
    for (const auto& entry : fs::directory_iterator(root / "platform")) {
        all += read_file(entry.path());
    }
    for (const char* name : platform_names) {
        INFO(std::string{name});
        CHECK(all.find(name) != std::string::npos);
    }
}
