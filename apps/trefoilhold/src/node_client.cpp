#include "node_client.h"

#include "tool_errors.h"

#include <cpprest/http_client.h>

#include <utility>

namespace trefoil {

namespace {

std::string base_uri_of(const std::string& node)
{
    const std::string scheme = "http://";
    const auto text = node.starts_with(scheme) ? node : scheme + node;
    try {
        const web::uri uri(text);
        if (!uri.host().empty() && uri.port() > 0 && uri.is_path_empty()) {
            return uri.to_string();
        }
    }
    catch (const web::uri_exception&) {
        // Handled below, like an address without a port.
    }
    throw usage_error("'" + node + "' is not the HOST:PORT of a node's control port");
}

web::json::value parse_answer(const std::string& node, const std::string& body)
{
    web::json::value value;
    try {
        value = web::json::value::parse(body);
    }
    catch (const web::json::json_exception& e) {
        throw invalid_node_answer(node, e.what());
    }
    if (!value.is_object()) {
        throw invalid_node_answer(node, "not a JSON object");
    }
    return value;
}

pplx::task<web::json::value> read_answer(const std::string& node,
                                         const web::http::http_response& response)
{
    if (response.status_code() != web::http::status_codes::OK) {
        throw invalid_node_answer(node, "status " + std::to_string(response.status_code()));
    }
    // The Content-Type header is ignored; the body only has to be valid JSON.
    return response.extract_utf8string(true).then(
        [node](const std::string& body) { return parse_answer(node, body); });
}

} // namespace

node_client::node_client(std::string node, std::chrono::seconds timeout)
    : node_(std::move(node)), base_uri_(base_uri_of(node_)), timeout_(timeout)
{
}

pplx::task<web::json::value> node_client::get(const std::string& path) const
{
    web::http::client::http_client_config config;
    config.set_timeout(timeout_);
    web::http::client::http_client client(base_uri_, config);
    return client.request(web::http::methods::GET, path)
        .then([node = node_](const web::http::http_response& response) {
            return read_answer(node, response);
        })
        .then([node = node_](const pplx::task<web::json::value>& answer) {
            try {
                return answer.get();
            }
            catch (const web::http::http_exception& e) {
                throw node_unreachable(node, e.what());
            }
        });
}

} // namespace trefoil
