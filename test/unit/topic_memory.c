#include "topic_memory.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>

#include "base/err.h"

#define POLL_US 1000
/* Longest time for which a read waits for records.  */
#define READ_POLLS_MAX 20

struct memory_call
{
  struct memory_call *next;
  struct topic_memory *mem;
  struct memory_part *prt;
  char kind; /* 'a' append, 'r' read, 'n' newest */
  int polls;
  /* Append.  */
  struct topic_append app;
  topic_append_fn *append_fn;
  /* Read.  */
  uint64_t from;
  bool waits;
  char after[MEMORY_TEXT_BYTES];
  topic_read_fn *read_fn;
  void *arg;
};

/* The store of the running test.  The topic_store that the code under test is
   given may be part of another struct.  */
static struct topic_memory *current_memory;

static void schedule (struct memory_call *call);

struct memory_part *
topic_memory_part (struct topic_memory *mem, const char *topic, uint32_t part)
{
  for (size_t n = 0; n < mem->part_count; n++)
    if (strcmp (mem->parts[n]->topic, topic) == 0
        && mem->parts[n]->part == part)
      return mem->parts[n];
  ck_assert_uint_lt (mem->part_count, MEMORY_PARTS_MAX);
  struct memory_part *prt = talloc_zero (mem->ev, struct memory_part);
  strncpy (prt->topic, topic, sizeof prt->topic - 1);
  prt->part = part;
  mem->parts[mem->part_count++] = prt;
  return prt;
}

static void
add_record (struct memory_part *prt, const struct topic_entry *ent)
{
  ck_assert_uint_lt (prt->end, MEMORY_RECORDS_MAX);
  struct memory_record *rec = &prt->records[prt->end++];
  ck_assert_uint_lt (ent->key_len, sizeof rec->key);
  ck_assert_uint_le (ent->value_len, sizeof rec->value);
  memcpy (rec->key, ent->key, ent->key_len);
  rec->key_len = ent->key_len;
  memcpy (rec->value, ent->value, ent->value_len);
  rec->value_len = ent->value_len;
}

uint64_t
topic_memory_add (struct memory_part *prt, const char *key,
                  const uint8_t *value, size_t len)
{
  const struct topic_entry ent = {
    .key = key, .key_len = strlen (key), .value = value, .value_len = len
  };
  add_record (prt, &ent);
  return prt->end - 1;
}

void
topic_memory_compact (struct memory_part *prt)
{
  prt->first = prt->end;
}

int64_t
topic_memory_find (const struct memory_part *prt, const char *key)
{
  for (size_t n = prt->end; n-- > 0;)
    if (strcmp (prt->records[n].key, key) == 0)
      return (int64_t)n;
  return -1;
}

static struct memory_producer *
find_producer (struct memory_part *prt, const char *name)
{
  for (size_t n = 0; n < prt->producer_count; n++)
    if (strcmp (prt->producers[n].name, name) == 0)
      return &prt->producers[n];
  ck_assert_uint_lt (prt->producer_count, MEMORY_PRODUCERS_MAX);
  struct memory_producer *pro = &prt->producers[prt->producer_count++];
  strncpy (pro->name, name, sizeof pro->name - 1);
  return pro;
}

void
topic_memory_set_epoch (struct memory_part *prt, const char *producer,
                        uint64_t epoch)
{
  struct memory_producer *pro = find_producer (prt, producer);
  if (epoch > pro->epoch)
    pro->epoch = epoch;
}

/* Checks the producer's epoch and sequence number as the store does.  */
static enum topic_append_status
check_producer (struct memory_part *prt, const struct topic_append *app,
                uint64_t *expected)
{
  if (!app->producer)
    return TOPIC_APPENDED;
  struct memory_producer *pro = find_producer (prt, app->producer);
  if (app->epoch < pro->epoch)
    return TOPIC_FENCED;
  *expected = pro->next_sequence;
  if (app->epoch == pro->epoch && app->sequence != pro->next_sequence)
    return TOPIC_SEQUENCE_MISMATCH;
  pro->epoch = app->epoch;
  pro->next_sequence = app->sequence + (app->count > 0);
  return TOPIC_APPENDED;
}

static void
run_append (struct memory_call *call)
{
  struct memory_part *prt = call->prt;
  struct topic_append_result res = { .offset = prt->end };
  if (prt->reject_appends)
    res.status = TOPIC_REJECTED;
  else if (call->app.conditional && call->app.expected_end != prt->end)
    res.status = TOPIC_END_MISMATCH;
  else
    res.status = check_producer (prt, &call->app, &res.expected_sequence);
  if (res.status == TOPIC_APPENDED)
    for (size_t n = 0; n < call->app.count; n++)
      add_record (prt, &call->app.entries[n]);
  res.end_offset = prt->end;
  if (prt->lose_answers)
    res = (struct topic_append_result){ .status = TOPIC_UNKNOWN };
  call->append_fn (call->arg, &res);
  talloc_free (call);
}

static struct topic_record
record_at (struct memory_part *prt, size_t offset)
{
  const struct memory_record *rec = &prt->records[offset];
  return (struct topic_record){ .offset = offset,
                                .entry = { .key = rec->key,
                                           .key_len = rec->key_len,
                                           .value = rec->value,
                                           .value_len = rec->value_len } };
}

