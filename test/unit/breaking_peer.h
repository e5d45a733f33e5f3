#pragma once

#include <pthread.h>

/* An HTTP peer whose connection breaks while it handles a call.  It answers
   the first call with 200, closes the connection instead of answering the
   second one, and answers all others with 503.  */

struct breaking_peer
{
  char address[32]; /* HOST:PORT */
  int listener;
  int stop[2]; /* pipe; the thread ends when its second end is closed */
  int calls;   /* received in full */
  pthread_t thread;
};

void breaking_peer_start (struct breaking_peer *peer);

/* Returns the number of calls that the peer has received.  */
int breaking_peer_stop (struct breaking_peer *peer);
