#include <check.h>
#include <ctype.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "placer_world.h"
#include "sched/placer_priv.h"

/* Tests of sched/demand.c: the hosts that a pool's perpetual tasks need.  */

static struct world *wld;

static void
setup (void)
{
  wld = world_create ();
  world_release_earlier (wld);
}

static void
teardown (void)
{
  world_destroy (wld);
}

/* Registers the worker "wN" with 4 processors, 8 GB and the label LABEL.  */
static void
report_worker (size_t n, char label, bool draining)
{
  struct worker_report rep
      = { .capacity = { .cpu_milli = 4000, .memory_mb = 8192 },
          .clock_ms = 1000,
          .born_ms = 1000,
          .draining = draining,
          .label_count = 1 };
  snprintf (rep.id, sizeof rep.id, "w%zu", n);
  snprintf (rep.host, sizeof rep.host, "m-w%zu", n);
  name_copy (rep.pool, "p");
  name_copy (rep.address, "10.0.0.1:1");
  rep.labels[0][0] = label;
  placer_update_worker (wld->plc, rep.id, &rep);
}

/* Adds one worker for each letter of LABELS.  That of a capital letter drains
   as soon as it is known.  */
static void
add_workers (const char *labels)
{
  char id[NAME_BYTES];
  for (size_t n = 0; labels[n]; n++)
    report_worker (n, (char)tolower (labels[n]), false);
  world_tick (wld, 1);
  for (size_t n = 0; labels[n]; n++)
    {
      snprintf (id, sizeof id, "w%zu", n);
      world_answer_hold (wld, id, NULL, 0, NULL, 0);
    }
  world_tick (wld, 1);
  world_tick (wld, 1);
  for (size_t n = 0; labels[n]; n++)
    if (isupper (labels[n]))
      report_worker (n, (char)tolower (labels[n]), true);
}

static void
add_step (uint64_t id, const char *step)
{
  char *json = talloc_asprintf (wld, "{\"steps\":[{%s}]}", step);
  world_add_job (wld, id, json, 200 + id);
}

static struct placer_demand
demand (void)
{
  struct placer_demand dem;
  placer_demand (wld->plc, &dem);
  return dem;
}

#define LASTS "\"perpetual\":true,\"estimate-ms\":900,"
#define SEVEN LASTS "\"count\":7,\"mem-mb\":10,\"fills\":true,\"cpu\":3000,"

