#include "base/error.h"
#include "base/log_event.h"
#include "stand_in_platform.h"

#include <getopt.h>
#include <glog/logging.h>

#include <array>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <optional>
#include <string>

namespace {

constexpr int usage_error = 2;

constexpr const char* usage =
    "Usage: stand_in_platform --config FILE --list FILE [--control FILE] [--address IP]\n"
    "                         [--port N] [--calls-per-second N]\n"
    "Serves a bundle file and a VM list as the platform does, until SIGTERM or SIGINT.\n"
    "  --config FILE           bundle with `version = N` in its table [bundle]\n"
    "  --list FILE             VM list in JSON\n"
    "  --control FILE          behaviour, read again on change: up, refuse, close, stale, slow MS\n"
    "  --address IP            default 127.0.0.1\n"
    "  --port N                default 0: a free port, printed as port=N\n"
    "  --calls-per-second N    default 2000; calls beyond are answered with status 429\n"
    "  --help\n";

template<class Number>
std::optional<Number> parse_number(const char* text)
{
    Number number{};
    const auto* const end = text + std::strlen(text);
    const auto parsed = std::from_chars(text, end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

/// Empty: the arguments are not usable.
std::optional<trefoil::stand_in_platform_options> parse_options(int argc, char** argv)
{
    static const std::array<option, 8> known{{{"config", required_argument, nullptr, 'c'},
                                              {"list", required_argument, nullptr, 'l'},
                                              {"control", required_argument, nullptr, 'f'},
                                              {"address", required_argument, nullptr, 'a'},
                                              {"port", required_argument, nullptr, 'p'},
                                              {"calls-per-second", required_argument, nullptr, 'r'},
                                              {"help", no_argument, nullptr, 'h'},
                                              {nullptr, 0, nullptr, 0}}};
    trefoil::stand_in_platform_options options;
    int found = 0;
    while ((found = getopt_long(argc, argv, "", known.data(), nullptr)) != -1) {
        switch (found) {
        case 'c':
            options.config_file = optarg;
            break;
        case 'l':
            options.list_file = optarg;
            break;
        case 'f':
            options.control_file = optarg;
            break;
        case 'a':
            options.address = optarg;
            break;
        case 'p':
            if (const auto port = parse_number<std::uint16_t>(optarg)) {
                options.port = *port;
                break;
            }
            return std::nullopt;
        case 'r':
            if (const auto rate = parse_number<std::uint64_t>(optarg)) {
                options.calls_per_second = *rate;
                break;
            }
            return std::nullopt;
        case 'h':
            std::cout << usage;
            std::exit(EXIT_SUCCESS);
        default:
            return std::nullopt;
        }
    }
    if (optind != argc || options.config_file.empty() || options.list_file.empty()) {
        return std::nullopt;
    }
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    const auto options = parse_options(argc, argv);
    if (!options) {
        std::cerr << usage;
        return usage_error;
    }
    // Blocked before any thread starts, so that only sigwait receives them.
    sigset_t ending;
    sigemptyset(&ending);
    sigaddset(&ending, SIGTERM);
    sigaddset(&ending, SIGINT);
    pthread_sigmask(SIG_BLOCK, &ending, nullptr);
    try {
        const trefoil::stand_in_platform platform(*options);
        std::cout << "port=" << platform.port() << std::endl;
        int received = 0;
        sigwait(&ending, &received);
        trefoil::log_event("platform_ending").add("signal", received).info();
    }
    catch (const trefoil::error& e) {
        std::cerr << "stand_in_platform: " << e.what() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
