#include "test/unit/wave_sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>
#include <utlist.h>

#include "state/host_list.h"
#include "table/table.h"
#include "table/table_check.h"
#include "wave/wave_codec.h"

#define START_MS 1000000000
#define LOST_REPLY_MS 2000 /* until the caller's time-out */

struct wave_sim_record
{
  uint8_t *data;
  size_t len;
  int64_t time_ms;
};

struct wave_sim_done_op
{
  struct wave_sim_done_op *next;
  uint64_t fence;
  char id[HOST_OPERATION_ID_MAX_BYTES + 1];
};

/* A request to the platform, or its reply.  */
struct wave_sim_event
{
  struct wave_sim_event *prev;
  struct wave_sim_event *next;
  int64_t due_us;
  uint32_t planner;
  uint64_t incarnation; /* incarnation of the planner */
  bool is_reply;
  bool is_append;
  struct append_result append;
  uint8_t *data;
  size_t len;
  struct host_call call;
  struct host_result result;
  uint64_t token;
  char host[32];
  char id[HOST_OPERATION_ID_MAX_BYTES + 1];
};

static int64_t
now_ms (const struct wave_sim *sim)
{
  return START_MS + sim->now_us / 1000;
}

uint64_t
wave_sim_random (struct wave_sim *sim, uint64_t below)
{
  /* Linear congruential generator with the constants of PCG.  Tests with
     random faults print the seed.  */
  sim->rng_state
      = sim->rng_state * 6364136223846793005ULL + 1442695040888963407ULL;
  return (sim->rng_state >> 33) % below;
}

uint32_t
wave_sim_out_allowed (const struct wave_sim *sim, uint32_t pool,
                      uint32_t hosts)
{
  return hosts - table_pct_ceil (sim->budget_pct[pool], hosts);
}

void
wave_sim_init (struct wave_sim *sim, const struct wave_sim_settings *set)
{
  memset (sim, 0, sizeof *sim);
  sim->set = *set;
  sim->rng_state = set->seed;
  sim->ctx = talloc_new (NULL);
  sim->list_version = 1;
  sim->budget_pct = talloc_array (sim->ctx, uint32_t, set->pools);
  for (uint32_t n = 0; n < set->pools; n++)
    sim->budget_pct[n] = set->budget_pct;
  sim->pool_hosts = talloc_zero_array (sim->ctx, uint32_t, set->pools);
  sim->pool_centre_hosts
      = talloc_zero_array (sim->ctx, uint32_t, set->pools * set->centres);
  wave_fold_init (&sim->log_fold, sim->ctx);
}

void
wave_sim_fini (struct wave_sim *sim)
{
  for (uint32_t n = 0; n < sim->planner_count; n++)
    if (sim->planners[n].alive)
      wave_core_fini (&sim->planners[n].core);
  wave_fold_fini (&sim->log_fold);
  talloc_free (sim->ctx);
}

struct wave_sim_host *
wave_sim_add_host (struct wave_sim *sim, uint32_t pool, uint32_t centre)
{
  uint32_t in_centre = 0;
  for (uint32_t n = 0; n < sim->host_count; n++)
    in_centre += sim->hosts[n].centre == centre;
  sim->hosts = talloc_realloc (sim->ctx, sim->hosts, struct wave_sim_host,
                               sim->host_count + 1);
  struct wave_sim_host *ht = &sim->hosts[sim->host_count];
  *ht = (struct wave_sim_host){ .pool = pool, .centre = centre };
  ht->rack = in_centre / sim->set.hosts_per_rack;
  ht->work_ms = 10000;
  ht->reboot_ms = 60000;
  snprintf (ht->name, sizeof ht->name, "h%u-%05u", centre, sim->host_count++);
  sim->pool_hosts[pool]++;
  sim->pool_centre_hosts[pool * sim->set.centres + centre]++;
  return ht;
}

static bool
is_up (const struct wave_sim *sim, const struct wave_sim_host *ht)
{
  return now_ms (sim) >= ht->up_ms;
}

