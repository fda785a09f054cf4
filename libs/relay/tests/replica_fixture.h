#pragma once

#include "dispatch/target_directory.h"
#include "relay/store_replica.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <string>
#include <vector>

namespace trefoil {

/// Decodes items of the tests: `t/ID` is a target with the value `START SEQUENCE STATE`, `c` the
/// configuration, whose value is its version.
struct plain_items {
    static std::string prefix() { return ""; }

    static std::optional<std::string> target_id(const std::string& key)
    {
        return key.starts_with("t/") ? std::optional(key.substr(2)) : std::nullopt;
    }

    static bool is_config(const std::string& key) { return key == "c"; }

    static target_entry target(const published_item& item)
    {
        std::istringstream text(item.value);
        target_entry entry;
        std::string state;
        if (!(text >> entry.id.start >> entry.update >> state)) {
            throw invalid_item(item.value);
        }
        entry.id.id = *target_id(item.key);
        entry.service = service_name("orders");
        entry.leaving = state == "leaving";
        return entry;
    }

    static traffic_config config(const published_item& item)
    {
        traffic_config config;
        const auto* const end = item.value.data() + item.value.size();
        if (std::from_chars(item.value.data(), end, config.version.value).ptr != end) {
            throw invalid_item(item.value);
        }
        return config;
    }
};

/// What a replica applies its state to: the decisions of a node without its connections.
struct plain_node {
    target_directory targets;
    config_version config;
    mono_time now{std::chrono::hours(1)};

    void put_target(const target_entry& entry) { targets.put(entry); }
    void remove_target(const std::string& id) { targets.remove(id, now); }
    void set_config(const traffic_config& c) { config = std::max(config, c.version); }

    /// State of a target: `ready`, `leaving` or `none`.
    std::string state_of(const std::string& id) const
    {
        const auto target = targets.find(id);
        return !target ? "none" : target->entry.leaving ? "leaving" : "ready";
    }
};

using plain_replica = store_replica<plain_items, plain_node>;

inline published_item target_item(const std::string& id, std::uint64_t revision,
                                  std::uint64_t sequence, const std::string& state = "ready",
                                  std::uint64_t start = 1)
{
    return {"t/" + id, std::to_string(start) + ' ' + std::to_string(sequence) + ' ' + state,
            revision, false};
}

inline published_item config_item(std::uint64_t version, std::uint64_t revision)
{
    return {"c", std::to_string(version), revision, false};
}

inline published_item removal(const std::string& id, std::uint64_t revision)
{
    return {"t/" + id, {}, revision, true};
}

} // namespace trefoil
