#include "programs/cicadahatch/command.hpp"

#include <csignal>
#include <iostream>

int main(int argc, char** argv) {
    // A daemon that refuses a certificate closes while the request is still written.
    std::signal(SIGPIPE, SIG_IGN);
    return cicadahatch::tool::run({argv + 1, argv + argc}, std::cout, std::cerr);
}
