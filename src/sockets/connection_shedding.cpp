#include "sockets/connection_shedding.hpp"

#include "core/model/constants.hpp"

namespace cranemoor::sockets {

namespace constants = core::constants;

ShedPolicy shed_policy(ClientKind client) {
    switch (client) {
        case ClientKind::worker:
            return {2, constants::worker_keep_alive_share};
        case ClientKind::user:
            return {1, constants::user_keep_alive_share};
        case ClientKind::unknown:
            break;
    }
    return {0, constants::user_keep_alive_share};
}

bool keep_open(const ShedPolicy& policy, std::size_t open_connections,
               std::size_t connections_max) {
    return static_cast<double>(open_connections) <
           policy.keep_alive_share * static_cast<double>(connections_max);
}

}  // namespace cranemoor::sockets
