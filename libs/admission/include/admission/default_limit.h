#pragma once

#include "admission/aimd_limit.h"

namespace trefoil {

/// The limit algorithm used by the node. In `overload_experiment`, aimd_limit met all targets. So
/// did static_limit, but it uses only two thirds of the capacity of an upstream that has 50% more
/// slots than configured. With gradient_limit, goodput fell to 0.948 of the capacity at twice the
/// demand. With queue_delay_limit, goodput was within 0.004 of the target, and recovery took the
/// full 2 s that are allowed.
using default_limit = aimd_limit;

} // namespace trefoil
