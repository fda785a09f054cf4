#include "admission/admit_fractions.h"

#include <algorithm>

namespace trefoil {

admit_fractions::admit_fractions(std::size_t kinds, std::size_t groups,
                                 admit_fraction_options options)
    : options_(options), groups_(groups), flows_(kinds * groups)
{
}

admit_fractions::flow& admit_fractions::at(kind_index kind, group_index group)
{
    return flows_.at(kind.value * groups_ + group.value);
}

const admit_fractions::flow& admit_fractions::at(kind_index kind, group_index group) const
{
    return flows_.at(kind.value * groups_ + group.value);
}

void admit_fractions::count_offered(kind_index kind, group_index group)
{
    ++at(kind, group).offered;
}

void admit_fractions::count_refused(kind_index kind, group_index group)
{
    ++at(kind, group).refused;
}

void admit_fractions::advance(mono_time now, bool spare)
{
    if (now < interval_end_) {
        return;
    }
    // If no call was made for several intervals, each of them counts as an interval without
    // refusals.
    const auto late = interval_end_ == mono_time{} ? mono_time::duration{0} : now - interval_end_;
    const auto idle = static_cast<double>(late / options_.interval);
    const double increase = spare ? options_.spare_increase : options_.increase;
    for (auto& f : flows_) {
        if (f.refused > 0) {
            const double refused = std::min(1.0, static_cast<double>(f.refused) /
                                                     static_cast<double>(std::max(1U, f.offered)));
            f.fraction *= 1.0 - options_.decrease * refused;
        }
        else {
            f.fraction += increase;
        }
        f.fraction = std::clamp(f.fraction + idle * increase, options_.floor, 1.0);
        f.offered = 0;
        f.refused = 0;
    }
    interval_end_ = now + options_.interval;
}

double admit_fractions::fraction(kind_index kind, group_index group) const
{
    return at(kind, group).fraction;
}

void admit_fractions::set_fraction(kind_index kind, group_index group, double fraction)
{
    at(kind, group).fraction = std::clamp(fraction, options_.floor, 1.0);
}

bool admit_fractions::recovering() const
{
    return std::ranges::any_of(flows_,
                               [](const flow& f) { return f.fraction < 1.0 || f.refused > 0; });
}

} // namespace trefoil
