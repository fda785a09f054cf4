#include "upstream_options.h"

#include <getopt.h>

#include <array>

namespace {

constexpr std::array<option, 13> long_options = {{
    {"address", required_argument, nullptr, 'a'},
    {"port", required_argument, nullptr, 'p'},
    {"service", required_argument, nullptr, 's'},
    {"node", required_argument, nullptr, 'n'},
    {"slots", required_argument, nullptr, 'l'},
    {"service-time-ms", required_argument, nullptr, 't'},
    {"shed-queue", required_argument, nullptr, 'q'},
    {"cold-start-ms", required_argument, nullptr, 'c'},
    {"seed", required_argument, nullptr, 'e'},
    {"call", required_argument, nullptr, 'k'},
    {"own-retries", required_argument, nullptr, 'r'},
    {"help", no_argument, nullptr, 'h'},
    {nullptr, 0, nullptr, 0},
}};

std::uint32_t number(const char* text)
{
    try {
        return static_cast<std::uint32_t>(std::stoul(text));
    }
    catch (const std::exception&) {
        throw invalid_option(std::string("not a number: ") + text);
    }
}

void add_call(const std::string& text, upstream_options& options)
{
    const auto equals = text.find('=');
    if (equals == std::string::npos) {
        throw invalid_option("--call needs KIND=SERVICE");
    }
    options.calls[text.substr(0, equals)] = text.substr(equals + 1);
}

void apply(int key, const char* value, upstream_options& options)
{
    switch (key) {
    case 'a':
        options.address = value;
        break;
    case 'p':
        options.port = static_cast<std::uint16_t>(number(value));
        break;
    case 's':
        options.service = value;
        break;
    case 'n':
        options.node = value;
        break;
    case 'l':
        options.slots = number(value);
        break;
    case 't':
        options.service_time = std::chrono::milliseconds(number(value));
        break;
    case 'q':
        options.shed_queue = number(value);
        break;
    case 'c':
        options.cold_start = std::chrono::milliseconds(number(value));
        break;
    case 'e':
        options.seed = number(value);
        break;
    case 'k':
        add_call(value, options);
        break;
    case 'r':
        options.own_retries = number(value);
        break;
    default:
        throw invalid_option(
            "usage: stand_in_upstream --port PORT --service NAME [--address IP] [--node IP:PORT] "
            "[--slots N] [--service-time-ms N] [--shed-queue N] [--cold-start-ms N] [--seed N] "
            "[--call KIND=SERVICE]... [--own-retries N]");
    }
}

} // namespace

upstream_options parse_options(int argc, char** argv)
{
    upstream_options options;
    int key = 0;
    while ((key = getopt_long(argc, argv, "", long_options.data(), nullptr)) != -1) {
        apply(key, optarg, options);
    }
    if (options.port == 0) {
        throw invalid_option("--port is required");
    }
    return options;
}
