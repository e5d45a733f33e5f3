#include "test/unit/wave_world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>
#include <utlist.h>

#include "state/hosts.h"
#include "table/table.h"
#include "table/table_check.h"
#include "wave/wave_codec.h"

#define START_MS 1000000000
#define LOST_REPLY_MS 2000 /* until the caller gives up */

struct world_record
{
  uint8_t *data;
  size_t len;
  int64_t time_ms;
};

struct world_done
{
  struct world_done *next;
  uint64_t fence;
  char id[HOST_OPERATION_ID_MAX + 1];
};

/* A request on its way to the platform, or an answer on its way back.  */
struct world_event
{
  struct world_event *prev;
  struct world_event *next;
  int64_t due_us;
  uint32_t planner;
  uint64_t born; /* the planner's incarnation */
  bool answer;
  bool is_append;
  struct append_result append;
  uint8_t *data;
  size_t len;
  struct host_call call;
  struct host_result result;
  uint64_t token;
  char host[32];
  char id[HOST_OPERATION_ID_MAX + 1];
};

static int64_t
now_ms (const struct world *wd)
{
  return START_MS + wd->now_us / 1000;
}

uint64_t
world_random (struct world *wd, uint64_t below)
{
  /* The step of PCG-XSH-RR's generator; the tests print the seed.  */
  wd->random = wd->random * 6364136223846793005ULL + 1442695040888963407ULL;
  return (wd->random >> 33) % below;
}

uint32_t
world_allowed (const struct world *wd, uint32_t pool, uint32_t hosts)
{
  return hosts - table_budget_hosts (wd->budget_pct[pool], hosts);
}

void
world_init (struct world *wd, const struct world_settings *set)
{
  memset (wd, 0, sizeof *wd);
  wd->set = *set;
  wd->random = set->seed;
  wd->ctx = talloc_new (NULL);
  wd->list_version = 1;
  wd->budget_pct = talloc_array (wd->ctx, uint32_t, set->pools);
  for (uint32_t n = 0; n < set->pools; n++)
    wd->budget_pct[n] = set->budget_pct;
  wd->pool_hosts = talloc_zero_array (wd->ctx, uint32_t, set->pools);
  wd->cell_hosts
      = talloc_zero_array (wd->ctx, uint32_t, set->pools * set->centres);
  wave_fold_init (&wd->judge, wd->ctx);
}

void
world_fini (struct world *wd)
{
  for (uint32_t n = 0; n < wd->planner_count; n++)
    if (wd->planners[n].alive)
      wave_core_fini (&wd->planners[n].core);
  wave_fold_fini (&wd->judge);
  talloc_free (wd->ctx);
}

struct world_host *
world_add_host (struct world *wd, uint32_t pool, uint32_t centre)
{
  uint32_t in_centre = 0;
  for (uint32_t n = 0; n < wd->host_count; n++)
    in_centre += wd->hosts[n].centre == centre;
  wd->hosts = talloc_realloc (wd->ctx, wd->hosts, struct world_host,
                              wd->host_count + 1);
  struct world_host *ht = &wd->hosts[wd->host_count];
  *ht = (struct world_host){ .pool = pool, .centre = centre };
  ht->rack = in_centre / wd->set.hosts_per_rack;
  ht->work_ms = 10000;
  ht->reboot_ms = 60000;
  snprintf (ht->name, sizeof ht->name, "h%u-%05u", centre, wd->host_count++);
  wd->pool_hosts[pool]++;
  wd->cell_hosts[pool * wd->set.centres + centre]++;
  return ht;
}

static bool
is_up (const struct world *wd, const struct world_host *ht)
{
  return now_ms (wd) >= ht->up_ms;
}

bool
world_in_service (const struct world *wd, const struct world_host *ht)
{
  return !ht->drained && !ht->failed && is_up (wd, ht);
}

void
world_fail_host (struct world *wd, struct world_host *ht, bool failed)
{
  ht->failed = failed;
  ht->failed_ms = now_ms (wd);
  wd->list_version++;
}

static void
start_core (struct world *wd, uint32_t index)
{
  struct world_planner *pn = &wd->planners[index];
  struct wave_core_settings set
      = wd->set.core ? *wd->set.core : wave_core_settings_default;
  char name[16];
  char centre[16];
  snprintf (name, sizeof name, "e%u", index);
  snprintf (centre, sizeof centre, "dc%u", pn->centre);
  if (!wd->set.core)
    set.plan = wave_plan_settings_default;
  set.name = name;
  set.data_centre = centre;
  pn->born = ++wd->born;
  set.incarnation = pn->born;
  if (wave_core_init (&pn->core, wd->ctx, &set, NULL) != 0)
    abort ();
  pn->alive = true;
  pn->list_version = 0;
  pn->kill_at = 0;
}

