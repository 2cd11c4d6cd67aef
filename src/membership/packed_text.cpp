#include <waxwingvale/membership/packed_text.hpp>

#include <array>
#include <new>
#include <zlib.h>

namespace waxwingvale::membership {

namespace {

constexpr const char* unpack_step = "unpack text";
constexpr std::size_t piece_bytes = 16384;

error malformed(const char* detail) {
    return {error_code::malformed, unpack_step, "", detail};
}

// Ends zlib's state whichever way unpacking ends.
struct inflater {
    z_stream stream{};
    bool ready = inflateInit(&stream) == Z_OK;

    inflater() = default;
    ~inflater() { inflateEnd(&stream); }
    inflater(const inflater&) = delete;
    inflater& operator=(const inflater&) = delete;
};

} // namespace

packed_text pack(const std::string& text) {
    uLongf size = compressBound(static_cast<uLong>(text.size()));
    packed_text packed(size);
    const auto* from = reinterpret_cast<const Bytef*>(text.data());
    const auto state =
        compress(packed.data(), &size, from, static_cast<uLong>(text.size()));
    if (state != Z_OK) {
        // The buffer has the size that zlib asks for, so only its memory can
        // be missing. Sent as it is, the buffer would be a broken file.
        throw std::bad_alloc();
    }
    packed.resize(size);
    return packed;
}

result<std::string> unpack(const packed_text& packed, std::size_t limit) {
    inflater from;
    if (!from.ready) {
        return error{error_code::resource_exhausted, unpack_step, "",
                     "no memory"};
    }
    from.stream.next_in = const_cast<Bytef*>(packed.data());
    from.stream.avail_in = static_cast<uInt>(packed.size());
    std::string text;
    std::array<char, piece_bytes> piece{};
    int state = Z_OK;
    while (state == Z_OK) {
        from.stream.next_out = reinterpret_cast<Bytef*>(piece.data());
        from.stream.avail_out = static_cast<uInt>(piece.size());
        state = inflate(&from.stream, Z_NO_FLUSH);
        text.append(piece.data(), piece.size() - from.stream.avail_out);
        if (text.size() > limit) {
            return malformed("too long");
        }
    }
    if (state != Z_STREAM_END) {
        return malformed("not whole");
    }
    return text;
}

} // namespace waxwingvale::membership
