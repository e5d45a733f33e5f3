#include "test/soak/store.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/soak/net.h"
#include "test/soak/soak.h"

#define APPEND_MS 4
#define PARTS_MAX 512
#define REPEATS 5
#define SLOW_MS 200 /* 50 times an append */
#define LATE_MIN_MS 1000
#define LATE_SPAN_MS 5000
#define CLAIMS_MAX 65536

struct record
{
  uint8_t *data; /* after the length: key length, key, value */
  size_t len;
};

struct producer
{
  struct producer *next;
  char name[200];
  uint64_t epoch, sequence; /* the last ones */
  struct
  {
    uint64_t sequence, offset, end;
  } done[REPEATS];
  unsigned done_count;
};

struct waiter
{
  struct waiter *next;
  struct conn_ref conn;
  uint64_t from;
  size_t max_bytes;
  uint64_t number;
};

struct part
{
  char topic[64];
  unsigned number;
  struct record *recs;
  size_t count, size;
  struct producer *producers;
  struct waiter *waiters;
  int64_t busy_until;
};

/* What happens to a call and its answer.  */
enum fate
{
  FATE_NORMAL,
  FATE_LOST_RESET,  /* done; the connection is reset instead of an answer */
  FATE_LOST_SILENT, /* done; the connection returns nothing further */
  FATE_REJECTED,    /* answered 503 or 429, nothing is done */
  FATE_LATE,        /* done seconds later, without an answer */
};

/* A claim of a duty; its offset + 1 is the owner's fencing token.  */
struct claim
{
  uint64_t token;
  int port;
};

struct pending
{
  struct part *prt;
  struct conn_ref conn;
  uint8_t *body;
  size_t len;
  char producer[200];
  uint64_t epoch, sequence;
  int64_t at; /* -1: none */
  enum fate fate;
  int port; /* index of the process that sent it */
};

struct store_fault store_faults[STORE_PORTS_MAX];
struct store_count store_counts[STORE_PORTS_MAX];
void (*store_move) (const char *machine, const char *pool);
const char *(*store_upkeep) (const char *machine, int64_t wave, bool is_up);
void (*store_status) (const char *key, const char *value);

static struct part parts[PARTS_MAX];
static size_t part_count;
static uint64_t last_waiter;
static json_t *machines;
static json_t *fences; /* the highest token of an order for each machine */
static struct claim claims[CLAIMS_MAX];
static size_t claim_count;
static struct server *servers[STORE_PORTS_MAX];

static struct part *
find_part (const char *topic, unsigned number)
{
  for (size_t n = 0; n < part_count; n++)
    if (parts[n].number == number && strcmp (parts[n].topic, topic) == 0)
      return &parts[n];
  if (part_count == PARTS_MAX)
    soak_fail ("too many partitions in the store");
  struct part *prt = &parts[part_count++];
  snprintf (prt->topic, sizeof prt->topic, "%s", topic);
  prt->number = number;
  return prt;
}

static void
put_be (uint8_t *dst, uint64_t num, int bytes)
{
  for (int n = 0; n < bytes; n++)
    dst[n] = (uint8_t)(num >> (8 * (bytes - 1 - n)));
}

static size_t
get_be32 (const uint8_t *src)
{
  return (size_t)src[0] << 24 | (size_t)src[1] << 16 | (size_t)src[2] << 8
         | src[3];
}

/* The value of the parameter NAME in the query of PATH, or DEF.  */
static const char *
param (const char *path, const char *name, const char *def, char *buf,
       size_t size)
{
  size_t len = strlen (name);
  const char *pos = strchr (path, '?');
  while (pos)
    {
      pos++;
      if (strncmp (pos, name, len) == 0 && pos[len] == '=')
        {
          pos += len + 1;
          size_t n = 0;
          for (; *pos && *pos != '&' && n + 1 < size; n++)
            {
              unsigned code;
              if (*pos == '%' && sscanf (pos + 1, "%2x", &code) == 1)
                {
                  buf[n] = (char)code;
                  pos += 3;
                }
              else
                buf[n] = *pos++;
            }
          buf[n] = '\0';
          return buf;
        }
      pos = strchr (pos, '&');
    }
  return def;
}

