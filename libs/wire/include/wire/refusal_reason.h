#pragma once

#include <cstdint>
#include <string_view>

namespace trefoil {

/// Why a request has no answer of an upstream; sent in the header `trefoil-reason`.
enum class refusal_reason : std::uint8_t {
    none,
    malformed,           ///< A header is missing, contradictory or too large.
    unknown_object,      ///< The group, kind or service is not configured.
    no_configuration,    ///< The node has not accepted a configuration yet.
    draining,            ///< The node or its upstream is shutting down.
    upstream_down,       ///< The upstream does not accept connections.
    upstream_shed,       ///< The upstream rejected the request unexecuted.
    queue_full,          ///< The queue is full, or more urgent work displaced it.
    cannot_finish,       ///< The request could not finish before its deadline.
    deadline_passed,     ///< The deadline passed while the request was queued.
    admit_fraction,      ///< A service on the path rejects this fraction of the flow.
    retry_budget,        ///< A retry was needed, but its allowance or budget is spent.
    no_target,           ///< No target of the service is known or reachable.
    not_owner,           ///< A once-only request reached a target not owning its id.
    no_lease,            ///< No majority of the peers confirms the node's view.
    ownership_uncertain, ///< An earlier owner may have executed the request.
    already_handed_off,  ///< Repeat of a once-only request with unknown answer.
    id_expired,          ///< The id is older than the id lifetime.
    quarantined,         ///< Requests with this content crashed upstreams.
    connection_lost,     ///< The connection failed after the request was written.
    upstream_crashed,    ///< The upstream crashed with this request in flight.
    cancelled,           ///< The caller disconnected or the parent request ended.
};

/// Value of the header, lower case with hyphens, for example `queue-full`.
std::string_view to_string(refusal_reason r) noexcept;

} // namespace trefoil
