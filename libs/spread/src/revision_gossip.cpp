#include "spread/revision_gossip.h"

#include "base/hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace trefoil {

namespace {

/// Gives each node its own random sequence, which tests can reproduce from its name and start time.
std::uint64_t seed_of(const gossip_member& self, mono_time started)
{
    return hash64(self.name.str()) ^ static_cast<std::uint64_t>(started.time_since_epoch().count());
}

} // namespace

revision_gossip::revision_gossip(const gossip_member& self, mono_time started,
                                 revision_gossip_options options)
    : self_(self), options_(options), random_(seed_of(self, started)),
      watcher_(self, started, options.watcher), all_peers_(self.name), zone_peers_(self.name),
      other_zones_(self.name), next_pull_(started), last_received_(started)
{
}

void revision_gossip::set_members(gossip_members members)
{
    if (members.empty()) {
        return;
    }
    watcher_.set_members(members);
    watchers_ = chosen_watchers(members, options_.watcher);
    std::erase(watchers_, self_.name);
    gossip_members near;
    gossip_members far;
    std::set<availability_zone_name> far_zones;
    for (const auto& member : members) {
        if (member.availability_zone == self_.availability_zone) {
            near.push_back(member);
        }
        else {
            far.push_back(member);
            far_zones.insert(member.availability_zone);
        }
    }
    other_zone_count_ = far_zones.size();
    zone_peers_.set_members(std::make_shared<const gossip_members>(std::move(near)));
    other_zones_.set_members(std::make_shared<const gossip_members>(std::move(far)));
    all_peers_.set_members(std::make_shared<const gossip_members>(std::move(members)));
}

void revision_gossip::record_open_watch(mono_time now)
{
    if (open_watch_until_ && now < *open_watch_until_) {
        watcher_.contact_reported(std::chrono::nanoseconds(0), now);
    }
}

std::optional<mono_time> revision_gossip::next_call(mono_time now)
{
    watcher_.set_isolated(now - last_received_ >= options_.watcher.contact_timeout);
    const auto round = watcher_.next_round(now, random_);
    return round ? std::optional(round->at) : std::nullopt;
}

void revision_gossip::watch_started(std::chrono::milliseconds wait, mono_time now)
{
    open_watch_until_ = now + wait;
}

void revision_gossip::call_answered(mono_time now)
{
    open_watch_until_.reset();
    watcher_.call_answered(now);
}

void revision_gossip::call_failed(mono_time now)
{
    open_watch_until_.reset();
    watcher_.call_failed(now, random_);
}

state_version revision_gossip::version(const published_version& own, mono_time now)
{
    record_open_watch(now);
    state_version result{own, std::nullopt};
    if (const auto age = watcher_.contact_age(now)) {
        // Rounded up, so that the age does not decrease when it is forwarded many times.
        result.contact_age = std::chrono::ceil<std::chrono::milliseconds>(*age);
    }
    return result;
}

bool revision_gossip::received(const state_version& theirs, const published_version& own,
                               mono_time now)
{
    last_received_ = now;
    if (theirs.contact_age) {
        watcher_.contact_reported(*theirs.contact_age, now);
    }
    const bool watches = open_watch_until_ && now < *open_watch_until_;
    const auto wait_limit = watches ? options_.watch_wait_limit : options_.push_wait_limit;
    return lag_.observe(theirs.version, own, wait_limit, now);
}

bool revision_gossip::is_contact_stale(mono_time now)
{
    record_open_watch(now);
    const auto age = watcher_.contact_age(now);
    return !age || *age > options_.contact_query_age;
}

std::optional<vm_name> revision_gossip::next_pull(mono_time now)
{
    if (now < next_pull_) {
        return std::nullopt;
    }
    if (is_contact_stale(now) && !watchers_.empty()) {
        next_pull_ = now + options_.contact_query_interval;
        return watchers_[random_() % watchers_.size()];
    }
    // Drawn from 0.5 to 1.5 intervals, so that nodes do not pull at the same time.
    const auto interval = options_.pull_interval;
    std::uniform_int_distribution<std::int64_t> draw(interval.count() / 2,
                                                     interval.count() * 3 / 2);
    next_pull_ = now + std::chrono::milliseconds(draw(random_));
    return all_peers_.pull_target(random_);
}

std::vector<vm_name> revision_gossip::push_targets(bool from_store)
{
    auto targets = zone_peers_.push_targets(random_, options_.push_count);
    if (from_store) {
        const auto far = other_zones_.push_targets(random_, other_zone_count_);
        targets.insert(targets.end(), far.begin(), far.end());
    }
    return targets;
}

bool revision_gossip::has_contact(mono_time now)
{
    record_open_watch(now);
    const auto age = watcher_.contact_age(now);
    return age && *age < 2 * options_.watcher.contact_timeout;
}

} // namespace trefoil
