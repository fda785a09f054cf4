#include "once/ownership_lease.h"

#include "base/hash.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <tuple>
#include <utility>

namespace trefoil {

namespace {

/// Shortens a renewal interval by up to a fifth, so that the nodes of a service do not renew at the
/// same time.
mono_time::duration with_jitter(mono_time::duration interval, std::uint64_t random)
{
    constexpr std::uint64_t steps = 1024;
    const auto step = static_cast<mono_time::rep>(random % steps);
    return interval - (interval / 5 * step / static_cast<mono_time::rep>(steps));
}

constexpr unsigned max_failures = 8;

} // namespace

ownership_lease::ownership_lease(const once_options& options, vm_name self, list_history& history,
                                 lease_grants& grants, mono_time started)
    : options_(&options), self_(std::move(self)), history_(&history), grants_(&grants),
      started_(started)
{
}

void ownership_lease::update_list(member_list list, mono_time now)
{
    observe_revision(list.revision());
    if (!history_->adopt(std::move(list), now)) {
        return;
    }
    until_ = mono_time();
    for (auto& [name, state] : peers_) {
        state.granted_until = mono_time();
        state.renew_at = mono_time();
    }
    std::erase_if(peers_, [&](const auto& peer) {
        return !history_->current()->contains(peer.first) &&
               std::ranges::none_of(history_->older(), [&](const auto& o) {
                   return !o.superseded && o.members.contains(peer.first);
               });
    });
}

std::chrono::milliseconds ownership_lease::poll_interval() const
{
    return options_->lease / 20;
}

void ownership_lease::observe_revision(list_revision revision) noexcept
{
    observed_ = std::max(observed_, revision);
}

std::vector<lease_call> ownership_lease::poll(mono_time now, wall_time wall, std::uint64_t random)
{
    const auto* current = history_->current();
    if (current == nullptr) {
        return {};
    }
    update_readiness(now);
    grant_to_self(now);
    std::vector<const vm_name*> names;
    if (!recovered_) {
        for (const auto& name : current->names()) {
            if (!peers_[name].answered || now >= peers_[name].renew_at) {
                names.push_back(&name);
            }
        }
    }
    else if (observed_ <= current->revision()) {
        names = peers_to_request(*current, now);
        for (const auto& o : history_->older()) {
            if (is_required(o)) {
                std::ranges::copy(peers_to_request(o.members, now), std::back_inserter(names));
            }
        }
    }
    std::vector<lease_call> calls;
    for (const auto* name : names) {
        auto& state = peers_[*name];
        if (*name == self_ || now < state.retry_at) {
            continue;
        }
        if (state.pending) {
            state.failures = std::min(state.failures + 1, max_failures);
        }
        state.pending = true;
        state.retry_at =
            now + with_jitter(options_->lease / 6, mix64(random ^ hash64(name->str(), 1)));
        state.renew_at =
            now + with_jitter(options_->lease / 3, mix64(random ^ hash64(name->str(), 2)));
        calls.push_back({*name, {current->revision(), current->digest(), options_->lease}, now});
    }
    update_lease(now, wall);
    return calls;
}

void ownership_lease::receive(const lease_call& call, const grant_result& result, mono_time now,
                              wall_time wall)
{
    observe_revision(result.revision);
    for (const auto& report : result.lists) {
        history_->merge(report, now);
    }
    const auto* current = history_->current();
    const auto known = peers_.find(call.peer);
    if (current == nullptr || known == peers_.end()) {
        return;
    }
    auto& state = known->second;
    state.pending = false;
    state.answered = true;
    state.ready = result.ready;
    // A grant from an earlier period with the same members does not show that the peer no longer
    // uses the lists in between.
    if (result.granted && call.request.members_digest == current->digest() &&
        call.request.revision >= history_->first_revision()) {
        state.failures = 0;
        state.granted_until = std::max(state.granted_until, call.sent + call.request.duration);
    }
    else if (!result.granted) {
        state.failures = std::min(state.failures + 1, max_failures);
    }
    update_readiness(now);
    update_lease(now, wall);
}

void ownership_lease::grant_to_self(mono_time now)
{
    const auto* current = history_->current();
    auto& state = peers_[self_];
    if (now < state.renew_at) {
        return;
    }
    const grant_request request{current->revision(), current->digest(), options_->lease};
    if (grants_->grant(request, now).granted) {
        state.granted_until = now + request.duration;
        state.renew_at = now + (options_->lease / 3);
    }
}

void ownership_lease::update_readiness(mono_time now)
{
    const auto* current = history_->current();
    if (recovered_ || current == nullptr || observed_ > current->revision()) {
        return;
    }
    std::size_t others = 0;
    std::size_t answered = 0;
    std::size_t ready = 0;
    for (const auto& name : current->names()) {
        if (name == self_) {
            continue;
        }
        ++others;
        const auto peer = peers_.find(name);
        if (peer != peers_.end() && peer->second.answered) {
            ++answered;
            ready += peer->second.ready ? 1U : 0U;
        }
    }
    // Peers that are starting as well may have lost a newer list. Without a majority of ready
    // peers, every listed peer must answer, and the old-list timeout must pass so that older lists
    // can be replaced.
    const bool majority_is_ready = ready > others / 2;
    const bool whole_service_restarted =
        answered == others && now >= started_ + options_->old_list_timeout;
    if (majority_is_ready || whole_service_restarted) {
        recovered_ = true;
        grants_->set_recovered();
    }
}

void ownership_lease::update_lease(mono_time now, wall_time wall)
{
    const auto* current = history_->current();
    if (current == nullptr || !current->contains(self_)) {
        until_ = mono_time();
        return;
    }
    mono_time end = majority_until(*current);
    for (const auto& o : history_->older()) {
        if (is_required(o)) {
            end = std::min(end, required_until(o, now));
        }
    }
    if (end > now) {
        if (!holds(now)) {
            held_since_ = wall;
        }
        history_->supersede_older();
    }
    until_ = end;
}

bool ownership_lease::is_required(const list_history::older_list& list) const
{
    return !list.superseded && list.members.revision() < history_->current()->revision();
}

mono_time ownership_lease::granted_until(const vm_name& name) const
{
    const auto peer = peers_.find(name);
    return peer == peers_.end() ? mono_time() : peer->second.granted_until;
}

mono_time ownership_lease::majority_until(const member_list& list) const
{
    if (list.empty()) {
        return {};
    }
    std::vector<mono_time> ends;
    ends.reserve(list.size());
    for (const auto& name : list.names()) {
        ends.push_back(granted_until(name));
    }
    const auto nth = ends.begin() + static_cast<std::ptrdiff_t>(list.majority() - 1);
    std::ranges::nth_element(ends, nth, std::greater<>());
    return *nth;
}

mono_time ownership_lease::required_until(const list_history::older_list& list, mono_time now) const
{
    const mono_time by_majority = majority_until(list.members);
    if (now - list.last_in_force <= options_->old_list_timeout) {
        return by_majority;
    }
    // Members that are no longer listed are assumed terminated. A listed member that does not
    // answer may still grant leases for the old list to them, so every listed member must grant.
    mono_time by_listed = mono_time::max();
    for (const auto& name : list.members.names()) {
        if (history_->current()->contains(name)) {
            by_listed = std::min(by_listed, granted_until(name));
        }
    }
    return std::max(by_majority, by_listed);
}

std::vector<const vm_name*> ownership_lease::peers_to_request(const member_list& list,
                                                              mono_time now) const
{
    struct candidate {
        const vm_name* name;
        const peer_state* state;
        std::uint64_t score;
    };
    static const peer_state never_contacted;
    const std::uint64_t self_hash = hash64(self_.str());
    std::vector<candidate> candidates;
    for (std::size_t i = 0; i < list.size(); ++i) {
        const auto& name = list.names()[i];
        const auto peer = peers_.find(name);
        candidates.push_back({&name, peer == peers_.end() ? &never_contacted : &peer->second,
                              mix64(self_hash ^ list.name_hashes()[i])});
    }
    std::ranges::sort(candidates, {},
                      [](const candidate& c) { return std::tuple(c.state->failures, c.score); });
    std::size_t missing = list.majority() + options_->spare_peers;
    std::vector<const vm_name*> names;
    for (const auto& c : candidates) {
        if (missing == 0) {
            break;
        }
        const bool fresh = c.state->granted_until > now && now < c.state->renew_at;
        const bool expected = c.state->pending && c.state->failures == 0;
        if (*c.name == self_ || fresh || (now < c.state->retry_at && expected)) {
            --missing;
        }
        else if (now >= c.state->retry_at) {
            names.push_back(c.name);
            missing -= c.state->failures == 0 ? 1U : 0U;
        }
    }
    return names;
}

} // namespace trefoil
