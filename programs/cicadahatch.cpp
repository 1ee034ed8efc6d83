#include "programs/cicadahatch/command.hpp"

#include <iostream>

int main(int argc, char** argv) {
    return cicadahatch::tool::run({argv + 1, argv + argc}, std::cout, std::cerr);
}
