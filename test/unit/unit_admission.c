#include <check.h>
#include <stdlib.h>

#include "sched/admission.h"

/* Tests of sched/admission.c with the jobs of one pool, simulated in steps of
   20 ms.  The pool serves jobs that have waited for a short time first and the
   others by what is left of their time, as its owner does.  */

#define STEP_MS 20
#define DAY_MS 60000
#define JOBS_MAX 60000
/* Each job is one core for this time; clients learn of the share this much
   later.  */
#define WORK_MS 1000
#define SHARE_DELAY_MS 600
/* A job's result is past use if its start waits for longer.  */
#define WAIT_MAX_MS 6000
/* The owner starts jobs that have waited for less before all others.  */
#define FRESH_MS 600

struct load
{
  const char *name;
  /* Cores of the pool at first, and from ARRIVE_MS on.  */
  int cores, cores_later, arrive_ms;
  /* Jobs a second at all times, and more from FROM_MS to TO_MS.  */
  int per_s, more_per_s, from_ms, to_ms;
  /* Most jobs, of 100 offered, that are accepted and end past use, and least
     and most that are rejected.  */
  int past_use_max, rejected_min, rejected_max;
  /* Most rejected jobs, of 100 rejected, that the pool could have done.  */
  int needless_max;
};

static const struct load loads[] = {
  { "within capacity", 100, 100, 0, 90, 0, 0, 0, 0, 0, 0, 0 },
  { "short surge", 100, 100, 0, 10, 250, 5000, 8000, 5, 0, 2, 100 },
  /* Three times what the pool can do for 30 s: about half of all jobs cannot
     be done.  */
  { "long surge", 100, 100, 0, 10, 300, 5000, 35000, 12, 40, 60, 20 },
  /* The hosts for the surge arrive after 3 s.  */
  { "surge before its hosts", 20, 320, 8000, 10, 300, 5000, 15000, 1, 0, 0,
    0 },
  { "for good", 100, 100, 0, 200, 0, 0, 0, 12, 35, 50, 5 },
  { "for good, by little", 100, 100, 0, 130, 0, 0, 0, 12, 5, 25, 5 },
};

struct sim_job
{
  int at_ms;
  int left_ms; /* of its work; -1: ended */
  bool running;
};

struct sim
{
  struct admission adm;
  struct sim_job jobs[JOBS_MAX];
  int count; /* accepted */
  int first; /* those before have ended or are past use */
  int seen;  /* accepted before the last computation */
  int offered, rejected, past_use, needless;
  uint32_t shares[DAY_MS / STEP_MS];
  uint64_t draws;
};

static struct sim sim;

static uint64_t
draw (void)
{
  sim.draws = sim.draws * 6364136223846793005u + 1442695040888963407u;
  return sim.draws >> 20;
}

static void
offer (const struct load *load, int now_ms)
{
  bool more = now_ms >= load->from_ms && now_ms < load->to_ms;
  int per_s = load->per_s + (more ? load->more_per_s : 0);
  int due = per_s * now_ms / 1000 - per_s * (now_ms - STEP_MS) / 1000;
  int seen_ms = now_ms - SHARE_DELAY_MS;
  uint32_t share = seen_ms > 0 ? sim.shares[seen_ms / STEP_MS] : ADMISSION_ALL;
  for (int n = 0; n < due; n++)
    {
      sim.offered++;
      if (!admission_accepts (share, draw ()))
        sim.rejected++;
      else
        {
          ck_assert_int_lt (sim.count, JOBS_MAX);
          sim.jobs[sim.count++]
              = (struct sim_job){ .at_ms = now_ms, .left_ms = WORK_MS };
        }
    }
}

static bool
is_past_use (const struct sim_job *job, int now_ms)
{
  return !job->running && now_ms - job->at_ms > WAIT_MAX_MS;
}

static bool
start_job (struct sim_job *job, int now_ms, int waited_max_ms)
{
  if (job->running || job->left_ms < WORK_MS
      || now_ms - job->at_ms > waited_max_ms)
    return false;
  job->running = true;
  return true;
}

/* Lets the pool work for one step.  Returns the cores that did.  */
static int
work (int cores, int now_ms)
{
  int used = 0;
  for (int n = sim.first; n < sim.count; n++)
    if (sim.jobs[n].running)
      {
        used++;
        sim.jobs[n].left_ms -= STEP_MS;
        sim.jobs[n].running = sim.jobs[n].left_ms > 0;
        sim.jobs[n].left_ms -= !sim.jobs[n].running;
      }
  /* Fresh jobs come first, then those that have the least time left.  */
  for (int n = sim.count - 1; n >= sim.first && used < cores; n--)
    used += start_job (&sim.jobs[n], now_ms, FRESH_MS);
  for (int n = sim.first; n < sim.count && used < cores; n++)
    used += start_job (&sim.jobs[n], now_ms, WAIT_MAX_MS);
  while (sim.first < sim.count
         && (sim.jobs[sim.first].left_ms < 0
             || is_past_use (&sim.jobs[sim.first], now_ms)))
    sim.first++;
  return used;
}

