#pragma once

#include <uthash.h>

#include "job/job.h"

/* The states of jobs as the pools' owners publish them, for processes that do
   not read the jobs themselves (member/roster.h).  An owner publishes the
   state of a job when the log has it, and from time to time a summary of its
   pool, which tells how old its knowledge is.  A job that is unknown here does
   not exist if the summary is recent enough.

   All calls on a view belong to one thread.  */

struct published_job
{
  UT_hash_handle hh;
  uint64_t id;
  enum job_state state;
  bool published;   /* false: this process has stored the job, and no owner has
                       published its state yet */
  int64_t noted_us; /* monotonic time of the last change */
};

struct published_queue
{
  char name[NAME_BYTES];
  uint32_t waiting; /* jobs of which no task has started */
};

struct published_pool
{
  UT_hash_handle hh;
  char name[NAME_BYTES];
  uint64_t token;   /* claim token of the owner */
  uint64_t number;  /* of the last summary of that owner */
  int64_t as_of_us; /* all jobs that were stored before this monotonic time are
                       known; 0: not known */
  /* The same according to the last summary, if the store appended it as soon
     as it was composed; 0: not known.  The next one tells how long that
     took.  */
  int64_t unconfirmed_as_of_us;
  struct published_queue *queues;
  size_t queue_count;
};

struct state_view
{
  struct published_job *jobs;
  struct published_pool *pools;
};

/* First character of the key of a pool's summary.  */
#define STATE_VIEW_POOL_KEY '@'
/* Bytes of a key, with the NUL.  */
#define STATE_VIEW_KEY_BYTES (NAME_BYTES + 1)

void state_view_fini (struct state_view *view);

/* Folds a record.  KNOWN_US is the monotonic time as of which all records of
   the topic were known before this one was read, or 0 if it is not known when
   this one was appended.  PARENT becomes the talloc parent of new rows.
   Returns 0, ERR_PROTOCOL or ERR_NOMEM.  */
int state_view_fold (struct state_view *view, void *parent, const char *key,
                     size_t key_len, const uint8_t *value, size_t value_len,
                     int64_t known_us, int64_t now_us);

/* Notes that this process has stored the job ID.  */
void state_view_note_stored (struct state_view *view, void *parent,
                             uint64_t id, int64_t now_us);

/* Returns NULL for a job that is not known.  */
const struct published_job *state_view_find (const struct state_view *view,
                                             uint64_t id);

/* Returns NULL for a pool without a summary.  */
const struct published_pool *state_view_pool (const struct state_view *view,
                                              const char *name);

/* Number of waiting jobs of QUEUE according to the summary POOL.  */
uint32_t state_view_waiting (const struct published_pool *pool,
                             const char *queue);

/* Drops the jobs that ended, and those without a published state, that were
   noted before the monotonic time BEFORE_US.  */
void state_view_expire (struct state_view *view, int64_t before_us);

/* The value of a job's record; returns its length.  */
#define STATE_VIEW_JOB_VALUE_BYTES 16
size_t state_view_encode_job (enum job_state state,
                              uint8_t value[STATE_VIEW_JOB_VALUE_BYTES]);

/* Encodes the summary POOL, whose knowledge is AGE_US old, after one that was
   appended PREVIOUS_DELAY_US after it was composed.  Returns memory of PARENT,
   or NULL.  */
uint8_t *state_view_encode_pool (void *parent,
                                 const struct published_pool *pool,
                                 int64_t age_us, int64_t previous_delay_us,
                                 size_t *len);
