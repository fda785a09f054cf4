#pragma once

// libjsonrpccpp 0.7 declares dynamic exception specifications, which C++17 removed. They are hidden
// from the compiler here, after the standard headers and its own exception class, which has a
// plain `throw()` that must stay. The compiled library still enforces them: an exception of any
// other class that passes through jsonrpc::Client ends the process, so connectors throw only
// JsonRpcException and check an answer before the library reads it.
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

/// JSON-RPC error code of a message that message_guard refused. Its data holds `reason` and
/// `revision`.
inline constexpr int refused_code = -32001;

} // namespace trefoil
