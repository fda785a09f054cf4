#include "upstream.h"

#include "base/log_event.h"
#include "call_io/call_listener.h"
#include "call_io/endpoint.h"
#include "call_io/io_threads.h"

#include <boost/asio/signal_set.hpp>
#include <glog/logging.h>

#include <csignal>
#include <iostream>

using namespace trefoil;

namespace {

/// Stops the context once the upstream has finished its work.
void stop_when_idle(asio::io_context& context, upstream& served,
                    const std::shared_ptr<asio::steady_timer>& timer)
{
    if (served.active() == 0) {
        context.stop();
        return;
    }
    timer->expires_after(std::chrono::milliseconds(20));
    timer->async_wait([&context, &served, timer](auto) { stop_when_idle(context, served, timer); });
}

void run(const upstream_options& options)
{
    asio::io_context context(1);
    upstream served(context, options);
    const tcp::endpoint local(asio::ip::make_address(options.address), options.port);
    // The request is moved on, which clang-tidy 14 does not see in a call of a coroutine.
    // NOLINTNEXTLINE(performance-unnecessary-value-param)
    call_listener listener({&context}, local, [&served](call_request request, std::size_t, auto c) {
        return served.handle(std::move(request), std::move(c));
    });
    listener.start();
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, int) {
        served.drain();
        stop_when_idle(context, served, std::make_shared<asio::steady_timer>(context));
    });
    log_event("upstream_started").add("service", options.service).add("port", options.port).info();
    context.run();
    log_event("upstream_stopped").add("service", options.service).info();
}

} // namespace

int main(int argc, char** argv)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    try {
        run(parse_options(argc, argv));
        return 0;
    }
    catch (const invalid_option& e) {
        std::cerr << e.what() << '\n';
        return 2;
    }
    catch (const std::exception& e) {
        std::cerr << "stand_in_upstream: " << e.what() << '\n';
        return 1;
    }
}
