#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "wave/wave_codec.h"
#include "wave/wave_core_priv.h"

/* Changes of operators, through the log.  */

struct wave_edit *
wave_core_edit_find (struct priv *p, uint64_t sequence)
{
  for (int n = 0; n < WAVE_EDIT_MAX; n++)
    if (p->edits[n].used && p->edits[n].sequence == sequence)
      return &p->edits[n];
  return NULL;
}

struct wave_edit *
wave_core_edit_next (struct priv *p)
{
  for (int n = 0; n < WAVE_EDIT_MAX; n++)
    {
      struct wave_edit *ed = &p->edits[n];
      if (ed->used && !ed->ended && !ed->appended)
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
    if (!p->edits[n].used)
      ed = &p->edits[n];
  if (!ed)
    return ERR_FULL;
  full.writer = p->set.name;
  full.incarnation = p->set.incarnation;
  full.sequence = p->next_sequence++;
  full.base = p->fold.next_offset;
  memset (ed, 0, sizeof *ed);
  int err = wave_record_encode (p, &full, &ed->data, &ed->len);
  if (err)
    return err;
  ed->used = true;
  ed->sequence = full.sequence;
  ed->deadline_us = deadline_us;
  ed->fn = fn;
  ed->arg = arg;
  return 0;
}

void
wave_core_tell (struct wave_core *core, int64_t now_us)
{
  struct priv *p = core->priv;
  struct wave_edit told[WAVE_EDIT_MAX];
  int count = 0;
  for (int n = 0; n < WAVE_EDIT_MAX; n++)
    {
      struct wave_edit *ed = &p->edits[n];
      if (!ed->used)
        continue;
      if (!ed->ended && now_us >= ed->deadline_us)
        {
          bool open = p->append_open && p->append_sequence == ed->sequence;
          ed->ended = true;
          ed->err = ed->uncertain || ed->appended || open ? ERR_UNKNOWN_EFFECT
                                                          : ERR_UNAVAILABLE;
        }
      if (!ed->ended)
        continue;
      TALLOC_FREE (ed->data);
      ed->used = false;
      told[count++] = *ed;
    }
  /* A callback may finish the core.  */
  for (int n = 0; n < count; n++)
    told[n].fn (told[n].arg, told[n].err, told[n].effect);
}
