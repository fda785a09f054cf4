#pragma once

#include <optional>
#include <string>
#include <unordered_set>

namespace trefoil {

/// Which id the target beside this node has, while other nodes still know it by an earlier one.
///
/// Failure pattern: all machines lose power. Targets start again under new ids, and for seconds the
/// store holds the old ones: every request names a target that is gone and is refused. The node
/// knows the service of its target from its settings, so that it can ask the target for its id and
/// hand over requests for that service which name an id that the target has refused.
class target_identity {
public:
    /// The id to expect for a request that names `asked`.
    const std::string& expected(const std::string& asked) const;

    /// The target refused a request because it is not this one.
    void refused(const std::string& id);

    /// The target told its id.
    void learned(const std::string& id);

private:
    /// More ids than a target has in the time for which a node may be behind.
    static constexpr std::size_t most_refused = 64;

    std::optional<std::string> current_;
    std::unordered_set<std::string> refused_;
};

} // namespace trefoil
