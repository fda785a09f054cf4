#pragma once

#include <optional>
#include <string>
#include <unordered_set>

namespace trefoil {

/// Maps outdated ids of the node's own target to its current id.
///
/// Failure pattern: all machines lose power. Targets restart with new ids, and for seconds the
/// store still holds the old ones: every request names a target that no longer exists and is
/// rejected. The node knows the service of its target from its settings. It can therefore query the
/// target for its id, and forward requests for that service that name an id that the target has
/// rejected.
class target_identity {
public:
    /// The id to send with a request that names the target `asked`: the current id if the target
    /// has rejected `asked`, else `asked` itself.
    const std::string& expected(const std::string& asked) const;

    /// Records that the target rejected a request because `id` is not its id.
    void record_rejected(const std::string& id);

    /// Records the id that the target reported.
    void record_id(const std::string& id);

private:
    /// More ids than a target can have in the time for which the data of a node may be stale.
    static constexpr std::size_t max_rejected = 64;

    std::optional<std::string> current_;
    std::unordered_set<std::string> rejected_;
};

} // namespace trefoil
