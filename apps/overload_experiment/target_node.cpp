#include "target_node.h"

#include <algorithm>

namespace trefoil::experiment {

namespace {

kind_index kind_of(const call& c)
{
    return {static_cast<std::uint32_t>(c.kind)};
}

group_index group_of(const call& c)
{
    return {static_cast<std::uint32_t>(c.group)};
}

} // namespace

double target_node::admit_fraction(std::size_t kind, std::size_t group) const
{
    return controller_ == nullptr
               ? 1.0
               : controller_->admit_fraction({static_cast<std::uint32_t>(kind)},
                                             {static_cast<std::uint32_t>(group)});
}

void target_node::receive(const call_ptr& c)
{
    if (c->current == call::state::ended) {
        return;
    }
    ++received_;
    if (controller_ != nullptr) {
        const work_item item{{},
                             kind_of(*c),
                             group_of(*c),
                             static_cast<std::uint32_t>(c->hop),
                             c->admit_point,
                             c->deadline};
        const auto offered = controller_->offer(item, loop_.now());
        c->ticket = offered.ticket;
        by_ticket_[c->ticket.value] = c;
        apply(offered.changes);
        return;
    }
    if (open_calls_ == options_.connections) {
        c->current = call::state::ended;
        reply(c);
        return;
    }
    ++open_calls_;
    send_to_upstream(c);
}

void target_node::apply(const admission_changes& changes)
{
    for (const auto t : changes.started) {
        send_to_upstream(by_ticket_.at(t.value));
    }
    for (const auto& r : changes.refused) {
        const auto c = by_ticket_.at(r.ticket.value);
        by_ticket_.erase(r.ticket.value);
        c->current = call::state::ended;
        c->result.retry_after = r.retry_after;
        reply(c);
    }
    schedule_wakeup();
}

void target_node::schedule_wakeup()
{
    const auto next = controller_->next_wakeup(loop_.now());
    if (!next || (wakeup_at_ > loop_.now() && wakeup_at_ <= *next)) {
        return;
    }
    wakeup_at_ = *next;
    loop_.at(wakeup_at_, [this, time = wakeup_at_] {
        if (wakeup_at_ == time) {
            wakeup_at_ = {};
            apply(controller_->poll(loop_.now()));
        }
    });
}

void target_node::send_to_upstream(const call_ptr& c)
{
    c->sent_to_upstream = loop_.now();
    if (busy_slots_ < options_.slots) {
        start_work(c);
        return;
    }
    c->current = call::state::in_upstream_queue;
    upstream_queue_.push_back(c);
}

void target_node::start_work(const call_ptr& c)
{
    ++busy_slots_;
    c->current = call::state::working;
    c->work_started = loop_.now();
    const std::chrono::nanoseconds mean = model_.kinds[c->kind].work[c->hop];
    const double drawn = std::exponential_distribution<>(1.0)(random_) * work_factor_;
    const auto spent = std::chrono::nanoseconds(
        static_cast<std::int64_t>(drawn * static_cast<double>(mean.count())));
    loop_.after(spent, [this, c, spent] {
        if (c->current == call::state::working) {
            handle_work_done(c, spent);
        }
    });
}

void target_node::handle_work_done(const call_ptr& c, std::chrono::nanoseconds spent)
{
    total_work_ += spent;
    c->work_done += spent;
    if (c->hop + 1 == model_.kinds[c->kind].path.size()) {
        complete(c, true);
        return;
    }
    c->current = call::state::calling;
    send_child(c);
}

void target_node::send_child(const call_ptr& c)
{
    const auto child = std::make_shared<call>();
    child->kind = c->kind;
    child->group = c->group;
    child->hop = c->hop + 1;
    child->admit_point = c->admit_point;
    child->deadline = c->deadline;
    child->on_answer = [this, c, raw = child.get()](const answer& a) {
        if (c->current == call::state::calling && c->child.lock().get() == raw) {
            handle_child_answer(c, a);
        }
    };
    c->child = child;
    auto& next = find_target_(model_.kinds[c->kind].path[child->hop]);
    loop_.after(constants_.network_one_way, [&next, child] { next.receive(child); });
    if (controller_ == nullptr) {
        loop_.after(constants_.attempt_timeout, [this, c, child] {
            if (c->current == call::state::calling && c->child.lock() == child) {
                handle_child_answer(c, {});
            }
        });
    }
}

void target_node::handle_child_answer(const call_ptr& c, const answer& a)
{
    c->work_done += c->child.lock()->work_done;
    c->result = a;
    if (!a.ok && controller_ == nullptr && c->child_retries < constants_.hop_retries) {
        ++c->child_retries;
        send_child(c);
        return;
    }
    complete(c, a.ok);
}

void target_node::complete(const call_ptr& c, bool ok)
{
    c->current = call::state::ended;
    c->child.reset();
    c->result.ok = ok;
    release_slot();
    if (controller_ != nullptr) {
        by_ticket_.erase(c->ticket.value);
        const completion done{loop_.now() - c->sent_to_upstream, completion_result::ok};
        apply(controller_->finish(c->ticket, done, loop_.now()));
    }
    else {
        --open_calls_;
    }
    reply(c);
}

void target_node::release_slot()
{
    --busy_slots_;
    if (!upstream_queue_.empty()) {
        const auto next = upstream_queue_.front();
        upstream_queue_.pop_front();
        start_work(next);
    }
}

void target_node::reply(const call_ptr& c)
{
    if (controller_ != nullptr) {
        c->result.fractions.push_back({options_.service, admit_fraction(c->kind, c->group)});
    }
    loop_.after(constants_.network_one_way, [c] { c->on_answer(c->result); });
}

void target_node::cancel(const call_ptr& c)
{
    const auto state = c->current;
    c->current = call::state::ended;
    switch (state) {
    case call::state::ended:
        return;
    case call::state::at_node:
        break;
    case call::state::in_upstream_queue:
        upstream_queue_.erase(std::ranges::find(upstream_queue_, c));
        break;
    case call::state::working:
        total_work_ += loop_.now() - c->work_started;
        release_slot();
        break;
    case call::state::calling:
        find_target_(model_.kinds[c->kind].path[c->hop + 1]).cancel(c->child.lock());
        c->child.reset();
        release_slot();
        break;
    }
    // A call that is still in transit has no ticket.
    if (c->ticket.value != 0) {
        by_ticket_.erase(c->ticket.value);
        apply(controller_->cancel(c->ticket, loop_.now()));
    }
}

} // namespace trefoil::experiment
