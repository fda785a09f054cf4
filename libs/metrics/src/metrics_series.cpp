#include "metrics_series.h"

#include "base/hash.h"

namespace trefoil {

namespace {

template<class Labels>
std::size_t hash_of(const Labels& s) noexcept
{
    auto h = hash64(s.kind.str());
    h = hash64(s.group.str(), h);
    h = hash64(s.rank.str(), h);
    return mix64(h ^ (static_cast<std::uint64_t>(s.result) << 8U) ^
                 static_cast<std::uint64_t>(s.reason));
}

} // namespace

series make_series(const call_labels& labels)
{
    return {labels.rank, labels.group, labels.kind, labels.result, labels.reason};
}

series overflow_series(const call_labels& labels)
{
    const std::string other = "other";
    return {rank_name(other), group_name(other), kind_name(other), labels.result, labels.reason};
}

std::size_t series_hash::operator()(const series& s) const noexcept
{
    return hash_of(s);
}

std::size_t series_hash::operator()(const call_labels& s) const noexcept
{
    return hash_of(s);
}

std::string escape_label_value(const std::string& value)
{
    std::string out;
    for (const char c : value) {
        if (c == '\n') {
            out += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            out.push_back('\\');
        }
        out.push_back(c);
    }
    return out;
}

std::string format_series(const series& s)
{
    return "trefoil_calls_total{rank=\"" + escape_label_value(s.rank.str()) + "\",group=\"" +
           escape_label_value(s.group.str()) + "\",kind=\"" + escape_label_value(s.kind.str()) +
           "\",outcome=\"" + std::string(to_string(s.result)) + "\",reason=\"" +
           std::string(to_string(s.reason)) + "\"}";
}

} // namespace trefoil
