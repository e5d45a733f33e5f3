#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* State of the maintenance waves: the result of applying ("folding") the
   records of the waves stream in offset order.  No I/O and no clock: time is
   the append time in the log, so that every process that folds the same
   records has the same state.

   - A lease of a data centre is granted only if none is valid by the log's
     append times.  Its fence is the offset of the record that granted it, and
     a planner's record takes effect only with the fence of the last lease
     granted.
   - A step takes effect only if it names the host's current generation, and
     each step increments that.  A duplicate record therefore has no effect,
     and only one of two racing planners succeeds.
   - A host is taken out of service only if the record names the current
     generation of its pool, and each such record changes that.  A planner that
     has not seen hosts taken out of service by another data centre's planner
     therefore cannot take out any itself.
   - A host is in at most one open wave at a time.  */

#define WAVE_NAME_SIZE 64      /* bytes, with the terminating NUL */
#define WAVE_WAVES_MAX 64      /* kept, open and ended ones */
#define WAVE_HOSTS_MAX 8192    /* in one wave; see LOG_RECORD_MAX_BYTES */
#define WAVE_HOSTS_TOTAL 65536 /* in all waves kept */
#define WAVE_CENTRES_MAX 64    /* data centres with a lease or a host */
#define WAVE_POOLS_MAX 1024    /* pools whose generation is kept */
#define WAVE_LEASE_MIN_MS 1000
#define WAVE_LEASE_MAX_MS 600000
/* A creation is void if its offset is more than this many records past its
   base offset, up to which its writer had folded the stream.  An ended wave is
   kept within this window, so that a duplicate of its creation is
   recognised.  */
#define WAVE_CREATE_WINDOW 4096

enum wave_state
{
  WAVE_RUNNING,
  WAVE_PAUSED,
  WAVE_HALTED, /* by a planner; an operator has to resume it */
  WAVE_CANCELLED,
};

enum wave_step
{
  WAVE_WAITING,
  WAVE_DRAINING,
  WAVE_REBOOTING,
  WAVE_CHECKING,
  WAVE_BACK,
  WAVE_FAILED,
  WAVE_STEP_COUNT,
};

enum wave_reason
{
  WAVE_REASON_NONE,
  WAVE_REASON_NO_RETURN,   /* not up within the time limit after its reboot */
  WAVE_REASON_NOT_HEALTHY, /* up, but not healthy within the time limit */
  WAVE_REASON_REFUSED,     /* the platform refused the operation */
  /* Out of service for too long while waiting for its maintenance.  */
  WAVE_REASON_HOST_DOWN,
  WAVE_REASON_HOST_UNKNOWN, /* not in the host list */
  WAVE_REASON_SEVERAL_LOST, /* halt: several hosts of the wave failed */
  WAVE_REASON_RACK_LOST,    /* halt: several hosts of one rack failed */
  WAVE_REASON_CANCELLED,    /* returned to service without a reboot */
  WAVE_REASON_COUNT,
};

struct wave_host
{
  char name[WAVE_NAME_SIZE];
  uint8_t centre;    /* index into leases of the fold */
  uint8_t step;      /* enum wave_step */
  uint8_t reason;    /* enum wave_reason */
  bool rebooted;     /* reached WAVE_REBOOTING in this wave */
  bool acknowledged; /* failed before an operator resumed the wave */
  uint32_t generation;
  uint32_t attempt; /* generation at which WAVE_DRAINING began */
  int64_t since_ms; /* log time at which the step began */
};

struct wave
{
  char id[WAVE_NAME_SIZE];
  char editor[WAVE_NAME_SIZE]; /* author of the last change */
  uint64_t offset;             /* offset of the creation */
  int64_t created_ms;
  int64_t changed_ms;  /* log time of the last effective record */
  int64_t deadline_ms; /* wall clock; 0: none; no host is started later */
  uint32_t most_out;   /* hosts out of service per pool; 0: no limit */
  enum wave_state state;
  enum wave_reason reason; /* reason for a halt */
  uint32_t generation;
  struct wave_host *hosts; /* sorted by name */
  uint32_t host_count;
  uint32_t hosts_in_step[WAVE_STEP_COUNT]; /* number of hosts in each step */
};

struct wave_lease
{
  char data_centre[WAVE_NAME_SIZE];
  char holder[WAVE_NAME_SIZE];
  uint64_t incarnation;
  uint64_t fence;
  int64_t expires_ms; /* log time */
  bool granted;       /* has ever been granted: fence and holder are set */
};

struct wave_pool_state
{
  char name[WAVE_NAME_SIZE];
  uint64_t generation; /* offset + 1 of the last record that took a host of the
                          pool out of service; 0: none */
  int64_t changed_ms;  /* log time of the last step of a host of the pool */
};

struct wave_fold
{
  /* May be read by other modules.  */
  struct wave **waves; /* in order of creation */
  uint32_t wave_count;
  struct wave_lease leases[WAVE_CENTRES_MAX];
  uint32_t lease_count;
  uint64_t next_offset;
  int64_t now_ms;        /* log time of the last record */
  uint64_t change_count; /* number of records that had an effect */
  bool complete;         /* no record was lost */

