#include "node_world.h"

#include <check.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "job/job_codec.h"
#include "platform/wire_decode.h"
#include "proto/job.pb-c.h"

#define ANSWER_US 1000

static struct node_world *current_world;

struct answer
{
  command_fn *fn;
  hold_fn *hold_fn;
  host_list_fn *list_fn;
  void *arg;
};

static void
on_answer (struct tevent_context *ev, struct tevent_timer *te,
           struct timeval tv, void *arg)
{
  struct answer *ans = arg;
  struct node_world *wld = current_world;
  const struct hold_result res
      = { .command = { .status = COMMAND_DONE,
                       .clock_ms = clock_now_us (wld->nod->clk) / 1000 } };
  const struct host_list list
      = { .hosts = wld->hosts, .count = wld->host_count };
  if (ans->hold_fn)
    ans->hold_fn (ans->arg, &res);
  else if (ans->list_fn)
    ans->list_fn (ans->arg, &list);
  else
    ans->fn (ans->arg, &res.command);
  talloc_free (ans);
}

static int
answer_later (struct answer from)
{
  struct tevent_context *ev = current_world->nod->ev;
  struct answer *ans = talloc (ev, struct answer);
  *ans = from;
  tevent_add_timer (ev, ans, tevent_timeval_current_ofs (0, ANSWER_US),
                    on_answer, ans);
  return 0;
}

static int
fake_start (struct worker_link *lnk, const struct command_target *to,
            const struct start_command *cmd, command_fn *fn, void *arg)
{
  current_world->starts++;
  current_world->last_started = cmd->task.job;
  return answer_later ((struct answer){ .fn = fn, .arg = arg });
}

static int
fake_stop (struct worker_link *lnk, const struct command_target *to,
           const struct stop_command *cmd, command_fn *fn, void *arg)
{
  return answer_later ((struct answer){ .fn = fn, .arg = arg });
}

static int
fake_pace (struct worker_link *lnk, const struct command_target *to,
           const struct pace_command *cmd, command_fn *fn, void *arg)
{
  return answer_later ((struct answer){ .fn = fn, .arg = arg });
}

static int
fake_hold (struct worker_link *lnk, const struct command_target *to,
           const struct hold_command *cmd, hold_fn *fn, void *arg)
{
  return answer_later ((struct answer){ .hold_fn = fn, .arg = arg });
}

static const struct worker_link_driver worker_driver = {
  .start = fake_start, .stop = fake_stop, .pace = fake_pace, .hold = fake_hold
};

static int
fake_list (struct host_link *lnk, host_list_fn *fn, void *arg)
{
  return answer_later ((struct answer){ .list_fn = fn, .arg = arg });
}

static int
fake_order (struct host_link *lnk, const struct host_order *ord,
            host_order_fn *fn, void *arg)
{
  current_world->orders++;
  current_world->order_timeout_ms = ord->timeout_ms;
  current_world->order_may_send = ord->may_send;
  current_world->order_arg = arg;
  return 0;
}

static const struct host_link_driver host_driver
    = { .list = fake_list, .order = fake_order };

/* Stand in for platform/wire_front.c.  */
void
front_reply (struct front_request *req, const struct front_response *rsp)
{
  current_world->replies++;
  current_world->last_reply = *rsp;
  talloc_free (req);
}

void
wire_front_set_body_max (struct wire_front *frt, size_t bytes)
{
}

void
wire_front_drain (struct wire_front *frt)
{
}

unsigned int
wire_front_open_requests (const struct wire_front *frt)
{
  return (unsigned int)(current_world->requests - current_world->replies);
}

void
node_world_submit (struct node_world *wld, const char *path, const char *body)
{
  struct front_request *req = talloc_zero (wld->nod, struct front_request);
  req->op = FRONT_SUBMIT;
  req->host = "h";
  req->path = talloc_asprintf (req, "/q/%s", path);
  req->body = (const uint8_t *)talloc_strdup (req, body);
  req->body_len = strlen (body);
  wld->requests++;
  node_handle_request (wld->nod, req);
}

