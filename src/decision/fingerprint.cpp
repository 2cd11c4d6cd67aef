#include <waxwingvale/decision/fingerprint.hpp>

#include <array>

#include <openssl/sha.h>

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
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           digest.data());
    request_fingerprint fingerprint;
    for (std::size_t at = 0; at < sizeof(fingerprint.value); ++at) {
        fingerprint.value = fingerprint.value << 8U | digest[at];
    }
    return fingerprint;
}

} // namespace waxwingvale::decision