static uint64_t
param_num (const char *path, const char *name, uint64_t def)
{
  char buf[64];
  const char *text = param (path, name, NULL, buf, sizeof buf);
  return text ? strtoull (text, NULL, 10) : def;
}

static void
reply_json (struct conn_ref conn, int status, json_t *doc)
{
  char *text = json_dumps (doc, JSON_COMPACT);
  net_reply (conn, status, "application/json", text, strlen (text));
  free (text);
  json_decref (doc);
}

static void
reply_records (struct part *prt, struct conn_ref conn, uint64_t from,
               size_t max_bytes)
{
  size_t len = 16;
  size_t last = from;
  while (last < prt->count
         && (last == from || len + 4 + prt->recs[last].len <= max_bytes))
    len += 4 + prt->recs[last++].len;
  uint8_t *data = malloc (len);
  uint8_t *pos = data + 16;
  put_be (data, prt->count, 8);
  put_be (data + 8, 0, 8);
  for (size_t n = from; n < last; n++)
    {
      put_be (pos, prt->recs[n].len, 4);
      memcpy (pos + 4, prt->recs[n].data, prt->recs[n].len);
      pos += 4 + prt->recs[n].len;
    }
  net_reply (conn, 200, "application/octet-stream", data, len);
  free (data);
}

static void
wake_waiters (struct part *prt)
{
  struct waiter **pos = &prt->waiters;
  while (*pos)
    {
      struct waiter *wtr = *pos;
      if (wtr->from >= prt->count)
        {
          pos = &wtr->next;
          continue;
        }
      *pos = wtr->next;
      reply_records (prt, wtr->conn, wtr->from, wtr->max_bytes);
      free (wtr);
    }
}

static void
add_record (struct part *prt, const uint8_t *data, size_t len)
{
  if (prt->count == prt->size)
    {
      prt->size = prt->size ? prt->size * 2 : 256;
      prt->recs = realloc (prt->recs, prt->size * sizeof *prt->recs);
    }
  struct record *rec = &prt->recs[prt->count++];
  rec->len = len;
  rec->data = malloc (len + 1);
  memcpy (rec->data, data, len);
}

/* Adds the records of one call.  */
static void
add_records (struct part *prt, const uint8_t *body, size_t len)
{
  for (size_t pos = 0; pos + 4 <= len;)
    {
      size_t size = get_be32 (body + pos);
      add_record (prt, body + pos + 4, size);
      pos += 4 + size;
    }
}

static bool
body_valid (const uint8_t *body, size_t len)
{
  size_t pos = 0;
  if (len > STORE_CALL_MAX)
    return false;
  while (pos + 4 <= len)
    {
      size_t size = get_be32 (body + pos);
      if (size > STORE_RECORD_MAX || size > len - pos - 4)
        return false;
      pos += 4 + size;
    }
  return pos == len;
}

static struct producer *
find_producer (struct part *prt, const char *name)
{
  struct producer *prd = prt->producers;
  while (prd && strcmp (prd->name, name) != 0)
    prd = prd->next;
  return prd;
}

static void
finish (struct pending *pen, int status, json_t *doc)
{
  if (status == 200)
    store_counts[pen->port].done++;
  if (pen->fate == FATE_LOST_RESET || pen->fate == FATE_LOST_SILENT)
    {
      store_counts[pen->port].lost++;
      if (pen->fate == FATE_LOST_RESET)
        net_reset (pen->conn);
      else
        net_silence (pen->conn);
      json_decref (doc);
    }
  else
    reply_json (pen->conn, status, doc);
  free (pen->body);
  free (pen);
}

static json_t *
done_json (uint64_t offset, uint64_t end)
{
  return json_pack ("{s:I,s:I}", "offset", (json_int_t)offset, "end",
                    (json_int_t)end);
}

/* Answers an append that the producer's epoch or sequence excludes, or that
   is a repeat; returns whether it did.  */
