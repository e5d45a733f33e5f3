/* A randomized fault soak: the product's processes run for real, against
   stand-ins of the platform's store and of its workers, while faults are
   injected; what clients, workers and the operator saw is judged.  */

#include "test/soak/soak.h"

#include <errno.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <talloc.h>
#include <unistd.h>

#include "base/option.h"
#include "test/soak/clients.h"
#include "test/soak/faults.h"
#include "test/soak/judge.h"
#include "test/soak/net.h"
#include "test/soak/process.h"
#include "test/soak/store.h"
#include "test/soak/waves.h"
#include "test/soak/worker.h"

#define READY_MAX_MS 60000
#define WARM_UP_MS 2000 /* of traffic before the first fault */
#define TICK_MS 100
#define LOOK_MS 4000 /* at waiting jobs, after finish_s */

struct settings
{
  char *program;
  char *faults;
  char *keep;
  int64_t seed, seconds, processes, workers, pools, rate;
};

#define FIELD(f) offsetof (struct settings, f)

static const struct option_def options[] = {
  { "program", OPTION_STR, FIELD (program), 1, 500, NULL, NULL, NULL,
    "path of the product's binary" },
  { "seed", OPTION_INT, FIELD (seed), 0, INT64_MAX, NULL, NULL, "0",
    "seed of the run; 0: a new one" },
  { "seconds", OPTION_INT, FIELD (seconds), 5, 86400, NULL, "s", "30",
    "time with traffic and faults" },
  { "processes", OPTION_INT, FIELD (processes), 3, PROCESSES_MAX, NULL,
    "processes", "8", "number of processes of the product" },
  { "workers", OPTION_INT, FIELD (workers), 2, WORKERS_MAX, NULL, "workers",
    "16", "number of workers" },
  { "pools", OPTION_INT, FIELD (pools), 1, 8, NULL, "pools", "2",
    "number of services, each with a route" },
  { "rate", OPTION_INT, FIELD (rate), 1, 500, NULL, "jobs/s", "30",
    "jobs that clients hand in" },
  { "faults", OPTION_STR, FIELD (faults), 1, 500, NULL, NULL, "incident",
    "names of faults and scenarios, separated by commas" },
  { "keep", OPTION_STR, FIELD (keep), 0, 500, NULL, NULL, "",
    "folder for the logs of the processes; empty: they are removed" },
  { NULL, OPTION_STR, 0, 0, 0, NULL, NULL, NULL, NULL },
};

struct rng soak_call_rng;

static struct settings set;
static unsigned fault_set;
static int64_t begun, gap_count, gap_ms;
static char folder[600];
static bool finishing;

/* Random numbers: splitmix64.  */

static uint64_t
next_number (struct rng *rng)
{
  uint64_t num = rng->state += 0x9e3779b97f4a7c15;
  num = (num ^ num >> 30) * 0xbf58476d1ce4e5b9;
  num = (num ^ num >> 27) * 0x94d049bb133111eb;
  return num ^ num >> 31;
}

struct rng
rng_make (uint64_t seed, const char *purpose)
{
  struct rng rng = { .state = seed };
  for (; *purpose; purpose++)
    rng.state = next_number (&rng) ^ (unsigned char)*purpose;
  return rng;
}

double
soak_draw (struct rng *rng)
{
  return (double)(next_number (rng) >> 11) / (double)(1ULL << 53);
}

int64_t
soak_between (struct rng *rng, int64_t least, int64_t most)
{
  return least + (int64_t)(next_number (rng) % (uint64_t)(most - least + 1));
}

/* Output  */

int64_t
soak_ms (void)
{
  return net_now () - begun;
}

void
soak_log (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  printf ("%8.3f ", (double)soak_ms () / 1000);
  vprintf (format, args);
  putchar ('\n');
  va_end (args);
}

/* Ends the processes and removes their logs if they are not to be kept.  */
static void
clean_up (void)
{
  process_end_all ();
  if (*set.keep)
    return;
  for (int n = 0; n < process_count; n++)
    unlink (processes[n].log);
  rmdir (folder);
}

void
soak_fail (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  fputs ("soak: ", stderr);
  vfprintf (stderr, format, args);
  fputc ('\n', stderr);
  va_end (args);
  clean_up ();
  exit (2);
}

/* Stages  */

static void
on_gap (int64_t from, int64_t until)
{
  /* The machine did not run this program and perhaps not the others either:
     that is a freeze of all of them.  */
  impair_span (IMPAIRED_STORE, 0, from - begun, until - begun);
  gap_count++;
  gap_ms += until - from;
}

static void
on_tick (void *arg)
{
  judge_tick (finishing);
  net_after (TICK_MS, on_tick, NULL);
}

