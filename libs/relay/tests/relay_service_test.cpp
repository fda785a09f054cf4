#include "node_codec.h"
#include "relay_fixture.h"

#include "relay/relay_service.h"

#include <catch2/catch.hpp>

#include <map>

using namespace std::chrono_literals;
using namespace trefoil;

namespace {

/// An in-memory store that any number of nodes can read.
class memory_store {
public:
    void put(const std::string& key, const std::string& value)
    {
        items_[key] = {key, value, ++revision_, false};
        wake();
    }

    void remove(const std::string& key)
    {
        items_[key] = {key, {}, ++revision_, true};
        wake();
    }

    void read(const std::string& /*prefix*/, const std::string& /*after*/, const read_handler& done)
    {
        std::vector<published_item> present;
        for (const auto& [key, item] : items_) {
            if (!item.removed) {
                present.push_back(item);
            }
        }
        const auto timer = std::make_shared<asio::steady_timer>(context_, read_time);
        timer->async_wait([this, done, present, timer](auto) {
            done({read_status::ok, present, false, revision_, {}});
        });
    }

    void watch(const std::string& /*prefix*/, std::uint64_t revision,
               std::chrono::milliseconds /*wait*/, const read_handler& done)
    {
        watches_.emplace_back(revision, done);
        wake();
    }

    explicit memory_store(asio::io_context& context) : context_(context) {}

    /// Delay of the answer to a read.
    std::chrono::milliseconds read_time{0};

private:
    void wake()
    {
        asio::post(context_, [this] {
            for (auto& [known, done] : std::exchange(watches_, {})) {
                if (known >= revision_) {
                    watches_.emplace_back(known, std::move(done));
                    continue;
                }
                std::vector<published_item> changed;
                for (const auto& [key, item] : items_) {
                    if (item.revision > known) {
                        changed.push_back(item);
                    }
                }
                done({read_status::ok, changed, false, revision_, {}});
            }
        });
    }

    asio::io_context& context_;
    std::map<std::string, published_item> items_;
    std::uint64_t revision_ = 0;
    std::vector<std::pair<std::uint64_t, read_handler>> watches_;
};

/// Decodes each item as a target; the value is the last byte of its address.
struct target_items {
    unsigned short port = 0;

    static std::string prefix() { return ""; }
    static std::optional<std::string> target_id(const std::string& key) { return key; }
    static bool is_config(const std::string& /*key*/) { return false; }
    static traffic_config config(const published_item& /*item*/) { return {}; }

    target_entry target(const published_item& item) const
    {
        target_entry e;
        e.id = {item.key, 1};
        e.service = service_name("orders");
        e.zone = availability_zone_name("a");
        e.address = "127.0.0." + item.value;
        e.port = port;
        e.slots = 4;
        return e;
    }
};

struct relay_service_fixture : relay_fixture {
    using service = relay_service<memory_store, target_items>;

    struct running {
        relay_settings settings;
        std::unique_ptr<service> node;
    };

    memory_store store{context};
    std::vector<std::unique_ptr<running>> nodes;

    running& start(int last_byte)
    {
        auto r = std::make_unique<running>();
        const auto address = asio::ip::make_address_v4("127.0.0." + std::to_string(last_byte));
        const auto at = [&](int offset) {
            return tcp::endpoint(address, static_cast<unsigned short>(port + offset));
        };
        r->settings.vm = vm_name("vm-" + std::to_string(last_byte));
        r->settings.zone = availability_zone_name("a");
        r->settings.service = service_name("orders");
        r->settings.outbound = at(0);
        r->settings.inbound = at(1);
        r->settings.ready = at(2);
        r->settings.upstream = at(3);
        r->node = std::make_unique<service>(context, r->settings, store,
                                            target_items{r->settings.upstream.port()});
        r->node->start();
        nodes.push_back(std::move(r));
        return *nodes.back();
    }

    void run_for(std::chrono::milliseconds time)
    {
        context.run_for(time);
        context.restart();
    }

    /// Returns the number of targets that the node reports as known in its metrics; -1 if missing.
    int targets_of(const running& r)
    {
        const auto page = ask(r.settings.ready, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").body();
        const std::string name = "\ntrefoil_targets_known ";
        const auto at = page.find(name);
        return at == std::string::npos ? -1 : std::stoi(page.substr(at + name.size()));
    }
};

} // namespace

// Guards against continued use of removed targets: a starting node treated the time before its
// first call to the store as an outage and reported that to the other nodes, which then kept the
// targets.
TEST_CASE_METHOD(relay_service_fixture, "relay_service_target_that_left_is_dropped_as_nodes_start")
{
    store.put("i-1", "2");
    store.put("i-2", "3");
    auto& first = start(2);
    run_for(500ms);
    CHECK(targets_of(first) == 2);
    auto& second = start(3);
    run_for(300ms);
    CHECK(targets_of(second) == 2);
    store.put("i-3", "4");
    run_for(300ms);
    store.remove("i-2");
    // Much shorter than the time for which entries are kept after an outage of the store.
    run_for(800ms);
    CHECK(targets_of(first) == 2);
    CHECK(targets_of(second) == 2);
}

// Guards against the same fault if the first state comes from a node that has had no contact with
// the store yet.
TEST_CASE_METHOD(relay_service_fixture, "relay_service_first_state_without_contact_is_no_outage")
{
    store.put("i-1", "2");
    store.put("i-2", "3");
    store.read_time = 400ms;
    auto& node = start(2);
    auto peer = connect(node.settings.inbound);
    state_message state;
    state.version.revision = 1;
    state.items = {{"i-1", "2", 1, false}};
    asio::write(peer, asio::buffer(encode_message(node_message_kind::hello,
                                                  hello_message{"vm-x", "orders", 0}) +
                                   encode_message(node_message_kind::state, state)));
    run_for(1000ms);
    CHECK(targets_of(node) == 2);
    store.remove("i-2");
    run_for(300ms);
    CHECK(targets_of(node) == 1);
}
