/// Sockets and timers that drive one controller: translates messages into the core's inputs and the
/// core's actions into messages.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "core/controller/controller.hpp"
#include "io/cloud_client.hpp"
#include "io/http_client.hpp"
#include "io/http_server.hpp"
#include "io/loop.hpp"
#include "io/refused_messages.hpp"
#include "io/store_client.hpp"

namespace cranemoor::io {

/// Connects one controller to users, workers, the other controllers, the key-value store and the
/// cloud. All work runs on the thread of the event loop.
class Gateway {
  public:
    /// Listens on the addresses in the settings; throws `std::runtime_error` if it cannot.
    Gateway(Loop& loop, const core::Settings& settings, core::Controller& controller);

    /// Starts the controller and its timers.
    void start();

  private:
    // Requests from users and workers.
    void route_client(std::uint64_t request, const HttpMessage& message);
    void serve_client(std::uint64_t request, const HttpMessage& message);
    void serve_health(std::uint64_t request);
    void serve_heartbeat(std::uint64_t request, const std::string& body);
    void serve_submission(std::uint64_t request, const std::string& body);
    void serve_job(std::uint64_t request, const std::string& method, const std::string& path);
    void serve_unrouted(std::uint64_t request, const std::string& path);
    // Requests from the other controllers.
    void serve_peer(std::uint64_t request, const HttpMessage& message);
    void route_peer(std::uint64_t request, const HttpMessage& message);

    void tick();
    void log_refused_messages();

    // Performs the controller's pending actions until none is left.
    void perform_actions();
    void perform(const core::UserReply& reply);
    void perform(const core::WorkerReply& reply);
    void perform(const core::StoreCall& call);
    void perform(const core::CloudCall& call);
    void perform(const core::WorkerCommandCall& call);
    void perform(const core::PeerCall& call);
    static void perform(const core::LogLine& line);

    void handle_worker_response(std::uint64_t call, const std::string& address,
                                const HttpMessage* response);
    void handle_peer_response(std::uint64_t call, const std::string& peer,
                              const HttpMessage* response);
    void count_rejected(const std::string& listener, const std::string& target, int status);
    HttpClient& worker_client(const std::string& address);
    void prune_worker_clients();

    Loop& loop_;
    const core::Settings settings_;
    core::Controller& controller_;
    RefusedMessages refused_messages_;
    HttpServer client_server_;
    HttpServer peer_server_;
    StoreClient store_client_;
    CloudClient cloud_client_;
    std::map<std::string, std::unique_ptr<HttpClient>> peer_clients_;    // by name
    std::map<std::string, std::unique_ptr<HttpClient>> worker_clients_;  // by address
    Timer tick_timer_;
    Timer prune_timer_;
    Timer refused_messages_timer_;
    bool is_performing_ = false;  // prevents recursion through callbacks
};

}  // namespace cranemoor::io
