#include "check.h"

#include <sstream>

namespace trefoil::experiment {

namespace {

constexpr double goodput_target = 0.95;
constexpr std::chrono::milliseconds recovery_target{2000};
/// Also what counts as the whole demand of a kind.
constexpr double served_target = 0.99;
constexpr double attempts_target = 1.1;

} // namespace

std::vector<std::string> missed_targets(const run_figures& f)
{
    std::vector<std::string> missed;
    const auto require = [&](bool met, const char* what, double value) {
        if (!met) {
            std::ostringstream line;
            line << f.topology << ' ' << f.scenario << ' ' << f.control << ": " << what << ' '
                 << value;
            missed.push_back(line.str());
        }
    };
    if (f.scenario == "demand-2x" || f.scenario == "demand-5x") {
        require(f.goodput >= goodput_target, "goodput", f.goodput);
    }
    if (f.scenario == "browsing-flood") {
        require(f.precious_served >= served_target, "precious served", f.precious_served);
    }
    if (f.scenario == "urgent-flood") {
        require(f.smallest_share_kept >= served_target, "share kept", f.smallest_share_kept);
    }
    require(f.recovery && *f.recovery <= recovery_target, "recovery in ms",
            f.recovery ? static_cast<double>(f.recovery->count()) : -1.0);
    require(f.deepest_attempts <= attempts_target, "attempts", f.deepest_attempts);
    return missed;
}

} // namespace trefoil::experiment
