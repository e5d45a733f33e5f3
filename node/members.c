#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "node/node_priv.h"
#include "proto/job.pb-c.h"

/* Membership: this process reports to the other members and reads their
   reports.  */

#define READ_WAIT_MS 1000
#define MEMBERS_BATCH_DELAY_MS 200
/* The store was unavailable when no read of members' reports succeeded for
   this time.  A read that finds no report takes READ_WAIT_MS.  */
#define MEMBERS_OUTAGE_US 1500000
#define MEMBER_KEY 'm'

bool
node_parse_key (const struct topic_entry *ent, char kind,
                char name[NAME_BYTES])
{
  if (ent->key_len < 3 || ent->key_len - 2 >= NAME_BYTES || ent->key[0] != kind
      || ent->value_len == 0)
    return false;
  name_copy_len (name, ent->key + 2, ent->key_len - 2);
  return true;
}

static void
on_member_record (void *arg, const struct topic_record *rec)
{
  struct node *nod = arg;
  char name[NAME_BYTES];
  if (!node_parse_key (&rec->entry, MEMBER_KEY, name))
    return;
  Kingcuphollow__MemberBeat *msg = kingcuphollow__member_beat__unpack (
      NULL, rec->entry.value_len, rec->entry.value);
  if (!msg)
    return;
  const struct member_report rep = { .name = name,
                                     .boot = msg->boot,
                                     .stopping = msg->stopping,
                                     .cpu_milli = msg->cpu_milli,
                                     .wall_ms = msg->wall_ms,
                                     .interval_ms = msg->interval_ms,
                                     .entry_only = msg->entry_only };
  if (duty_fold_member (&nod->duties, &rep, clock_now_us (nod->clk)))
    log_event (nod->lg, EV_RECORD_INVALID, LOG_S ("topic", TOPIC_MEMBERS),
               LOG_I ("offset", rec->offset), LOG_S ("error", "members_full"));
  node_note_admissions (nod, name, msg);
  kingcuphollow__member_beat__free_unpacked (msg, NULL);
}

static void
update_common_time (struct node *nod)
{
  int64_t own_us = common_clock_own_ahead_us (&nod->common);
  int64_t ahead_us;
  if (!duty_wall_ahead (&nod->duties, nod->set->name, own_us,
                        nod->members_current_us, &ahead_us))
    return;
  common_clock_set (&nod->common, ahead_us);
  bool differs = common_clock_differs (&nod->common);
  if (differs != nod->time_differs)
    log_event (nod->lg, EV_NODE_TIME_DIFFERS, LOG_S ("name", nod->set->name),
               LOG_I ("differs", differs),
               LOG_I ("ahead_ms", (own_us - ahead_us) / 1000));
  nod->time_differs = differs;
}

/* An entry process reads the reports less often.  */
static int64_t
members_outage_us (const struct node *nod)
{
  return nod->roster.role == ROSTER_CONTROLLER ? MEMBERS_OUTAGE_US
                                               : 2 * MEMBERS_OUTAGE_US;
}

static void
on_member_batch (void *arg)
{
  struct node *nod = arg;
  int64_t known_us = follower_caught_up_us (&nod->member_fol);
  if (nod->members_current_us > 0
      && known_us - nod->members_current_us > members_outage_us (nod))
    nod->members_resumed_us = known_us;
  nod->members_current_us = known_us;
  update_common_time (nod);
  node_update_role (nod);
  node_check_duties (nod);
}

static void
on_heartbeat_appended (void *arg, enum appender_outcome out, uint64_t offset)
{
  struct node *nod = arg;
  nod->heartbeat_in_progress = false;
}

static void
append_report (struct node *nod, int64_t interval_ms)
{
  char key[DUTY_KEY_BYTES];
  Kingcuphollow__MemberBeat msg = KINGCUPHOLLOW__MEMBER_BEAT__INIT;
  snprintf (key, sizeof key, "%c/%s", MEMBER_KEY, nod->set->name);
  msg.boot = nod->boot;
  msg.stopping = nod->stopping;
  msg.cpu_milli = (uint32_t)nod->set->cpu_milli;
  msg.wall_ms = clock_wall_ms (nod->common.own);
  msg.interval_ms = (uint32_t)interval_ms;
  msg.entry_only = nod->roster.role == ROSTER_ENTRY;
  void *ctx = talloc_new (nod);
  node_report_admissions (nod, ctx, &msg);
  uint8_t *data
      = talloc_size (ctx, kingcuphollow__member_beat__get_packed_size (&msg));
  if (data)
    {
      const struct topic_entry ent
          = { .key = key,
              .key_len = strlen (key),
              .value = data,
              .value_len = kingcuphollow__member_beat__pack (&msg, data) };
      nod->heartbeat_in_progress = appender_add (&nod->member_app, &ent, false,
                                                 on_heartbeat_appended, nod)
                                   == 0;
    }
  talloc_free (ctx);
}

/* Starts or ends the publication of states, as there were entry processes or
   none when the members' reports were last read.  */
static void
update_publication (struct node *nod)
{
  bool publishes = duty_has_entry_members (
      &nod->duties, nod->members_current_us, node_members_slack_us (nod));
  if (publishes == nod->publishes_states)
    return;
  nod->publishes_states = publishes;
  for (struct held_duty *hld = nod->held_duties; hld; hld = hld->next)
    if (hld->plc && publishes)
      node_publish_all (hld);
}

static void
on_heartbeat_timer (void *arg)
{
  struct node *nod = arg;
  int64_t now_us = clock_now_us (nod->clk);
  int64_t ms = nod->set->heartbeat_ms;
  nod->heartbeat_timer
      = timer_add (nod->ev, nod, ms * 1000, on_heartbeat_timer, nod);
  node_update_role (nod);
  if (nod->follows_jobs && !node_jobs_current (nod))
    node_open_job_partitions (nod);
  update_publication (nod);
  node_check_duties (nod);
  node_log_store_state (nod);
  node_log_usage (nod);
  int64_t interval_ms = roster_report_interval_ms (
      &nod->roster, ms,
      duty_count_live_members (&nod->duties, nod->members_current_us));
  if (nod->heartbeat_in_progress || now_us < nod->next_report_us)
    return;
  /* The timer is a little late each time.  */
  nod->next_report_us = now_us + interval_ms * 1000 - ms * 500;
  append_report (nod, interval_ms);
}

int
node_open_members (struct node *nod)
{
  char producer[PRODUCER_BYTES];
  const char *name = nod->set->name;
  const struct follower_settings set
      = { .topic = TOPIC_MEMBERS,
          .batch_delay_ms = MEMBERS_BATCH_DELAY_MS,
          .wait_ms = READ_WAIT_MS,
          .seed = XXH64 (name, strlen (name), 0),
          .lg = nod->lg };
  snprintf (producer, sizeof producer, "%s.%016" PRIx64, nod->set->name,
            nod->run_id);
  const struct appender_settings app_set = { .topic = TOPIC_MEMBERS,
                                             .producer = producer,
                                             .epoch = 1,
                                             .lg = nod->lg,
                                             .ctr = &nod->ctr };
  int err = appender_init (&nod->member_app, nod, &nod->store.st, nod->ev,
                           nod->clk, &app_set);
  if (!err)
    err = follower_init (&nod->member_fol, nod, &nod->store.st, nod->ev,
                         nod->clk, &set, on_member_record, on_member_batch,
                         nod);
  if (!err)
    on_heartbeat_timer (nod);
  return err;
}
