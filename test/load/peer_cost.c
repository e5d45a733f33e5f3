/* Measures the cost of the traffic between entry processes: a full mesh of
   nodes in one process, connected over loopback, each with random load on all
   targets.  Half of all slots are busy: half of these with requests of 250 ms,
   half with requests of 10 s (means).  Figures are per node; the CPU time
   includes that of generating the load.  Exits with code 1 when a node could
   not start or links are missing at the end.  */

#include <getopt.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>

#include "base/clock.h"
#include "base/counter.h"
#include "peer/peers.h"

#define NODES_MAX 32
#define TARGETS_MAX 2000
#define SLOTS 8
#define BUSY_SHARE 0.5 /* of all slots */
#define STEP_US 10000
#define SAMPLE_STEPS 10   /* steps between samples of the view error */
#define SETTLE_US 5000000 /* until links are up, before the measurement */
#define SEED 1
#define HEADER_BYTES 52 /* IPv4 and TCP with time stamps */

static const double mean_duration_s[2] = { 0.25, 10 };

struct node
{
  struct peers prs;
  struct counters ctr;
  uint16_t port;
  int count[TARGETS_MAX];              /* own in-flight requests by target */
  int request_targets[2][TARGETS_MAX]; /* of the requests of each kind */
  int running[2];
  int seen[TARGETS_MAX]; /* load of this node as reported at node 0 */
  int by_peer[64];       /* used at node 0: node number of a peer index */
};

static struct node nodes[NODES_MAX];
static int node_count, peers = 3, targets = 50, step;
static double error_sum, load_sum, samples;

static void
on_load (void *arg, uint32_t peer, const char *host, uint32_t in_flight)
{
  if (arg == &nodes[0])
    nodes[nodes[0].by_peer[peer]].seen[atoi (host + 11)] = (int)in_flight;
}

static void
on_health (void *arg, uint32_t peer, const char *host, bool ejected)
{
}

static void
on_member (void *arg, const struct member_info *mbr)
{
  ((struct node *)arg)->by_peer[mbr->handle.index] = atoi (mbr->name + 1);
}

static const struct peers_events events = { on_load, on_health, on_member };

static void
node_change_load (struct node *nd, int target, int change)
{
  char name[32];
  nd->count[target] += change;
  snprintf (name, sizeof name, "dc1-worker-%04d", target);
  peers_publish_load (&nd->prs, name, nd->count[target], SLOTS);
}

/* Starts and ends requests for one step.  The numbers are random, with means
   that keep BUSY_SHARE of the slots busy; the first step starts as many as are
   to be busy.  */
static void
node_step (struct node *nd)
{
  double step_s = STEP_US / 1e6;
  double busy = targets * SLOTS * BUSY_SHARE / 2 / node_count; /* per kind */
  for (int kind = 0; kind < 2; kind++)
    {
      double mean = step == 0 ? busy : busy * step_s / mean_duration_s[kind];
      int starts = (int)mean + (drand48 () < mean - (int)mean);
      for (; starts > 0; starts--)
        if (nd->running[kind] < TARGETS_MAX)
          {
            int target = (int)(drand48 () * targets);
            nd->request_targets[kind][nd->running[kind]++] = target;
            node_change_load (nd, target, 1);
          }
      for (int n = nd->running[kind] - 1; n >= 0; n--)
        if (drand48 () < step_s / mean_duration_s[kind])
          {
            node_change_load (nd, nd->request_targets[kind][n], -1);
            nd->request_targets[kind][n]
                = nd->request_targets[kind][--nd->running[kind]];
          }
    }
}

static void
on_step (struct tevent_context *ev, struct tevent_timer *timer,
         struct timeval now, void *arg)
{
  for (int n = 0; n < node_count; n++)
    node_step (&nodes[n]);
  bool sample_due = ++step % SAMPLE_STEPS == 0;
  for (int t = 0; sample_due && t < targets; t++)
    {
      int missing = 0;
      for (int n = 1; n < node_count; n++)
        {
          missing += nodes[n].count[t] - nodes[n].seen[t];
          load_sum += nodes[n].count[t];
        }
      error_sum += abs (missing);
      samples++;
    }
  tevent_add_timer (ev, ev, tevent_timeval_add (&now, 0, STEP_US), on_step,
                    arg);
}

static void
run (struct tevent_context *ev, int64_t us)
{
  int64_t end = clock_now_us (&clock_system) + us;
  while (clock_now_us (&clock_system) < end)
    tevent_loop_once (ev);
}

