#pragma once

#include "node/runtime_config.h"

#include "call_io/cancel_token.h"
#include "call_io/message.h"
#include "once/once_decision.h"
#include "wire/call_context.h"

#include <chrono>
#include <cstddef>
#include <memory>

namespace trefoil {

/// A call that this node processes, with its headers resolved against the configuration.
struct call {
    shared_config config;
    const runtime_kind* kind = nullptr;
    call_context context;
    request_id id;
    /// Set only if the caller stated it or if this node generated the id.
    send_attempt attempt;
    /// Value in [0, 1) that is compared with admit fractions; the same at every hop.
    double admit_point = 0.0;
    mono_time arrived;
    mono_time deadline;
    std::string body;
    std::size_t shard = 0;
    std::shared_ptr<cancel_token> cancel;

    std::chrono::nanoseconds time_left() const { return deadline - boot_clock::now(); }
};

} // namespace trefoil
