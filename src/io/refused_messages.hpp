/// Counts messages that were refused because they could not be read.
#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace cranemoor::io {

/// Counts refused messages by source and reason, for a log line at intervals. Memory is bounded:
/// beyond `kinds_max` kinds all others share one count.
class RefusedMessages {
  public:
    static constexpr std::size_t kinds_max = 32;  ///< pairs of source and reason

    /// Counts one message. `source`: a path, or the role and address of the process that answered.
    void count(const std::string& source, const std::string& reason);
    /// The counts since the last call, such as "3 POST /work: not CBOR, 1 other"; empty: none.
    std::string take_summary();

  private:
    std::map<std::string, std::size_t> counts_;
};

}  // namespace cranemoor::io
