#include "ctl/job_file.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

#include "core/model/constants.hpp"
#include "wire/user_messages.hpp"

namespace cranemoor::ctl {

namespace {

using wire::Json;

std::string read_text(const std::string& file) {
    std::ifstream file_input;
    if (file != "-") {
        file_input.open(file, std::ios::binary);
        if (!file_input) {
            throw JobFileError(file + ": cannot open the file");
        }
    }
    std::istream& input = file == "-" ? std::cin : file_input;
    return {std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>()};
}

// Parses JSON of at most `constants::message_depth_max` levels: values are encoded by functions
// that call themselves for each level.
Json parse_bounded(const std::string& text, const std::string& file) {
    std::istringstream input(text);
    std::size_t depth = 0;
    auto check_depth = [&](int /*depth*/, Json::parse_event_t event, Json& /*value*/) {
        using Event = Json::parse_event_t;
        if (event == Event::object_end || event == Event::array_end) {
            --depth;
        }
        if (event == Event::object_start || event == Event::array_start) {
            if (++depth > core::constants::message_depth_max) {
                auto line = 1 + std::count(text.begin(), text.begin() + input.tellg(), '\n');
                throw JobFileError(file + ": line " + std::to_string(line) + ": nested too deep");
            }
        }
        return true;
    };
    return Json::parse(input, check_depth, false);
}

}  // namespace

Json read_job_file(const std::string& file) {
    Json job = parse_bounded(read_text(file), file);
    if (job.is_discarded()) {
        throw JobFileError(file + ": not JSON");
    }
    auto spec = wire::decode_submission(wire::encode_cbor(job));
    if (!spec) {
        throw JobFileError(file + ": " + spec.error().error.message);
    }
    return job;
}

}  // namespace cranemoor::ctl
