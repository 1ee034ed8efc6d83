#include "test/fuzz/fuzz_target.hpp"
#include "test/fuzz/mutation.hpp"

#include <array>
#include <atomic>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string_view>
#include <unistd.h>

namespace {

using namespace cicadahatch;

constexpr std::uint64_t fixed_seed = 20'260'101;

std::atomic<std::uint64_t> current_run{0};

void write_text(std::string_view text) {
    static_cast<void>(!::write(STDERR_FILENO, text.data(), text.size()));
}

/// \brief Prints the run that broke a property, so that it can be run again alone.
void report_run(int signal) {
    std::array<char, 24> digits{};
    const auto written =
        std::to_chars(digits.data(), digits.data() + digits.size(), current_run.load());
    write_text("fuzz: failed with the fixed seed in run ");
    write_text({digits.data(), static_cast<std::size_t>(written.ptr - digits.data())});
    write_text("\n");
    std::signal(signal, SIG_DFL);
    std::raise(signal);
}

void run_input(const std::string& input) {
    // Bytes and characters may alias.
    const auto* data = reinterpret_cast<const std::uint8_t*>(input.data()); // NOLINT(*-cast)
    LLVMFuzzerTestOneInput(data, input.size());
}

std::uint64_t number(std::string_view text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

/// Arguments: the number of runs and, to run one again alone, the number of that run.
int main(int argc, char** argv) {
    const std::uint64_t runs = argc > 1 ? number(argv[1]) : 1;
    const std::uint64_t only = argc > 2 ? number(argv[2]) : 0;
    std::signal(SIGABRT, report_run);
    const std::vector<std::string> seeds = fuzz::seed_inputs();
    for (const std::string& seed : seeds) {
        run_input(seed);
    }
    random_source random{fixed_seed};
    for (std::uint64_t run = 1; run <= runs; ++run) {
        const std::string input = fuzz::mutate(seeds, random);
        current_run = run;
        if (only == 0 || only == run) {
            run_input(input);
        }
    }
    std::cout << "fuzz: " << runs << " runs with seed " << fixed_seed << " passed\n";
    return EXIT_SUCCESS;
}
