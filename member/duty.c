#include "member/duty.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/err.h"

/* Members report every 600 ms, so that a member is dead after three missing
   reports.  The leases of tasks last 5 s: a new owner still has 2 s to reach
   the workers before they expire.  */
const struct member_timing member_timing_default = {
  .dead_after_us = 2000000,
  .dead_after_percent = 250,
  .forget_after_us = 60000000,
  .candidate_delay_us = 300000,
  /* The time of two reports.  */
  .report_grace_us = 1300000,
};

/* Assumed for a member that does not report its processor time.  */
#define CPU_MILLI_DEFAULT 1000
/* Of two clocks that differ, it is not known which is right.  */
#define CLOCKS_MIN 3

/* Returns a place for a new member: a free one, or that of the member which
   has been silent the longest.  NULL: there is none.  */
static struct member *
place_for_member (struct duty_table *tab, int64_t now_us)
{
  struct member *oldest = NULL;
  if (tab->member_count < MEMBERS_MAX)
    return &tab->members[tab->member_count++];
  for (size_t n = 0; n < tab->member_count; n++)
    if (!oldest || tab->members[n].heard_us < oldest->heard_us)
      oldest = &tab->members[n];
  return now_us - oldest->heard_us > member_timing_default.forget_after_us
             ? oldest
             : NULL;
}

static struct member *
find_member (struct duty_table *tab, const char *name)
{
  for (size_t n = 0; n < tab->member_count; n++)
    if (strcmp (tab->members[n].name, name) == 0)
      return &tab->members[n];
  return NULL;
}

void
duty_set_limits (struct duty_table *tab, const struct holder_limits *limits)
{
  tab->limits = *limits;
}

static void
note_leases (struct earlier_holders *ear, int64_t end_us)
{
  if (end_us > ear->leases_end_us)
    ear->leases_end_us = end_us;
}

static void
remove_row (struct earlier_holders *ear, size_t index)
{
  ear->rows[index] = ear->rows[--ear->count];
}

/* Turns the rows of holders that have stopped into a bound on their leases. A
   holder has stopped when its time is over, or when its process has started
   again.  A lower boot does not show that: reports and claims are read
   separately, and the report may be the older one.  */
static void
settle_earlier (const struct duty_table *tab, struct earlier_holders *ear,
                int64_t now_us)
{
  for (size_t n = ear->count; n-- > 0;)
    {
      const struct earlier_holder *row = &ear->rows[n];
      const struct member *mem
          = find_member ((struct duty_table *)tab, row->name);
      int64_t end_us = row->commands_end_us;
      if (mem && mem->boot > row->boot && mem->boot_read_us < end_us)
        end_us = mem->boot_read_us;
      if (end_us > now_us)
        continue;
      note_leases (ear, end_us + tab->limits.lease_us);
      remove_row (ear, n);
    }
}

static void
settle_all (struct duty_table *tab, int64_t now_us)
{
  for (size_t n = 0; n < tab->duty_count; n++)
    settle_earlier (tab, &tab->duties[n].earlier, now_us);
}

/* Adds a holder that may send commands until END_US.  Without a free row, the
   one that stops first is kept as a bound on its leases.  */
static void
add_earlier (const struct duty_table *tab, struct earlier_holders *ear,
             const char *name, uint64_t boot, int64_t end_us)
{
  if (ear->count == EARLIER_HOLDERS_MAX)
    {
      size_t first = 0;
      for (size_t n = 1; n < ear->count; n++)
        if (ear->rows[n].commands_end_us < ear->rows[first].commands_end_us)
          first = n;
      note_leases (ear,
                   ear->rows[first].commands_end_us + tab->limits.lease_us);
      remove_row (ear, first);
    }
  struct earlier_holder *row = &ear->rows[ear->count++];
  name_copy (row->name, name);
  row->boot = boot;
  row->commands_end_us = end_us;
}

