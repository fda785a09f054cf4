#include "request_trace.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <tuple>

namespace trefoil {

namespace {

struct meaning {
    std::string_view event;
    /// Value of the field `reason`; empty matches any.
    std::string_view reason;
    std::string_view text;
};

/// The first matching entry applies. docs/OPERATIONS.md describes how to respond to each event.
constexpr std::array meanings = {
    meaning{"call_refused", "admit-fraction",
            "refused before any work: a service below admits only this share (level)"},
    meaning{"call_refused", "no-target", "refused, not run: no target could take it"},
    meaning{"call_refused", "no-configuration", "refused, not run: the node had no configuration"},
    meaning{"call_refused", "draining", "refused, not run: the node was about to stop"},
    meaning{"call_refused", "", "refused, not run"},
    meaning{"call_turned_away", "",
            "the node beside the target had no room, or too little time was left; not run"},
    meaning{"call_sent_again", "queue-full", "sent to another target: the queue of one was full"},
    meaning{"call_sent_again", "upstream-shed", "sent to another target: one refused it unrun"},
    meaning{"call_sent_again", "upstream-down", "sent to another target: one was not reachable"},
    meaning{"call_sent_again", "connection-lost",
            "sent to another target: the connection to one was lost and the work may be repeated"},
    meaning{"call_sent_again", "", "sent to another target"},
    meaning{"call_failed", "deadline-passed", "failed: its time was used up; it may have run"},
    meaning{"call_failed", "connection-lost",
            "failed: the connection was lost after the request was sent; it may have run"},
    meaning{"call_failed", "", "failed; it may have run"},
    meaning{"caller_gone", "", "the caller closed its connection before its answer"},
    meaning{"call_cancelled", "", "cancelled at the node beside the target (stopped=0: runs on)"},
    meaning{"answer_invalid", "", "the target sent bytes that are no answer"},
    meaning{"answer_of_other_request", "", "the target sent the answer of another request"},
    meaning{"answer_without_proof", "", "the target's success lacked its proof"},
};

/// Characters that may separate the request id from the suffix of a call id.
constexpr std::string_view call_id_separators = ".:/";

std::size_t parse_number(std::string_view text)
{
    std::size_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

bool belongs_to(std::string_view id, std::string_view request)
{
    // A call id consists of the request id, a separator and a suffix.
    return id.starts_with(request) &&
           (id.size() == request.size() ||
            call_id_separators.find(id[request.size()]) != call_id_separators.npos);
}

void request_trace::add(std::string_view id, const std::string& process, std::string_view text)
{
    auto line = parse_log_line(text);
    if (!line) {
        return;
    }
    dropped += parse_number(line->field("lines_dropped"));
    if (belongs_to(line->field("id"), id)) {
        entries.push_back({line->source.empty() ? process : line->source, std::move(*line)});
    }
}

void request_trace::sort()
{
    std::ranges::stable_sort(entries, {}, [](const entry& e) { return e.line.time; });
}

std::string explain(const log_line& line)
{
    const auto reason = line.field("reason");
    const auto* const it = std::ranges::find_if(meanings, [&](const meaning& m) {
        return m.event == line.event && (m.reason.empty() || m.reason == reason);
    });
    return it == meanings.end() ? std::string() : std::string(it->text);
}

} // namespace trefoil
