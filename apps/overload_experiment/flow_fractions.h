#pragma once

#include "admission/admit_fractions.h"
#include "call.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <vector>

namespace trefoil::experiment {

/// Admit fractions of other services that an entry node has received in answers, for each flow
/// (kind and group).
class flow_fractions {
public:
    /// Stores the fractions of an answer.
    void update(std::size_t kind, std::size_t group, const std::vector<service_fraction>& answers,
                mono_time now)
    {
        for (const auto& a : answers) {
            received_[{kind, group, a.service}] = {a.fraction, now};
        }
    }

    /// Last received fraction; 1 if there is none. A flow with fraction 0 sends no calls, receives
    /// no answers and would be rejected forever. Therefore a value older than four intervals
    /// increases with time, as the service itself increases the fraction of an idle flow.
    double fraction(std::size_t kind, std::size_t group, std::size_t service, mono_time now) const
    {
        const auto found = received_.find({kind, group, service});
        if (found == received_.end()) {
            return 1.0;
        }
        const admit_fraction_options options;
        const auto idle = (now - found->second.updated) / options.interval;
        const double increments = static_cast<double>(std::max<std::int64_t>(0, idle - 4));
        return std::min(1.0, found->second.fraction + options.increase * increments);
    }

private:
    struct entry {
        double fraction = 1.0;
        mono_time updated;
    };
    std::map<std::array<std::size_t, 3>, entry> received_;
};

} // namespace trefoil::experiment
