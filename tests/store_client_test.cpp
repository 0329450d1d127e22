// The order in which transactions are sent to the key-value store, against a fake one on loopback.
#include "io/store_client.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "io/http_server.hpp"
#include "ports.hpp"
#include "wire/cbor.hpp"

namespace cranemoor {
namespace {

using core::Json;

core::StoreCall transaction(std::uint64_t id, std::size_t writes, core::Urgency urgency) {
    core::StoreCall call;
    call.id = id;
    call.txn.urgency = urgency;
    for (std::size_t i = 0; i < writes; ++i) {
        call.txn.writes.push_back({fmt::format("k{}", id), Json(1), 0});
    }
    return call;
}

TEST(StoreClient, UrgentTransactionsGoFirstAndLargeOnesAreNotStarved) {
    // Guards against starvation of large transactions: releases were retried for half a minute
    // because the transaction that recorded their success, with several writes, never found
    // enough of the write budget left.
    io::Loop loop;
    std::vector<std::string> order;
    core::Settings settings;
    settings.store_address = loopback_address(free_port());
    settings.store_requests_per_s = 1000;
    settings.store_writes_per_s = 100;  // one controller uses 60 writes/s of it
    io::HttpServer server(
        loop, settings.store_address, 16, [&](std::uint64_t request, auto&& message) {
            auto body = *wire::decode_cbor(message.body);
            order.push_back(body.at("then").at(0).at("put").template get<std::string>());
            server.reply(request, 200, wire::encode_cbor({{"tide", 1}}));
        });
    std::size_t answered = 0;
    io::RefusedMessages refused_messages;
    io::StoreClient client(loop, settings, refused_messages,
                           [&](std::uint64_t, const core::StoreReply& reply) {
                               EXPECT_EQ(reply.status, core::StoreReply::Status::ok);
                               if (++answered == 8) {
                                   loop.stop();
                               }
                           });
    client.call(transaction(1, 60, core::Urgency::normal));  // uses up the write budget
    for (std::uint64_t id = 2; id <= 4; ++id) {
        client.call(transaction(id, 1, core::Urgency::low));
    }
    client.call(transaction(5, 20, core::Urgency::normal));
    client.call(transaction(6, 1, core::Urgency::normal));
    client.call(transaction(7, 1, core::Urgency::high));
    client.call(transaction(8, 1, core::Urgency::normal));
    loop.run();
    // With several connections only the order of sending is fixed; here requests go one at a time.
    std::vector<std::string> expected = {"k1", "k7", "k5", "k6", "k8", "k2", "k3", "k4"};
    EXPECT_EQ(order, expected);
}

}  // namespace
}  // namespace cranemoor
