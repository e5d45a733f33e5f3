#include "test/soak/waves.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/soak/clients.h"
#include "test/soak/judge.h"
#include "test/soak/net.h"
#include "test/soak/store.h"
#include "test/soak/worker.h"

#define WAVES_MAX 200
#define BOUND 2          /* items of a standing job on a worker */
#define STANDING_MS 1000 /* before the first standing job is handed in */
/* Share of a pool's processors that a burst asks for, at the least and the
   most.  */
#define BURST_MIN_PERCENT 100
#define BURST_MAX_PERCENT 300
#define LEAD_MAX_MS 4000 /* from a burst to its wave */
#define DURATION_MIN_S 12
#define DURATION_MAX_S 36
/* A wave is owed after its duration, and not before this time and a turn for
   each machine that is due at its beginning in one pool; only moments count in
   which nothing is impaired.  A turn is 5 s until the machine is empty, 2 s of
   upkeep and 1 s until its worker is used.  */
#define OWED_FIRST_MS 12000
#define TURN_MS 8000
#define LOOK_MS 100
#define LOOK_MAX_MS 500 /* a longer pause is a gap of the loop */

struct wave
{
  int machine_count, most_out;
  int64_t begun, duration_ms, owed_ms;
  int64_t calm_ms, looked; /* time that counts, and the last look */
  bool told;
  bool wants[WORKERS_MAX];
  int64_t done[WORKERS_MAX]; /* when the upkeep was ordered; 0: not yet */
  bool completed;            /* the system has said so */
};

static struct wave waves[WAVES_MAX]; /* wave N is at N - 1 */
static int wave_count, pool_count, machines_a_pool;
static bool stopped, has_spare;
static struct rng rng;

static int
left_of (const struct wave *wave, int64_t until)
{
  int left = 0;
  for (size_t n = 0; n < worker_count; n++)
    left += wave->wants[n] && (!wave->done[n] || wave->done[n] > until);
  return left;
}

static int
out_of (const struct wave *wave)
{
  int out = 0;
  for (size_t n = 0; n < worker_count; n++)
    out += wave->wants[n] && workers[n].in_upkeep;
  return out;
}

/* An order for the upkeep of a machine; see store_upkeep.  */
static const char *
on_upkeep (const char *machine, int64_t number, bool is_up)
{
  struct worker *wrk = worker_of_machine (machine);
  struct wave *wave = &waves[number - 1];
  if (number < 1 || number > wave_count || !wave->wants[wrk->index])
    return "wave";
  if (wave->done[wrk->index])
    return NULL;
  if (!is_up)
    return "busy";
  worker_upkeep (wrk);
  wave->done[wrk->index] = soak_ms ();
  if (out_of (wave) > wave->most_out)
    judge_broken ("CAP", "wave %ld: %d machines are in upkeep, cap %d",
                  (long)number, out_of (wave), wave->most_out);
  return NULL;
}

static void
on_status (const char *key, const char *value)
{
  int number = 0;
  if (sscanf (key, "wave/%d", &number) != 1)
    return;
  json_t *doc = json_loads (value, 0, NULL);
  const char *state = json_string_value (json_object_get (doc, "state"));
  if (!state || number < 1 || number > wave_count)
    judge_broken ("WAVE", "status/%s says %.80s", key, value);
  else
    {
      struct wave *wave = &waves[number - 1];
      int left = left_of (wave, soak_ms ());
      bool completed = strcmp (state, "completed") == 0;
      if (completed && left > 0)
        judge_broken ("WAVE", "wave %d is said to be done, %d of %d left",
                      number, left, wave->machine_count);
      if (completed && !wave->completed)
        soak_log ("wave %d is said to be done after %ld ms", number,
                  (long)(soak_ms () - wave->begun));
      wave->completed = completed;
    }
  json_decref (doc);
}

static void
write_wave (const struct wave *wave, int number)
{
  json_t *names = json_array ();
  char key[24];
  for (size_t n = 0; n < worker_count; n++)
    if (wave->wants[n])
      json_array_append_new (names, json_string (workers[n].machine));
  json_t *doc = json_pack (
      "{s:i,s:o,s:f,s:i}", "wave", number, "machines", names, "duration-s",
      (double)wave->duration_ms / 1000, "cap", wave->most_out);
  char *text = json_dumps (doc, JSON_COMPACT);
  snprintf (key, sizeof key, "wave/%d", number);
  store_put ("keyed.op", key, text);
  soak_log ("operator: %s: %s", key, text);
  free (text);
  json_decref (doc);
}

static void
look (void *arg)
{
  int64_t now = soak_ms ();
  net_after (LOOK_MS, look, NULL);
  for (int n = 0; n < wave_count; n++)
    {
      struct wave *wave = &waves[n];
      int left = left_of (wave, now);
      if (now - wave->looked < LOOK_MAX_MS && calm (now, now))
        wave->calm_ms += now - wave->looked;
      wave->looked = now;
      if (wave->told || left == 0 || wave->calm_ms <= wave->owed_ms)
        continue;
      wave->told = true;
      judge_broken ("WAVE",
                    "wave %d, begun at %.3f: %d of %d machines are left after "
                    "%ld s, owed after %ld s",
                    n + 1, (double)wave->begun / 1000, left,
                    wave->machine_count, (long)wave->calm_ms / 1000,
                    (long)wave->owed_ms / 1000);
    }
}