static const struct needs
{
  const char *workers; /* see add_workers */
  const char *step;
  uint32_t lacking; /* of the last plan */
  uint32_t needed;
  const char *label;
} needs[] = {
  /* Two at most on a worker.  */
  { "aaaa", SEVEN "\"anti-affinity\":2", 0, 0, "" },
  { "aaa", SEVEN "\"anti-affinity\":2", 0, 1, "" },
  { "a", SEVEN "\"anti-affinity\":2", 0, 3, "" },
  { "", SEVEN "\"anti-affinity\":2", 0, 4, "" },
  /* A worker that leaves by its own notice is a place no more.  */
  { "aaaA", SEVEN "\"anti-affinity\":2", 0, 1, "" },
  { "aaAA", SEVEN "\"anti-affinity\":2", 0, 2, "" },
  /* No bound: one worker has room for all.  */
  { "a", SEVEN "\"anti-affinity\":0", 0, 0, "" },
  { "A", SEVEN "\"anti-affinity\":0", 0, 1, "" },
  /* Labels.  */
  { "aab", SEVEN "\"anti-affinity\":4,\"requirements\":\"b\"", 0, 1, "b" },
  { "abb", SEVEN "\"anti-affinity\":4,\"requirements\":\"b\"", 0, 0, "" },
  { "abB", SEVEN "\"anti-affinity\":4,\"requirements\":\"b\"", 0, 1, "b" },
  { "aaa", SEVEN "\"requirements\":\"c\"", 0, 1, "c" },
  { "aab", LASTS "\"count\":5,\"mem-mb\":5000,\"requirements\":\"b\"", 0, 4,
    "b" },
  { "aaa", LASTS "\"count\":1,\"gpu\":1,\"requirements\":\"c\"", 0, 1, "c" },
  { "aab", LASTS "\"count\":1,\"gpu\":1,\"requirements\":\"b\"", 0, 0, "" },
  /* Room: one of them fits on a worker.  */
  { "aaa", LASTS "\"count\":4,\"cpu\":3000", 0, 1, "" },
  { "aaaa", LASTS "\"count\":4,\"cpu\":3000", 0, 0, "" },
  { "aa", LASTS "\"count\":4,\"fills\":true,\"mem-mb\":5000", 0, 2, "" },
  /* Two steps that fit one by one, but not both.  */
  { "aa",
    LASTS "\"count\":2,\"mem-mb\":5000},{" LASTS "\"count\":2,\"mem-mb\":5000",
    0, 1, "" },
  /* No host would help, as none has room for one.  */
  { "aa", LASTS "\"count\":9,\"cpu\":5000", 0, 0, "" },
  { "aa", LASTS "\"count\":1,\"mem-mb\":9000,\"anti-affinity\":1", 0, 0, "" },
  { "aa", LASTS "\"count\":1,\"gpu\":1,\"anti-affinity\":1", 0, 0, "" },
  /* Batch work needs none.  */
  { "aa", "\"count\":7,\"cpu\":100,\"estimate-ms\":900,\"anti-affinity\":1", 0,
    0, "" },
  /* What the last plan lacked.  */
  { "aaaa", SEVEN "\"anti-affinity\":2", 2, 2, "" },
  { "aaa", SEVEN "\"anti-affinity\":2", 2, 2, "" },
  { "a", SEVEN "\"anti-affinity\":2", 2, 3, "" },
};

/* Guards against a pool that gives up, or does not ask for, hosts without
   which a perpetual task has no place (LOST), because only processors and
   memory are counted.  */
START_TEST (test_needed_hosts)
{
  const struct needs *it = &needs[_i];
  add_workers (it->workers);
  add_step (1, it->step);
  wld->plc->takeover_done = true;
  wld->plc->lacking_hosts = it->lacking;
  wld->plc->placeless_hosts = 2;
  const struct placer_demand dem = demand ();
  ck_assert_uint_eq (dem.placeless_hosts, it->needed < 2 ? it->needed : 2);
  ck_assert_uint_eq (dem.needed_hosts, it->needed);
  ck_assert_str_eq (dem.needed_label, it->label);
  ck_assert_uint_ge (dem.short_hosts, it->needed);
  ck_assert_uint_ge (dem.urgent_hosts, it->needed);
}
END_TEST

static const struct idle
{
  const char *workers;
  const char *step;
  const char *never; /* hosts that are not given up */
  size_t least;      /* that are given up */
} idle[] = {
  { "aaaaaa", SEVEN "\"anti-affinity\":2", "", 1 },
  { "aaaa", SEVEN "\"anti-affinity\":2", "m-w0 m-w1 m-w2 m-w3", 0 },
  { "baaa", SEVEN "\"requirements\":\"b\"", "m-w0", 2 },
  { "aaab", SEVEN "\"requirements\":\"b\"", "m-w3", 2 },
  { "abab", SEVEN "\"anti-affinity\":4,\"requirements\":\"b\"", "m-w1 m-w3",
    1 },
  /* One of them leaves soon.  */
  { "aaaaA", SEVEN "\"anti-affinity\":2", "m-w0 m-w1 m-w2 m-w3", 0 },
  /* Others are still given up while a host with a label is missing.  */
  { "aaaa", SEVEN "\"requirements\":\"c\"", "", 2 },
};

/* Guards against an empty host that is given up although the tasks that are
   about to start need it: they would have to wait for another one.  */
