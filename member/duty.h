#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet/catalog.h"

/* Election of the process that holds each duty.  A duty is work that exactly
   one process may do at a time: placing the tasks of one pool, or the
   maintenance and moves of hosts.

   The members are the processes that take part.  Each of them appends reports
   to a topic of the store.  A duty is claimed by an append to a second topic
   that succeeds only if nothing was appended there since the claimant last
   read it, so that concurrent claims have one winner.  The claim's token,
   which fences off earlier holders, is derived from its offset and therefore
   grows with each claim.

   The table holds the state that results from folding these records.  It does
   no I/O, and all calls on it belong to one thread.

   Load pattern: processes are killed, paused or partitioned at any time,
   several at once.  Their duties must then move to other members before the
   leases of the running tasks expire at the workers.  */

#define DUTIES_MAX 64
#define MEMBERS_MAX 1024
/* Most earlier holders of a duty that are kept apart.  Five holders within the
   few seconds for which one may still send commands are rare.  */
#define EARLIER_HOLDERS_MAX 4

struct member_timing
{
  /* A member without a report for this long is considered dead.  */
  int64_t dead_after_us;
  /* The same for a member that reports seldom, in percent of the time between
     its reports.  */
  int64_t dead_after_percent;
  /* A member without a report for this long gives its place in a full table to
     a new one.  */
  int64_t forget_after_us;
  /* Time that a candidate for a duty waits for each candidate that ranks
     before it.  */
  int64_t candidate_delay_us;
  /* Time in which no member is considered dead after this process could not
     read the store: the members may have been unable to report.  */
  int64_t report_grace_us;
};

extern const struct member_timing member_timing_default;

struct member
{
  char name[NAME_BYTES];
  uint64_t boot; /* identifies the process's present start; a later start has a
                    higher value, see duty_boot */
  bool stopping; /* shutting down: claims no duties */
  bool entry_only;      /* claims no duties, see member/roster.h */
  uint32_t cpu_milli;   /* processor time that the process may use, in
                           thousandths of a core */
  int64_t interval_us;  /* time between its reports; 0: not known */
  int64_t heard_us;     /* monotonic time of its last report or claim */
  int64_t boot_read_us; /* when BOOT was first read; earlier starts of the
                           process had ended by then */
  /* By how much its wall clock in the last report is ahead of this process's
     monotonic clock at the time of reading; INT64_MIN: not known.  */
  int64_t wall_ahead_us;
};

/* A holder that lost its duty to a claim and may not have noticed it yet.  */
struct earlier_holder
{
  char name[NAME_BYTES];
  uint64_t boot;
  int64_t commands_end_us; /* it sends no commands after this time */
};

/* What the earlier holders of a duty may still do.  Times are monotonic times
   of the reading process in the table, and counted from the append in a
   record.  A record that is read late gives later times, never earlier
   ones.  */
struct earlier_holders
{
  struct earlier_holder rows[EARLIER_HOLDERS_MAX];
  size_t count;
  /* The leases given by the holders without a row, which send no more
     commands, have expired by then.  */
  int64_t leases_end_us;
  /* In a record: the time for which LEASES_END_US counts a lease; 0: not
     stated, as in records of earlier versions.  */
  int64_t lease_us;
};

struct duty
{
  char name[NAME_BYTES];
  char holder[NAME_BYTES]; /* empty: released or never claimed */
  uint64_t boot;           /* of the holder when it claimed or released */
  uint64_t token;          /* of the last claim or release */
  uint32_t token_count;    /* tokens from TOKEN on that belong to the claim; 0:
                              not stated, only TOKEN */
  int64_t since_us;        /* monotonic time at which that was read */
  struct earlier_holders earlier; /* of those before the holder, and of this
                                     process once it has stopped holding it */
};

/* What a holder does after another process has claimed its duty.  */
struct holder_limits
{
  int64_t command_us; /* it sends commands for at most this time */
  int64_t lease_us;   /* a command's lease has expired after this time */
  /* The time for which a record that does not state it counts a lease.  */
  int64_t unstated_lease_us;
};

struct duty_table
{
  struct holder_limits limits;
  struct member members[MEMBERS_MAX];
  size_t member_count;
  struct duty duties[DUTIES_MAX];
  size_t duty_count;
};

struct member_report
{
  const char *name;
  uint64_t boot;
  bool stopping;
  bool entry_only;
  uint32_t cpu_milli;  /* in thousandths of a core; 0: unknown */
  int64_t wall_ms;     /* its wall clock; 0: unknown */
  int64_t interval_ms; /* time until its next report; 0: unknown */
};

/* Sets LIMITS, which are the same in all processes.  Call it before records
   are folded.  */
void duty_set_limits (struct duty_table *tab,
                      const struct holder_limits *limits);