bool
wave_sim_in_service (const struct wave_sim *sim,
                     const struct wave_sim_host *ht)
{
  return !ht->drained && !ht->failed && is_up (sim, ht);
}

void
wave_sim_fail_host (struct wave_sim *sim, struct wave_sim_host *ht,
                    bool failed)
{
  ht->failed = failed;
  ht->failed_ms = now_ms (sim);
  sim->list_version++;
}

static void
start_core (struct wave_sim *sim, uint32_t index)
{
  struct wave_sim_planner *pn = &sim->planners[index];
  struct wave_core_settings set
      = sim->set.core ? *sim->set.core : wave_core_settings_default;
  char name[16];
  char centre[16];
  snprintf (name, sizeof name, "e%u", index);
  snprintf (centre, sizeof centre, "dc%u", pn->centre);
  if (!sim->set.core)
    set.plan = wave_plan_settings_default;
  set.name = name;
  set.data_centre = centre;
  pn->incarnation = ++sim->last_incarnation;
  set.incarnation = pn->incarnation;
  if (wave_core_init (&pn->core, sim->ctx, &set, NULL) != 0)
    abort ();
  pn->alive = true;
  pn->list_version = 0;
  pn->kill_at_event = 0;
}

uint32_t
wave_sim_add_planner (struct wave_sim *sim, uint32_t centre)
{
  uint32_t index = sim->planner_count++;
  sim->planners[index].centre = centre;
  start_core (sim, index);
  return index;
}

void
wave_sim_restart_planner (struct wave_sim *sim, uint32_t index)
{
  start_core (sim, index);
}

/* Builds the fleet from the current host list and table.  */
static struct wave_fleet *
make_fleet (const struct wave_sim *sim)
{
  void *tmp = talloc_new (NULL);
  struct host_list list = { .count = sim->host_count };
  struct table *tab = table_create (tmp);
  struct wave_fleet *fleet = NULL;
  struct table_row row;
  char name[16];
  list.hosts = talloc_zero_array (tmp, struct host, sim->host_count);
  for (uint32_t n = 0; n < sim->host_count; n++)
    {
      const struct wave_sim_host *ht = &sim->hosts[n];
      struct host *host = &list.hosts[n];
      snprintf (host->name, sizeof host->name, "%s", ht->name);
      snprintf (host->address, sizeof host->address, "127.0.0.1:%u", n + 1);
      snprintf (host->data_centre, sizeof host->data_centre, "dc%u",
                ht->centre);
      snprintf (host->rack, sizeof host->rack, "r%u", ht->rack);
      snprintf (host->initial_pool, sizeof host->initial_pool, "p%u",
                ht->pool);
      host->state = wave_sim_in_service (sim, ht)    ? HOST_LIVE
                    : ht->failed || !is_up (sim, ht) ? HOST_DOWN
                                                     : HOST_LEAVING;
    }
  for (uint32_t n = 0; n < sim->set.pools; n++)
    {
      snprintf (name, sizeof name, "p%u", n);
      table_row_init (&row, TABLE_POOL, name);
      row.pool.availability_budget_pct = sim->budget_pct[n];
      if (table_add (tab, &row) != 0)
        abort ();
    }
  if (wave_fleet_build (NULL, &list, tab, NULL, NULL, &fleet) != 0)
    abort ();
  talloc_free (tmp);
  return fleet;
}

static void
append_record (struct wave_sim *sim, const uint8_t *data, size_t len,
               struct append_result *res)
{
  struct wave_record rec;
  enum wave_effect effect;
  void *storage;
  if ((sim->next_offset & (sim->next_offset - 1)) == 0)
    sim->records
        = talloc_realloc (sim->ctx, sim->records, struct wave_sim_record,
                          sim->next_offset ? 2 * sim->next_offset : 1);
  sim->records[sim->next_offset]
      = (struct wave_sim_record){ talloc_memdup (sim->ctx, data, len), len,
                                  now_ms (sim) };
  if (wave_record_decode (sim->ctx, data, len, &rec, &storage) != 0
      || wave_fold_record (&sim->log_fold, sim->next_offset, now_ms (sim),
                           &rec, &effect)
             != 0)
    abort ();
  talloc_free (storage);
  *res = (struct append_result){ APPEND_DONE, sim->next_offset++, now_ms (sim),
                                 0 };
}