uint32_t
world_add_planner (struct world *wd, uint32_t centre)
{
  uint32_t index = wd->planner_count++;
  wd->planners[index].centre = centre;
  start_core (wd, index);
  return index;
}

void
world_restart_planner (struct world *wd, uint32_t index)
{
  start_core (wd, index);
}

/* The host list and table as the platform and the operators give them.  */
static struct wave_fleet *
make_fleet (const struct world *wd)
{
  void *tmp = talloc_new (NULL);
  struct host_list list = { .count = wd->host_count };
  struct table *tab = table_create (tmp);
  struct wave_fleet *fleet = NULL;
  struct table_row row;
  char name[16];
  list.hosts = talloc_zero_array (tmp, struct host, wd->host_count);
  for (uint32_t n = 0; n < wd->host_count; n++)
    {
      const struct world_host *ht = &wd->hosts[n];
      struct host *host = &list.hosts[n];
      snprintf (host->name, sizeof host->name, "%s", ht->name);
      snprintf (host->address, sizeof host->address, "127.0.0.1:%u", n + 1);
      snprintf (host->data_centre, sizeof host->data_centre, "dc%u",
                ht->centre);
      snprintf (host->rack, sizeof host->rack, "r%u", ht->rack);
      snprintf (host->initial_pool, sizeof host->initial_pool, "p%u",
                ht->pool);
      host->state = world_in_service (wd, ht)       ? HOST_LIVE
                    : ht->failed || !is_up (wd, ht) ? HOST_DOWN
                                                    : HOST_LEAVING;
    }
  for (uint32_t n = 0; n < wd->set.pools; n++)
    {
      snprintf (name, sizeof name, "p%u", n);
      table_row_init (&row, TABLE_POOL, name);
      row.pool.availability_budget_pct = wd->budget_pct[n];
      if (table_add (tab, &row) != 0)
        abort ();
    }
  if (wave_fleet_build (NULL, &list, tab, NULL, NULL, &fleet) != 0)
    abort ();
  talloc_free (tmp);
  return fleet;
}

static void
put_record (struct world *wd, const uint8_t *data, size_t len,
            struct append_result *res)
{
  struct wave_record rec;
  enum wave_effect effect;
  void *storage;
  if ((wd->next & (wd->next - 1)) == 0)
    wd->records = talloc_realloc (wd->ctx, wd->records, struct world_record,
                                  wd->next ? 2 * wd->next : 1);
  wd->records[wd->next]
      = (struct world_record){ talloc_memdup (wd->ctx, data, len), len,
                               now_ms (wd) };
  if (wave_record_decode (wd->ctx, data, len, &rec, &storage) != 0
      || wave_fold_record (&wd->judge, wd->next, now_ms (wd), &rec, &effect)
             != 0)
    abort ();
  talloc_free (storage);
  *res = (struct append_result){ APPEND_DONE, wd->next++, now_ms (wd), 0 };
}

void
world_edit (struct world *wd, const struct wave_record *rec)
{
  struct wave_record full = *rec;
  struct append_result res;
  uint8_t *data;
  size_t len;
  full.writer = "cli";
  full.editor = "operator";
  full.base_offset = wd->next;
  full.sequence = wd->next + 1;
  if (wave_record_encode (wd->ctx, &full, &data, &len) != 0)
    abort ();
  put_record (wd, data, len, &res);
}

void
world_create_wave (struct world *wd, uint32_t most_out)
{
  struct wave_new_host *hosts
      = talloc_array (wd->ctx, struct wave_new_host, wd->host_count);
  for (uint32_t n = 0; n < wd->host_count; n++)
    hosts[n] = (struct wave_new_host){
      wd->hosts[n].name, talloc_asprintf (hosts, "dc%u", wd->hosts[n].centre)
    };
  struct wave_record rec = { .type = WAVE_RECORD_CREATE,
                             .id = "w",
                             .most_out = most_out,
                             .hosts = hosts,
                             .host_count = wd->host_count };
  world_edit (wd, &rec);
  talloc_free (hosts);
}

/* The platform's side.  */

/* A host that fails is known to planners only with their next list, and a
   drain already on its way is not called back.  */
static bool
failed_lately (const struct world *wd, const struct world_host *ht)
{
  return ht->failed
         && now_ms (wd) - ht->failed_ms
                <= wd->set.list_ms + 2 * wd->set.log_ms + 1000;
}

