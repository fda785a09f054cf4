#include "dispatch/byte_account.h"

#include <algorithm>

namespace trefoil {

void byte_account::set(holder id, std::size_t bytes, closing may_close)
{
    const auto it = holdings_.find(id);
    if (it != holdings_.end()) {
        total_ -= it->second.bytes;
    }
    total_ += bytes;
    if (bytes > 0) {
        holdings_[id] = {bytes, may_close};
    }
    else if (it != holdings_.end()) {
        holdings_.erase(it);
    }
}

std::optional<byte_account::holder> byte_account::holder_to_close() const
{
    if (total_ <= max_total_) {
        return std::nullopt;
    }
    const auto largest =
        std::max_element(holdings_.begin(), holdings_.end(), [](const auto& a, const auto& b) {
            return a.second.closable_bytes() < b.second.closable_bytes();
        });
    if (largest == holdings_.end() || largest->second.closable_bytes() == 0) {
        return std::nullopt;
    }
    return largest->first;
}

} // namespace trefoil
