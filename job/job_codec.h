#pragma once

#include "job/job.h"

/* Records of the job topics.  A key is the job's id and a letter: "j" for its
   specification, "p" for its progress, "x" for a cancellation.  The newest
   records are read in the order of keys, so that a specification comes before
   what refers to it.  */

#define JOB_KEY_BYTES (1 + JOB_ID_CHARS)
#define JOB_KEY_SPEC 'j'
#define JOB_KEY_PROGRESS 'p'
#define JOB_KEY_CANCEL 'x'

void job_key_format (char kind, uint64_t id, char key[JOB_KEY_BYTES + 1]);
bool job_key_parse (const char *key, size_t len, char *kind, uint64_t *id);

/* Each encodes into memory owned by the talloc context PARENT and returns 0 or
   ERR_NOMEM.  */
int job_encode_spec (void *parent, const char *queue, const char *pool,
                     int64_t accepted_ms, const struct job_spec *spec,
                     uint8_t **data, size_t *len);
int job_encode_progress (void *parent, const struct job *job, uint64_t token,
                         uint8_t **data, size_t *len);

/* Decodes a specification into JOB, a talloc context that owns what it refers
   to.  Returns 0, ERR_PROTOCOL or ERR_NOMEM.  */
int job_decode_spec (struct job *job, const uint8_t *data, size_t len);

/* Merges a progress record into JOB: done tasks stay done, run numbers and
   failures never fall.  *CHANGED: the job gained something; *BEHIND: the
   record lacks something that the job has; *TOKEN: of the owner that wrote
   it.  */
int job_merge_progress (struct job *job, const uint8_t *data, size_t len,
                        bool *changed, bool *behind, uint64_t *token);
