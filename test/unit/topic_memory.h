#pragma once

#include <stdbool.h>

#include "store/topic_store.h"

/* A store of keyed topics in memory.  It completes each call from the event
   loop, and the test can hold calls to a partition back.  */

#define MEMORY_PARTS_MAX 32
#define MEMORY_RECORDS_MAX 1024
#define MEMORY_PRODUCERS_MAX 16
#define MEMORY_TEXT_BYTES 128

struct tevent_context;

struct memory_record
{
  char key[MEMORY_TEXT_BYTES];
  size_t key_len;
  uint8_t value[4 * MEMORY_TEXT_BYTES];
  size_t value_len;
};

struct memory_producer
{
  char name[MEMORY_TEXT_BYTES];
  uint64_t epoch;
  uint64_t next_sequence;
};

struct memory_call;

struct memory_part
{
  char topic[MEMORY_TEXT_BYTES];
  uint32_t part;
  struct memory_record records[MEMORY_RECORDS_MAX]; /* by offset */
  size_t end;
  size_t first; /* offset of the first record that has not expired */
  struct memory_producer producers[MEMORY_PRODUCERS_MAX];
  size_t producer_count;
  bool hold_reads;      /* reads wait until the test runs or releases them */
  bool hold_appends;    /* the same for appends */
  bool reject_appends;  /* appends are rejected */
  bool lose_answers;    /* appends are carried out without an answer */
  bool reject_reads;    /* reads in order are rejected */
  size_t read_calls;    /* such reads so far */
  int64_t read_wait_ms; /* of the last one */
  int64_t read_timeout_ms;
  size_t waiting_reads;     /* of these, those that wait for records */
  struct memory_call *held; /* oldest first */
};

struct topic_memory
{
  struct tevent_context *ev;
  size_t page_records; /* of a read of newest records */
  struct memory_part *parts[MEMORY_PARTS_MAX];
  size_t part_count;
};

/* Of a topic_store that stands for the topic_memory initialised last.  */
extern const struct topic_store_driver topic_memory_driver;

void topic_memory_init (struct topic_memory *mem, struct tevent_context *ev);
/* Returns the partition, which is created if necessary.  */
struct memory_part *topic_memory_part (struct topic_memory *mem,
                                       const char *topic, uint32_t part);
/* Appends a record on behalf of another process.  Returns its offset.  */
uint64_t topic_memory_add (struct memory_part *prt, const char *key,
                           const uint8_t *value, size_t len);
/* Registers an epoch of a producer, on behalf of another process.  */
void topic_memory_set_epoch (struct memory_part *prt, const char *producer,
                             uint64_t epoch);
/* Drops the history up to the end of the partition; the newest record of each
   key stays.  */
void topic_memory_compact (struct memory_part *prt);
/* Runs the oldest call that is held back.  Returns whether there was one.  */
bool topic_memory_run_held (struct memory_part *prt);
/* Offset of the last record with KEY, or -1.  */
int64_t topic_memory_find (const struct memory_part *prt, const char *key);
