#include "control/rpc_server.h"

#include "base/log_event.h"
#include "json_rpc.h"
#include "peer_message_json.h"
#include "spread/message_json.h"

#include <utility>

namespace trefoil {

namespace {

/// Passes request bodies to the library and returns its responses. It does not listen on a port,
/// which is done by control_server.
class in_memory_connector : public jsonrpc::AbstractServerConnector {
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }

    bool SendResponse(const std::string& response, void* output) override
    {
        *static_cast<std::string*>(output) = response;
        return true;
    }
};

std::string make_error_response(const Json::Value& id, int code, const std::string& message,
                                const Json::Value& data)
{
    Json::Value response;
    response["jsonrpc"] = "2.0";
    response["id"] = id;
    response["error"]["code"] = code;
    response["error"]["message"] = message;
    response["error"]["data"] = data;
    return write_json(response);
}

std::string make_refusal_response(const Json::Value& id, const rpc_refusal& refusal)
{
    return make_error_response(id, message_refused_code, std::string(to_string(refusal.reason)),
                               to_json_value(refusal));
}

/// Checks the fields that the library reads without validation. Throws invalid_message.
void check_request(const Json::Value& request)
{
    if (read_text(request, "jsonrpc", 3) != "2.0" || read_text(request, "method", 64).empty()) {
        throw invalid_message("not a JSON-RPC 2.0 request");
    }
    read_number(request, "id");
    read_object(request, "params");
}

} // namespace

class rpc_server::impl : public jsonrpc::AbstractServer<rpc_server::impl> {
public:
    explicit impl(rpc_handlers handlers) : impl(std::move(handlers), make_connector()) {}

    std::string handle(const std::string& body)
    {
        Json::Value request;
        message_header header;
        try {
            parse_json_object(body, request);
            check_request(request);
            header = read_header(request["params"]);
        }
        catch (const invalid_message&) {
            handlers_.malformed();
            return make_refusal_response(Json::Value(), {message_refusal::malformed, {}});
        }
        if (const auto refusal = handlers_.admit(header, body.size())) {
            return make_refusal_response(request["id"], *refusal);
        }
        std::string response;
        try {
            connector_->OnRequest(body, &response);
        }
        catch (const std::exception& e) {
            log_event("rpc_handler_failed").add("from", header.from).add("why", e.what()).error();
            return make_error_response(request["id"], jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR,
                                       "internal error", Json::Value());
        }
        return response;
    }

private:
    static std::unique_ptr<in_memory_connector> make_connector()
    {
        return std::make_unique<in_memory_connector>();
    }

    impl(rpc_handlers handlers, std::unique_ptr<in_memory_connector> connector)
        : jsonrpc::AbstractServer<impl>(*connector), connector_(std::move(connector)),
          handlers_(std::move(handlers))
    {
        bind("exchange", &impl::exchange);
        bind("fetch_config", &impl::fetch_config);
        bind("fetch_list", &impl::fetch_list);
        bind("grant_lease", &impl::grant_lease);
    }

    void bind(const char* method, methodPointer_t pointer)
    {
        // No parameters are declared, so the library passes `params` through without validation.
        bindAndAddMethod(
            jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr),
            pointer);
    }

    void exchange(const Json::Value& params, Json::Value& result)
    {
        call(handlers_.exchange, params, result);
    }

    void fetch_config(const Json::Value& params, Json::Value& result)
    {
        call(handlers_.fetch_config, params, result);
    }

    void fetch_list(const Json::Value& params, Json::Value& result)
    {
        call(handlers_.fetch_list, params, result);
    }

    void grant_lease(const Json::Value& params, Json::Value& result)
    {
        call(handlers_.grant_lease, params, result);
    }

    template<class Request, class Result>
    void call(const std::function<Result(const Request&)>& method, const Json::Value& params,
              Json::Value& result)
    {
        Request request;
        try {
            read_json(params, request);
        }
        catch (const invalid_message& e) {
            handlers_.malformed();
            throw jsonrpc::JsonRpcException(message_refused_code, e.what(),
                                            to_json_value(rpc_refusal{}));
        }
        result = to_json_value(method(request));
    }

    std::unique_ptr<in_memory_connector> connector_;
    rpc_handlers handlers_;
};

rpc_server::rpc_server(rpc_handlers handlers) : impl_(std::make_unique<impl>(std::move(handlers)))
{
}

rpc_server::~rpc_server() = default;

std::string rpc_server::handle(const std::string& body)
{
    return impl_->handle(body);
}

} // namespace trefoil
