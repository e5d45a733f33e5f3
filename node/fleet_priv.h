#pragma once

#include "node/node_priv.h"

/* State of the fleet duty, shared by the files node/fleet*.c.  */

/* The holder gives no orders when its duty was last confirmed longer ago than
   this: another process takes the duty over after 2 s, and the two must not
   give orders alternately.  */
#define CONFIRM_AGE_MAX_US 1700000

/* First character of the key of an answer to a request to vacate a host.  */
#define VACATE_REPORT_KEY 'e'

/* A request to the owner of a host's pool to empty the host of tasks.  */
struct vacate_request
{
  UT_hash_handle hh;
  char host[NAME_BYTES];
  uint64_t offset;
  int64_t until_ms;         /* wall clock; what still runs then is stopped */
  bool move;                /* the host is to go to another pool */
  uint64_t reported_offset; /* of the request last answered */
  uint64_t reported_token;  /* of the pool's owner that answered it */
  bool refused;             /* that answer was a refusal */
  uint64_t token; /* of the holder of the fleet duty that made the request */
  int64_t superseded_us; /* when this process knew that the holder's duty had
                            ended; 0: it does not */
  bool withdrawn;        /* this process withdrew it, for an earlier holder */
};

struct fleet_duty
{
  struct node *nod;
  struct follower fol;             /* of the first partition */
  struct appender app;             /* of the requests, while holder */
  struct appender release_app;     /* the same after the stop signal */
  struct appender status_app;      /* state of waves for the operators */
  struct appender progress_app;    /* of the waves' progress */
  struct vacate_request *requests; /* by host */
  uint64_t request_changes;        /* of that table and its entries */
  /* Used in the holder of the duty; the host list also by pools' owners.  */
  bool active;
  uint64_t token;
  int64_t orders_from_us; /* no orders before this time */
  struct host_mgr mgr;
  struct follower *report_followers; /* by partition; unused: priv is NULL */
  bool list_in_progress;
  int64_t list_requested_us;
  int64_t next_list_us;
  int64_t next_pending_us; /* when to tell again what waves wait for */
  struct timer *timer;
};

/* node/fleet_log.c */
/* Tells what the hosts of running waves wait for, if that is due.  */
void node_fleet_log_pending (struct fleet_duty *flt, int64_t now_us);

/* Tells which pools wait for hosts that perpetual tasks need, if that is
   due.  */
void node_fleet_log_awaited (struct fleet_duty *flt, int64_t now_us);

/* node/fleet_vacate.c */
/* Tells the placer which of its hosts are to be emptied, and reports those
   that are empty and those that the pool keeps.  */
void node_fleet_answer_requests (struct held_duty *hld);

/* node/fleet_orders.c */
/* Sends the order for HOST's operation, if this process may still give orders;
   an operation of host_mgr_ops, ARG is the struct fleet_duty.  */
void node_fleet_order_host (void *arg, struct mgr_host *host);
/* Time from which the present holder may send orders.  Where the platform
   checks no tokens, no order of an earlier holder may arrive after it.  Each
   earlier holder last confirmed its duty before the present claim was
   appended.  */
int64_t node_fleet_orders_begin_us (const struct node *nod);
