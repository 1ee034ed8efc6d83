/// \file
/// \brief Case 8: an engine sends an interim answer before its answer.

#include "review/standins-2/deployment.hpp"

#include <cstdlib>
#include <iostream>

namespace {

using namespace std::chrono_literals;
using namespace standins;

constexpr auto start_limit = 20s;
constexpr auto deadline = 1500ms;
constexpr int clients = 3;
constexpr int orders_of_a_client = 4;

/// \returns whether an answer that the engine gave whole was kept from the client
bool is_broken(const received& seen, const std::vector<run>& runs, const std::string& id) {
    for (const run& row : runs) {
        if (row.request == id && row.is_answered && seen.status == 0 && seen.interim_status != 0) {
            return true;
        }
    }
    return false;
}

/// Sends the orders of one client on a channel that it keeps while answers come.
/// \returns how many orders ran, were answered whole by the engine and got an interim answer only
int send_orders(const router& entry, run_book& book, record& told, int client) {
    int broken = 0;
    auto kept = std::make_unique<channel>(entry.front());
    for (int number = 0; number < orders_of_a_client; ++number) {
        const std::string id = "order" + std::to_string(client) + std::to_string(number);
        told.write("sent: ", id);
        const received seen =
            kept->exchange(request_text("/order/x", id, deadline, "", "one die"), deadline + 500ms);
        told.write("received: ", id, " final status ", seen.status, ", interim status ",
                   seen.interim_status, ", bytes <", seen.bytes, ">");
        broken += is_broken(seen, book.all(), id) ? 1 : 0;
        if (!seen.is_whole || seen.is_closed) {
            kept = std::make_unique<channel>(entry.front());
        }
    }
    return broken;
}

/// The threads of the stand-ins last as long as this process, so nothing that they use may end
/// before it.
int run_case(const case_options& given, record& told) {
    static store platform;
    static run_book book;
    static plain_engine engine{book, "i-1", "portal"};
    platform.put("op/config", sample_configuration());
    engine.enter(platform);
    router entry{given.program, given.folder, "front-plaine-verte-1", "plaine-verte"};
    entry.start(platform);
    if (!eventually([&] { return entry.is_ready(); }, start_limit)) {
        told.write("the router isn't ready");
        return not_run;
    }
    channel first{entry.front()};
    const received warm =
        first.exchange(request_text("/order/x", "warm", deadline, "", "one die"), deadline);
    told.write("before the trouble: final status ", warm.status);
    if (!warm.is_whole) {
        return not_run;
    }
    engine.set_interim(given.has_trouble);
    int broken = 0;
    for (int client = 0; client < clients; ++client) {
        broken += send_orders(entry, book, told, client);
    }
    told.write_runs(book.all());
    told.write(broken, " of ", clients * orders_of_a_client,
               " orders ran, were answered whole by the engine, and their clients got an interim "
               "answer and nothing else until their deadline");
    return broken > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    try {
        const case_options given = read_options({argv, argv + argc});
        record told{given.record};
        const int outcome = given.program.empty() ? not_run : run_case(given, told);
        std::_Exit(outcome);
    } catch (const std::exception& fault) {
        std::cerr << fault.what() << "\n";
        std::_Exit(not_run);
    }
}
