#include "entry/mailbox.h"

#include <stdint.h>
#include <sys/eventfd.h>
#include <tevent.h>
#include <unistd.h>

#include "base/err.h"

static void
deliver (struct mailbox *mb)
{
  pthread_mutex_lock (&mb->lock);
  struct message *msg = mb->head;
  mb->head = NULL;
  mb->tail = &mb->head;
  pthread_mutex_unlock (&mb->lock);

  while (msg)
    {
      struct message *next = msg->next;
      mb->fn (mb->arg, msg);
      msg = next;
    }
}

static void
on_event (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
          void *arg)
{
  struct mailbox *mb = arg;
  uint64_t count;
  if (read (mb->event_fd, &count, sizeof count) == sizeof count)
    deliver (mb);
}

int
mailbox_init (struct mailbox *mb, struct tevent_context *ev, mailbox_fn *fn,
              void *arg)
{
  *mb = (struct mailbox){ .fn = fn, .arg = arg };
  mb->tail = &mb->head;
  mb->event_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (mb->event_fd < 0)
    return ERR_SYSTEM;
  mb->fde = tevent_add_fd (ev, ev, mb->event_fd, TEVENT_FD_READ, on_event, mb);
  if (!mb->fde)
    {
      close (mb->event_fd);
      return ERR_NOMEM;
    }
  pthread_mutex_init (&mb->lock, NULL);
  return 0;
}

bool
mailbox_post (struct mailbox *mb, struct message *msg)
{
  msg->next = NULL;
  pthread_mutex_lock (&mb->lock);
  bool open = !mb->closed;
  bool wake = open && !mb->head;
  if (open)
    {
      *mb->tail = msg;
      mb->tail = &msg->next;
    }
  /* Written under the lock, so that the descriptor is not closed by
     mailbox_fini between the check and the write.  */
  if (wake)
    {
      uint64_t one = 1;
      ssize_t n = write (mb->event_fd, &one, sizeof one);
      (void)n;
    }
  pthread_mutex_unlock (&mb->lock);
  return open;
}

void
mailbox_close (struct mailbox *mb)
{
  pthread_mutex_lock (&mb->lock);
  mb->closed = true;
  pthread_mutex_unlock (&mb->lock);
  deliver (mb);
}

void
mailbox_fini (struct mailbox *mb)
{
  TALLOC_FREE (mb->fde);
  close (mb->event_fd);
  pthread_mutex_destroy (&mb->lock);
}
