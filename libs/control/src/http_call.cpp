#include "http_call.h"

#include "control/control_threads.h"

#include <cpprest/http_client.h>

#include <exception>
#include <future>
#include <memory>

namespace trefoil {

namespace {

using web::http::client::http_client;

http_client make_client(const http_call& call)
{
    const bool is_v6 = call.address.find(':') != std::string::npos;
    const auto host = is_v6 ? "[" + call.address + "]" : call.address;
    web::http::client::http_client_config config;
    config.set_timeout(call.timeout);
    config.set_proxy(web::web_proxy(web::web_proxy::disabled));
    return {web::uri("http://" + host + ":" + std::to_string(call.port)), config};
}

web::http::http_request make_request(const http_call& call)
{
    web::http::http_request request(call.body.empty() ? web::http::methods::GET
                                                      : web::http::methods::POST);
    request.set_request_uri(web::uri(call.path));
    if (!call.body.empty()) {
        request.set_body(call.body, "application/json");
    }
    return request;
}

pplx::task<http_response> read_response(const web::http::http_response& response,
                                        std::size_t max_bytes)
{
    http_response result;
    result.status = response.status_code();
    const auto& headers = response.headers();
    const auto version = headers.find("version");
    if (version != headers.end()) {
        result.version = version->second;
    }
    if (result.status != web::http::status_codes::OK) {
        return pplx::task_from_result(result);
    }
    if (!headers.has("Content-Length") || headers.content_length() > max_bytes) {
        return pplx::task_from_exception<http_response>(http_response_too_large());
    }
    return response.extract_vector().then([result](const std::vector<unsigned char>& body) mutable {
        result.body.assign(body.begin(), body.end());
        return result;
    });
}

} // namespace

http_response make_http_call(const http_call& call)
{
    start_control_threads();
    const auto result = std::make_shared<std::promise<http_response>>();
    pplx::cancellation_token_source cancellation;
    auto received = result->get_future();
    try {
        auto client = make_client(call);
        const auto max_bytes = call.max_response_bytes;
        client.request(make_request(call), cancellation.get_token())
            .then([max_bytes](const web::http::http_response& response) {
                return read_response(response, max_bytes);
            })
            .then([result](const pplx::task<http_response>& response) {
                try {
                    result->set_value(response.get());
                }
                catch (...) {
                    result->set_exception(std::current_exception());
                }
            });
        // The timeout of http_client restarts whenever data arrives, so it does not limit the
        // duration of the whole call.
        if (received.wait_for(call.timeout) != std::future_status::ready) {
            cancellation.cancel();
            throw http_call_failed("no response within " + std::to_string(call.timeout.count()) +
                                   " ms");
        }
        return received.get();
    }
    catch (const http_response_too_large&) {
        cancellation.cancel();
        throw;
    }
    catch (const http_call_failed&) {
        throw;
    }
    catch (const std::exception& e) {
        throw http_call_failed(e.what());
    }
}

} // namespace trefoil
