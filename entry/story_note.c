#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "entry/traffic_priv.h"

/* Adds the steps of a request to its story.  */

static struct story_step *
add (struct traffic *trf, struct request *req, enum story_type type)
{
  struct story *sty = story_get (&trf->stories, req->story);
  return sty ? story_add (sty, type, clock_now_us (trf->clk)) : NULL;
}

void
note_begin (struct traffic *trf, struct request *req)
{
  struct story start = {
    .has_key = req->has_key,
    .hops = (uint8_t)req->hops,
    .arrival_ms = clock_wall_ms (trf->clk),
    .arrival_us = req->arrival_us,
  };
  if (trf->stories.max == 0)
    return;
  snprintf (start.id, sizeof start.id, "%s", req->id);
  snprintf (start.caller, sizeof start.caller, "%s", req->caller);
  snprintf (start.kind, sizeof start.kind, "%s", req->kind_name);
  if (req->has_key)
    {
      struct claim_key key
          = claim_key_make (req->caller, req->kind_name, req->key);
      start.key_digest[0] = key.hi;
      start.key_digest[1] = key.lo;
    }
  req->story = story_begin (&trf->stories, &start);
}

void
note_step (struct traffic *trf, struct request *req, enum story_type type,
           int detail, int more)
{
  struct story_step *step = add (trf, req, type);
  if (!step)
    return;
  step->detail = (uint8_t)detail;
  step->more = (uint8_t)more;
}

static uint16_t
clip (uint32_t num)
{
  return num > UINT16_MAX ? UINT16_MAX : (uint16_t)num;
}

void
note_sent (struct traffic *trf, struct request *req,
           const struct route_choice *choice)
{
  struct story_step *step = add (trf, req, STORY_SENT);
  if (!step)
    return;
  struct story *sty = story_get (&trf->stories, req->story);
  step->number = clip (req->attempts);
  step->name = story_name (sty, req->target_name);
  for (uint32_t n = 0; n < choice->candidate_count && n < ROUTE_CANDIDATES;
       n++)
    {
      const struct route_candidate *cand = &choice->candidates[n];
      const struct target_info *info = route_target (&trf->rt, cand->target);
      step->candidates[step->candidate_count++] = (struct story_candidate){
        .name = info ? story_name (sty, info->host) : STORY_NAME_NONE,
        .in_flight = clip (cand->in_flight),
        .slots = clip (cand->slots),
      };
    }
}

void
note_result (struct traffic *trf, struct request *req, enum story_type type,
             const struct attempt_reply *reply)
{
  struct story_step *step = add (trf, req, type);
  if (!step)
    return;
  step->detail = (uint8_t)reply->result;
  step->more = reply->bad_answer;
  step->number = clip (reply->status);
  if (type == STORY_RESULT)
    step->name
        = story_name (story_get (&trf->stories, req->story), req->target_name);
}

void
note_forward (struct traffic *trf, struct request *req, const char *address)
{
  struct story_step *step = add (trf, req, STORY_FORWARDED);
  if (step)
    step->name = story_name (story_get (&trf->stories, req->story), address);
}

void
note_end (struct traffic *trf, struct request *req)
{
  struct story *sty = story_get (&trf->stories, req->story);
  if (!sty)
    return;
  sty->ended = true;
  sty->key_held = req->key_held;
  struct story_step *step
      = story_add (sty, STORY_END, clock_now_us (trf->clk));
  if (!step)
    return;
  step->detail = (uint8_t)req->outcome;
  step->more = (uint8_t)req->reason;
  step->number = clip (req->status);
}
