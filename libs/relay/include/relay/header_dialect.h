#pragma once

#include <string>

namespace trefoil {

/// Names of the HTTP headers that carry the relay's metadata. An adapter for a platform with other
/// names replaces the defaults.
struct header_dialect {
    /// Id of one attempt of a caller; echoed in the answer.
    std::string request_id = "trefoil-request-id";
    /// Remaining time in milliseconds that the caller waits for the answer.
    std::string time_left = "trefoil-deadline-ms";
    /// Sent to a target: the id of the intended target; a target with another id rejects the
    /// request.
    std::string expected_target = "trefoil-target";
    /// Sent to a target: the service on whose VM the request entered.
    std::string caller_service = "trefoil-caller-service";
    /// Set by targets on each answer that they produced themselves.
    std::string answer_proof = "trefoil-proof";
    /// Set by targets on answers to requests that they did not run.
    std::string not_run = "trefoil-not-run";
    /// A target that calls another service while it runs a request extends the id of that request
    /// by this character and more; 0 if it does not.
    char id_separator = '.';
    /// Set by targets on the answer to a status check: their id.
    std::string target_id = "trefoil-target-id";
    /// Set by targets: running requests, waiting requests and slots, separated by commas.
    std::string target_load = "trefoil-load";
};

} // namespace trefoil
