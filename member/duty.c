#include "member/duty.h"

#include <string.h>
#include <xxhash.h>

#include "base/err.h"

/* Members report every 600 ms.  Three reports may be missing; the leases of
   tasks last 5 s, so that a new owner still has 2 s to reach the workers.  */
const struct member_timing member_timing_default = {
  .dead_us = 2000000,
  .candidate_us = 300000,
  /* Two reports.  */
  .return_us = 1300000,
};

/* Of a member that does not tell its processor share.  */
#define CPU_MILLI_DEFAULT 1000

static struct member *
find_member (struct duty_table *tab, const char *name)
{
  for (size_t n = 0; n < tab->member_count; n++)
    if (strcmp (tab->members[n].name, name) == 0)
      return &tab->members[n];
  return NULL;
}

int
duty_fold_member (struct duty_table *tab, const struct member_report *rep,
                  int64_t now_us)
{
  struct member *mem = find_member (tab, rep->name);
  if (!mem)
    {
      if (tab->member_count == MEMBERS_MAX)
        return ERR_FULL;
      mem = &tab->members[tab->member_count++];
      *mem = (struct member){ 0 };
      name_copy (mem->name, rep->name);
    }
  mem->boot = rep->boot;
  mem->stopping = rep->stopping;
  mem->cpu_milli = rep->cpu_milli > 0 ? rep->cpu_milli : CPU_MILLI_DEFAULT;
  mem->heard_us = now_us;
  return 0;
}

static struct duty *
find_duty (struct duty_table *tab, const char *name)
{
  for (size_t n = 0; n < tab->duty_count; n++)
    if (strcmp (tab->duties[n].name, name) == 0)
      return &tab->duties[n];
  return NULL;
}

/* A claim tells that its holder lives; its next report may be read later.  */
static void
note_claimant (struct duty_table *tab, const struct duty_claim *claim,
               int64_t now_us)
{
  struct member *mem = find_member (tab, claim->holder);
  if (!mem || claim->released || claim->boot < mem->boot)
    return;
  if (claim->boot > mem->boot)
    mem->stopping = false;
  mem->boot = claim->boot;
  mem->heard_us = now_us;
}

int
duty_fold_claim (struct duty_table *tab, const struct duty_claim *claim,
                 int64_t now_us)
{
  struct duty *dty = find_duty (tab, claim->name);
  if (!dty)
    {
      if (tab->duty_count == DUTIES_MAX)
        return ERR_FULL;
      dty = &tab->duties[tab->duty_count++];
      *dty = (struct duty){ 0 };
      name_copy (dty->name, claim->name);
    }
  if (claim->token <= dty->token)
    return 0;
  note_claimant (tab, claim, now_us);
  if (!claim->released)
    {
      dty->earlier_released = !*dty->holder && dty->cleared;
      name_copy (dty->earlier_holder, dty->holder);
      dty->earlier_boot = dty->boot;
    }
  dty->token = claim->token;
  dty->boot = claim->boot;
  dty->cleared = claim->cleared;
  dty->since_us = now_us;
  name_copy (dty->holder, claim->released ? "" : claim->holder);
  return 0;
}

bool
duty_earlier_over (const struct duty_table *tab, const struct duty *dty)
{
  const struct member *mem
      = find_member ((struct duty_table *)tab, dty->earlier_holder);
  return dty->earlier_released || (mem && mem->boot != dty->earlier_boot);
}

const struct duty *
duty_find (const struct duty_table *tab, const char *name)
{
  return find_duty ((struct duty_table *)tab, name);
}

bool
duty_held_by (const struct duty *dty, const char *name, uint64_t boot)
{
  return dty && dty->boot == boot && strcmp (dty->holder, name) == 0;
}

static bool
member_alive (const struct member *mem, int64_t now_us, int64_t slack_us)
{
  return !mem->stopping
         && now_us - mem->heard_us < member_timing_default.dead_us + slack_us;
}

/* Duties that MEM holds in its present boot.  */
static size_t
duties_of (const struct duty_table *tab, const struct member *mem)
{
  size_t count = 0;
  for (size_t n = 0; n < tab->duty_count; n++)
    count += duty_held_by (&tab->duties[n], mem->name, mem->boot);
  return count;
}

/* Candidates that would have the most processor time for each of their duties
   come first: an owner of a pool needs about 0.3 ms for each task, and one on
   a weak machine falls behind in a pool's turn.  Then comes the order that a
   hash of duty and member gives, so that a lost member's duties spread.  */
static bool
candidate_before (const struct duty_table *tab, const char *duty,
                  const struct member *a, const struct member *b)
{
  uint64_t load_a = (duties_of (tab, a) + 1) * (uint64_t)b->cpu_milli;
  uint64_t load_b = (duties_of (tab, b) + 1) * (uint64_t)a->cpu_milli;
  if (load_a != load_b)
    return load_a < load_b;
  XXH64_hash_t seed = XXH64 (duty, strlen (duty), 0);
  XXH64_hash_t hash_a = XXH64 (a->name, strlen (a->name), seed);
  XXH64_hash_t hash_b = XXH64 (b->name, strlen (b->name), seed);
  return hash_a != hash_b ? hash_a < hash_b : strcmp (a->name, b->name) < 0;
}

/* Monotonic time since when the duty is without a holder, or 0 while it has
   one that is alive.  */
static int64_t
vacant_since (struct duty_table *tab, const struct duty *dty,
              const struct duty_view *view)
{
  if (!dty)
    return view->settled_us;
  if (!*dty->holder)
    return dty->since_us;
  const struct member *mem = find_member (tab, dty->holder);
  if (!mem)
    return dty->since_us;
  if (mem->boot != dty->boot)
    return mem->heard_us;
  /* A stopping member holds its duties until it releases them or falls
     silent.  */
  int64_t gone_us
      = mem->heard_us + member_timing_default.dead_us + view->slack_us;
  if (view->back_us > 0
      && gone_us < view->back_us + member_timing_default.return_us)
    gone_us = view->back_us + member_timing_default.return_us;
  return view->known_us < gone_us ? 0 : gone_us;
}

bool
duty_should_claim (const struct duty_table *tab, const char *name,
                   const struct duty_view *view)
{
  struct duty_table *mut = (struct duty_table *)tab;
  const struct member *me = find_member (mut, view->self);
  int64_t since = vacant_since (mut, duty_find (tab, name), view);
  int64_t rank = 0;
  if (!me || me->stopping || since == 0)
    return false;
  for (size_t n = 0; n < tab->member_count; n++)
    {
      const struct member *mem = &tab->members[n];
      if (mem != me && member_alive (mem, view->known_us, view->slack_us)
          && candidate_before (tab, name, mem, me))
        rank++;
    }
  return view->now_us >= since + rank * member_timing_default.candidate_us;
}

size_t
duty_live_members (const struct duty_table *tab, int64_t now_us)
{
  size_t count = 0;
  for (size_t n = 0; n < tab->member_count; n++)
    count += member_alive (&tab->members[n], now_us, 0);
  return count;
}