void
wave_sim_append_edit (struct wave_sim *sim, const struct wave_record *rec)
{
  struct wave_record full = *rec;
  struct append_result res;
  uint8_t *data;
  size_t len;
  full.writer = "cli";
  full.editor = "operator";
  full.base_offset = sim->next_offset;
  full.sequence = sim->next_offset + 1;
  if (wave_record_encode (sim->ctx, &full, &data, &len) != 0)
    abort ();
  append_record (sim, data, len, &res);
}

void
wave_sim_create_wave (struct wave_sim *sim, uint32_t most_out)
{
  struct wave_new_host *hosts
      = talloc_array (sim->ctx, struct wave_new_host, sim->host_count);
  for (uint32_t n = 0; n < sim->host_count; n++)
    hosts[n] = (struct wave_new_host){
      sim->hosts[n].name, talloc_asprintf (hosts, "dc%u", sim->hosts[n].centre)
    };
  struct wave_record rec = { .type = WAVE_RECORD_CREATE,
                             .id = "w",
                             .most_out = most_out,
                             .hosts = hosts,
                             .host_count = sim->host_count };
  wave_sim_append_edit (sim, &rec);
  talloc_free (hosts);
}

/* Platform side.  */

/* Planners learn of a failed host only with their next host list, and a drain
   in flight cannot be recalled, so that recent failures don't count.  */
static bool
failed_recently (const struct wave_sim *sim, const struct wave_sim_host *ht)
{
  return ht->failed
         && now_ms (sim) - ht->failed_ms
                <= sim->set.list_max_age_ms + 2 * sim->set.latency_ms + 1000;
}

static void
check_drain (struct wave_sim *sim, const struct wave_sim_host *ht)
{
  uint32_t out = 0;
  uint32_t out_in_centre = 0;
  for (uint32_t n = 0; n < sim->host_count; n++)
    {
      const struct wave_sim_host *other = &sim->hosts[n];
      if (other->pool != ht->pool || wave_sim_in_service (sim, other)
          || failed_recently (sim, other))
        continue;
      out++;
      out_in_centre += other->centre == ht->centre;
    }
  uint32_t cap = wave_sim_out_allowed (
      sim, ht->pool,
      sim->pool_centre_hosts[ht->pool * sim->set.centres + ht->centre]);
  sim->violations.budget
      += out > wave_sim_out_allowed (sim, ht->pool, sim->pool_hosts[ht->pool]);
  sim->violations.centre += out_in_centre > (cap > 0 ? cap : 1);
}

static void
apply_operation (struct wave_sim *sim, struct wave_sim_host *ht,
                 enum host_op op)
{
  bool served = wave_sim_in_service (sim, ht);
  switch (op)
    {
    case HOST_OP_DRAIN:
      ht->drained = true;
      ht->drains++;
      ht->idle_ms = now_ms (sim) + ht->work_ms;
      if (served)
        check_drain (sim, ht);
      break;
    case HOST_OP_REBOOT:
      sim->violations.reboots += ht->reboots++ > 0;
      sim->violations.busy += now_ms (sim) < ht->idle_ms;
      ht->up_ms = ht->never_returns ? INT64_MAX : now_ms (sim) + ht->reboot_ms;
      break;
    default:
      ht->drained = false;
      break;
    }
  sim->list_version++;
}

static struct wave_sim_host *
find_host (const struct wave_sim *sim, const struct wave_sim_event *ev)
{
  if (ev->call.op == HOST_OP_HEALTH)
    return &sim->hosts[strtoul (strchr (ev->call.address, ':') + 1, NULL, 10)
                       - 1];
  for (uint32_t n = 0; n < sim->host_count; n++)
    if (strcmp (sim->hosts[n].name, ev->host) == 0)
      return &sim->hosts[n];
  return NULL;
}

