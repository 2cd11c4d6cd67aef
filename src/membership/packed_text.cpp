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

// Releases zlib's state on every path out of unpack().
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
        // The buffer has the size that zlib requires, so the only possible
        // failure is a lack of memory. Sending the buffer as it is would send a
        // corrupt file.
        throw std::bad_alloc();
    }
    packed.resize(size);
    return packed;
}

result<std::string> unpack(const packed_text& packed, std::size_t limit) {
    inflater from;
    if (!from.ready) {
        return error{error_code::resource_exhausted, unpack_step, "",
                     "zlib could not allocate its state"};
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
            return malformed("text exceeds the size limit");
        }
    }
    if (state != Z_STREAM_END) {
        return malformed("compressed data is truncated or corrupt");
    }
    return text;
}

} // namespace waxwingvale::membership
