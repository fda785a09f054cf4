#include "callers.h"

#include <algorithm>

namespace trefoil::experiment {

void callers::open_loop(std::size_t kind, double rate, mono_time end)
{
    if (rate <= 0.0) {
        return;
    }
    const auto wait = std::chrono::nanoseconds(
        static_cast<std::int64_t>(1e9 * std::exponential_distribution<>(rate)(random_)));
    if (loop_.now() + wait >= end) {
        return;
    }
    loop_.after(wait, [this, kind, rate, end] {
        start(kind, std::make_shared<request>());
        open_loop(kind, rate, end);
    });
}

std::size_t callers::draw_kind()
{
    std::vector<double> weights;
    for (std::size_t k = 0; k < model_.kinds.size(); ++k) {
        weights.push_back(model_.bottleneck_work(k).count() > 0 ? model_.kinds[k].rate : 0.0);
    }
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random_);
}

void callers::closed_loop(mono_time end)
{
    const auto r = std::make_shared<request>();
    r->closed_loop = true;
    r->closed_loop_end = end;
    start(draw_kind(), r);
}

void callers::start(std::size_t kind, const request_ptr& r)
{
    // Groups of the topology have the shares 2, 1 and 1.
    const double point = draw();
    const std::size_t group = point < 0.5 ? 0 : (point < 0.75 ? 1 : 2);
    r->record = records_.size();
    r->deadline = loop_.now() + constants_.deadline;
    records_.push_back({kind, group, loop_.now(), {}, false});
    loop_.at(r->deadline, [this, r] {
        if (!r->done) {
            if (control_ && r->current) {
                targets_[model_.kinds[records_[r->record].kind].path[0]]->cancel(r->current);
            }
            end(r, false);
        }
    });
    send(r);
}

double callers::smallest_fraction(const request_record& r) const
{
    const auto& path = model_.kinds[r.kind].path;
    double smallest = targets_[path[0]]->admit_fraction(r.kind, r.group);
    for (std::size_t hop = 1; hop < path.size(); ++hop) {
        smallest = std::min(smallest, fractions_.fraction(r.kind, r.group, path[hop], loop_.now()));
    }
    return smallest;
}

void callers::send(const request_ptr& r)
{
    const auto record = records_[r->record];
    const auto c = std::make_shared<call>();
    c->kind = record.kind;
    c->group = record.group;
    // The hash of id and attempt is drawn anew for each attempt.
    c->admit_point = draw();
    c->deadline = r->deadline;
    if (control_) {
        const double smallest = smallest_fraction(record);
        if (!entry_admits(c->admit_point, smallest)) {
            const admission_options options;
            const double base =
                std::min(static_cast<double>(options.max_retry_after.count()),
                         static_cast<double>(options.min_retry_after.count()) / smallest);
            failed(r, std::chrono::milliseconds(static_cast<int>(base * (0.5 + draw()))));
            return;
        }
    }
    // The event at the deadline keeps the request alive; the call must not, since it belongs to it.
    c->on_answer = [this, weak = std::weak_ptr(r), raw = c.get()](const answer& a) {
        const auto open = weak.lock();
        if (open && !open->done && open->current.get() == raw) {
            answered(open, open->current, a);
        }
    };
    r->current = c;
    auto& entry = *targets_[model_.kinds[record.kind].path[0]];
    loop_.after(constants_.network_one_way, [&entry, c] { entry.receive(c); });
    if (!control_) {
        loop_.after(constants_.attempt_timeout, [this, r, c] {
            if (!r->done && r->current == c) {
                failed(r, constants_.caller_pause);
            }
        });
    }
}

void callers::answered(const request_ptr& r, const call_ptr& c, const answer& a)
{
    fractions_.learn(c->kind, c->group, a.fractions, loop_.now());
    if (a.ok) {
        useful_work_ += c->work_done;
        end(r, true);
        return;
    }
    const auto pause = std::chrono::milliseconds(
        static_cast<int>(static_cast<double>(constants_.caller_pause.count()) * (0.5 + draw())));
    failed(r, a.retry_after.count() > 0 ? a.retry_after : pause);
}

void callers::failed(const request_ptr& r, std::chrono::milliseconds retry_after)
{
    r->current.reset();
    if (r->attempt == constants_.caller_retries || loop_.now() + retry_after >= r->deadline) {
        end(r, false);
        return;
    }
    ++r->attempt;
    loop_.after(retry_after, [this, r] {
        if (!r->done) {
            send(r);
        }
    });
}

void callers::end(const request_ptr& r, bool ok)
{
    r->done = true;
    r->current.reset();
    records_[r->record].ended = loop_.now();
    records_[r->record].ok = ok;
    if (r->closed_loop && loop_.now() < r->closed_loop_end) {
        closed_loop(r->closed_loop_end);
    }
}

} // namespace trefoil::experiment
