#pragma once

#include "growing_bytes.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <string_view>

namespace trefoil {

/// A Beast body whose buffer counts toward a memory_account: construct the parser's message with a
/// growing_bytes of that account.
struct counted_body {
    using value_type = growing_bytes;

    class reader {
    public:
        template<bool is_request, class Fields>
        reader(boost::beast::http::header<is_request, Fields>& /*header*/, value_type& body)
            : body_(body)
        {
        }

        void init(const boost::optional<std::uint64_t>& /*length*/,
                  boost::system::error_code& error)
        {
            error = {};
        }

        template<class Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& error)
        {
            error = {};
            std::size_t count = 0;
            for (const boost::asio::const_buffer part : boost::beast::buffers_range_ref(buffers)) {
                body_.append({static_cast<const char*>(part.data()), part.size()});
                count += part.size();
            }
            return count;
        }

        void finish(boost::system::error_code& error) { error = {}; }

    private:
        value_type& body_;
    };
};

} // namespace trefoil
