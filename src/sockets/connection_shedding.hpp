// Standing: who keeps a connection when sockets run short, in one written order. A pure policy: who
// asks and how many sockets are taken in, what becomes of the connection out.
//
// 1. Room for the other controllers, the state service and the cloud is never given away: only a
//    part of all sockets is for those who ask (constants::front_share).
// 2. Connections on which nothing was asked yet, health checks among them, make room first.
// 3. Then users': a poll is one of many, and a new connection may go to a controller with room.
// 4. Last the workers': a report that finds no socket costs lease time and with it running work.
//
// Long before all are taken an answer asks the other side to close: a worker that reports every few
// seconds needs a socket for some hundredths of a second of them, a user no more.
#pragma once

#include <cstddef>

namespace cranemoor::sockets {

enum class Asker { nobody, user, worker };

struct Standing {
    int rank = 0;  // of idle connections the lowest make room first
    // share of the sockets for those who ask, taken, from which on an answer ends its connection
    double keep_below = 0;
};

Standing standing(Asker asker);

// Whether a connection stays open after its answer. taken: connections open, with this one.
bool keeps(const Standing& standing, std::size_t taken, std::size_t most);

}  // namespace cranemoor::sockets
