#pragma once

#include <pthread.h>
#include <stdbool.h>

/* Delivers messages from any thread to the tevent context of one thread.  The
   receiver's handler takes ownership of each message.  */

struct tevent_context;
struct tevent_fd;

/* First member of each message type.  */
struct message
{
  struct message *next;
  int type;
};

typedef void mailbox_fn (void *arg, struct message *msg);

struct mailbox
{
  pthread_mutex_t lock;
  int event_fd;

  /* Protected by lock.  */
  struct message *head;
  struct message **tail;
  bool closed;

  /* Receiver's thread only.  */
  struct tevent_fd *fde;
  mailbox_fn *fn;
  void *arg;
};

/* Returns 0, ERR_SYSTEM or ERR_NOMEM.  */
int mailbox_init (struct mailbox *mb, struct tevent_context *ev,
                  mailbox_fn *fn, void *arg);

/* Posts MSG from any thread.  Returns false when the mailbox is closed; the
   caller then keeps ownership of MSG.  */
bool mailbox_post (struct mailbox *mb, struct message *msg);

/* Rejects new and delivers pending messages.  Receiver's thread only.  */
void mailbox_close (struct mailbox *mb);
void mailbox_fini (struct mailbox *mb);