/* Folds a member's report.  One of an earlier start of the member is ignored.
   Returns 0, or ERR_FULL when a new member would exceed MEMBERS_MAX and none
   of the others has been silent for a long time.  */
int duty_fold_member (struct duty_table *tab, const struct member_report *rep,
                      int64_t now_us);

struct duty_claim
{
  const char *name;
  const char *holder;
  uint64_t boot;
  bool released; /* a release: the holder sends no more commands or orders */
  /* Of a release: no holder sends commands, and all leases that matter have
     expired limits.lease_us after the append.  Used if EARLIER is NULL.  */
  bool cleared;
  uint64_t token;
  uint32_t token_count; /* of a claim, see struct duty */
  /* Of a release: token of the claim that it ends; 0: not stated, as in
     records of earlier versions.  */
  uint64_t released_token;
  /* What the holders before the claim, or those up to the release, may still
     do.  NULL: not stated, as in records of earlier versions.  */
  const struct earlier_holders *earlier;
};
/* Folds a claim or release.  Ignored are one whose token is not above the
   known token, and the release of another claim than the present one: an
   append without an answer may be carried out seconds later.  Returns 0, or
   ERR_FULL when a new duty would exceed DUTIES_MAX.  */
int duty_fold_claim (struct duty_table *tab, const struct duty_claim *claim,
                     int64_t now_us);

/* Computes what a claim of the duty NAME that is appended now has to state
   about earlier holders, with times from NOW_US on.  */
void duty_state_earlier (const struct duty_table *tab, const char *name,
                         int64_t now_us, struct earlier_holders *out);

/* Notes that this process, the holder of the duty NAME, sends no commands from
   NOW_US on.  NO_COMMANDS: it has sent none at all.  */
void duty_stop_holding (struct duty_table *tab, const char *name,
                        int64_t now_us, bool no_commands);

/* The same as duty_state_earlier for a release by the holder, after
   duty_stop_holding.  */
void duty_state_release (const struct duty_table *tab, const struct duty *dty,
                         int64_t now_us, struct earlier_holders *out);

/* Whether no holder in EAR, with times from the append on, may send commands
   and the leases last no longer than those given just before.  */
bool duty_only_last_leases (const struct duty_table *tab,
                            const struct earlier_holders *ear);

/* Monotonic time by which all leases given by holders before the present one
   have expired.  It can become earlier when members report.  */
int64_t duty_earlier_leases_end_us (const struct duty_table *tab,
                                    const struct duty *dty);

/* Returns the value that identifies the present start of the process NAME,
   which uses BOOT so far: BOOT, or a higher one if an earlier start has used a
   value above it.  A start takes the time of day, which may have gone back
   since the start before it.  */
uint64_t duty_boot (const struct duty_table *tab, const char *name,
                    uint64_t boot);

/* Returns NULL when nobody has claimed the duty yet.  */
const struct duty *duty_find (const struct duty_table *tab, const char *name);

/* Whether the process NAME, in its start BOOT, holds DTY.  DTY may be NULL. */
bool duty_held_by (const struct duty *dty, const char *name, uint64_t boot);

/* What the calling process knows about time and its own reads.  All times are
   monotonic.  */
struct duty_view
{
  const char *self; /* name of this process */
  int64_t now_us;
  int64_t reports_read_us;  /* all reports appended before this time have been
                               read */
  int64_t reads_resumed_us; /* when reads of the reports succeeded again after
                               an interruption; 0: there was none */
  int64_t unclaimed_since_us; /* a duty that was never claimed is vacant from
                                 then */
  int64_t slack_us; /* added to the time-out for a member without reports,
                       because reports are late when the store is slow */
};

/* Whether this process should claim the duty NAME now: the duty is vacant, and
   the candidates that rank before this process had time to claim it.  */
bool duty_should_claim (const struct duty_table *tab, const char *name,
                        const struct duty_view *view);

/* Gives in *AHEAD_US by how much the time of day is ahead of this process's
   monotonic clock, as most live members have it; OWN_US is what this process
   has.  Reports of others take some time, so theirs is a little too low.  With
   an even number of clocks of which half are ahead of the others, the others
   count: work that is due at a time of day must not begin early.  Returns
   false if fewer than three clocks are known.  */
bool duty_wall_ahead (const struct duty_table *tab, const char *self,
                      int64_t own_us, int64_t now_us, int64_t *ahead_us);

/* Whether MEM has reported recently and is not stopping.  */
bool duty_member_alive (const struct member *mem, int64_t now_us,
                        int64_t slack_us);

/* Whether a live member only takes requests.  */
bool duty_has_entry_members (const struct duty_table *tab, int64_t now_us,
                             int64_t slack_us);

/* Number of members that report and are not stopping.  */
size_t duty_count_live_members (const struct duty_table *tab, int64_t now_us);
