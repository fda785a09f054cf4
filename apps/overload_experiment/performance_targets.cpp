#include "performance_targets.h"

#include <sstream>

namespace trefoil::experiment {

namespace {

constexpr double min_goodput = 0.95;
constexpr std::chrono::milliseconds max_recovery_time{2000};
/// Fraction of the demand, or of the fair share, from which on it counts as fully served.
constexpr double min_served_fraction = 0.99;
constexpr double max_attempts = 1.1;

} // namespace

std::vector<std::string> missed_targets(const run_metrics& f)
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
        require(f.goodput >= min_goodput, "goodput", f.goodput);
    }
    if (f.scenario == "browsing-flood") {
        require(f.guaranteed_served >= min_served_fraction, "precious served", f.guaranteed_served);
    }
    if (f.scenario == "urgent-flood") {
        require(f.min_of_fair_share >= min_served_fraction, "share kept", f.min_of_fair_share);
    }
    require(f.recovery && *f.recovery <= max_recovery_time, "recovery in ms",
            f.recovery ? static_cast<double>(f.recovery->count()) : -1.0);
    require(f.bottleneck_attempts <= max_attempts, "attempts", f.bottleneck_attempts);
    return missed;
}

} // namespace trefoil::experiment
