#include "inbound_server.h"

#include "wire/call_headers.h"

#include <gsl/util>

namespace trefoil {

inbound_server::inbound_server(const settings& s, vm_incarnation incarnation, local_runner& runner,
                               admission_gate& gate, flow_fractions& fractions)
    : settings_(s), incarnation_(incarnation), runner_(runner), gate_(gate), fractions_(fractions)
{
}

asio::awaitable<call_response> inbound_server::serve(call& c, std::uint32_t allowance)
{
    allowances_.open(c.id, allowance);
    active_.add(c.id, {c.context.depth, c.deadline});
    std::uint32_t unused = 0;
    call_response response;
    {
        const auto end = gsl::finally([&] {
            active_.remove(c.id);
            unused = allowances_.close(c.id);
        });
        response = co_await runner_.run(c);
    }
    set_header(response, call_headers::retries_left, std::to_string(unused));
    if (settings_.control) {
        const auto own = gate_.admit_fraction(c.context.kind, c.context.group);
        set_header(response, call_headers::admit, fractions_.header_for(c, settings_.service, own));
    }
    if (runner_.draining()) {
        set_header(response, call_headers::draining, std::to_string(incarnation_.value));
    }
    co_return response;
}

} // namespace trefoil
