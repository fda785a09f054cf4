#include "callers.h"

#include <algorithm>

namespace trefoil::experiment {

void callers::start_open_loop(std::size_t kind, double rate, mono_time end)
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
        start_open_loop(kind, rate, end);
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

void callers::start_closed_loop(mono_time end)
{
    const auto r = std::make_shared<request>();
    r->closed_loop = true;
    r->closed_loop_end = end;
    start(draw_kind(), r);
}

void callers::start(std::size_t kind, const request_ptr& r)
{
    // The groups of the topology have the shares 2, 1 and 1.
    const double draw = random_fraction();
    const std::size_t group = draw < 0.5 ? 0 : (draw < 0.75 ? 1 : 2);
    r->record = records_.size();
    r->deadline = loop_.now() + constants_.deadline;
    records_.push_back({kind, group, loop_.now(), {}, false});
    loop_.at(r->deadline, [this, r] {
        if (!r->done) {
            if (control_ && r->current) {
                targets_[model_.kinds[records_[r->record].kind].path[0]]->cancel(r->current);
            }
            finish(r, false);
        }
    });
    send(r);
}

double callers::min_fraction(const request_record& r) const
{
    const auto& path = model_.kinds[r.kind].path;
    double fraction = targets_[path[0]]->admit_fraction(r.kind, r.group);
    for (std::size_t hop = 1; hop < path.size(); ++hop) {
        fraction = std::min(fraction, fractions_.fraction(r.kind, r.group, path[hop], loop_.now()));
    }
    return fraction;
}

void callers::send(const request_ptr& r)
{
    const auto record = records_[r->record];
    const auto c = std::make_shared<call>();
    c->kind = record.kind;
    c->group = record.group;
    // The node hashes the request id and the attempt number, so each attempt has a new admit draw.
    c->admit_point = random_fraction();
    c->deadline = r->deadline;
    if (control_) {
        const double fraction = min_fraction(record);
        if (!entry_admits(c->admit_point, fraction)) {
            const admission_options options;
            const double mean_delay =
                std::min(static_cast<double>(options.max_retry_after.count()),
                         static_cast<double>(options.min_retry_after.count()) / fraction);
            handle_failure(r, std::chrono::milliseconds(
                                  static_cast<int>(mean_delay * (0.5 + random_fraction()))));
            return;
        }
    }
    // The deadline event owns the request. The request owns the call, so the call refers to the
    // request weakly to avoid a reference cycle.
    c->on_answer = [this, weak = std::weak_ptr(r), raw = c.get()](const answer& a) {
        const auto open = weak.lock();
        if (open && !open->done && open->current.get() == raw) {
            handle_answer(open, open->current, a);
        }
    };
    r->current = c;
    auto& entry = *targets_[model_.kinds[record.kind].path[0]];
    loop_.after(constants_.network_one_way, [&entry, c] { entry.receive(c); });
    if (!control_) {
        loop_.after(constants_.attempt_timeout, [this, r, c] {
            if (!r->done && r->current == c) {
                handle_failure(r, constants_.caller_retry_delay);
            }
        });
    }
}

void callers::handle_answer(const request_ptr& r, const call_ptr& c, const answer& a)
{
    fractions_.update(c->kind, c->group, a.fractions, loop_.now());
    if (a.ok) {
        useful_work_ += c->work_done;
        finish(r, true);
        return;
    }
    const auto retry_delay = std::chrono::milliseconds(static_cast<int>(
        static_cast<double>(constants_.caller_retry_delay.count()) * (0.5 + random_fraction())));
    handle_failure(r, a.retry_after.count() > 0 ? a.retry_after : retry_delay);
}

void callers::handle_failure(const request_ptr& r, std::chrono::milliseconds retry_after)
{
    r->current.reset();
    if (r->attempt == constants_.caller_retries || loop_.now() + retry_after >= r->deadline) {
        finish(r, false);
        return;
    }
    ++r->attempt;
    loop_.after(retry_after, [this, r] {
        if (!r->done) {
            send(r);
        }
    });
}

void callers::finish(const request_ptr& r, bool ok)
{
    r->done = true;
    r->current.reset();
    records_[r->record].ended = loop_.now();
    records_[r->record].ok = ok;
    if (r->closed_loop && loop_.now() < r->closed_loop_end) {
        start_closed_loop(r->closed_loop_end);
    }
}

} // namespace trefoil::experiment