static bool
answer_sequence (struct pending *pen, struct producer *prd)
{
  if (pen->epoch < prd->epoch)
    {
      finish (pen, 409, json_pack ("{s:s}", "reason", "fenced"));
      return true;
    }
  if (pen->epoch > prd->epoch || prd->done_count == 0
      || pen->sequence == prd->sequence + 1)
    return false;
  for (unsigned n = 0; n < REPEATS && n < prd->done_count; n++)
    if (prd->done[n].sequence == pen->sequence)
      {
        finish (pen, 200, done_json (prd->done[n].offset, prd->done[n].end));
        return true;
      }
  finish (pen, 409,
          json_pack ("{s:s,s:I}", "reason", "seq", "sequence",
                     (json_int_t)prd->sequence + 1));
  return true;
}

/* Who wrote which token, for the evidence and for "in touch".  */
static void
note_claims (int port, uint64_t from, uint64_t end)
{
  for (uint64_t n = from; n < end; n++)
    claims[claim_count++ % CLAIMS_MAX]
        = (struct claim){ .token = n + 1, .port = port };
}

int
store_claimant (int64_t token)
{
  for (size_t n = 0; n < claim_count && n < CLAIMS_MAX; n++)
    if (claims[n].token == (uint64_t)token)
      return claims[n].port;
  return -1;
}

static void
tell_status (const struct part *prt, uint64_t from)
{
  for (uint64_t n = from; n < prt->count && store_status; n++)
    {
      const struct record *rec = &prt->recs[n];
      size_t key_len = rec->data[0];
      char *text = strndup ((const char *)rec->data + 1, rec->len - 1);
      char *value = strdup (text + key_len);
      text[key_len] = '\0';
      store_status (text, value);
      free (value);
      free (text);
    }
}

static void
apply (void *arg)
{
  struct pending *pen = arg;
  struct part *prt = pen->prt;
  if (pen->at >= 0 && (uint64_t)pen->at != prt->count)
    {
      finish (pen, 412, json_pack ("{s:I}", "end", (json_int_t)prt->count));
      return;
    }
  struct producer *prd
      = *pen->producer ? find_producer (prt, pen->producer) : NULL;
  if (prd && answer_sequence (pen, prd))
    return;
  uint64_t offset = prt->count;
  add_records (prt, pen->body, pen->len);
  if (strcmp (prt->topic, "keyed.duties") == 0)
    note_claims (pen->port, offset, prt->count);
  if (strcmp (prt->topic, "keyed.status") == 0)
    tell_status (prt, offset);
  if (*pen->producer)
    {
      if (!prd)
        {
          prd = calloc (1, sizeof *prd);
          snprintf (prd->name, sizeof prd->name, "%s", pen->producer);
          prd->next = prt->producers;
          prt->producers = prd;
        }
      if (pen->epoch > prd->epoch)
        prd->done_count = 0;
      prd->epoch = pen->epoch;
      prd->sequence = pen->sequence;
      memmove (prd->done + 1, prd->done, (REPEATS - 1) * sizeof *prd->done);
      prd->done[0].sequence = pen->sequence;
      prd->done[0].offset = offset;
      prd->done[0].end = prt->count;
      prd->done_count++;
    }
  finish (pen, 200, done_json (offset, prt->count));
  wake_waiters (prt);
}

static void
handle_append (const struct request *req, int port, enum fate fate)
{
  char topic[64], producer[200];
  struct pending *pen = calloc (1, sizeof *pen);
  param (req->path, "topic", "", topic, sizeof topic);
  snprintf (pen->producer, sizeof pen->producer, "%s",
            param (req->path, "producer", "", producer, sizeof producer));
  pen->prt = find_part (topic, (unsigned)param_num (req->path, "part", 0));
  pen->conn = req->conn;
  pen->epoch = param_num (req->path, "epoch", 0);
  pen->sequence = param_num (req->path, "sequence", 0);
  pen->at = (int64_t)param_num (req->path, "at", UINT64_MAX);
  pen->len = req->len;
  pen->body = malloc (req->len + 1);
  memcpy (pen->body, req->body, req->len);
  pen->fate = fate;
  pen->port = port;
  if (!body_valid (pen->body, pen->len))
    {
      finish (pen, 400, json_pack ("{s:s}", "reason", "record-bytes"));
      return;
    }
  /* A partition does its appends one at a time.  */
  int64_t now = net_now ();
  if (pen->prt->busy_until < now)
    pen->prt->busy_until = now;
  pen->prt->busy_until += APPEND_MS;
  net_after (pen->prt->busy_until - now, apply, pen);
}

