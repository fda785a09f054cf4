#pragma once

#include <random>

namespace trefoil {

/// Generator that callers pass to decisions, so that tests can fix the seed.
using random_source = std::mt19937_64;

} // namespace trefoil
