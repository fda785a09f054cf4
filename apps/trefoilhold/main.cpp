#include "run_tool.h"

#include <iostream>
#include <string>
#include <vector>

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(trefoil::run_tool(arguments, {std::cout, std::cerr}));
}