void
node_world_handle (struct node_world *wld, enum front_op op, const char *path)
{
  struct front_request *req = talloc_zero (wld->nod, struct front_request);
  req->op = op;
  req->host = "h";
  req->path = talloc_asprintf (req, "/q/%s", path);
  wld->requests++;
  node_handle_request (wld->nod, req);
}

static void
on_time_over (struct tevent_context *ev, struct tevent_timer *te,
              struct timeval tv, void *arg)
{
  *(bool *)arg = true;
}

void
node_world_run (struct node_world *wld, int64_t ms)
{
  bool over = false;
  tevent_add_timer (wld->nod->ev, wld->nod,
                    tevent_timeval_current_ofs (ms / 1000, ms % 1000 * 1000),
                    on_time_over, &over);
  while (!over)
    tevent_loop_once (wld->nod->ev);
}

void
node_world_create (struct node_world *wld, bool fleet)
{
  static struct queue queues[]
      = { { .name = "q", .host = "h", .path_prefix = "/q/", .pool = "p" } };
  static struct pool_config pools[]
      = { { .name = "p", .enforces_capacity = true } };
  static struct node_settings set = { .name = "n1",
                                      .partitions = NODE_WORLD_PARTITIONS,
                                      .cpu_milli = 1000,
                                      .heartbeat_ms = 600,
                                      .lease_ms = 5000,
                                      .lease_max_ms = 10000,
                                      .confirm_ms = 6000,
                                      .start_confirm_ms = 3000,
                                      .config_age_max_ms = 2000,
                                      .grace_ms = 6000,
                                      .orders_fenced = "false" };
  *wld = (struct node_world){
    .cat
    = { .queues = queues, .queue_count = 1, .pools = pools, .pool_count = 1 }
  };
  current_world = wld;
  struct node *nod = wld->nod = talloc_zero (NULL, struct node);
  set.fleet_api = fleet ? "10.0.0.1:1" : "";
  nod->set = &set;
  nod->ev = tevent_context_init (NULL);
  common_clock_init (&nod->common, &clock_system);
  nod->clk = &nod->common.clk;
  ck_assert_int_eq (node_set_identity (nod, 1), 0);
  nod->boot = NODE_WORLD_BOOT;
  nod->started_us = clock_now_us (nod->clk);
  nod->job_partitions
      = talloc_zero_array (nod, struct job_partition *, set.partitions);
  job_table_init (&nod->jobs);
  nod->jobs.withdrawn = node_drop_withdrawn;
  nod->jobs.arg = nod;
  topic_memory_init (&wld->mem, nod->ev);
  nod->store.st.drv = &topic_memory_driver;
  nod->worker_link.lnk.drv = &worker_driver;
  nod->fleet_link.lnk.drv = &host_driver;
  nod->cat = &wld->cat;
  ck_assert_int_eq (node_open_fleet (nod), 0);
  ck_assert_int_eq (node_open_directory (nod), 0);
  ck_assert_int_eq (node_open_job_partitions (nod), 0);
  ck_assert_int_eq (node_open_duties (nod), 0);
  wld->duties = topic_memory_part (&wld->mem, TOPIC_DUTIES, 0);
  wld->jobs = topic_memory_part (&wld->mem, TOPIC_JOBS,
                                 node_job_partition (nod, "p")->part);
  wld->fleet = topic_memory_part (&wld->mem, TOPIC_FLEET, 0);
  /* With two partitions the reports of all pools are in the second one.  */
  wld->reports = topic_memory_part (&wld->mem, TOPIC_FLEET, 1);
}

void
node_world_init (struct node_world *wld, bool fleet)
{
  node_world_create (wld, fleet);
  node_world_run (wld, 100);
}

void
node_world_fini (struct node_world *wld)
{
  struct tevent_context *ev = wld->nod->ev;
  node_fleet_end (wld->nod);
  while (wld->nod->held_duties)
    {
      struct held_duty *hld = wld->nod->held_duties;
      wld->nod->held_duties = hld->next;
      placer_destroy (hld->plc);
    }
  HASH_CLEAR (hh, wld->nod->pool_workers);
  HASH_CLEAR (hh, wld->nod->admissions);
  state_view_fini (&wld->nod->states);
  job_table_fini (&wld->nod->jobs);
  talloc_free (wld->nod);
  talloc_free (ev);
}

