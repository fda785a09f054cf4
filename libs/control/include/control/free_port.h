#pragma once

#include <cstdint>
#include <string>

namespace trefoil {

/// A port of this IP address that was free when asked; 0 if none was found. Another process can
/// take it before it is used, so callers try again.
std::uint16_t find_free_port(const std::string& address);

} // namespace trefoil
