#pragma once

#include "caller_session.h"
#include "connection_resources.h"
#include "node_links.h"
#include "peer_session.h"
#include "session_set.h"
#include "upstream_client.h"

#include "dispatch/memory_relief.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace trefoil {

/// Keeps what the connections of a node hold together within its memory and descriptors, whatever
/// clients do: frees the largest holdings, and closes connections that are idle.
class connection_guard {
public:
    /// The connections whose holdings can be given up.
    struct connections {
        session_set<caller_session>& callers;
        session_set<peer_session>& peers;
        std::set<std::shared_ptr<caller_session>>& probes;
        const upstream_client& upstream;
        node_links& links;
    };

    struct options {
        /// Memory limit of the process, in bytes.
        std::size_t memory_bytes = 0;
        /// Max number of open connections of the process.
        std::size_t max_connections = 0;
    };

    connection_guard(connection_resources& resources, connections c, options o);

    /// Frees memory while the bytes held exceed their limits. Does little unless much was added
    /// since the last call.
    void enforce_memory();

    /// Checks all limits at the next call of `enforce_memory`.
    void check_soon() noexcept { next_check_ = 0; }

    /// Makes room for a connection that was just accepted, beside `reserved` ones to the target.
    /// Closes the callers that have been idle the longest, then those that have been sending a
    /// request the longest, then those with unread answers, then those that send without end behind
    /// a request in progress. Returns false if there is none, so that the new one must be closed.
    bool admit(const std::shared_ptr<caller_session>& accepted, std::size_t reserved);

private:
    /// Bytes that can be freed, and how.
    struct holding {
        std::size_t bytes;
        std::function<void()> free;
    };

    std::vector<holding> holdings();
    void add_caller(const std::shared_ptr<caller_session>& session, std::vector<holding>& list);
    void add_peer(const std::shared_ptr<peer_session>& session, std::vector<holding>& list);
    void free_excess();
    void close(const std::shared_ptr<caller_session>& session);
    /// Order in which connections are closed for others; nothing if this one is not.
    static std::optional<int> closing_rank(const caller_session& session);

    connection_resources& resources_;
    connections connections_;
    options options_;
    /// Total of the account at which the limits are checked again.
    std::size_t next_check_ = 0;
};

} // namespace trefoil
