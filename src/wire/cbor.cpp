#include "wire/cbor.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/model/constants.hpp"

namespace cranemoor::wire {

namespace {

// Builds a JSON value from parser events and stops at byte strings and at values nested too deep,
// before they are built: a recursive value of hostile depth would exhaust the stack.
class DepthLimitedBuilder : public nlohmann::json_sax<Json> {
  public:
    bool null() override { return put(nullptr) != nullptr; }
    bool boolean(bool value) override { return put(value) != nullptr; }
    bool number_integer(number_integer_t value) override { return put(value) != nullptr; }
    bool number_unsigned(number_unsigned_t value) override { return put(value) != nullptr; }
    bool number_float(number_float_t value, const string_t& /*text*/) override {
        return put(value) != nullptr;
    }
    bool string(string_t& value) override { return put(std::move(value)) != nullptr; }
    bool binary(binary_t& /*value*/) override { return false; }
    bool start_object(std::size_t /*size*/) override { return open(Json::object()); }
    bool end_object() override { return close(); }
    bool start_array(std::size_t /*size*/) override { return open(Json::array()); }
    bool end_array() override { return close(); }
    bool key(string_t& name) override {
        member_ = &(*open_.back())[name];
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& /*error*/) override {
        return false;
    }
    Json take() { return std::move(root_); }

  private:
    // Stores a value in the innermost open array, or under the key that was begun last, and returns
    // its place there.
    Json* put(Json value) {
        if (open_.empty()) {
            root_ = std::move(value);
            return &root_;
        }
        Json& container = *open_.back();
        if (container.is_array()) {
            container.push_back(std::move(value));
            return &container.back();
        }
        *member_ = std::move(value);
        return member_;
    }
    bool open(Json container) {
        if (open_.size() >= core::constants::message_depth_max) {
            return false;
        }
        open_.push_back(put(std::move(container)));
        return true;
    }
    bool close() {
        open_.pop_back();
        return true;
    }

    Json root_;
    std::vector<Json*> open_;  // containers begun and not ended, outermost first
    Json* member_ = nullptr;   // the place of the key that was begun last
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
    std::string out;
    Json::to_cbor(value, out);
    return out;
}

bool is_utf8(const std::string& text) {
    bool ascii = std::all_of(text.begin(), text.end(),
                             [](char c) { return static_cast<unsigned char>(c) < 0x80; });
    if (ascii) {
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
