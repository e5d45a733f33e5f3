#pragma once

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Stand-ins of the platform's workers for the measurement of a pool's owner.
   One thread serves all of them on one port; each has a loopback address of
   its own, and a call names its worker in the header Expect-Instance.  They
   take every start and end it as done after OWNER_WORK_MS.  */

#define OWNER_WORK_MS 800
#define OWNER_WORKERS_MAX 2000

struct owner_workers
{
  int count;
  int64_t born_ms;
  uint64_t ends; /* runs that have ended; written by the thread */
  int listener;
  int port;
  bool stopping;
  pthread_t thread;
  struct stand_worker *rows;
};

/* Starts COUNT workers; ends the process on failure.  */
void owner_workers_start (struct owner_workers *wrks, int count);
void owner_workers_stop (struct owner_workers *wrks);
void owner_workers_id (int index, char *id);
void owner_workers_address (const struct owner_workers *wrks, int index,
                            char *address);
