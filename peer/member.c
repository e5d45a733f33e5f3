#include "peer/member.h"

#include <string.h>
#include <talloc.h>

#include "base/err.h"

const struct member_settings member_settings_default = {
  .max_members = 64,
  .suspect_after_us = 1500000,
  .dead_after_us = 3000000,
  .remove_after_us = 60000000,
};

struct slot
{
  bool used;
  enum member_state reported; /* state reported last */
  bool unreported;            /* new: no state has been reported yet */
  struct member_info info;
};

struct priv
{
  struct member_settings set;
  struct slot *slots;
};

int
members_init (struct members *mbs, void *parent,
              const struct member_settings *set)
{
  if (set->max_members == 0 || set->suspect_after_us <= 0
      || set->dead_after_us < set->suspect_after_us
      || set->remove_after_us < set->dead_after_us)
    return ERR_INVALID;
  struct priv *p = talloc_zero (parent, struct priv);
  if (!p)
    return ERR_NOMEM;
  p->set = *set;
  p->slots = talloc_zero_array (p, struct slot, set->max_members);
  if (!p->slots)
    {
      talloc_free (p);
      return ERR_NOMEM;
    }
  for (uint32_t n = 0; n < set->max_members; n++)
    p->slots[n].info.handle = (struct member_handle){ n, 1 };
  mbs->priv = p;
  return 0;
}

void
members_fini (struct members *mbs)
{
  TALLOC_FREE (mbs->priv);
}

static void
slot_clear (struct slot *slt)
{
  struct member_handle hdl = slt->info.handle;
  hdl.generation++;
  memset (slt, 0, sizeof *slt);
  slt->info.handle = hdl;
}

static struct slot *
slot_find (const struct members *mbs, const char *name)
{
  struct priv *p = mbs->priv;
  for (uint32_t n = 0; n < p->set.max_members; n++)
    if (p->slots[n].used && strcmp (p->slots[n].info.name, name) == 0)
      return &p->slots[n];
  return NULL;
}

static struct slot *
slot_get (const struct members *mbs, struct member_handle mbr)
{
  struct priv *p = mbs->priv;
  if (mbr.index >= p->set.max_members)
    return NULL;
  struct slot *slt = &p->slots[mbr.index];
  return slt->used && slt->info.handle.generation == mbr.generation ? slt
                                                                    : NULL;
}

/* Returns a free slot, else the slot of the longest dead member after removing
   it, or NULL when no member is dead.  */
static struct slot *
slot_alloc (struct priv *p)
{
  struct slot *longest_dead = NULL;
  for (uint32_t n = 0; n < p->set.max_members; n++)
    {
      struct slot *slt = &p->slots[n];
      if (!slt->used)
        return slt;
      if (slt->info.state == MEMBER_DEAD
          && (!longest_dead
              || slt->info.last_heartbeat_us
                     < longest_dead->info.last_heartbeat_us))
        longest_dead = slt;
    }
  if (longest_dead)
    slot_clear (longest_dead);
  return longest_dead;
}

int
members_add (struct members *mbs, const char *name, const char *data_centre,
             uint64_t incarnation, int64_t now_us, struct member_handle *out)
{
  if (*name == '\0' || strlen (name) >= MEMBER_NAME_SIZE
      || strlen (data_centre) >= MEMBER_NAME_SIZE)
    return ERR_INVALID;
  struct slot *slt = slot_find (mbs, name);
  /* An incarnation is a time of day, which may have gone back before the
     process was started again.  */
  bool dead = slt
              && now_us - slt->info.last_heartbeat_us
                     >= mbs->priv->set.dead_after_us;
  if (slt && incarnation < slt->info.incarnation && !dead)
    return ERR_EXPIRED;
  if (slt && incarnation != slt->info.incarnation)
    slot_clear (slt);
  if (!slt)
    slt = slot_alloc (mbs->priv);
  if (!slt)
    return ERR_FULL;
  if (!slt->used)
    {
      slt->used = true;
      slt->unreported = true;
      memcpy (slt->info.name, name, strlen (name) + 1);
    }
  memcpy (slt->info.data_centre, data_centre, strlen (data_centre) + 1);
  slt->info.incarnation = incarnation;
  slt->info.state = MEMBER_ALIVE;
  slt->info.last_heartbeat_us = now_us;
  *out = slt->info.handle;
  return 0;
}

int
members_heartbeat (struct members *mbs, struct member_handle mbr, bool ready,
                   uint64_t folded_offset, int64_t now_us)
{
  struct slot *slt = slot_get (mbs, mbr);
  if (!slt)
    return ERR_NOT_FOUND;
  slt->info.state = MEMBER_ALIVE;
  slt->info.last_heartbeat_us = now_us;
  slt->info.ready = ready;
  slt->info.folded_offset = folded_offset;
  return 0;
}

static void
slot_update (const struct priv *p, struct slot *slt, int64_t now_us)
{
  int64_t silent_us = now_us - slt->info.last_heartbeat_us;
  if (silent_us >= p->set.dead_after_us)
    {
      slt->info.state = MEMBER_DEAD;
      slt->info.ready = false;
    }
  else if (silent_us >= p->set.suspect_after_us)
    slt->info.state = MEMBER_SUSPECT;
}

bool
members_next_change (struct members *mbs, int64_t now_us,
                     struct member_info *out)
{
  struct priv *p = mbs->priv;
  for (uint32_t n = 0; n < p->set.max_members; n++)
    {
      struct slot *slt = &p->slots[n];
      if (!slt->used)
        continue;
      slot_update (p, slt, now_us);
      if (slt->unreported || slt->reported != slt->info.state)
        {
          slt->unreported = false;
          slt->reported = slt->info.state;
          *out = slt->info;
          return true;
        }
      if (now_us - slt->info.last_heartbeat_us >= p->set.remove_after_us)
        slot_clear (slt);
    }
  return false;
}

void
members_shift_times (struct members *mbs, int64_t gap_us)
{
  struct priv *p = mbs->priv;
  for (uint32_t n = 0; n < p->set.max_members; n++)
    p->slots[n].info.last_heartbeat_us += gap_us;
}

const struct member_info *
members_get (const struct members *mbs, struct member_handle mbr)
{
  const struct slot *slt = slot_get (mbs, mbr);
  return slt ? &slt->info : NULL;
}

int
members_find (const struct members *mbs, const char *name,
              struct member_handle *out)
{
  const struct slot *slt = slot_find (mbs, name);
  if (!slt)
    return ERR_NOT_FOUND;
  *out = slt->info.handle;
  return 0;
}

size_t
members_list (const struct members *mbs, struct member_info *out, size_t max)
{
  struct priv *p = mbs->priv;
  size_t count = 0;
  for (uint32_t n = 0; n < p->set.max_members && count < max; n++)
    if (p->slots[n].used)
      out[count++] = p->slots[n].info;
  return count;
}

const char *
member_state_name (enum member_state state)
{
  switch (state)
    {
    case MEMBER_ALIVE:
      return "alive";
    case MEMBER_SUSPECT:
      return "suspect";
    case MEMBER_DEAD:
      return "dead";
    }
  return "unknown";
}
