#pragma once

#include "metrics/metrics.h"

#include <cstddef>
#include <string>

namespace trefoil {

/// Labels of one counter of calls, with its own copies of the names.
struct series {
    rank_name rank;
    group_name group;
    kind_name kind;
    outcome result = outcome::complete;
    refusal_reason reason = refusal_reason::none;
};

series series_of(const call_labels& labels);

/// Series for calls beyond the bound: keeps the outcome and the reason, which few values can take.
series other_series(const call_labels& labels);

/// Hash and comparison that also accept call_labels, so that a look-up copies no text.
struct series_hash {
    using is_transparent = void;
    std::size_t operator()(const series& s) const noexcept;
    std::size_t operator()(const call_labels& s) const noexcept;
};

struct series_equal {
    using is_transparent = void;

    template<class Left, class Right>
    bool operator()(const Left& a, const Right& b) const noexcept
    {
        return a.kind == b.kind && a.group == b.group && a.rank == b.rank && a.result == b.result &&
               a.reason == b.reason;
    }
};

/// Value of a label in the text form.
std::string escaped_label(const std::string& value);

/// `trefoil_calls_total{...}`
std::string series_text(const series& s);

} // namespace trefoil
