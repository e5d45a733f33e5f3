#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Interface to the keyed topics of the platform's store.  Calls are
   asynchronous and belong to the thread that runs the store's tevent context;
   a callback runs exactly once, never from inside the call, and not at all
   after the store was freed.  */

struct topic_store;

struct topic_key
{
  const char *bytes; /* any bytes, NUL as well */
  size_t len;
};

struct topic_entry
{
  const char *key;
  size_t key_len; /* at most 255 bytes */
  const uint8_t *value;
  size_t value_len; /* 0: a tombstone, which deletes the key */
};

enum topic_append_status
{
  TOPIC_APPENDED,
  TOPIC_REJECTED,     /* certainly not appended; may be retried */
  TOPIC_FULL,         /* certainly not appended: the store is out of room */
  TOPIC_END_MISMATCH, /* certainly not appended: the partition does not end at
                         the expected offset */
  TOPIC_FENCED, /* certainly not appended: a higher epoch has been seen */
  TOPIC_SEQUENCE_MISMATCH, /* not appended by this attempt: the sequence number
                              is not the producer's next one */
  TOPIC_UNKNOWN,           /* may have been appended, or may still be */
};

/* Stands for a sequence number that is not known.  */
#define TOPIC_SEQUENCE_NONE UINT64_MAX

struct topic_append
{
  const char *topic;
  uint32_t part;
  const char *producer; /* NULL: none; epoch and sequence are then ignored */
  uint64_t epoch;
  uint64_t sequence;
  bool conditional;      /* append only at the expected end of the partition */
  uint64_t expected_end; /* offset of the expected end; used if conditional */
  const struct topic_entry *entries;
  size_t count; /* 0: only registers the producer's epoch */
  /* Time after which the response is taken to be lost; 0: a time for appends
     that are not repeated.  */
  int64_t timeout_ms;
};

struct topic_append_result
{
  enum topic_append_status status;
  uint64_t offset;            /* of the first entry; set when appended */
  uint64_t end_offset;        /* offset at which the partition ends; set when
                                 appended, and for TOPIC_END_MISMATCH */
  uint64_t expected_sequence; /* the producer's next one, or
                                 TOPIC_SEQUENCE_NONE; set for
                                 TOPIC_SEQUENCE_MISMATCH */
};

struct topic_record
{
  uint64_t offset;
  struct topic_entry entry;
};

/* What a call waited for, to tell apart why calls fail.  */
enum topic_call_outcome
{
  TOPIC_CALL_ANSWERED,
  TOPIC_CALL_NOT_CONNECTED,
  TOPIC_CALL_NO_RESPONSE,
  TOPIC_CALL_PARTLY_RECEIVED, /* a part of the response was received */
  TOPIC_CALL_REJECTED,
  TOPIC_CALL_OUTCOMES
};

struct topic_call
{
  enum topic_call_outcome outcome;
  bool reused;        /* sent on a connection of an earlier call */
  int64_t connect_us; /* time until a new connection was ready; 0: none */
  int64_t waited_us;  /* time of the whole call */
};

struct topic_read_result
{
  int err; /* 0, ERR_UNAVAILABLE, ERR_PROTOCOL, ERR_NOMEM, ERR_EXPIRED: records
              from the requested offset on have expired, or ERR_NOT_FOUND: the
              topic does not exist yet */
  uint64_t end_offset; /* offset at which the partition ends */
  bool more;           /* topic_read_newest: further pages follow */
  const struct topic_record *records;
  size_t count;
  struct topic_call call;
};

typedef void topic_append_fn (void *arg,
                              const struct topic_append_result *res);
typedef void topic_read_fn (void *arg, const struct topic_read_result *res);

struct topic_store_driver
{
  int (*append) (struct topic_store *st, const struct topic_append *app,
                 topic_append_fn *fn, void *arg);
  int (*read) (struct topic_store *st, const char *topic, uint32_t part,
               uint64_t from, uint32_t max_kb, int64_t wait_ms,
               int64_t timeout_ms, topic_read_fn *fn, void *arg);
  int (*newest) (struct topic_store *st, const char *topic, uint32_t part,
                 const struct topic_key *after, int64_t timeout_ms,
                 topic_read_fn *fn, void *arg);
};

struct topic_store
{
  const struct topic_store_driver *drv;
};

/* Each returns 0 when the call was started, or ERR_FULL, ERR_TOO_LARGE,
   ERR_NOMEM or ERR_SYSTEM; FN runs only after 0.  */
static inline int
topic_append (struct topic_store *st, const struct topic_append *app,
              topic_append_fn *fn, void *arg)
{
  return st->drv->append (st, app, fn, arg);
}

/* Reads records from the offset FROM on, about MAX_KB at most.  The store
   waits up to WAIT_MS for the first one.  A response that has not come
   TIMEOUT_MS after that is taken to be lost; 0: a time for reads that are not
   urgent.  */
static inline int
topic_read (struct topic_store *st, const char *topic, uint32_t part,
            uint64_t from, uint32_t max_kb, int64_t wait_ms,
            int64_t timeout_ms, topic_read_fn *fn, void *arg)
{
  return st->drv->read (st, topic, part, from, max_kb, wait_ms, timeout_ms, fn,
                        arg);
}

/* Reads a page of the newest record of each key.  AFTER is the last key of the
   previous page, or NULL for the first page.  The pages are not a consistent
   snapshot: the records from the end offset of the first page on have to be
   read with topic_read as well.  TIMEOUT_MS as for topic_read.  */
static inline int
topic_read_newest (struct topic_store *st, const char *topic, uint32_t part,
                   const struct topic_key *after, int64_t timeout_ms,
                   topic_read_fn *fn, void *arg)
{
  return st->drv->newest (st, topic, part, after, timeout_ms, fn, arg);
}
