#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "table/table_check.h"

/* The fold of the config stream in offset order: table rows, host-to-pool
   assignments and the history of changes.  Pure: the same records give the
   same state and the same verdicts in every process.  A batch names the
   version that its editor saw of each row; when one of them no longer holds,
   or the resulting table would be invalid, the whole batch is void.

   A record that was appended twice counts once, with a bounded number of ids
   kept.  Each record says up to which offset B its writer had folded the
   stream, so that its first copy stands at B or later.  A record at offset D
   with D - B >= FOLD_ID_WINDOW is void; for every other one the first copy
   stands less than FOLD_ID_WINDOW offsets before D, where all ids are kept.
   At several hundred appends a second the window spans more than half a
   minute, and five hours at 77,000 changes a day.  */

#define FOLD_ID_WINDOW 16384
#define FOLD_HISTORY_MAX 512
#define FOLD_HOSTS_MAX 32768
#define FOLD_CONFLICTS_MAX 64 /* reported of one batch */

enum fold_outcome
{
  FOLD_NONE,
  FOLD_APPLIED,
  FOLD_CONFLICT,  /* void: a version that the editor saw no longer holds */
  FOLD_INVALID,   /* void: the resulting state would have faults */
  FOLD_STALE,     /* void: too old to tell whether it is a second copy */
  FOLD_DUPLICATE, /* void: counted at its first copy */
  FOLD_CORRUPT,   /* void: envelope or body cannot be decoded */
  FOLD_PIECE,     /* snapshot piece; changes nothing */
  FOLD_OUTCOME_COUNT,
};

/* A record's unique id.  */
struct fold_id
{
  uint64_t writer; /* digest of the name */
  uint64_t incarnation;
  uint64_t sequence;
};

struct fold_host
{
  char host[TABLE_NAME_SIZE];
  char pool[TABLE_NAME_SIZE];
  uint64_t generation; /* offset of the record that set it */
};

struct fold_row_change
{
  struct table_row row; /* its version is the one seen, TABLE_NO_VERSION: the
                           editor saw no such row */
  bool deleted;
};

struct fold_host_change
{
  struct fold_host host; /* pool empty: the assignment goes; generation as a
                            row's version */
};

struct fold_edit
{
  const char *editor; /* who changes, 1 to 63 printable ASCII bytes */
  const struct fold_row_change *rows;
  size_t row_count;
  const struct fold_host_change *hosts;
  size_t host_count;
};

/* What was proposed, and what stands instead.  */
struct fold_conflict
{
  bool is_host;
  struct fold_row_change row; /* proposed, with the version seen */
  struct fold_host_change host;
  bool stands; /* whether there is a row or an assignment */
  struct table_row row_now;
  struct fold_host host_now;
};

/* Pointers are valid until the next call of fold_record.  */
struct fold_result
{
  enum fold_outcome outcome;
  struct fold_id id;
  uint64_t first_offset; /* of the first copy, for FOLD_DUPLICATE */
  bool piece_last;       /* the piece that ends a snapshot */
  const struct fold_conflict *conflicts;
  size_t conflict_count;
  struct table_faults faults; /* for FOLD_INVALID */
};

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
  /* Read by everyone.  */
  struct table *table;
  struct fold_host **hosts; /* sorted by host */
  size_t host_count;
  uint64_t next_offset;
  int64_t last_time_ms; /* log time of the last record; 0: none */
  uint64_t outcomes[FOLD_OUTCOME_COUNT];

  /* Changed by fold.c and fold_snapshot.c only.  */
  void *owner;
  size_t host_capacity;
  struct fold_change *history; /* ring */
  size_t history_start;
  size_t history_count;
  struct fold_id_entry *ids; /* ring; the offset modulo its size */
  struct fold_id_entry *ids_by_id;
  void *scratch; /* memory of the last result */
};

/* The fold of no records.  Returns 0 or ERR_NOMEM.  */
int fold_init (struct fold *fd, void *parent);
void fold_fini (struct fold *fd);

/* Folds the record at OFFSET, which must be next_offset.  Returns 0 with *RES
   set, or without any change: ERR_INVALID (another offset), ERR_CONFLICT (a
   format version that this program does not know; what follows cannot be
   folded) or ERR_NOMEM.  */
int fold_record (struct fold *fd, uint64_t offset, int64_t time_ms,
                 const uint8_t *data, size_t len, struct fold_result *res);

const struct fold_host *fold_host_find (const struct fold *fd,
                                        const char *host);

/* The N-th change kept, 0 being the oldest; NULL beyond the end.  */
const struct fold_change *fold_history (const struct fold *fd, size_t n);

/* Whether a record with this id was folded within the window; *OUTCOME and
 *OFFSET are those of its first copy.  */
bool fold_seen (const struct fold *fd, const struct fold_id *id,
                enum fold_outcome *outcome, uint64_t *offset);

struct fold_id fold_id_make (const char *writer, uint64_t incarnation,
                             uint64_t sequence);

const char *fold_outcome_name (enum fold_outcome outcome);
