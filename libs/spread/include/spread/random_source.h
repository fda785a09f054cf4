#pragma once

#include <random>

namespace trefoil {

/// Random number generator. Passed as a parameter, so that tests can fix the seed.
using random_source = std::mt19937_64;

} // namespace trefoil
