#pragma once

#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>

#include "entry/listener.h"
#include "entry/mailbox.h"
#include "route/retry.h"

/* A traffic thread: accepts requests on its listener and sends exactly one
   reply to each, after admission, claim, routing and attempts at targets.  */

struct clock;
struct counters;
struct logger;
struct traffic;

struct traffic_settings
{
  struct listener_settings listener;
  const char *data_centre;
  const char *policy;
  const char *remotes; /* comma-separated IP:PORT of entry processes in
                          other data centres; empty: none */
  int64_t default_deadline_ms;
  /* After a stop was requested, requests are still accepted for this long, so
     that the load balancer sees /readyz fail first.  */
  int64_t leave_ms;
  uint32_t max_open;    /* open requests; further ones are refused */
  uint32_t trace_count; /* request traces kept; 0: none */
  uint64_t seed;
};

/* Starts the thread.  CONTROL is the mailbox for claims and reports.  Returns
   0, ERR_INVALID for an unknown policy or malformed remotes, or an error of
   listener_create.  */
int traffic_start (const struct traffic_settings *set, const struct clock *clk,
                   struct logger *lg, struct counters *ctr,
                   struct mailbox *control, struct traffic **out);

uint16_t traffic_port (const struct traffic *trf);
struct mailbox *traffic_mailbox (struct traffic *trf);

/* Waits for the thread to end and frees it.  It ends after MSG_STOP, or after
   MSG_DRAIN once no request is open.  */
void traffic_join (struct traffic *trf);