static void
judge_drain (struct world *wd, const struct world_host *ht)
{
  uint32_t out = 0;
  uint32_t cell = 0;
  for (uint32_t n = 0; n < wd->host_count; n++)
    {
      const struct world_host *other = &wd->hosts[n];
      if (other->pool != ht->pool || world_in_service (wd, other)
          || failed_lately (wd, other))
        continue;
      out++;
      cell += other->centre == ht->centre;
    }
  uint32_t cap = world_allowed (
      wd, ht->pool, wd->cell_hosts[ht->pool * wd->set.centres + ht->centre]);
  wd->breach.budget
      += out > world_allowed (wd, ht->pool, wd->pool_hosts[ht->pool]);
  wd->breach.centre += cell > (cap > 0 ? cap : 1);
}

static void
operate (struct world *wd, struct world_host *ht, enum host_op op)
{
  bool served = world_in_service (wd, ht);
  switch (op)
    {
    case HOST_OP_DRAIN:
      ht->drained = true;
      ht->drains++;
      ht->idle_ms = now_ms (wd) + ht->work_ms;
      if (served)
        judge_drain (wd, ht);
      break;
    case HOST_OP_REBOOT:
      wd->breach.reboots += ht->reboots++ > 0;
      wd->breach.busy += now_ms (wd) < ht->idle_ms;
      ht->up_ms = ht->never_returns ? INT64_MAX : now_ms (wd) + ht->reboot_ms;
      break;
    default:
      ht->drained = false;
      break;
    }
  wd->list_version++;
}

static struct world_host *
find_host (const struct world *wd, const struct world_event *ev)
{
  if (ev->call.op == HOST_OP_HEALTH)
    return &wd->hosts[strtoul (strchr (ev->call.address, ':') + 1, NULL, 10)
                      - 1];
  for (uint32_t n = 0; n < wd->host_count; n++)
    if (strcmp (wd->hosts[n].name, ev->host) == 0)
      return &wd->hosts[n];
  return NULL;
}

static enum host_actual
actual_state (const struct world *wd, const struct world_host *ht)
{
  if (ht->failed || !is_up (wd, ht))
    return HOST_ACTUAL_DOWN;
  return ht->drained ? HOST_ACTUAL_LEAVING : HOST_ACTUAL_LIVE;
}

static void
serve_call (struct world *wd, struct world_event *ev)
{
  struct world_host *ht = find_host (wd, ev);
  struct host_result *res = &ev->result;
  *res = (struct host_result){ .status = HOST_CALL_DONE, .slots_in_use = -1 };
  if (host_op_is_change (ev->call.op))
    {
      struct world_done *done;
      for (done = ht->done; done && strcmp (done->id, ev->id) != 0;)
        done = done->next;
      if (!done && ev->call.fence < ht->fence)
        res->status = HOST_CALL_FENCED;
      else if (!done)
        {
          done = talloc_zero (wd->ctx, struct world_done);
          snprintf (done->id, sizeof done->id, "%s", ev->id);
          LL_PREPEND (ht->done, done);
          ht->fence = ev->call.fence;
          operate (wd, ht, ev->call.op);
        }
    }
  res->state = actual_state (wd, ht);
  if (ev->call.op == HOST_OP_HEALTH)
    {
      if (res->state == HOST_ACTUAL_DOWN)
        res->status = HOST_CALL_UNKNOWN;
      res->healthy = res->state == HOST_ACTUAL_LIVE && !ht->unhealthy;
      res->slots_in_use = ht->drained && now_ms (wd) >= ht->idle_ms ? 0 : 3;
    }
}

/* A request arrives: its effect, and its answer on the way back.  */
static void
arrive (struct world *wd, struct world_event *ev)
{
  bool lost = world_random (wd, 100) < wd->set.lost_replies_pct;
  bool cut = wd->log_down || wd->planners[ev->planner].cut;
  ev->due_us = wd->now_us + wd->set.log_ms * 1000;
  ev->answer = true;
  if (ev->is_append && cut)
    ev->append.status = APPEND_NOT_DONE;
  else if (ev->is_append)
    put_record (wd, ev->data, ev->len, &ev->append);
  else
    serve_call (wd, ev);
  if (!lost)
    return;
  ev->due_us += LOST_REPLY_MS * 1000LL;
  if (ev->is_append && ev->append.status == APPEND_DONE)
    ev->append.status = APPEND_UNKNOWN;
  ev->result.status = HOST_CALL_UNKNOWN;
}

