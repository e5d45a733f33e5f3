#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "store/log_store.h"

/* A log of one stream in memory, with faults, for unit tests.  Replies come
   from the tevent loop.  */

struct tevent_context;

enum log_memory_fault
{
  FAULT_NONE,
  FAULT_REPLY_LOST, /* appended, and the result is unknown */
  FAULT_LOST,       /* not appended, and the result is unknown */
  FAULT_LATE,       /* the result is unknown; appended by log_memory_land */
  FAULT_NOT_DONE,   /* refused, not appended */
  FAULT_SLOW,       /* appended and answered by log_memory_land */
};

struct log_memory
{
  struct log_store st;
  struct tevent_context *ev;

  /* Set by the test.  */
  enum log_memory_fault fault; /* of the appends from now on */
  int64_t retry_after_ms;      /* named by refused appends */
  bool down;                   /* appends unknown without effect, no reads */
  int64_t time_ms;             /* of the next record */
  uint32_t read_limit;         /* records a read; 0: all */

  /* Read by the test.  */
  struct log_memory_record *records;
  uint64_t first;
  uint64_t next;
  uint32_t appends; /* calls so far */
  uint32_t reads;

  void *root;
  struct log_memory_call *held;
  struct log_memory_call *polls;
};

void log_memory_init (struct log_memory *mem, void *parent,
                      struct tevent_context *ev);

/* Appends what FAULT_LATE and FAULT_SLOW hold back.  */
void log_memory_land (struct log_memory *mem);

/* Appends DATA as another process would.  */
void log_memory_put (struct log_memory *mem, const uint8_t *data, size_t len);

/* Removes the records before FIRST, as the service's retention does.  */
void log_memory_truncate (struct log_memory *mem, uint64_t first);

/* Record at OFFSET, which must be kept.  */
struct log_record_view log_memory_view (const struct log_memory *mem,
                                        uint64_t offset);
