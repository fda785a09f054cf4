#include "crash_record.h"

#include <algorithm>
#include <utility>

namespace trefoil {

namespace {

/// Maximum number of crashes kept per fingerprint. Two suffice for a quarantine; the others are
/// kept so that releases of older crashes can be matched.
constexpr std::size_t max_crashes = 4;
/// Maximum number of request ids kept per fingerprint. Usually only one or a few requests with the
/// same content are in flight at a crash.
constexpr std::size_t max_ids = 8;

} // namespace

bool crash_record::add_crash(const crash_id& crash, mono_time at, bool released)
{
    const auto known = std::ranges::find(crashes_, crash, &observation::crash);
    if (known != crashes_.end()) {
        // Transit time only adds to the reported time, so the earliest is closest to the crash.
        known->at = std::min(known->at, at);
        if (released && !known->released) {
            known->released = true;
            return true;
        }
        return false;
    }
    if (crashes_.size() == max_crashes) {
        // Released crashes are evicted first, since they do not count.
        const auto oldest = std::ranges::min_element(
            crashes_, {}, [](const observation& o) { return std::pair(!o.released, o.at); });
        if (std::pair(!oldest->released, oldest->at) >= std::pair(!released, at)) {
            return false;
        }
        crashes_.erase(oldest);
    }
    crashes_.push_back({crash, at, released});
    return true;
}

bool crash_record::add_id(const request_id& id)
{
    if (std::ranges::find(ids_, id) != ids_.end()) {
        return false;
    }
    if (ids_.size() == max_ids) {
        return set_ids_incomplete();
    }
    ids_.push_back(id);
    return true;
}

bool crash_record::set_ids_incomplete()
{
    return std::exchange(ids_complete_, false);
}

bool crash_record::release()
{
    bool changed = false;
    for (auto& o : crashes_) {
        changed = !std::exchange(o.released, true) || changed;
    }
    return changed;
}

std::uint32_t crash_record::count() const noexcept
{
    return static_cast<std::uint32_t>(std::ranges::count(crashes_, false, &observation::released));
}

mono_time crash_record::last_counted() const noexcept
{
    mono_time last = mono_time::min();
    for (const auto& o : crashes_) {
        if (!o.released) {
            last = std::max(last, o.at);
        }
    }
    return last;
}

mono_time crash_record::last_crash() const noexcept
{
    mono_time last = mono_time::min();
    for (const auto& o : crashes_) {
        last = std::max(last, o.at);
    }
    return last;
}

bool crash_record::may_have_run(const request_id& id) const noexcept
{
    return !ids_complete_ || std::ranges::find(ids_, id) != ids_.end();
}

crash_report crash_record::report(content_fingerprint fingerprint, mono_time now) const
{
    crash_report result{fingerprint, {}, ids_, ids_complete_};
    for (const auto& o : crashes_) {
        // Rounded down: otherwise the age would grow with each exchange, and the quarantine would
        // end too early.
        const auto age = std::chrono::floor<std::chrono::milliseconds>(now - o.at);
        result.crashes.push_back({o.crash, age, o.released});
    }
    return result;
}

} // namespace trefoil
