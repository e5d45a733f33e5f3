#include "base/timer.h"

#include <pthread.h>
#include <stdbool.h>
#include <sys/timerfd.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "base/clock.h"

struct timer
{
  struct timer *prev, *next;
  struct timer_queue *queue; /* NULL: the event context was freed */
  int64_t due_us;
  uint64_t number;
  timer_fn *fn;
  void *arg;
};

/* The timers of one event context, in the order in which they are due.  A
   child of the context.  */
struct timer_queue
{
  struct timer_queue *next_queue;
  struct tevent_context *ev;
  int fd;
  int64_t armed_us; /* when FD is due; 0: not armed */
  uint64_t last_number;
  struct timer *first, *last;
};

/* tevent keeps no user data in a context.  */
static struct timer_queue *queues;
static pthread_mutex_t queues_lock = PTHREAD_MUTEX_INITIALIZER;

/* Arms the file descriptor for the first timer.  This also clears an expiry,
   so that the descriptor need not be read.  */
static void
arm (struct timer_queue *que)
{
  int64_t due_us = que->first ? que->first->due_us : 0;
  struct itimerspec at
      = { .it_value = { .tv_sec = due_us / 1000000,
                        .tv_nsec = due_us % 1000000 * 1000 } };
  que->armed_us = due_us;
  timerfd_settime (que->fd, TFD_TIMER_ABSTIME, &at, NULL);
}

static void
unlink_timer (struct timer *tmr)
{
  struct timer_queue *que = tmr->queue;
  if (tmr->prev)
    tmr->prev->next = tmr->next;
  else
    que->first = tmr->next;
  if (tmr->next)
    tmr->next->prev = tmr->prev;
  else
    que->last = tmr->prev;
}

/* The descriptor stays armed for a cancelled timer: one call too many of
   on_due costs less than arming it again for each cancelled one.  */
static int
destroy_timer (struct timer *tmr)
{
  if (tmr->queue)
    unlink_timer (tmr);
  return 0;
}

static void
link_timer (struct timer_queue *que, struct timer *tmr)
{
  struct timer *after = que->last;
  while (after && after->due_us > tmr->due_us)
    after = after->prev;
  tmr->prev = after;
  tmr->next = after ? after->next : que->first;
  if (tmr->next)
    tmr->next->prev = tmr;
  else
    que->last = tmr;
  if (after)
    after->next = tmr;
  else
    que->first = tmr;
}

/* Timers that the callbacks add wait for the next call, also those without a
   delay, so that the loop gets to its other events.  */
static void
on_due (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
        void *arg)
{
  struct timer_queue *que = arg;
  uint64_t last_number = que->last_number;
  int64_t now_us = clock_now_us (&clock_system);
  struct timer *tmr = que->first;
  while (tmr && tmr->due_us <= now_us)
    {
      if (tmr->number > last_number)
        {
          tmr = tmr->next;
          continue;
        }
      timer_fn *fn = tmr->fn;
      void *fn_arg = tmr->arg;
      talloc_free (tmr);
      fn (fn_arg);
      /* The callback may have freed any other timer.  */
      tmr = que->first;
    }
  arm (que);
}

static int
destroy_queue (struct timer_queue *que)
{
  pthread_mutex_lock (&queues_lock);
  struct timer_queue **pos = &queues;
  while (*pos != que)
    pos = &(*pos)->next_queue;
  *pos = que->next_queue;
  pthread_mutex_unlock (&queues_lock);
  for (struct timer *tmr = que->first; tmr; tmr = tmr->next)
    tmr->queue = NULL;
  return 0;
}

static struct timer_queue *
find_queue (struct tevent_context *ev)
{
  pthread_mutex_lock (&queues_lock);
  struct timer_queue *que = queues;
  while (que && que->ev != ev)
    que = que->next_queue;
  pthread_mutex_unlock (&queues_lock);
  return que;
}

static struct timer_queue *
add_queue (struct tevent_context *ev)
{
  struct timer_queue *que = talloc_zero (ev, struct timer_queue);
  if (!que)
    return NULL;
  que->ev = ev;
  que->fd = timerfd_create (CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
  if (que->fd < 0)
    {
      talloc_free (que);
      return NULL;
    }
  struct tevent_fd *fde
      = tevent_add_fd (ev, que, que->fd, TEVENT_FD_READ, on_due, que);
  if (!fde)
    {
      close (que->fd);
      talloc_free (que);
      return NULL;
    }
  tevent_fd_set_auto_close (fde);
  pthread_mutex_lock (&queues_lock);
  que->next_queue = queues;
  queues = que;
  pthread_mutex_unlock (&queues_lock);
  talloc_set_destructor (que, destroy_queue);
  return que;
}

struct timer *
timer_add (struct tevent_context *ev, void *parent, int64_t delay_us,
           timer_fn *fn, void *arg)
{
  struct timer_queue *que = find_queue (ev);
  if (!que)
    que = add_queue (ev);
  struct timer *tmr = que ? talloc_zero (parent, struct timer) : NULL;
  if (!tmr)
    return NULL;
  tmr->queue = que;
  tmr->due_us = clock_now_us (&clock_system) + (delay_us > 0 ? delay_us : 0);
  tmr->number = ++que->last_number;
  tmr->fn = fn;
  tmr->arg = arg;
  link_timer (que, tmr);
  talloc_set_destructor (tmr, destroy_timer);
  if (!que->armed_us || tmr->due_us < que->armed_us)
    arm (que);
  return tmr;
}
