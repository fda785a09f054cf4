#pragma once

#include "port_block.h"
#include "stand_in_target.h"

#include "relay/relay_node.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/beast/http/message.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace trefoil {

/// Relay nodes on loopback addresses, each with a stand-in target. Everything runs on one
/// io_context in the test's thread.
struct relay_fixture {
    using answer = boost::beast::http::response<boost::beast::http::string_body>;

    struct vm {
        relay_settings settings;
        std::unique_ptr<stand_in_target> target;
        std::unique_ptr<relay_node> node;
        std::vector<published_item> received;
    };

    asio::io_context context{1};
    const port_block ports;
    const unsigned short port = ports.first();
    std::vector<std::unique_ptr<vm>> vms;
    /// Memory limit in bytes of the nodes added after this is set.
    std::size_t memory_bytes;
    /// Time from SIGTERM until the process is killed, for the nodes added after this is set.
    std::chrono::milliseconds grace = relay_settings().grace;

    explicit relay_fixture(std::size_t memory = relay_settings().memory_bytes)
        : memory_bytes(memory)
    {
    }

    ~relay_fixture() { context.stop(); }

    /// Adds a VM with a target `id` of the service; `respond` returns the answers of the target.
    vm& add_vm(const std::string& id, const std::string& service,
               std::function<stand_in_target::reply(const stand_in_target::request&)> respond)
    {
        return add_vm(id, service, std::move(respond), context);
    }

    /// Adds a VM whose node runs on a context of its own, so that it can be paused.
    vm& add_vm(const std::string& id, const std::string& service,
               std::function<stand_in_target::reply(const stand_in_target::request&)> respond,
               asio::io_context& node_context)
    {
        auto v = std::make_unique<vm>();
        const auto address = asio::ip::make_address_v4("127.0.0." + std::to_string(2 + vms.size()));
        const auto at = [&](int offset) {
            return tcp::endpoint(address, static_cast<unsigned short>(port + offset));
        };
        v->settings.vm = vm_name("vm-" + id);
        v->settings.zone = availability_zone_name("a");
        v->settings.service = service_name(service);
        v->settings.outbound = at(0);
        v->settings.inbound = at(1);
        v->settings.ready = at(2);
        v->settings.upstream = at(3);
        v->settings.memory_bytes = memory_bytes;
        v->settings.grace = grace;
        v->target = std::make_unique<stand_in_target>(context, at(3), std::move(respond));
        v->node = std::make_unique<relay_node>(node_context, v->settings);
        auto& received = v->received;
        v->node->set_state_exchange(
            {[] {
                 return state_version{{0, 1}, std::nullopt};
             },
             [](const state_version&) { return false; },
             [&received](const published_changes& changes) {
                 received = changes.items;
                 return state_need::nothing;
             },
             [](const published_version&, config_version) {
                 return published_changes{0, {0, 5}, {{"key", "value", 5, false}}, {}};
             },
             [] { return config_version(); }});
        v->node->start();
        vms.push_back(std::move(v));
        return *vms.back();
    }

    static target_entry entry_of(const vm& v, const std::string& id)
    {
        target_entry e;
        e.id = {id, 1};
        e.service = v.settings.service;
        e.zone = v.settings.zone;
        e.address = v.settings.upstream.address().to_string();
        e.port = v.settings.upstream.port();
        e.slots = 4;
        return e;
    }

    static traffic_config
    config_for(const std::string& service, bool idempotent,
               config_version version = config_version{1},
               // Long enough for a busy machine; tests of deadlines set their own.
               std::chrono::milliseconds timeout = std::chrono::minutes(1))
    {
        route r;
        r.name = "route";
        r.host = "shop.example";
        r.prefix = "/work/";
        r.shares = {{service_name(service), 1.0}};
        r.idempotent = idempotent;
        r.timeout = timeout;
        r.max_attempts = 3;
        return {version, {r}, {}};
    }

    /// Applies a configuration and the target entries on all VMs.
    void publish(const traffic_config& config,
                 const std::vector<std::pair<vm*, std::string>>& targets)
    {
        for (const auto& v : vms) {
            v->node->set_config(config);
            for (const auto& [owner, id] : targets) {
                v->node->put_target(entry_of(*owner, id));
            }
        }
    }

    static std::string request_text(const std::string& id, const std::string& more = {},
                                    const std::string& line = "GET /work/1?x=2 HTTP/1.1")
    {
        return line + "\r\nHost: shop.example\r\ntrefoil-request-id: " + id + "\r\n" + more +
               "\r\n";
    }

    tcp::socket connect(const tcp::endpoint& peer)
    {
        tcp::socket socket(context);
        socket.connect(peer);
        return socket;
    }

    /// Sends bytes and reads one answer.
    answer ask(const tcp::endpoint& peer, const std::string& bytes)
    {
        auto socket = connect(peer);
        return ask(socket, bytes);
    }

    answer ask(tcp::socket& socket, const std::string& bytes)
    {
        asio::write(socket, asio::buffer(bytes));
        return read_answer(socket);
    }

    answer read_answer(tcp::socket& socket)
    {
        std::optional<answer> got;
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                boost::beast::http::response_parser<boost::beast::http::string_body> parser;
                boost::system::error_code error;
                co_await boost::beast::http::async_read(
                    socket, buffer_, parser, asio::redirect_error(asio::use_awaitable, error));
                got = parser.release();
            },
            asio::detached);
        run_until([&] { return got.has_value(); });
        return *got;
    }

    template<class Condition>
    void run_until(Condition condition)
    {
        while (!condition()) {
            context.run_one();
        }
    }

private:
    boost::beast::flat_buffer buffer_;
};

} // namespace trefoil
