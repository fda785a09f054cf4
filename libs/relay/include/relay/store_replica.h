#pragma once

#include "relay/item_cache.h"
#include "relay/item_decoder.h"
#include "relay/published_changes.h"
#include "relay/retained_items.h"

#include "base/log_event.h"
#include "base/time.h"
#include "base/versions.h"
#include "dispatch/target_entry.h"
#include "dispatch/traffic_config.h"

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace trefoil {

/// What the published state is applied to.
template<class Sink>
concept state_sink = requires(Sink s, const target_entry& entry, const std::string& id,
                              traffic_config config)
{
    s.put_target(entry);
    s.remove_target(id);
    s.set_config(std::move(config));
};

/// What one application of published items changed.
struct state_update {
    published_version before;
    published_version after;
    /// The items of the store that changed.
    std::vector<published_item> items{};
    /// True if items that another node retains were new to this node.
    bool has_adopted = false;
    /// What is to be requested from the sender.
    state_need need = state_need::nothing;

    bool is_new_era() const { return before.revision != 0 && after.era > before.era; }
};

/// The published state as one node knows it, from the store and from other nodes, and what of it is
/// in force. When the store returns from an older copy, a newer configuration stays in force, and
/// targets that were leaving or gone stay so, until they are written again.
template<item_decoder Decoder, state_sink Sink>
class store_replica {
public:
    store_replica(Decoder decoder, Sink& sink) : decoder_(std::move(decoder)), sink_(sink) {}

    const published_version& version() const noexcept { return cache_.version(); }

    /// Version of the configuration in force; 0 if there is none.
    config_version config() const noexcept { return config_; }

    /// Number of items that stay in force in place of older ones of the store.
    std::size_t retained() const noexcept { return retained_.active().size(); }

    /// Whether a full state at this version comes from a store that has returned from an older
    /// copy.
    bool is_return(const published_version& v) const
    {
        return version().revision != 0 && v.era > version().era;
    }

    /// Applies a full read. Ignored if it is older than what is known.
    state_update replace(const std::vector<published_item>& items, const published_version& v)
    {
        state_update update{version(), version()};
        replace(items, v, update);
        return update;
    }

    /// Applies all changes after the revision `base` up to the version.
    state_update merge(const std::vector<published_item>& items, std::uint64_t base,
                       const published_version& v)
    {
        state_update update{version(), version()};
        merge(items, base, v, update);
        return update;
    }

    /// Applies what another node sent.
    state_update receive(const published_changes& changes)
    {
        state_update update{version(), version()};
        if (changes.version > version()) {
            if (changes.base == 0) {
                replace(changes.items, changes.version, update);
            }
            else {
                merge(changes, update);
            }
        }
        // What a sender in another era retains is about another copy.
        if (changes.version.era == version().era) {
            adopt(changes.retained, update);
            const bool has_config = std::ranges::any_of(changes.retained, [this](const auto& item) {
                return decoder_.is_config(item.key);
            });
            // A configuration that was sent and is not in force cannot be decoded here.
            if (update.need == state_need::nothing && changes.retained_config > config_ &&
                !has_config) {
                update.need = state_need::changes;
            }
        }
        return update;
    }

    /// Puts targets in use again that were gone before the store returned, and whose entries are
    /// still in the store after `departure_hold_time`. Call at intervals. The time begins anew
    /// while nothing is heard of the store, since an entry may then be gone unnoticed.
    void release_departures(mono_time now, bool has_contact)
    {
        if (!has_contact) {
            held_since_.clear();
            return;
        }
        std::vector<std::string> due;
        for (const auto& [key, item] : retained_.active()) {
            if (item.removed &&
                now - held_since_.try_emplace(key, now).first->second >= departure_hold_time) {
                due.push_back(key);
            }
        }
        std::erase_if(held_since_, [this](const auto& entry) {
            return !retained_.active().contains(entry.first);
        });
        for (const auto& key : due) {
            release(key);
        }
    }

    /// Several times the time after which the store removes the entry of a target that does not
    /// write it any more (4.5 s in known deployments).
    static constexpr std::chrono::seconds departure_hold_time{30};

    /// Returns the changes that a node lacks with this version and configuration.
    published_changes changes_since(const published_version& known, config_version config) const
    {
        auto changes = cache_.changes_since(known);
        add_retained(changes, config);
        return changes;
    }

    /// Returns what to push to peers after an update. Changes of a new era do not follow on the
    /// state that they have; they request the full state when they learn of the era.
    published_changes changes_to_push(const state_update& update) const
    {
        // Not only what was new here: an item that a page had before its version has been reached
        // is new to others.
        return update.is_new_era() || update.items.empty() ? notice()
                                                           : changes_since(update.before, config_);
    }

    /// Tells a node of the version and of retained items, without the changes.
    published_changes notice() const
    {
        published_changes changes{version().revision, version(), {}};
        changes.digest = cache_.digest();
        add_retained(changes, config_);
        return changes;
    }

private:
    /// Merges what another node sent. Items that it cannot know to be removed show in the digest;
    /// then nothing is merged, and the full state is needed.
    void merge(const published_changes& changes, state_update& update)
    {
        const bool follows =
            changes.version.era == version().era && changes.base <= version().revision;
        if (follows && !changes.has_all_removals &&
            !cache_.has_digest_with(changes.items, changes.digest)) {
            update.need = state_need::full_state;
            return;
        }
        merge(changes.items, changes.base, changes.version, update);
        if (follows && !changes.has_all_removals) {
            cache_.forget_removals();
        }
    }

    void replace(const std::vector<published_item>& items, const published_version& v,
                 state_update& update)
    {
        if (v < version()) {
            return;
        }
        const bool is_new_era = is_return(v);
        auto held = is_new_era ? held_items() : std::vector<published_item>();
        auto changed = cache_.replace(items, v);
        if (is_new_era) {
            retained_.clear_active();
            for (const auto& item : held) {
                hold(item, update.before.era);
            }
        }
        finish(std::move(changed), is_new_era, update);
    }

    void merge(const std::vector<published_item>& items, std::uint64_t base,
               const published_version& v, state_update& update)
    {
        auto changed = cache_.merge(items, base, v);
        if (!changed) {
            update.need = state_need::changes;
            return;
        }
        finish(std::move(*changed), false, update);
    }

    /// Puts changed items in force. Those that a new era lacks are no departures: the store has
    /// only lost them.
    void finish(std::vector<published_item> changed, bool is_new_era, state_update& update)
    {
        for (const auto& item : changed) {
            if (const auto* const departed = departure_that_outranks(item)) {
                retained_.activate(*departed);
            }
            if (stays_retained(item)) {
                continue;
            }
            retained_.deactivate(item.key);
            apply(item);
            if (item.removed && decoder_.target_id(item.key)) {
                is_new_era ? record_loss(item) : record_departure(item, version().era);
            }
        }
        update.after = version();
        update.items = std::move(changed);
    }

    void release(const std::string& key)
    {
        log_event("departure_released").add("key", key).add("version", version()).info();
        const auto* const held = &retained_.active().at(key);
        released_.insert_or_assign(key, *held);
        retained_.deactivate(key);
        held_since_.erase(key);
        if (const auto* const current = cache_.find(key)) {
            apply(*current);
        }
    }

    /// Items that are to stay in force if the copy from which the store returns has older ones: the
    /// configuration, and the targets that are leaving or gone.
    std::vector<published_item> held_items() const
    {
        auto held = retained_.departed();
        for (const auto& [key, item] : retained_.active()) {
            if (!item.removed) {
                held.push_back(item);
            }
        }
        cache_.for_each([&](const published_item& item) {
            if (!retained_.active().contains(item.key) &&
                (decoder_.is_config(item.key) || leaving_.contains(item.key))) {
                held.push_back(item);
            }
        });
        return held;
    }

    /// Keeps an item of the earlier era in force if the new one has none or an older one.
    void hold(const published_item& item, std::uint64_t era)
    {
        const auto* const current = cache_.find(item.key);
        if (current != nullptr) {
            if (outranks(item, *current)) {
                retained_.activate(item);
            }
        }
        else if (decoder_.is_config(item.key)) {
            retained_.activate(item);
        }
        else if (!item.removed) {
            auto departed = item;
            departed.removed = true;
            record_departure(departed, era);
        }
    }

    /// The departure of a target in an earlier era that is newer than an entry of the store, which
    /// is that of the copy; null if there is none.
    const published_item* departure_that_outranks(const published_item& offered) const
    {
        const auto* const departed = retained_.find_departure(offered.key);
        const bool is_newer = departed != nullptr && departed->era < version().era &&
                              !offered.removed && outranks(departed->item, offered);
        return is_newer ? &departed->item : nullptr;
    }

    /// Whether the item in force stays so beside a newer one of the store.
    bool stays_retained(const published_item& offered) const
    {
        const auto it = retained_.active().find(offered.key);
        if (it == retained_.active().end()) {
            return false;
        }
        return offered.removed ? decoder_.is_config(offered.key) : outranks(it->second, offered);
    }

    /// Whether an item that was in force is newer than one of the store: a later configuration, or
    /// a target that is leaving or gone and has not written its entry since.
    bool outranks(const published_item& held, const published_item& offered) const
    {
        if (decoder_.is_config(held.key)) {
            const auto theirs = config_of(offered);
            return !theirs || *theirs < config_of(held).value_or(config_version{});
        }
        const auto old = entry_of(held);
        const auto offered_entry = entry_of(offered);
        if (!old || !offered_entry || !(held.removed || old->leaving)) {
            return false;
        }
        return !is_older(*old, *offered_entry);
    }

    std::optional<config_version> config_of(const published_item& item) const
    {
        try {
            return decoder_.config(item).version;
        }
        catch (const invalid_item&) {
            return std::nullopt;
        }
    }

    std::optional<target_entry> entry_of(const published_item& item) const
    {
        try {
            return decoder_.target_id(item.key) ? std::optional(decoder_.target(item))
                                                : std::nullopt;
        }
        catch (const invalid_item&) {
            return std::nullopt;
        }
    }

    void record_departure(const published_item& item, std::uint64_t era)
    {
        auto departed = item;
        const auto lost = lost_.find(item.key);
        if (departed.value.empty() && lost != lost_.end()) {
            departed.value = lost->second;
        }
        if (!is_departure_older(departed)) {
            retained_.record_departure({std::move(departed), era});
            released_.erase(item.key);
        }
    }

    /// Remembers the last entry of a target that the copy lacks. The target may leave before it has
    /// written its entry again.
    void record_loss(const published_item& item)
    {
        if (lost_.size() < retained_items::default_max_departed) {
            lost_.insert_or_assign(item.key, item.value);
        }
    }

    /// Whether a later entry of the target is known than the last one of its removed item, which
    /// may be that of a copy.
    bool is_departure_older(const published_item& item) const
    {
        const auto* const known = retained_.find_departure(item.key);
        const auto last = known == nullptr ? std::nullopt : entry_of(known->item);
        const auto entry = entry_of(item);
        return last && entry && is_older(*entry, *last);
    }

    /// Takes over what another node retains, where it is newer than what is in force here.
    void adopt(const std::vector<published_item>& items, state_update& update)
    {
        for (const auto& item : items) {
            if (is_news(item)) {
                retained_.activate(item);
                apply(item);
                if (item.removed) {
                    record_departure(item,
                                     version().era - std::min<std::uint64_t>(version().era, 1));
                }
                update.has_adopted = true;
            }
        }
    }

    bool is_news(const published_item& item) const
    {
        if (decoder_.is_config(item.key)) {
            const auto theirs = config_of(item);
            return theirs && *theirs > config_;
        }
        const auto active = retained_.active().find(item.key);
        const bool is_same = active != retained_.active().end() &&
                             active->second.removed == item.removed &&
                             active->second.value == item.value;
        if (is_same || was_released(item)) {
            return false;
        }
        const auto* const current =
            active == retained_.active().end() ? cache_.find(item.key) : &active->second;
        if (current == nullptr || current->removed || !outranks(item, *current)) {
            return false;
        }
        return item.removed || !leaving_.contains(item.key);
    }

    /// Whether this node has put the target in use again beside this entry or a later one.
    bool was_released(const published_item& item) const
    {
        const auto it = released_.find(item.key);
        if (it == released_.end()) {
            return false;
        }
        const auto released = entry_of(it->second);
        const auto offered = entry_of(item);
        return released && offered && !is_older(*released, *offered);
    }

    void apply(const published_item& item)
    {
        try {
            if (const auto id = decoder_.target_id(item.key)) {
                apply_target(*id, item);
            }
            else if (decoder_.is_config(item.key) && !item.removed) {
                auto config = decoder_.config(item);
                config_ = std::max(config_, config.version);
                sink_.set_config(std::move(config));
            }
        }
        catch (const invalid_item& e) {
            log_event("item_refused")
                .add("key", item.key)
                .add("revision", item.revision)
                .add("detail", e.what())
                .warning();
            if (const auto id = decoder_.target_id(item.key)) {
                leaving_.erase(item.key);
                sink_.remove_target(*id);
            }
        }
    }

    void apply_target(const std::string& id, const published_item& item)
    {
        if (item.removed) {
            leaving_.erase(item.key);
            sink_.remove_target(id);
            return;
        }
        const auto entry = decoder_.target(item);
        if (entry.leaving) {
            leaving_.insert(item.key);
        }
        else {
            leaving_.erase(item.key);
        }
        retained_.forget_departure(item.key);
        lost_.erase(item.key);
        sink_.put_target(entry);
    }

    void add_retained(published_changes& changes, config_version config) const
    {
        for (const auto& [key, item] : retained_.active()) {
            if (!decoder_.is_config(key)) {
                changes.retained.push_back(item);
                continue;
            }
            changes.retained_config = config_;
            if (config < config_) {
                changes.retained.push_back(item);
            }
        }
    }

    Decoder decoder_;
    Sink& sink_;
    item_cache cache_;
    retained_items retained_;
    /// Keys of the targets that are in use and announced that they leave.
    std::set<std::string> leaving_;
    config_version config_;
    /// Last entries of targets that the copy lacks, by key.
    std::map<std::string, std::string> lost_;
    /// When each target began to be kept out of use in spite of its entry.
    std::map<std::string, mono_time> held_since_;
    /// The last known entries of targets that were put in use again, so that no other node has them
    /// kept out of use once more.
    std::map<std::string, published_item> released_;
};

} // namespace trefoil
