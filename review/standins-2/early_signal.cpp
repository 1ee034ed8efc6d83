/// \file
/// \brief Case 10: the settings change just as a process has been started.

#include "review/standins-2/deployment.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace {

using namespace std::chrono_literals;
using namespace standins;

constexpr auto start_limit = 20s;
/// From the start of the program to the signal.
constexpr auto signal_delay = 1ms;
constexpr auto restart_delay = 200ms;
/// FAULT: on two machines at least, processes end by themselves three times in the day.
constexpr int rounds = 3;
constexpr int least_machines = 2;
constexpr int ended_by_hup = 128 + SIGHUP;

/// Starts a machine's program and tells it that its settings have changed, as often as it ends, but
/// no more than three times.
/// \returns how often it ended by itself
int start_and_change(router& machine, const store& platform, record& told, bool has_trouble) {
    int ends = 0;
    for (int round = 0; round < rounds; ++round) {
        machine.start(platform);
        if (has_trouble) {
            std::this_thread::sleep_for(signal_delay);
            machine.send_signal(SIGHUP);
        }
        const bool is_ready =
            eventually([&] { return machine.has_ended() || machine.is_ready(); }, start_limit);
        if (!machine.has_ended()) {
            told.write(machine.name(), is_ready ? " is ready" : " isn't ready");
            return ends;
        }
        const int status = machine.wait();
        told.write(machine.name(), " has ended with status ", status,
                   status == ended_by_hup ? " (SIGHUP)" : "");
        ++ends;
        std::this_thread::sleep_for(restart_delay);
    }
    return ends;
}

/// The threads of the stand-ins last as long as this process, so nothing that they use may end
/// before it.
int run_case(const case_options& given) {
    record told{given.record};
    static store platform;
    platform.put("op/config", sample_configuration());
    int machines = 0;
    for (const char* name : {"front-plaine-verte-1", "front-roche-bois-1"}) {
        router machine{given.program, given.folder, name, "plaine-verte"};
        const int ends = start_and_change(machine, platform, told, given.has_trouble);
        machines += ends >= rounds ? 1 : 0;
    }
    told.write("on ", machines, " machines the process ended by itself ", rounds, " times");
    return machines >= least_machines ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    try {
        const case_options given = read_options({argv, argv + argc});
        const int outcome = given.program.empty() ? not_run : run_case(given);
        std::_Exit(outcome);
    } catch (const std::exception& fault) {
        std::cerr << fault.what() << "\n";
        std::_Exit(not_run);
    }
}