struct wait_end
{
  struct part *prt;
  uint64_t number;
};

static void
on_wait_end (void *arg)
{
  struct wait_end *end = arg;
  for (struct waiter **pos = &end->prt->waiters; *pos; pos = &(*pos)->next)
    if ((*pos)->number == end->number)
      {
        struct waiter *wtr = *pos;
        *pos = wtr->next;
        reply_records (end->prt, wtr->conn, wtr->from, wtr->max_bytes);
        free (wtr);
        break;
      }
  free (end);
}

static void
handle_read (const struct request *req)
{
  char topic[64];
  param (req->path, "topic", "", topic, sizeof topic);
  struct part *prt
      = find_part (topic, (unsigned)param_num (req->path, "part", 0));
  uint64_t from = param_num (req->path, "from", 0);
  size_t max_bytes = param_num (req->path, "max-kb", 1024) * 1024;
  uint64_t wait = param_num (req->path, "wait-ms", 0);
  if (from < prt->count || wait == 0)
    {
      reply_records (prt, req->conn, from, max_bytes);
      return;
    }
  struct waiter *wtr = calloc (1, sizeof *wtr);
  struct wait_end *end = calloc (1, sizeof *end);
  *wtr = (struct waiter){ .next = prt->waiters,
                          .conn = req->conn,
                          .from = from,
                          .max_bytes = max_bytes,
                          .number = ++last_waiter };
  prt->waiters = wtr;
  *end = (struct wait_end){ .prt = prt, .number = wtr->number };
  net_after ((int64_t)wait, on_wait_end, end);
}

