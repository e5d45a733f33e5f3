#pragma once

#include <tevent.h>
#include <uthash.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "fleet/keeper.h"
#include "job/job_table.h"
#include "member/duty.h"
#include "node/node.h"
#include "platform/wire_fleet.h"
#include "platform/wire_front.h"
#include "platform/wire_store.h"
#include "platform/wire_worker.h"
#include "sched/placer.h"
#include "store/appender.h"
#include "store/follower.h"

#define TOPIC_JOBS "keyed.jobs"
#define TOPIC_MEMBERS "keyed.members"
/* Claims stand apart from the members' frequent reports, which would fail
   every append on condition that nothing came since.  */
#define TOPIC_DUTIES "keyed.duties"
/* The duty for the hosts' upkeep and moves; no pool has such a name.  */
#define DUTY_FLEET "@fleet"
/* An owner's fence in its pool's partition; the value is its token as text. */
#define FENCE_PREFIX "f/"
#define TOKEN_TEXT_BYTES 24
/* Gaps between reads of workers' reports, and of requests to empty hosts, by
   processes that hold a duty.  Workers report every 1.5 s, and a change of
   theirs may take 2 s to be acted on.  */
#define DIRECTORY_GAP_MS 120
#define FLEET_GAP_MS 20
#define DUTY_KEY_BYTES (NAME_BYTES + 2)
#define PRODUCER_BYTES (NAME_BYTES + 32)

struct node;

/* One partition of the job topic.  */
struct stream
{
  struct node *nod;
  uint32_t part;
  struct follower fol;
  struct appender app;
};

struct directory_entry
{
  UT_hash_handle hh;
  struct worker_report rep;
};

/* The last record of the workers on which a pool's owners may have started
   tasks.  */
struct pool_workers
{
  UT_hash_handle hh;
  char pool[NAME_BYTES];
  uint8_t *data;
  size_t len;
};

enum holding_phase
{
  HOLDING_FENCING, /* the append that fences earlier owners is on its way */
  HOLDING_CATCHING_UP, /* earlier owners' records are being read */
  HOLDING_ACTIVE,
};

/* A duty of this process.  */
struct holding
{
  struct holding *next;
  struct node *nod;
  char pool[NAME_BYTES];
  uint64_t token;
  struct stream *stm;
  struct appender app; /* fenced by the token */
  uint64_t fence_offset;
  enum holding_phase phase;
  struct placer *plc;
  struct tevent_timer *timer;
  int64_t timer_us;
  int64_t turn_ended_us;
  int64_t turn_took_us;
  bool lost;
  bool earlier_over; /* earlier holders give no more orders */
  /* What the fleet's keeper was last told, and the way to tell it.  */
  struct appender report_app;
  int64_t told_us;
  uint32_t told_short;
  size_t told_idle;
};

struct node
{
  const struct node_settings *set;
  struct tevent_context *ev;
  const struct clock *clk;
  struct logger *lg;
  struct counters ctr;
  struct http_client cli; /* to the store and the interface for hosts */
  struct http_client worker_cli;
  struct wire_store store;
  struct wire_worker workers;
  struct wire_fleet fleet_link;
  struct fleet *flt;
  struct wire_front *frt;
  uint64_t boot;
  int64_t started_us;

  /* From the operators.  */
  struct catalog *cat;
  struct follower operator_fol;
  struct follower directory_fol;
  struct directory_entry *directory;

  struct job_table jobs;
  struct stream **streams; /* by partition; NULL: not in use */
  struct pool_workers *pool_workers;

  struct follower member_fol;
  struct follower duty_fol;
  struct appender member_app;
  struct duty_table duties;
  int64_t members_known_us; /* reports sent before are known */
  int64_t members_back_us;  /* when they were read again after a pause */
  struct holding *holdings;
  bool claiming;
  uint64_t claim_end; /* of the topic after this process's last claim */
  int64_t next_claim_us;
  uint64_t claims; /* tries so far */
  struct tevent_timer *claim_timer;
  bool beat_open;
  int64_t confirmed_us;
  /* A read for a prompt confirmation.  */
  bool confirm_open;
  int64_t confirm_sent_us;
  uint64_t confirm_next;
  struct tevent_timer *beat_timer;

  bool store_away; /* as last logged */
  bool ready;      /* as last logged */
  bool stopping;
  bool stopped;
  int64_t stop_waited_ms;
};

/* node/streams.c */
struct stream *node_stream (struct node *nod, const char *pool);
/* Opens the streams that the configuration's queues need.  */
int node_open_streams (struct node *nod);
/* Whether what this process knows of the jobs is at most some seconds old.  */
bool node_view_current (const struct node *nod);
/* Logs when the store is lost or regained.  */
void node_note_store (struct node *nod);
/* Whether a stream takes appends at present.  */
bool node_stream_writable (const struct stream *stm);

/* node/directory.c */
int node_open_directory (struct node *nod);

/* node/duties.c */
int node_open_duties (struct node *nod);
void node_check_duties (struct node *nod);
void node_release_duties (struct node *nod);
struct holding *node_holding (const struct node *nod, const char *pool);
void node_wake_holding (struct holding *hld, int64_t at_us);

/* node/fleet.c */
int node_open_fleet (struct node *nod);
void node_fleet_set_gap (struct node *nod, int64_t gap_ms);
bool node_fleet_caught_up (const struct node *nod);
void node_fleet_begin (struct node *nod, uint64_t token);
void node_fleet_end (struct node *nod);
/* Token of the duty while this process has it, else 0.  */
uint64_t node_fleet_token (const struct node *nod);
void node_fleet_wave (struct node *nod, const uint8_t *data, size_t len);
int node_fleet_open_reports (struct holding *hld);
/* Reports what a pool wants and which hosts it has emptied.  */
void node_fleet_turn (struct holding *hld);

/* node/requests.c */
void node_request (void *arg, struct front_request *req);
