// The target of a node sends, in place of one answer in fifty, bytes that are not a response: a
// status line whose status code is no status.

#include "stand_ins.h"

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
    std::atomic<unsigned> answers = 0;
    target machines(
        {"i-machines", "bastidores", "caxias", net.node_address(0), net.app_port()},
        [](const http_message&) { return 50ms; },
        [&](const http_message& request, connection& c) {
            const bool is_faulty = is_trouble_on() && ++answers % 50 == 0;
            if (is_faulty) {
                const auto id = request.header("X-Request-Id");
                record("target i-machines: request " + id + " gets bytes that are not a response");
                c.send("HTTP/1.1 000 \r\nX-Request-Id: " + id +
                       "\r\nContent-Length: 4\r\n\r\n\x01\x02\x03\x04");
            }
            return is_faulty;
        });
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

    std::vector<std::vector<client_result>> results(4);
    std::vector<std::thread> clients;
    for (auto& seen : results) {
        clients.emplace_back([&] {
            client c(entry.address(), entry.outbound_port());
            for (int i = 0; i < 100; ++i) {
                seen.push_back(c.ask({"POST", "book.example", "/book/1", "hour", 5000}));
            }
        });
    }
    for (auto& c : clients) {
        c.join();
    }

    unsigned invalid = 0;
    unsigned answered = 0;
    for (const auto& seen : results) {
        for (const auto& r : seen) {
            answered += r.status != 0 ? 1 : 0;
            invalid += r.invalid.empty() ? 0 : 1;
        }
    }
    record("answers " + std::to_string(answered) + "; bytes that are no answer in the protocol, " +
           "on a connection that stays open: " + std::to_string(invalid) + " (MIXED: any)");
    return invalid > 0 ? 1 : 0;
}
