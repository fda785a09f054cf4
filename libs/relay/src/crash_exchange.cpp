#include "crash_exchange.h"

#include "content_messages.h"

#include "base/log_event.h"

#include <algorithm>
#include <utility>

namespace trefoil {

namespace {

/// Maximum number of fingerprints in one crash message. Each request has three, and the limit
/// exceeds the slots of any known target. Further fingerprints are not reported.
constexpr std::size_t max_fingerprints = 2048;

/// Maximum number of records accepted in one message; twice what a node sends.
constexpr std::size_t max_records = 4096;

/// Interval between requests for records during startup. The node already forwards and executes
/// requests during this time.
constexpr std::chrono::milliseconds startup_request_interval{500};

/// Number of nodes asked per startup interval; more than one, since some may be starting as well.
constexpr std::size_t startup_request_count = 3;

/// Startup ends after this time even if every node that answered was starting too, which happens
/// when all nodes are started together.
constexpr std::chrono::seconds startup_limit{3};

std::uint64_t new_crash_id()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>()(device);
}

void log_content(const char* event, content_fingerprint content, std::size_t crashes)
{
    log_event(event).add("content", content.to_string()).add("crashes", crashes).warning();
}

} // namespace

crash_exchange::crash_exchange(deadline_queue& deadlines, callbacks c)
    : deadlines_(deadlines), callbacks_(std::move(c)), random_(std::random_device{}())
{
}

void crash_exchange::start()
{
    started_ = boot_clock::now();
    request_records();
}

void crash_exchange::answered(const content_fingerprints& content, unsigned status)
{
    if (const auto crashes = tracker_.crash_count(content.request); crashes > 0) {
        log_event("suspect_answered")
            .add("content", content.request.to_string())
            .add("status", status)
            .add("crashes", crashes)
            .info();
    }
    if (!proves_harmless(status)) {
        return;
    }
    for (const auto fingerprint : content.all()) {
        tracker_.served(fingerprint, boot_clock::now());
    }
}

std::optional<std::chrono::milliseconds>
crash_exchange::quarantine_left(const content_fingerprints& content) const
{
    std::optional<std::chrono::milliseconds> longest;
    for (const auto fingerprint : content.all()) {
        longest = std::max(longest, tracker_.quarantine_left(fingerprint, boot_clock::now()));
    }
    return longest;
}

bool crash_exchange::is_suspect(const content_fingerprints& content) const
{
    return std::ranges::any_of(
        content.all(), [this](auto fingerprint) { return tracker_.crash_count(fingerprint) > 0; });
}

