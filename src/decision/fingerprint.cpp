#include <waxwingvale/decision/fingerprint.hpp>

#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid.hpp>

namespace waxwingvale::decision {
namespace {

void append_part(std::string& text, const std::string& part) {
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

} // namespace

request_fingerprint fingerprint_of(const std::string& service,
                                   const std::string& method,
                                   const std::string& target,
                                   const std::string& body) {
    std::string text;
    text.reserve(service.size() + method.size() + target.size() + body.size() +
                 32);
    append_part(text, service);
    append_part(text, method);
    append_part(text, target);
    append_part(text, body);
    const auto digest = boost::uuids::name_generator_sha1(boost::uuids::uuid{})(
        text.data(), text.size());
    request_fingerprint fingerprint;
    for (std::size_t at = 0; at < sizeof(fingerprint.value); ++at) {
        fingerprint.value = fingerprint.value << 8U | digest.data[at];
    }
    return fingerprint;
}

} // namespace waxwingvale::decision
