#include "dispatch/target_directory.h"

#include <algorithm>
#include <set>

namespace trefoil {

void target_directory::index(const std::shared_ptr<target_state>& target)
{
    by_service_[target->entry.service].push_back(target);
}

void target_directory::unindex(const std::shared_ptr<target_state>& target)
{
    std::erase(by_service_[target->entry.service], target);
}

void target_directory::put(const target_entry& entry)
{
    auto& known = by_id_[entry.id.id];
    // The store may apply a write late, or return from an older copy.
    if (known && is_older(entry, known->entry)) {
        known->unconfirmed = false;
        return;
    }
    const bool is_same_start = known && known->entry.id == entry.id &&
                               known->entry.service == entry.service &&
                               known->entry.address == entry.address;
    if (is_same_start) {
        known->entry = entry;
        known->unconfirmed = false;
        return;
    }
    if (known) {
        unindex(known);
    }
    known = std::make_shared<target_state>();
    known->entry = entry;
    index(known);
}

void target_directory::drop(const std::string& id)
{
    const auto it = by_id_.find(id);
    if (it != by_id_.end()) {
        unindex(it->second);
        by_id_.erase(it);
    }
}

bool target_directory::is_confirming(mono_time now) const
{
    return store_unavailable_ || now < confirm_until_;
}

void target_directory::remove(const std::string& id, mono_time now)
{
    const auto it = by_id_.find(id);
    if (it == by_id_.end()) {
        return;
    }
    if (is_confirming(now) && !it->second->entry.leaving) {
        it->second->unconfirmed = true;
        return;
    }
    drop(id);
}

void target_directory::replace_all(const std::vector<target_entry>& entries, mono_time now)
{
    std::set<std::string> present;
    for (const auto& entry : entries) {
        present.insert(entry.id.id);
        put(entry);
    }
    std::vector<std::string> missing;
    for (const auto& [id, target] : by_id_) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing) {
        remove(id, now);
    }
}

void target_directory::on_store_available(mono_time now)
{
    if (store_unavailable_) {
        store_unavailable_ = false;
        confirm_until_ = now + options_.confirm_time;
    }
}

std::chrono::milliseconds target_directory::confirmation_time_left(mono_time now) const
{
    if (store_unavailable_) {
        return options_.confirm_time;
    }
    return std::max(std::chrono::milliseconds(0),
                    std::chrono::ceil<std::chrono::milliseconds>(confirm_until_ - now));
}

void target_directory::extend_confirmation(std::chrono::milliseconds left, mono_time now)
{
    const auto usable = std::min(left, options_.confirm_time) - options_.report_allowance;
    if (usable.count() > 0) {
        confirm_until_ = std::max(confirm_until_, now + usable);
    }
}

std::vector<std::string> target_directory::expire(mono_time now)
{
    std::vector<std::string> dropped;
    if (is_confirming(now)) {
        return dropped;
    }
    for (const auto& [id, target] : by_id_) {
        if (target->unconfirmed) {
            dropped.push_back(id);
        }
    }
    for (const auto& id : dropped) {
        drop(id);
    }
    return dropped;
}

const std::vector<std::shared_ptr<target_state>>&
target_directory::targets(const service_name& service) const
{
    static const std::vector<std::shared_ptr<target_state>> none;
    const auto it = by_service_.find(service);
    return it == by_service_.end() ? none : it->second;
}

std::shared_ptr<target_state> target_directory::find(const std::string& id) const
{
    const auto it = by_id_.find(id);
    return it == by_id_.end() ? nullptr : it->second;
}

std::shared_ptr<target_state> target_directory::at_address(const std::string& address,
                                                           std::uint16_t port) const
{
    std::shared_ptr<target_state> latest;
    for (const auto& [id, target] : by_id_) {
        const auto& entry = target->entry;
        if (entry.address == address && entry.port == port &&
            (!latest || latest->entry.id.start < entry.id.start)) {
            latest = target;
        }
    }
    return latest;
}

std::vector<target_entry> target_directory::entries() const
{
    std::vector<target_entry> all;
    all.reserve(by_id_.size());
    for (const auto& [id, target] : by_id_) {
        all.push_back(target->entry);
    }
    return all;
}

} // namespace trefoil