static enum host_actual_state
actual_state (const struct wave_sim *sim, const struct wave_sim_host *ht)
{
  if (ht->failed || !is_up (sim, ht))
    return HOST_ACTUAL_DOWN;
  return ht->drained ? HOST_ACTUAL_LEAVING : HOST_ACTUAL_LIVE;
}

static void
handle_call (struct wave_sim *sim, struct wave_sim_event *ev)
{
  struct wave_sim_host *ht = find_host (sim, ev);
  struct host_result *res = &ev->result;
  *res = (struct host_result){ .status = HOST_CALL_DONE, .slots_in_use = -1 };
  if (host_op_is_change (ev->call.op))
    {
      struct wave_sim_done_op *done;
      for (done = ht->done_ops; done && strcmp (done->id, ev->id) != 0;)
        done = done->next;
      if (!done && ev->call.fence < ht->fence)
        res->status = HOST_CALL_FENCED;
      else if (!done)
        {
          done = talloc_zero (sim->ctx, struct wave_sim_done_op);
          snprintf (done->id, sizeof done->id, "%s", ev->id);
          LL_PREPEND (ht->done_ops, done);
          ht->fence = ev->call.fence;
          apply_operation (sim, ht, ev->call.op);
        }
    }
  res->state = actual_state (sim, ht);
  if (ev->call.op == HOST_OP_HEALTH)
    {
      if (res->state == HOST_ACTUAL_DOWN)
        res->status = HOST_CALL_UNKNOWN;
      res->healthy = res->state == HOST_ACTUAL_LIVE && !ht->unhealthy;
      res->slots_in_use = ht->drained && now_ms (sim) >= ht->idle_ms ? 0 : 3;
    }
}

/* Applies a request that has reached the platform, and sends its reply.  */
static void
deliver_request (struct wave_sim *sim, struct wave_sim_event *ev)
{
  bool lost = wave_sim_random (sim, 100) < sim->set.lost_replies_pct;
  bool cut = sim->log_down || sim->planners[ev->planner].cut_off;
  ev->due_us = sim->now_us + sim->set.latency_ms * 1000;
  ev->is_reply = true;
  if (ev->is_append && cut)
    ev->append.status = APPEND_NOT_DONE;
  else if (ev->is_append)
    append_record (sim, ev->data, ev->len, &ev->append);
  else
    handle_call (sim, ev);
  if (!lost)
    return;
  ev->due_us += LOST_REPLY_MS * 1000LL;
  if (ev->is_append && ev->append.status == APPEND_DONE)
    ev->append.status = APPEND_UNKNOWN;
  ev->result.status = HOST_CALL_UNKNOWN;
}

/* Planner side.  */

/* Counts an event of the planner.  Returns false if the planner dies at
   it.  */
static bool
count_event (struct wave_sim *sim, struct wave_sim_planner *pn)
{
  pn->events++;
  if (pn->kill_at_event == 0 || pn->events < pn->kill_at_event)
    return true;
  wave_core_fini (&pn->core);
  pn->alive = false;
  return false;
}

static bool
can_run (const struct wave_sim *sim, const struct wave_sim_planner *pn)
{
  return pn->alive && sim->now_us >= pn->paused_until_us;
}

static void
send_event (struct wave_sim *sim, uint32_t index, struct wave_sim_event *ev)
{
  ev->due_us = sim->now_us + sim->set.latency_ms * 1000;
  ev->planner = index;
  ev->incarnation = sim->planners[index].incarnation;
  DL_APPEND (sim->events, ev);
}

