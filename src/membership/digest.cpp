#include <waxwingvale/membership/digest.hpp>

#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::membership {

unsigned bucket_of(const std::string& name) {
    return static_cast<unsigned>(decision::stable_hash(name) % bucket_count);
}

} // namespace waxwingvale::membership
