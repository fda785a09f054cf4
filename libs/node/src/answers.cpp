#include "answers.h"

#include "wire/call_headers.h"

#include <algorithm>
#include <charconv>

namespace trefoil {

namespace http = boost::beast::http;

namespace {

http::status status_of(outcome reported, refusal_reason reason)
{
    if (reason == refusal_reason::malformed || reason == refusal_reason::unknown_object) {
        return http::status::bad_request;
    }
    return reported == outcome::not_run ? http::status::service_unavailable
                                        : http::status::gateway_timeout;
}

} // namespace

call_response refusal_answer(const request_id& id, outcome reported, refusal_reason reason,
                             std::chrono::milliseconds retry_after)
{
    call_response response(status_of(reported, reason), 11);
    set_header(response, call_headers::request_id, id.to_string());
    set_header(response, call_headers::outcome, to_string(reported));
    set_header(response, call_headers::reason, to_string(reason));
    if (retry_after.count() > 0) {
        set_header(response, call_headers::retry_after_ms, std::to_string(retry_after.count()));
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
        set_header(response, "Retry-After", std::to_string(seconds.count()));
    }
    response.prepare_payload();
    return response;
}

call_response complete_answer(const request_id& id, call_response from_upstream)
{
    set_header(from_upstream, call_headers::request_id, id.to_string());
    set_header(from_upstream, call_headers::outcome, to_string(outcome::complete));
    from_upstream.keep_alive(true);
    from_upstream.prepare_payload();
    return from_upstream;
}

std::string store_answer(const call_response& response)
{
    return std::to_string(response.result_int()) + "\n" + response.body();
}

call_response restore_answer(const request_id& id, std::string_view stored)
{
    const auto line_end = stored.find('\n');
    unsigned status = 0;
    std::from_chars(stored.data(), stored.data() + line_end, status);
    call_response response(static_cast<http::status>(status), 11);
    response.body() = std::string(stored.substr(line_end + 1));
    return complete_answer(id, std::move(response));
}

outcome outcome_of(const call_response& response)
{
    const auto text = header(response, call_headers::outcome);
    if (!text || *text == to_string(outcome::complete)) {
        return outcome::complete;
    }
    return *text == to_string(outcome::not_run) ? outcome::not_run : outcome::unknown;
}

refusal_reason reason_of(const call_response& response)
{
    const auto text = header(response, call_headers::reason).value_or("");
    for (auto r = refusal_reason::none; r <= refusal_reason::cancelled;
         r = static_cast<refusal_reason>(static_cast<int>(r) + 1)) {
        if (to_string(r) == text) {
            return r;
        }
    }
    return refusal_reason::none;
}

} // namespace trefoil