START_TEST (test_needed_hosts_not_idle)
{
  const struct idle *it = &idle[_i];
  add_workers (it->workers);
  add_step (1, it->step);
  wld->plc->takeover_done = true;
  const struct placer_demand dem = demand ();
  for (size_t n = 0; n < dem.idle_count; n++)
    ck_assert_msg (!strstr (it->never, dem.idle[n]), "%s", dem.idle[n]);
  ck_assert_uint_ge (dem.idle_count, it->least);
}
END_TEST

enum absence
{
  SILENT,
  UNREGISTERED,
  FAILING,
  ENDED,
  VACATED,
};

static const struct
{
  enum absence kind;
  uint32_t at_once; /* needed hosts */
  uint32_t later;   /* 4 s later */
  uint32_t at_last; /* 6 s later */
} absences[] = {
  { SILENT, 0, 0, 1 },
  { UNREGISTERED, 0, 0, 1 },
  { FAILING, 0, 0, 1 },
  /* They do not come back.  */
  { ENDED, 1, 1, 1 },
  { VACATED, 1, 1, 1 },
};

/* Guards against hosts that are ordered for each worker of a data centre that
   is cut off for some seconds, and against places that are waited for although
   their worker is gone.  */
START_TEST (test_absent_workers)
{
  add_workers ("aaaa");
  add_step (1, SEVEN "\"anti-affinity\":2");
  wld->plc->takeover_done = true;
  ck_assert_uint_eq (demand ().needed_hosts, 0);
  struct worker *wrk = wld->plc->pool.workers[0];
  switch (absences[_i].kind)
    {
    case SILENT:
      wrk->unanswered_calls = 2;
      break;
    case UNREGISTERED:
      placer_update_worker (wld->plc, wrk->rep.id, NULL);
      break;
    case FAILING:
      wrk->failing_until_us = wld->clk.now_us + 60000000;
      break;
    case ENDED:
      placer_worker_ended (wld->plc, wrk->rep.id);
      break;
    case VACATED:
      placer_vacate (wld->plc, wrk->rep.host, wld->clk.now_us + 5000000);
      break;
    }
  ck_assert_uint_eq (demand ().needed_hosts, absences[_i].at_once);
  wld->clk.now_us += 4000000;
  ck_assert_uint_eq (demand ().needed_hosts, absences[_i].later);
  wld->clk.now_us += 2000000;
  ck_assert_uint_eq (demand ().needed_hosts, absences[_i].at_last);
  /* The time counts anew once it has taken tasks again.  */
  wrk->unanswered_calls = 0;
  if (absences[_i].kind == SILENT)
    {
      ck_assert_uint_eq (demand ().needed_hosts, 0);
      wrk->unanswered_calls = 2;
      ck_assert_uint_eq (demand ().needed_hosts, 0);
    }
}
END_TEST

/* Takes one host of the platform's list.  */
static void
list_host (size_t n, enum host_state state)
{
  struct host_report rep = { .state = state };
  snprintf (rep.name, sizeof rep.name, "m-w%zu", n);
  if (state == HOST_UP)
    snprintf (rep.worker, sizeof rep.worker, "w%zu", n);
  placer_update_host (wld->plc, &rep, wld->clk.now_us);
}

/* Brings a worker of a takeover into the state KIND:
   r: has answered this owner; a: the same, but has to be asked again, as
   earlier owners could still start tasks then; u: registered, not reached yet;
   s: the same, and two calls had no answer; e: ended, by the list of hosts; d:
   drains; v: asked to be vacated, runs nothing; V: the same, with runs; n: in
   the earlier owner's record only; g: the same, its host is down; m: the same,
   its host was down in an earlier list.  */
