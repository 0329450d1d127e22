/// Valid sample input from which tests derive damaged or incomplete input.
#pragma once

#include <string>

namespace cranemoor::test {

/// A valid settings file.
inline const std::string sample_settings = R"(
node_name = "n0"
zone = "a"
serve_on = "127.0.0.1:1"
back = "127.0.0.1:2"
unknown_field = 3
[[known]]
node_name = "n1"
zone = "b"
endpoint = "127.0.0.1:3"
[services]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"
[settings]
zones = ["a", "b"]
clock_off_ms = 250.0
[[settings.teams]]
name = "red"
gpus_max = 8.0
[[settings.objectives]]
kind = "wait"
class = "c"
within_s = 3.0
[settings.workers]
report_s = 3.0
lease_s = 24.0
gang_wait_s = 35.0
gang_peer_s = 5.0
cancel_s = 44.0
[settings.state]
rps = 150
write_rps = 50.0
value_kb = 8.0
txn_ops = 12
[settings.cloud]
rps = 5.0
[settings.machine_limits]
max_connections = 1800
)";

}  // namespace cranemoor::test
