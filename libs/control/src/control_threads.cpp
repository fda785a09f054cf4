#include "control/control_threads.h"

#include "base/log_event.h"

// Before Boost.Asio 1.74, which uses std::exchange without this header.
#include <utility>

#include <pplx/threadpool.h>

#include <exception>
#include <mutex>

namespace trefoil {

void start_control_threads(std::size_t count)
{
    static std::once_flag once;
    std::call_once(once, [&] {
        try {
            crossplat::threadpool::initialize_with_threads(count);
        }
        catch (const std::exception& e) {
            log_event("control_threads_not_set").add("why", e.what()).warning();
        }
    });
}

} // namespace trefoil