/* By whole racks, or single machines; spare ones may be among them.  */
static void
begin_wave (void *arg)
{
  bool by_rack = soak_draw (&rng) < 0.7;
  int first = (int)soak_between (&rng, 0, RACKS - 1);
  int racks = soak_draw (&rng) < 0.8 ? 1 : 2;
  double share = 0.2 + 0.4 * soak_draw (&rng);
  int64_t duration_s = soak_between (&rng, DURATION_MIN_S, DURATION_MAX_S);
  int64_t most_out = soak_between (&rng, 1, 6), due = 0;
  if (stopped || wave_count == WAVES_MAX)
    return;
  struct wave *wave = &waves[wave_count++];
  *wave = (struct wave){ .most_out = (int)most_out,
                         .begun = soak_ms (),
                         .looked = soak_ms (),
                         .duration_ms = duration_s * 1000 };
  for (size_t n = 0; n < worker_count; n++)
    {
      int rack = (workers[n].zone[5] - 'a' + RACKS - first) % RACKS;
      wave->wants[n] = by_rack ? rack < racks : soak_draw (&rng) < share;
      wave->machine_count += wave->wants[n];
    }
  for (int n = 0; n < wave_count; n++)
    due += left_of (&waves[n], wave->begun);
  wave->owed_ms = OWED_FIRST_MS + TURN_MS * due / pool_count;
  if (wave->owed_ms < wave->duration_ms)
    wave->owed_ms = wave->duration_ms;
  write_wave (wave, wave_count);
}

/* Bursts in some pools, then a wave; sometimes another beside it.  */
static void
plan_wave (void *arg)
{
  int64_t lead = soak_between (&rng, 200, LEAD_MAX_MS);
  int64_t more = soak_between (&rng, 500, 8000);
  int64_t pause = soak_between (&rng, 16000, 28000);
  bool two = soak_draw (&rng) < 0.25;
  if (stopped)
    return;
  for (int n = 0; n < pool_count; n++)
    {
      bool hit = soak_draw (&rng) < 0.8;
      int64_t percent
          = soak_between (&rng, BURST_MIN_PERCENT, BURST_MAX_PERCENT);
      if (hit)
        clients_burst (n, machines_a_pool * WORKER_CPU * percent / 100);
    }
  net_after (lead, begin_wave, NULL);
  if (two)
    net_after (lead + more, begin_wave, NULL);
  net_after (pause, plan_wave, NULL);
}

int
waves_spare (uint64_t seed)
{
  struct rng draw = rng_make (seed, "spare");
  return soak_draw (&draw) < 0.5 ? 0 : SPARE_MACHINES;
}

/* The tasks of a standing job need all machines of the pool but one, or, where
   there are spare ones, all.  */
static void
hand_in (void *arg)
{
  for (int n = 0; n < pool_count; n++)
    {
      bool all = soak_draw (&rng) < 0.5 && has_spare;
      bool fills = soak_draw (&rng) < 0.5;
      int count = BOUND * (machines_a_pool - !all) - all;
      clients_standing (n, count, BOUND, fills);
    }
}

void
waves_start (int pools, int workers_a_pool, uint64_t seed, int64_t start_ms)
{
  pool_count = pools;
  machines_a_pool = workers_a_pool;
  has_spare = waves_spare (seed) > 0;
  rng = rng_make (seed, "waves");
  store_upkeep = on_upkeep;
  store_status = on_status;
  look (NULL);
  net_after (STANDING_MS, hand_in, NULL);
  net_after (STANDING_MS + start_ms, plan_wave, NULL);
}

void
waves_stop (void)
{
  stopped = true;
}

void
waves_finish (void)
{
  int64_t now = soak_ms ();
  int in_time = 0, machines = 0;
  for (int n = 0; n < wave_count; n++)
    {
      const struct wave *wave = &waves[n];
      int64_t until = wave->begun + wave->duration_ms;
      int late = left_of (wave, until);
      in_time += wave->machine_count - late;
      machines += wave->machine_count;
      if (late > 0)
        soak_log ("wave %d: %d of %d machines were left after %ld s", n + 1,
                  late, wave->machine_count, (long)wave->duration_ms / 1000);
      if (late > 0 && now > until && wave->duration_ms >= wave->owed_ms
          && calm (wave->begun, until))
        judge_broken ("WAVE",
                      "wave %d: %d of %d machines were not in time, "
                      "with nothing impaired",
                      n + 1, late, wave->machine_count);
      if (wave->calm_ms > wave->owed_ms && !wave->completed)
        judge_broken ("WAVE", "wave %d, begun at %.3f, is not said to be done",
                      n + 1, (double)wave->begun / 1000);
    }
  if (wave_count)
    soak_log ("waves: %d, %d of %d machines in time", wave_count, in_time,
              machines);
}
