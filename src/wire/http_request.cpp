#include "wire/http_request.hpp"

#include <cctype>

namespace cranemoor::wire {

std::string percent_encode(const std::string& text) {
    static constexpr const char* hex_digits = "0123456789ABCDEF";
    std::string out;
    for (unsigned char c : text) {
        if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '/') {
            out += static_cast<char>(c);
        } else {
            out += '%';
            out += hex_digits[c >> 4];
            out += hex_digits[c & 15];
        }
    }
    return out;
}

}  // namespace cranemoor::wire
