#include "admission_gate.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <random>
#include <utility>

namespace trefoil {

admission_gate::admission_gate(std::vector<asio::io_context*> contexts)
    : contexts_(std::move(contexts)), wakeup_(*contexts_.front())
{
}

void admission_gate::set_policy(const admission_policy& policy, mono_time now)
{
    const std::lock_guard lock(mutex_);
    if (!controller_) {
        controller_ =
            std::make_unique<admission_controller<default_limit>>(policy, std::random_device{}());
        return;
    }
    apply(controller_->replace_policy(policy, now));
}

asio::awaitable<admission_outcome> admission_gate::enter(work_item item, kind_name kind,
                                                         group_name group, std::size_t shard,
                                                         std::shared_ptr<cancel_token> cancel)
{
    auto self = std::make_shared<waiter>(*contexts_[shard]);
    self->decided.expires_at(asio::steady_timer::time_point::max());
    admission_ticket ticket;
    {
        const std::lock_guard lock(mutex_);
        const auto known_kind = controller_->policy().find(kind);
        const auto known_group = controller_->policy().find(group);
        if (!known_kind || !known_group) {
            co_return admission_outcome{false, {}, refusal_reason::unknown_object, {}};
        }
        item.kind = *known_kind;
        item.group = *known_group;
        // The waiter is registered before apply(), since the changes may already concern this
        // ticket.
        auto offered = controller_->offer(item, boot_clock::now());
        ticket = offered.ticket;
        waiters_[ticket.value] = self;
        apply(offered.changes);
        schedule_wakeup();
    }
    cancel->on_cancel([this, ticket, self] {
        const std::lock_guard lock(mutex_);
        if (waiters_.contains(ticket.value)) {
            apply(controller_->cancel(ticket, boot_clock::now()));
            decide({false, ticket, refusal_reason::cancelled, {}});
        }
    });
    while (!self->is_decided) {
        boost::system::error_code error;
        co_await self->decided.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    cancel->on_cancel(nullptr);
    co_return self->result;
}

void admission_gate::leave(admission_ticket ticket, const completion& c)
{
    const std::lock_guard lock(mutex_);
    apply(controller_->finish(ticket, c, boot_clock::now()));
    schedule_wakeup();
}

void admission_gate::abandon(admission_ticket ticket)
{
    const std::lock_guard lock(mutex_);
    apply(controller_->cancel(ticket, boot_clock::now()));
    schedule_wakeup();
}

void admission_gate::set_cold()
{
    const std::lock_guard lock(mutex_);
    if (controller_) {
        apply(controller_->start_cold_ramp(boot_clock::now()));
        schedule_wakeup();
    }
}

double admission_gate::admit_fraction(const kind_name& kind, const group_name& group) const
{
    const std::lock_guard lock(mutex_);
    const auto known_kind = controller_->policy().find(kind);
    const auto known_group = controller_->policy().find(group);
    return known_kind && known_group ? controller_->admit_fraction(*known_kind, *known_group) : 1.0;
}

admission_snapshot admission_gate::snapshot() const
{
    const std::lock_guard lock(mutex_);
    return controller_ ? controller_->snapshot(boot_clock::now()) : admission_snapshot{};
}

void admission_gate::apply(const admission_changes& changes)
{
    for (const auto ticket : changes.started) {
        decide({true, ticket, refusal_reason::none, {}});
    }
    for (const auto& refused : changes.refused) {
        decide({false, refused.ticket, refused.reason, refused.retry_after});
    }
}

void admission_gate::decide(const admission_outcome& result)
{
    const auto it = waiters_.find(result.ticket.value);
    if (it == waiters_.end()) {
        return;
    }
    // The result is set on the thread of the waiting coroutine, which reads it without a lock.
    asio::post(it->second->resume_context, [w = it->second, result] {
        w->result = result;
        w->is_decided = true;
        w->decided.cancel();
    });
    waiters_.erase(it);
}

void admission_gate::schedule_wakeup()
{
    const auto next = controller_->next_wakeup(boot_clock::now());
    if (!next || *next >= wakeup_at_) {
        return;
    }
    wakeup_at_ = *next;
    asio::post(*contexts_.front(), [this, at = *next] {
        const auto wait = std::max(at - boot_clock::now(), boot_clock::duration::zero());
        wakeup_.expires_after(wait);
        wakeup_.async_wait([this](auto error) {
            if (!error) {
                on_wakeup();
            }
        });
    });
}

void admission_gate::on_wakeup()
{
    const std::lock_guard lock(mutex_);
    wakeup_at_ = mono_time::max();
    apply(controller_->poll(boot_clock::now()));
    schedule_wakeup();
}

} // namespace trefoil
