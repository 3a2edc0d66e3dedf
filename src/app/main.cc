// Entry point of the program: parses the command line, sets up logging and runs one controller on
// the real clock and the real transports.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "app/node.h"
#include "app/resource_budget.h"
#include "config/settings.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/loop.h"
#include "rpc/peer_link.h"

namespace {

using namespace seampass;

constexpr int kExitBadSettings = 2;  // exit status for invalid settings or arguments
// Path of workers' heartbeats. Workers keep their connections open from one heartbeat to the next.
constexpr const char* kHeartbeatPath = "/checkin";
// The server closes a connection on which a request takes longer than this to arrive completely, in
// heartbeat intervals.
constexpr double kRequestTimeoutIntervals = 3;

void set_up_logging() {
  auto logger = spdlog::stderr_logger_st("seampass");
  logger->set_pattern("%H:%M:%S.%e %l %v");
  const char* level = std::getenv("LOG_LEVEL");
  const std::string name = level != nullptr ? level : "info";
  logger->set_level(name == "debug"   ? spdlog::level::debug
                    : name == "error" ? spdlog::level::err
                                      : spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

net::ServerLimits server_limits(const config::Settings& settings,
                                const app::ResourceBudget& budget) {
  net::ServerLimits limits;
  limits.max_connections = budget.server_connections;
  limits.worker_path = kHeartbeatPath;
  limits.idle_timeout = net::ms(settings.lease_s);
  limits.request_timeout = net::ms(settings.heartbeat_interval_s * kRequestTimeoutIntervals);
  return limits;
}

int serve(const config::Settings& settings, const config::OperatorSettings& operator_settings) {
  std::signal(SIGPIPE, SIG_IGN);
  net::Loop loop;
  const app::ResourceBudget budget = app::ResourceBudget::for_settings(settings);
  net::HttpClient http(loop, budget.idle_client_connections);
  rpc::PeerLink peers(loop, settings.node, settings.peers);
  app::Node node(loop, http, peers, settings, operator_settings);
  net::HttpServer server(loop, server_limits(settings, budget),
                         [&node](const net::Request& request, const net::Answer& answer) {
                           node.handle(request, answer);
                         });
  try {
    peers.listen(settings.peer_listen);
    server.listen(settings.listen);
  } catch (const std::exception& error) {
    spdlog::error("{}", error.what());
    return 1;
  }
  spdlog::info("{} in {} listens on {}", settings.node, settings.zone, settings.listen);
  node.start();
  loop.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App cli{"seampass, a gang scheduler for clusters"};
  cli.set_version_flag("--version", std::string("seampass ") + SEAMPASS_VERSION);
  std::string config_file;
  std::string operator_file;
  bool check = false;
  cli.add_option("--config", config_file, "the platform's settings (TOML)")->required();
  cli.add_option("--operator", operator_file, "the operators' own settings (YAML)");
  cli.add_flag("--check", check, "check the settings and exit");
  try {
    cli.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return cli.exit(error) == 0 ? 0 : kExitBadSettings;
  }
  config::Settings settings;
  config::OperatorSettings operator_settings;
  try {
    settings = config::load_settings(config_file);
    if (!operator_file.empty()) operator_settings = config::load_operator(operator_file);
  } catch (const config::BadSettings& error) {
    std::cerr << "seampass: " << error.what() << "\n";
    return kExitBadSettings;
  }
  if (check) {
    std::cout << "settings are good\n";
    return 0;
  }
  set_up_logging();
  return serve(settings, operator_settings);
}
