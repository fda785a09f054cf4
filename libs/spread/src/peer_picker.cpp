#include "spread/peer_picker.h"

#include <algorithm>
#include <random>
#include <utility>

namespace trefoil {

void peer_picker::set_members(shared_members members)
{
    members_ = std::move(members);
    zones_.clear();
    for (std::size_t i = 0; members_ && i < members_->size(); ++i) {
        const auto& member = (*members_)[i];
        if (member.name == self_) {
            continue;
        }
        auto it = std::ranges::find(zones_, member.availability_zone, &zone_peers::zone);
        if (it == zones_.end()) {
            it = zones_.insert(it, {member.availability_zone, {}});
        }
        it->peers.push_back(i);
    }
}

std::vector<vm_name> peer_picker::push_targets(random_source& random, std::size_t count) const
{
    auto unused = zones_;
    std::vector<vm_name> names;
    std::vector<std::size_t> spare;
    while (names.size() < count) {
        // Once a peer of every zone is selected, the others are drawn from all zones.
        const bool has_unused_zone = !unused.empty();
        std::size_t total = has_unused_zone ? 0 : spare.size();
        for (const auto& zone : unused) {
            total += zone.peers.size();
        }
        if (total == 0) {
            break;
        }
        auto drawn = std::uniform_int_distribution<std::size_t>(0, total - 1)(random);
        if (!has_unused_zone) {
            names.push_back((*members_)[spare[drawn]].name);
            spare.erase(spare.begin() + static_cast<std::ptrdiff_t>(drawn));
            continue;
        }
        // Uniform over peers, not over zones: otherwise the peers of a small zone would receive
        // more pushes than others.
        auto zone = unused.begin();
        while (drawn >= zone->peers.size()) {
            drawn -= zone->peers.size();
            ++zone;
        }
        names.push_back((*members_)[zone->peers[drawn]].name);
        zone->peers.erase(zone->peers.begin() + static_cast<std::ptrdiff_t>(drawn));
        spare.insert(spare.end(), zone->peers.begin(), zone->peers.end());
        unused.erase(zone);
    }
    return names;
}

std::optional<vm_name> peer_picker::pull_target(random_source& random)
{
    const bool may_repeat_zone = zones_.size() == 1;
    const auto is_usable = [&](const zone_peers& zone) {
        return may_repeat_zone || zone.zone != last_pull_zone_;
    };
    std::size_t total = 0;
    for (const auto& zone : zones_) {
        total += is_usable(zone) ? zone.peers.size() : 0;
    }
    if (total == 0) {
        return std::nullopt;
    }
    auto drawn = std::uniform_int_distribution<std::size_t>(0, total - 1)(random);
    for (const auto& zone : zones_) {
        if (!is_usable(zone)) {
            continue;
        }
        if (drawn < zone.peers.size()) {
            last_pull_zone_ = zone.zone;
            return (*members_)[zone.peers[drawn]].name;
        }
        drawn -= zone.peers.size();
    }
    return std::nullopt;
}

} // namespace trefoil
