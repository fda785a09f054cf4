#pragma once

#include "control/peer_messages.h"
#include "control/rpc_server.h"
#include "spread/exchange_message.h"

#include <json/json.h>

namespace trefoil {

// Conversion of requests and results from and to JSON. The functions that read JSON throw
// invalid_message if a field is missing, has the wrong type or exceeds its limit.

void read_json(const Json::Value& json, exchange_message& message);
void read_json(const Json::Value& json, fetch_config_request& message);
void read_json(const Json::Value& json, fetch_config_result& message);
void read_json(const Json::Value& json, fetch_list_request& message);
void read_json(const Json::Value& json, fetch_list_result& message);
void read_json(const Json::Value& json, grant_lease_request& message);
void read_json(const Json::Value& json, grant_lease_result& message);

Json::Value to_json_value(const exchange_message& message);
Json::Value to_json_value(const fetch_config_request& message);
Json::Value to_json_value(const fetch_config_result& message);
Json::Value to_json_value(const fetch_list_request& message);
Json::Value to_json_value(const fetch_list_result& message);
Json::Value to_json_value(const grant_lease_request& message);
Json::Value to_json_value(const grant_lease_result& message);

rpc_refusal read_refusal(const Json::Value& json);
Json::Value to_json_value(const rpc_refusal& refusal);

} // namespace trefoil
