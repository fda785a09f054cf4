#include "log_line.h"

#include <algorithm>
#include <cctype>

namespace trefoil {

namespace {

constexpr std::string_view event_marker = "] event=";

/// `YYYYMMDD HH:MM:SS.ffffff`, where `0` stands for any digit; glog writes it after the severity
/// letter.
constexpr std::string_view timestamp_pattern = "00000000 00:00:00.000000";

bool is_timestamp(std::string_view text)
{
    return text.size() == timestamp_pattern.size() &&
           std::equal(text.begin(), text.end(), timestamp_pattern.begin(),
                      [](char c, char pattern) {
                          return pattern == '0' ? std::isdigit(static_cast<unsigned char>(c)) != 0
                                                : c == pattern;
                      });
}

/// Parses the next `key=value`, whose value may be quoted, and removes it from the front of `text`.
std::pair<std::string, std::string> parse_field(std::string_view& text)
{
    const auto key_end = std::min(text.find('='), text.size());
    std::pair<std::string, std::string> field;
    field.first = std::string(text.substr(0, key_end));
    text.remove_prefix(std::min(key_end + 1, text.size()));
    const bool is_quoted = text.starts_with('"');
    if (is_quoted) {
        text.remove_prefix(1);
    }
    while (!text.empty()) {
        const char c = text.front();
        text.remove_prefix(1);
        if (is_quoted && c == '\\' && !text.empty()) {
            field.second.push_back(text.front());
            text.remove_prefix(1);
        }
        else if (c == (is_quoted ? '"' : ' ')) {
            break;
        }
        else {
            field.second.push_back(c);
        }
    }
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    return field;
}

std::string trim(std::string_view text)
{
    const auto first = text.find_first_not_of(' ');
    if (first == std::string_view::npos) {
        return {};
    }
    return std::string(text.substr(first, text.find_last_not_of(' ') - first + 1));
}

} // namespace

std::string_view log_line::field(std::string_view key) const
{
    const auto it = std::ranges::find(fields, key, &std::pair<std::string, std::string>::first);
    return it == fields.end() ? std::string_view() : std::string_view(it->second);
}

std::optional<log_line> parse_log_line(std::string_view text)
{
    const auto marker = text.find(event_marker);
    if (marker == std::string_view::npos) {
        return std::nullopt;
    }
    log_line line;
    const auto prefix = text.substr(0, marker);
    for (std::size_t at = 1; at + timestamp_pattern.size() <= prefix.size(); ++at) {
        if (is_timestamp(prefix.substr(at, timestamp_pattern.size()))) {
            line.time = std::string(prefix.substr(at, timestamp_pattern.size()));
            line.source = trim(prefix.substr(0, at - 1));
            break;
        }
    }
    if (line.time.empty()) {
        return std::nullopt;
    }
    auto rest = text.substr(marker + event_marker.size() - std::string_view("event=").size());
    while (!rest.empty() && (rest.back() == '\n' || rest.back() == '\r')) {
        rest.remove_suffix(1);
    }
    line.event = parse_field(rest).second;
    while (!rest.empty()) {
        line.fields.push_back(parse_field(rest));
    }
    return line;
}

} // namespace trefoil
