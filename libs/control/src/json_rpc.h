#pragma once

// The headers of libjsonrpccpp 0.7 use dynamic exception specifications, which C++17 removed. The
// macro below hides them from the compiler. It is defined after the standard headers and after the
// exception class of the library, whose plain `throw()` must remain. The compiled library still
// enforces the specifications: an exception of any other class that propagates through
// jsonrpc::Client terminates the process. Connectors therefore throw only JsonRpcException, and
// validate a response before the library reads it.
#include <exception>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include <jsonrpccpp/common/exception.h>

#define throw(...)
#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#undef throw

namespace trefoil {

/// JSON-RPC error code for a message that was refused by message_guard or is malformed. The data of
/// the error contains `reason` and `revision`.
inline constexpr int message_refused_code = -32001;

} // namespace trefoil
