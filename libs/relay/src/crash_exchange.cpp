#include "crash_exchange.h"

#include "content_messages.h"

#include "base/hash.h"
#include "base/log_event.h"

#include <algorithm>
#include <map>
#include <random>
#include <utility>

namespace trefoil {

namespace {

/// Nodes that count a content. One of them may be down.
constexpr std::size_t counting_count = 2;

/// Contents in one message. More than the slots of any target known; the rest is not reported.
constexpr std::size_t most_contents = 1024;

std::uint64_t new_crash_number()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>()(device);
}

} // namespace

crash_exchange::crash_exchange(deadline_queue& deadlines, ways w)
    : deadlines_(deadlines), ways_(std::move(w))
{
}

void crash_exchange::answered(content_fingerprint content, unsigned status)
{
    if (const auto crashes = watch_.crashes_of(content); crashes > 0) {
        log_event("suspect_answered")
            .add("content", content.to_string())
            .add("status", status)
            .add("crashes", crashes)
            .info();
    }
    if (proves_harmless(status)) {
        watch_.served(content, boot_clock::now());
    }
}

std::optional<std::chrono::milliseconds> crash_exchange::held_back(content_fingerprint c) const
{
    return watch_.held_back(c, boot_clock::now());
}

std::vector<std::string> crash_exchange::counting_nodes(content_fingerprint content) const
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const auto& member : ways_.members()) {
        const auto& address = member.name.str();
        ranked.emplace_back(hash64(address, content.value), address);
    }
    const auto count = std::min(counting_count, ranked.size());
    std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count));
    std::vector<std::string> nodes;
    for (std::size_t i = 0; i < count; ++i) {
        nodes.push_back(ranked[i].second);
    }
    return nodes;
}

void crash_exchange::target_crashed(const std::vector<content_fingerprint>& contents)
{
    const auto crash = new_crash_number();
    const auto now = boot_clock::now();
    std::map<std::string, crash_message> messages;
    for (const auto content : contents) {
        if (watch_.was_served(content, now)) {
            continue;
        }
        for (const auto& node : counting_nodes(content)) {
            auto& message = messages[node];
            message.crash = crash;
            if (message.contents.size() < most_contents) {
                message.contents.push_back(content.value);
            }
        }
    }
    log_event("target_crashed")
        .add("running", contents.size())
        .add("told_nodes", messages.size())
        .warning();
    for (const auto& [node, message] : messages) {
        if (node != ways_.own_address) {
            ways_.send(node, encode_message(node_message_kind::crash, message));
            continue;
        }
        for (const auto content : message.contents) {
            count({content}, crash);
        }
    }
}

void crash_exchange::count(content_fingerprint content, std::uint64_t crash)
{
    const auto now = boot_clock::now();
    if (watch_.was_served(content, now)) {
        log_event("crash_not_counted").add("content", content.to_string()).info();
        return;
    }
    const bool is_at_bound = watch_.crashed(content, crash, now);
    if (const auto crashes = watch_.crashes_of(content); crashes > 1) {
        log_event("content_crashed_again")
            .add("content", content.to_string())
            .add("crashes", crashes)
            .warning();
    }
    if (!is_at_bound) {
        return;
    }
    log_event("content_suspected").add("content", content.to_string()).warning();
    send_to_all(encode_message(node_message_kind::content_question,
                               content_question_message{content.value}));
    if (const auto next = watch_.next_due()) {
        deadlines_.at(*next, [this] { settle(); });
    }
}

void crash_exchange::settle()
{
    for (const auto content : watch_.due(boot_clock::now())) {
        const auto left = watch_.memory();
        hold_back(content, left);
        send_to_all(encode_message(
            node_message_kind::hold_back,
            hold_back_message{content.value, static_cast<std::uint32_t>(left.count())}));
    }
    if (const auto next = watch_.next_due()) {
        deadlines_.at(*next, [this] { settle(); });
    }
}

void crash_exchange::hold_back(content_fingerprint content, std::chrono::milliseconds left)
{
    log_event("content_held_back")
        .add("content", content.to_string())
        .add("left_ms", left.count())
        .warning();
    watch_.hold_back(content, left, boot_clock::now());
}

void crash_exchange::send_to_all(const std::string& bytes)
{
    for (const auto& member : ways_.members()) {
        if (member.name.str() != ways_.own_address) {
            ways_.send(member.name.str(), bytes);
        }
    }
}

std::optional<std::string> crash_exchange::reply_to(const raw_node_message& message)
{
    const auto now = boot_clock::now();
    switch (message.kind) {
    case node_message_kind::crash: {
        const auto told = decode_fields<crash_message>(message);
        if (told.contents.size() > most_contents) {
            throw invalid_node_message("too many contents of a crash");
        }
        for (const auto content : told.contents) {
            count({content}, told.crash);
        }
        break;
    }
    case node_message_kind::content_question: {
        const auto content = decode_fields<content_question_message>(message).content;
        if (watch_.was_served({content}, now)) {
            log_event("content_was_served")
                .add("content", content_fingerprint{content}.to_string())
                .info();
            return encode_message(node_message_kind::content_served,
                                  content_served_message{content});
        }
        break;
    }
    case node_message_kind::content_served: {
        const content_fingerprint content{decode_fields<content_served_message>(message).content};
        log_event("content_cleared")
            .add("content", content.to_string())
            .add("crashes", watch_.crashes_of(content))
            .info();
        watch_.cleared(content);
        break;
    }
    case node_message_kind::hold_back: {
        const auto told = decode_fields<hold_back_message>(message);
        hold_back({told.content}, std::chrono::milliseconds(told.left_ms));
        break;
    }
    default:
        break;
    }
    return std::nullopt;
}

} // namespace trefoil
