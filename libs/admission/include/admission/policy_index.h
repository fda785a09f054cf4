#pragma once

#include <cstdint>

namespace trefoil {

/// Index of an object in an admission_policy. Valid only for the policy in which it was looked up.
template<class Tag>
struct policy_index {
    std::uint32_t value = 0;

    friend bool operator==(policy_index, policy_index) = default;
    friend constexpr bool operator<(policy_index a, policy_index b) { return a.value < b.value; }
};

using rank_index = policy_index<struct rank_index_tag>;
using group_index = policy_index<struct group_index_tag>;
using kind_index = policy_index<struct kind_index_tag>;

} // namespace trefoil