static int
count_past_use (int now_ms)
{
  int count = 0;
  for (int n = 0; n < sim.count; n++)
    count += sim.jobs[n].left_ms == WORK_MS
             && is_past_use (&sim.jobs[n], now_ms);
  return count;
}

static void
simulate (const struct load *load)
{
  sim = (struct sim){ .draws = 7 };
  admission_init (&sim.adm, 0);
  for (int now_ms = STEP_MS; now_ms < DAY_MS; now_ms += STEP_MS)
    {
      int cores = now_ms < load->arrive_ms ? load->cores : load->cores_later;
      offer (load, now_ms);
      int used = work (cores, now_ms);
      struct admission_load al = { .rate_milli = 1000 * (int64_t)used,
                                   .wait_max_ms = WAIT_MAX_MS,
                                   .accepted_ms = 500,
                                   .job_core_us = 1000 * WORK_MS,
                                   .accepted_jobs = sim.count - sim.seen,
                                   .hosts = (uint32_t)cores };
      for (int n = sim.first; n < sim.count; n++)
        {
          const struct sim_job *job = &sim.jobs[n];
          bool useful = job->left_ms > 0 && !is_past_use (job, now_ms);
          al.useful_core_us += useful ? 1000 * job->left_ms : 0;
          al.tasks_wait = al.tasks_wait || (useful && !job->running);
        }
      for (int n = sim.count; n-- > 0 && now_ms - sim.jobs[n].at_ms < 500;)
        al.accepted_core_us += al.job_core_us;
      al.past_use_jobs = count_past_use (now_ms) - sim.past_use;
      al.hosts_short = al.tasks_wait;
      if (admission_due (&sim.adm, now_ms * (int64_t)1000))
        {
          sim.needless
              += (int)admission_update (&sim.adm, &al, now_ms * (int64_t)1000);
          sim.seen = sim.count;
          sim.past_use = count_past_use (now_ms);
        }
      sim.shares[now_ms / STEP_MS] = sim.adm.accept_permille;
    }
  sim.past_use = count_past_use (DAY_MS);
}

/* Guards against jobs that are accepted although they cannot be served
   (SHORT): each waits until its result is of no use; and against jobs that are
   rejected although the pool could serve them.  */
START_TEST (test_loads)
{
  const struct load *it = &loads[_i];
  simulate (it);
  ck_assert_msg (sim.past_use * 100 <= it->past_use_max * sim.offered
                     && sim.rejected * 100 >= it->rejected_min * sim.offered
                     && sim.rejected * 100 <= it->rejected_max * sim.offered
                     && sim.needless * 100 <= it->needless_max * sim.rejected,
                 "%s: offered %d, rejected %d, past use %d, needless %d",
                 it->name, sim.offered, sim.rejected, sim.past_use,
                 sim.needless);
}
END_TEST

/* Guards against rejected callers that all return at once.  */
START_TEST (test_retry_after)
{
  int seconds[21] = { 0 };
  for (int n = 0; n < 10000; n++)
    {
      int64_t ms = admission_retry_after_ms (5000, draw ());
      ck_assert_int_ge (ms, 5000);
      ck_assert_int_lt (ms, 10000);
      seconds[ms / 1000]++;
    }
  for (int n = 5; n < 10; n++)
    ck_assert_int_ge (seconds[n], 1800);
}
END_TEST

/* Guards against a share of none, with which the owner would never learn that
   callers are back, and against divisions by nothing.  */
START_TEST (test_extremes)
{
  struct admission adm;
  struct admission_load load = { .useful_core_us = INT64_MAX / 4000,
                                 .wait_max_ms = 1,
                                 .accepted_core_us = 1,
                                 .accepted_ms = 500 };
  admission_init (&adm, 0);
  for (int64_t now_us = 0; now_us < 20000000; now_us += 250000)
    admission_update (&adm, &load, now_us);
  ck_assert_uint_ge (adm.accept_permille, 1);
  load = (struct admission_load){ 0 };
  admission_update (&adm, &load, 21000000);
  ck_assert_uint_eq (adm.accept_permille, ADMISSION_ALL);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("admission");
  TCase *tc = tcase_create ("admission");
  tcase_set_timeout (tc, 60);
  tcase_add_loop_test (tc, test_loads, 0, sizeof loads / sizeof *loads);
  tcase_add_test (tc, test_retry_after);
  tcase_add_test (tc, test_extremes);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
