#include "wire/cbor.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/model/constants.hpp"

namespace cranemoor::wire {

namespace {

// Builds a JSON value from parser events. Rejects byte strings and values that are nested too deep
// before they are built: a maliciously deep value would exhaust the stack, since it is processed
// recursively.
class DepthLimitedBuilder : public nlohmann::json_sax<Json> {
  public:
    bool null() override { return add_value(nullptr) != nullptr; }
    bool boolean(bool value) override { return add_value(value) != nullptr; }
    bool number_integer(number_integer_t value) override { return add_value(value) != nullptr; }
    bool number_unsigned(number_unsigned_t value) override { return add_value(value) != nullptr; }
    bool number_float(number_float_t value, const string_t& /*text*/) override {
        return add_value(value) != nullptr;
    }
    bool string(string_t& value) override { return add_value(std::move(value)) != nullptr; }
    bool binary(binary_t& /*value*/) override { return false; }
    bool start_object(std::size_t /*size*/) override { return begin_container(Json::object()); }
    bool end_object() override { return end_container(); }
    bool start_array(std::size_t /*size*/) override { return begin_container(Json::array()); }
    bool end_array() override { return end_container(); }
    bool key(string_t& name) override {
        member_value_ = &(*open_containers_.back())[name];
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& /*error*/) override {
        return false;
    }
    Json take() { return std::move(root_); }

  private:
    // Appends a value to the innermost open array, or stores it under the key read last, and
    // returns a pointer to the stored value.
    Json* add_value(Json value) {
        if (open_containers_.empty()) {
            root_ = std::move(value);
            return &root_;
        }
        Json& container = *open_containers_.back();
        if (container.is_array()) {
            container.push_back(std::move(value));
            return &container.back();
        }
        *member_value_ = std::move(value);
        return member_value_;
    }
    bool begin_container(Json container) {
        if (open_containers_.size() >= core::constants::message_depth_max) {
            return false;
        }
        open_containers_.push_back(add_value(std::move(container)));
        return true;
    }
    bool end_container() {
        open_containers_.pop_back();
        return true;
    }

    Json root_;
    std::vector<Json*> open_containers_;  // containers not ended yet, outermost first
    Json* member_value_ = nullptr;        // the value slot of the key read last
};

}  // namespace

Decoded<Json> decode_cbor(const std::string& body) {
    DepthLimitedBuilder builder;
    if (!Json::sax_parse(body, &builder, Json::input_format_t::cbor)) {
        return DecodeError{"", "not CBOR"};
    }
    return builder.take();
}

Decoded<Json> decode_cbor_map(const std::string& body) {
    auto value = decode_cbor(body);
    if (value && !value->is_object()) {
        return DecodeError{"", "not a map"};
    }
    return value;
}

std::string encode_cbor(const Json& value) {
    std::string encoded;
    Json::to_cbor(value, encoded);
    return encoded;
}

bool is_utf8(const std::string& text) {
    bool is_ascii = std::all_of(text.begin(), text.end(),
                                [](char c) { return static_cast<unsigned char>(c) < 0x80; });
    if (is_ascii) {
        return true;
    }
    try {
        (void)Json(text).dump();
        return true;
    } catch (const Json::type_error&) {
        return false;
    }
}

}  // namespace cranemoor::wire
