#include "upstream_client.h"

#include "upstream_exchange.h"

namespace trefoil {

namespace {

/// Max idle time of a connection that is reused for a request that is not idempotent. If the target
/// closes the connection as the request arrives, it is unknown whether the request ran.
constexpr std::chrono::milliseconds unrepeatable_idle_limit{1000};

} // namespace

upstream_client::idle_connection::~idle_connection()
{
    if (stream) {
        stream->close();
    }
}

upstream_client::upstream_client(asio::io_context& context,
                                 std::shared_ptr<connection_resources> resources,
                                 deadline_queue& deadlines, tcp::endpoint target,
                                 const header_dialect& names, answer_limits limits)
    : context_(context), resources_(std::move(resources)), deadlines_(deadlines),
      target_(std::move(target)), names_(names), limits_(limits),
      held_(limits.max_total_answer_bytes)
{
}

void upstream_client::record_buffered_bytes(upstream_exchange& exchange, std::size_t bytes)
{
    held_.set(exchange.number(), bytes);
    if (bytes == 0) {
        holders_.erase(exchange.number());
        return;
    }
    holders_[exchange.number()] = &exchange;
    while (const auto largest = held_.holder_to_close()) {
        // Aborting the exchange removes it from `holders_` and `held_`.
        holders_.at(*largest)->abort_for_memory();
    }
}

std::shared_ptr<byte_stream> upstream_client::take_idle(bool idempotent)
{
    const auto now = boot_clock::now();
    while (!idle_.empty()) {
        auto& last = idle_.back();
        if (!idempotent && now - last.since > unrepeatable_idle_limit) {
            return nullptr; // The others have been idle for longer.
        }
        const bool usable = last.stream->is_open() && now < last.usable_until &&
                            !last.stream->has_unexpected_input();
        auto stream = std::move(last.stream);
        idle_.pop_back();
        if (usable) {
            return stream;
        }
        stream->close();
    }
    return nullptr;
}

void upstream_client::keep(std::shared_ptr<byte_stream> stream, std::chrono::milliseconds usable)
{
    // Input on an idle connection belongs to no request, so the connection is closed.
    const std::weak_ptr<byte_stream> weak = stream;
    stream->set_handlers({[weak](auto& buffer) {
                              buffer.consume(buffer.size());
                              if (const auto s = weak.lock()) {
                                  s->close();
                              }
                          },
                          [](auto) {}});
    const auto now = boot_clock::now();
    idle_.emplace_back(std::move(stream), now, now + usable);
}

std::shared_ptr<upstream_exchange> upstream_client::start(const upstream_request& request,
                                                          result_handler done)
{
    auto exchange =
        std::make_shared<upstream_exchange>(*this, ++last_number_, request, std::move(done));
    exchange->start(request, request.was_rejected ? nullptr : take_idle(request.idempotent));
    return exchange;
}

void upstream_client::cancel(const std::shared_ptr<upstream_exchange>& exchange)
{
    exchange->cancel();
}

} // namespace trefoil