int
duty_fold_member (struct duty_table *tab, const struct member_report *rep,
                  int64_t now_us)
{
  struct member *mem = find_member (tab, rep->name);
  if (!mem)
    {
      mem = place_for_member (tab, now_us);
      if (!mem)
        return ERR_FULL;
      *mem = (struct member){ .wall_ahead_us = INT64_MIN };
      name_copy (mem->name, rep->name);
    }
  /* An append that the store carries out late.  */
  if (rep->boot < mem->boot)
    return 0;
  bool restarted = rep->boot > mem->boot;
  if (restarted)
    mem->boot_read_us = now_us;
  mem->boot = rep->boot;
  mem->stopping = rep->stopping;
  mem->entry_only = rep->entry_only;
  mem->interval_us = rep->interval_ms * 1000;
  mem->cpu_milli = rep->cpu_milli > 0 ? rep->cpu_milli : CPU_MILLI_DEFAULT;
  mem->heard_us = now_us;
  mem->wall_ahead_us
      = rep->wall_ms > 0 ? rep->wall_ms * 1000 - now_us : INT64_MIN;
  if (restarted)
    settle_all (tab, now_us);
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

/* A claim counts as a report of the claimant.  The two topics are read
   separately, and the claimant's next report may be read later.  */
static void
note_claimant (struct duty_table *tab, const struct duty_claim *claim,
               int64_t now_us)
{
  struct member *mem = find_member (tab, claim->holder);
  if (!mem || claim->released || claim->boot < mem->boot)
    return;
  bool restarted = claim->boot > mem->boot;
  if (restarted)
    {
      mem->stopping = false;
      mem->boot_read_us = now_us;
    }
  mem->boot = claim->boot;
  mem->heard_us = now_us;
  /* A holder of a duty reports often.  */
  mem->entry_only = false;
  mem->interval_us = 0;
  if (restarted)
    settle_all (tab, now_us);
}

/* By how much the bound on leases in a record with EAR is too early: it was
   computed with a shorter lease.  */
static int64_t
missing_lease_us (const struct duty_table *tab,
                  const struct earlier_holders *ear)
{
  int64_t counted_us
      = ear->lease_us > 0 ? ear->lease_us : tab->limits.unstated_lease_us;
  return counted_us < tab->limits.lease_us ? tab->limits.lease_us - counted_us
                                           : 0;
}

/* Converts the times of a record that was read at NOW_US.  */
static void
fold_earlier (const struct duty_table *tab, struct earlier_holders *ear,
              const struct duty_claim *claim, int64_t now_us)
{
  if (claim->earlier)
    {
      /* All holders before the record have lost the duty, so its bound is
         never later than this.  */
      int64_t longest_us = tab->limits.command_us + tab->limits.lease_us;
      *ear = *claim->earlier;
      ear->leases_end_us += missing_lease_us (tab, ear);
      if (ear->leases_end_us > longest_us)
        ear->leases_end_us = longest_us;
      ear->leases_end_us += now_us;
      for (size_t n = 0; n < ear->count; n++)
        ear->rows[n].commands_end_us += now_us;
    }
  else
    {
      /* All holders before the record had lost the duty when it was appended.
         One that has released it sends no more commands, and those before it
         do not matter if it knew all their runs.  */
      bool stopped = claim->released && claim->cleared;
      ear->count = 0;
      ear->leases_end_us = now_us + tab->limits.lease_us
                           + (stopped ? 0 : tab->limits.command_us);
    }
  settle_earlier (tab, ear, now_us);
}

/* Whether the release CLAIM ends the present holding of DTY, which may be
   NULL.  */
static bool
release_applies (const struct duty *dty, const struct duty_claim *claim)
{
  if (claim->released_token > 0)
    return dty && dty->token == claim->released_token;
  return !dty || dty->token == 0
         || duty_held_by (dty, claim->holder, claim->boot);
}

int
duty_fold_claim (struct duty_table *tab, const struct duty_claim *claim,
                 int64_t now_us)
{
  struct duty *dty = find_duty (tab, claim->name);
  if (claim->released && !release_applies (dty, claim))
    return 0;
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
  dty->token = claim->token;
  dty->token_count = claim->token_count;
  dty->boot = claim->boot;
  dty->since_us = now_us;
  name_copy (dty->holder, claim->released ? "" : claim->holder);
  fold_earlier (tab, &dty->earlier, claim, now_us);
  return 0;
}

/* Makes the times in EAR count from NOW_US.  */
static void
make_relative (const struct duty_table *tab, struct earlier_holders *ear,
               int64_t now_us)
{
  settle_earlier (tab, ear, now_us);
  for (size_t n = 0; n < ear->count; n++)
    ear->rows[n].commands_end_us -= now_us;
  ear->leases_end_us
      = ear->leases_end_us > now_us ? ear->leases_end_us - now_us : 0;
  ear->lease_us = tab->limits.lease_us;
}

void
duty_state_earlier (const struct duty_table *tab, const char *name,
                    int64_t now_us, struct earlier_holders *out)
{
  const struct duty *dty = duty_find (tab, name);
  *out = dty ? dty->earlier : (struct earlier_holders){ 0 };
  if (dty && *dty->holder)
    add_earlier (tab, out, dty->holder, dty->boot,
                 now_us + tab->limits.command_us);
  make_relative (tab, out, now_us);
}

void
duty_stop_holding (struct duty_table *tab, const char *name, int64_t now_us,
                   bool no_commands)
{
  struct duty *dty = find_duty (tab, name);
  if (dty && !no_commands)
    note_leases (&dty->earlier, now_us + tab->limits.lease_us);
}

void
duty_state_release (const struct duty_table *tab, const struct duty *dty,
                    int64_t now_us, struct earlier_holders *out)
{
  *out = dty->earlier;
  make_relative (tab, out, now_us);
}

bool
duty_only_last_leases (const struct duty_table *tab,
                       const struct earlier_holders *ear)
{
  return ear->count == 0 && ear->leases_end_us <= tab->limits.lease_us;
}

int64_t
duty_earlier_leases_end_us (const struct duty_table *tab,
                            const struct duty *dty)
{
  int64_t end_us = dty->earlier.leases_end_us;
  for (size_t n = 0; n < dty->earlier.count; n++)
    if (dty->earlier.rows[n].commands_end_us + tab->limits.lease_us > end_us)
      end_us = dty->earlier.rows[n].commands_end_us + tab->limits.lease_us;
  return end_us;
}

uint64_t
duty_boot (const struct duty_table *tab, const char *name, uint64_t boot)
{
  uint64_t highest = 0;
  for (size_t n = 0; n < tab->member_count; n++)
    if (strcmp (tab->members[n].name, name) == 0)
      highest = tab->members[n].boot;
  for (size_t n = 0; n < tab->duty_count; n++)
    if (strcmp (tab->duties[n].holder, name) == 0
        && tab->duties[n].boot > highest)
      highest = tab->duties[n].boot;
  return highest > boot ? highest + 1 : boot;
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

static int64_t
dead_after_us (const struct member *mem)
{
  int64_t by_interval_us
      = mem->interval_us * member_timing_default.dead_after_percent / 100;
  return by_interval_us > member_timing_default.dead_after_us
             ? by_interval_us
             : member_timing_default.dead_after_us;
}

bool
duty_member_alive (const struct member *mem, int64_t now_us, int64_t slack_us)
{
  return !mem->stopping
         && now_us - mem->heard_us < dead_after_us (mem) + slack_us;
}

bool
duty_has_entry_members (const struct duty_table *tab, int64_t now_us,
                        int64_t slack_us)
{
  for (size_t n = 0; n < tab->member_count; n++)
    if (tab->members[n].entry_only
        && duty_member_alive (&tab->members[n], now_us, slack_us))
      return true;
  return false;
}

/* Number of duties that MEM holds since its present start.  */
static size_t
count_duties (const struct duty_table *tab, const struct member *mem)
{
  size_t count = 0;
  for (size_t n = 0; n < tab->duty_count; n++)
    count += duty_held_by (&tab->duties[n], mem->name, mem->boot);
  return count;
}

/* Whether A ranks before B as a candidate for DUTY.  The candidate with the
   most processor time per duty, counting this one, ranks first: the owner of a
   pool needs about 0.3 ms of processor time per task, and a member with little
   processor time cannot keep up when the pool's load peaks.  A hash of duty
   and member decides between equals, so that the duties of a failed member
   spread over several others.  */
static bool
ranks_before (const struct duty_table *tab, const char *duty,
              const struct member *a, const struct member *b)
{
  uint64_t load_a = (count_duties (tab, a) + 1) * (uint64_t)b->cpu_milli;
  uint64_t load_b = (count_duties (tab, b) + 1) * (uint64_t)a->cpu_milli;
  if (load_a != load_b)
    return load_a < load_b;
  XXH64_hash_t seed = XXH64 (duty, strlen (duty), 0);
  XXH64_hash_t hash_a = XXH64 (a->name, strlen (a->name), seed);
  XXH64_hash_t hash_b = XXH64 (b->name, strlen (b->name), seed);
  return hash_a != hash_b ? hash_a < hash_b : strcmp (a->name, b->name) < 0;
}

/* Returns the monotonic time since which the duty has no live holder, or 0
   while it has one.  */
static int64_t
vacant_since (struct duty_table *tab, const struct duty *dty,
              const struct duty_view *view)
{
  if (!dty)
    return view->unclaimed_since_us;
  if (!*dty->holder)
    return dty->since_us;
  const struct member *mem = find_member (tab, dty->holder);
  if (!mem)
    return dty->since_us;
  /* The claim may have been read after the member's first report, as the two
     topics are read separately.  */
  if (mem->boot > dty->boot)
    return mem->boot_read_us > dty->since_us ? mem->boot_read_us
                                             : dty->since_us;
  /* A stopping member holds its duties until it releases them or its reports
     cease.  A holder reports often, whatever its last report says of the next
     one: it may be from before the claim.  */
  int64_t gone_us
      = mem->heard_us + member_timing_default.dead_after_us + view->slack_us;
  if (view->reads_resumed_us > 0
      && gone_us
             < view->reads_resumed_us + member_timing_default.report_grace_us)
    gone_us = view->reads_resumed_us + member_timing_default.report_grace_us;
  return view->reports_read_us < gone_us ? 0 : gone_us;
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
      if (mem != me && !mem->entry_only
          && duty_member_alive (mem, view->reports_read_us, view->slack_us)
          && ranks_before (tab, name, mem, me))
        rank++;
    }
  return view->now_us
         >= since + rank * member_timing_default.candidate_delay_us;
}

static int
compare_times (const void *a, const void *b)
{
  int64_t left = *(const int64_t *)a;
  int64_t right = *(const int64_t *)b;
  return left < right ? -1 : left > right;
}

bool
duty_wall_ahead (const struct duty_table *tab, const char *self,
                 int64_t own_us, int64_t now_us, int64_t *ahead_us)
{
  int64_t all_us[MEMBERS_MAX + 1];
  size_t count = 0;
  all_us[count++] = own_us;
  for (size_t n = 0; n < tab->member_count; n++)
    {
      const struct member *mem = &tab->members[n];
      if (mem->wall_ahead_us != INT64_MIN && duty_member_alive (mem, now_us, 0)
          && strcmp (mem->name, self) != 0)
        all_us[count++] = mem->wall_ahead_us;
    }
  if (count < CLOCKS_MIN)
    return false;
  qsort (all_us, count, sizeof *all_us, compare_times);
  *ahead_us = all_us[(count - 1) / 2];
  return true;
}

size_t
duty_count_live_members (const struct duty_table *tab, int64_t now_us)
{
  size_t count = 0;
  for (size_t n = 0; n < tab->member_count; n++)
    count += duty_member_alive (&tab->members[n], now_us, 0);
  return count;
}
