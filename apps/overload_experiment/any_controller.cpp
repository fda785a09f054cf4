#include "any_controller.h"

#include "admission/aimd_limit.h"
#include "admission/default_limit.h"
#include "admission/gradient_limit.h"
#include "admission/queue_delay_limit.h"
#include "admission/static_limit.h"

#include <stdexcept>
#include <type_traits>

namespace trefoil::experiment {

namespace {

template<class Limit>
class typed_controller final : public any_controller {
public:
    typed_controller(const admission_policy& policy, std::uint64_t seed) : inner_(policy, seed) {}

    offer_result offer(const work_item& item, mono_time now) override
    {
        return inner_.offer(item, now);
    }
    admission_changes finish(admission_ticket t, const completion& c, mono_time now) override
    {
        return inner_.finish(t, c, now);
    }
    admission_changes cancel(admission_ticket t, mono_time now) override
    {
        return inner_.cancel(t, now);
    }
    admission_changes poll(mono_time now) override { return inner_.poll(now); }
    std::optional<mono_time> next_wakeup(mono_time now) const override
    {
        return inner_.next_wakeup(now);
    }
    double admit_fraction(kind_index kind, group_index group) const override
    {
        return inner_.admit_fraction(kind, group);
    }
    std::uint32_t limit(mono_time now) const override { return inner_.snapshot(now).limit; }

private:
    admission_controller<Limit> inner_;
};

} // namespace

const std::vector<std::string>& limit_names()
{
    static const std::vector<std::string> names = {"static", "aimd", "gradient", "queue-delay"};
    return names;
}

std::string default_limit_name()
{
    static_assert(std::is_same_v<default_limit, aimd_limit>);
    return "aimd";
}

std::unique_ptr<any_controller> make_controller(std::string_view limit_name,
                                                const admission_policy& policy, std::uint64_t seed)
{
    if (limit_name == "static") {
        return std::make_unique<typed_controller<static_limit>>(policy, seed);
    }
    if (limit_name == "aimd") {
        return std::make_unique<typed_controller<aimd_limit>>(policy, seed);
    }
    if (limit_name == "gradient") {
        return std::make_unique<typed_controller<gradient_limit>>(policy, seed);
    }
    if (limit_name == "queue-delay") {
        return std::make_unique<typed_controller<queue_delay_limit>>(policy, seed);
    }
    throw std::invalid_argument("unknown limit: " + std::string(limit_name));
}

} // namespace trefoil::experiment
