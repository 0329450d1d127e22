/// Policy for closing connections when the server approaches its connection limit. Pure functions
/// of the kind of client and the number of open connections.
///
/// 1. Clients never get the sockets reserved for the other controllers, the key-value store and the
///    cloud: they are limited to a share of all sockets (constants::client_connections_share).
/// 2. Idle connections that have not sent a request, and those of health checks, are closed first.
/// 3. Users' connections follow: users poll repeatedly, and a new connection may reach a controller
///    with free connections.
/// 4. Workers' connections are closed last: a heartbeat without a socket costs lease time and, with
///    the lease, running tasks.
///
/// Long before all sockets are in use, responses ask clients to close their connections: a worker
/// that sends a heartbeat every few seconds needs a socket for only some hundredths of a second
/// each time, and a user no longer.
#pragma once

#include <cstddef>

namespace cranemoor::sockets {

/// Kind of client on a connection, according to its last request.
enum class ClientKind { unknown, user, worker };

/// When connections of one kind of client are closed.
struct ShedPolicy {
    /// Idle connections with the lowest rank are closed first.
    int rank = 0;
    /// Fraction of the client connections in use, from 0 to 1, at or above which a response closes
    /// its connection.
    double keep_alive_share = 0;
};

/// The policy for a kind of client.
ShedPolicy shed_policy(ClientKind client);

/// Whether a connection stays open after its response. `open_connections` includes this connection,
/// `connections_max` is the limit.
bool keep_open(const ShedPolicy& policy, std::size_t open_connections, std::size_t connections_max);

}  // namespace cranemoor::sockets
