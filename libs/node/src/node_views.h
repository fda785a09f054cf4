#pragma once

#include "list_snapshot.h"
#include "snapshot_cell.h"

#include "node/runtime_config.h"

#include <atomic>
#include <cstdint>

namespace trefoil {

/// The configuration and VM list that the call path reads, and the highest versions seen in calls.
struct node_views {
    snapshot_cell<runtime_config> config;
    snapshot_cell<list_snapshot> list;
    /// Highest versions seen in headers. Any caller can set them, so they are only a reason to
    /// query peers.
    std::atomic<std::uint64_t> highest_config_seen = 0;
    std::atomic<std::uint64_t> highest_list_seen = 0;

    /// Records the versions in the headers of a message.
    void record_versions(config_version config_seen, list_revision list_seen)
    {
        raise(highest_config_seen, config_seen.value);
        raise(highest_list_seen, list_seen.value);
    }

private:
    static void raise(std::atomic<std::uint64_t>& highest, std::uint64_t seen)
    {
        auto current = highest.load();
        while (seen > current && !highest.compare_exchange_weak(current, seen)) {
        }
    }
};

} // namespace trefoil
