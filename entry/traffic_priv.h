#pragma once

#include "entry/dispatch.h"
#include "entry/messages.h"
#include "entry/request.h"
#include "entry/request_trace.h"
#include "entry/traffic.h"

/* State of a traffic thread and the functions that process its requests.  */

struct tevent_context;
struct tevent_timer;

#define REMOTE_ADDRESS_SIZE 64 /* bytes, including the terminating NUL */

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
  struct retry_budget retry_budget;
  struct view *view;
  struct trace_ring traces;
  struct request *open_requests; /* list of all requests not yet replied to */
  struct request *waiters; /* requests that wait for a target, in the order in
                              which their waits began */
  struct tevent_timer *waiters_timer;
  uint32_t waiter_count;
  bool serving_waiters;
  uint32_t open_count;
  struct tevent_timer *expiry_timer;
  struct tevent_timer *refresh_timer;
  struct tevent_timer *leave_timer;
  uint32_t entry_count; /* ready entry processes of the data centre, for the
                           even share of slots */
  uint32_t policy_attempts; /* 0: from the table of kinds */
  /* Addresses of entry processes in other data centres.  */
  char (*remotes)[REMOTE_ADDRESS_SIZE];
  uint32_t remote_count;
  uint32_t remote_next;
  bool starting_queued; /* inside flow_start_queued */
  bool start_again;
  int64_t last_run_us;    /* latest time at which the thread ran */
  int64_t pause_start_us; /* of the latest pause of this thread */
  int64_t pause_end_us;   /* 0: no pause yet */
  bool draining;
  bool rejecting; /* leave_ms is over; new requests are refused */
  bool aborted;   /* every request was replied to; claim messages in transit
                     refer to freed requests */
  bool stopped;
};

/* request_flow.c: processing of a request.  */

/* Records that the thread runs now, and a pause if its last run was too long
   ago.  */
void flow_detect_pause (struct traffic *trf);

/* Whether requests that waited in sockets during a pause may not have been
   read when the thread ran last.  */
bool flow_backlog_unread (const struct traffic *trf);
void flow_backlog_read (struct traffic *trf);

void flow_submit (struct traffic *trf, struct request *req);
void flow_claim_settled (struct traffic *trf,
                         const struct message_claim_verdict *msg);
void flow_claim_released (struct traffic *trf,
                          const struct message_claim_released *msg);

/* Releases the slot of REQ, if it holds one, and starts the next requests.  */
void flow_release_slot (struct traffic *trf, struct request *req);

/* Sends the next attempt of an admitted request, queues it with the requests
   that wait for a target, forwards it or ends it.  */
void flow_send_attempt (struct traffic *trf, struct request *req);

/* waiters.c: admitted requests that wait because no target is known to have a
   free slot, although admission counted some as free.  They are served in the
   order in which they began to wait, since later requests would otherwise take
   each slot that becomes free.  */
void waiters_add (struct traffic *trf, struct request *req);
void waiters_remove (struct traffic *trf, struct request *req);

/* Whether a request of POOL waits that may be sent to any target.  */
bool waiters_any (const struct traffic *trf, uint32_t pool);

/* Sends attempts of requests that wait in POOL until no slot is free.  */
void waiters_serve (struct traffic *trf, uint32_t pool);

/* request_flow.c: queued requests.  */

/* Starts the queued requests of POOL that admission allows to start.  */
void flow_start_queued (struct traffic *trf, uint32_t pool);
void flow_start_all_queued (struct traffic *trf);

/* Refuses the queued requests that waited too long and sets the timer for the
   next expiry.  */
void flow_expire_queued (struct traffic *trf);

/* probe.c: starts the health probes that are due.  */
void flow_start_probes (struct traffic *trf);

/* request_flow.c: ends every open request at once, as unknown if it may have
   run and otherwise as not run.  */
void flow_abort_all (struct traffic *trf);

/* request_trace_record.c: recording of the steps of a request in its trace. */

void request_trace_record_begin (struct traffic *trf, struct request *req);
void request_trace_record_step (struct traffic *trf, struct request *req,
                                enum trace_step_type type, int detail,
                                int extra);
void request_trace_record_sent (struct traffic *trf, struct request *req,
                                const struct route_choice *choice);
void request_trace_record_result (struct traffic *trf, struct request *req,
                                  enum trace_step_type type,
                                  const struct attempt_reply *reply);
void request_trace_record_forward (struct traffic *trf, struct request *req,
                                   const char *address);
void request_trace_record_end (struct traffic *trf, struct request *req);

/* traffic_report.c: the traffic thread's part of answers to operators.  */

void report_status (struct traffic *trf, const struct message_query *query);
void report_traces (struct traffic *trf, const struct message_query *query);

/* forward.c: forwarding to another data centre, at most once per request.  */

/* Parses the comma-separated addresses of the settings.  Returns 0,
   ERR_INVALID or ERR_NOMEM.  */
int forward_init (struct traffic *trf, const char *addresses);

/* Forwards REQ to an entry process of another data centre.  Returns false when
   REQ was forwarded to this process, may have run or holds a claim, or when no
   such process can be tried.  */
bool flow_forward (struct traffic *trf, struct request *req);

/* request_flow.c: ends REQ with OUTCOME and REASON.  Releases its slot, has
   the result of its claim recorded and replies.  The claim of a request that
   was not run is released instead, and the reply follows the release.  */
void flow_finish (struct traffic *trf, struct request *req,
                  enum request_outcome outcome, enum request_reason reason);
