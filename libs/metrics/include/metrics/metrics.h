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

/// What is known of a finished call.
struct call_labels {
    const rank_name& rank;
    const group_name& group;
    const kind_name& kind;
    outcome result = outcome::complete;
    refusal_reason reason = refusal_reason::none;
};

/// Counters and latency histograms of this node. Thread-safe; each thread writes to its own shard.
class metrics {
public:
    /// Series of calls in one shard; calls beyond are counted under the labels `other`, so that
    /// memory stays bounded.
    static constexpr std::size_t largest_series = 1024;

    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Counts a finished call and its latency, from its arrival to its answer.
    void record_call(const call_labels& labels, std::chrono::nanoseconds latency);

    /// Adds to a counter; `name` as in the text form, optionally with labels, for example
    /// `trefoil_messages_refused_total{reason="replayed"}`.
    void add(std::string_view name, std::uint64_t amount = 1);

    /// Sets a gauge, the last value of which is shown.
    void set(std::string_view name, double value);

    /// Sum over all shards of the calls with these labels.
    std::uint64_t calls(const call_labels& labels) const;

    /// Prometheus text format; for `/metrics`.
    std::string text() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
