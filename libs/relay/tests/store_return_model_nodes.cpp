#include "store_return_model.h"

#include <algorithm>

namespace store_return_model {

using namespace trefoil;

namespace {

// As in revision_gossip, published_feed and relay_node.
constexpr ms tick_interval{100};
constexpr ms sweep_interval{500};
constexpr ms call_pause{300};
constexpr ms contact_timeout{1000};
constexpr ms contact_query_age{500};
constexpr ms contact_query_interval{150};
/// Time for a late answer, after which a call has failed.
constexpr ms answer_allowance{1000};

} // namespace

void simulation::start_node(int n)
{
    auto& self = nodes_[static_cast<std::size_t>(n)];
    self = std::make_shared<node>();
    self->replica = std::make_unique<plain_replica>(plain_items(), self->view);
    self->next_call = now_ + ms(draw(0, 50));
    after(ms(draw(0, 100)), bound(n, [this, n](node&) { tick(n); }));
    after(ms(draw(0, 500)), bound(n, [this, n](node&) { sweep(n); }));
}

std::function<void()> simulation::bound(int n, std::function<void(node&)> action)
{
    return [this, n, self = std::weak_ptr(nodes_[static_cast<std::size_t>(n)]),
            action = std::move(action)] {
        if (const auto same = self.lock()) {
            same->view.now = now_;
            action(*same);
            observe(n);
        }
    };
}

void simulation::tick(int n)
{
    auto& self = at_node(n);
    update_availability(n);
    self.replica->release_departures(now_, self.available);
    wake(n);
    const int other = (n + draw(1, scenario_.nodes - 1)) % scenario_.nodes;
    if (now_ >= self.next_pull) {
        const auto age = contact_age(self);
        const bool is_stale = !age || *age > contact_query_age;
        self.next_pull = now_ + (is_stale ? contact_query_interval : ms(draw(250, 750)));
        request_state(n, other);
    }
    else if (self.replica->version().revision == 0) {
        request_state(n, other);
    }
    if (chance(30)) {
        report(n, other);
    }
    after(tick_interval, bound(n, [this, n](node&) { tick(n); }));
}

void simulation::sweep(int n)
{
    at_node(n).view.targets.expire(now_);
    after(sweep_interval, bound(n, [this, n](node&) { sweep(n); }));
}

std::optional<ms> simulation::contact_age(node& self) const
{
    if (self.open_watch_until && now_ < *self.open_watch_until) {
        self.last_contact = now_;
    }
    return self.last_contact ? std::optional(std::chrono::ceil<ms>(now_ - *self.last_contact))
                             : std::nullopt;
}

void simulation::update_availability(int n)
{
    auto& self = at_node(n);
    const auto age = contact_age(self);
    const bool available = self.feed_available || (age && *age < 2 * contact_timeout);
    self.may_miss_expiry = self.may_miss_expiry || available;
    if (!self.may_miss_expiry || self.available == available) {
        return;
    }
    self.available = available;
    if (available) {
        self.view.targets.on_store_available(now_);
        keep(n, now_ + target_directory_options().confirm_time);
    }
    else {
        self.view.targets.on_store_unavailable();
    }
}

void simulation::wake(int n)
{
    auto& self = at_node(n);
    if (self.busy) {
        return;
    }
    const auto age = contact_age(self);
    if (!self.chosen && age && *age <= contact_timeout) {
        set_calling(self, false);
        return;
    }
    if (now_ < self.next_call) {
        return;
    }
    self.busy = true;
    set_calling(self, true);
    if (self.cursor.needs_full_read()) {
        read_page(n, {}, chance(50));
    }
    else {
        watch(n);
    }
}

void simulation::set_calling(node& self, bool calling)
{
    if (self.calling != calling) {
        self.calling = calling;
        self.cursor.require_full_read();
        self.seen.is_read_explained = true;
    }
}

void simulation::fail(int n, ms wait, const std::function<void(read_result)>& done)
{
    after(wait, bound(n, [done](node&) { done({}); }));
}

void simulation::deliver(int n, read_result result, const std::function<void(read_result)>& done)
{
    const bool is_lost = !is_calm() && chance(3);
    const bool is_late = !is_calm() && chance(15);
    after(is_late ? ms(draw(200, 2500)) : delay(),
          bound(n, [this, n, is_lost, done, result = std::move(result)](node&) {
              if (is_lost || store_cut_.contains(n)) {
                  fail(n, ms(draw(1, 1000)), done);
                  return;
              }
              done(result);
          }));
}

void simulation::call(int n, const std::function<read_result()>& make,
                      const std::function<void(read_result)>& done)
{
    // The store works on the call even if the node starts again meanwhile.
    after(delay(), bound(n, [this, n, make, done](node&) {
              if (!is_up_ || store_cut_.contains(n)) {
                  fail(n, ms(draw(1, 1000)), done);
                  return;
              }
              deliver(n, make(), done);
          }));
}

void simulation::read_page(int n, const std::string& key, bool is_whole)
{
    if (key.empty()) {
        at_node(n).cursor.begin_read();
    }
    call(
        n, [this, key, is_whole] { return page(key, is_whole); },
        [this, n, is_whole](const read_result& result) { on_page(n, result, is_whole); });
}

void simulation::on_page(int n, const read_result& result, bool is_whole)
{
    auto& self = at_node(n);
    if (result.status != read_status::ok) {
        on_failure(n, result);
        return;
    }
    self.seen.is_read_explained = self.seen.is_read_explained || !result.era;
    switch (self.cursor.add_page(result, self.replica->version())) {
    case feed_cursor::page_use::more:
        read_page(n, result.items.back().key, is_whole);
        return;
    case feed_cursor::page_use::restart:
        read_page(n, {}, is_whole);
        return;
    case feed_cursor::page_use::stale:
        ++stale_answers;
        record_failure(n);
        return;
    case feed_cursor::page_use::complete:
        break;
    }
    on_answer(n);
    const auto version = self.cursor.version();
    if (!std::exchange(self.seen.is_read_explained, false) && ++self.seen.reads[version.era] > 1) {
        violate(n, "reads the store in full more than once in an era");
    }
    const bool is_return = self.replica->is_return(version);
    const auto keep_until = now_ + target_directory_options().confirm_time;
    if (is_return) {
        self.view.targets.on_store_returned(now_);
        keep(n, keep_until);
    }
    apply(n, source::store, keep_until,
          [&](node& own) { return own.replica->replace(own.cursor.items(), version); });
    self.busy = false;
    wake(n);
}

void simulation::watch(int n)
{
    auto& self = at_node(n);
    const ms wait(draw(1500, 3000));
    const auto base = self.cursor.begin_watch(self.replica->version()).revision;
    self.open_watch_until = now_ + wait;
    const auto done = [this, n](const read_result& result) { on_watch(n, result); };
    const auto sent = now_;
    after(delay(), bound(n, [this, n, base, wait, sent, done](node&) {
              const auto rest = sent + wait + answer_allowance - now_;
              if (!is_up_ || store_cut_.contains(n)) {
                  fail(n, ms(draw(1, 1000)), done);
                  return;
              }
              auto result = changes(base);
              if (result.status != read_status::ok || !result.items.empty()) {
                  deliver(n, std::move(result), done);
                  return;
              }
              const auto number = next_watch_++;
              const auto own = std::weak_ptr(nodes_[static_cast<std::size_t>(n)]);
              const bool is_silent = chance(30);
              const auto left = std::chrono::duration_cast<ms>(rest);
              watches_[number] = {base,
                                  [this, n, own, done](read_result r) {
                                      if (!own.expired()) {
                                          deliver(n, std::move(r), done);
                                      }
                                  },
                                  [this, n, own, done, is_silent, left] {
                                      if (!own.expired()) {
                                          fail(n, is_silent ? left : ms(draw(1, 100)), done);
                                      }
                                  }};
              after(wait, [this, number] {
                  const auto open = watches_.extract(number);
                  if (!open.empty()) {
                      open.mapped().answer(changes(open.mapped().after));
                  }
              });
          }));
}

void simulation::on_watch(int n, const read_result& result)
{
    auto& self = at_node(n);
    if (result.status != read_status::ok) {
        on_failure(n, result);
        return;
    }
    self.seen.is_read_explained = self.seen.is_read_explained || !result.era;
    const auto use = self.cursor.take_watch(result, self.replica->version());
    if (use == feed_cursor::watch_use::stale) {
        ++stale_answers;
        record_failure(n);
        return;
    }
    on_answer(n);
    if (use == feed_cursor::watch_use::changes) {
        apply(n, source::store, {}, [&](node& own) {
            return own.replica->merge(result.items, own.cursor.base().revision,
                                      own.cursor.version());
        });
    }
    self.busy = false;
    wake(n);
}

void simulation::on_answer(int n)
{
    auto& self = at_node(n);
    self.open_watch_until.reset();
    self.last_contact = now_;
    self.next_call = now_ + call_pause;
    self.failures = 0;
    self.feed_available = true;
    update_availability(n);
}

void simulation::on_failure(int n, const read_result& result)
{
    auto& self = at_node(n);
    if (result.status == read_status::history_lost) {
        self.seen.is_read_explained = self.seen.is_read_explained || !result.era;
        if (!self.cursor.take_history_lost(result, self.replica->version())) {
            ++stale_answers;
            record_failure(n);
            return;
        }
        self.open_watch_until.reset();
        self.last_contact = now_;
        self.next_call = now_ + call_pause;
        self.busy = false;
        wake(n);
        return;
    }
    self.cursor.require_full_read();
    self.seen.is_read_explained = true;
    record_failure(n);
}

void simulation::record_failure(int n)
{
    auto& self = at_node(n);
    self.open_watch_until.reset();
    self.next_call = now_ + ms(draw(75, 1200));
    ++self.failures;
    if (self.failures > 1 || !self.feed_available) {
        self.feed_available = false;
        update_availability(n);
    }
    self.busy = false;
    wake(n);
}

} // namespace store_return_model