static uint64_t
add_claim (struct node_world *wld, const char *duty, const char *holder,
           uint64_t boot, bool released,
           Kingcuphollow__EarlierHolders *earlier)
{
  char key[DUTY_KEY_BYTES];
  uint8_t data[128];
  Kingcuphollow__DutyClaim msg = KINGCUPHOLLOW__DUTY_CLAIM__INIT;
  msg.holder = (char *)holder;
  msg.boot = boot;
  msg.released = released;
  msg.cleared = true;
  msg.earlier = earlier;
  snprintf (key, sizeof key, "d/%s", duty);
  return 1
         + topic_memory_add (wld->duties, key, data,
                             kingcuphollow__duty_claim__pack (&msg, data));
}

uint64_t
node_world_claim (struct node_world *wld, const char *duty, const char *holder,
                  uint64_t boot, bool released)
{
  return add_claim (wld, duty, holder, boot, released, NULL);
}

uint64_t
node_world_take_over (struct node_world *wld, const char *duty,
                      const char *holder, uint64_t boot, const char *earlier)
{
  Kingcuphollow__EarlierHolders ear = KINGCUPHOLLOW__EARLIER_HOLDERS__INIT;
  Kingcuphollow__EarlierHolders__Holder row
      = KINGCUPHOLLOW__EARLIER_HOLDERS__HOLDER__INIT;
  Kingcuphollow__EarlierHolders__Holder *rows[] = { &row };
  row.name = (char *)earlier;
  row.boot = 1;
  row.commands_ms = (uint32_t)wld->nod->set->confirm_ms;
  ear.n_holders = 1;
  ear.holders = rows;
  return add_claim (wld, duty, holder, boot, false, &ear);
}

void
node_world_add_job (struct node_world *wld, uint64_t id)
{
  static const char json[]
      = "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64}]}";
  struct job_spec spec;
  const char *fault;
  uint8_t *data;
  size_t len;
  char key[JOB_KEY_BYTES + 1];
  void *ctx = talloc_new (NULL);
  ck_assert_int_eq (wire_decode_job (ctx, (const uint8_t *)json, strlen (json),
                                     &spec, &fault),
                    0);
  ck_assert_int_eq (
      job_encode_spec (ctx,
                       &(struct job_acceptance){
                           .queue = "q", .pool = "p", .accepted_ms = 1 },
                       &spec, &data, &len),
      0);
  job_key_format (JOB_KEY_SPEC, id, key);
  topic_memory_add (wld->jobs, key, data, len);
  talloc_free (ctx);
}

void
node_world_add_worker (struct node_world *wld, const char *id)
{
  struct worker_report rep
      = { .capacity = { .cpu_milli = 4000, .memory_mb = 8192 },
          .clock_ms = clock_now_us (wld->nod->clk) / 1000,
          .born_ms = 1000 };
  name_copy (rep.id, id);
  name_copy (rep.pool, "p");
  name_copy (rep.address, "10.0.0.1:1");
  snprintf (rep.host, sizeof rep.host, "m-%s", id);
  for (struct held_duty *hld = wld->nod->held_duties; hld; hld = hld->next)
    if (hld->plc)
      placer_update_worker (hld->plc, id, &rep);
}

uint64_t
node_world_request (struct node_world *wld, const char *host, uint64_t token,
                    int64_t until_ms)
{
  char key[DUTY_KEY_BYTES];
  uint8_t data[128];
  Kingcuphollow__VacateRequest msg = KINGCUPHOLLOW__VACATE_REQUEST__INIT;
  msg.token = token;
  msg.until_ms = (uint64_t)until_ms;
  msg.ended_worker = "";
  snprintf (key, sizeof key, "v/%s", host);
  topic_memory_set_epoch (wld->fleet, "holder." DUTY_FLEET, token);
  return topic_memory_add (wld->fleet, key, data,
                           kingcuphollow__vacate_request__pack (&msg, data));
}
