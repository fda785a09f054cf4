#pragma once

#include "base/names.h"
#include "base/time.h"
#include "dispatch/target_state.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace trefoil {

/// Tuning of a target_directory.
struct target_directory_options {
    /// Time to wait for missing entries after the store is available again. Entries that expired
    /// while it was unavailable are published again within about two seconds; a target whose entry
    /// is missing after this time is removed.
    std::chrono::milliseconds confirm_time{2500};
    /// Subtracted from the confirmation time that another node reports, so that nodes that report
    /// to each other do not extend it indefinitely. Longer than the usual message latency.
    std::chrono::milliseconds report_allowance{20};
};

/// The known targets by service, as published in the store.
///
/// Failure pattern: the store is unavailable for seconds, entries expire in this time, and after
/// its recovery they are published again one by one. Targets whose entries disappear during this
/// time are kept as unconfirmed until their entry is published again or the confirmation time has
/// passed. Targets that announced that they leave are removed at once.
class target_directory {
public:
    explicit target_directory(target_directory_options options = {}) : options_(options) {}

    /// Replaces all entries by those of a complete read of the store.
    void replace_all(const std::vector<target_entry>& entries, mono_time now);

    /// Adds or updates one entry. An entry older than the known one confirms the target but does
    /// not change it. A new start of a target resets what was learned about it.
    void put(const target_entry& entry);

    /// Removes one entry. The target is kept as unconfirmed while entries are being confirmed.
    void remove(const std::string& id, mono_time now);

    /// Called when the store becomes unavailable.
    void on_store_unavailable() { store_unavailable_ = true; }

    /// Called when the store is available again; starts the confirmation time.
    void on_store_available(mono_time now);

    /// Called when the store has returned from an older copy, in which entries may be missing that
    /// are published again; starts the confirmation time.
    void on_store_returned(mono_time now) { confirm_until_ = now + options_.confirm_time; }

    /// Remaining time for which targets with missing entries are kept; 0 if they are not kept.
    std::chrono::milliseconds confirmation_time_left(mono_time now) const;

    /// Keeps targets with missing entries for the time `left` that another node reported, limited
    /// to `confirm_time` and reduced by `report_allowance`.
    void extend_confirmation(std::chrono::milliseconds left, mono_time now);

    /// Removes unconfirmed targets once the confirmation time has passed. Returns their ids.
    std::vector<std::string> expire(mono_time now);

    /// Targets of a service, including leaving ones. The reference is valid until the next change.
    const std::vector<std::shared_ptr<target_state>>& targets(const service_name& service) const;

    /// The target with this id; null if there is none.
    std::shared_ptr<target_state> find(const std::string& id) const;

    /// The target that published this address and port; null if there is none. If there are
    /// several, the one that started last.
    std::shared_ptr<target_state> at_address(const std::string& address, std::uint16_t port) const;

    /// All entries, to be sent to other nodes.
    std::vector<target_entry> entries() const;

    /// Number of targets.
    std::size_t size() const noexcept { return by_id_.size(); }

private:
    bool is_confirming(mono_time now) const;
    void drop(const std::string& id);
    void index(const std::shared_ptr<target_state>& target);
    void unindex(const std::shared_ptr<target_state>& target);

    target_directory_options options_;
    std::map<std::string, std::shared_ptr<target_state>> by_id_;
    std::map<service_name, std::vector<std::shared_ptr<target_state>>> by_service_;
    bool store_unavailable_ = false;
    mono_time confirm_until_;
};

} // namespace trefoil
