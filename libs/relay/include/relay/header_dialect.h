#pragma once

#include <string>

namespace trefoil {

/// Names of the headers that carry the relay's own facts. The defaults are those of the project;
/// an adapter for another platform replaces them.
struct header_dialect {
    /// Identity of one attempt of a caller; echoed in the answer.
    std::string request_id = "trefoil-request-id";
    /// Milliseconds that the caller still waits.
    std::string time_left = "trefoil-deadline-ms";
    /// Set towards a target: the id of the target that is meant; any other refuses the request.
    std::string expected_target = "trefoil-target";
    /// Set towards a target: the service on whose VM the request began.
    std::string caller_service = "trefoil-caller-service";
    /// Set by targets on every answer that is really theirs.
    std::string answer_proof = "trefoil-proof";
    /// Set by targets on an answer without having run the request.
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
