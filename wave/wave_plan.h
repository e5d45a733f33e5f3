#pragma once

#include "store/host_store.h"
#include "wave/wave_fleet.h"
#include "wave/wave_fold.h"

/* Decisions of a data centre's planner, without I/O: which hosts are taken out
   of service next, what is done next for a host under way, and when a wave
   halts.  docs/design/waves.md weighs the rules.  */

struct wave_plan_settings
{
  int64_t drain_limit_ms;  /* from the drain; no request lives longer, and a
                              host that is still busy then is rebooted */
  int64_t reboot_limit_ms; /* from the record of the reboot to an answer */
  int64_t check_limit_ms;  /* from the record of the check to health */
  int64_t late_ms;         /* in one step: a late host; see late_hosts */
  int64_t down_limit_ms;   /* wave without progress; hosts that wait and are
                              out of service are then given up */
  int64_t list_lag_ms;     /* for so long a failure is newer than the list */
  int64_t patience_ms;     /* a share that its data centre leaves unused goes
                              to others after this */
  uint32_t late_hosts;   /* late at a time: the wave starts no further host */
  uint32_t lost_hosts;   /* failed: the wave halts */
  uint32_t lost_in_rack; /* failed in one rack: the wave halts */
};

extern const struct wave_plan_settings wave_plan_settings_default;

struct wave_plan_input
{
  const struct wave_plan_settings *set;
  const struct wave_fold *fold;
  const struct wave_fleet *fleet;
  const char *data_centre; /* of this planner */
  int64_t now_ms;          /* log time, as far as known */
};

/* Why a wave does not go on at the moment, for show and logs.  */
enum wave_wait
{
  WAVE_WAIT_NONE,
  WAVE_WAIT_BUDGET, /* a pool's budget allows no further host */
  WAVE_WAIT_LATE,   /* hosts are late to return */
  WAVE_WAIT_RACK,   /* a rack has hosts out of service */
  WAVE_WAIT_SHARE,  /* the allowance is another data centre's */
  WAVE_WAIT_DOWN,   /* the hosts that wait are out of service */
};

const char *wave_wait_name (enum wave_wait wait);

struct wave_plan
{
  /* Steps to record: hosts to drain, and hosts given up.  */
  struct wave_step_item *steps;
  size_t step_count;
  struct wave_halt_item *halts;
  size_t halt_count;
  enum wave_wait wait; /* of the last wave that starts nothing */

  /* Counts that the decision rests on.  */
  uint8_t *use;    /* enum fleet_use of each host of the fleet */
  uint32_t *out;   /* hosts of each pool out of service */
  uint32_t *cells; /* the same for each pool and data centre, as in fleet */
};

enum fleet_use
{
  FLEET_IN_SERVICE,
  FLEET_PLANNED,   /* out of service by a wave */
  FLEET_UNPLANNED, /* out of service otherwise */
  FLEET_STARTED,   /* to be started by this plan */
};

/* Makes the plan, a talloc child of PARENT, with at most MAX_STEPS steps.
   Returns 0 or ERR_NOMEM.  */
int wave_plan_make (void *parent, const struct wave_plan_input *in,
                    size_t max_steps, struct wave_plan **out);

/* Whether a host whose draining is recorded may still be drained now: hosts
   may have failed since.  DRAINED tells of a host under way whether its drain
   is known to have been done.  */
typedef bool wave_drained_fn (void *arg, const char *wave, const char *host);
bool wave_plan_may_drain (const struct wave_plan_input *in,
                          const struct wave_plan *plan, const char *host,
                          wave_drained_fn *drained, void *arg);

/* What a planner has seen of a host under way, in its present step.  */
struct wave_seen
{
  bool done;    /* the step's operation is acknowledged by the platform */
  bool refused; /* the platform refuses it */
  uint32_t late_tries;    /* answers, of any kind, after the step's limit */
  bool unresolved;        /* it was sent and may yet take effect */
  enum host_actual state; /* by HOST_OP_GET */
  bool has_health;
  bool healthy;
  int32_t slots_in_use; /* -1: not told */
};

enum wave_next
{
  WAVE_NEXT_WAIT,
  WAVE_NEXT_OPERATE, /* the step's operation */
  WAVE_NEXT_GET,
  WAVE_NEXT_HEALTH,
  WAVE_NEXT_RECORD, /* step and reason below */
};

struct wave_move
{
  enum wave_next next;
  enum wave_step step;
  enum wave_reason reason;
};

/* ELAPSED_MS: since the step was recorded; of a host that drains, since the
   drain was acknowledged.  */
struct wave_move wave_step_next (const struct wave_plan_settings *set,
                                 const struct wave *wv,
                                 const struct wave_host *wh,
                                 const struct wave_seen *seen,
                                 int64_t elapsed_ms, bool may_drain);

enum host_op wave_step_op (enum wave_step step);

/* After which a host in STEP is given up or, when it drains, rebooted.  */
int64_t wave_step_limit_ms (const struct wave_plan_settings *set,
                            enum wave_step step);
