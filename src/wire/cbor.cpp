#include "wire/cbor.hpp"

#include <cbor/data.h>
#include <cbor/streaming.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

#include "core/model/constants.hpp"

namespace cranemoor::wire {

namespace {

constexpr const char* not_cbor = "not CBOR";
constexpr const char* too_deep = "nested too deep";

// Builds a JSON value from the heads that the decoder reads one after the other. Neither calls
// itself: open containers and strings of indefinite length are kept here, within bounds.
class ValueBuilder {
  public:
    // Must be called before each head, with the number of bytes from that head on.
    void set_bytes_left(std::size_t bytes) { bytes_left_ = bytes; }
    // Whether the outermost value has ended.
    bool is_complete() const { return is_complete_; }
    // Why the body is refused; nullptr: it is not.
    const char* error() const { return error_; }
    Json take() { return std::move(root_); }

    void refuse(const char* error = not_cbor) { error_ = error; }

    // A value other than a text or a container.
    void add_scalar(Json value) {
        if (!expects_value()) {
            refuse();
            return;
        }
        add_value(std::move(value));
        end_value();
    }

    // CBOR stores -1 - `magnitude`. Below the range of integers the nearest float takes its place.
    void add_negative(std::uint64_t magnitude) {
        constexpr auto magnitude_max =
            static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        if (magnitude > magnitude_max) {
            add_scalar(-1.0 - static_cast<double>(magnitude));
        } else {
            add_scalar(-1 - static_cast<std::int64_t>(magnitude));
        }
    }

    // A text of definite length, or a chunk of one of indefinite length.
    void add_text(std::string text) {
        if (chunks_) {
            *chunks_ += text;
        } else {
            end_text(std::move(text));
        }
    }
    void begin_chunks() {
        if (chunks_) {
            refuse();  // chunks are texts of definite length (RFC 8949, 3.2.3)
        } else {
            chunks_.emplace();
        }
    }

    // A container of `size` elements, or of an indefinite number. A member of a map is two
    // elements.
    void begin_container(Json container, std::optional<std::uint64_t> size) {
        std::uint64_t bytes_per_element = container.is_object() ? 2 : 1;
        if (!expects_value() || size.value_or(0) > bytes_left_ / bytes_per_element) {
            refuse();
        } else if (open_containers_.size() >= core::constants::message_depth_max) {
            refuse(too_deep);
        } else {
            Json* added = add_value(std::move(container));
            open_containers_.push_back({added, size.value_or(0) * bytes_per_element, !size});
            end_full_containers();
        }
    }

    // The end of a text or a container of indefinite length.
    void end_indefinite() {
        if (chunks_) {
            std::string text = std::move(*chunks_);
            chunks_.reset();
            end_text(std::move(text));
            return;
        }
        if (open_containers_.empty() || !open_containers_.back().is_indefinite ||
            member_value_ != nullptr) {
            refuse();
            return;
        }
        open_containers_.pop_back();
        end_value();
    }

  private:
    struct OpenContainer {
        Json* container;
        std::uint64_t elements_left;  // if the length is definite
        bool is_indefinite;
    };

    bool expects_key() const {
        return !open_containers_.empty() && open_containers_.back().container->is_object() &&
               member_value_ == nullptr;
    }
    bool expects_value() const { return !chunks_ && !expects_key(); }

    void end_text(std::string text) {
        if (!expects_key()) {
            add_scalar(std::move(text));
            return;
        }
        OpenContainer& map = open_containers_.back();
        member_value_ = &(*map.container)[std::move(text)];
        --map.elements_left;
    }

    // Appends a value to the innermost open array, or stores it under the key read last, and
    // returns a pointer to the stored value.
    Json* add_value(Json value) {
        if (open_containers_.empty()) {
            root_ = std::move(value);
            return &root_;
        }
        Json& container = *open_containers_.back().container;
        if (container.is_array()) {
            container.push_back(std::move(value));
            return &container.back();
        }
        Json* member = std::exchange(member_value_, nullptr);
        *member = std::move(value);
        return member;
    }

    // Counts a value that has ended in the container around it.
    void end_value() {
        if (open_containers_.empty()) {
            is_complete_ = true;
            return;
        }
        --open_containers_.back().elements_left;
        end_full_containers();
    }
    void end_full_containers() {
        while (!open_containers_.empty() && !open_containers_.back().is_indefinite &&
               open_containers_.back().elements_left == 0) {
            open_containers_.pop_back();
            if (!open_containers_.empty()) {
                --open_containers_.back().elements_left;
            }
        }
        is_complete_ = open_containers_.empty();
    }

