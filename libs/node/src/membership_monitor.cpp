#include "membership_monitor.h"

namespace trefoil {

membership_monitor::membership_monitor(member_view view, availability_zone_name zone,
                                       change_log& log)
    : zone_(std::move(zone)), log_(log), view_(std::move(view))
{
}

std::optional<vm_name> membership_monitor::pick(const service_name& service,
                                                std::span<const vm_name> tried,
                                                std::uint64_t random, trial_policy trials)
{
    const std::lock_guard lock(mutex_);
    const auto now = boot_clock::now();
    track_service(service, now);
    const auto choice =
        selector_.pick(view_.candidates(service, now), zone_, tried, random, trials);
    return choice ? std::optional(choice->target->vm) : std::nullopt;
}

void membership_monitor::track_service(const service_name& service, mono_time now)
{
    if (tracked_services_.insert(service).second) {
        update_tracked(now);
    }
}

void membership_monitor::update_tracked(mono_time now)
{
    const std::vector<service_name> services(tracked_services_.begin(), tracked_services_.end());
    log_.record(view_.set_called_services(services, now));
    log_.record(view_.apply_list(list_, now));
}

void membership_monitor::set_called_services(const std::vector<service_name>& services)
{
    const std::lock_guard lock(mutex_);
    tracked_services_.insert(services.begin(), services.end());
    update_tracked(boot_clock::now());
}

void membership_monitor::apply_list(const vm_list& list)
{
    const std::lock_guard lock(mutex_);
    list_ = list;
    log_.record(view_.apply_list(list_, boot_clock::now()));
}

void membership_monitor::call_started(const vm_name& vm, mono_time now)
{
    const std::lock_guard lock(mutex_);
    view_.call_started(vm, now);
}

void membership_monitor::call_finished(const vm_name& vm, mono_time started, call_evidence evidence)
{
    const std::lock_guard lock(mutex_);
    log_.record(view_.call_finished(vm, started, evidence, boot_clock::now()));
}

void membership_monitor::drain_announced(const vm_name& vm, vm_incarnation incarnation)
{
    const std::lock_guard lock(mutex_);
    log_.record(view_.drain_announced(vm, incarnation, boot_clock::now()));
}

void membership_monitor::incarnation_seen(const vm_name& vm, vm_incarnation incarnation)
{
    const std::lock_guard lock(mutex_);
    log_.record(view_.incarnation_seen(vm, incarnation, boot_clock::now()));
}

void membership_monitor::peer_reported(const member_report& report)
{
    const std::lock_guard lock(mutex_);
    log_.record(view_.peer_reported(report, boot_clock::now()));
}

void membership_monitor::pause_detected()
{
    const std::lock_guard lock(mutex_);
    log_.record(view_.pause_detected(boot_clock::now()));
}

void membership_monitor::refreshed()
{
    const std::lock_guard lock(mutex_);
    log_.record(view_.refreshed(boot_clock::now()));
}

void membership_monitor::start_leaving()
{
    const std::lock_guard lock(mutex_);
    log_.record(view_.start_leaving(boot_clock::now()));
}

void membership_monitor::tick()
{
    const std::lock_guard lock(mutex_);
    log_.record(view_.tick(boot_clock::now()));
}

member_report membership_monitor::report() const
{
    const std::lock_guard lock(mutex_);
    return view_.report();
}

std::vector<member_status> membership_monitor::marked() const
{
    const std::lock_guard lock(mutex_);
    return view_.suspected_or_leaving();
}

bool membership_monitor::suspects_itself() const
{
    const std::lock_guard lock(mutex_);
    return view_.suspects_itself();
}

} // namespace trefoil
