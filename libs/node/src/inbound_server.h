#pragma once

#include "active_calls.h"
#include "flow_fractions.h"
#include "local_runner.h"

#include "routing/inbound_allowances.h"

namespace trefoil {

/// Serves calls for which this node's target was chosen: keeps the depth, deadline and retry
/// allowance that their onward calls inherit, and adds the headers of the answer.
class inbound_server {
public:
    inbound_server(const settings& s, vm_incarnation incarnation, local_runner& runner,
                   admission_gate& gate, flow_fractions& fractions);

    /// `allowance` is the number of retries that the call may use on this node and deeper in the
    /// call graph; the unused ones are in the answer's `trefoil-retries-left`.
    asio::awaitable<call_response> serve(call& c, std::uint32_t allowance);

    inbound_allowances& allowances() noexcept { return allowances_; }
    const active_calls& active() const noexcept { return active_; }

private:
    const settings& settings_;
    vm_incarnation incarnation_;
    local_runner& runner_;
    admission_gate& gate_;
    flow_fractions& fractions_;
    inbound_allowances allowances_;
    active_calls active_;
};

} // namespace trefoil
