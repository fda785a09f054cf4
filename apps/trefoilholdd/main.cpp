#include "base/log_event.h"
#include "base/log_output.h"
#include "node/node.h"

#include <glog/logging.h>

#include <array>
#include <csignal>
#include <iostream>

#include <getopt.h>
#include <malloc.h>
#include <pthread.h>
#include <unistd.h>

namespace {

/// Maximum number of malloc arenas of the process. With one arena per thread the C library retained
/// up to 13 MB more of a memory budget of 32 MB after changes of the VM list.
constexpr int max_heap_arenas = 2;

constexpr int exit_unclean_drain = 1;
constexpr int exit_usage = 2;
constexpr int exit_settings = 3;
constexpr int exit_failure = 4;

constexpr const char* usage =
    "usage: trefoilholdd --settings FILE [--check]\n"
    "\n"
    "Runs the node beside one upstream VM. SIGTERM or SIGINT drains and stops it.\n"
    "\n"
    "  --settings FILE  settings in TOML format, see docs/OPERATIONS.md\n"
    "  --check          check the settings and exit\n"
    "  --help           this text\n"
    "\n"
    "Exit codes: 0 drained, 1 requests were in flight at the drain timeout,\n"
    "2 invalid command line, 3 invalid settings,\n"
    "4 a port or another resource is not available or the node failed.\n";

struct command_line {
    std::string settings_file;
    bool check_only = false;
    bool help = false;
    bool valid = true;
};

command_line parse_command_line(int argc, char** argv)
{
    constexpr std::array<option, 4> options = {{{"settings", required_argument, nullptr, 's'},
                                                {"check", no_argument, nullptr, 'c'},
                                                {"help", no_argument, nullptr, 'h'},
                                                {nullptr, 0, nullptr, 0}}};
    command_line parsed;
    int key = 0;
    while ((key = getopt_long(argc, argv, "", options.data(), nullptr)) != -1) {
        if (key == 's') {
            parsed.settings_file = optarg;
        }
        else if (key == 'c') {
            parsed.check_only = true;
        }
        else {
            parsed.help = key == 'h';
            parsed.valid = parsed.help;
        }
    }
    parsed.valid = parsed.valid && optind == argc && (parsed.help || !parsed.settings_file.empty());
    return parsed;
}

/// Blocks SIGTERM and SIGINT in this thread and the threads it starts later, so that sigwait
/// receives them. Returns the set of both signals.
sigset_t block_termination_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int run(const trefoil::settings& s)
{
    const auto signals = block_termination_signals();
    trefoil::node node(s);
    node.start();
    int received = 0;
    sigwait(&signals, &received);
    return node.drain() ? 0 : exit_unclean_drain;
}

} // namespace

int main(int argc, char** argv)
{
    mallopt(M_ARENA_MAX, max_heap_arenas);
    google::InitGoogleLogging(argv[0]);
    const trefoil::log_output output(STDERR_FILENO);
    std::signal(SIGPIPE, SIG_IGN);
    const auto parsed = parse_command_line(argc, argv);
    if (!parsed.valid || parsed.help) {
        (parsed.help ? std::cout : std::cerr) << usage;
        return parsed.help ? 0 : exit_usage;
    }
    try {
        const auto s = trefoil::load_settings(parsed.settings_file);
        return parsed.check_only ? 0 : run(s);
    }
    catch (const trefoil::invalid_settings& e) {
        trefoil::log_event("settings_refused").add("key", e.key()).add("detail", e.what()).error();
        return exit_settings;
    }
    catch (const std::exception& e) {
        trefoil::log_event("node_failed").add("detail", e.what()).error();
        return exit_failure;
    }
}
