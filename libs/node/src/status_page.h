#pragma once

#include "admission_gate.h"
#include "forwarder.h"
#include "local_runner.h"
#include "membership_monitor.h"
#include "node_views.h"
#include "peer_link.h"

#include <string>

namespace trefoil {

/// Sources of the status page.
struct status_sources {
    const settings& node_settings;
    vm_incarnation incarnation;
    const node_views& views;
    const membership_monitor& members;
    const admission_gate& gate;
    const local_runner& runner;
    const inbound_server& inbound;
    const forwarder& forward;
    const once_guard& once;
    const crash_suspects& suspects;
    const published_state& published;
    const peer_link& peers;
};

/// JSON document of `/status`.
std::string status_json(const status_sources& sources);

} // namespace trefoil
