#include "cli/settings.h"
#include "node/node.h"

#include <stddef.h>

static const char *const log_levels[]
    = { "debug", "info", "warn", "error", NULL };
static const char *const policies[]
    = { "fair", "random", "static-split", "thin", NULL };

#define FIELD(f) offsetof (struct serve_settings, f)

const struct option_def serve_options[] = {
  { "name", OPTION_STR, FIELD (name), 1, 64, NULL, NULL, NULL,
    "name of this entry process, unique in the deployment" },
  { "data-centre", OPTION_STR, FIELD (data_centre), 1, 64, NULL, NULL, NULL,
    "data centre of this entry process" },
  { "listen", OPTION_ADDRESS, FIELD (listen), 0, 0, NULL, NULL, "127.0.0.1:0",
    "address for callers; port 0 takes a free one" },
  { "peer-listen", OPTION_ADDRESS, FIELD (peer_listen), 0, 0, NULL, NULL, "",
    "address for the entry processes of the same data centre" },
  { "peers", OPTION_STR, FIELD (peers), 0, 4096, NULL, NULL, "",
    "comma-separated peer addresses IP:PORT of the same data centre" },
  { "peer-secret-file", OPTION_STR, FIELD (peer_secret_file), 0, 4096, NULL,
    NULL, "", "file with the key that the peers share, 16 bytes or more" },
  { "remotes", OPTION_STR, FIELD (remotes), 0, 4096, NULL, NULL, "",
    "comma-separated caller addresses IP:PORT of entry processes in other "
    "data centres, for work that no target here can run" },
  { "platform", OPTION_ADDRESS, FIELD (platform), 0, 0, NULL, NULL, NULL,
    "address of the platform's log service and host list" },
  { "policy", OPTION_CHOICE, FIELD (policy), 0, 0, policies, NULL, "fair",
    "admission and routing policy; all but fair are baselines for "
    "measurements" },
  { "log-level", OPTION_CHOICE, FIELD (log_level), 0, 0, log_levels, NULL,
    "info", "least level that is logged" },
  { "drain-ms", OPTION_INT, FIELD (drain_ms), 0, 3600000, NULL, "ms", "30000",
    "longest graceful shutdown" },
  { "deadline-ms", OPTION_INT, FIELD (deadline_ms), 1, 600000, NULL, "ms",
    "10000", "deadline of a request that names none" },
  { "max-open", OPTION_INT, FIELD (max_open), 1, 100000, NULL, "requests",
    "4096", "open requests; more are refused" },
  { "max-body", OPTION_INT, FIELD (max_body), 1, 67108864, NULL, "bytes",
    "1048576", "largest body of a request or an answer" },
  { "hosts-poll-ms", OPTION_INT, FIELD (hosts_poll_ms), 50, 60000, NULL, "ms",
    "500", "interval between reads of the platform's host list" },
  { "leave-ms", OPTION_INT, FIELD (leave_ms), 0, 600000, NULL, "ms", "1000",
    "after a stop signal, requests are still taken this long, until the load "
    "balancer has seen /readyz fail" },
  { "key-lifetime-ms", OPTION_INT, FIELD (key_lifetime_ms), 1000, 2592000000,
    NULL, "ms", "86400000",
    "how long an idempotency key is remembered; the same in all processes" },
  { "appends-per-s", OPTION_INT, FIELD (appends_per_s), 1, 10000, NULL,
    "appends a second", "20",
    "this process's share of the platform log's appends" },
  { "seed", OPTION_INT, FIELD (seed), 0, 9223372036854775807, NULL, NULL, "0",
    "seed of the routing choices; 0 takes a random one" },
  { "operator-listen", OPTION_ADDRESS, FIELD (operator_listen), 0, 0, NULL,
    NULL, "",
    "address for `status`, `explain` and `table --wait-operators`; "
    "empty: none" },
  { "operator-token-file", OPTION_STR, FIELD (operator_token_file), 0, 4096,
    NULL, NULL, "", "file with the operators' bearer token, 16 to 256 bytes" },
  { "stories", OPTION_INT, FIELD (stories), 0, 65536, NULL, "requests", "4096",
    "last requests whose story `explain` can tell" },
  { NULL, 0, 0, 0, 0, NULL, NULL, NULL, NULL },
};

#undef FIELD
#define FIELD(f) offsetof (struct node_settings, f)

const struct option_def node_options[] = {
  { "name", OPTION_STR, FIELD (name), 1, 63, NULL, NULL, NULL,
    "name of this process, unique in the deployment" },
  { "data-centre", OPTION_STR, FIELD (data_centre), 1, 63, NULL, NULL, NULL,
    "data centre of this process" },
  { "store", OPTION_ADDRESS, FIELD (store), 0, 0, NULL, NULL, NULL,
    "address of the platform's store" },
  { "partitions", OPTION_INT, FIELD (partitions), 1, 256, NULL, "partitions",
    "8", "partitions of a topic of the store" },
  { "fleet-api", OPTION_ADDRESS, FIELD (fleet_api), 0, 0, NULL, NULL, "",
    "address of the platform's interface for hosts" },
  { "listen", OPTION_ADDRESS, FIELD (listen), 0, 0, NULL, NULL, "127.0.0.1:0",
    "address for clients; port 0 takes a free one" },
  { "ready-listen", OPTION_ADDRESS, FIELD (ready_listen), 0, 0, NULL, NULL,
    "127.0.0.1:0", "address of the readiness check" },
  { "metrics-listen", OPTION_ADDRESS, FIELD (metrics_listen), 0, 0, NULL, NULL,
    "", "address of the metrics page; empty: none" },
  { "cpu-share", OPTION_MILLI, FIELD (cpu_milli), 1, 1000000, NULL, "cores",
    "1",
    "processor time that this process may use; duties go to strong processes "
    "first" },
  { "beat-ms", OPTION_INT, FIELD (beat_ms), 50, 10000, NULL, "ms", "600",
    "time between this process's reports to the others; duties pass on 2 s "
    "after the last one" },
  { "lease-ms", OPTION_INT, FIELD (lease_ms), 500, 60000, NULL, "ms", "5000",
    "lease of running tasks; longer than a duty takes to pass on" },
  { "lease-max-ms", OPTION_INT, FIELD (lease_max_ms), 500, 600000, NULL, "ms",
    "60000", "longest lease that workers grant" },
  { "confirm-ms", OPTION_INT, FIELD (confirm_ms), 500, 60000, NULL, "ms",
    "6000", "a process that could not report for so long gives no orders" },
  { "log-level", OPTION_CHOICE, FIELD (log_level), 0, 0, log_levels, NULL,
    "info", "least level that is logged" },
  { 0 },
};
