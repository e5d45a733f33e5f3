#include "test/soak/cuts.h"

#include <stdlib.h>

#include "test/soak/clients.h"
#include "test/soak/judge.h"
#include "test/soak/net.h"
#include "test/soak/process.h"
#include "test/soak/store.h"
#include "test/soak/worker.h"

#define STEP_MS 20
#define CHANGES_MAX 12        /* new versions beside a cut */
#define CHANGES_AFTER_MS 4000 /* in which they come after the cut */

/* What a cut does to the connections that are open when it begins.  */
enum form
{
  FORM_SILENT,  /* silent for good */
  FORM_ONE_WAY, /* requests arrive, and no answers return, for good */
  FORM_HELD,    /* what they carry arrives after the cut */
  FORM_COUNT,
};

static const char *const form_names[]
    = { "silent for good", "without answers for good", "held up" };

/* Of a process and the store, or of a worker.  */
struct cut
{
  struct server *srv;
  int process;        /* -1: of a worker */
  struct worker *wrk; /* NULL: of a process */
  enum form form;
  int64_t until;
  size_t impairment;
};

static struct cuts enabled;
static bool stopped;
static struct rng store_rng, worker_rng, silence_rng, config_rng;
static bool store_is_cut[PROCESSES_MAX], worker_is_cut[WORKERS_MAX];

static void
end_cut (void *arg)
{
  struct cut *cut = arg;
  net_hang (cut->srv, false);
  if (cut->form == FORM_HELD)
    net_hold (cut->srv, false);
  if (cut->wrk)
    {
      worker_is_cut[cut->wrk->index] = false;
      worker_cut (cut->wrk, false);
    }
  else
    store_is_cut[cut->process] = false;
  impair_end (cut->impairment);
  free (cut);
}

static void
step_cut (void *arg)
{
  struct cut *cut = arg;
  if (stopped || soak_ms () >= cut->until)
    end_cut (cut);
  else
    net_after (STEP_MS, step_cut, cut);
}

/* Takes over a copy of PLAN.  */
static void
begin_cut (const struct cut *plan, int64_t ms)
{
  struct cut *cut = malloc (sizeof *cut);
  *cut = *plan;
  cut->until = soak_ms () + ms;
  if (cut->wrk)
    {
      worker_is_cut[cut->wrk->index] = true;
      cut->impairment = impair_begin (IMPAIRED_WORKER, cut->wrk->index);
      if (cut->form != FORM_ONE_WAY)
        worker_cut (cut->wrk, true);
    }
  else
    {
      store_is_cut[cut->process] = true;
      cut->impairment = impair_begin (IMPAIRED_PROCESS, cut->process);
    }
  net_hang (cut->srv, true);
  if (cut->form == FORM_HELD)
    net_hold (cut->srv, true);
  else
    net_silence_all (cut->srv, cut->form == FORM_ONE_WAY);
  soak_log ("fault: cut between %s and %s for %ld ms, open connections %s",
            cut->wrk ? "all processes" : processes[cut->process].name,
            cut->wrk ? cut->wrk->id : "the store", (long)ms,
            form_names[cut->form]);
  step_cut (cut);
}

/* The pause until the next cuts; they come in series.  */
static int64_t
pause_ms (struct rng *rng)
{
  bool series = soak_draw (rng) < 0.5;
  return series ? soak_between (rng, 100, 1500)
                : soak_between (rng, 3500, 8000);
}

static void
change_config (void *arg)
{
  if (!stopped)
    operator_change ();
}

/* Some cuts have versions beside them.  */
static void
plan_changes (int64_t cut_ms)
{
  int count = (int)soak_between (&config_rng, -2, CHANGES_MAX);
  for (int n = 0; n < count && enabled.config; n++)
    net_after (soak_between (&config_rng, 0, cut_ms + CHANGES_AFTER_MS),
               change_config, NULL);
}

static void
plan_store (void *arg)
{
  struct rng *rng = &store_rng;
  double share = 0.1 + 0.7 * soak_draw (rng);
  int64_t ms = soak_between (rng, 600, 4500);
  if (stopped)
    return;
  plan_changes (ms);
  for (int n = 0; n < process_count; n++)
    {
      bool hit = soak_draw (rng) < share;
      int64_t more = soak_between (rng, 0, 500);
      const struct cut cut
          = { .srv = store_server (n),
              .process = n,
              .form = (enum form)soak_between (rng, 0, FORM_COUNT - 1) };
      if (hit && !store_is_cut[n])
        begin_cut (&cut, ms + more);
    }
  net_after (ms + pause_ms (rng), plan_store, NULL);
}

static void
plan_worker (void *arg)
{
  struct rng *rng = &worker_rng;
  double share = 0.05 + 0.25 * soak_draw (rng);
  int64_t ms = soak_between (rng, 300, 7000);
  if (stopped)
    return;
  for (size_t n = 0; n < worker_count; n++)
    {
      bool hit = soak_draw (rng) < share;
      const struct cut cut
          = { .srv = workers[n].srv,
              .process = -1,
              .wrk = &workers[n],
              .form = (enum form)soak_between (rng, 0, FORM_COUNT - 1) };
      if (hit && !worker_is_cut[n])
        begin_cut (&cut, ms);
    }
  net_after (pause_ms (rng), plan_worker, NULL);
}

static void
plan_silence (void *arg)
{
  struct rng *rng = &silence_rng;
  bool to_store = soak_draw (rng) < 0.5;
  bool arrives = soak_draw (rng) < 0.3;
  double share = 0.3 + soak_draw (rng);
  if (stopped)
    return;
  if (!enabled.worker_silence || !enabled.store_silence)
    to_store = enabled.store_silence;
  impair_span (IMPAIRED_ALL, 0, soak_ms (), soak_ms ());
  soak_log ("fault: connections to %s fall silent%s",
            to_store ? "the store" : "workers",
            arrives ? ", requests still arrive" : "");
  for (int n = 0; to_store && n < process_count; n++)
    if (soak_draw (rng) < share)
      net_silence_all (store_server (n), arrives);
  for (size_t n = 0; !to_store && n < worker_count; n++)
    if (soak_draw (rng) < share)
      net_silence_all (workers[n].srv, arrives);
  net_after (soak_between (rng, 4000, 12000), plan_silence, NULL);
}

void
cuts_start (const struct cuts *cuts, uint64_t seed, int64_t start_ms)
{
  enabled = *cuts;
  store_rng = rng_make (seed, "store cuts");
  worker_rng = rng_make (seed, "worker cuts");
  silence_rng = rng_make (seed, "silence");
  config_rng = rng_make (seed, "versions beside cuts");
  if (enabled.store)
    net_after (start_ms, plan_store, NULL);
  if (enabled.worker)
    net_after (start_ms, plan_worker, NULL);
  if (enabled.store_silence || enabled.worker_silence)
    net_after (start_ms, plan_silence, NULL);
}

void
cuts_stop (void)
{
  stopped = true;
}
