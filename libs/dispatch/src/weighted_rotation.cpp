#include "dispatch/weighted_rotation.h"

#include <cstddef>

namespace trefoil {

const service_name& weighted_rotation::next(const route& r)
{
    if (r.shares.size() == 1) {
        return r.shares.front().service;
    }
    auto& credits = credits_[r.name];
    credits.resize(r.shares.size(), 0.0);
    double total = 0.0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < r.shares.size(); ++i) {
        credits[i] += r.shares[i].weight;
        total += r.shares[i].weight;
        if (credits[i] > credits[best]) {
            best = i;
        }
    }
    credits[best] -= total;
    return r.shares[best].service;
}

} // namespace trefoil