static void
run_planner (struct wave_sim *sim, uint32_t index)
{
  struct wave_sim_planner *pn = &sim->planners[index];
  struct wave_core *core = &pn->core;
  struct host_call call;
  uint64_t token;
  uint8_t *data;
  size_t len;
  uint64_t from;
  while (!sim->log_down && !pn->cut_off
         && (from = wave_core_next_offset (core)) < sim->next_offset
         && now_ms (sim) - sim->records[from].time_ms >= sim->set.latency_ms)
    {
      const struct wave_sim_record *rec = &sim->records[from];
      const struct log_record_view view
          = { from, rec->time_ms, rec->data, rec->len };
      if (wave_core_fold (core, sim->now_us, &view) != 0)
        abort ();
    }
  if (!sim->log_down && !pn->cut_off)
    wave_core_read_done (core, sim->now_us, wave_core_next_offset (core));
  if (pn->list_version != sim->list_version
      && (pn->list_version == 0
          || sim->now_us - pn->list_us >= sim->set.list_max_age_ms * 1000))
    {
      wave_core_set_fleet (core, sim->now_us, make_fleet (sim));
      pn->list_version = sim->list_version;
      pn->list_us = sim->now_us;
    }
  else if (pn->list_version == sim->list_version)
    wave_core_touch_fleet (core, sim->now_us);
  if (wave_core_begin_append (core, sim->now_us, sim->ctx, &data, &len) == 0)
    {
      if (!count_event (sim, pn))
        return;
      struct wave_sim_event *ev
          = talloc_zero (sim->ctx, struct wave_sim_event);
      ev->is_append = true;
      ev->data = talloc_steal (ev, data);
      ev->len = len;
      sim->appends++;
      send_event (sim, index, ev);
    }
  while (wave_core_begin_call (core, sim->now_us, &call, &token))
    {
      if (!count_event (sim, pn))
        return;
      struct wave_sim_event *ev
          = talloc_zero (sim->ctx, struct wave_sim_event);
      ev->call = call;
      ev->token = token;
      ev->call.address = talloc_strdup (ev, call.address ? call.address : "");
      snprintf (ev->host, sizeof ev->host, "%s", call.host);
      if (call.operation_id)
        snprintf (ev->id, sizeof ev->id, "%s", call.operation_id);
      sim->calls++;
      send_event (sim, index, ev);
    }
}

static void
deliver_reply (struct wave_sim *sim, struct wave_sim_event *ev)
{
  struct wave_sim_planner *pn = &sim->planners[ev->planner];
  DL_DELETE (sim->events, ev);
  /* A planner that died gets no reply.  */
  if (pn->alive && pn->incarnation == ev->incarnation && count_event (sim, pn))
    {
      if (ev->is_append)
        wave_core_append_result (&pn->core, sim->now_us, &ev->append);
      else
        wave_core_call_result (&pn->core, sim->now_us, ev->token, &ev->result);
    }
  talloc_free (ev);
}

void
wave_sim_tick (struct wave_sim *sim)
{
  struct wave_sim_event *ev;
  struct wave_sim_event *tmp;
  struct timespec a;
  struct timespec b;
  sim->now_us += WAVE_SIM_TICK_US;
  for (uint32_t n = 0; n < sim->host_count; n++)
    if (sim->hosts[n].up_ms > now_ms (sim) - WAVE_SIM_TICK_US / 1000
        && sim->hosts[n].up_ms <= now_ms (sim))
      sim->list_version++;
  DL_FOREACH_SAFE (sim->events, ev, tmp)
    {
      if (ev->due_us > sim->now_us)
        continue;
      if (!ev->is_reply)
        deliver_request (sim, ev);
      else if (can_run (sim, &sim->planners[ev->planner])
               || !sim->planners[ev->planner].alive)
        deliver_reply (sim, ev);
    }
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &a);
  for (uint32_t n = 0; n < sim->planner_count; n++)
    if (can_run (sim, &sim->planners[n]))
      run_planner (sim, n);
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &b);
  sim->planner_cpu_us += (uint64_t)((b.tv_sec - a.tv_sec) * 1000000
                                    + (b.tv_nsec - a.tv_nsec) / 1000);
}
