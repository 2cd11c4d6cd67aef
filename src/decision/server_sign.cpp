#include <waxwingvale/decision/server_sign.hpp>

namespace waxwingvale::decision {

const char* to_string(server_sign sign) {
    switch (sign) {
    case server_sign::none:
        return "none";
    case server_sign::answered:
        return "answered";
    case server_sign::connection_lost:
        return "connection-lost";
    case server_sign::silent:
        return "silent";
    case server_sign::not_listening:
        return "not-listening";
    case server_sign::replaced:
        return "replaced";
    case server_sign::unlisted:
        return "unlisted";
    }
    return "none";
}

} // namespace waxwingvale::decision