static void
finish (void *arg)
{
  struct store_count sum = { 0 };
  waves_finish ();
  size_t broken = judge_finish ();
  for (int n = 0; n < process_count; n++)
    {
      sum.done += store_counts[n].done;
      sum.rejected += store_counts[n].rejected;
      sum.lost += store_counts[n].lost;
      sum.late += store_counts[n].late;
    }
  soak_log ("store: %zu appends done, %zu with the answer lost, %zu late, %zu "
            "calls rejected",
            sum.done, sum.lost, sum.late, sum.rejected);
  if (gap_count)
    soak_log ("the loop of this program stood still %ld times, for %ld ms",
              (long)gap_count, (long)gap_ms);
  soak_log ("seed %ld: %s, %zu rules broken", (long)set.seed,
            broken ? "BROKEN" : "held", broken);
  clean_up ();
  fflush (stdout);
  exit (broken ? 1 : 0);
}

static void
finish_when_told (void *arg)
{
  if (clients_are_asking ())
    net_after (TICK_MS, finish_when_told, NULL);
  else
    finish (NULL);
}

static void
ask_all (void *arg)
{
  clients_ask_all ();
  finish_when_told (NULL);
}

static void
look_at_waiting (void *arg)
{
  finishing = true;
  net_after (LOOK_MS, ask_all, NULL);
}

static void
end_traffic (void *arg)
{
  soak_log ("end of the traffic and of the faults");
  clients_stop ();
  faults_stop ();
  waves_stop ();
  net_after (FINISH_MS, look_at_waiting, NULL);
}

static bool
has_waves (void)
{
  return fault_set & 1U << FAULT_WAVES;
}

static bool
has_restarts (void)
{
  return fault_set
         & (1U << FAULT_RESTART | 1U << FAULT_RESTART_CUT_KILL
            | 1U << FAULT_RESTART_LATE | 1U << FAULT_RESTART_LATE_HOLD
            | 1U << FAULT_RESTART_LATER | 1U << FAULT_RESTART_KEPT);
}

static void
begin_traffic (void *arg)
{
  if (!process_all_ready ())
    {
      if (soak_ms () > READY_MAX_MS)
        soak_fail ("the processes were not ready within %d ms", READY_MAX_MS);
      net_after (TICK_MS, begin_traffic, NULL);
      return;
    }
  soak_log ("all processes are ready");
  const struct traffic traffic = { .seed = (uint64_t)set.seed,
                                   .pools = (int)set.pools,
                                   .rate = (int)set.rate,
                                   .long_jobs = has_restarts () };
  clients_start (&traffic);
  faults_start (fault_set, (uint64_t)set.seed, WARM_UP_MS);
  if (has_waves ())
    waves_start ((int)set.pools, (int)(set.workers / set.pools),
                 (uint64_t)set.seed, WARM_UP_MS);
  on_tick (NULL);
  net_after (WARM_UP_MS + set.seconds * 1000, end_traffic, NULL);
}

static void
read_settings (int argc, char **argv)
{
  char bad[32], known[500];
  void *mem = talloc_new (NULL);
  int err = options_parse (mem, "soak", options, argc - 1, argv + 1, &set,
                           stdout, stderr);
  if (err != 0)
    exit (err < 0 ? 2 : 0);
  if (faults_parse (set.faults, &fault_set, bad) < 0)
    {
      faults_names (known, sizeof known);
      fprintf (stderr, "soak: --faults: \"%s\" is not known; known: %s\n", bad,
               known);
      exit (2);
    }
  if (access (set.program, X_OK) != 0)
    {
      fprintf (stderr, "soak: --program=%s: %s\n", set.program,
               strerror (errno));
      exit (2);
    }
  if (set.seed == 0)
    set.seed = net_wall () % 1000000007;
}

static void
make_folder (void)
{
  if (*set.keep)
    {
      snprintf (folder, sizeof folder, "%s", set.keep);
      if (mkdir (folder, 0700) != 0 && errno != EEXIST)
        soak_fail ("--keep=%s: %s", folder, strerror (errno));
      return;
    }
  snprintf (folder, sizeof folder, "/tmp/soak.XXXXXX");
  if (!mkdtemp (folder))
    soak_fail ("%s: %s", folder, strerror (errno));
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  read_settings (argc, argv);
  setvbuf (stdout, NULL, _IOLBF, 0);
  begun = net_now ();
  soak_call_rng = rng_make ((uint64_t)set.seed, "calls");
  net_on_gap = on_gap;
  make_folder ();
  soak_log ("seed %ld, faults %s, %ld processes, %ld workers, %ld pools",
            (long)set.seed, set.faults, (long)set.processes, (long)set.workers,
            (long)set.pools);
  operator_start ((int)set.pools, has_waves (), (uint64_t)set.seed);
  process_start_all (set.program, (int)set.processes, folder);
  for (int n = 0; n < set.workers; n++)
    worker_add (n % (int)set.pools, n / (int)set.pools % RACKS);
  if (has_waves ())
    worker_spare_pool = (int)set.pools;
  for (int n = 0; has_waves () && n < waves_spare ((uint64_t)set.seed); n++)
    worker_add (worker_spare_pool, n % RACKS);
  net_after (TICK_MS, begin_traffic, NULL);
  net_run ();
  return 2;
}
