#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "route/route.h"

/* Traces of the most recent requests, step by step, in a ring of records of
   fixed size.  Belongs to one traffic thread.  A new request overwrites the
   oldest record.  Settings and JSON call a trace a "story".  */

#define TRACE_TEXT_MAX 64  /* bytes of an id, caller or kind */
#define TRACE_STEPS_MAX 32 /* a request with 5 attempts takes up to 27 */
/* Bytes for the host names of a record, each stored once; a name that does not
   fit is reported as unknown.  */
#define TRACE_NAMES_BYTES 512
#define TRACE_NAME_NONE UINT16_MAX
#define TRACES_FOUND_MAX 8 /* records returned for one request id */

enum trace_step_type
{
  TRACE_QUEUED,
  TRACE_ADMITTED,
  TRACE_CLAIM_REQUESTED,
  TRACE_CLAIM_VERDICT,  /* detail: enum claim_verdict, extra: enum
                           claim_result */
  TRACE_WAIT_TARGET,    /* no target was known to have a free slot */
  TRACE_SENT,           /* number: attempt, name: target; candidates */
  TRACE_RESULT,         /* detail: enum attempt_result, extra: bad_answer,
                           number: status, name: target */
  TRACE_RETRY,          /* detail: enum retry_verdict */
  TRACE_FORWARDED,      /* name: address of the other entry process */
  TRACE_FORWARD_RESULT, /* as TRACE_RESULT, without a name */
  TRACE_RELEASE_REQUESTED,
  TRACE_RELEASED, /* detail: whether it was recorded */
  TRACE_END,      /* detail: enum request_outcome, extra: enum request_reason,
                     number: status */
};

struct trace_candidate
{
  uint16_t name; /* as in struct trace_step */
  uint16_t in_flight;
  uint16_t slots;
};

struct trace_step
{
  uint8_t type;
  uint8_t detail;
  uint8_t extra;
  uint8_t candidate_count;
  uint16_t number;
  uint16_t name;  /* offset in the record's names, or TRACE_NAME_NONE */
  uint32_t at_us; /* since the arrival */
  uint32_t times; /* equal steps in a row; at_us is that of the first */
  struct trace_candidate candidates[ROUTE_CANDIDATES];
};

struct request_trace
{
  char id[TRACE_TEXT_MAX + 1];
  char caller[TRACE_TEXT_MAX + 1];
  char kind[TRACE_TEXT_MAX + 1];
  bool has_key;
  bool ended;
  bool key_held;
  bool steps_dropped; /* some did not fit into the record */
  uint8_t step_count;
  uint8_t hops;
  uint16_t names_len;
  uint64_t key_digest[2];
  int64_t arrival_ms; /* wall clock */
  int64_t arrival_us; /* monotonic */
  struct trace_step steps[TRACE_STEPS_MAX];
  char names[TRACE_NAMES_BYTES];
};

/* Reference to a record; generation 0: none.  */
struct trace_ref
{
  uint32_t index;
  uint32_t generation;
};

struct trace_ring
{
  struct request_trace *traces;
  uint64_t *id_hashes; /* hash of each record's id, so that a search reads
                          little memory */
  uint32_t *generations;
  uint32_t max;
  uint64_t begun; /* traces begun since the start */
};

struct traces_found
{
  uint32_t count;       /* copied, oldest first */
  uint32_t not_copied;  /* older ones of the same id, not copied */
  uint64_t overwritten; /* records, since the start, of any request */
  int64_t oldest_ms;    /* arrival of the oldest record kept; 0: none */
  struct request_trace traces[TRACES_FOUND_MAX];
};

/* Allocates MAX records; 0 keeps no traces.  Returns 0 or ERR_NOMEM.  */
int trace_ring_init (struct trace_ring *ring, void *parent, uint32_t max);

/* Starts a trace, in place of the oldest record if the ring is full.  Copies
   the fields of START up to its steps.  */
struct trace_ref trace_ring_begin (struct trace_ring *ring,
                                   const struct request_trace *start);

/* Returns the record, or NULL when it was overwritten.  */
struct request_trace *trace_ring_get (struct trace_ring *ring,
                                      struct trace_ref ref);

/* Adds a step.  A TRACE_WAIT_TARGET right after another one only increments
   the count of that step.  The last place is reserved for TRACE_END.  Returns
   the step, or NULL when none was added.  */
struct trace_step *request_trace_add_step (struct request_trace *trc,
                                           enum trace_step_type type,
                                           int64_t now_us);

/* Stores NAME unless the record has it.  Returns its offset in the record's
   names, or TRACE_NAME_NONE when NAME is empty or does not fit.  */
uint16_t request_trace_add_name (struct request_trace *trc, const char *name);

/* Copies the newest records of request ID to *OUT.  */
void trace_ring_find (const struct trace_ring *ring, const char *id,
                      struct traces_found *out);

const char *trace_step_type_name (enum trace_step_type type);
