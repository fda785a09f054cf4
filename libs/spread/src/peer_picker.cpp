#include "spread/peer_picker.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

namespace trefoil {

namespace {

/// Draws uniformly among the members that `usable` accepts; null if there is none.
template<class Usable>
const spread_member* draw(const spread_members& members, random_source& random, Usable usable)
{
    const auto count = std::ranges::count_if(members, usable);
    if (count == 0) {
        return nullptr;
    }
    auto left = std::uniform_int_distribution<std::ptrdiff_t>(0, count - 1)(random);
    return &*std::ranges::find_if(
        members, [&](const spread_member& member) { return usable(member) && left-- == 0; });
}

} // namespace

void peer_picker::set_members(shared_members members)
{
    members_ = std::move(members);
}

std::vector<vm_name> peer_picker::push_targets(random_source& random, std::size_t count) const
{
    std::vector<const spread_member*> picked;
    const auto is_fresh = [&](const spread_member& member) {
        return member.name != self_ && std::ranges::find(picked, &member) == picked.end();
    };
    const auto is_in_fresh_zone = [&](const spread_member& member) {
        return member.name != self_ &&
               std::ranges::none_of(picked, [&](const spread_member* other) {
                   return other->availability_zone == member.availability_zone;
               });
    };
    while (members_ && picked.size() < count) {
        const auto* next = draw(*members_, random, is_in_fresh_zone);
        if (next == nullptr) {
            next = draw(*members_, random, is_fresh);
        }
        if (next == nullptr) {
            break;
        }
        picked.push_back(next);
    }
    std::vector<vm_name> names;
    std::ranges::transform(picked, std::back_inserter(names),
                           [](const spread_member* member) { return member->name; });
    return names;
}

std::optional<vm_name> peer_picker::pull_target(random_source& random)
{
    if (!members_) {
        return std::nullopt;
    }
    const auto is_peer = [&](const spread_member& member) { return member.name != self_; };
    const auto* picked = draw(*members_, random, [&](const spread_member& member) {
        return is_peer(member) && member.availability_zone != last_pull_zone_;
    });
    if (picked == nullptr) {
        picked = draw(*members_, random, is_peer);
    }
    if (picked == nullptr) {
        return std::nullopt;
    }
    last_pull_zone_ = picked->availability_zone;
    return picked->name;
}

} // namespace trefoil
