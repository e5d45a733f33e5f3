#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "table/table_check.h"

/* The state that results from folding the config stream in offset order, that
   is, from applying its records one after the other: table rows, host-to-pool
   assignments and the history of changes.  Deterministic and without I/O: the
   same records give the same state and the same outcomes in every process.
   A batch carries an expected version for each row and host that it changes:
   the one that its editor had read.  If an expected version is not current, or
   the resulting table would be invalid, the whole batch is void, that is,
   without effect.

   A record that was appended twice is applied once, and the number of ids
   kept for this is bounded.  Each record carries the offset B up to which its
   writer had folded the stream, so its first copy is at offset B or later.  A
   record at offset D with D - B >= FOLD_DEDUP_WINDOW is void.  The first copy
   of any other record is less than FOLD_DEDUP_WINDOW offsets before D, and the
   ids of all records in this range are kept.  The window spans more than half
   a minute at several hundred appends a second, and five hours at 77,000
   changes a day.  */

#define FOLD_DEDUP_WINDOW 16384 /* offsets */
#define FOLD_HISTORY_MAX 512
#define FOLD_HOSTS_MAX 32768
#define FOLD_CONFLICTS_MAX 64 /* reported per batch */

enum fold_outcome
{
  FOLD_NONE, /* no outcome yet */
  FOLD_APPLIED,
  FOLD_CONFLICT,       /* void: an expected version is not current */
  FOLD_INVALID,        /* void: the resulting state would have faults */
  FOLD_STALE,          /* void: too old to tell whether it is a duplicate */
  FOLD_DUPLICATE,      /* void: a copy of a record that was folded before */
  FOLD_CORRUPT,        /* void: envelope or body cannot be decoded */
  FOLD_SNAPSHOT_PIECE, /* a part of a snapshot; does not change the state */
  FOLD_OUTCOME_COUNT,
};

/* Unique id of a record.  */
struct fold_record_id
{
  uint64_t writer; /* XXH3 hash of the writer's name */
  uint64_t incarnation;
  uint64_t sequence;
};

/* Assignment of a host to a pool.  */
struct fold_host
{
  char host[TABLE_NAME_SIZE];
  char pool[TABLE_NAME_SIZE];
  uint64_t generation; /* offset of the record that set it */
};

struct fold_row_change
{
  struct table_row row; /* its version is the expected one; TABLE_NO_VERSION:
                           no such row is expected */
  bool deleted;
};

struct fold_host_change
{
  struct fold_host host; /* empty pool: remove the assignment; its generation
                            is the expected one, TABLE_NO_VERSION: no
                            assignment is expected */
};

/* Changes that are applied together or not at all.  */
struct fold_edit
{
  const char *editor; /* who makes the edit; 1 to 63 printable ASCII bytes */
  const struct fold_row_change *rows;
  size_t row_count;
  const struct fold_host_change *hosts;
  size_t host_count;
};

/* A proposed change whose expected version is not current, and the current
   row or assignment.  */
struct fold_conflict
{
  bool is_host;
  struct fold_row_change row;   /* proposed; unless is_host */
  struct fold_host_change host; /* proposed; if is_host */
  bool exists;                  /* the row or assignment exists */
  struct table_row current_row;
  struct fold_host current_host;
};

/* Pointers are valid until the next call of fold_record.  */
struct fold_result
{
  enum fold_outcome outcome;
  struct fold_record_id id;
  uint64_t first_offset; /* of the first copy, for FOLD_DUPLICATE */
  bool is_last_piece;    /* the final piece of a snapshot */
  const struct fold_conflict *conflicts;
  size_t conflict_count;
  struct table_faults faults; /* for FOLD_INVALID */
};

/* One entry of the history: a change of a row or of an assignment.  */
struct fold_change
{
  uint64_t offset;
  int64_t time_ms; /* wall clock of the log service */
  char editor[TABLE_NAME_SIZE];
  bool is_host;
  bool has_before;
  bool has_after;
  struct table_row before;
  struct table_row after;
  char host[TABLE_NAME_SIZE];
  char pool_before[TABLE_NAME_SIZE];
  char pool_after[TABLE_NAME_SIZE];
};

struct fold_id_entry;

struct fold
{
  /* Public, read only.  */
  struct table *table;
  struct fold_host **hosts; /* sorted by host */
  size_t host_count;
  uint64_t next_offset;
  int64_t last_time_ms; /* log service's time of the last record; 0: none */
  uint64_t outcomes[FOLD_OUTCOME_COUNT];

  /* Private to fold.c, fold_batch.c and fold_snapshot.c.  */
  void *mem_ctx; /* talloc parent of all memory of the fold */
  size_t host_capacity;
  struct fold_change *history; /* ring buffer of FOLD_HISTORY_MAX entries */
  size_t history_start;
  size_t history_count;
  struct fold_id_entry *ids;      /* ring buffer, indexed by the offset modulo
                                     FOLD_DEDUP_WINDOW */
  struct fold_id_entry *id_index; /* hash table over ids */
  void *scratch;                  /* talloc parent of the last result */
};

/* Initializes the empty state before offset 0.  Returns 0 or ERR_NOMEM.  */
int fold_init (struct fold *fd, void *parent);
void fold_fini (struct fold *fd);

/* Folds the record at OFFSET, which must be next_offset.  Returns 0 and sets
   *RES, or returns an error and leaves the state unchanged: ERR_INVALID
   (OFFSET is not next_offset), ERR_CONFLICT (the record has an unknown format
   version, so neither it nor the records after it can be folded) or
   ERR_NOMEM.  */
int fold_record (struct fold *fd, uint64_t offset, int64_t time_ms,
                 const uint8_t *data, size_t len, struct fold_result *res);

/* The assignment of HOST; NULL: none.  */
const struct fold_host *fold_host_find (const struct fold *fd,
                                        const char *host);

/* The N-th entry of the history, 0 being the oldest; NULL beyond the end.  */
const struct fold_change *fold_history (const struct fold *fd, size_t n);

/* Whether a record with this id was folded within the deduplication window.
   If so, sets *OUTCOME and *OFFSET to those of its first copy.  */
bool fold_id_find (const struct fold *fd, const struct fold_record_id *id,
                   enum fold_outcome *outcome, uint64_t *offset);

struct fold_record_id fold_record_id_make (const char *writer,
                                           uint64_t incarnation,
                                           uint64_t sequence);

const char *fold_outcome_name (enum fold_outcome outcome);
