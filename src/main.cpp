#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <random>

#include "config/settings.hpp"
#include "core/controller/controller.hpp"
#include "io/gateway.hpp"
#include "io/loop.hpp"

namespace {

void set_up_log() {
    spdlog::set_default_logger(std::make_shared<spdlog::logger>(
        "cranemoor", std::make_shared<spdlog::sinks::stderr_sink_st>()));
    spdlog::set_pattern("%Y-%m-%d %H:%M:%S.%e %l %v");
    const char* level = std::getenv("LOG_LEVEL");
    spdlog::set_level(spdlog::level::from_str(level == nullptr ? "info" : level));
}

// Tells this start of the process from every other one.
std::string boot_word() {
    std::random_device source;
    return fmt::format("{:08x}{:08x}", source(), source());
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"cranemoor, a cluster scheduler"};
    std::string config;
    std::string operators;
    bool check = false;
    app.add_option("--config", config, "the platform's settings file (TOML)")->required();
    app.add_option("--operators", operators, "the operators' own settings (XML)");
    app.add_flag("--check-config", check, "read the settings, say whether they are valid, and end");
    app.set_version_flag("--version", "cranemoor " CRANEMOOR_VERSION);
    CLI11_PARSE(app, argc, argv);

    try {
        set_up_log();
        auto settings = cranemoor::config::read_settings(config);
        cranemoor::core::Tunables tunables;
        if (!operators.empty()) {
            tunables = cranemoor::config::read_tunables(operators);
        }
        cranemoor::config::validate_tunables(settings, tunables);
        if (check) {
            std::puts("settings are valid");
            return 0;
        }
        std::signal(SIGPIPE, SIG_IGN);
        cranemoor::io::Loop loop;
        cranemoor::core::Controller controller(settings, tunables, boot_word());
        cranemoor::io::Gateway gateway(loop, settings, controller);
        spdlog::info("{} in {} serves on {}", settings.name, settings.zone,
                     settings.listen_address);
        gateway.start();
        loop.run();
    } catch (const std::exception& e) {
        std::fprintf(stderr, "cranemoor: %s\n", e.what());
        return 1;
    }
    return 0;
}
