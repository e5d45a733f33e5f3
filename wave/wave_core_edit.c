#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "wave/wave_codec.h"
#include "wave/wave_core_priv.h"

/* Operators' edits of waves: each is appended as a record until its result is
   known or its deadline passes.  */

struct wave_edit *
wave_core_edit_find (struct priv *p, uint64_t sequence)
{
  for (int n = 0; n < WAVE_EDIT_MAX; n++)
    if (p->edits[n].in_use && p->edits[n].sequence == sequence)
      return &p->edits[n];
  return NULL;
}

struct wave_edit *
wave_core_edit_next (struct priv *p, int64_t now_us)
{
  for (int n = 0; n < WAVE_EDIT_MAX; n++)
    {
      struct wave_edit *ed = &p->edits[n];
      if (ed->in_use && !ed->ended && !ed->appended
          && now_us < ed->deadline_us)
        return ed;
    }
  return NULL;
}

int
wave_core_edit (struct wave_core *core, int64_t now_us,
                const struct wave_record *rec, int64_t deadline_us,
                wave_edit_fn *fn, void *arg)
{
  struct priv *p = core->priv;
  struct wave_record full = *rec;
  struct wave_edit *ed = NULL;
  if (rec->type == WAVE_RECORD_LEASE || rec->type == WAVE_RECORD_PLAN)
    return ERR_INVALID;
  if (!p->caught_up || now_us >= deadline_us)
    return ERR_UNAVAILABLE;
  for (int n = 0; n < WAVE_EDIT_MAX && !ed; n++)
    if (!p->edits[n].in_use)
      ed = &p->edits[n];
  if (!ed)
    return ERR_FULL;
  full.writer = p->set.name;
  full.incarnation = p->set.incarnation;
  full.sequence = p->next_sequence++;
  full.base_offset = p->fold.next_offset;
  memset (ed, 0, sizeof *ed);
  int err = wave_record_encode (p, &full, &ed->data, &ed->len);
  if (err)
    return err;
  ed->in_use = true;
  ed->sequence = full.sequence;
  ed->deadline_us = deadline_us;
  ed->fn = fn;
  ed->arg = arg;
  return 0;
}

void
wave_core_run_callbacks (struct wave_core *core, int64_t now_us)
{
  struct priv *p = core->priv;
  struct wave_edit due[WAVE_EDIT_MAX];
  int count = 0;
  for (int n = 0; n < WAVE_EDIT_MAX; n++)
    {
      struct wave_edit *ed = &p->edits[n];
      if (!ed->in_use)
        continue;
      if (!ed->ended && now_us >= ed->deadline_us)
        {
          bool in_flight
              = p->append_in_flight && p->append_sequence == ed->sequence;
          ed->ended = true;
          ed->err = ed->uncertain || ed->appended || in_flight
                        ? ERR_UNKNOWN_EFFECT
                        : ERR_UNAVAILABLE;
        }
      if (!ed->ended)
        continue;
      TALLOC_FREE (ed->data);
      ed->in_use = false;
      due[count++] = *ed;
    }
  /* A callback may call wave_core_fini, so P is not used from here on.  */
  for (int n = 0; n < count; n++)
    due[n].fn (due[n].arg, due[n].err, due[n].effect);
}
