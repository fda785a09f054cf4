#pragma once

#include "dispatch/memory_account.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <msgpack.hpp>

namespace trefoil {

/// Bytes that never change and are shared instead of copied, such as the body of a request on its
/// way through a node. Their buffer is freed, and leaves its memory_account, with the last copy.
class shared_bytes {
public:
    shared_bytes() = default;

    /// Bytes that count toward no account.
    // NOLINTNEXTLINE(google-explicit-constructor): stands for a string in messages.
    shared_bytes(std::string bytes) : shared_bytes(std::move(bytes), memory_lease()) {}
    // NOLINTNEXTLINE(google-explicit-constructor)
    shared_bytes(const char* bytes) : shared_bytes(std::string(bytes)) {}

    /// Bytes whose buffer counts as `lease` says.
    shared_bytes(std::string bytes, memory_lease lease)
    {
        if (!bytes.empty()) {
            const auto held = std::make_shared<holding>(std::move(bytes), std::move(lease));
            view_ = held->bytes;
            owner_ = held;
        }
    }

    /// A part of a buffer that `owner` keeps alive. Without an owner the buffer must outlive this
    /// object and its copies.
    shared_bytes(std::shared_ptr<const void> owner, std::string_view part)
        : owner_(std::move(owner)), view_(part)
    {
    }

    std::string_view view() const noexcept { return view_; }
    std::size_t size() const noexcept { return view_.size(); }
    bool empty() const noexcept { return view_.empty(); }

    /// The part from `at` on.
    shared_bytes from(std::size_t at) const { return {owner_, view_.substr(at)}; }

    /// A part of these bytes, given by a view of it.
    shared_bytes part(std::string_view part_view) const { return {owner_, part_view}; }

    /// True if this keeps its bytes alive.
    bool is_owner() const noexcept { return owner_ != nullptr; }

    friend bool operator==(const shared_bytes& a, const shared_bytes& b) noexcept
    {
        return a.view_ == b.view_;
    }

private:
    struct holding {
        std::string bytes;
        memory_lease lease;

        holding(std::string b, memory_lease l) : bytes(std::move(b)), lease(std::move(l)) {}
    };

    std::shared_ptr<const void> owner_;
    std::string_view view_;
};

} // namespace trefoil

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    /// Decodes to a part of the buffer that is decoded, which must outlive the result.
    template<>
    struct convert<trefoil::shared_bytes> {
        const msgpack::object& operator()(const msgpack::object& o, trefoil::shared_bytes& v) const
        {
            if (o.type != msgpack::type::STR) {
                throw msgpack::type_error();
            }
            v = trefoil::shared_bytes(nullptr, std::string_view(o.via.str.ptr, o.via.str.size));
            return o;
        }
    };

    template<>
    struct pack<trefoil::shared_bytes> {
        template<class Stream>
        msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& p,
                                            const trefoil::shared_bytes& v) const
        {
            p.pack_str(static_cast<std::uint32_t>(v.size()));
            p.pack_str_body(v.view().data(), static_cast<std::uint32_t>(v.size()));
            return p;
        }
    };

    } // namespace adaptor
}
} // namespace msgpack
