#pragma once

#include "spread/random_source.h"
#include "spread/spread_member.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace trefoil {

/// Picks random peers, spread over availability zones, so that a change crosses zones at once.
/// Not thread-safe.
class peer_picker {
public:
    explicit peer_picker(vm_name self) : self_(std::move(self)) {}

    /// Members of the accepted VM list, from any service; this node itself is left out.
    void set_members(shared_members members);

    /// Distinct peers to push a change to, from as many zones as possible; fewer than `count` if
    /// there are fewer peers.
    std::vector<vm_name> push_targets(random_source& random, std::size_t count = 3) const;

    /// The peer to pull from, to be called once a second. Not from the zone of the previous pull
    /// unless it is the only one. Empty without peers.
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
