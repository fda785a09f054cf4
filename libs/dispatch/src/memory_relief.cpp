#include "dispatch/memory_relief.h"

#include <algorithm>

namespace trefoil {

std::vector<std::size_t> holdings_to_free(const std::vector<std::size_t>& holdings,
                                          std::size_t excess)
{
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < holdings.size(); ++i) {
        if (holdings[i] > 0) {
            order.push_back(i);
        }
    }
    std::ranges::stable_sort(order, [&](auto a, auto b) { return holdings[a] > holdings[b]; });
    std::size_t freed = 0;
    std::size_t count = 0;
    while (count < order.size() && freed < excess) {
        freed += holdings[order[count]];
        ++count;
    }
    order.resize(count);
    return order;
}

} // namespace trefoil
