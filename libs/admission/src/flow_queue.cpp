#include "admission/flow_queue.h"

#include <iterator>

namespace trefoil {

const flow_queue::entry& flow_queue::victim() const
{
    // The entries with the lowest depth are last in the service order.
    auto best = std::prev(entries_.end());
    const auto depth = best->depth;
    for (auto it = best;; --it) {
        if (it->depth != depth) {
            break;
        }
        if (it->admit_point > best->admit_point) {
            best = it;
        }
        if (it == entries_.begin()) {
            break;
        }
    }
    return *best;
}

} // namespace trefoil
