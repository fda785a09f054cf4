#pragma once

#include "metrics/metrics.h"

#include <cstddef>
#include <string>

namespace trefoil {

/// Labels of one counter of calls. Unlike call_labels, it owns the names.
struct series {
    rank_name rank;
    group_name group;
    kind_name kind;
    outcome result = outcome::complete;
    refusal_reason reason = refusal_reason::none;
};

/// Copies the labels.
series make_series(const call_labels& labels);

/// Series for calls above metrics::largest_series: rank, group and kind are `other`; outcome and
/// reason are kept, since they have few possible values.
series overflow_series(const call_labels& labels);

/// Hash that also accepts call_labels, so that a look-up does not copy the names.
struct series_hash {
    using is_transparent = void;
    std::size_t operator()(const series& s) const noexcept;
    std::size_t operator()(const call_labels& s) const noexcept;
};

/// Comparison that also accepts call_labels.
struct series_equal {
    using is_transparent = void;

    template<class Left, class Right>
    bool operator()(const Left& a, const Right& b) const noexcept
    {
        return a.kind == b.kind && a.group == b.group && a.rank == b.rank && a.result == b.result &&
               a.reason == b.reason;
    }
};

/// Escapes a label value for the Prometheus text format.
std::string escape_label_value(const std::string& value);

/// Full name of the series: `trefoil_calls_total{...}`.
std::string format_series(const series& s);

} // namespace trefoil