  /* Internal to wave_fold.c.  */
  void *ctx; /* talloc parent of all memory of the fold */
  uint32_t host_total;
  struct wave_pool_state *pools;
  uint32_t pool_count;
  uint64_t evicted_generation; /* highest of an evicted pool */
};

enum wave_record_type
{
  WAVE_RECORD_CREATE,
  WAVE_RECORD_PAUSE,
  WAVE_RECORD_RESUME,
  WAVE_RECORD_CANCEL,
  WAVE_RECORD_LEASE,
  WAVE_RECORD_PLAN,
};

struct wave_new_host
{
  const char *name;
  const char *data_centre;
};

struct wave_step_item
{
  const char *wave;
  const char *host;
  uint32_t generation;
  enum wave_step step;
  enum wave_reason reason;
  const char *pool; /* may be empty, except for WAVE_DRAINING */
  uint64_t pool_generation;
};

struct wave_halt_item
{
  const char *wave;
  uint32_t generation;
  enum wave_reason reason;
};

/* A decoded record.  Beside a field are the record types that use it.  */
struct wave_record
{
  enum wave_record_type type;
  const char *writer;
  uint64_t incarnation;
  uint64_t sequence;       /* of the writer; not used by the fold */
  const char *id;          /* of the wave; create, pause, resume, cancel */
  const char *editor;      /* create, pause, resume, cancel */
  uint32_t generation;     /* pause, resume, cancel */
  bool retry;              /* resume */
  const char *data_centre; /* lease, plan */
  int64_t duration_ms;     /* lease */
  uint64_t fence;          /* plan */
  int64_t deadline_ms;     /* create, as the next four */
  uint32_t most_out;
  uint64_t base_offset;
  const struct wave_new_host *hosts;
  size_t host_count;
  const struct wave_step_item *steps; /* plan */
  size_t step_count;
  const struct wave_halt_item *halts;
  size_t halt_count;
};

enum wave_effect
{
  WAVE_EFFECT_DONE,    /* at least one part of the record took effect */
  WAVE_EFFECT_VOID,    /* expects an outdated state, or is a duplicate */
  WAVE_EFFECT_INVALID, /* names, numbers or steps out of range */
  WAVE_EFFECT_EXISTS,  /* create: a wave with this id exists */
  WAVE_EFFECT_OVERLAP, /* create: a host is in another open wave */
  WAVE_EFFECT_FULL,    /* create: too many waves or hosts; lease: too many data
                          centres */
  WAVE_EFFECT_STALE,   /* create: older than WAVE_CREATE_WINDOW */
  WAVE_EFFECT_FENCED,  /* plan: the fence is not that of the last lease */
  WAVE_EFFECT_HELD,    /* lease: another planner holds it */
  WAVE_EFFECT_COUNT,
};

/* Initialises an empty fold at offset 0, owned by the talloc context PARENT.
   Returns 0 or ERR_NOMEM.  */
int wave_fold_init (struct wave_fold *fold, void *parent);
void wave_fold_fini (struct wave_fold *fold);

/* Empties the fold and sets next_offset to FROM.  LOST: records before FROM
   were not folded, so that the fold is incomplete.  */
void wave_fold_reset (struct wave_fold *fold, uint64_t from, bool lost);

/* Folds the record at next_offset.  Returns 0 with *EFFECT set, or without any
   change ERR_INVALID (another offset) or ERR_NOMEM.  */
int wave_fold_record (struct wave_fold *fold, uint64_t offset, int64_t time_ms,
                      const struct wave_record *rec, enum wave_effect *effect);

/* Skips the record at OFFSET, which cannot be decoded.  */
void wave_fold_skip (struct wave_fold *fold, uint64_t offset, int64_t time_ms);

/* Return NULL if there is none.  */
struct wave *wave_find (const struct wave_fold *fold, const char *id);
struct wave_host *wave_find_host (const struct wave *wv, const char *host);
const struct wave_lease *wave_find_lease (const struct wave_fold *fold,
                                          const char *data_centre);
struct wave_pool_state wave_find_pool (const struct wave_fold *fold,
                                       const char *pool);

/* Whether a planner may still have work in the wave: it has hosts in
   maintenance, or waiting hosts that may still be started.  */
bool wave_is_open (const struct wave_fold *fold, const struct wave *wv);
bool wave_is_expired (const struct wave_fold *fold, const struct wave *wv);
uint32_t wave_hosts_in_maintenance (const struct wave *wv);

/* Returns "running", "paused", "halted", "cancelled", "expired" or "done".  */
const char *wave_state_name (const struct wave_fold *fold,
                             const struct wave *wv);
const char *wave_step_name (enum wave_step step);
const char *wave_reason_name (enum wave_reason reason);
const char *wave_effect_name (enum wave_effect effect);

/* Whether NAME is 1 to 63 ASCII letters, digits, '_', '-' and '.'.  */
bool wave_name_valid (const char *name);
