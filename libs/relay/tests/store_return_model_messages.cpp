#include "store_return_model.h"

#include <algorithm>
#include <sstream>

namespace store_return_model {

using namespace trefoil;

namespace {

// As in revision_gossip.
constexpr ms push_wait_limit{100};
constexpr ms watch_wait_limit{600};

// As in relay_service.
constexpr ms full_request_interval{1000};
constexpr ms era_request_interval{150};

} // namespace

state_update simulation::apply(int n, source from, mono_time keep_until,
                               const std::function<state_update(node&)>& change)
{
    const auto ready_before = ready_targets(n);
    auto update = change(at_node(n));
    note_update(n, update, ready_before, keep_until);
    if (update.is_new_era()) {
        ++(from == source::store ? learned_from_store : learned_from_peer);
    }
    if (update.after != update.before || !update.items.empty() || update.has_adopted) {
        std::ostringstream text;
        text << "node " << n << " comes from " << update.before << " to " << update.after
             << (from == source::store ? " by the store" : " by a peer");
        for (const auto& item : update.items) {
            text << ", " << item.key << ' ' << (item.removed ? "removed" : item.value);
        }
        log(text.str() + (update.has_adopted ? ", adopts" : ""));
    }
    if (!update.items.empty() || update.has_adopted || update.is_new_era()) {
        wake(n);
        push(n, update);
    }
    return update;
}

void simulation::push(int n, const state_update& update)
{
    if (update.before.revision == 0) {
        return;
    }
    const auto& self = at_node(n);
    auto changes = self.replica->changes_to_push(update);
    changes.confirmation_time_left = self.view.targets.confirmation_time_left(now_);
    for (int other = 0; other < scenario_.nodes; ++other) {
        if (other != n) {
            send_state(n, other, changes);
        }
    }
}

void simulation::send(int from, int to, const std::function<void()>& action)
{
    if (is_cut(from, to) || (!is_calm() && chance(8))) {
        return;
    }
    after(delay(), bound(to, [this, from, to, action](node&) {
              if (!is_cut(from, to)) {
                  action();
              }
          }));
}

simulation::stated simulation::statement(int n)
{
    auto& self = at_node(n);
    return {self.replica->version(), contact_age(self)};
}

bool simulation::hear(int n, const stated& s)
{
    auto& self = at_node(n);
    if (s.contact_age && s.version.era >= self.replica->version().era) {
        const auto contact = now_ - *s.contact_age;
        self.last_contact = std::max(self.last_contact.value_or(contact), contact);
    }
    const bool watches = self.open_watch_until && now_ < *self.open_watch_until;
    return self.lag.observe(s.version, self.replica->version(),
                            watches ? watch_wait_limit : push_wait_limit, now_);
}

void simulation::report(int from, int to)
{
    send(from, to, [this, from, to, s = statement(from)] {
        if (hear(to, s)) {
            request_state(to, from);
        }
    });
}

void simulation::request_state(int from, int to, state_need need)
{
    auto statement_sent = statement(from);
    if (need == state_need::full_state) {
        statement_sent.version.revision = 0;
    }
    send(from, to, [this, from, to, s = statement_sent, config = at_node(from).replica->config()] {
        hear(to, s);
        const auto& self = at_node(to);
        auto changes = self.replica->changes_since(s.version, config);
        changes.confirmation_time_left = self.view.targets.confirmation_time_left(now_);
        send_state(to, from, std::move(changes));
    });
}

void simulation::send_state(int from, int to, published_changes changes)
{
    for (auto& item : changes.items) {
        if (item.removed) {
            item.value.clear(); // As in messages.
        }
    }
    const stated s{changes.version, statement(from).contact_age};
    send(from, to,
         [this, from, to, s, changes = std::move(changes)] { receive(to, from, s, changes); });
}

void simulation::receive(int n, int from, const stated& s, const published_changes& changes)
{
    auto& self = at_node(n);
    hear(n, s);
    update_availability(n);
    mono_time keep_until;
    if (changes.version > self.replica->version()) {
        const auto left = changes.confirmation_time_left;
        self.view.targets.extend_confirmation(left, now_);
        self.may_miss_expiry = self.may_miss_expiry || left.count() > 0;
        const target_directory_options options;
        if (left > options.report_allowance) {
            keep_until = now_ + std::min(left, options.confirm_time) - options.report_allowance;
            keep(n, keep_until);
        }
    }
    const auto update = apply(n, source::peer, keep_until,
                              [&](node& own) { return own.replica->receive(changes); });
    const bool is_later_era = changes.version.era > self.replica->version().era;
    if (update.need == state_need::nothing) {
        return;
    }
    // The limits of relay_service.
    auto& next =
        update.need == state_need::full_state ? self.next_full_request : self.next_era_request;
    const bool is_limited = update.need == state_need::full_state || is_later_era;
    if (is_limited && now_ < next) {
        return;
    }
    if (is_limited) {
        next = now_ + (update.need == state_need::full_state ? full_request_interval
                                                             : era_request_interval);
    }
    request_state(n, from, update.need);
}

} // namespace store_return_model
