#pragma once

#include <pthread.h>
#include <stdatomic.h>

/* An HTTP peer whose open connections can be silenced for good, as by a cut
   between it and its caller: it goes on reading what they carry and answers
   nothing.  New connections work.  */

#define SILENT_PEER_CONNECTIONS_MAX 32

struct silent_peer
{
  char address[32]; /* HOST:PORT */
  int listener;
  int stop[2]; /* pipe; the thread ends when its second end is closed */
  const char *partial;    /* what a silenced connection still sends; NULL:
                             nothing */
  atomic_int connections; /* accepted */
  atomic_int answered;    /* calls */
  atomic_int unanswered;  /* calls on silenced connections */
  atomic_int generation;
  pthread_t thread;
};

void silent_peer_start (struct silent_peer *peer);
void silent_peer_stop (struct silent_peer *peer);

/* Silences the connections that are open.  */
void silent_peer_silence (struct silent_peer *peer);
