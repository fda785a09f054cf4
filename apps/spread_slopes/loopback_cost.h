#pragma once

#include "spread/exchange_message.h"

#include <cstddef>

namespace trefoil {

/// Bytes of one exchange on the wire, HTTP and JSON-RPC included, TCP and IP headers not.
struct exchange_bytes {
    std::size_t request = 0;
    std::size_t result = 0;
};

/// Sends the message over loopback and counts. The peer answers with the same content.
exchange_bytes measure_exchange_bytes(const exchange_message& message);

/// Cost of one exchange over loopback, both sides in this process.
struct exchange_cost {
    double cpu_us = 0.0;
    double wall_us = 0.0;
};

/// Makes `count` exchanges one after another and returns the mean.
exchange_cost measure_exchange_cost(const exchange_message& message, std::size_t count);

} // namespace trefoil
