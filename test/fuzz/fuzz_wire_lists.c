/* Feeds arbitrary bytes to the decoders of what other writers make.  The first
   byte selects one: a worker's entry, whose key ends at the first newline, a
   page of newest records, a page of the list of hosts, the answer to a hold,
   and the operators' records.  Guards against bytes that crash the process,
   and against a result that the scheduler could not use: names that are not
   terminated, numbers out of range, rows that refer to nothing.  */

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "platform/wire_decode.h"
#include "platform/wire_fleet.h"
#include "platform/wire_store.h"
#include "platform/wire_worker.h"

#define TIME_MAX_MS ((int64_t)100000000000000)

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t len);

static void
require (int cond)
{
  if (!cond)
    abort ();
}

static void
require_name (const char name[NAME_BYTES], bool empty_allowed)
{
  size_t len = strnlen (name, NAME_BYTES);
  require (len < NAME_BYTES && (len > 0 || empty_allowed));
}

static void
decode_entry (const uint8_t *data, size_t len)
{
  struct worker_report rep;
  const char *fault = NULL;
  const uint8_t *end = memchr (data, '\n', len);
  size_t key_len = end ? (size_t)(end - data) : 0;
  size_t skip = end ? key_len + 1 : 0;
  int err = wire_decode_worker ((const char *)data, key_len, data + skip,
                                len - skip, &rep, &fault);
  require ((err != 0) == (fault != NULL));
  if (err)
    return;
  require (strlen (rep.id) == key_len);
  require_name (rep.pool, false);
  require_name (rep.address, false);
  require_name (rep.data_centre, false);
  require_name (rep.host, true);
  require (rep.label_count <= WORKER_LABELS_MAX);
  for (size_t n = 0; n < rep.label_count; n++)
    require_name (rep.labels[n], true);
  const char *port = strrchr (rep.address, ':');
  require (port && atoi (port + 1) > 0 && atoi (port + 1) < 65536);
  require (rep.born_ms >= 0 && rep.born_ms <= TIME_MAX_MS);
  require (rep.clock_ms >= 0 && rep.clock_ms <= TIME_MAX_MS);
  require (rep.capacity.cpu_milli >= 0 && rep.capacity.memory_mb >= 0);
}

static void
decode_newest (void *ctx, const uint8_t *data, size_t len)
{
  struct topic_read_result res;
  size_t sum = 0;
  wire_store_decode_newest (ctx, data, len, &res);
  require (res.err == 0 || res.count == 0);
  for (size_t n = 0; n < res.count; n++)
    {
      const struct topic_entry *ent = &res.records[n].entry;
      for (size_t k = 0; k < ent->key_len; k++)
        sum += (uint8_t)ent->key[k];
      for (size_t k = 0; k < ent->value_len; k++)
        sum += ent->value[k];
    }
  require (sum < SIZE_MAX);
}

static void
decode_hosts (void *ctx, const uint8_t *data, size_t len)
{
  struct host_list list = { 0 };
  char *next = NULL;
  for (int page = 0; page < 2; page++)
    if (wire_fleet_decode_page (ctx, data, len, &list, &next) != 0)
      return;
  for (size_t n = 0; n < list.count; n++)
    {
      const struct host_report *rep = &list.hosts[n];
      require_name (rep->name, false);
      require_name (rep->pool, rep->state == HOST_UNKNOWN);
      require_name (rep->worker, true);
      require (rep->state <= HOST_UNKNOWN);
    }
}

static void
decode_hold (void *ctx, const uint8_t *data, size_t len)
{
  struct hold_result res;
  json_t *doc = wire_worker_decode_hold (ctx, data, len, &res);
  require (res.command.clock_ms >= 0 && res.command.clock_ms <= TIME_MAX_MS);
  require (res.born_ms >= 0 && res.born_ms <= TIME_MAX_MS);
  for (size_t n = 0; n < res.running_count; n++)
    require (res.running[n].run > 0 && res.running[n].run <= INT32_MAX
             && res.running[n].percent <= 100
             && strlen (res.running[n].checkpoint) <= len);
  for (size_t n = 0; n < res.ended_count; n++)
    require (
        res.ended[n].number > 0 && res.ended[n].end <= RUN_END_UNREADABLE
        && strlen (res.ended[n].checkpoint) <= len
        && (res.ended[n].run > 0 || res.ended[n].end == RUN_END_UNREADABLE));
  json_decref (doc);
}

static void
decode_operator (void *ctx, const uint8_t *data, size_t len)
{
  const struct maintenance_wave *wave = wire_decode_wave (ctx, data, len);
  const struct catalog *cat = wire_decode_catalog (ctx, data, len);
  for (size_t n = 0; wave && n < wave->host_count; n++)
    require (*wave->hosts[n] && strlen (wave->hosts[n]) < NAME_BYTES);
  for (size_t n = 0; cat && n < cat->queue_count; n++)
    require (*cat->queues[n].name && *cat->queues[n].pool);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t len)
{
  void *ctx = talloc_new (NULL);
  switch (len > 0 ? data[0] : 0)
    {
    case 'e':
      decode_entry (data + 1, len - 1);
      break;
    case 'n':
      decode_newest (ctx, data + 1, len - 1);
      break;
    case 'h':
      decode_hosts (ctx, data + 1, len - 1);
      break;
    case 'r':
      decode_hold (ctx, data + 1, len - 1);
      break;
    case 'o':
      decode_operator (ctx, data + 1, len - 1);
      break;
    default:
      break;
    }
  talloc_free (ctx);
  return 0;
}
