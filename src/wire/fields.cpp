#include "wire/fields.hpp"

#include <cmath>

namespace cranemoor::wire {

namespace {

bool is_nonempty_utf8(const Json& value) {
    return value.is_string() && !value.get_ref<const std::string&>().empty() &&
           is_utf8(value.get_ref<const std::string&>());
}

}  // namespace

DecodeError invalid_field(const std::string& field) {
    return {field, "field missing or invalid: " + field};
}

std::string Fields::text(const char* key, std::size_t max_bytes, std::size_t min_bytes) {
    const Json* value = find(key);
    if (value == nullptr || !value->is_string()) {
        reject(key);
        return {};
    }
    const auto& text = value->get_ref<const std::string&>();
    if (text.size() > max_bytes || text.size() < min_bytes || !is_utf8(text)) {
        reject(key);
        return {};
    }
    return text;
}

double Fields::number(const char* key, double min, double max) {
    const Json* value = find(key);
    double number = value != nullptr && value->is_number() ? value->get<double>() : std::nan("");
    if (!std::isfinite(number) || number < min || number > max) {
        reject(key);
        return 0;
    }
    return number;
}

std::optional<double> Fields::number_or_null(const char* key) {
    if (is_null(key)) {
        return std::nullopt;
    }
    return number(key);
}

std::uint64_t Fields::count(const char* key, std::uint64_t min, std::uint64_t max) {
    const Json* value = find(key);
    bool is_count = value != nullptr && value->is_number_integer() &&
                    (value->is_number_unsigned() || value->get<std::int64_t>() >= 0);
    if (!is_count) {
        reject(key);
        return 0;
    }
    auto number = value->get<std::uint64_t>();
    if (number < min || number > max) {
        reject(key);
        return 0;
    }
    return number;
}

bool Fields::flag(const char* key) {
    const Json* value = find(key);
    if (value == nullptr || !value->is_boolean()) {
        reject(key);
        return false;
    }
    return value->get<bool>();
}

std::vector<std::string> Fields::texts(const char* key) {
    const Json* value = find(key);
    if (value == nullptr || !value->is_array()) {
        reject(key);
        return {};
    }
    std::vector<std::string> texts;
    for (const auto& element : *value) {
        if (!is_nonempty_utf8(element)) {
            reject(key);
            return {};
        }
        texts.push_back(element.get<std::string>());
    }
    return texts;
}

bool Fields::is_null(const char* key) const {
    const Json* value = find(key);
    return value == nullptr || value->is_null();
}

void Fields::reject(const char* key) {
    if (!error_) {
        error_ = invalid_field(key);
    }
}

const Json* Fields::find(const char* key) const {
    if (!map_.is_object()) {
        return nullptr;
    }
    auto entry = map_.find(key);
    return entry == map_.end() ? nullptr : &*entry;
}

}  // namespace cranemoor::wire
