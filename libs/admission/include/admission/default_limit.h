#pragma once

#include "admission/aimd_limit.h"

namespace trefoil {

/// The limit the node uses. In `overload_experiment` it met every target. static_limit did too, but
/// uses only two thirds of an upstream that has half more slots than configured; gradient_limit
/// fell to 0.948 of the capacity at 2x demand; queue_delay_limit came within 0.004 of the goodput
/// target and needed the whole 2 s to recover.
using default_limit = aimd_limit;

} // namespace trefoil
