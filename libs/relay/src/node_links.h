#pragma once

#include "deadline_queue.h"
#include "peer_link.h"

#include "dispatch/byte_account.h"
#include "dispatch/target_directory.h"
#include "relay/relay_settings.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoil {

/// The connections of this node to the nodes beside targets, one to each that is in use.
class node_links {
public:
    /// `max_buffered_bytes` limits the unfinished messages of all links together; `handlers` is
    /// used for each link.
    node_links(asio::io_context& context, std::shared_ptr<connection_resources> resources,
               deadline_queue& deadlines, const relay_settings& s, target_directory& targets,
               std::size_t max_buffered_bytes, peer_link::handlers handlers)
        : context_(context), resources_(std::move(resources)), deadlines_(deadlines), settings_(s),
          targets_(targets), buffered_bytes_(max_buffered_bytes), handlers_(std::move(handlers))
    {
    }

    /// Returns the link to the node at the address; opens it on first use.
    std::shared_ptr<peer_link> link_to(const std::string& address);

    /// Number of links.
    std::size_t size() const noexcept { return links_.size() + unresponsive_.size(); }

    /// Passes each link that reads a large message to the function, with the bytes it has.
    template<class Function>
    void for_each_partial(Function function) const
    {
        for (const auto& [number, weak] : by_number_) {
            const auto link = weak.lock();
            if (link && link->partial_bytes() > 0) {
                function(link, link->partial_bytes());
            }
        }
    }

    /// Closes links that have been idle for longer than the idle limit, and unresponsive links
    /// whose last request has ended.
    void close_unused(mono_time now);

private:
    std::shared_ptr<peer_link> open(const std::string& address);
    void suspend_targets_at(const std::string& address);
    /// Stores how many bytes of incomplete messages a link buffers. Drops the largest
    /// of them while the total exceeds its limit.
    void record_buffered_bytes(byte_account::holder number, std::size_t bytes);

    asio::io_context& context_;
    std::shared_ptr<connection_resources> resources_;
    deadline_queue& deadlines_;
    const relay_settings& settings_;
    target_directory& targets_;
    byte_account buffered_bytes_;
    peer_link::handlers handlers_;
    std::map<std::string, std::shared_ptr<peer_link>> links_;
    /// Links to nodes that stopped responding; kept until their requests have ended.
    std::vector<std::shared_ptr<peer_link>> unresponsive_;
    std::unordered_map<byte_account::holder, std::weak_ptr<peer_link>> by_number_;
    byte_account::holder last_number_ = 0;
};

} // namespace trefoil
