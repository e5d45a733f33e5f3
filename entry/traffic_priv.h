#pragma once

#include "entry/dispatch.h"
#include "entry/mails.h"
#include "entry/request.h"
#include "entry/story.h"
#include "entry/traffic.h"

struct tevent_context;
struct tevent_timer;

#define REMOTE_ADDRESS_MAX 64

struct traffic
{
  /* Set before the thread starts.  */
  struct traffic_settings set;
  const struct clock *clk;
  struct logger *lg;
  struct counters *ctr;
  struct mailbox *control;
  pthread_t thread;
  struct mailbox inbox;
  struct tevent_context *ev;

  /* Traffic thread only.  */
  struct listener *lis;
  struct dispatch *dsp;
  struct admit adm;
  struct route rt;
  struct retry_budget bud;
  struct view *view;
  struct stories stories;
  struct request *open;    /* list of all requests not yet replied to */
  struct request *waiters; /* wait for a target, in order of arrival there */
  struct tevent_timer *waiters_timer;
  uint32_t waiter_count;
  bool serving_waiters;
  uint32_t open_count;
  struct tevent_timer *expiry_timer;
  struct tevent_timer *refresh_timer;
  struct tevent_timer *leave_timer;
  uint32_t entries; /* of the data centre, for the least share of slots */
  uint32_t policy_attempts;            /* 0: as the table says */
  char (*remotes)[REMOTE_ADDRESS_MAX]; /* entry processes elsewhere */
  uint32_t remote_count;
  uint32_t remote_next;
  bool pumping; /* inside flow_pump */
  bool pump_again;
  int64_t alive_us;       /* last time that this thread is known to have run */
  int64_t pause_start_us; /* of the last time that it did not run */
  int64_t pause_end_us;
  bool draining;
  bool refusing; /* draining, and the leave time is over */
  bool aborted;  /* every request was replied to; verdicts on the way name
                    requests that are gone */
  bool stopped;
};

/* request_flow.c: the way of one request.  */

/* Notes that the thread runs, and whether it did not for some time.  */
void flow_note_alive (struct traffic *trf);

void flow_submit (struct traffic *trf, struct request *req);
void flow_verdict (struct traffic *trf, const struct mail_verdict *mail);
void flow_released (struct traffic *trf, const struct mail_released *mail);

/* Gives the slot back, if REQ has one, and lets the next one start.  */
void flow_leave_slot (struct traffic *trf, struct request *req);

/* Sends the next attempt of an admitted request, or lets it wait, or ends
   it.  */
void flow_send_attempt (struct traffic *trf, struct request *req);

/* waiters.c: admitted requests that wait because every target's slots look in
   use, although admission counted some as free.  Served in order of arrival,
   as later requests would otherwise take each slot that becomes free.  */
void waiters_add (struct traffic *trf, struct request *req);
void waiters_remove (struct traffic *trf, struct request *req);

/* Whether a request of POOL waits that any target would do for.  */
bool waiters_any (const struct traffic *trf, uint32_t pool);

/* Gives what has become free in POOL to the requests that wait.  */
void waiters_serve (struct traffic *trf, uint32_t pool);

/* Starts what admission lets start in POOL.  */
void flow_pump (struct traffic *trf, uint32_t pool);
void flow_pump_all (struct traffic *trf);

/* Refuses what waited too long and sets the timer for the next.  */
void flow_expire (struct traffic *trf);

/* Starts the health probes that are due.  */
void flow_probe (struct traffic *trf);

/* Ends every open request at once, each with a true outcome.  */
void flow_abort_all (struct traffic *trf);

/* story_note.c: steps of a request's story.  */

void note_begin (struct traffic *trf, struct request *req);
void note_step (struct traffic *trf, struct request *req, enum story_type type,
                int detail, int more);
void note_sent (struct traffic *trf, struct request *req,
                const struct route_choice *choice);
void note_result (struct traffic *trf, struct request *req,
                  enum story_type type, const struct attempt_reply *reply);
void note_forward (struct traffic *trf, struct request *req,
                   const char *address);
void note_end (struct traffic *trf, struct request *req);

/* traffic_report.c: answers to operators' questions.  */

void report_status (struct traffic *trf, const struct mail_ask *mail);
void report_stories (struct traffic *trf, const struct mail_ask *mail);

/* forward.c: the one hop to another data centre.  */

/* Parses the comma-separated addresses of the settings.  Returns 0,
   ERR_INVALID or ERR_NOMEM.  */
int forward_init (struct traffic *trf, const char *addresses);

/* Sends REQ, of which nothing was sent or claimed yet, to an entry process of
   another data centre.  Returns false when it may not or cannot go there.  */
bool flow_forward (struct traffic *trf, struct request *req);

void flow_finish (struct traffic *trf, struct request *req,
                  enum request_outcome outcome, enum request_reason reason);