    Json root_;
    std::vector<OpenContainer> open_containers_;  // outermost first
    Json* member_value_ = nullptr;       // where the value of the key read last goes; null: no key
    std::optional<std::string> chunks_;  // an open text of indefinite length
    std::size_t bytes_left_ = 0;
    bool is_complete_ = false;
    const char* error_ = nullptr;
};

ValueBuilder& builder(void* context) {
    return *static_cast<ValueBuilder*>(context);
}

std::string to_text(cbor_data bytes, std::uint64_t size) {
    return {reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size)};
}

// Passes each head to the builder. Byte strings, tags and undefined are not part of the protocol.
const cbor_callbacks& builder_callbacks() {
    static const cbor_callbacks callbacks = [] {
        cbor_callbacks c{};
        c.uint8 = [](void* context, auto number) { builder(context).add_scalar(number); };
        c.uint16 = [](void* context, auto number) { builder(context).add_scalar(number); };
        c.uint32 = [](void* context, auto number) { builder(context).add_scalar(number); };
        c.uint64 = [](void* context, auto number) { builder(context).add_scalar(number); };
        c.negint8 = [](void* context, auto magnitude) { builder(context).add_negative(magnitude); };
        c.negint16 = [](void* context, auto magnitude) {
            builder(context).add_negative(magnitude);
        };
        c.negint32 = [](void* context, auto magnitude) {
            builder(context).add_negative(magnitude);
        };
        c.negint64 = [](void* context, auto magnitude) {
            builder(context).add_negative(magnitude);
        };
        c.float2 = [](void* context, float number) { builder(context).add_scalar(number); };
        c.float4 = [](void* context, float number) { builder(context).add_scalar(number); };
        c.float8 = [](void* context, double number) { builder(context).add_scalar(number); };
        c.boolean = [](void* context, bool value) { builder(context).add_scalar(value); };
        c.null = [](void* context) { builder(context).add_scalar(nullptr); };
        c.string = [](void* context, cbor_data bytes, auto size) {
            builder(context).add_text(to_text(bytes, size));
        };
        c.string_start = [](void* context) { builder(context).begin_chunks(); };
        c.array_start = [](void* context, auto size) {
            builder(context).begin_container(Json::array(), size);
        };
        c.indef_array_start = [](void* context) {
            builder(context).begin_container(Json::array(), std::nullopt);
        };
        c.map_start = [](void* context, auto size) {
            builder(context).begin_container(Json::object(), size);
        };
        c.indef_map_start = [](void* context) {
            builder(context).begin_container(Json::object(), std::nullopt);
        };
        c.indef_break = [](void* context) { builder(context).end_indefinite(); };
        c.byte_string = [](void* context, cbor_data, auto) { builder(context).refuse(); };
        c.byte_string_start = [](void* context) { builder(context).refuse(); };
        c.tag = [](void* context, auto) { builder(context).refuse(); };
        c.undefined = [](void* context) { builder(context).refuse(); };
        return c;
    }();
    return callbacks;
}

}  // namespace

Decoded<Json> decode_cbor(const std::string& body) {
    const auto* bytes = reinterpret_cast<cbor_data>(body.data());
    std::size_t position = 0;
    ValueBuilder value;
    while (!value.is_complete()) {
        std::size_t bytes_left = body.size() - position;
        value.set_bytes_left(bytes_left);
        auto head =
            ::cbor_stream_decode(bytes + position, bytes_left, &builder_callbacks(), &value);
        if (head.status != CBOR_DECODER_FINISHED) {
            return DecodeError{"", not_cbor};
        }
        if (value.error() != nullptr) {
            return DecodeError{"", value.error()};
        }
        position += head.read;
    }
    if (position != body.size()) {
        return DecodeError{"", not_cbor};
    }
    return value.take();
}

Decoded<Json> decode_cbor_map(const std::string& body) {
    auto value = decode_cbor(body);
    if (value && !value->is_object()) {
        return DecodeError{"", "not a map"};
    }
    return value;
}

Decoded<Json> decode_reply_map(const std::string& body) {
    return body.empty() ? Decoded<Json>(Json::object()) : decode_cbor_map(body);
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
