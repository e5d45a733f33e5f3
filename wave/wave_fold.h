#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The rules of maintenance waves: a fold of the records of the waves stream
   in offset order.  No I/O and no clock: time is the log's own append time, so
   that every process that folds the same records holds the same state.

   - A lease of a data centre is granted only when none holds by the log's
     append times.  Its fence is the offset of the record that granted it, and
     a planner's record counts only while its fence is the last one granted.
   - A step counts only when it names the host's generation, and each step
     raises that: a record twice counts once, and of racing planners one wins.
   - A host leaves service only when the record names its pool's generation,
     which each such record raises.  A planner that did not know of hosts that
     another data centre took out of service thus takes none itself.
   - A host takes part in one open wave at a time.  */

#define WAVE_NAME_SIZE 64      /* bytes, with the terminating NUL */
#define WAVE_WAVES_MAX 64      /* kept, open and ended */
#define WAVE_HOSTS_MAX 8192    /* of one wave; see LOG_RECORD_MAX_BYTES */
#define WAVE_HOSTS_TOTAL 65536 /* of all waves kept */
#define WAVE_CENTRES_MAX 64    /* data centres with a lease or a host */
#define WAVE_POOLS_MAX 1024    /* whose generation is kept */
#define WAVE_LEASE_MIN_MS 1000
#define WAVE_LEASE_MAX_MS 600000
/* A creation is void this many records after the offset that its writer had
   folded.  Within the window an ended wave is kept, so that a second copy of
   its creation is known as such.  */
#define WAVE_CREATE_WINDOW 4096

enum wave_state
{
  WAVE_RUNNING,
  WAVE_PAUSED,
  WAVE_HALTED, /* by a planner; waits for an operator */
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
  WAVE_STEPS,
};

enum wave_reason
{
  WAVE_REASON_NONE,
  WAVE_REASON_NO_RETURN,    /* not up in time after its reboot */
  WAVE_REASON_NOT_HEALTHY,  /* up, and takes no work in time */
  WAVE_REASON_REFUSED,      /* the platform refuses the operation */
  WAVE_REASON_HOST_DOWN,    /* out of service before its turn, too long */
  WAVE_REASON_HOST_UNKNOWN, /* not in the host list */
  WAVE_REASON_SEVERAL_LOST, /* halt: several hosts of the wave failed */
  WAVE_REASON_RACK_LOST,    /* halt: hosts of one rack failed */
  WAVE_REASON_CANCELLED,    /* returned without a reboot */
  WAVE_REASONS,
};

struct wave_host
{
  char name[WAVE_NAME_SIZE];
  uint8_t centre;    /* index into the fold's data centres */
  uint8_t step;      /* enum wave_step */
  uint8_t reason;    /* enum wave_reason */
  bool rebooted;     /* it has been in WAVE_REBOOTING */
  bool acknowledged; /* failed, and an operator resumed the wave since */
  uint32_t generation;
  uint32_t attempt; /* generation at which the step WAVE_DRAINING began */
  int64_t since_ms; /* log time of the step */
};

struct wave
{
  char id[WAVE_NAME_SIZE];
  char editor[WAVE_NAME_SIZE]; /* of the last change */
  uint64_t offset;             /* of the creation */
  int64_t created_ms;
  int64_t changed_ms;  /* log time of the last record that counted */
  int64_t deadline_ms; /* wall clock; 0: none.  No host is started later */
  uint32_t most_out;   /* in each pool; 0: no limit */
  enum wave_state state;
  enum wave_reason reason; /* of a halt */
  uint32_t generation;
  struct wave_host *hosts; /* sorted by name */
  uint32_t count;
  uint32_t steps[WAVE_STEPS]; /* hosts in each step */
};

struct wave_lease
{
  char data_centre[WAVE_NAME_SIZE];
  char holder[WAVE_NAME_SIZE];
  uint64_t incarnation;
  uint64_t fence;
  int64_t expires_ms; /* log time */
  bool granted;       /* ever: fence and holder are valid */
};

struct wave_pool_mark
{
  char name[WAVE_NAME_SIZE];
  uint64_t generation; /* offset + 1 of the last record that took a host of it
                          out of service; 0: none */
  int64_t changed_ms;  /* log time of the last step of a host of it */
};

