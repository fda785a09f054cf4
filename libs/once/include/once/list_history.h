#pragma once

#include "base/time.h"
#include "once/lease_messages.h"
#include "once/member_list.h"
#include "once/once_options.h"

#include <optional>
#include <vector>

namespace trefoil {

/// The current member list and the older ones that may still be in use somewhere.
class list_history {
public:
    /// An older list. It may be in use until a majority of its members has granted a lease for
    /// a newer list; it is superseded then.
    struct older_list {
        member_list members;
        /// Latest time at which the list is known to have been in force somewhere.
        mono_time last_in_force;
        bool superseded = false;
    };

    explicit list_history(const once_options& options) : options_(&options) {}

    /// Makes `list` the current one if its revision is higher. Returns whether the members changed.
    bool adopt(member_list list, mono_time now);

    /// Merges a list reported by a peer into the older lists.
    void merge(const reported_list& report, mono_time now);

    /// Marks every older list as superseded.
    void supersede_older();

    /// The current list; null before the first adopt().
    const member_list* current() const { return current_ ? &*current_ : nullptr; }
    /// Revision since which the members of the current list have not changed on this node.
    list_revision first_revision() const noexcept { return first_revision_; }
    const std::vector<older_list>& older() const noexcept { return older_; }

    /// The older lists that are not superseded and the current one, without those whose digest is
    /// `known_digest`.
    std::vector<reported_list> report(std::uint64_t known_digest, mono_time now) const;

private:
    void add_older(member_list list, mono_time last_in_force, bool from_holder);

    const once_options* options_;
    std::optional<member_list> current_;
    list_revision first_revision_;
    std::vector<older_list> older_;
};

} // namespace trefoil
