#pragma once

#include "admission/policy_index.h"
#include "base/error.h"
#include "base/names.h"
#include "objects/object_set.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace trefoil {

/// Thrown when an admission policy cannot be built: an unknown service, a kind without its rank, or
/// a share out of range. A set that passed check_objects causes none of these.
class invalid_admission_policy : public error {
public:
    explicit invalid_admission_policy(std::string detail) : error(std::move(detail)) {}
};

/// What admission on one target needs of the configuration, addressed by index.
struct admission_policy {
    struct rank_entry {
        rank_name name;
        /// A lower order is more urgent.
        int order = 0;
        /// 0: served only after all other ranks.
        double share = 0.0;
    };
    struct group_entry {
        group_name name;
        /// Weight among the groups of a rank; greater than 0.
        double share = 1.0;
    };
    struct kind_entry {
        kind_name name;
        rank_index rank;
    };

    /// Most urgent first.
    std::vector<rank_entry> ranks;
    std::vector<group_entry> groups;
    std::vector<kind_entry> kinds;
    /// Configured slots of this target.
    std::uint32_t slots = 1;

    std::optional<kind_index> find(const kind_name& name) const;
    std::optional<group_index> find(const group_name& name) const;
    std::optional<rank_index> find(const rank_name& name) const;

    const kind_entry& at(kind_index k) const { return kinds.at(k.value); }
    const group_entry& at(group_index g) const { return groups.at(g.value); }
    const rank_entry& at(rank_index r) const { return ranks.at(r.value); }
};

/// Builds the policy for a target of `service`. Throws invalid_admission_policy.
admission_policy make_admission_policy(const object_set& objects, const service_name& service);

} // namespace trefoil
