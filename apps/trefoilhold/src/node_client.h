#pragma once

#include <cpprest/json.h>
#include <pplx/pplxtasks.h>

#include <chrono>
#include <string>

namespace trefoil {

/// HTTP client for the control port of one node.
class node_client {
public:
    static constexpr std::chrono::seconds default_timeout{5};

    /// `node` is `HOST:PORT`, with or without `http://`. Throws usage_error.
    explicit node_client(std::string node, std::chrono::seconds timeout = default_timeout);

    /// Requests the JSON object at a path such as `/status`. The task throws node_unreachable or
    /// invalid_node_answer.
    pplx::task<web::json::value> get(const std::string& path) const;

    const std::string& node() const noexcept { return node_; }

private:
    std::string node_;
    std::string base_uri_;
    std::chrono::seconds timeout_;
};

} // namespace trefoil
