// Gateway: the sockets and timers round one controller. It turns messages into the core's inputs
// and the core's actions into messages.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/controller/controller.hpp"
#include "io/cloud_client.hpp"
#include "io/http_client.hpp"
#include "io/http_server.hpp"
#include "io/loop.hpp"
#include "io/store_client.hpp"

namespace cranemoor::io {

class Gateway {
  public:
    Gateway(Loop& loop, const core::Settings& settings, core::Controller& controller);
    void start();

  private:
    void serve(std::uint64_t request, HttpMessage&& message);
    void serve_back(std::uint64_t request, HttpMessage&& message);
    void act();  // carries out what the core returned
    void act(const core::UserReply& reply);
    void act(const core::WorkerReply& reply);
    void act(const core::StoreCall& call);
    void act(const core::CloudCall& call);
    void act(const core::WorkerCommandCall& call);
    void act(const core::PeerCall& call);
    void act(const core::LogLine& line);
    void prune();
    HttpClient& worker(const std::string& address);

    Loop& loop_;
    const core::Settings settings_;
    core::Controller& controller_;
    HttpServer front_;
    HttpServer back_;
    StoreClient store_;
    CloudClient cloud_;
    std::map<std::string, std::unique_ptr<HttpClient>> peers_;
    std::map<std::string, std::unique_ptr<HttpClient>> workers_;
    Timer tick_;
    Timer pruner_;
    bool acting_ = false;
};

}  // namespace cranemoor::io
