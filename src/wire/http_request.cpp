#include "wire/http_request.hpp"

#include <cctype>

namespace cranemoor::wire {

std::string percent_encode(const std::string& text) {
    static constexpr const char* hex_digits = "0123456789ABCDEF";
    std::string encoded;
    for (unsigned char byte : text) {
        if (std::isalnum(byte) != 0 || byte == '-' || byte == '_' || byte == '.' || byte == '/') {
            encoded += static_cast<char>(byte);
        } else {
            encoded += '%';
            encoded += hex_digits[byte >> 4];
            encoded += hex_digits[byte & 15];
        }
    }
    return encoded;
}

}  // namespace cranemoor::wire
