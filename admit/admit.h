#pragma once

#include <stddef.h>
#include <stdint.h>

/* Admission control of one traffic thread: per-kind limits, bounded queues
   with deadlines and weighted max-min fair sharing of each pool's slots.
   Pure decisions: the time comes as an argument, nothing here does I/O.
   Kinds and pools are handles that the owner numbers densely from 0.  */

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
  ADMIT_REASON_QUEUE_DEADLINE, /* waited, or would wait, too long */
  ADMIT_REASON_DEADLINE,       /* the caller's own deadline */
  ADMIT_REASON_NO_CAPACITY,    /* the pool has no slots at all */
  ADMIT_REASON_UNKNOWN_KIND,
};

/* Handles and limits above these are refused with ERR_INVALID.  */
#define ADMIT_KINDS_MAX 4096
#define ADMIT_POOLS_MAX 4096
#define ADMIT_WEIGHT_MAX 10000
#define ADMIT_SLOTS_MAX 1000000
#define ADMIT_QUEUE_MAX 100000
#define ADMIT_QUEUE_DEADLINE_MAX_US (24LL * 3600 * 1000000)

struct admit_kind_limits
{
  uint32_t pool;
  uint32_t weight;            /* 1 to 10000 */
  uint32_t concurrency_limit; /* started requests; 0: none */
  uint32_t queue_limit;       /* waiting requests */
  int64_t queue_deadline_us;  /* longest wait */
  enum admit_class cls;
};

/* Embedded in the owner's request.  The owner sets the first group before
   admit_offer and keeps the item in place until admit gives it back.  */
struct admit_item
{
  uint32_t kind;
  int64_t deadline_us; /* monotonic, of the caller */

  /* Private to admit.  */
  struct admit_item *prev;
  struct admit_item *next;
  int64_t arrival_us;
  int state;
  uint32_t pool;  /* where it was started */
  uint32_t epoch; /* of its kind when it was started */
  uint32_t heap_index;
  int64_t start_us;
  int64_t expiry_us; /* latest start */
};

/* retry_after_us: how long the caller should wait before a new attempt, from
   the expected wait, or the queue deadline where that is not known; 0: no
   hint.  */
struct admit_refusal
{
  enum admit_reason reason;
  int64_t retry_after_us;
};

struct admit_kind_stats
{
  uint32_t running;
  uint32_t queued; /* with those that wait for admit_expire */
  uint64_t started;
  uint64_t refused;
};

struct admit;

/* Drivers: fair is the product's; the others are baselines that bench and
   tests compare it with.  */
struct admit_driver
{
  const char *name;
  enum admit_result (*offer) (struct admit *adm, struct admit_item *item,
                              int64_t now_us, struct admit_refusal *ref);
  struct admit_item *(*next) (struct admit *adm, uint32_t pool,
                              int64_t now_us);
  /* Optional: accounts for the time until now, before what runs in POOL
     changes.  */
  void (*advance) (struct admit *adm, uint32_t pool, int64_t now_us);
};

extern const struct admit_driver admit_fair;
extern const struct admit_driver admit_no_limits;    /* starts everything */
extern const struct admit_driver admit_static_split; /* fixed share a kind */

struct admit
{
  const struct admit_driver *drv;
  struct priv *priv;
};

/* Returns 0 or ERR_NOMEM.  Memory hangs on the talloc context PARENT until
   admit_fini.  */
int admit_init (struct admit *adm, void *parent,
                const struct admit_driver *drv);
void admit_fini (struct admit *adm);

/* Returns 0, ERR_INVALID for a limit out of range, or ERR_NOMEM.  May be
   called again at any time; running and queued items stay.  */
int admit_set_kind (struct admit *adm, uint32_t kind,
                    const struct admit_kind_limits *lim);

/* SLOTS: how many requests this process may have running in the pool now.
   Lowering it below what runs starts nothing new until enough ended.  */
int admit_set_pool (struct admit *adm, uint32_t pool, uint32_t slots);

/* Decides about a new request.  REF is set when the result is refused.  */
enum admit_result admit_offer (struct admit *adm, struct admit_item *item,
                               int64_t now_us, struct admit_refusal *ref);

/* The next waiting item of POOL that may start now, counted as running, or
   NULL.  Call after admit_end, admit_set_pool and admit_set_kind until it
   gives NULL; after admit_end for the pool of the kind too, when the kind has
   moved since the item started.  It never gives an item past its deadline.  */
struct admit_item *admit_next (struct admit *adm, uint32_t pool,
                               int64_t now_us);

/* A running item ended after SERVICE_US of service.  The slot is counted as
   held from the start until NOW_US.  */
void admit_end (struct admit *adm, struct admit_item *item, int64_t now_us,
                int64_t service_us);

/* Takes a waiting item out, because its caller is gone.  */
void admit_cancel (struct admit *adm, struct admit_item *item);

/* The next waiting item whose queue deadline or own deadline has passed or
   cannot be met any more; it is taken out and REF set.  NULL: none.  */
struct admit_item *admit_expire (struct admit *adm, int64_t now_us,
                                 struct admit_refusal *ref);

/* When admit_expire has to be called next; INT64_MAX: nothing waits.  */
int64_t admit_next_expiry_us (const struct admit *adm);

void admit_kind_stats (const struct admit *adm, uint32_t kind,
                       struct admit_kind_stats *out);

/* Stable name of REASON for replies and logs, such as "queue_full".  */
const char *admit_reason_name (enum admit_reason reason);