static bool
start (struct tevent_context *ev)
{
  char list[4096] = "";
  for (int n = 0; n < node_count; n++)
    {
      struct peers_settings set;
      char name[16];
      snprintf (name, sizeof name, "n%d", n);
      peers_settings_init (&set);
      set.name = name;
      set.data_centre = "dc1";
      /* Encodes to as many bytes as a wall-clock time in ms.  */
      set.incarnation = 1790000000000;
      set.secret = (const uint8_t *)"0123456789abcdef";
      set.secret_len = 16;
      set.seed = SEED + n;
      if (peers_init (&nodes[n].prs, ev, &set, &events, &nodes[n], ev,
                      &clock_system, NULL, &nodes[n].ctr)
          || peers_listen (&nodes[n].prs, "127.0.0.1", 0, &nodes[n].port))
        return false;
      snprintf (list + strlen (list), sizeof list - strlen (list),
                "%s127.0.0.1:%u", n > 0 ? "," : "", nodes[n].port);
      peers_set_folded_offset (&nodes[n].prs, 1000000);
    }
  bool valid = true;
  for (int n = 0; n < node_count; n++)
    valid &= peers_set_addresses (&nodes[n].prs, list) == 0;
  return valid;
}

static double
total (enum counter_id id)
{
  double sum = 0;
  for (int n = 0; n < node_count; n++)
    sum += (double)counter_get (&nodes[n].ctr, id);
  return sum;
}

static void
measure (struct tevent_context *ev, int seconds, int json)
{
  double node_seconds = (double)seconds * node_count;
  error_sum = load_sum = 0;
  samples = 0;
  double sent = total (CTR_PEER_BYTES_SENT);
  double writes = total (CTR_PEER_WRITES);
  clock_t cpu = clock ();
  run (ev, seconds * 1000000LL);
  cpu = clock () - cpu;
  sent = total (CTR_PEER_BYTES_SENT) - sent;
  writes = total (CTR_PEER_WRITES) - writes;
  json_t *obj = json_pack (
      "{s:i, s:i, s:i, s:f, s:f, s:f, s:f, s:f, s:f}", "peers", peers,
      "targets", targets, "seconds", seconds, "sent_bytes_per_s",
      sent / node_seconds, "sent_with_headers_per_s",
      (sent + HEADER_BYTES * writes) / node_seconds, "cpu_pct",
      100.0 * (double)cpu / CLOCKS_PER_SEC / node_seconds, "memory_kb",
      (double)talloc_total_size (ev) / 1024 / node_count, "load_of_peers",
      load_sum / samples, "view_error", error_sum / samples);
  const char *key;
  json_t *val;
  json_object_foreach (obj, key, val) if (!json)
      printf ("%-24s %.3f\n", key, json_number_value (val));
  if (json)
    json_dumpf (obj, stdout, JSON_PRESERVE_ORDER | JSON_REAL_PRECISION (6));
  puts ("");
  json_decref (obj);
}

static bool
parse (int argc, char **argv, int *seconds, int *json)
{
  const struct option opts[] = { { "peers", required_argument, NULL, 'p' },
                                 { "targets", required_argument, NULL, 't' },
                                 { "seconds", required_argument, NULL, 's' },
                                 { "json", no_argument, json, 1 },
                                 { NULL, 0, NULL, 0 } };
  int opt;
  while ((opt = getopt_long (argc, argv, "", opts, NULL)) != -1)
    if (opt == '?')
      return false;
    else if (opt != 0)
      *(opt == 'p' ? &peers : opt == 't' ? &targets : seconds) = atoi (optarg);
  return peers >= 1 && peers < NODES_MAX && targets >= 1
         && targets <= TARGETS_MAX && *seconds >= 1 && optind == argc;
}

int
main (int argc, char **argv)
{
  int seconds = 20;
  int json = 0;
  if (!parse (argc, argv, &seconds, &json))
    {
      fputs ("usage: peer_cost [--peers=1..31] [--targets=1..2000] "
             "[--seconds=N] [--json]\n",
             stderr);
      return 2;
    }
  node_count = peers + 1;
  srand48 (SEED);
  struct tevent_context *ev = tevent_context_init (NULL);
  if (!start (ev))
    return 1;
  tevent_add_timer (ev, ev, tevent_timeval_current (), on_step, NULL);
  /* Each node sends catch_up_targets_per_tick (64) target names per tick of
     100 ms, summed over its links.  */
  run (ev, SETTLE_US + (int64_t)targets * peers / 64 * 100000);
  measure (ev, seconds, json);
  size_t links = 0;
  for (int n = 0; n < node_count; n++)
    links += peers_count_links (&nodes[n].prs);
  for (int n = 0; n < node_count; n++)
    peers_fini (&nodes[n].prs);
  talloc_free (ev);
  return links == (size_t)node_count * peers ? 0 : 1;
}
