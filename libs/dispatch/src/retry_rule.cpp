#include "dispatch/retry_rule.h"

namespace trefoil {

bool may_retry(const route& r, call_outcome outcome, const send_history& history,
               retry_budget& budget)
{
    switch (outcome) {
    case call_outcome::answered:
        return false;
    case call_outcome::rejected:
    case call_outcome::unreachable:
        return history.unexecuted_attempts <= max_unexecuted_attempts;
    case call_outcome::no_response:
        if (!r.idempotent) {
            return false;
        }
        break;
    case call_outcome::not_run:
        break;
    }
    return history.received_attempts < r.max_attempts && budget.consume_retry();
}

} // namespace trefoil
