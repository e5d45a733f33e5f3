#include "entry/story.h"

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
stories_init (struct stories *sts, void *parent, uint32_t max)
{
  *sts = (struct stories){ .max = max };
  if (max == 0)
    return 0;
  sts->ring = talloc_zero_array (parent, struct story, max);
  sts->id_hashes = talloc_zero_array (parent, uint64_t, max);
  sts->generations = talloc_zero_array (parent, uint32_t, max);
  return sts->ring && sts->id_hashes && sts->generations ? 0 : ERR_NOMEM;
}

struct story_ref
story_begin (struct stories *sts, const struct story *start)
{
  if (sts->max == 0)
    return (struct story_ref){ 0 };
  uint32_t idx = (uint32_t)(sts->begun++ % sts->max);
  struct story *sty = &sts->ring[idx];
  /* Steps and names beyond the counts are never read, so that a request
     costs no clearing of the whole record.  */
  memcpy (sty, start, offsetof (struct story, steps));
  sty->step_count = 0;
  sty->names_len = 0;
  sts->id_hashes[idx] = hash_id (sty->id);
  if (++sts->generations[idx] == 0)
    sts->generations[idx] = 1;
  return (struct story_ref){ idx, sts->generations[idx] };
}

struct story *
story_get (struct stories *sts, struct story_ref ref)
{
  if (ref.generation == 0 || ref.index >= sts->max
      || sts->generations[ref.index] != ref.generation)
    return NULL;
  return &sts->ring[ref.index];
}

struct story_step *
story_add (struct story *sty, enum story_type type, int64_t now_us)
{
  struct story_step *last
      = sty->step_count ? &sty->steps[sty->step_count - 1] : NULL;
  if (last && last->type == type && type == STORY_WAIT_TARGET)
    {
      last->times++;
      return NULL;
    }
  uint32_t room = type == STORY_END ? STORY_STEPS_MAX : STORY_STEPS_MAX - 1;
  if (sty->step_count >= room)
    {
      sty->steps_lost = true;
      return NULL;
    }
  int64_t at = now_us - sty->arrival_us;
  struct story_step *step = &sty->steps[sty->step_count++];
  *step = (struct story_step){
    .type = (uint8_t)type,
    .name = STORY_NAME_NONE,
    .at_us = at < 0            ? 0
             : at > UINT32_MAX ? UINT32_MAX
                               : (uint32_t)at,
    .times = 1,
  };
  return step;
}

uint16_t
story_name (struct story *sty, const char *name)
{
  size_t len = strlen (name) + 1;
  for (size_t pos = 0; pos < sty->names_len;
       pos += strlen (sty->names + pos) + 1)
    if (strcmp (sty->names + pos, name) == 0)
      return (uint16_t)pos;
  if (len == 1 || sty->names_len + len > STORY_NAMES_BYTES)
    return STORY_NAME_NONE;
  uint16_t pos = sty->names_len;
  memcpy (sty->names + pos, name, len);
  sty->names_len = (uint16_t)(sty->names_len + len);
  return pos;
}

void
stories_find (const struct stories *sts, const char *id,
              struct stories_found *out)
{
  uint64_t hash = hash_id (id);
  uint64_t kept = sts->begun < sts->max ? sts->begun : sts->max;
  uint64_t found[STORIES_FOUND_MAX] = { 0 };

  memset (out, 0, sizeof *out);
  out->overwritten = sts->begun - kept;
  if (kept > 0)
    out->oldest_ms = sts->ring[(sts->begun - kept) % sts->max].arrival_ms;
  for (uint64_t n = 0; n < kept; n++)
    {
      uint64_t idx = (sts->begun - 1 - n) % sts->max;
      if (sts->id_hashes[idx] != hash || strcmp (sts->ring[idx].id, id) != 0)
        continue;
      if (out->count == STORIES_FOUND_MAX)
        out->more++;
      else
        found[out->count++] = idx;
    }
  for (uint32_t n = 0; n < out->count; n++)
    out->stories[n] = sts->ring[found[out->count - 1 - n]];
}

const char *
story_type_name (enum story_type type)
{
  static const char *const names[] = {
    [STORY_QUEUED] = "queued",
    [STORY_ADMITTED] = "admitted",
    [STORY_CLAIM_ASKED] = "claim_asked",
    [STORY_CLAIM_VERDICT] = "claim_verdict",
    [STORY_WAIT_TARGET] = "wait_target",
    [STORY_SENT] = "sent",
    [STORY_RESULT] = "result",
    [STORY_RETRY] = "retry",
    [STORY_FORWARDED] = "forwarded",
    [STORY_FORWARD_RESULT] = "forward_result",
    [STORY_RELEASE_ASKED] = "release_asked",
    [STORY_RELEASED] = "released",
    [STORY_END] = "end",
  };
  return names[type];
}
