#pragma once

#include "base/names.h"
#include "base/request_id.h"
#include "base/versions.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace trefoil {

/// What the headers and the path of one call say.
struct call_context {
    service_name service;
    /// Path for the upstream, with its leading slash.
    std::string path;
    /// Empty if the caller sent none.
    std::optional<request_id> id;
    group_name group;
    kind_name kind;
    std::optional<std::chrono::milliseconds> time_left;
    std::optional<std::uint32_t> retries_left;
    /// Empty if the caller did not say whether this is its first send.
    std::optional<std::uint32_t> attempt;
    std::uint32_t depth = 0;
    /// Set on onward calls of an upstream.
    std::optional<request_id> parent;
    /// Set on calls that a node forwards to a chosen target.
    std::optional<vm_name> target;
    list_revision sender_list;
    config_version sender_config;
};

} // namespace trefoil
