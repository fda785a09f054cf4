#include "quarantine/crash_suspects.h"

#include "base/hash.h"
#include "crash_record_table.h"
#include "in_flight_table.h"

#include <atomic>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace trefoil {

struct crash_suspects::state {
    state(vm_name vm, vm_incarnation inc, crash_suspects_options opts)
        : own_vm(std::move(vm)), own_incarnation(inc), options(opts), records(options)
    {
    }

    /// Time after the end of the quarantine at which this target admits its trial run; distributed
    /// over the targets by a hash.
    std::chrono::nanoseconds trial_offset(content_fingerprint fingerprint) const
    {
        if (options.trial_spread.count() <= 0) {
            return {};
        }
        const auto point = hash64(own_vm.str(), fingerprint.value) %
                           static_cast<std::uint64_t>(options.trial_spread.count());
        return std::chrono::nanoseconds(point);
    }

    bool suspect_in_flight(mono_time now) const
    {
        return in_flight.any([&](content_fingerprint other) {
            const auto* record = records.find(other, now);
            return record != nullptr && record->count() > 0;
        });
    }

    /// `mutex` must be held. `at_target` is set if the request is for the own upstream.
    crash_check_result decide(const request_id& id, content_fingerprint fingerprint, bool at_target,
                              mono_time now) const
    {
        const auto* record = records.find(fingerprint, now);
        if (record == nullptr || record->count() == 0) {
            return {};
        }
        const auto refuse = [&](std::chrono::nanoseconds retry_after) {
            return crash_check_result{crash_decision::refuse,
                                      record->may_have_run(id) ? outcome::unknown
                                                               : outcome::not_run,
                                      refusal_reason::quarantined, retry_after};
        };
        if (record->count() >= quarantine_crashes) {
            auto until = record->last_counted() + options.quarantine;
            if (at_target) {
                until += trial_offset(fingerprint);
            }
            if (now < until) {
                return refuse(until - now);
            }
        }
        if (at_target && suspect_in_flight(now)) {
            return refuse(options.busy_retry_after);
        }
        return {crash_decision::run_alone, outcome::not_run, refusal_reason::none, {}};
    }

    crash_check_result decide_if_recorded(const request_id& id, content_fingerprint fingerprint,
                                          bool at_target, mono_time now) const
    {
        if (record_count.load() == 0) {
            return {};
        }
        const std::lock_guard lock(mutex);
        return decide(id, fingerprint, at_target, now);
    }

    vm_name own_vm;
    vm_incarnation own_incarnation;
    crash_suspects_options options;
    in_flight_table in_flight;
    /// Copy of records.size() that is read without holding `mutex`.
    std::atomic<std::size_t> record_count{0};
    /// Protects `records` and `crashes_seen`. Locked before the shard locks of `in_flight`.
    mutable std::mutex mutex;
    crash_record_table records;
    std::uint64_t crashes_seen = 0;
};

crash_suspects::crash_suspects(vm_name own_vm, vm_incarnation own_incarnation,
                               crash_suspects_options options)
    : state_(std::make_unique<state>(std::move(own_vm), own_incarnation, options))
{
}

crash_suspects::~crash_suspects() = default;

crash_check_result crash_suspects::decide(const request_id& id, content_fingerprint fingerprint,
                                          mono_time now) const
{
    return state_->decide_if_recorded(id, fingerprint, true, now);
}

crash_check_result crash_suspects::decide_forward(const request_id& id,
                                                  content_fingerprint fingerprint,
                                                  mono_time now) const
{
    return state_->decide_if_recorded(id, fingerprint, false, now);
}

crash_check_result crash_suspects::started(const request_id& id, content_fingerprint fingerprint,
                                           mono_time now)
{
    auto& s = *state_;
    if (s.record_count.load() == 0) {
        s.in_flight.add(id, fingerprint);
        return {};
    }
    // Decision and registration are under one lock, so that only one suspect can start.
    const std::lock_guard lock(s.mutex);
    const auto result = s.decide(id, fingerprint, true, now);
    if (result.decision != crash_decision::refuse) {
        s.in_flight.add(id, fingerprint);
    }
    return result;
}

crash_changes crash_suspects::completed(const request_id& id, content_fingerprint fingerprint,
                                        mono_time now)
{
    auto& s = *state_;
    s.in_flight.remove(id, fingerprint);
    crash_changes changes;
    if (s.record_count.load() > 0) {
        const std::lock_guard lock(s.mutex);
        s.records.release(fingerprint, s.own_vm, now, changes);
    }
    return changes;
}

crash_changes crash_suspects::answered(const request_id& id, content_fingerprint fingerprint,
                                       unsigned status, mono_time now)
{
    if (proves_harmless(status)) {
        return completed(id, fingerprint, now);
    }
    abandoned(id, fingerprint);
    return {};
}

void crash_suspects::abandoned(const request_id& id, content_fingerprint fingerprint)
{
    state_->in_flight.remove(id, fingerprint);
}

crash_changes crash_suspects::crashed(mono_time now)
{
    auto& s = *state_;
    const std::lock_guard lock(s.mutex);
    std::unordered_map<content_fingerprint, std::vector<request_id>> ids_of;
    for (const auto& [id, fingerprint] : s.in_flight.take_all()) {
        ids_of[fingerprint].push_back(id);
    }
    const crash_id crash{s.own_vm, s.own_incarnation, ++s.crashes_seen};
    crash_changes changes;
    for (auto& [fingerprint, ids] : ids_of) {
        const crash_report seen{
            fingerprint, {{crash, std::chrono::milliseconds(0), false}}, std::move(ids), true};
        s.records.merge(seen, s.own_vm, now, changes);
    }
    s.record_count = s.records.size();
    return changes;
}

crash_changes crash_suspects::merge(const vm_name& peer, std::span<const crash_report> reports,
                                    mono_time now)
{
    auto& s = *state_;
    const std::lock_guard lock(s.mutex);
    crash_changes changes;
    for (const auto& report : reports) {
        s.records.merge(report, peer, now, changes);
    }
    s.record_count = s.records.size();
    return changes;
}

std::vector<crash_report> crash_suspects::reports(std::size_t limit, mono_time now) const
{
    const std::lock_guard lock(state_->mutex);
    return state_->records.reports(limit, now);
}

crash_changes crash_suspects::expire(mono_time now)
{
    auto& s = *state_;
    const std::lock_guard lock(s.mutex);
    crash_changes changes;
    s.records.expire(now, changes);
    s.record_count = s.records.size();
    return changes;
}

std::size_t crash_suspects::size() const
{
    return state_->record_count.load();
}

std::size_t crash_suspects::in_flight() const
{
    return state_->in_flight.size();
}

} // namespace trefoil
