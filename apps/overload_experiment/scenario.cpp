#include "scenario.h"

#include <algorithm>

namespace trefoil::experiment {

using namespace std::chrono_literals;

namespace {

/// Demand outside the trigger, as a fraction of the capacity.
constexpr double baseline_load = 0.7;

std::vector<double> rates(const topology& model, double load)
{
    std::vector<double> r;
    for (const auto& k : model.kinds) {
        r.push_back(k.rate * load);
    }
    return r;
}

scenario surge(const topology& model, const char* name, double load)
{
    scenario s;
    s.name = name;
    s.baseline_rate = rates(model, baseline_load);
    s.trigger_rate = rates(model, load);
    return s;
}

scenario flood(const topology& model, const char* name, std::size_t kind)
{
    auto s = surge(model, name, baseline_load);
    s.trigger_rate[kind] = 10.0 * model.kind_capacity(kind);
    s.flooding_kind = kind;
    s.trigger = 3s;
    return s;
}

} // namespace

std::vector<scenario> make_scenarios(const topology& model)
{
    std::vector<scenario> all = {surge(model, "demand-2x", 2.0), surge(model, "demand-5x", 5.0),
                                 flood(model, "browsing-flood", model.browsing_kind),
                                 flood(model, "urgent-flood", model.urgent_kind)};
    auto slow = surge(model, "slow-service", baseline_load);
    slow.work_factor = 5.0;
    slow.trigger = 3s;
    all.push_back(slow);
    for (const double real : {0.6, 1.5}) {
        auto wrong = surge(model, real < 1.0 ? "2x-slots-0.6" : "2x-slots-1.5", 2.0);
        wrong.real_slots = real;
        // With fewer real slots the usual baseline demand would already be an overload.
        wrong.baseline_rate = rates(model, baseline_load * std::min(1.0, real));
        all.push_back(wrong);
    }
    return all;
}

} // namespace trefoil::experiment
