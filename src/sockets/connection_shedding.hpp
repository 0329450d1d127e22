// Which idle connections are closed when the listening sockets run short. A pure policy: the kind
// of client and the number of open connections in, what becomes of the connection out.
//
// 1. Room for the other controllers, the key-value store and the cloud is never given away: clients
//    get only a part of all sockets (constants::client_connections_share).
// 2. Connections without a request yet, and those of health checks, are closed first.
// 3. Then users': a poll is one of many, and a new connection may go to a controller with room.
// 4. Last the workers': a heartbeat that finds no socket costs lease time and with it running work.
//
// Long before all sockets are taken, a response asks the client to close: a worker that sends a
// heartbeat every few seconds needs a socket for some hundredths of a second of them, a user no
// more.
#pragma once

#include <cstddef>

namespace cranemoor::sockets {

/// Who is at the other end of a connection, as its last request showed.
enum class ClientKind { unknown, user, worker };

/// How long connections of one kind of client are kept.
struct ShedPolicy {
    /// Of idle connections those with the lowest rank are closed first.
    int rank = 0;
    /// The share of the connections for clients, in use, from which on a response ends its own.
    double keep_below = 0;
};

/// The policy for a kind of client.
ShedPolicy shed_policy(ClientKind client);

/// Whether a connection stays open after its response. `open` counts the open connections with this
/// one, `limit` is the most that may be open.
bool keep_open(const ShedPolicy& policy, std::size_t open, std::size_t limit);

}  // namespace cranemoor::sockets
