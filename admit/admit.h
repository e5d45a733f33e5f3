#pragma once

#include <stddef.h>
#include <stdint.h>

/* Admission control of one traffic thread: per-kind limits, bounded queues
   with deadlines and weighted max-min fair sharing of each pool's slots.
   An instance belongs to one thread.  It does no I/O and reads no clock: the
   caller passes the time, in us of one monotonic clock.  Kinds and pools are
   handles that the owner numbers densely from 0.  */

enum admit_class
{
  ADMIT_URGENT,
  ADMIT_NORMAL,
  ADMIT_BACKGROUND,
};

enum admit_result
{
  ADMIT_START,
  ADMIT_QUEUED,
  ADMIT_REFUSED,
};

enum admit_reason
{
  ADMIT_REASON_NONE,
  ADMIT_REASON_QUEUE_FULL,
  ADMIT_REASON_QUEUE_DEADLINE, /* longest wait exceeded, or would be */
  ADMIT_REASON_DEADLINE,       /* caller's deadline cannot be met */
  ADMIT_REASON_NO_CAPACITY,    /* the pool has no slots */
  ADMIT_REASON_UNKNOWN_KIND,
};

/* Kind and pool handles must be below the first two; the other bounds are
   inclusive.  Values out of range give ERR_INVALID.  */
#define ADMIT_KINDS_MAX 4096
#define ADMIT_POOLS_MAX 4096
#define ADMIT_WEIGHT_MAX 10000
#define ADMIT_SLOTS_MAX 1000000
#define ADMIT_QUEUE_MAX 100000
#define ADMIT_QUEUE_DEADLINE_MAX_US (24LL * 3600 * 1000000)

struct admit_kind_limits
{
  uint32_t pool;
  uint32_t weight;            /* 1 to ADMIT_WEIGHT_MAX */
  uint32_t concurrency_limit; /* running requests; 0: unlimited */
  uint32_t queue_limit;       /* waiting requests */
  int64_t queue_deadline_us;  /* longest wait in the queue */
  enum admit_class cls;
};

/* Admission state of one request, embedded in the owner's request.  The owner
   sets the first group of fields before admit_offer.  It must not move or free
   the item while the item waits or runs, that is, until admit_offer refuses it
   or admit_end, admit_cancel or admit_expire removes it.  */
struct admit_item
{
  uint32_t kind;
  int64_t deadline_us; /* caller's deadline, monotonic */

  /* Private to admit.  */
  struct admit_item *prev;
  struct admit_item *next;
  int64_t arrival_us;
  int state;           /* enum item_state */
  uint32_t pool;       /* pool whose slot it holds */
  uint32_t pool_epoch; /* pool epoch of its kind at the start */
  uint32_t heap_index; /* position in the expiry heap */
  int64_t start_us;
  int64_t expiry_us; /* latest time at which it may start */
};

/* retry_after_us: how long the caller should wait before it tries again,
   derived from the expected wait, or the queue deadline where there is no
   estimate; 0: no hint.  */
struct admit_refusal
{
  enum admit_reason reason;
  int64_t retry_after_us;
};

struct admit_kind_stats
{
  uint32_t running;
  uint32_t queued; /* includes expired ones, until admit_expire */
  uint64_t started;
  uint64_t refused;
};

struct admit;

/* Admission policy.  Production uses admit_fair; the others are baselines for
   benchmarks and tests.  */
struct admit_policy
{
  const char *name;
  enum admit_result (*offer) (struct admit *adm, struct admit_item *item,
                              int64_t now_us, struct admit_refusal *ref);
  struct admit_item *(*next) (struct admit *adm, uint32_t pool,
                              int64_t now_us);
  /* Optional: updates the time-dependent accounting of POOL up to NOW_US.
     Called before an item of the pool ends.  */
  void (*advance) (struct admit *adm, uint32_t pool, int64_t now_us);
};

extern const struct admit_policy admit_fair;
extern const struct admit_policy admit_no_limits;    /* starts every request */
extern const struct admit_policy admit_static_split; /* fixed share per kind */

struct admit
{
  const struct admit_policy *policy;
  struct priv *priv;
};

/* Returns 0 or ERR_NOMEM.  The state is allocated under the talloc context
   PARENT and freed by admit_fini.  */
int admit_init (struct admit *adm, void *parent,
                const struct admit_policy *policy);
void admit_fini (struct admit *adm);

/* Adds a kind or changes its limits.  Returns 0, ERR_INVALID for a value out
   of range, or ERR_NOMEM.  May be called at any time; running and queued items
   are kept.  */
int admit_set_kind (struct admit *adm, uint32_t kind,
                    const struct admit_kind_limits *lim);

/* Sets how many requests this thread may run in the pool at a time.  When more
   than SLOTS are running, nothing starts until enough of them have ended.
   Returns 0, ERR_INVALID or ERR_NOMEM.  */
int admit_set_pool (struct admit *adm, uint32_t pool, uint32_t slots);

/* Decides whether a new request starts, waits or is refused.  REF holds the
   reason and the retry hint when the result is ADMIT_REFUSED.  */
enum admit_result admit_offer (struct admit *adm, struct admit_item *item,
                               int64_t now_us, struct admit_refusal *ref);

/* Returns the next waiting item of POOL that may start now and counts it as
   running, or returns NULL.  Call it after admit_end, admit_set_pool and
   admit_set_kind until it returns NULL.  When the kind has moved to another
   pool since the item started, call it after admit_end for both pools.  It
   never returns an item past its deadline.  */
struct admit_item *admit_next (struct admit *adm, uint32_t pool,
                               int64_t now_us);

/* Reports the end of a running item and releases its slot.  SERVICE_US is the
   service time; the slot counts as held from the start until NOW_US.  */
void admit_end (struct admit *adm, struct admit_item *item, int64_t now_us,
                int64_t service_us);

/* Removes a waiting item whose caller has disconnected.  */
void admit_cancel (struct admit *adm, struct admit_item *item);

/* Removes and returns the next waiting item whose queue deadline or caller's
   deadline has passed or can no longer be met, and sets REF.  Returns NULL
   when there is none.  */
struct admit_item *admit_expire (struct admit *adm, int64_t now_us,
                                 struct admit_refusal *ref);

/* Time at which admit_expire has to be called next; INT64_MAX when no item
   waits.  */
int64_t admit_next_expiry_us (const struct admit *adm);

/* All zero for an unknown kind.  */
void admit_kind_stats (const struct admit *adm, uint32_t kind,
                       struct admit_kind_stats *out);

/* Name of REASON in replies and logs, such as "queue_full".  These names must
   not change.  */
const char *admit_reason_name (enum admit_reason reason);
