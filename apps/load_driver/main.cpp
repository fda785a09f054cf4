#include "driver.h"

#include <fstream>
#include <iostream>

#include <getopt.h>

namespace {

constexpr const char* usage =
    "usage: load_driver --workload FILE [--out FILE | --wait-ready]\n"
    "Sends the requests of a workload file and prints the results as JSON.\n"
    "--wait-ready only waits until every entry serves every flow; exit code 1 if that fails.\n";

void write_results(const std::string& json, const std::string& file)
{
    if (file.empty()) {
        std::cout << json << '\n';
        return;
    }
    std::ofstream(file) << json << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    const option options[] = {{"workload", required_argument, nullptr, 'w'},
                              {"out", required_argument, nullptr, 'o'},
                              {"wait-ready", no_argument, nullptr, 'r'},
                              {"help", no_argument, nullptr, 'h'},
                              {nullptr, 0, nullptr, 0}};
    std::string workload_file;
    std::string out_file;
    bool wait_ready = false;
    int key = 0;
    while ((key = getopt_long(argc, argv, "", options, nullptr)) != -1) {
        if (key == 'w') {
            workload_file = optarg;
        }
        else if (key == 'o') {
            out_file = optarg;
        }
        else if (key == 'r') {
            wait_ready = true;
        }
        else {
            std::cerr << usage;
            return key == 'h' ? 0 : 2;
        }
    }
    if (workload_file.empty()) {
        std::cerr << usage;
        return 2;
    }
    try {
        trefoil::asio::io_context context(1);
        driver run(context, load_workload(workload_file));
        if (wait_ready) {
            run.start_readiness_check();
            context.run();
            return run.ready() ? 0 : 1;
        }
        run.start();
        context.run();
        context.restart();
        run.check_records();
        context.run();
        write_results(run.results().to_json(), out_file);
        return 0;
    }
    catch (const std::exception& e) {
        std::cerr << "load_driver: " << e.what() << '\n';
        return 1;
    }
}