static void
set_kind (size_t n, char kind)
{
  char id[NAME_BYTES];
  char host[NAME_BYTES];
  snprintf (id, sizeof id, "w%zu", n);
  snprintf (host, sizeof host, "m-w%zu", n);
  struct worker *wrk = pool_find_id (&wld->plc->pool, id);
  int64_t known_us = wld->clk.now_us - 10000000;
  switch (kind)
    {
    case 'a':
      wrk->settled = false;
      return;
    case 'u':
      wrk->reached = wrk->enrolled = false;
      return;
    case 's':
      wrk->reached = wrk->enrolled = false;
      wrk->unanswered_calls = 2;
      return;
    case 'e':
      wrk->known_us = known_us;
      wrk->hold_answered_us = 0;
      wrk->unanswered_calls = 1;
      list_host (n, HOST_DOWN);
      return;
    case 'd':
      report_worker (n, 'a', true);
      return;
    case 'v':
    case 'V':
      placer_vacate (wld->plc, host, wld->clk.now_us + 5000000);
      wrk->vac->had_runs = kind == 'V';
      return;
    case 'n':
    case 'g':
    case 'm':
      placer_add_earlier_worker (wld->plc, id, host, 1000, known_us);
      if (kind != 'n')
        list_host (n, HOST_DOWN);
      if (kind == 'm')
        list_host (n, HOST_UP);
      return;
    }
}

/* Begins a takeover of a pool whose workers are in the states KINDS.  It stays
   open, as no tick follows.  */
static void
begin_takeover (const char *kinds)
{
  char id[NAME_BYTES];
  struct placer *plc = wld->plc;
  for (size_t n = 0; kinds[n]; n++)
    if (!strchr ("ngm", kinds[n]))
      report_worker (n, 'a', false);
  world_tick (wld, 1);
  for (size_t n = 0; kinds[n]; n++)
    {
      snprintf (id, sizeof id, "w%zu", n);
      if (world_call (wld, WORLD_HOLD, id))
        world_answer_hold (wld, id, NULL, 0, NULL, 0);
    }
  world_tick (wld, 1);
  world_tick (wld, 1);
  plc->takeover_done = false;
  plc->claimed_us = wld->clk.now_us;
  plc->earlier_leases_end_us = wld->clk.now_us + 60000000;
  wld->clk.now_us += 1000;
  for (size_t n = 0; kinds[n]; n++)
    set_kind (n, kinds[n]);
}

static int64_t
never_read (void *arg)
{
  return 0;
}

static int64_t
read_before_claim (void *arg)
{
  const struct world *of = arg;
  return of->plc->claimed_us - 1;
}

static int64_t
read_now (void *arg)
{
  const struct world *of = arg;
  return of->clk.now_us;
}

static const struct
{
  const char *kinds; /* see set_kind */
  int64_t (*workers_read_us) (void *arg);
  uint32_t at_once; /* needed hosts */
  uint32_t later;   /* 4 s later */
  uint32_t at_last; /* 6 s later */
} takeovers[] = {
  { "rrrr", read_now, 0, 0, 0 },
  { "rrr", read_now, 1, 1, 1 },
  { "", read_now, 4, 4, 4 },
  /* Workers that have ended or leave are no places.  */
  { "rrree", read_now, 1, 1, 1 },
  { "rrrd", read_now, 1, 1, 1 },
  { "rrrg", read_now, 1, 1, 1 },
  { "ee", read_now, 4, 4, 4 },
  { "uuue", read_now, 1, 1, 4 },
  /* Those that have not answered yet are.  */
  { "rrru", read_now, 0, 0, 1 },
  { "rrrs", read_now, 0, 0, 1 },
  { "rrrn", read_now, 0, 0, 1 },
  { "rrrm", read_now, 0, 0, 1 },
  { "uuuu", read_now, 0, 0, 4 },
  { "nnnn", read_now, 0, 0, 4 },
  { "nnn", read_now, 1, 1, 4 },
  { "usn", read_now, 1, 1, 4 },
  /* A vacated host is one if the owner may still keep it.  */
  { "rrrv", read_now, 1, 1, 1 },
  { "rrrV", read_now, 0, 0, 1 },
  /* The reports may name further workers.  */
  { "rrr", never_read, 0, 0, 1 },
  { "rrr", read_before_claim, 0, 0, 1 },
  { "", never_read, 0, 0, 4 },
  { "", read_before_claim, 0, 0, 4 },
};

