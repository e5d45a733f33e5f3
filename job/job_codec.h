#pragma once

#include "job/job.h"

/* Encoding of the records in the job topic.  The key of a record is the job's
   id followed by a letter: "j" for the specification, "p" for progress, "x"
   for a cancellation.  The store returns the newest record of each key in key
   order; with these letters a job's specification comes before the records
   that refer to it.  */

#define JOB_KEY_BYTES (1 + JOB_ID_CHARS)
#define JOB_KEY_SPEC 'j'
#define JOB_KEY_PROGRESS 'p'
#define JOB_KEY_CANCEL 'x'

void job_key_format (char kind, uint64_t id, char key[JOB_KEY_BYTES + 1]);
bool job_key_parse (const char *key, size_t len, char *kind, uint64_t *id);

/* What an entry process adds to a job that it accepts.  */
struct job_acceptance
{
  const char *queue;
  const char *pool;
  int64_t accepted_ms;
  uint64_t config_version;
  bool pool_uncertain;
  uint32_t attempts;          /* configured for the queue */
  const char *withdrawn_pool; /* NULL: none; see proto/job.proto */
};

/* The encoders allocate *DATA in the talloc context PARENT and return 0 or
   ERR_NOMEM.  TOKEN is the claim token of the pool's owner.  */
int job_encode_spec (void *parent, const struct job_acceptance *acc,
                     const struct job_spec *spec, uint8_t **data, size_t *len);
int job_encode_progress (void *parent, const struct job *job, uint64_t token,
                         uint8_t **data, size_t *len);

/* Decodes a specification into JOB, a zeroed talloc context that becomes the
   parent of everything it refers to, and copies the name of the pool that the
   record withdraws, or "".  Returns 0, ERR_PROTOCOL for a record that is
   malformed or exceeds the limits in job.h, or ERR_NOMEM.  */
int job_decode_spec (struct job *job, const uint8_t *data, size_t len,
                     char withdrawn_pool[NAME_BYTES]);
/* Copies the names of the pools that a specification is for and withdraws, the
   latter or "".  Returns 0 or ERR_PROTOCOL.  */
int job_decode_spec_pools (const uint8_t *data, size_t len,
                           char pool[NAME_BYTES],
                           char withdrawn_pool[NAME_BYTES]);
/* Copies the name of the pool that a progress record states, or "".  Returns 0
   or ERR_PROTOCOL.  */
int job_decode_progress_pool (const uint8_t *data, size_t len,
                              char pool[NAME_BYTES]);

/* Merges a progress record into JOB: done tasks stay done, and run numbers and
   failure counts never decrease.  Sets *CHANGED when the record contained
   progress that JOB lacked, *STALE when JOB has done tasks or failures that
   the record lacks, *TOKEN to the claim token of the owner that wrote the
   record, and *OUTCOME to how the job has ended according to it.  Returns 0 or
   ERR_PROTOCOL.  */
int job_merge_progress (struct job *job, const uint8_t *data, size_t len,
                        bool *changed, bool *stale, uint64_t *token,
                        enum job_outcome *outcome);
