#include "spread/message_guard.h"

#include <algorithm>

namespace trefoil {

namespace {

constexpr std::array<std::string_view, message_refusal_count> names{
    "oversized", "malformed", "other-protocol", "other-cluster", "unknown-sender", "replayed"};

} // namespace

std::string_view to_string(message_refusal reason) noexcept
{
    return names[static_cast<std::size_t>(reason)];
}

std::optional<message_refusal> parse_message_refusal(std::string_view text) noexcept
{
    const auto* const it = std::ranges::find(names, text);
    if (it == names.end()) {
        return std::nullopt;
    }
    return static_cast<message_refusal>(it - names.begin());
}

void message_guard::set_members(const std::vector<vm_name>& members)
{
    members_ = {members.begin(), members.end()};
    std::erase_if(senders_, [&](const auto& record) { return !members_.contains(record.first); });
}

std::optional<message_refusal> message_guard::check(const message_header& header, std::size_t bytes)
{
    const auto refusal = evaluate(header, bytes);
    if (refusal) {
        ++refused_[static_cast<std::size_t>(*refusal)];
    }
    return refusal;
}

std::optional<message_refusal> message_guard::evaluate(const message_header& header,
                                                       std::size_t bytes)
{
    if (bytes > options_.max_request_bytes) {
        return message_refusal::oversized;
    }
    if (header.protocol != options_.protocol) {
        return message_refusal::other_protocol;
    }
    if (header.cluster != options_.cluster) {
        return message_refusal::other_cluster;
    }
    if (!members_.contains(header.from)) {
        return message_refusal::unknown_sender;
    }
    if (!accept(senders_[header.from], header)) {
        return message_refusal::replayed;
    }
    return std::nullopt;
}

bool message_guard::accept(sender_window& sender, const message_header& header)
{
    if (header.incarnation < sender.incarnation) {
        return false;
    }
    if (header.incarnation > sender.incarnation) {
        sender = {header.incarnation, header.sequence, 0};
        return true;
    }
    if (header.sequence > sender.highest) {
        const auto step = header.sequence - sender.highest;
        sender.seen = step < window ? sender.seen << step : 0;
        if (step <= window) {
            sender.seen |= std::uint64_t{1} << (step - 1);
        }
        sender.highest = header.sequence;
        return true;
    }
    const auto behind = sender.highest - header.sequence;
    if (behind == 0 || behind > window) {
        return false;
    }
    const auto bit = std::uint64_t{1} << (behind - 1);
    const bool seen = (sender.seen & bit) != 0;
    sender.seen |= bit;
    return !seen;
}

} // namespace trefoil
