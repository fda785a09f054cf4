#pragma once

#include "base/names.h"
#include "base/request_id.h"
#include "base/versions.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace trefoil {

/// Parsed headers and path of one call.
struct call_context {
    service_name service;
    /// Path to request from the upstream, with a leading slash.
    std::string path;
    /// Empty if the caller sent none.
    std::optional<request_id> id;
    group_name group;
    kind_name kind;
    /// Time until the deadline; empty if the caller set none.
    std::optional<std::chrono::milliseconds> time_left;
    /// Retries that nodes may still make for the request; empty if the caller stated no number.
    std::optional<std::uint32_t> retries_left;
    /// 0 for the first send of this id, then 1, 2, ...; empty if the caller did not state it.
    std::optional<std::uint32_t> attempt;
    /// Number of hops already passed; 0 on a call from outside.
    std::uint32_t depth = 0;
    /// Id of the request that an upstream was serving when it made this call.
    std::optional<request_id> parent;
    /// The chosen target, on calls that a node forwards; otherwise empty.
    std::optional<vm_name> target;
    /// Revision of the VM list that the sending node uses; 0 if not stated.
    list_revision sender_list;
    /// Version of the configuration that the sending node uses; 0 if not stated.
    config_version sender_config;
};

} // namespace trefoil
