#pragma once

#include "base/names.h"
#include "wire/outcome.h"
#include "wire/refusal_reason.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace trefoil {

/// Labels of a finished call. Refers to names owned by the caller.
struct call_labels {
    const rank_name& rank;
    const group_name& group;
    const kind_name& kind;
    outcome result = outcome::complete;
    refusal_reason reason = refusal_reason::none;
};

/// Counters, gauges and latency histograms of this node. Thread-safe; the threads are distributed
/// over shards to reduce lock contention.
class metrics {
public:
    /// Maximum number of call series in one shard. Calls that would need a further series are
    /// counted under the label value `other`, which bounds the memory.
    static constexpr std::size_t largest_series = 1024;

    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Counts a finished call and adds its latency, from arrival to answer, to the histogram.
    void record_call(const call_labels& labels, std::chrono::nanoseconds latency);

    /// Increases a counter. `name` is the full series name, optionally with labels, for example
    /// `trefoil_messages_refused_total{reason="replayed"}`.
    void add(std::string_view name, std::uint64_t amount = 1);

    /// Sets a gauge; `name` as for add().
    void set(std::string_view name, double value);

    /// Number of calls counted under exactly these labels, over all shards.
    std::uint64_t calls(const call_labels& labels) const;

    /// All series in the Prometheus text format, as served on `/metrics`.
    std::string text() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
