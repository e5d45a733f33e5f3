#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet/catalog.h"

/* Which process holds which duty: the placing of one pool's tasks, or the
   hosts' upkeep and moves.  Members report in a topic of the store; a duty is
   claimed there by an append on condition that nothing was appended since, so
   that each claim has one winner, and the claim's offset is its token.

   Load pattern: processes are killed, paused or cut off, several at once, at
   any moment; a duty then has to pass on before the leases of its tasks run
   out at the workers.  */

#define DUTIES_MAX 64
#define MEMBERS_MAX 1024

struct member_timing
{
  int64_t dead_us;      /* without a report for so long, a member is gone */
  int64_t candidate_us; /* the next candidate claims so much later */
  int64_t return_us;    /* time for the others' reports after the store was
                           away for this process */
};

extern const struct member_timing member_timing_default;

struct member
{
  char name[NAME_BYTES];
  uint64_t boot;
  bool stopping;
  uint32_t cpu_milli; /* processor time that it may use */
  int64_t heard_us;   /* monotonic time of its last report */
};

struct duty
{
  char name[NAME_BYTES];
  char holder[NAME_BYTES]; /* empty: released or never claimed */
  uint64_t boot;
  uint64_t token;
  int64_t since_us;
  bool cleared; /* a released duty's holder knew all that ran */
  /* Of the claim before.  */
  char earlier_holder[NAME_BYTES];
  uint64_t earlier_boot;
  bool earlier_released;
};

struct duty_table
{
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
  uint32_t cpu_milli; /* 0: not told */
};

/* Folds a member's report.  Returns 0 or ERR_FULL.  */
int duty_fold_member (struct duty_table *tab, const struct member_report *rep,
                      int64_t now_us);

/* Folds a claim; one with a token below the known one is void.  */
struct duty_claim
{
  const char *name;
  const char *holder;
  uint64_t boot;
  bool released; /* the holder gives the duty up and orders nothing more */
  bool cleared;  /* it knew all that ran */
  uint64_t token;
};
int duty_fold_claim (struct duty_table *tab, const struct duty_claim *claim,
                     int64_t now_us);

/* Whether the holder before the present one certainly gives no more orders: it
   released the duty knowing all that ran, or its process has ended.  */
bool duty_earlier_over (const struct duty_table *tab, const struct duty *dty);

const struct duty *duty_find (const struct duty_table *tab, const char *name);

/* Whether the process NAME in its present BOOT holds DUTY.  */
bool duty_held_by (const struct duty *dty, const char *name, uint64_t boot);

struct duty_view
{
  const char *self;
  int64_t now_us;
  int64_t known_us;   /* reports that were sent before are known */
  int64_t back_us;    /* when the reports were read again after a pause; 0: no
                         pause */
  int64_t settled_us; /* since when a duty that nobody has claimed is free */
  int64_t slack_us;   /* added to the time after which a silent member is gone:
                         reports are late when the store is slow */
};

/* Whether this process is to claim the duty NAME now.  */
bool duty_should_claim (const struct duty_table *tab, const char *name,
                        const struct duty_view *view);

/* Members that report and do not stop.  */
size_t duty_live_members (const struct duty_table *tab, int64_t now_us);
