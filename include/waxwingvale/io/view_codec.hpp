#pragma once

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include <waxwingvale/model/error.hpp>
#include <waxwingvale/model/time.hpp>
#include <waxwingvale/model/view.hpp>

namespace waxwingvale::io {

using view_bytes = std::vector<std::uint8_t>;

// Whether the configuration's text goes along with a view. It is by far the
// largest part, and changes hundreds of times a day where beliefs change at
// any moment.
enum class configuration_part {
    included,
    revision_only // the reader has told that it holds this revision
};

// A view as CBOR. Moments travel as ages, because the clocks of two processes
// cannot be compared; `now` is the sender's.
view_bytes encode_view(const view& value, configuration_part part,
                       time_point now);

// Reads views sent by one control process, one after another. It keeps the
// last configuration, so that a file is parsed once and not with every view.
class view_decoder {
public:
    // How a file becomes a configuration: parse_configuration.
    using parser = std::function<result<configuration>(
        std::string_view text, std::string_view file_name,
        std::uint64_t revision)>;

    explicit view_decoder(parser parse);

    // Fails with malformed on bytes that are no view, and with stale when the
    // view only names a revision that was never seen here.
    result<view_ptr> decode(const view_bytes& bytes, time_point now);

private:
    result<void> take_configuration(configuration_text published);

    parser parse_;
    configuration_ptr config_;
    configuration_text published_;
};

} // namespace waxwingvale::io
