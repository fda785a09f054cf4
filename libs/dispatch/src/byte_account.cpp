#include "dispatch/byte_account.h"

#include <algorithm>

namespace trefoil {

void byte_account::set(holder id, std::size_t bytes, cut may_cut)
{
    const auto it = held_.find(id);
    if (it != held_.end()) {
        total_ -= it->second.bytes;
    }
    total_ += bytes;
    if (bytes > 0) {
        held_[id] = {bytes, may_cut};
    }
    else if (it != held_.end()) {
        held_.erase(it);
    }
}

std::optional<byte_account::holder> byte_account::to_cut() const
{
    if (total_ <= most_) {
        return std::nullopt;
    }
    const auto largest =
        std::max_element(held_.begin(), held_.end(), [](const auto& a, const auto& b) {
            return a.second.to_free() < b.second.to_free();
        });
    if (largest == held_.end() || largest->second.to_free() == 0) {
        return std::nullopt;
    }
    return largest->first;
}

} // namespace trefoil
