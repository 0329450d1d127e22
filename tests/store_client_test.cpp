// The order in which changes go to the key-value store, against a stand-in on loopback.
#include "io/store_client.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "io/http_server.hpp"
#include "ports.hpp"
#include "wire/cbor.hpp"

namespace cranemoor {
namespace {

using core::Json;

core::StoreCall change(std::uint64_t id, std::size_t writes, core::Urgency urgency) {
    core::StoreCall call;
    call.id = id;
    call.txn.urgency = urgency;
    for (std::size_t i = 0; i < writes; ++i) {
        call.txn.writes.push_back({fmt::format("k{}", id), Json(1), 0});
    }
    return call;
}

TEST(StoreClient, UrgentChangesGoFirstAndLargeOnesGoOut) {
    // Found in the desks' troubles: releases were repeated for half a minute, since the record of
    // their success, of several changes, never found enough left of the budget.
    io::Loop loop;
    std::vector<std::string> order;
    core::Settings settings;
    settings.store_address = loopback_address(free_port());
    settings.store_requests_per_s = 1000;
    settings.store_writes_per_s = 100;  // of which one controller uses sixty a second
    io::HttpServer server(loop, settings.store_address, 16, [&](std::uint64_t r, auto&& m) {
        auto body = *wire::decode_cbor(m.body);
        order.push_back(body.at("then").at(0).at("put").template get<std::string>());
        server.reply(r, 200, wire::encode_cbor({{"tide", 1}}));
    });
    std::size_t answered = 0;
    io::StoreClient client(loop, settings, [&](std::uint64_t, const core::StoreReply& r) {
        EXPECT_EQ(r.status, core::StoreReply::Status::ok);
        if (++answered == 8) {
            loop.stop();
        }
    });
    client.call(change(1, 60, core::Urgency::normal));  // takes all there is
    for (std::uint64_t id = 2; id <= 4; ++id) {
        client.call(change(id, 1, core::Urgency::low));
    }
    client.call(change(5, 20, core::Urgency::normal));
    client.call(change(6, 1, core::Urgency::normal));
    client.call(change(7, 1, core::Urgency::high));
    client.call(change(8, 1, core::Urgency::normal));
    loop.run();
    // With several connections only the order of sending is sure, and they go one by one here.
    std::vector<std::string> expected = {"k1", "k7", "k5", "k6", "k8", "k2", "k3", "k4"};
    EXPECT_EQ(order, expected);
}

}  // namespace
}  // namespace cranemoor
