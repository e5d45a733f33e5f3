#pragma once

#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>

#include "entry/listener.h"
#include "entry/mailbox.h"
#include "route/retry.h"

/* A traffic thread: takes requests from its listener through admission,
   claim, routing and attempts to exactly one reply each.  */

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
  int64_t leave_ms; /* after a stop was asked for, requests are still taken
                       this long, until the balancer saw the readiness go */
  uint32_t max_open;
  uint32_t stories; /* requests whose story is kept */
  uint64_t seed;
};

/* Starts the thread.  CONTROL is the mailbox for claims and reports.  Returns
   0 or what listener_create returns.  */
int traffic_start (const struct traffic_settings *set, const struct clock *clk,
                   struct logger *lg, struct counters *ctr,
                   struct mailbox *control, struct traffic **out);

uint16_t traffic_port (const struct traffic *trf);
struct mailbox *traffic_mailbox (struct traffic *trf);

/* Waits for the thread, which ends after MAIL_STOP, or after MAIL_DRAIN once
   nothing is open, and frees it.  */
void traffic_join (struct traffic *trf);
