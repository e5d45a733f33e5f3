#pragma once

#include <pthread.h>
#include <stdbool.h>

/* Delivers messages from any thread to the tevent context of one thread.
   The receiver owns a message once its handler was called.  */

struct tevent_context;
struct tevent_fd;

/* First member of each message type.  */
struct mail
{
  struct mail *next;
  int type;
};

typedef void mailbox_fn (void *arg, struct mail *mail);

struct mailbox
{
  pthread_mutex_t lock;
  int event_fd;

  /* Under lock.  */
  struct mail *head;
  struct mail **tail;
  bool closed;

  /* Receiver's thread only.  */
  struct tevent_fd *fde;
  mailbox_fn *fn;
  void *arg;
};

/* Returns 0, ERR_SYSTEM or ERR_NOMEM.  */
int mailbox_init (struct mailbox *mb, struct tevent_context *ev,
                  mailbox_fn *fn, void *arg);

/* Posts MAIL.  Returns false when the mailbox is closed; MAIL then stays with
   the sender.  */
bool mailbox_post (struct mailbox *mb, struct mail *mail);

/* Delivers what waits and refuses new mail.  Receiver's thread.  */
void mailbox_close (struct mailbox *mb);
void mailbox_fini (struct mailbox *mb);
