#include "relay/guarded_run.h"

#include "base/log_event.h"

#include <exception>
#include <typeinfo>

namespace trefoil {

std::size_t guarded_run(asio::io_context& context)
{
    std::size_t failures = 0;
    for (;;) {
        try {
            context.run();
            return failures;
        }
        catch (const std::exception& e) {
            ++failures;
            log_event("handler_failed")
                .add("error", typeid(e).name())
                .add("detail", e.what())
                .add("failures", failures)
                .error();
        }
    }
}

} // namespace trefoil
