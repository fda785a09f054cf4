#include "log_line.h"

#include <algorithm>
#include <cctype>

namespace trefoil {

namespace {

constexpr std::string_view event_mark = "] event=";

/// `YYYYMMDD HH:MM:SS.ffffff`, after the letter of the severity.
constexpr std::string_view stamp_form = "00000000 00:00:00.000000";

bool is_stamp(std::string_view text)
{
    return text.size() == stamp_form.size() &&
           std::equal(text.begin(), text.end(), stamp_form.begin(), [](char c, char form) {
               return form == '0' ? std::isdigit(static_cast<unsigned char>(c)) != 0 : c == form;
           });
}

/// Takes the next `key=value`, whose value may be quoted, off the text.
std::pair<std::string, std::string> take_field(std::string_view& text)
{
    const auto middle = std::min(text.find('='), text.size());
    std::pair<std::string, std::string> field;
    field.first = std::string(text.substr(0, middle));
    text.remove_prefix(std::min(middle + 1, text.size()));
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

std::string trimmed(std::string_view text)
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
    const auto mark = text.find(event_mark);
    if (mark == std::string_view::npos) {
        return std::nullopt;
    }
    log_line line;
    const auto before = text.substr(0, mark);
    for (std::size_t at = 1; at + stamp_form.size() <= before.size(); ++at) {
        if (is_stamp(before.substr(at, stamp_form.size()))) {
            line.time = std::string(before.substr(at, stamp_form.size()));
            line.source = trimmed(before.substr(0, at - 1));
            break;
        }
    }
    if (line.time.empty()) {
        return std::nullopt;
    }
    auto rest = text.substr(mark + event_mark.size() - std::string_view("event=").size());
    while (!rest.empty() && (rest.back() == '\n' || rest.back() == '\r')) {
        rest.remove_suffix(1);
    }
    line.event = take_field(rest).second;
    while (!rest.empty()) {
        line.fields.push_back(take_field(rest));
    }
    return line;
}

} // namespace trefoil