/* The planners' side.  Returns false when the planner dies at this event.  */
static bool
survives (struct world *wd, struct world_planner *pn)
{
  pn->events++;
  if (pn->kill_at == 0 || pn->events < pn->kill_at)
    return true;
  wave_core_fini (&pn->core);
  pn->alive = false;
  return false;
}

static bool
acts (const struct world *wd, const struct world_planner *pn)
{
  return pn->alive && wd->now_us >= pn->paused_until_us;
}

static void
send_event (struct world *wd, uint32_t index, struct world_event *ev)
{
  ev->due_us = wd->now_us + wd->set.log_ms * 1000;
  ev->planner = index;
  ev->born = wd->planners[index].born;
  DL_APPEND (wd->events, ev);
}

static void
run_planner (struct world *wd, uint32_t index)
{
  struct world_planner *pn = &wd->planners[index];
  struct wave_core *core = &pn->core;
  struct host_call call;
  uint64_t token;
  uint8_t *data;
  size_t len;
  uint64_t from;
  while (!wd->log_down && !pn->cut
         && (from = wave_core_offset (core)) < wd->next
         && now_ms (wd) - wd->records[from].time_ms >= wd->set.log_ms)
    {
      const struct world_record *rec = &wd->records[from];
      const struct log_record_view view
          = { from, rec->time_ms, rec->data, rec->len };
      if (wave_core_fold (core, wd->now_us, &view) != 0)
        abort ();
    }
  if (!wd->log_down && !pn->cut)
    wave_core_read_done (core, wd->now_us, wave_core_offset (core));
  if (pn->list_version != wd->list_version
      && (pn->list_version == 0
          || wd->now_us - pn->list_us >= wd->set.list_ms * 1000))
    {
      wave_core_set_fleet (core, wd->now_us, make_fleet (wd));
      pn->list_version = wd->list_version;
      pn->list_us = wd->now_us;
    }
  else if (pn->list_version == wd->list_version)
    wave_core_touch_fleet (core, wd->now_us);
  if (wave_core_begin_append (core, wd->now_us, wd->ctx, &data, &len) == 0)
    {
      if (!survives (wd, pn))
        return;
      struct world_event *ev = talloc_zero (wd->ctx, struct world_event);
      ev->is_append = true;
      ev->data = talloc_steal (ev, data);
      ev->len = len;
      wd->appends++;
      send_event (wd, index, ev);
    }
  while (wave_core_begin_call (core, wd->now_us, &call, &token))
    {
      if (!survives (wd, pn))
        return;
      struct world_event *ev = talloc_zero (wd->ctx, struct world_event);
      ev->call = call;
      ev->token = token;
      ev->call.address = talloc_strdup (ev, call.address ? call.address : "");
      snprintf (ev->host, sizeof ev->host, "%s", call.host);
      if (call.operation_id)
        snprintf (ev->id, sizeof ev->id, "%s", call.operation_id);
      wd->calls++;
      send_event (wd, index, ev);
    }
}

static void
answer (struct world *wd, struct world_event *ev)
{
  struct world_planner *pn = &wd->planners[ev->planner];
  DL_DELETE (wd->events, ev);
  /* A planner that died gets no answer.  */
  if (pn->alive && pn->born == ev->born && survives (wd, pn))
    {
      if (ev->is_append)
        wave_core_append_result (&pn->core, wd->now_us, &ev->append);
      else
        wave_core_call_result (&pn->core, wd->now_us, ev->token, &ev->result);
    }
  talloc_free (ev);
}

void
world_step (struct world *wd)
{
  struct world_event *ev;
  struct world_event *tmp;
  struct timespec a;
  struct timespec b;
  wd->now_us += WORLD_TICK_US;
  for (uint32_t n = 0; n < wd->host_count; n++)
    if (wd->hosts[n].up_ms > now_ms (wd) - WORLD_TICK_US / 1000
        && wd->hosts[n].up_ms <= now_ms (wd))
      wd->list_version++;
  DL_FOREACH_SAFE (wd->events, ev, tmp)
    {
      if (ev->due_us > wd->now_us)
        continue;
      if (!ev->answer)
        arrive (wd, ev);
      else if (acts (wd, &wd->planners[ev->planner])
               || !wd->planners[ev->planner].alive)
        answer (wd, ev);
    }
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &a);
  for (uint32_t n = 0; n < wd->planner_count; n++)
    if (acts (wd, &wd->planners[n]))
      run_planner (wd, n);
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &b);
  wd->plans_us += (uint64_t)((b.tv_sec - a.tv_sec) * 1000000
                             + (b.tv_nsec - a.tv_nsec) / 1000);
}
