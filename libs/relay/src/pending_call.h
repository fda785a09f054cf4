#pragma once

#include "caller_session.h"
#include "peer_link.h"
#include "relay_call.h"

#include "dispatch/resend_rule.h"
#include "dispatch/route_table.h"
#include "dispatch/target_state.h"
#include "quarantine/content_fingerprint.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace trefoil {

/// One request of a caller on its way through this node.
struct pending_call {
    relay_request request;
    std::weak_ptr<caller_session> caller;
    /// Keeps `way` alive while a newer configuration is in force.
    std::shared_ptr<const route_table> routes;
    const route* way = nullptr;
    service_name service;
    /// Made by the own target in the course of a request that it runs.
    bool nested = false;
    /// Rank of the request that began the chain of calls.
    std::uint32_t rank = 0;
    mono_time deadline;
    /// Deadline of the request that began the chain of calls, at its first hop.
    mono_time request_deadline;
    send_history history;
    std::vector<std::string> tried;
    /// Where the request is now; null while it is nowhere.
    std::shared_ptr<target_state> target;
    std::shared_ptr<peer_link> link;
    std::uint32_t stream = 0;
    std::uint64_t local_ticket = 0;
    bool finished = false;
    /// Set if its content decided what became of it.
    std::optional<content_fingerprint> content;
};

} // namespace trefoil
