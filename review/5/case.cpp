// A node is killed and started again; clients open connections to it at once, keep them, and later
// send bodies within the published limit.

#include "stand_ins.h"

#include <csignal>
#include <string>
#include <thread>
#include <vector>

using namespace std::chrono_literals;
using namespace review;

int main(int argc, char** argv)
{
    open_record(argc > 1 ? argv[1] : ".");
    const network net(1);
    store platform_store(net.store_address(), net.store_port());
    target machines(
        {"i-machines", "bastidores", "caxias", net.node_address(0), net.app_port(), 85, 72},
        [](const http_message&) { return 50ms; });
    platform_store.put(
        "op/config",
        config_text(4, {{"r-book", "book.example", "/book/", "non_idempotent", "bastidores"}},
                    {"bastidores"}));
    platform_store.put(machines.key(), machines.entry("ready", 1));
    sidecar entry(net, {"sidecar-caxias-1", "caxias", "bastidores", 0});
    entry.start();
    if (!entry.wait_ready(10s)) {
        cannot_run("the node is not ready");
    }
    std::this_thread::sleep_for(4s);
    if (is_trouble_on()) {
        entry.signal(SIGKILL);
        while (entry.is_running()) {
            std::this_thread::sleep_for(10ms);
        }
        std::this_thread::sleep_for(300ms);
        entry.start();
    }

    constexpr std::size_t large_body = 2 << 20; // max_body_bytes is 67108864
    std::vector<std::vector<client_result>> results(20);
    std::vector<std::thread> clients;
    for (auto& seen : results) {
        clients.emplace_back([&] {
            client c(entry.address(), entry.outbound_port());
            // As the node starts, connections are refused for some milliseconds.
            for (int i = 0; i < 200 && !c.connect(); ++i) {
                std::this_thread::sleep_for(5ms);
            }
            for (int i = 0; i < 10; ++i) {
                seen.push_back(c.ask({"POST", "book.example", "/book/1", "hour", 5000}));
                std::this_thread::sleep_for(1s);
            }
            for (int i = 0; i < 3; ++i) {
                seen.push_back(
                    c.ask({"POST", "book.example", "/book/1", std::string(large_body, 'b'), 5000}));
            }
        });
    }
    for (auto& c : clients) {
        c.join();
    }

    unsigned denied = 0;
    unsigned asked = 0;
    unsigned answered = 0;
    for (const auto& seen : results) {
        for (const auto& r : seen) {
            ++asked;
            answered += r.status == 200 ? 1 : 0;
            denied += r.status == 413 && !r.has_seal ? 1 : 0;
        }
    }
    record("requests " + std::to_string(asked) + ", answered 200: " + std::to_string(answered) +
           ", denied with 413 though within max_body_bytes: " + std::to_string(denied) +
           " (DENIED: more than 5 + one in 500)");
    return denied > 5 + asked / 500.0 ? 1 : 0;
}
