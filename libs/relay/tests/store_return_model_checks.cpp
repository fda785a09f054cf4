#include "store_return_model.h"

#include <algorithm>

namespace store_return_model {

using namespace trefoil;

namespace {

/// Time between two sweeps of a node, within which a target whose time has passed is dropped.
constexpr ms sweep_bound{500};

written written_of(const target_entry& entry)
{
    return {entry.id.start, entry.update};
}

std::string text_of(const written& w)
{
    return std::to_string(w.first) + ' ' + std::to_string(w.second);
}

void raise(std::map<std::string, written>& marks, const std::string& id, const written& w)
{
    auto& mark = marks[id];
    mark = std::max(mark, w);
}

} // namespace

void simulation::violate(int n, const std::string& text)
{
    auto line = "VIOLATED: node " + std::to_string(n) + ' ' + text;
    if (std::ranges::find(violations, line) == violations.end()) {
        log(line);
        violations.push_back(std::move(line));
    }
}

void simulation::keep(int n, mono_time until)
{
    auto& latest = at_node(n).seen.may_keep_until;
    latest = std::max(latest, until);
}

bool simulation::has_written_since(const std::string& id, const written& mark) const
{
    const auto last = last_ready_.find(id);
    return last != last_ready_.end() && last->second > mark;
}

std::set<std::string> simulation::ready_targets(int n) const
{
    std::set<std::string> ready;
    for (int t = 0; t < target_count; ++t) {
        if (at_node(n).view.state_of(id_of(t)) == "ready") {
            ready.insert(id_of(t));
        }
    }
    return ready;
}

std::set<std::string> simulation::known_keys(int n) const
{
    std::set<std::string> keys;
    for (const auto& item : at_node(n).replica->changes_since({}, {}).items) {
        if (!item.removed) {
            keys.insert(item.key);
        }
    }
    return keys;
}

void simulation::note_update(int n, const state_update& update,
                             const std::set<std::string>& ready_before, mono_time keep_until)
{
    auto& seen = at_node(n).seen;
    if (!update.is_new_era()) {
        for (const auto& item : update.items) {
            const auto id = plain_items::target_id(item.key);
            if (id && item.removed && seen.used.contains(*id)) {
                raise(seen.removed, *id, seen.used[*id]);
            }
        }
        // Dropped by the update, not since an entry that is missing was not written in time.
        for (const auto& [id, entry] : seen.used) {
            if (!at_node(n).view.targets.find(id)) {
                raise(seen.departed, id, entry);
            }
        }
        return;
    }
    const auto known = known_keys(n);
    for (int t = 0; t < target_count; ++t) {
        const auto& own = targets_[static_cast<std::size_t>(t)];
        const auto id = id_of(t);
        // The entry in use may be of an earlier run of the target, which has ended.
        if (own.alive && !own.leaving && ready_before.contains(id) &&
            seen.used[id].first == own.start && !known.contains(key_of(t))) {
            seen.keep_until[id] = {own.start, keep_until};
        }
    }
}

void simulation::observe(int n)
{
    auto& self = at_node(n);
    auto& seen = self.seen;
    if (self.replica->version() < seen.version) {
        violate(n, "has an earlier version than before");
    }
    if (self.view.config < seen.config || self.replica->config() != self.view.config) {
        violate(n, "has an earlier configuration than before");
    }
    seen.version = self.replica->version();
    seen.config = self.view.config;
    if (!self.available) {
        keep(n, now_ + target_directory_options().confirm_time);
    }
    const auto known = known_keys(n);
    for (int t = 0; t < target_count; ++t) {
        observe_target(n, id_of(t), known);
        const auto& own = targets_[static_cast<std::size_t>(t)];
        const auto kept = seen.keep_until.find(id_of(t));
        if (kept == seen.keep_until.end()) {
            continue;
        }
        const auto& [start, until] = kept->second;
        if (now_ >= until || !own.alive || own.leaving || own.start != start) {
            seen.keep_until.erase(kept);
        }
        else if (self.view.state_of(id_of(t)) == "none") {
            violate(n, "drops " + id_of(t) + ", which lives and is missing from the copy");
        }
    }
}

void simulation::observe_target(int n, const std::string& id, const std::set<std::string>& known)
{
    auto& self = at_node(n);
    auto& seen = self.seen;
    const auto found = self.view.targets.find(id);
    if (!found) {
        const auto removed = seen.removed.find(id);
        if (removed != seen.removed.end()) {
            raise(seen.departed, id, removed->second);
        }
        seen.used.erase(id);
        return;
    }
    const auto entry = written_of(found->entry);
    seen.used[id] = entry;
    if (found->entry.leaving) {
        raise(seen.departed, id, entry);
        return;
    }
    const bool may_keep = now_ <= seen.may_keep_until + sweep_bound;
    const auto departed = seen.departed.find(id);
    if (departed != seen.departed.end() && entry <= departed->second &&
        !has_written_since(id, departed->second)) {
        violate(n, "uses " + id + ' ' + text_of(entry) + ", which was leaving or gone with " +
                       text_of(departed->second));
    }
    const auto removed = seen.removed.find(id);
    if (!may_keep && removed != seen.removed.end() && entry <= removed->second &&
        !has_written_since(id, removed->second)) {
        violate(n, "still uses " + id + ' ' + text_of(entry) + ", which was removed");
    }
    if (!may_keep && !known.contains("t/" + id)) {
        violate(n, "keeps " + id + ", which is missing, for too long");
    }
}

void simulation::check_settled(const std::vector<config_version>& configs,
                               const std::vector<std::map<std::string, written>>& departed)
{
    const auto newest = *std::ranges::max_element(configs);
    for (int n = 0; n < scenario_.nodes; ++n) {
        const auto& self = at_node(n);
        if (self.view.config < newest) {
            violate(n, "lacks configuration " + std::to_string(newest.value) +
                           ", which another node has in force");
        }
        if (self.replica->version() != published_version{era_, store_.revision}) {
            violate(n, "is not at the version of the store after the messages");
        }
        for (const auto& marks : departed) {
            for (const auto& [id, mark] : marks) {
                const auto found = self.view.targets.find(id);
                if (found && !found->entry.leaving && written_of(found->entry) <= mark &&
                    !has_written_since(id, mark)) {
                    violate(n, "uses " + id + ", which another node knows as leaving or gone");
                }
            }
        }
    }
}

void simulation::check_quiet()
{
    for (int n = 0; n < scenario_.nodes; ++n) {
        const auto& self = at_node(n);
        if (self.view.config != config_version{config_}) {
            violate(n, "does not have the newest configuration in the end");
        }
        if (self.replica->version() != published_version{era_, store_.revision}) {
            violate(n, "is not at the version of the store in the end");
        }
        if (self.replica->retained() != 0) {
            violate(n, "still retains items in the end, which it sends to every node");
        }
        for (int t = 0; t < target_count; ++t) {
            const auto& own = targets_[static_cast<std::size_t>(t)];
            const auto state = self.view.state_of(id_of(t));
            const std::string expected = !own.alive ? "none" : own.leaving ? "leaving" : "ready";
            if (state != expected) {
                auto text = "has " + id_of(t);
                text += " as " + state;
                text += " in the end, not " + expected;
                violate(n, text);
            }
            else if (own.alive && written_of(self.view.targets.find(id_of(t))->entry) !=
                                      written{own.start, own.sequence}) {
                violate(n, "has an old entry of " + id_of(t) + " in the end");
            }
        }
    }
}

} // namespace store_return_model
