#pragma once

#include <stddef.h>
#include <stdint.h>

/* Interface to the platform's log service and host list.  All calls are
   asynchronous and belong to the control thread's tevent context; a callback
   runs exactly once, never from inside the call, and not at all after
   log_store_fini.  */

#define LOG_RECORD_MAX_BYTES 262144

struct log_store;

enum append_status
{
  APPEND_DONE,     /* stored at the returned offset */
  APPEND_NOT_DONE, /* certainly not appended */
  APPEND_UNKNOWN,  /* may have been appended; reading the stream further
                      shows whether it was */
};

struct append_result
{
  enum append_status status;
  uint64_t offset;
  int64_t time_ms;        /* wall clock of the log service */
  int64_t retry_after_ms; /* wait that the service requested; 0: none */
};

struct log_record_view
{
  uint64_t offset;
  int64_t time_ms;
  const uint8_t *data; /* valid during the callback only */
  size_t len;
};

struct read_result
{
  int err; /* 0, ERR_UNAVAILABLE, ERR_PROTOCOL, ERR_NOMEM, or ERR_EXPIRED: the
              requested offset is lower than FIRST_OFFSET */
  uint64_t first_offset; /* of the oldest record that is still stored */
  uint64_t next_offset;  /* that the next appended record will get */
  const struct log_record_view *records;
  size_t count;
};

struct hosts_result
{
  int err;
  const char *json; /* NUL-terminated, valid during the callback only */
  size_t len;
};

typedef void append_fn (void *arg, const struct append_result *res);
typedef void read_fn (void *arg, const struct read_result *res);
typedef void hosts_fn (void *arg, const struct hosts_result *res);

struct log_store_driver
{
  int (*append) (struct log_store *st, const char *stream, const uint8_t *data,
                 size_t len, append_fn *fn, void *arg);
  int (*read) (struct log_store *st, const char *stream, uint64_t from,
               size_t max_bytes, int64_t wait_ms, read_fn *fn, void *arg);
  int (*hosts) (struct log_store *st, hosts_fn *fn, void *arg);
  void (*fini) (struct log_store *st);
};

struct log_store
{
  const struct log_store_driver *drv;
};

/* Each returns 0 when the call was started, ERR_INVALID (empty data or invalid
   stream name), ERR_TOO_LARGE, ERR_FULL (too many calls in progress) or
   ERR_NOMEM.  FN runs only after 0.  */
int log_store_append (struct log_store *st, const char *stream,
                      const uint8_t *data, size_t len, append_fn *fn,
                      void *arg);
int log_store_read (struct log_store *st, const char *stream, uint64_t from,
                    size_t max_bytes, int64_t wait_ms, read_fn *fn, void *arg);
int log_store_read_hosts (struct log_store *st, hosts_fn *fn, void *arg);
void log_store_fini (struct log_store *st);