struct wave_fold
{
  /* Read by everyone.  */
  struct wave **waves; /* in the order of creation */
  uint32_t count;
  struct wave_lease leases[WAVE_CENTRES_MAX];
  uint32_t lease_count;
  uint64_t next_offset;
  int64_t now_ms;   /* log time of the last record */
  uint64_t changes; /* records that had an effect */
  bool complete;    /* no record was lost */

  /* Changed by wave_fold.c only.  */
  void *owner;
  uint32_t host_total;
  struct wave_pool_mark *pools;
  uint32_t pool_count;
  uint64_t evicted_generation;
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

/* A decoded record.  */
struct wave_record
{
  enum wave_record_type type;
  const char *writer;
  uint64_t incarnation;
  uint64_t sequence;       /* of the writer; not used by the fold */
  const char *id;          /* of the wave; create, pause, resume, cancel */
  const char *editor;      /* the same */
  uint32_t generation;     /* pause, resume, cancel */
  bool retry;              /* resume */
  const char *data_centre; /* lease, plan */
  int64_t duration_ms;     /* lease */
  uint64_t fence;          /* plan */
  int64_t deadline_ms;     /* create, as the next four */
  uint32_t most_out;
  uint64_t base;
  const struct wave_new_host *hosts;
  size_t host_count;
  const struct wave_step_item *steps; /* plan */
  size_t step_count;
  const struct wave_halt_item *halts;
  size_t halt_count;
};

enum wave_effect
{
  WAVE_EFFECT_DONE,    /* at least one part of the record counted */
  WAVE_EFFECT_VOID,    /* what it expected no longer holds, or held twice */
  WAVE_EFFECT_INVALID, /* names, numbers or steps out of range */
  WAVE_EFFECT_EXISTS,  /* create: the id is known */
  WAVE_EFFECT_OVERLAP, /* create: a host takes part in another open wave */
  WAVE_EFFECT_FULL,    /* create: too many waves or hosts */
  WAVE_EFFECT_STALE,   /* create: written too long before */
  WAVE_EFFECT_FENCED,  /* plan: another fence holds */
  WAVE_EFFECT_HELD,    /* lease: another planner holds it */
  WAVE_EFFECTS,
};

/* The fold of no records; owned by the talloc context PARENT.  Returns 0 or
   ERR_NOMEM.  */
int wave_fold_init (struct wave_fold *fd, void *parent);
void wave_fold_fini (struct wave_fold *fd);

/* Forgets everything and goes on at offset FROM.  LOST: records before it were
   not folded; the fold is then incomplete.  */
void wave_fold_reset (struct wave_fold *fd, uint64_t from, bool lost);

/* Folds the record at next_offset.  Returns 0 with *EFFECT set, or without any
   change ERR_INVALID (another offset) or ERR_NOMEM.  */
int wave_fold_record (struct wave_fold *fd, uint64_t offset, int64_t time_ms,
                      const struct wave_record *rec, enum wave_effect *effect);

/* Passes over the record at OFFSET, which cannot be decoded.  */
void wave_fold_skip (struct wave_fold *fd, uint64_t offset, int64_t time_ms);

/* NULL: there is none.  */
struct wave *wave_find (const struct wave_fold *fd, const char *id);
struct wave_host *wave_find_host (const struct wave *wv, const char *host);
const struct wave_lease *wave_find_lease (const struct wave_fold *fd,
                                          const char *data_centre);
struct wave_pool_mark wave_find_pool (const struct wave_fold *fd,
                                      const char *pool);

/* Whether a planner may still have to do something for the wave: it has hosts
   under way, or hosts waiting that may be started.  */
bool wave_open (const struct wave_fold *fd, const struct wave *wv);
bool wave_expired (const struct wave_fold *fd, const struct wave *wv);
uint32_t wave_under_way (const struct wave *wv);

/* "running", "paused", "halted", "cancelled", "expired" or "done".  */
const char *wave_state_name (const struct wave_fold *fd,
                             const struct wave *wv);
const char *wave_step_name (enum wave_step step);
const char *wave_reason_name (enum wave_reason reason);
const char *wave_effect_name (enum wave_effect effect);

/* 1 to 63 bytes of ASCII letters, digits, '_', '-' and '.'.  */
bool wave_name_valid (const char *name);
