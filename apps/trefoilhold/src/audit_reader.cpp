#include "audit_reader.h"

#include "json_layout.h"
#include "tool_errors.h"

#include <algorithm>
#include <array>
#include <ctime>

namespace trefoil {

namespace {

/// Fields that are printed first, in this order: they describe the change itself.
const std::array<std::string, 5> leading_fields = {"what", "subject", "from", "to", "why"};

std::uint64_t entry_number(const web::json::value& entry)
{
    if (!entry.is_object() || !entry.has_number_field("number") ||
        !entry.at("number").as_number().is_uint64()) {
        throw invalid_audit_trail("an entry has no number");
    }
    return entry.at("number").as_number().to_uint64();
}

std::string format_utc(std::int64_t milliseconds)
{
    const std::time_t seconds = milliseconds / 1000;
    std::tm parts{};
    std::array<char, 32> text{};
    if (milliseconds < 0 || gmtime_r(&seconds, &parts) == nullptr ||
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts) == 0) {
        return std::to_string(milliseconds);
    }
    const auto fraction = std::to_string(1000 + milliseconds % 1000).substr(1);
    return std::string(text.data()) + '.' + fraction + 'Z';
}

} // namespace

std::string audit_reader::next_path() const
{
    return "/audit?after=" + std::to_string(last_number_ == 0 ? 0 : last_number_ - 1);
}

audit_page audit_reader::consume(const web::json::value& answer)
{
    if (!answer.is_object() || !answer.has_array_field("entries")) {
        throw invalid_audit_trail("the answer has no array 'entries'");
    }
    audit_page page;
    auto expected = last_number_ == 0 ? 1 : last_number_;
    for (const auto& entry : answer.at("entries").as_array()) {
        const auto number = entry_number(entry);
        if (number < expected) {
            throw invalid_audit_trail("the entries are not in order");
        }
        if (number == last_number_ && entry == last_entry_) {
            expected = number + 1;
            continue;
        }
        if (number == last_number_) {
            page.restarted = true;
            break;
        }
        // The repeated entry has been read before, so its absence is not counted as a missed entry.
        page.missed += number - expected - (expected == last_number_ ? 1 : 0);
        expected = number + 1;
        page.entries.push_back(entry);
    }
    page.restarted = page.restarted || (last_number_ != 0 && expected == last_number_);
    if (page.restarted) {
        *this = audit_reader();
        return {{}, 0, true};
    }
    if (!page.entries.empty()) {
        last_entry_ = page.entries.back();
        last_number_ = entry_number(last_entry_);
    }
    return page;
}

std::string describe_audit_entry(const web::json::value& entry)
{
    const auto& fields = entry.as_object();
    std::string text = "-";
    if (entry.has_integer_field("time_ms")) {
        text = format_utc(entry.at("time_ms").as_number().to_int64());
    }
    text += " #" + cell_text(entry.at("number"));
    const auto append = [&text](const std::string& name, const web::json::value& value) {
        if (!value.is_string() || !value.as_string().empty()) {
            text += ' ' + cell_text(web::json::value(name)) + '=' + cell_text(value);
        }
    };
    for (const auto& name : leading_fields) {
        if (const auto it = fields.find(name); it != fields.end()) {
            append(name, it->second);
        }
    }
    for (const auto& [name, value] : fields) {
        const bool shown = name == "time_ms" || name == "number" ||
                           std::ranges::find(leading_fields, name) != leading_fields.end();
        if (!shown) {
            append(name, value);
        }
    }
    return text;
}

} // namespace trefoil
