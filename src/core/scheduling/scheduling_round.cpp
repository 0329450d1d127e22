#include "core/scheduling/scheduling_round.hpp"

#include <algorithm>

namespace cranemoor::core {

void sort_candidates(std::vector<Candidate>& candidates) {
    std::stable_sort(
        candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
            return std::make_tuple(!a.has_image, a.score) < std::make_tuple(!b.has_image, b.score);
        });
}

}  // namespace cranemoor::core
