#include "io/link_authentication.hpp"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdexcept>

namespace waxwingvale::io {

namespace {

// Changes whenever the meaning of the exchange does.
constexpr const char* protocol_label = "waxwingvale link 1";

std::string hmac_sha256(const std::string& key, const std::uint8_t* data,
                        std::size_t size) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), data, size,
         digest.data(), &length);
    return std::string(reinterpret_cast<const char*>(digest.data()), length);
}

// Each field with its length before it: without that, bytes moved from the
// end of one name to the start of the next would give the same digest.
void append_field(std::string& to, const std::string& field) {
    constexpr unsigned bits_per_byte = 8;
    const auto size = static_cast<std::uint32_t>(field.size());
    for (unsigned shift = 0; shift < 32; shift += bits_per_byte) {
        to.push_back(static_cast<char>((size >> shift) & 0xffU));
    }
    to += field;
}

std::string digest_of(const std::string& key, const std::string& purpose,
                      const link_identity& identity) {
    std::string text;
    append_field(text, protocol_label);
    append_field(text, purpose);
    append_field(text, identity.dialer);
    append_field(text, identity.listener);
    append_field(text, identity.dialer_nonce);
    append_field(text, identity.listener_nonce);
    return hmac_sha256(key, reinterpret_cast<const std::uint8_t*>(text.data()),
                       text.size());
}

} // namespace

std::string fresh_link_nonce() {
    std::string nonce(link_nonce_bytes, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()),
                   static_cast<int>(nonce.size())) != 1) {
        // Going on with a guessable nonce would let recorded links be
        // replayed; the process stops instead.
        throw std::runtime_error("no random bytes from OpenSSL");
    }
    return nonce;
}

std::string listener_proof(const std::string& shared_key,
                           const link_identity& identity) {
    return digest_of(shared_key, "listener proof", identity);
}

std::string dialer_proof(const std::string& shared_key,
                         const link_identity& identity) {
    return digest_of(shared_key, "dialer proof", identity);
}

bool same_secret(const std::string& a, const std::string& b) {
    return a.size() == b.size() &&
           CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

link_keys derive_link_keys(const std::string& shared_key,
                           const link_identity& identity) {
    return {digest_of(shared_key, "dialer to listener", identity),
            digest_of(shared_key, "listener to dialer", identity)};
}

std::string link_tag(const std::string& direction_key,
                     const std::uint8_t* frame, std::size_t size) {
    return hmac_sha256(direction_key, frame, size).substr(0, link_tag_bytes);
}

} // namespace waxwingvale::io
