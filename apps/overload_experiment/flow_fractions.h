#pragma once

#include "admission/admit_fractions.h"
#include "call.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <vector>

namespace trefoil::experiment {

/// What an entry node knows of the admit fractions of other services, learned from answers.
class flow_fractions {
public:
    void learn(std::size_t kind, std::size_t group, const std::vector<service_fraction>& answers,
               mono_time now)
    {
        for (const auto& a : answers) {
            known_[{kind, group, a.service}] = {a.fraction, now};
        }
    }

    /// Last known fraction. A flow that gets no answers would stay refused, so a value older than
    /// four intervals rises as the fraction of an idle flow does at the service itself.
    double fraction(std::size_t kind, std::size_t group, std::size_t service, mono_time now) const
    {
        const auto found = known_.find({kind, group, service});
        if (found == known_.end()) {
            return 1.0;
        }
        const admit_fraction_options options;
        const auto idle = (now - found->second.learned) / options.interval;
        const double raise = static_cast<double>(std::max<std::int64_t>(0, idle - 4));
        return std::min(1.0, found->second.fraction + options.increase * raise);
    }

private:
    struct entry {
        double fraction = 1.0;
        mono_time learned;
    };
    std::map<std::array<std::size_t, 3>, entry> known_;
};

} // namespace trefoil::experiment
