#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Keyed topics of the platform's store as an interface.  Calls are
   asynchronous; a callback runs exactly once, never from inside the call, and
   not at all once the store was finished.  */

struct topic_store;

struct topic_entry
{
  const char *key;
  size_t key_len; /* at most 255 */
  const uint8_t *value;
  size_t value_len; /* 0: the key is dropped */
};

enum topic_append_status
{
  TOPIC_APPENDED,
  TOPIC_REJECTED, /* certainly not appended; may be tried again */
  TOPIC_FULL,     /* certainly not appended: the store is out of room */
  TOPIC_MOVED,    /* certainly not appended: the partition does not end at the
                     offset asked for */
  TOPIC_FENCED,   /* certainly not appended: a higher epoch has been seen */
  TOPIC_SEQUENCE, /* the sequence number is not the next one */
  TOPIC_UNKNOWN,  /* may have been appended, or may be later */
};

struct topic_append
{
  const char *topic;
  uint32_t part;
  const char *producer; /* NULL: none, then epoch and sequence are not used */
  uint64_t epoch;
  uint64_t sequence;
  bool conditional; /* only where the partition ends at AT */
  uint64_t at;
  const struct topic_entry *entries;
  size_t count; /* 0: only sets the producer's epoch */
};

struct topic_append_result
{
  enum topic_append_status status;
  uint64_t offset; /* of the first entry, when appended */
  uint64_t end;    /* of the partition, when appended or moved */
  uint64_t expected_sequence;
};

struct topic_record
{
  uint64_t offset;
  struct topic_entry entry;
};

struct topic_read_result
{
  int err; /* 0, ERR_UNAVAILABLE, ERR_PROTOCOL, ERR_EXPIRED: records from the
              offset on are gone, or ERR_NOT_FOUND: no such topic yet */
  uint64_t end;
  bool more; /* of a page of newest records: further keys follow */
  const struct topic_record *records;
  size_t count;
};

typedef void topic_append_fn (void *arg,
                              const struct topic_append_result *res);
typedef void topic_read_fn (void *arg, const struct topic_read_result *res);

struct topic_store_driver
{
  int (*append) (struct topic_store *st, const struct topic_append *app,
                 topic_append_fn *fn, void *arg);
  int (*read) (struct topic_store *st, const char *topic, uint32_t part,
               uint64_t from, int64_t wait_ms, topic_read_fn *fn, void *arg);
  int (*newest) (struct topic_store *st, const char *topic, uint32_t part,
                 const char *after, topic_read_fn *fn, void *arg);
};

struct topic_store
{
  const struct topic_store_driver *drv;
};

/* Each returns 0 when the call was started, or ERR_FULL, ERR_TOO_LARGE,
   ERR_NOMEM or ERR_SYSTEM; the callback runs only after 0.  */
static inline int
topic_append (struct topic_store *st, const struct topic_append *app,
              topic_append_fn *fn, void *arg)
{
  return st->drv->append (st, app, fn, arg);
}

/* Reads records from the offset FROM on; waits up to WAIT_MS for the first
   one.  */
static inline int
topic_read (struct topic_store *st, const char *topic, uint32_t part,
            uint64_t from, int64_t wait_ms, topic_read_fn *fn, void *arg)
{
  return st->drv->read (st, topic, part, from, wait_ms, fn, arg);
}

/* Reads a page of the newest record of each key; AFTER is the last key of the
   page before, or NULL.  Pages are not a snapshot: records from the `end` of
   the first page on have to be read as well.  */
static inline int
topic_newest (struct topic_store *st, const char *topic, uint32_t part,
              const char *after, topic_read_fn *fn, void *arg)
{
  return st->drv->newest (st, topic, part, after, fn, arg);
}