void crash_exchange::target_crashed(const std::vector<content_fingerprints>& contents)
{
    const auto now = boot_clock::now();
    crash_message message{new_crash_id(), {}};
    std::vector<content_fingerprint> suspects;
    std::set<content_fingerprint> fingerprints;
    for (const auto& content : contents) {
        for (const auto fingerprint : content.all()) {
            if (message.contents.size() == max_fingerprints ||
                tracker_.was_served(fingerprint, now) || !fingerprints.insert(fingerprint).second) {
                continue;
            }
            message.contents.push_back(fingerprint.value);
            if (tracker_.crashed(fingerprint, message.crash, now)) {
                suspects.push_back(fingerprint);
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
        query_all(content);
    }
}

void crash_exchange::query_all(content_fingerprint content)
{
    log_content("content_suspected", content, tracker_.crash_count(content));
    if (queried_.size() == max_fingerprints) {
        queried_.clear(); // Late answers still clear the content locally; anti-entropy spreads it.
    }
    queried_.insert(content);
    send_to_all(encode_message(node_message_kind::content_question,
                               content_question_message{content.value}));
}

void crash_exchange::on_crash(const crash_message& message)
{
    if (message.contents.size() > max_fingerprints) {
        throw invalid_node_message("crash message has too many fingerprints");
    }
    const auto now = boot_clock::now();
    content_fingerprint worst;
    std::size_t most = 0;
    for (const auto value : message.contents) {
        const content_fingerprint content{value};
        tracker_.crashed(content, message.crash, now);
        if (const auto crashes = tracker_.crash_count(content); crashes > most) {
            worst = content;
            most = crashes;
        }
    }
    if (most > 1) {
        log_content("content_crashed_again", worst, most);
    }
}

void crash_exchange::on_content_served(content_fingerprint content)
{
    const auto crashes = tracker_.crash_count(content);
    if (!tracker_.release(content)) {
        return;
    }
    log_content("content_cleared", content, crashes);
    if (queried_.erase(content) != 0) {
        send_to_all(encode_message(node_message_kind::content_served,
                                   content_served_message{content.value}));
    }
}

std::optional<std::string> crash_exchange::reply_to_request(const records_request_message& request)
{
    const auto now = boot_clock::now();
    if (!request.is_new && request.digest == tracker_.digest(now)) {
        return std::nullopt;
    }
    records_message reply{is_starting_, {}};
    for (const auto& c : tracker_.crashes(now)) {
        reply.records.push_back(
            {c.content.value, c.crash, static_cast<std::uint32_t>(c.age.count()), c.released});
    }
    return encode_message(node_message_kind::records, reply);
}

void crash_exchange::merge_records(const records_message& message)
{
    if (message.records.size() > max_records) {
        throw invalid_node_message("records message has too many crash records");
    }
    const auto now = boot_clock::now();
    const auto digest = tracker_.digest(now);
    for (const auto& r : message.records) {
        tracker_.merge({{r.content}, r.crash, std::chrono::milliseconds(r.age_ms), r.released},
                       now);
    }
    if (is_starting_ && !message.is_new) {
        is_starting_ = false;
        log_event("crash_records_learned").add("records", message.records.size()).info();
    }
    if (digest != tracker_.digest(now)) {
        log_event("crash_records_changed").add("told", message.records.size()).info();
    }
}

std::string crash_exchange::request_text() const
{
    return encode_message(
        node_message_kind::records_request,
        records_request_message{tracker_.digest(boot_clock::now()), is_starting_});
}

void crash_exchange::request_records()
{
    const auto now = boot_clock::now();
    is_starting_ = is_starting_ && now - started_ < startup_limit;
    if (!is_starting_) {
        return;
    }
    auto peers = callbacks_.members();
    std::erase_if(peers, [this](const auto& m) { return m.name.str() == callbacks_.own_address; });
    const auto count = std::min(startup_request_count, peers.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::uniform_int_distribution<std::size_t> any(i, peers.size() - 1);
        std::swap(peers[i], peers[any(random_)]);
        callbacks_.send(peers[i].name.str(), request_text());
    }
    deadlines_.at(now + startup_request_interval, [this] { request_records(); });
}

void crash_exchange::send_to_all(const std::string& bytes)
{
    for (const auto& member : callbacks_.members()) {
        if (member.name.str() != callbacks_.own_address) {
            callbacks_.send(member.name.str(), bytes);
        }
    }
}

std::optional<std::string> crash_exchange::reply_to(const raw_node_message& message)
{
    switch (message.kind) {
    case node_message_kind::crash:
        on_crash(decode_fields<crash_message>(message));
        break;
    case node_message_kind::content_question: {
        const auto content = decode_fields<content_question_message>(message).content;
        if (tracker_.was_served({content}, boot_clock::now())) {
            log_event("content_was_served")
                .add("content", content_fingerprint{content}.to_string())
                .info();
            return encode_message(node_message_kind::content_served,
                                  content_served_message{content});
        }
        break;
    }
    case node_message_kind::content_served:
        on_content_served({decode_fields<content_served_message>(message).content});
        break;
    case node_message_kind::records_request:
        return reply_to_request(decode_fields<records_request_message>(message));
    case node_message_kind::records:
        merge_records(decode_fields<records_message>(message));
        break;
    default:
        break;
    }
    return std::nullopt;
}

} // namespace trefoil
