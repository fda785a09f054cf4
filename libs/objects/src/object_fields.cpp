#include "object_fields.h"

#include <array>
#include <charconv>

namespace trefoil {

namespace {

std::string format_number(double value)
{
    // Negative zero compares equal to zero, so it must not give a different digest.
    if (value == 0.0) {
        return "0";
    }
    std::array<char, 64> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return {buffer.data(), end.ptr};
}

std::string format_boolean(bool value)
{
    return value ? "true" : "false";
}

std::string format_list(const std::vector<kind_name>& names)
{
    std::string text;
    for (const auto& name : names) {
        text += (text.empty() ? "" : ", ") + toml_string(name.str());
    }
    return "[" + text + "]";
}

object_text to_object_text(const group& g)
{
    return {"group",
            g.name.str(),
            {{"name", toml_string(g.name.str())}, {"share", format_number(g.share)}}};
}

object_text to_object_text(const rank& r)
{
    return {"rank",
            r.name.str(),
            {{"name", toml_string(r.name.str())},
             {"order", std::to_string(r.order)},
             {"share", format_number(r.share)}}};
}

object_text to_object_text(const kind& k)
{
    return {"kind",
            k.name.str(),
            {{"name", toml_string(k.name.str())},
             {"rank", toml_string(k.rank.str())},
             {"entry", toml_string(k.entry.str())},
             {"once_only", format_boolean(k.once_only)},
             {"repeatable", format_boolean(k.repeatable)},
             {"deadline_ms", std::to_string(k.deadline.count())},
             {"retries", std::to_string(k.retries)}}};
}

object_text to_object_text(const service& s)
{
    return {"service",
            s.name.str(),
            {{"name", toml_string(s.name.str())},
             {"slots", std::to_string(s.slots)},
             {"connections", std::to_string(s.connections)}}};
}

object_text to_object_text(const call_edge& edge)
{
    object_text text{"call",
                     edge.from.str() + "->" + edge.to.str(),
                     {{"from", toml_string(edge.from.str())}, {"to", toml_string(edge.to.str())}}};
    if (!edge.kinds.empty()) {
        text.fields.push_back({"kinds", format_list(edge.kinds)});
    }
    return text;
}

template<class Object>
void append(std::vector<object_text>& texts, const std::vector<Object>& objects)
{
    for (const auto& object : objects) {
        texts.push_back(to_object_text(object));
    }
}

} // namespace

std::string toml_string(std::string_view text)
{
    constexpr std::string_view hex = "0123456789ABCDEF";
    std::string out = "\"";
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out.push_back('\\');
            out.push_back(c);
        }
        else if (byte < 0x20 || byte == 0x7f) {
            out += "\\u00";
            out.push_back(hex[byte >> 4U]);
            out.push_back(hex[byte & 0x0fU]);
        }
        else {
            out.push_back(c);
        }
    }
    out.push_back('"');
    return out;
}

std::vector<object_text> canonical_objects(const object_set& objects)
{
    const auto sorted = canonical_order(objects);
    std::vector<object_text> texts;
    append(texts, sorted.groups);
    append(texts, sorted.ranks);
    append(texts, sorted.kinds);
    append(texts, sorted.services);
    append(texts, sorted.calls);
    return texts;
}

} // namespace trefoil
