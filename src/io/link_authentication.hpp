#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace waxwingvale::io {

// Both ends' names and nonces, as agreed in the opening exchange of a link.
struct link_identity {
    std::string dialer;
    std::string listener;
    std::string dialer_nonce;
    std::string listener_nonce;
};

constexpr std::size_t link_nonce_bytes = 32;
// HMAC-SHA256 cut to 128 bits (RFC 4868): it is paid on every message.
constexpr std::size_t link_tag_bytes = 16;

// Fresh random bytes by OpenSSL.
std::string fresh_link_nonce();

// What the listener, and then the dialer, shows to prove that it holds the
// shared key. They differ, so that neither can be answered with itself.
std::string listener_proof(const std::string& shared_key,
                           const link_identity& identity);
std::string dialer_proof(const std::string& shared_key,
                         const link_identity& identity);

// Compares without telling by its time where the two differ.
bool same_secret(const std::string& a, const std::string& b);

// The keys of one connection, one for each direction.
struct link_keys {
    std::string dialer_to_listener;
    std::string listener_to_dialer;
};
link_keys derive_link_keys(const std::string& shared_key,
                           const link_identity& identity);

// The tag of an encoded frame.
std::string link_tag(const std::string& direction_key,
                     const std::uint8_t* frame, std::size_t size);

} // namespace waxwingvale::io
