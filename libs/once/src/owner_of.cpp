#include "once/owner_of.h"

#include "base/hash.h"

#include <cstddef>

namespace trefoil {

const vm_name* owner_of(const request_id& id, const member_list& members) noexcept
{
    const auto& hashes = members.name_hashes();
    if (hashes.empty()) {
        return nullptr;
    }
    const std::uint64_t id_hash = id.hash();
    std::size_t best = 0;
    std::uint64_t best_score = mix64(id_hash ^ hashes[0]);
    for (std::size_t i = 1; i < hashes.size(); ++i) {
        // The names are sorted, so every node chooses the same member at equal scores.
        const std::uint64_t score = mix64(id_hash ^ hashes[i]);
        if (score > best_score) {
            best = i;
            best_score = score;
        }
    }
    return &members.names()[best];
}

} // namespace trefoil
