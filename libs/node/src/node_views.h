#pragma once

#include "list_snapshot.h"
#include "snapshot_cell.h"

#include "node/runtime_config.h"

#include <atomic>
#include <cstdint>

namespace trefoil {

/// The views in force that the call path reads, and the newest versions that calls mentioned.
struct node_views {
    snapshot_cell<runtime_config> config;
    snapshot_cell<list_snapshot> list;
    /// Highest versions seen in headers; only a reason to ask peers, since any caller can set them.
    std::atomic<std::uint64_t> mentioned_config = 0;
    std::atomic<std::uint64_t> mentioned_list = 0;

    void mention(config_version config_seen, list_revision list_seen)
    {
        raise(mentioned_config, config_seen.value);
        raise(mentioned_list, list_seen.value);
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
