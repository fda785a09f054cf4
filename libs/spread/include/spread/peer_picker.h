#pragma once

#include "spread/gossip_member.h"
#include "spread/random_source.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace trefoil {

/// Selects random peers from different availability zones, so that a change reaches other zones
/// with the first push. Not thread-safe.
class peer_picker {
public:
    explicit peer_picker(vm_name self) : self_(std::move(self)) {}

    /// Sets the members of the accepted VM list, of any service; this node itself is ignored.
    void set_members(shared_members members);

    /// Distinct peers to push a change to, from as many zones as possible; fewer than `count` if
    /// there are fewer peers.
    std::vector<vm_name> push_targets(random_source& random, std::size_t count = 3) const;

    /// Selects the peer of the next pull; called once a second. Skips the zone of the previous pull
    /// unless it is the only zone. Empty if there are no peers.
    std::optional<vm_name> pull_target(random_source& random);

private:
    /// Indexes into members_ of the peers in one zone.
    struct zone_peers {
        availability_zone_name zone;
        std::vector<std::size_t> peers;
    };

    vm_name self_;
    shared_members members_;
    std::vector<zone_peers> zones_;
    std::optional<availability_zone_name> last_pull_zone_;
};

} // namespace trefoil
