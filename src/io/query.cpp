#include "io/query.hpp"

#include <curl/curl.h>
#include <memory>

namespace waxwingvale::io {

namespace {

std::string percent_decoded(const std::string& text) {
    int size = 0;
    const std::unique_ptr<char, decltype(&curl_free)> decoded(
        curl_easy_unescape(nullptr, text.c_str(), static_cast<int>(text.size()),
                           &size),
        curl_free);
    return decoded ? std::string(decoded.get(), static_cast<std::size_t>(size))
                   : std::string();
}

} // namespace

std::string query_value(const std::string& target, const std::string& name) {
    const std::string wanted = name + "=";
    auto begin = target.find('?');
    while (begin != std::string::npos) {
        const auto end = target.find('&', begin + 1);
        const auto part = target.substr(begin + 1, end - begin - 1);
        if (part.compare(0, wanted.size(), wanted) == 0) {
            return percent_decoded(part.substr(wanted.size()));
        }
        begin = end;
    }
    return "";
}

} // namespace waxwingvale::io
