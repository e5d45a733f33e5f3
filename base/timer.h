#pragma once

#include <stdint.h>

/* One-shot timers.  tevent's own timers are due at a time of day: when that is
   set back by some seconds, they are late by as much, and when it is set ahead
   all of them are due at once.  These run on the clock of clock_now.  */

struct tevent_context;
struct timer;

typedef void timer_fn (void *arg);

/* Calls FN once, DELAY_US from now.  A delay that is not positive is due in
   the next round of the loop.  The timer belongs to PARENT and is freed before
   FN is called; talloc_free cancels it.  FN must not free EV.  Returns NULL
   when out of memory or file descriptors.  */
struct timer *timer_add (struct tevent_context *ev, void *parent,
                         int64_t delay_us, timer_fn *fn, void *arg);
