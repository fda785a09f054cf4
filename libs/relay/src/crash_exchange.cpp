#include "crash_exchange.h"

#include "content_messages.h"

#include "base/log_event.h"

#include <algorithm>
#include <utility>

namespace trefoil {

namespace {

/// Fingerprints in one message about a crash: three for each request, and more than the slots of
/// any target known. The rest is not reported.
constexpr std::size_t most_contents = 2048;

/// Records in one message; twice what a node sends.
constexpr std::size_t most_records = 4096;

/// Time between the questions of a node that starts; it sends and runs requests meanwhile.
constexpr std::chrono::milliseconds first_question_interval{500};

/// Nodes that a node asks at a time when it starts; some may be starting as well.
constexpr std::size_t first_question_count = 3;

/// A node that found none running for longer counts as one after this time: all were started.
constexpr std::chrono::seconds start_time{3};

std::uint64_t new_crash_number()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>()(device);
}

void log_content(const char* event, content_fingerprint content, std::size_t crashes)
{
    log_event(event).add("content", content.to_string()).add("crashes", crashes).warning();
}

} // namespace

crash_exchange::crash_exchange(deadline_queue& deadlines, ways w)
    : deadlines_(deadlines), ways_(std::move(w)), random_(std::random_device{}())
{
}

void crash_exchange::start()
{
    started_ = boot_clock::now();
    ask_for_records();
}

void crash_exchange::answered(const content_scopes& content, unsigned status)
{
    if (const auto crashes = watch_.crashes_of(content.request); crashes > 0) {
        log_event("suspect_answered")
            .add("content", content.request.to_string())
            .add("status", status)
            .add("crashes", crashes)
            .info();
    }
    if (!proves_harmless(status)) {
        return;
    }
    for (const auto scope : content.all()) {
        watch_.served(scope, boot_clock::now());
    }
}

std::optional<std::chrono::milliseconds>
crash_exchange::held_back(const content_scopes& content) const
{
    std::optional<std::chrono::milliseconds> longest;
    for (const auto scope : content.all()) {
        longest = std::max(longest, watch_.held_back(scope, boot_clock::now()));
    }
    return longest;
}

bool crash_exchange::is_suspect(const content_scopes& content) const
{
    return std::ranges::any_of(content.all(),
                               [this](auto scope) { return watch_.crashes_of(scope) > 0; });
}

void crash_exchange::target_crashed(const std::vector<content_scopes>& contents)
{
    const auto now = boot_clock::now();
    crash_message message{new_crash_number(), {}};
    std::vector<content_fingerprint> suspects;
    std::set<content_fingerprint> scopes;
    for (const auto& content : contents) {
        for (const auto scope : content.all()) {
            if (message.contents.size() == most_contents || watch_.was_served(scope, now) ||
                !scopes.insert(scope).second) {
                continue;
            }
            message.contents.push_back(scope.value);
            if (watch_.crashed(scope, message.crash, now)) {
                suspects.push_back(scope);
            }
        }
    }
    log_event("target_crashed")
        .add("crash", message.crash)
        .add("running", contents.size())
        .add("not_served", message.contents.size())
        .warning();
    if (!message.contents.empty()) {
        send_to_all(encode_message(node_message_kind::crash, message));
    }
    for (const auto content : suspects) {
        ask_all(content);
    }
}

void crash_exchange::ask_all(content_fingerprint content)
{
    log_content("content_suspected", content, watch_.crashes_of(content));
    if (asked_.size() == most_contents) {
        asked_.clear(); // Answers that still come clear the content here and are compared later.
    }
    asked_.insert(content);
    send_to_all(encode_message(node_message_kind::content_question,
                               content_question_message{content.value}));
}

void crash_exchange::count_told(const crash_message& told)
{
    if (told.contents.size() > most_contents) {
        throw invalid_node_message("too many contents of a crash");
    }
    const auto now = boot_clock::now();
    content_fingerprint worst;
    std::size_t most = 0;
    for (const auto value : told.contents) {
        const content_fingerprint content{value};
        watch_.crashed(content, told.crash, now);
        if (const auto crashes = watch_.crashes_of(content); crashes > most) {
            worst = content;
            most = crashes;
        }
    }
    if (most > 1) {
        log_content("content_crashed_again", worst, most);
    }
}

void crash_exchange::take_released(content_fingerprint content)
{
    const auto crashes = watch_.crashes_of(content);
    if (!watch_.release(content)) {
        return;
    }
    log_content("content_cleared", content, crashes);
    if (asked_.erase(content) != 0) {
        send_to_all(encode_message(node_message_kind::content_served,
                                   content_served_message{content.value}));
    }
}

std::optional<std::string> crash_exchange::reply_to_request(const records_request_message& request)
{
    const auto now = boot_clock::now();
    if (!request.is_new && request.digest == watch_.digest(now)) {
        return std::nullopt;
    }
    records_message reply{is_new_, {}};
    for (const auto& c : watch_.crashes(now)) {
        reply.records.push_back(
            {c.content.value, c.crash, static_cast<std::uint32_t>(c.age.count()), c.released});
    }
    return encode_message(node_message_kind::records, reply);
}

void crash_exchange::take_records(const records_message& told)
{
    if (told.records.size() > most_records) {
        throw invalid_node_message("too many records of crashes");
    }
    const auto now = boot_clock::now();
    const auto digest = watch_.digest(now);
    for (const auto& r : told.records) {
        watch_.merge({{r.content}, r.crash, std::chrono::milliseconds(r.age_ms), r.released}, now);
    }
    if (is_new_ && !told.is_new) {
        is_new_ = false;
        log_event("crash_records_learned").add("records", told.records.size()).info();
    }
    if (digest != watch_.digest(now)) {
        log_event("crash_records_changed").add("told", told.records.size()).info();
    }
}

std::string crash_exchange::request_text() const
{
    return encode_message(node_message_kind::records_request,
                          records_request_message{watch_.digest(boot_clock::now()), is_new_});
}

void crash_exchange::ask_for_records()
{
    const auto now = boot_clock::now();
    is_new_ = is_new_ && now - started_ < start_time;
    if (!is_new_) {
        return;
    }
    auto peers = ways_.members();
    std::erase_if(peers, [this](const auto& m) { return m.name.str() == ways_.own_address; });
    const auto count = std::min(first_question_count, peers.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::uniform_int_distribution<std::size_t> any(i, peers.size() - 1);
        std::swap(peers[i], peers[any(random_)]);
        ways_.send(peers[i].name.str(), request_text());
    }
    deadlines_.at(now + first_question_interval, [this] { ask_for_records(); });
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
    switch (message.kind) {
    case node_message_kind::crash:
        count_told(decode_fields<crash_message>(message));
        break;
    case node_message_kind::content_question: {
        const auto content = decode_fields<content_question_message>(message).content;
        if (watch_.was_served({content}, boot_clock::now())) {
            log_event("content_was_served")
                .add("content", content_fingerprint{content}.to_string())
                .info();
            return encode_message(node_message_kind::content_served,
                                  content_served_message{content});
        }
        break;
    }
    case node_message_kind::content_served:
        take_released({decode_fields<content_served_message>(message).content});
        break;
    case node_message_kind::records_request:
        return reply_to_request(decode_fields<records_request_message>(message));
    case node_message_kind::records:
        take_records(decode_fields<records_message>(message));
        break;
    default:
        break;
    }
    return std::nullopt;
}

} // namespace trefoil
