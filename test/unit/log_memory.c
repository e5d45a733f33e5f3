#include "log_memory.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>
#include <utlist.h>

#include "base/err.h"

struct log_memory_record
{
  uint8_t *data;
  size_t len;
  int64_t time_ms;
};

struct log_memory_call
{
  struct log_memory_call *prev;
  struct log_memory_call *next;
  struct log_memory *mem;
  struct tevent_immediate *im;
  struct tevent_timer *te;
  append_fn *append;
  read_fn *read;
  hosts_fn *hosts;
  void *arg;
  uint8_t *data;
  size_t len;
  uint64_t from;
  struct append_result res;
};

static struct log_memory_call *
new_call (struct log_memory *mem, void *arg)
{
  struct log_memory_call *call
      = talloc_zero (mem->root, struct log_memory_call);
  call->mem = mem;
  call->arg = arg;
  call->im = tevent_create_immediate (call);
  return call;
}

static void
reply_append (struct tevent_context *ev, struct tevent_immediate *im,
              void *arg)
{
  struct log_memory_call *call = arg;
  struct append_result res = call->res;
  append_fn *fn = call->append;
  void *fn_arg = call->arg;
  talloc_free (call);
  fn (fn_arg, &res);
}

static void
reply_read (struct tevent_context *ev, struct tevent_immediate *im, void *arg)
{
  struct log_memory_call *call = arg;
  struct log_memory *mem = call->mem;
  struct read_result res
      = { .first_offset = mem->first, .next_offset = mem->next };
  struct log_record_view *views = NULL;
  if (mem->down)
    res.err = ERR_UNAVAILABLE;
  else if (call->from < mem->first)
    res.err = ERR_EXPIRED;
  else if (call->from < mem->next)
    {
      res.count = mem->next - call->from;
      if (mem->read_limit && res.count > mem->read_limit)
        res.count = mem->read_limit;
      views = talloc_array (call, struct log_record_view, res.count);
      for (size_t n = 0; n < res.count; n++)
        views[n] = log_memory_view (mem, call->from + n);
      res.records = views;
    }
  call->read (call->arg, &res);
  talloc_free (call);
}

static void
schedule_read (struct log_memory_call *call)
{
  DL_DELETE (call->mem->polls, call);
  TALLOC_FREE (call->te);
  tevent_schedule_immediate (call->im, call->mem->ev, reply_read, call);
}

void
log_memory_put (struct log_memory *mem, const uint8_t *data, size_t len)
{
  struct log_memory_call *call;
  struct log_memory_call *tmp;
  mem->records = talloc_realloc (mem->root, mem->records,
                                 struct log_memory_record, mem->next + 1);
  mem->records[mem->next++]
      = (struct log_memory_record){ talloc_memdup (mem->root, data, len), len,
                                    mem->time_ms };
  DL_FOREACH_SAFE (mem->polls, call, tmp)
    schedule_read (call);
}

struct log_record_view
log_memory_view (const struct log_memory *mem, uint64_t offset)
{
  const struct log_memory_record *rec = &mem->records[offset];
  return (struct log_record_view){ offset, rec->time_ms, rec->data, rec->len };
}

static int
mem_append (struct log_store *st, const char *stream, const uint8_t *data,
            size_t len, append_fn *fn, void *arg)
{
  struct log_memory *mem = (struct log_memory *)st;
  struct log_memory_call *call = new_call (mem, arg);
  enum log_memory_fault fault = mem->down ? FAULT_APPEND_LOST : mem->fault;
  call->append = fn;
  call->data = talloc_memdup (call, data, len);
  call->len = len;
  call->res.status = APPEND_DONE;
  call->res.offset = mem->next;
  call->res.time_ms = mem->time_ms;
  mem->appends++;
  if (fault == FAULT_NONE || fault == FAULT_REPLY_LOST)
    log_memory_put (mem, data, len);
  if (fault == FAULT_REPLY_LOST || fault == FAULT_APPEND_LOST
      || fault == FAULT_APPEND_DELAYED)
    call->res.status = APPEND_UNKNOWN;
  if (fault == FAULT_NOT_DONE)
    {
      call->res.status = APPEND_NOT_DONE;
      call->res.retry_after_ms = mem->retry_after_ms;
    }
  if (fault == FAULT_APPEND_DELAYED)
    {
      struct log_memory_call *copy = new_call (mem, NULL);
      copy->data = talloc_memdup (copy, data, len);
      copy->len = len;
      DL_APPEND (mem->delayed, copy);
    }
  if (fault == FAULT_SLOW)
    {
      DL_APPEND (mem->delayed, call);
      return 0;
    }
  tevent_schedule_immediate (call->im, mem->ev, reply_append, call);
  return 0;
}

void
log_memory_append_delayed (struct log_memory *mem)
{
  struct log_memory_call *call;
  struct log_memory_call *tmp;
  DL_FOREACH_SAFE (mem->delayed, call, tmp)
    {
      DL_DELETE (mem->delayed, call);
      call->res.offset = mem->next;
      call->res.time_ms = mem->time_ms;
      log_memory_put (mem, call->data, call->len);
      if (!call->append)
        {
          talloc_free (call);
          continue;
        }
      tevent_schedule_immediate (call->im, mem->ev, reply_append, call);
    }
}

static void
poll_timeout (struct tevent_context *ev, struct tevent_timer *te,
              struct timeval now, void *arg)
{
  struct log_memory_call *call = arg;
  call->te = NULL;
  schedule_read (call);
}

static int
mem_read (struct log_store *st, const char *stream, uint64_t from,
          size_t max_bytes, int64_t wait_ms, read_fn *fn, void *arg)
{
  struct log_memory *mem = (struct log_memory *)st;
  struct log_memory_call *call = new_call (mem, arg);
  call->read = fn;
  call->from = from;
  mem->reads++;
  if (mem->down || from != mem->next || wait_ms == 0)
    {
      tevent_schedule_immediate (call->im, mem->ev, reply_read, call);
      return 0;
    }
  DL_APPEND (mem->polls, call);
  call->te = tevent_add_timer (
      mem->ev, call,
      tevent_timeval_current_ofs (wait_ms / 1000, wait_ms % 1000 * 1000),
      poll_timeout, call);
  return 0;
}

static int
mem_hosts (struct log_store *st, hosts_fn *fn, void *arg)
{
  return ERR_FULL;
}

static void
mem_fini (struct log_store *st)
{
  TALLOC_FREE (((struct log_memory *)st)->root);
}

static const struct log_store_driver memory_driver = {
  .append = mem_append,
  .read = mem_read,
  .hosts = mem_hosts,
  .fini = mem_fini,
};

void
log_memory_init (struct log_memory *mem, void *parent,
                 struct tevent_context *ev)
{
  memset (mem, 0, sizeof *mem);
  mem->root = talloc_new (parent);
  mem->st.drv = &memory_driver;
  mem->ev = ev;
  mem->time_ms = 1000000;
}

void
log_memory_truncate (struct log_memory *mem, uint64_t first)
{
  mem->first = first;
}
