#pragma once

#include "admission/admission_controller.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil::experiment {

/// Type-erased admission_controller, so that a run can select the limit algorithm by name. Each
/// function forwards to the function of the same name.
class any_controller {
public:
    virtual ~any_controller() = default;
    virtual offer_result offer(const work_item& item, mono_time now) = 0;
    virtual admission_changes finish(admission_ticket t, const completion& c, mono_time now) = 0;
    virtual admission_changes cancel(admission_ticket t, mono_time now) = 0;
    virtual admission_changes poll(mono_time now) = 0;
    virtual std::optional<mono_time> next_wakeup(mono_time now) const = 0;
    virtual double admit_fraction(kind_index kind, group_index group) const = 0;
    virtual std::uint32_t limit(mono_time now) const = 0;
};

/// Names accepted by make_controller.
const std::vector<std::string>& limit_names();

/// Name of the limit algorithm that the node uses.
std::string default_limit_name();

/// Creates a controller with the named limit algorithm. Throws std::invalid_argument for an unknown
/// name.
std::unique_ptr<any_controller> make_controller(std::string_view limit_name,
                                                const admission_policy& policy, std::uint64_t seed);

} // namespace trefoil::experiment
