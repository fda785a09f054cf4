#pragma once

#include <cstdint>
#include <string_view>

namespace trefoil {

/// Why a request was not answered by an upstream; sent in `trefoil-reason`.
enum class refusal_reason : std::uint8_t {
    none,
    malformed,           ///< Headers missing, contradictory or too large.
    unknown_object,      ///< The group, kind or service is not configured.
    no_configuration,    ///< The node has accepted no bundle yet.
    draining,            ///< The node or its upstream is leaving.
    upstream_down,       ///< The upstream does not accept connections.
    upstream_shed,       ///< The upstream refused before running the work.
    queue_full,          ///< Displaced by more urgent work or no room to wait.
    cannot_finish,       ///< The deadline would pass before the work could finish.
    deadline_passed,     ///< The deadline passed while waiting.
    admit_fraction,      ///< A service on the path currently refuses this share of the flow.
    retry_budget,        ///< A retry was needed but the allowance or the budget is spent.
    no_target,           ///< No target of the service is known or reachable.
    not_owner,           ///< Once-only work sent to a target that does not own its id.
    no_lease,            ///< The node cannot confirm its view with a majority of its peers.
    ownership_uncertain, ///< The id may have run under an earlier owner.
    already_handed_off,  ///< A repeat of once-only work whose answer is not known.
    id_expired,          ///< The id is older than the id lifetime.
    quarantined,         ///< The content crashed upstreams.
    connection_lost,     ///< The connection failed after the request was written.
    upstream_crashed,    ///< The upstream died with this request in flight.
    cancelled,           ///< The caller went away.
};

/// Text in the header, lower case with hyphens, for example `queue-full`.
std::string_view to_string(refusal_reason r) noexcept;

} // namespace trefoil
