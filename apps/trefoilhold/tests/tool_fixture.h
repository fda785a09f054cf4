#pragma once

#include "run_tool.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace trefoil_test {

/// Runs the tool in the test process and captures its output; provides a temporary folder.
struct tool_fixture {
    tool_fixture()
    {
        std::string path = std::filesystem::temp_directory_path() / "trefoilhold.XXXXXX";
        folder = mkdtemp(path.data());
    }

    ~tool_fixture()
    {
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }

    tool_fixture(const tool_fixture&) = delete;
    tool_fixture& operator=(const tool_fixture&) = delete;

    int run(const std::vector<std::string>& arguments)
    {
        std::ostringstream out_stream;
        std::ostringstream err_stream;
        const auto code = trefoil::run_tool(arguments, {out_stream, err_stream});
        out = out_stream.str();
        err = err_stream.str();
        return static_cast<int>(code);
    }

    std::string file(const std::string& name) const { return folder / name; }

    static std::string read(const std::string& file)
    {
        std::ostringstream text;
        text << std::ifstream(file).rdbuf();
        return text.str();
    }

    std::filesystem::path folder;
    std::string out;
    std::string err;
};

} // namespace trefoil_test
