#pragma once

#include "store/host_api.h"
#include "wave/wave_fleet.h"
#include "wave/wave_fold.h"

/* Decisions of a data centre's planner, without I/O: which hosts are taken out
   of service next, what is done next for a host in maintenance, and when a
   wave halts. docs/design/waves.md explains the rules.  */

struct wave_plan_settings
{
  /* Maximum time from the drain to the reboot.  No request lasts longer, so a
     host that is still busy then is rebooted nevertheless.  */
  int64_t drain_limit_ms;
  /* Maximum time from the record of the reboot until the host is up.  */
  int64_t reboot_limit_ms;
  /* Maximum time from the record of the check until the host is healthy.  */
  int64_t check_limit_ms;
  /* Time in one step after which a host is late; see late_hosts_limit.  */
  int64_t late_after_ms;
  /* Time without progress of a wave after which its waiting hosts that are out
     of service are recorded as failed.  */
  int64_t down_limit_ms;
  /* Maximum lag of the host list: a host that failed in a wave counts as out
     of service for this long, even if the list still shows it in service.  */
  int64_t list_lag_max_ms;
  /* Time without a step in a pool after which a data centre may also use the
     part of the budget for which other data centres have precedence.  */
  int64_t quota_timeout_ms;
  /* Number of late hosts at which the wave starts no further host.  */
  uint32_t late_hosts_limit;
  /* Number of failed hosts at which the wave halts.  */
  uint32_t lost_hosts_limit;
  /* Number of failed hosts in one rack at which the wave halts, and of
     unplanned failures in a rack at which no further host of it is started. */
  uint32_t lost_in_rack_limit;
};

extern const struct wave_plan_settings wave_plan_settings_default;

struct wave_plan_input
{
  const struct wave_plan_settings *set;
  const struct wave_fold *fold;
  const struct wave_fleet *fleet;
  const char *data_centre; /* data centre of this planner */
  int64_t now_ms;          /* current log time, estimated */
};

/* Why a wave starts no host at present, for the show command and logs.  */
enum wave_wait
{
  WAVE_WAIT_NONE,
  WAVE_WAIT_BUDGET, /* the pool's budget allows no further host */
  WAVE_WAIT_LATE,   /* too many hosts are late to return */
  WAVE_WAIT_RACK,   /* too many hosts of the rack are out of service */
  WAVE_WAIT_SHARE,  /* other data centres have precedence */
  WAVE_WAIT_DOWN,   /* the waiting hosts are out of service */
};

const char *wave_wait_name (enum wave_wait wait);

struct wave_plan
{
  /* Steps to record: drains of hosts, and failures of waiting hosts.  */
  struct wave_step_item *steps;
  size_t step_count;
  struct wave_halt_item *halts;
  size_t halt_count;
  enum wave_wait wait; /* of the last wave that starts no host */

  /* Counts on which the decision is based.  */
  uint8_t *availability; /* enum fleet_availability of each host */
  uint32_t *pool_out;    /* hosts of each pool out of service */
  /* The same for each pool and data centre, indexed as pool_centre_hosts of
     the fleet.  */
  uint32_t *pool_centre_out;
};

enum fleet_availability
{
  FLEET_IN_SERVICE,
  FLEET_OUT_PLANNED,   /* out of service because of a wave */
  FLEET_OUT_UNPLANNED, /* out of service for any other reason */
  FLEET_TO_DRAIN,      /* this plan takes it out of service */
};

/* Makes the plan, a talloc child of PARENT, with at most MAX_STEPS steps.
   Returns 0 or ERR_NOMEM.  */
int wave_plan_make (void *parent, const struct wave_plan_input *in,
                    size_t max_steps, struct wave_plan **out);

/* Whether a host whose draining has been recorded may be drained now; the
   budget may no longer allow it if other hosts have failed since.  DRAINED
   tells whether the drain of a host in maintenance has been done or may have
   been.  */
typedef bool wave_drained_fn (void *arg, const char *wave, const char *host);
bool wave_plan_may_drain (const struct wave_plan_input *in,
                          const struct wave_plan *plan, const char *host,
                          wave_drained_fn *drained, void *arg);

/* What a planner knows of a host in maintenance from the results of its calls
   in the current step.  */
struct wave_observation
{
  bool done;             /* the platform acknowledged the step's operation */
  bool refused;          /* the platform refused it */
  uint32_t late_results; /* results of any kind after the step's time limit */
  bool unresolved;       /* it was sent and may still take effect */
  enum host_actual_state state; /* from HOST_OP_GET */
  bool has_health;
  bool healthy;
  int32_t slots_in_use; /* -1: unknown */
};

enum wave_action
{
  WAVE_ACTION_WAIT,
  WAVE_ACTION_OPERATE, /* call the step's operation */
  WAVE_ACTION_GET,
  WAVE_ACTION_HEALTH,
  WAVE_ACTION_RECORD, /* record the step and reason of the decision */
};

struct wave_decision
{
  enum wave_action action;
  enum wave_step step;
  enum wave_reason reason;
};

/* Decides what is done next for host WH of wave WV.  ELAPSED_MS is the time
   since the step was recorded or, for a draining host, since the drain was
   acknowledged.  */
struct wave_decision wave_step_next (const struct wave_plan_settings *set,
                                     const struct wave *wv,
                                     const struct wave_host *wh,
                                     const struct wave_observation *obs,
                                     int64_t elapsed_ms, bool may_drain);

enum host_op wave_step_op (enum wave_step step);

/* Time limit of STEP.  After it the host is recorded as failed or, if it is
   draining, rebooted.  */
int64_t wave_step_limit_ms (const struct wave_plan_settings *set,
                            enum wave_step step);
