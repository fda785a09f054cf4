#include "node_links.h"

#include "base/log_event.h"

#include <utility>

namespace trefoil {

namespace {

/// Targets of a node that announced its shutdown get no new requests for this time, which is about
/// as long as a restart takes.
constexpr std::chrono::milliseconds leaving_suspension{1000};

/// Links unused for this long are closed.
constexpr std::chrono::seconds link_idle_limit{10};

} // namespace

std::shared_ptr<peer_link> node_links::link_to(const std::string& address)
{
    auto& link = links_[address];
    if (!link) {
        link = open(address);
    }
    return link;
}

void node_links::suspend_targets_at(const std::string& address)
{
    for (const auto& entry : targets_.entries()) {
        const auto target = targets_.find(entry.id.id);
        if (target && target->entry.address == address) {
            target->suspended_until = boot_clock::now() + leaving_suspension;
        }
    }
}

std::shared_ptr<peer_link> node_links::open(const std::string& address)
{
    const auto number = ++last_number_;
    auto handlers = handlers_;
    handlers.leaving = [this, address] { suspend_targets_at(address); };
    handlers.buffered_bytes_changed = [this, number](std::size_t bytes) {
        record_buffered_bytes(number, bytes);
    };
    handlers.unresponsive = [this, address] {
        if (const auto it = links_.find(address); it != links_.end()) {
            unresponsive_.push_back(std::move(it->second));
            links_.erase(it);
        }
    };
    const tcp::endpoint peer(asio::ip::make_address(address), settings_.inbound.port());
    auto link = std::make_shared<peer_link>(
        context_, resources_, deadlines_, peer,
        hello_message{settings_.vm.str(), settings_.service.str()}, std::move(handlers));
    by_number_[number] = link;
    return link;
}

void node_links::record_buffered_bytes(byte_account::holder number, std::size_t bytes)
{
    buffered_bytes_.set(number, bytes);
    while (const auto largest = buffered_bytes_.holder_to_close()) {
        buffered_bytes_.set(*largest, 0);
        if (const auto link = by_number_[*largest].lock()) {
            log_event("peer_answer_dropped")
                .add("reason", "total size of buffered answers exceeds the memory limit")
                .warning();
            link->drop_partial();
        }
    }
}

void node_links::close_unused(mono_time now)
{
    std::erase_if(by_number_, [](const auto& entry) { return entry.second.expired(); });
    std::erase_if(unresponsive_, [](const auto& link) {
        const bool is_over = link->in_flight() == 0;
        if (is_over) {
            link->close();
        }
        return is_over;
    });
    for (auto it = links_.begin(); it != links_.end();) {
        const auto& link = it->second;
        if (link->in_flight() == 0 && now - link->last_used() > link_idle_limit) {
            link->close();
            it = links_.erase(it);
        }
        else {
            ++it;
        }
    }
}

} // namespace trefoil
