#include "sockets/connection_shedding.hpp"

#include "core/model/constants.hpp"

namespace cranemoor::sockets {

Standing standing(Asker asker) {
    switch (asker) {
        case Asker::worker:
            return {2, core::constants::workers_keep_share};
        case Asker::user:
            return {1, core::constants::users_keep_share};
        case Asker::nobody:
            break;
    }
    return {0, core::constants::users_keep_share};
}

bool keeps(const Standing& standing, std::size_t taken, std::size_t most) {
    return static_cast<double>(taken) < standing.keep_below * static_cast<double>(most);
}

}  // namespace cranemoor::sockets
