#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "claim/claim.h"
#include "entry/mailbox.h"
#include "entry/request_trace.h"
#include "entry/view.h"

/* Messages between the control thread and the traffic thread.  Allocated with
   calloc, because talloc contexts belong to one thread.  The receiver frees
   them.  */

enum message_type
{
  /* To the traffic thread.  */
  MSG_VIEW,
  MSG_CLAIM_VERDICT,
  MSG_CLAIM_RELEASED,
  MSG_PEER_LOAD,
  MSG_PEER_HEALTH,
  MSG_ENTRY_COUNT,
  MSG_QUERY_STATUS,
  MSG_QUERY_TRACES,
  MSG_DRAIN,
  MSG_STOP,
  /* To the control thread.  */
  MSG_CLAIM,
  MSG_CLAIM_RESULT,
  MSG_CLAIM_RELEASE,
  MSG_OWN_LOAD,
  MSG_OWN_HEALTH,
  MSG_STATUS,
  MSG_TRACES,
  MSG_TRAFFIC_ENDED,
};

struct request;

struct message_view
{
  struct message base;
  struct view *view; /* one reference, passed to the receiver */
};

struct message_claim_verdict
{
  struct message base;
  struct request *req;
  enum claim_verdict verdict;
  enum claim_result result; /* of the request that claimed the key before */
  uint32_t status;
  uint64_t claim_id;
  size_t body_len;
  bool has_body;
  uint8_t body[];
};

struct message_claim_released
{
  struct message base;
  struct request *req;
  bool recorded;
};

struct message_peer_load
{
  struct message base;
  uint32_t peer;
  char host[VIEW_NAME_SIZE];
  uint32_t in_flight;
};

struct message_peer_health
{
  struct message base;
  char host[VIEW_NAME_SIZE];
  bool ejected;
};

struct message_entry_count
{
  struct message base;
  uint32_t entry_count; /* ready entry processes of the data centre, including
                           this one */
};

struct message_claim
{
  struct message base;
  struct request *req;
  struct claim_key key;
  uint64_t body_digest;
  int64_t deadline_us;
};

/* Result of a claimed request, to be recorded in the log.  */
struct message_claim_result
{
  struct message base;
  struct claim_key key;
  uint64_t claim_id;
  bool answered;
  uint32_t status;
  size_t body_len;
  uint8_t body[];
};

struct message_claim_release
{
  struct message base;
  struct request *req;
  struct claim_key key;
  uint64_t claim_id;
  int64_t deadline_us;
};

struct message_own_load
{
  struct message base;
  uint32_t count;
  struct
  {
    char host[VIEW_NAME_SIZE];
    uint32_t in_flight;
    uint32_t slots;
  } loads[];
};

struct message_own_health
{
  struct message base;
  char host[VIEW_NAME_SIZE];
  bool ejected;
};

/* A query of an operator.  The reply carries the same query_id.  */
struct message_query
{
  struct message base;
  uint64_t query_id;
  char request_id[TRACE_TEXT_MAX + 1]; /* for MSG_QUERY_TRACES */
};

struct status_pool
{
  uint32_t targets;
  uint32_t taking_work; /* number of targets that take new work */
  uint32_t slots;       /* of the targets that take new work */
  uint32_t own_attempts;
  uint32_t peer_attempts;
  uint32_t ejected;
};

struct status_kind
{
  uint32_t running;
  uint32_t queued;
  uint64_t started;
  uint64_t refused;
};

/* State of the traffic thread, in reply to MSG_QUERY_STATUS.  The view gives
   the names of the pools and kinds; it is NULL before the first one.  */
struct message_status
{
  struct message base;
  uint64_t query_id;
  struct view *view; /* one reference, passed to the receiver */
  bool draining;
  uint32_t open_requests;
  struct status_pool *pools; /* both arrays lie in data */
  struct status_kind *kinds;
  uint64_t data[];
};

struct message_traces
{
  struct message base;
  uint64_t query_id;
  struct traces_found found;
};

/* Returns a new message of SIZE bytes, zeroed except for its type, or NULL
   when out of memory.  */
void *message_new (enum message_type type, size_t size);
