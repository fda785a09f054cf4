#include "admission/flow_queue.h"

#include <iterator>

namespace trefoil {

const flow_queue::entry& flow_queue::victim() const
{
    // The least deep entries are at the end of the order of service.
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