/* Guards against perpetual tasks that wait for the end of a takeover, and for
   a host only after it; and against hosts that a new owner orders although it
   has them, as it does not know its workers yet.  */
START_TEST (test_needed_in_takeover)
{
  begin_takeover (takeovers[_i].kinds);
  wld->plc->env.workers_read_us = takeovers[_i].workers_read_us;
  add_step (1, SEVEN "\"anti-affinity\":2");
  ck_assert_uint_eq (demand ().needed_hosts, takeovers[_i].at_once);
  wld->clk.now_us += 4000000;
  ck_assert_uint_eq (demand ().needed_hosts, takeovers[_i].later);
  wld->clk.now_us += 2000000;
  ck_assert_uint_eq (demand ().needed_hosts, takeovers[_i].at_last);
}
END_TEST

static const struct
{
  const char *kinds; /* see set_kind */
  uint32_t waiting;  /* tasks that no worker has room for */
  uint32_t short_hosts;
  size_t idle; /* most hosts that are given up */
} begins[] = {
  { "uuuuu", 0, 0, 0 },
  { "uuuuu", 1, 0, 0 },
  { "ruuuu", 1, 0, 0 },
  { "rruuu", 1, 0, 0 },
  { "nnnnn", 1, 0, 0 },
  { "rnnnn", 1, 0, 0 },
  { "rrrrr", 0, 0, 2 },
  /* Nothing is known of what runs until the first one has answered.  */
  { "u", 1, 0, 0 },
  { "ue", 1, 0, 0 },
  { "us", 1, 0, 0 },
  /* What the workers in sight lack is asked for at once.  */
  { "r", 0, 2, 0 },
  { "re", 0, 2, 0 },
  { "ru", 0, 1, 0 },
  { "s", 0, 2, 0 },
  { "v", 0, 2, 0 },
  { "", 0, 2, 0 },
  { "rr", 0, 1, 0 },
  { "rrr", 1, 1, 0 },
};

/* Guards against a new owner that orders hosts before its workers have
   answered it, as if it had none; and that gives up one because of those that
   have not.  */
START_TEST (test_short_at_begin)
{
  begin_takeover (begins[_i].kinds);
  add_step (1, "\"count\":4,\"cpu\":900,\"estimate-ms\":900");
  wld->plc->waiting_cpu_milli = 4 * 900;
  wld->plc->useful_waiting_tasks = begins[_i].waiting;
  const struct placer_demand dem = demand ();
  ck_assert_uint_eq (dem.needed_hosts, 0);
  ck_assert_uint_eq (dem.short_hosts, begins[_i].short_hosts);
  ck_assert_uint_le (dem.idle_count, begins[_i].idle);
}
END_TEST

static const struct
{
  const char *kinds; /* see set_kind */
  uint64_t offset;   /* of the job's record; the fence is at 100 */
  const char *step;
  size_t most;  /* hosts that are given up during the takeover */
  size_t least; /* and once it is done */
} waiting_tasks[] = {
  /* Workers that have to be asked again stay, whatever the tasks need.  */
  { "aaaaaa", 50, "\"count\":1,\"cpu\":900,\"estimate-ms\":900", 0, 3 },
  { "aaaaau", 50, "\"count\":1,\"cpu\":900,\"estimate-ms\":900", 0, 3 },
  { "aaaaae", 50, LASTS "\"count\":1,\"cpu\":900", 0, 3 },
  { "aaaaae", 50, LASTS "\"count\":1,\"mem-mb\":9", 0, 3 },
  /* The others stay as far as the tasks may need them, by processors, by
     memory, or as places of perpetual tasks.  */
  { "rrrrrr", 50, "\"count\":6,\"cpu\":4000,\"estimate-ms\":900", 0, 0 },
  { "rrrrrr", 50, "\"count\":6,\"cpu\":9,\"mem-mb\":8000,\"estimate-ms\":9", 0,
    0 },
  { "rrrrrr", 50, LASTS "\"count\":6,\"cpu\":4000", 0, 0 },
  { "rrrrrr", 50, LASTS "\"count\":6,\"mem-mb\":9,\"anti-affinity\":1", 0, 0 },
  { "rrrrrr", 50, "\"count\":3,\"cpu\":4000,\"estimate-ms\":900", 2, 0 },
  { "rrrrrr", 50, "\"count\":1,\"cpu\":900,\"estimate-ms\":900", 4, 3 },
  { "rrraau", 50, "\"count\":1,\"cpu\":900,\"estimate-ms\":900", 3, 3 },
  { "rrrrre", 50, LASTS "\"count\":1,\"cpu\":900", 3, 3 },
  /* Earlier owners cannot have started it.  */
  { "rrrrrr", 200, "\"count\":1,\"cpu\":900,\"estimate-ms\":900", 6, 3 },
};

