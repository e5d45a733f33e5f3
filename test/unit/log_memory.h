#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "store/log_store.h"

/* A log_store for unit tests that keeps one stream in memory and can inject
   faults into appends and reads.  Callbacks run from the tevent loop.  */

struct tevent_context;

enum log_memory_fault
{
  FAULT_NONE,
  FAULT_REPLY_LOST,     /* appended, but the result is APPEND_UNKNOWN */
  FAULT_APPEND_LOST,    /* not appended; the result is APPEND_UNKNOWN */
  FAULT_APPEND_DELAYED, /* APPEND_UNKNOWN; log_memory_append_delayed appends
                           the record */
  FAULT_NOT_DONE,       /* not appended; the result is APPEND_NOT_DONE */
  FAULT_SLOW, /* log_memory_append_delayed appends the record, then replies */
};

struct log_memory
{
  struct log_store st;
  struct tevent_context *ev;

  /* Set by the test.  */
  enum log_memory_fault fault; /* of all appends from now on */
  int64_t retry_after_ms;      /* in the results of FAULT_NOT_DONE */
  bool down;                   /* appends as FAULT_APPEND_LOST; reads fail */
  int64_t time_ms;             /* append time of the next record */
  uint32_t read_limit;         /* maximum records per read; 0: no limit */

  /* Read by the test.  */
  struct log_memory_record *records;
  uint64_t first;   /* offset of the oldest record kept */
  uint64_t next;    /* offset after the newest record */
  uint32_t appends; /* calls so far */
  uint32_t reads;   /* calls so far */

  void *root; /* talloc parent of calls and records */
  struct log_memory_call
      *delayed; /* held back until log_memory_append_delayed */
  struct log_memory_call *polls; /* reads that wait for a record */
};

void log_memory_init (struct log_memory *mem, void *parent,
                      struct tevent_context *ev);

/* Appends the records that FAULT_APPEND_DELAYED and FAULT_SLOW delayed.  */
void log_memory_append_delayed (struct log_memory *mem);

/* Appends DATA at once, without a fault and without counting it in APPENDS. */
void log_memory_put (struct log_memory *mem, const uint8_t *data, size_t len);

/* Makes FIRST the offset of the oldest record that can be read, as the log
   service's retention does.  */
void log_memory_truncate (struct log_memory *mem, uint64_t first);

/* Returns the record at OFFSET, which must be before the log's end.  */
struct log_record_view log_memory_view (const struct log_memory *mem,
                                        uint64_t offset);
