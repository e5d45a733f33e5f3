#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "route/route.h"

/* What happened to the last requests, step by step, in a ring of records of
   fixed size.  Belongs to one traffic thread.  A new request takes the place
   of the oldest record; what was known of that one is then lost.  */

#define STORY_TEXT_MAX 64  /* bytes of an id, caller or kind */
#define STORY_STEPS_MAX 32 /* a request of 5 attempts takes up to 27 */
/* Host names of a record, each stored once; a name that finds no room is
   told as unknown.  */
#define STORY_NAMES_BYTES 512
#define STORY_NAME_NONE UINT16_MAX
#define STORIES_FOUND_MAX 8 /* records of one request id that are told */

enum story_type
{
  STORY_QUEUED,
  STORY_ADMITTED,
  STORY_CLAIM_ASKED,
  STORY_CLAIM_VERDICT, /* detail: enum claim_verdict, more: enum claim_known */
  STORY_WAIT_TARGET,   /* every target's slots were in use */
  STORY_SENT,          /* name: target; candidates */
  STORY_RESULT,        /* detail: enum attempt_result, number: status */
  STORY_RETRY,         /* detail: enum retry_verdict */
  STORY_FORWARDED,     /* name: address of the other entry process */
  STORY_FORWARD_RESULT, /* detail: enum attempt_result, number: status */
  STORY_RELEASE_ASKED,
  STORY_RELEASED, /* detail: whether it was recorded */
  STORY_END,      /* detail: enum request_outcome, more: enum request_reason,
                     number: status */
};

struct story_candidate
{
  uint16_t name; /* into the record's names */
  uint16_t in_flight;
  uint16_t slots;
};

struct story_step
{
  uint8_t type;
  uint8_t detail;
  uint8_t more;
  uint8_t candidate_count;
  uint16_t number;
  uint16_t name;
  uint32_t at_us; /* since the arrival */
  uint32_t times; /* the same step in a row; at_us is the first one's */
  struct story_candidate candidates[ROUTE_CANDIDATES];
};

struct story
{
  char id[STORY_TEXT_MAX + 1];
  char caller[STORY_TEXT_MAX + 1];
  char kind[STORY_TEXT_MAX + 1];
  bool has_key;
  bool ended;
  bool key_held;
  bool steps_lost; /* more steps happened than the record holds */
  uint8_t step_count;
  uint8_t hops;
  uint16_t names_len;
  uint64_t key_digest[2];
  int64_t arrival_ms; /* wall clock */
  int64_t arrival_us; /* monotonic */
  struct story_step steps[STORY_STEPS_MAX];
  char names[STORY_NAMES_BYTES];
};

/* Index and generation; 0: no record.  */
struct story_ref
{
  uint32_t index;
  uint32_t generation;
};

struct stories
{
  struct story *ring;
  uint64_t *id_hashes; /* of each record, so that a search reads little */
  uint32_t *generations;
  uint32_t max;
  uint64_t begun;
};

struct stories_found
{
  uint32_t count;       /* copied, oldest first */
  uint32_t more;        /* older ones of the same id, not copied */
  uint64_t overwritten; /* records of any request since the start */
  int64_t oldest_ms;    /* arrival of the oldest record kept; 0: none */
  struct story stories[STORIES_FOUND_MAX];
};

/* MAX records; 0 keeps none.  Returns 0 or ERR_NOMEM.  */
int stories_init (struct stories *sts, void *parent, uint32_t max);

/* Takes the oldest record for a new request.  START's texts, digest and times
   are copied.  */
struct story_ref story_begin (struct stories *sts, const struct story *start);

/* The record, or NULL when it was overwritten.  */
struct story *story_get (struct stories *sts, struct story_ref ref);

/* Adds a step; the same one as the last is counted.  The last place is kept
   for STORY_END.  Returns the step, or NULL when it was not added.  */
struct story_step *story_add (struct story *sty, enum story_type type,
                              int64_t now_us);

/* Offset of NAME in the record, or STORY_NAME_NONE.  */
uint16_t story_name (struct story *sty, const char *name);

/* Copies the newest records of request ID.  */
void stories_find (const struct stories *sts, const char *id,
                   struct stories_found *out);

const char *story_type_name (enum story_type type);