/* Guards against hosts that are given up while tasks wait for the end of a
   takeover: they count as no work, and a worker that has to be asked again and
   leaves with its host makes the takeover last longer.  */
START_TEST (test_no_idle_in_takeover)
{
  size_t most = 0;
  begin_takeover (waiting_tasks[_i].kinds);
  char *json
      = talloc_asprintf (wld, "{\"steps\":[{%s}]}", waiting_tasks[_i].step);
  world_add_job (wld, 1, json, waiting_tasks[_i].offset);
  for (int n = 0; n < 30; n++)
    {
      const struct placer_demand dem = demand ();
      ck_assert_uint_le (dem.idle_count, waiting_tasks[_i].most);
      if (dem.idle_count > most)
        most = dem.idle_count;
      wld->clk.now_us += 100000;
    }
  ck_assert ((most > 0) == (waiting_tasks[_i].most > 0));
  wld->plc->takeover_done = true;
  ck_assert_uint_ge (demand ().idle_count, waiting_tasks[_i].least);
}
END_TEST

#define BATCH "\"count\":4,\"cpu\":3000,\"estimate-ms\":900"
#define GANG BATCH ",\"gang\":true"

static const struct
{
  const char *kinds; /* see set_kind */
  bool takeover;
  uint64_t offset; /* of the job's record; the fence is at 100 */
  const char *step;
  uint32_t least_hosts;
} lost_pools[] = {
  { "", false, 200, BATCH, 2 },
  { "", false, 200, GANG, 2 },
  { "eeee", false, 200, BATCH, 2 },
  { "eeee", false, 200, GANG, 2 },
  { "eeee", false, 50, GANG, 2 },
  /* The job came after the takeover began.  */
  { "eeee", true, 200, BATCH, 2 },
  { "eeee", true, 200, GANG, 2 },
  { "ssss", true, 200, GANG, 2 },
  /* It waits for the end of the takeover: one host for the next arrivals.  */
  { "", true, 50, BATCH, 1 },
  { "eeee", true, 50, BATCH, 1 },
  { "eeee", true, 50, GANG, 1 },
  { "ssss", true, 50, GANG, 1 },
};

/* Milliseconds until HOSTS are reported as missing.  */
static int64_t
short_after_ms (uint32_t hosts)
{
  const int64_t begun_us = wld->clk.now_us;
  while (demand ().short_hosts < hosts && wld->clk.now_us < begun_us + 8000000)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 40);
    }
  return (wld->clk.now_us - begun_us) / 1000;
}

/* Guards against batch tasks and gangs of a pool that has lost all its workers
   and whose hosts are asked for late.  */
