#include "entry/request_trace.h"

#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "base/err.h"

static uint64_t
hash_id (const char *id)
{
  return XXH3_64bits (id, strlen (id));
}

int
trace_ring_init (struct trace_ring *ring, void *parent, uint32_t max)
{
  *ring = (struct trace_ring){ .max = max };
  if (max == 0)
    return 0;
  ring->traces = talloc_zero_array (parent, struct request_trace, max);
  ring->id_hashes = talloc_zero_array (parent, uint64_t, max);
  ring->generations = talloc_zero_array (parent, uint32_t, max);
  return ring->traces && ring->id_hashes && ring->generations ? 0 : ERR_NOMEM;
}

struct trace_ref
trace_ring_begin (struct trace_ring *ring, const struct request_trace *start)
{
  if (ring->max == 0)
    return (struct trace_ref){ 0 };
  uint32_t idx = (uint32_t)(ring->begun++ % ring->max);
  struct request_trace *trc = &ring->traces[idx];
  /* Steps and names beyond the counts are never read, so the whole record need
     not be cleared for each request.  */
  memcpy (trc, start, offsetof (struct request_trace, steps));
  trc->step_count = 0;
  trc->names_len = 0;
  ring->id_hashes[idx] = hash_id (trc->id);
  if (++ring->generations[idx] == 0)
    ring->generations[idx] = 1;
  return (struct trace_ref){ idx, ring->generations[idx] };
}

struct request_trace *
trace_ring_get (struct trace_ring *ring, struct trace_ref ref)
{
  if (ref.generation == 0 || ref.index >= ring->max
      || ring->generations[ref.index] != ref.generation)
    return NULL;
  return &ring->traces[ref.index];
}

struct trace_step *
request_trace_add_step (struct request_trace *trc, enum trace_step_type type,
                        int64_t now_us)
{
  struct trace_step *last
      = trc->step_count ? &trc->steps[trc->step_count - 1] : NULL;
  if (last && last->type == type && type == TRACE_WAIT_TARGET)
    {
      last->times++;
      return NULL;
    }
  uint32_t room = type == TRACE_END ? TRACE_STEPS_MAX : TRACE_STEPS_MAX - 1;
  if (trc->step_count >= room)
    {
      trc->steps_dropped = true;
      return NULL;
    }
  int64_t at = now_us - trc->arrival_us;
  struct trace_step *step = &trc->steps[trc->step_count++];
  *step = (struct trace_step){
    .type = (uint8_t)type,
    .name = TRACE_NAME_NONE,
    .at_us = at < 0            ? 0
             : at > UINT32_MAX ? UINT32_MAX
                               : (uint32_t)at,
    .times = 1,
  };
  return step;
}

uint16_t
request_trace_add_name (struct request_trace *trc, const char *name)
{
  size_t len = strlen (name) + 1;
  for (size_t pos = 0; pos < trc->names_len;
       pos += strlen (trc->names + pos) + 1)
    if (strcmp (trc->names + pos, name) == 0)
      return (uint16_t)pos;
  if (len == 1 || trc->names_len + len > TRACE_NAMES_BYTES)
    return TRACE_NAME_NONE;
  uint16_t pos = trc->names_len;
  memcpy (trc->names + pos, name, len);
  trc->names_len = (uint16_t)(trc->names_len + len);
  return pos;
}

void
trace_ring_find (const struct trace_ring *ring, const char *id,
                 struct traces_found *out)
{
  uint64_t hash = hash_id (id);
  uint64_t kept = ring->begun < ring->max ? ring->begun : ring->max;
  uint64_t found[TRACES_FOUND_MAX] = { 0 };

  memset (out, 0, sizeof *out);
  out->overwritten = ring->begun - kept;
  if (kept > 0)
    out->oldest_ms = ring->traces[(ring->begun - kept) % ring->max].arrival_ms;
  for (uint64_t n = 0; n < kept; n++)
    {
      uint64_t idx = (ring->begun - 1 - n) % ring->max;
      if (ring->id_hashes[idx] != hash
          || strcmp (ring->traces[idx].id, id) != 0)
        continue;
      if (out->count == TRACES_FOUND_MAX)
        out->not_copied++;
      else
        found[out->count++] = idx;
    }
  for (uint32_t n = 0; n < out->count; n++)
    out->traces[n] = ring->traces[found[out->count - 1 - n]];
}

const char *
trace_step_type_name (enum trace_step_type type)
{
  static const char *const names[] = {
    [TRACE_QUEUED] = "queued",
    [TRACE_ADMITTED] = "admitted",
    [TRACE_CLAIM_REQUESTED] = "claim_asked",
    [TRACE_CLAIM_VERDICT] = "claim_verdict",
    [TRACE_WAIT_TARGET] = "wait_target",
    [TRACE_SENT] = "sent",
    [TRACE_RESULT] = "result",
    [TRACE_RETRY] = "retry",
    [TRACE_FORWARDED] = "forwarded",
    [TRACE_FORWARD_RESULT] = "forward_result",
    [TRACE_RELEASE_REQUESTED] = "release_asked",
    [TRACE_RELEASED] = "released",
    [TRACE_END] = "end",
  };
  return names[type];
}
