/// cranemoor: the controller of the cluster scheduler.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <random>

#include "config/settings.hpp"
#include "core/controller/controller.hpp"
#include "io/crash_report.hpp"
#include "io/gateway.hpp"
#include "io/loop.hpp"

namespace {

void set_up_logging() {
    spdlog::set_default_logger(std::make_shared<spdlog::logger>(
        "cranemoor", std::make_shared<spdlog::sinks::stderr_sink_st>()));
    spdlog::set_pattern("%Y-%m-%d %H:%M:%S.%e %l %v");
    const char* level = std::getenv("LOG_LEVEL");
    spdlog::set_level(spdlog::level::from_str(level == nullptr ? "info" : level));
}

// A random id that distinguishes this run of the process from every other one.
std::string make_boot_id() {
    std::random_device random;
    return fmt::format("{:08x}{:08x}", random(), random());
}

// Serves until an error ends the process; returns the exit code.
int serve(const cranemoor::core::Settings& settings, const cranemoor::core::Tunables& tunables) {
    std::signal(SIGPIPE, SIG_IGN);
    cranemoor::io::Loop loop;
    cranemoor::core::Controller controller(settings, tunables, make_boot_id());
    cranemoor::io::Gateway gateway(loop, settings, controller);
    spdlog::info("controller {} in zone {}: serving clients on {}", settings.name, settings.zone,
                 settings.listen_address);
    try {
        gateway.start();
        loop.run();
    } catch (const std::exception& error) {
        cranemoor::io::report_fatal_error(error.what());
        return 1;
    }
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"cranemoor, a cluster scheduler"};
    std::string config_path;
    std::string operators_path;
    bool check_only = false;
    app.add_option("--config", config_path, "the platform's settings file (TOML)")->required();
    app.add_option("--operators", operators_path, "the operators' settings file (XML)");
    app.add_flag("--check-config", check_only, "check the settings and exit");
    app.set_version_flag("--version", "cranemoor " CRANEMOOR_VERSION);
    CLI11_PARSE(app, argc, argv);

    try {
        set_up_logging();
        auto settings = cranemoor::config::read_settings(config_path);
        cranemoor::core::Tunables tunables;
        if (!operators_path.empty()) {
            tunables = cranemoor::config::read_tunables(operators_path);
        }
        cranemoor::config::validate_tunables(settings, tunables);
        if (check_only) {
            std::puts("settings are valid");
            return 0;
        }
        cranemoor::io::install_crash_report();
        return serve(settings, tunables);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "cranemoor: %s\n", error.what());
        return 1;
    }
}
