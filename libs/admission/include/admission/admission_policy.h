#pragma once

#include "admission/policy_index.h"
#include "base/error.h"
#include "base/names.h"
#include "objects/object_set.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace trefoil {

/// Thrown if an admission policy cannot be built: the service is unknown or has no slots, a kind
/// refers to an unknown rank, or a share is out of range. Objects that passed check_objects do not
/// cause this error.
class invalid_admission_policy : public error {
public:
    explicit invalid_admission_policy(std::string detail) : error(std::move(detail)) {}
};

/// The configuration that admission control on one target needs, addressed by index.
struct admission_policy {
    struct rank_entry {
        rank_name name;
        /// Ranks with a lower order are more urgent.
        int order = 0;
        /// Weight among the ranks. A rank with 0 is served only if no other rank has waiting work.
        double share = 0.0;
    };
    struct group_entry {
        group_name name;
        /// Weight among the groups within each rank; greater than 0.
        double share = 1.0;
    };
    struct kind_entry {
        kind_name name;
        rank_index rank;
    };

    /// Sorted from most to least urgent.
    std::vector<rank_entry> ranks;
    std::vector<group_entry> groups;
    std::vector<kind_entry> kinds;
    /// Configured number of concurrent requests of this target.
    std::uint32_t slots = 1;

    /// Index of the object with this name; none if the policy has none.
    std::optional<kind_index> find(const kind_name& name) const;
    std::optional<group_index> find(const group_name& name) const;
    std::optional<rank_index> find(const rank_name& name) const;

    /// The entry at an index. Throws std::out_of_range.
    const kind_entry& at(kind_index k) const { return kinds.at(k.value); }
    const group_entry& at(group_index g) const { return groups.at(g.value); }
    const rank_entry& at(rank_index r) const { return ranks.at(r.value); }
};

/// Builds the policy for a target of `service`. Throws invalid_admission_policy.
admission_policy make_admission_policy(const object_set& objects, const service_name& service);

} // namespace trefoil