static void
run_read (struct memory_call *call)
{
  struct memory_part *prt = call->prt;
  struct topic_record recs[MEMORY_RECORDS_MAX];
  struct topic_read_result res = { .end_offset = prt->end, .records = recs };
  if (prt->reject_reads)
    res.err = ERR_FULL;
  else if (call->from < prt->first)
    res.err = ERR_EXPIRED;
  else if (call->from >= prt->end && call->waits
           && ++call->polls < READ_POLLS_MAX)
    {
      schedule (call);
      return;
    }
  for (size_t n = call->from; !res.err && n < prt->end; n++)
    recs[res.count++] = record_at (prt, n);
  call->read_fn (call->arg, &res);
  talloc_free (call);
}

static int
compare_keys (const void *a, const void *b)
{
  const struct topic_record *ra = a;
  const struct topic_record *rb = b;
  return strcmp (ra->entry.key, rb->entry.key);
}

static void
run_newest (struct memory_call *call)
{
  struct memory_part *prt = call->prt;
  struct topic_record recs[MEMORY_RECORDS_MAX];
  struct topic_read_result res = { .end_offset = prt->end, .records = recs };
  for (size_t n = 0; n < prt->end; n++)
    if (strcmp (prt->records[n].key, call->after) > 0
        && topic_memory_find (prt, prt->records[n].key) == (int64_t)n)
      recs[res.count++] = record_at (prt, n);
  qsort (recs, res.count, sizeof *recs, compare_keys);
  res.more = res.count > call->mem->page_records;
  if (res.more)
    res.count = call->mem->page_records;
  call->read_fn (call->arg, &res);
  talloc_free (call);
}

static void
run_call (struct memory_call *call)
{
  if (call->kind == 'a')
    run_append (call);
  else if (call->kind == 'r')
    run_read (call);
  else
    run_newest (call);
}

static void
on_timer (struct tevent_context *ev, struct tevent_timer *te,
          struct timeval tv, void *arg)
{
  struct memory_call *call = arg;
  struct memory_part *prt = call->prt;
  if (!(call->kind == 'a' ? prt->hold_appends : prt->hold_reads))
    {
      run_call (call);
      return;
    }
  struct memory_call **pos = &prt->held;
  while (*pos)
    pos = &(*pos)->next;
  *pos = call;
}

static void
schedule (struct memory_call *call)
{
  tevent_add_timer (call->mem->ev, call,
                    tevent_timeval_current_ofs (0, POLL_US), on_timer, call);
}

bool
topic_memory_run_held (struct memory_part *prt)
{
  struct memory_call *call = prt->held;
  if (!call)
    return false;
  prt->held = call->next;
  call->next = NULL;
  run_call (call);
  return true;
}

static struct memory_call *
make_call (const char *topic, uint32_t part, char kind)
{
  struct topic_memory *mem = current_memory;
  struct memory_call *call = talloc_zero (mem->ev, struct memory_call);
  call->mem = mem;
  call->prt = topic_memory_part (mem, topic, part);
  call->kind = kind;
  schedule (call);
  return call;
}

static int
memory_append (struct topic_store *st, const struct topic_append *app,
               topic_append_fn *fn, void *arg)
{
  struct memory_call *call = make_call (app->topic, app->part, 'a');
  call->app = *app;
  call->app.producer = talloc_strdup (call, app->producer);
  struct topic_entry *entries
      = talloc_array (call, struct topic_entry, app->count);
  for (size_t n = 0; n < app->count; n++)
    {
      const struct topic_entry *src = &app->entries[n];
      entries[n] = *src;
      entries[n].key = talloc_memdup (call, src->key, src->key_len);
      entries[n].value = talloc_memdup (call, src->value, src->value_len);
    }
  call->app.entries = entries;
  call->append_fn = fn;
  call->arg = arg;
  return 0;
}

static int
memory_read (struct topic_store *st, const char *topic, uint32_t part,
             uint64_t from, uint32_t max_kb, int64_t wait_ms,
             int64_t timeout_ms, topic_read_fn *fn, void *arg)
{
  struct memory_call *call = make_call (topic, part, 'r');
  call->prt->read_calls++;
  call->prt->read_wait_ms = wait_ms;
  call->prt->read_timeout_ms = timeout_ms;
  call->prt->waiting_reads += wait_ms > 0;
  call->from = from;
  call->waits = wait_ms > 0;
  call->read_fn = fn;
  call->arg = arg;
  return 0;
}

static int
memory_newest (struct topic_store *st, const char *topic, uint32_t part,
               const struct topic_key *after, int64_t timeout_ms,
               topic_read_fn *fn, void *arg)
{
  struct memory_call *call = make_call (topic, part, 'n');
  /* The keys of these tests are texts.  */
  if (after && after->len < sizeof call->after)
    memcpy (call->after, after->bytes, after->len);
  call->read_fn = fn;
  call->arg = arg;
  return 0;
}

const struct topic_store_driver topic_memory_driver = {
  .append = memory_append, .read = memory_read, .newest = memory_newest
};

void
topic_memory_init (struct topic_memory *mem, struct tevent_context *ev)
{
  *mem = (struct topic_memory){ .ev = ev, .page_records = 500 };
  current_memory = mem;
}
