#include "control/peer_client.h"

#include "http_call.h"
#include "json_rpc.h"
#include "peer_message_json.h"
#include "spread/message_json.h"

#include <utility>

namespace trefoil {

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_too_large = 413;

/// Throws invalid_message unless the text is a well-formed JSON-RPC response. The library does not
/// check the types of the fields, and a wrong type would terminate the process (see json_rpc.h).
void check_response(const std::string& text)
{
    Json::Value response;
    parse_json_object(text, response);
    if (read_text(response, "jsonrpc", 3) != "2.0" || !response.isMember("id")) {
        throw invalid_message(
            "not a JSON-RPC 2.0 response: 'jsonrpc' is not \"2.0\" or 'id' is missing");
    }
    const bool failed = response.isMember("error");
    if (failed == response.isMember("result")) {
        throw invalid_message("a JSON-RPC response must have either 'result' or 'error'");
    }
    if (failed) {
        const auto& error_object = read_object(response, "error");
        if (!error_object["code"].isInt() || !error_object["message"].isString()) {
            throw invalid_message(
                "a JSON-RPC error must have an integer 'code' and a string 'message'");
        }
    }
}

/// Sends one message with make_http_call. Stores the exception of a failed call, because only
/// JsonRpcException may propagate through the library.
class http_connector : public jsonrpc::IClientConnector {
public:
    http_connector(const peer_endpoint& peer, const peer_client_options& options)
        : peer_(peer), options_(options)
    {
    }

    void SendRPCMessage(const std::string& message, std::string& result) override
    {
        try {
            result = send(message);
        }
        catch (...) {
            failure_ = std::current_exception();
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR);
        }
    }

    const std::exception_ptr& failure() const noexcept { return failure_; }

private:
    std::string send(const std::string& message) const
    {
        try {
            auto response = make_http_call({peer_.address, peer_.port, "/rpc", message,
                                            options_.timeout, options_.max_response_bytes});
            if (response.status == status_too_large) {
                throw peer_refused(message_refusal::oversized, {});
            }
            if (response.status != status_ok) {
                throw invalid_peer_answer("status " + std::to_string(response.status));
            }
            check_response(response.body);
            return std::move(response.body);
        }
        catch (const http_call_failed& e) {
            throw peer_unreachable(e.what());
        }
        catch (const http_response_too_large& e) {
            throw invalid_peer_answer(e.what());
        }
        catch (const invalid_message& e) {
            throw invalid_peer_answer(e.what());
        }
    }

    const peer_endpoint& peer_;
    const peer_client_options& options_;
    std::exception_ptr failure_;
};

template<class Result, class Request>
Result call(const char* method, const peer_endpoint& peer, const peer_client_options& options,
            const Request& request)
{
    http_connector connector(peer, options);
    jsonrpc::Client client(connector);
    try {
        Json::Value json;
        client.CallMethod(method, to_json_value(request), json);
        Result result;
        read_json(json, result);
        return result;
    }
    catch (const jsonrpc::JsonRpcException& e) {
        if (connector.failure()) {
            std::rethrow_exception(connector.failure());
        }
        if (e.GetCode() != message_refused_code) {
            throw invalid_peer_answer(e.what());
        }
        try {
            const auto refusal = read_refusal(e.GetData());
            throw peer_refused(refusal.reason, refusal.revision);
        }
        catch (const invalid_message& invalid) {
            throw invalid_peer_answer(invalid.what());
        }
    }
    catch (const invalid_message& e) {
        throw invalid_peer_answer(e.what());
    }
}

} // namespace

peer_unreachable::peer_unreachable(const std::string& detail)
    : peer_call_failed("peer unreachable: " + detail)
{
}

peer_refused::peer_refused(message_refusal reason, list_revision revision)
    : peer_call_failed("peer refused the message: " + std::string(to_string(reason))),
      reason_(reason), revision_(revision)
{
}

invalid_peer_answer::invalid_peer_answer(const std::string& detail)
    : peer_call_failed("invalid response from the peer: " + detail)
{
}

peer_client::peer_client(peer_client_options options) : options_(options) {}

exchange_message peer_client::exchange(const peer_endpoint& peer, const exchange_message& request)
{
    return call<exchange_message>("exchange", peer, options_, request);
}

fetch_config_result peer_client::fetch_config(const peer_endpoint& peer,
                                              const fetch_config_request& request)
{
    return call<fetch_config_result>("fetch_config", peer, options_, request);
}

fetch_list_result peer_client::fetch_list(const peer_endpoint& peer,
                                          const fetch_list_request& request)
{
    return call<fetch_list_result>("fetch_list", peer, options_, request);
}

grant_lease_result peer_client::grant_lease(const peer_endpoint& peer,
                                            const grant_lease_request& request)
{
    return call<grant_lease_result>("grant_lease", peer, options_, request);
}

} // namespace trefoil