START_TEST (test_lost_pool_is_short)
{
  begin_takeover (lost_pools[_i].kinds);
  wld->plc->takeover_done = !lost_pools[_i].takeover;
  char *json
      = talloc_asprintf (wld, "{\"steps\":[{%s}]}", lost_pools[_i].step);
  struct job *job = world_add_job (wld, 1, json, lost_pools[_i].offset);
  job->seen_us = wld->clk.now_us - 60000000; /* no arrival of late */
  ck_assert_int_le (short_after_ms (lost_pools[_i].least_hosts), 80);
  /* And the rest as soon as it is over.  */
  wld->plc->takeover_done = true;
  ck_assert_int_le (short_after_ms (2), 80);
}
END_TEST

/* Guards against a spare host that is given up again before the host for which
   it came can be vacated, and that is asked for anew, in turn.  */
START_TEST (test_reserve_for_kept_host)
{
  struct placer_kept kept;
  add_workers ("aaaa");
  world_confirm_ownership (wld);
  add_step (1, SEVEN "\"anti-affinity\":2");
  for (int n = 0; n < 10; n++)
    world_tick (wld, 50);
  wld->plc->takeover_done = true;
  ck_assert (placer_vacate (wld->plc, "m-w1", wld->clk.now_us + 5000000));
  world_tick (wld, 200);
  ck_assert (placer_host_kept (wld->plc, "m-w1", &kept));
  ck_assert_uint_eq (demand ().needed_hosts, 1);
  report_worker (4, 'a', false);
  struct worker *wrk = wld->plc->pool.workers[4];
  wrk->reached = wrk->settled = wrk->enrolled = true;
  wrk->clock_ms = 1000;
  world_confirm_ownership (wld);
  world_tick (wld, 200);
  ck_assert_uint_eq (demand ().needed_hosts, 0);
  ck_assert_uint_eq (demand ().schedulable_hosts, 5);
  ck_assert_uint_eq (demand ().idle_count, 0);
  /* Not for ever.  */
  wld->clk.now_us += 10000000;
  ck_assert_uint_eq (demand ().idle_count, 1);
}
END_TEST

/* Guards against a label that no host has and for which all others that are
   missing wait.  */
START_TEST (test_labels_in_turn)
{
  char seen[16] = "";
  add_workers ("a");
  add_step (1, LASTS "\"count\":1,\"mem-mb\":1,\"requirements\":\"none\"");
  add_step (2, LASTS "\"count\":1,\"mem-mb\":1,\"requirements\":\"b\"");
  add_step (3, LASTS "\"count\":2,\"mem-mb\":1,\"anti-affinity\":1");
  wld->plc->takeover_done = true;
  for (int n = 0; n < 60; n++)
    {
      const struct placer_demand dem = demand ();
      ck_assert_uint_eq (dem.needed_hosts, 1);
      const char *label = *dem.needed_label ? dem.needed_label : "any";
      if (!strstr (seen, label))
        strncat (seen, label, sizeof seen - strlen (seen) - 1);
      wld->clk.now_us += 100000;
    }
  ck_assert_uint_eq (strlen (seen), strlen ("none"
                                            "b"
                                            "any"));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("demand");
  TCase *tcase = tcase_create ("demand");
  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_loop_test (tcase, test_needed_hosts, 0,
                       sizeof needs / sizeof *needs);
  tcase_add_loop_test (tcase, test_needed_hosts_not_idle, 0,
                       sizeof idle / sizeof *idle);
  tcase_add_loop_test (tcase, test_absent_workers, 0,
                       sizeof absences / sizeof *absences);
  tcase_add_loop_test (tcase, test_needed_in_takeover, 0,
                       sizeof takeovers / sizeof *takeovers);
  tcase_add_loop_test (tcase, test_short_at_begin, 0,
                       sizeof begins / sizeof *begins);
  tcase_add_loop_test (tcase, test_no_idle_in_takeover, 0,
                       sizeof waiting_tasks / sizeof *waiting_tasks);
  tcase_add_loop_test (tcase, test_lost_pool_is_short, 0,
                       sizeof lost_pools / sizeof *lost_pools);
  tcase_add_test (tcase, test_reserve_for_kept_host);
  tcase_add_test (tcase, test_labels_in_turn);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed > 0;
}
