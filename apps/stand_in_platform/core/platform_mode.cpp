#include "platform_mode.h"

#include <sstream>

namespace trefoil {

namespace {

constexpr std::chrono::milliseconds largest_delay{60'000};

} // namespace

invalid_platform_mode::invalid_platform_mode(std::string_view text)
    : error("'" + std::string(text) + "' is not a mode: use up, refuse, close, stale or slow MS")
{
}

platform_mode parse_platform_mode(std::string_view text)
{
    platform_mode mode;
    std::istringstream words{std::string(text)};
    std::string word;
    while (words >> word) {
        if (word == "refuse") {
            mode.availability = platform_availability::refusing;
        }
        else if (word == "close") {
            mode.availability = platform_availability::closed;
        }
        else if (word == "stale") {
            mode.stale = true;
        }
        else if (word == "slow") {
            long ms = -1;
            if (!(words >> ms) || ms < 0 || ms > largest_delay.count()) {
                throw invalid_platform_mode(text);
            }
            mode.delay = std::chrono::milliseconds(ms);
        }
        else if (word != "up") {
            throw invalid_platform_mode(text);
        }
    }
    return mode;
}

} // namespace trefoil
