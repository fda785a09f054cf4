#pragma once

#include "dispatch/memory_account.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace trefoil {

/// What all connections of a node share: the account of the bytes they hold, and their number.
struct connection_resources {
    std::shared_ptr<memory_account> memory;
    /// Number of open connections.
    std::size_t open = 0;
    /// Number of connections that only wait for the peer to close them; included in `open`.
    std::size_t lingering = 0;
    /// Maximum of `lingering`.
    std::size_t max_lingering = 0;
    /// Called after the input of a connection was handled, if set: keeps the total of all bytes
    /// within the limit.
    std::function<void()> enforce;
};

/// Counts one connection in a number of connections, for its lifetime.
class connection_count {
public:
    connection_count(std::shared_ptr<connection_resources> resources,
                     std::size_t connection_resources::*number)
        : resources_(std::move(resources)), number_(number)
    {
        ++((*resources_).*number_);
    }
    ~connection_count()
    {
        if (resources_) {
            --((*resources_).*number_);
        }
    }
    connection_count(connection_count&&) noexcept = default;
    connection_count& operator=(connection_count&&) = delete;
    connection_count(const connection_count&) = delete;
    connection_count& operator=(const connection_count&) = delete;

private:
    std::shared_ptr<connection_resources> resources_;
    std::size_t connection_resources::*number_;
};

} // namespace trefoil