static void
encode_base64 (const uint8_t *data, size_t len, char *out)
{
  static const char set[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  for (size_t n = 0; n < len; n += 3)
    {
      uint32_t bits = (uint32_t)data[n] << 16;
      bits |= n + 1 < len ? (uint32_t)data[n + 1] << 8 : 0;
      bits |= n + 2 < len ? data[n + 2] : 0;
      *out++ = set[bits >> 18];
      *out++ = set[bits >> 12 & 63];
      *out++ = n + 1 < len ? set[bits >> 6 & 63] : '=';
      *out++ = n + 2 < len ? set[bits & 63] : '=';
    }
  *out = '\0';
}

static int
compare_keys (const void *a, const void *b)
{
  const struct record *left = *(const struct record *const *)a;
  const struct record *right = *(const struct record *const *)b;
  size_t len = left->data[0] < right->data[0] ? left->data[0] : right->data[0];
  int diff = memcmp (left->data + 1, right->data + 1, len);
  if (diff)
    return diff;
  if (left->data[0] != right->data[0])
    return left->data[0] < right->data[0] ? -1 : 1;
  return left < right ? -1 : left > right;
}

static bool
same_key (const struct record *a, const struct record *b)
{
  return a->data[0] == b->data[0]
         && memcmp (a->data + 1, b->data + 1, a->data[0]) == 0;
}

#define PAGE_ITEMS 500
#define PAGE_BYTES 1000000

static void
handle_newest (const struct request *req)
{
  char topic[64], after[300];
  param (req->path, "topic", "", topic, sizeof topic);
  struct part *prt
      = find_part (topic, (unsigned)param_num (req->path, "part", 0));
  const char *from = param (req->path, "after", NULL, after, sizeof after);
  struct record **sorted = calloc (prt->count + 1, sizeof (struct record *));
  json_t *items = json_array ();
  size_t bytes = 0;
  bool more = false;
  for (size_t n = 0; n < prt->count; n++)
    sorted[n] = &prt->recs[n];
  qsort (sorted, prt->count, sizeof (struct record *), compare_keys);
  for (size_t n = 0; n < prt->count && !more; n++)
    {
      const struct record *rec = sorted[n];
      char key[256];
      size_t key_len = rec->data[0];
      size_t value_len = rec->len - 1 - key_len;
      memcpy (key, rec->data + 1, key_len);
      key[key_len] = '\0';
      if ((n + 1 < prt->count && same_key (rec, sorted[n + 1]))
          || value_len == 0 || (from && strcmp (key, from) <= 0))
        continue;
      more = json_array_size (items) == PAGE_ITEMS || bytes > PAGE_BYTES;
      if (more)
        break;
      char *text = malloc (value_len * 4 / 3 + 8);
      encode_base64 (rec->data + 1 + key_len, value_len, text);
      bytes += value_len;
      json_array_append_new (items, json_pack ("{s:s,s:s,s:I}", "key", key,
                                               "value", text, "offset",
                                               (json_int_t)(rec - prt->recs)));
      free (text);
    }
  free (sorted);
  reply_json (req->conn, 200,
              json_pack ("{s:o,s:b,s:I}", "items", items, "has-more", more,
                         "end", (json_int_t)prt->count));
}

static enum fate
draw_fate (int port)
{
  const struct store_fault *flt = &store_faults[port];
  double draw = soak_draw (&soak_call_rng);
  if (draw < flt->reject)
    return FATE_REJECTED;
  draw -= flt->reject;
  if (draw < flt->lose)
    return flt->lose_silent ? FATE_LOST_SILENT : FATE_LOST_RESET;
  draw -= flt->lose;
  return draw < flt->late ? FATE_LATE : FATE_NORMAL;
}

static void
serve (const struct request *req, int port, enum fate fate)
{
  bool append = strncmp (req->path, "/v1/log-append?", 15) == 0;
  if (append)
    handle_append (req, port, fate);
  else if (fate == FATE_LOST_RESET)
    net_reset (req->conn);
  else if (fate == FATE_LOST_SILENT || fate == FATE_LATE)
    net_silence (req->conn);
  else if (strncmp (req->path, "/v1/log-read?", 13) == 0)
    handle_read (req);
  else if (strncmp (req->path, "/v1/log-newest?", 15) == 0)
    handle_newest (req);
  else
    reply_json (req->conn, 404, json_object ());
}

/* A call that is carried out later.  */
struct delayed
{
  struct request req;
  int port;
  enum fate fate;
};

static void
serve_delayed (void *arg)
{
  struct delayed *del = arg;
  serve (&del->req, del->port, del->fate);
  free (del->req.body);
  free (del);
}

static void
delay (const struct request *req, int port, enum fate fate, int64_t ms)
{
  struct delayed *del = calloc (1, sizeof *del);
  *del = (struct delayed){ .req = *req, .port = port, .fate = fate };
  del->req.body = malloc (req->len + 1);
  memcpy (del->req.body, req->body, req->len + 1);
  net_after (ms, serve_delayed, del);
}

static void
on_store (void *arg, const struct request *req)
{
  int port = (int)((struct store_fault *)arg - store_faults);
  enum fate fate = draw_fate (port);
  if (fate == FATE_REJECTED)
    {
      bool busy = soak_draw (&soak_call_rng) < 0.7;
      store_counts[port].rejected++;
      reply_json (req->conn, busy ? 503 : 429, json_object ());
    }
  else if (fate == FATE_LATE
           && strncmp (req->path, "/v1/log-append?", 15) == 0)
    {
      store_counts[port].late++;
      net_silence (req->conn);
      delay (req, port, FATE_NORMAL,
             LATE_MIN_MS
                 + (int64_t)(soak_draw (&soak_call_rng) * LATE_SPAN_MS));
    }
  else if (store_faults[port].slow)
    delay (req, port, fate, SLOW_MS);
  else
    serve (req, port, fate);
}

void
store_listen (int index, int *port)
{
  *port = 0;
  servers[index] = net_listen (port, on_store, &store_faults[index]);
}

struct net_link *
store_link (int index)
{
  return net_link_of (servers[index]);
}

struct server *
store_server (int index)
{
  return servers[index];
}

size_t
store_reset (int index)
{
  return net_reset_all (servers[index]);
}

static json_t *
find_machine (const char *name)
{
  for (size_t n = 0; name && n < json_array_size (machines); n++)
    {
      json_t *row = json_array_get (machines, n);
      if (strcmp (json_string_value (json_object_get (row, "machine")), name)
          == 0)
        return row;
    }
  return NULL;
}

static bool
has_value (const json_t *row, const char *key, const char *value)
{
  return strcmp (json_string_value (json_object_get (row, key)), value) == 0;
}

void
store_machine_state (const char *machine, const char *state, const char *pool,
                     const char *worker)
{
  json_t *row = find_machine (machine);
  json_object_set_new (row, "state", json_string (state));
  json_object_set_new (row, "pool", json_string (pool));
  json_object_set_new (row, "id", json_string (worker));
}

/* Whether an order for the machine with a higher token came before.  */
static bool
is_fenced (const char *name, int64_t token)
{
  if (token < json_integer_value (json_object_get (fences, name)))
    return true;
  json_object_set_new (fences, name, json_integer (token));
  return false;
}

static void
handle_order (const struct request *req)
{
  json_t *doc = json_loads (req->body, 0, NULL);
  const char *name = json_string_value (json_object_get (doc, "machine"));
  const char *pool = json_string_value (json_object_get (doc, "pool"));
  const json_t *wave = json_object_get (doc, "wave");
  bool upkeep = strcmp (req->path, "/v1/machine-upkeep") == 0;
  json_t *row = find_machine (name);
  int status = 200;
  const char *reason = "done";
  if (!row || (upkeep ? !json_is_integer (wave) : !pool))
    {
      status = 400;
      reason = "invalid";
    }
  else if (is_fenced (name, req->token))
    {
      status = 409;
      reason = "fence";
    }
  else if (upkeep)
    {
      const char *rejected
          = store_upkeep ? store_upkeep (name, json_integer_value (wave),
                                         has_value (row, "state", "up"))
                         : "wave";
      status = rejected ? 409 : 200;
      reason = rejected ? rejected : reason;
    }
  else if (!has_value (row, "state", "up"))
    {
      status = 409;
      reason = "busy";
    }
  else if (!has_value (row, "pool", pool))
    store_move (name, pool);
  soak_log ("machines: %s %s: %d %s", req->path, req->body, status, reason);
  reply_json (req->conn, status, json_pack ("{s:s}", "reason", reason));
  json_decref (doc);
}

static void
on_machines (void *arg, const struct request *req)
{
  if (strcmp (req->method, "GET") == 0)
    reply_json (req->conn, 200,
                json_pack ("{s:O,s:n}", "machines", machines, "next-token"));
  else
    handle_order (req);
}

int
store_machines_start (void)
{
  int port = 0;
  machines = json_array ();
  fences = json_object ();
  net_listen (&port, on_machines, NULL);
  return port;
}

void
store_machine (const char *machine, const char *pool, const char *zone,
               const char *label, const char *rack, int cpu, int mem,
               const char *worker)
{
  json_array_append_new (
      machines, json_pack ("{s:s,s:s,s:s,s:s,s:[ss],s:{s:i,s:i,s:i},s:s}",
                           "machine", machine, "pool", pool, "state", "up",
                           "zone", zone, "labels", label, rack, "capacity",
                           "cpu", cpu, "mem-mb", mem, "gpu", 0, "id", worker));
}

void
store_put (const char *topic, const char *key, const char *value)
{
  struct part *prt = find_part (topic, 0);
  size_t key_len = strlen (key);
  size_t len = 1 + key_len + strlen (value);
  uint8_t *data = malloc (len);
  data[0] = (uint8_t)key_len;
  for (size_t n = 0; n < key_len; n++)
    data[1 + n] = (uint8_t)key[n];
  memcpy (data + 1 + key_len, value, len - 1 - key_len);
  add_record (prt, data, len);
  free (data);
  wake_waiters (prt);
}
