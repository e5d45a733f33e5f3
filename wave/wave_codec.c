#include "wave/wave_codec.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "proto/wave.pb-c.h"
#include "store/log_store.h"
#include "store/record.h"

#define MSG(name) Kingcuphollow__Wave##name

/* Array of pointers to the COUNT elements of ITEMS, or NULL.  */
#define POINTERS(parent, type, items, count)                                  \
  ({                                                                          \
    type **ptrs_ = talloc_array ((parent), type *, (count) + 1);              \
    for (size_t i_ = 0; ptrs_ && i_ < (count); i_++)                          \
      ptrs_[i_] = &(items)[i_];                                               \
    ptrs_;                                                                    \
  })

/* Groups the hosts by data centre, so that each data centre's name is stored
   once.  */
static int
encode_create (void *tmp, const struct wave_record *rec, MSG (Create) * msg)
{
  MSG (Group) *groups = talloc_zero_array (tmp, MSG (Group), WAVE_CENTRES_MAX);
  size_t count = 0;
  if (!groups)
    return ERR_NOMEM;
  for (size_t n = 0; n < rec->host_count; n++)
    {
      const struct wave_new_host *host = &rec->hosts[n];
      size_t g = 0;
      while (g < count
             && strcmp (groups[g].data_centre, host->data_centre) != 0)
        g++;
      if (g == WAVE_CENTRES_MAX)
        return ERR_TOO_LARGE;
      if (g == count)
        {
          kingcuphollow__wave_group__init (&groups[count++]);
          groups[g].data_centre = (char *)host->data_centre;
          groups[g].hosts = talloc_array (tmp, char *, rec->host_count);
          if (!groups[g].hosts)
            return ERR_NOMEM;
        }
      groups[g].hosts[groups[g].n_hosts++] = (char *)host->name;
    }
  msg->id = (char *)rec->id;
  msg->editor = (char *)rec->editor;
  msg->deadline_ms = (uint64_t)rec->deadline_ms;
  msg->most_out = rec->most_out;
  msg->base_offset = rec->base_offset;
  msg->groups = POINTERS (tmp, MSG (Group), groups, count);
  msg->n_groups = count;
  return msg->groups ? 0 : ERR_NOMEM;
}

static int
encode_plan (void *tmp, const struct wave_record *rec, MSG (Plan) * msg)
{
  MSG (Step) *steps = talloc_array (tmp, MSG (Step), rec->step_count + 1);
  MSG (Halt) *halts = talloc_array (tmp, MSG (Halt), rec->halt_count + 1);
  if (!steps || !halts)
    return ERR_NOMEM;
  for (size_t n = 0; n < rec->step_count; n++)
    {
      const struct wave_step_item *item = &rec->steps[n];
      kingcuphollow__wave_step__init (&steps[n]);
      steps[n].wave = (char *)item->wave;
      steps[n].host = (char *)item->host;
      steps[n].generation = item->generation;
      steps[n].step = item->step;
      steps[n].reason = item->reason;
      steps[n].pool = (char *)item->pool;
      steps[n].pool_generation = item->pool_generation;
    }
  for (size_t n = 0; n < rec->halt_count; n++)
    {
      kingcuphollow__wave_halt__init (&halts[n]);
      halts[n].wave = (char *)rec->halts[n].wave;
      halts[n].generation = rec->halts[n].generation;
      halts[n].reason = rec->halts[n].reason;
    }
  msg->data_centre = (char *)rec->data_centre;
  msg->fence = rec->fence;
  msg->steps = POINTERS (tmp, MSG (Step), steps, rec->step_count);
  msg->n_steps = rec->step_count;
  msg->halts = POINTERS (tmp, MSG (Halt), halts, rec->halt_count);
  msg->n_halts = rec->halt_count;
  return msg->steps && msg->halts ? 0 : ERR_NOMEM;
}

static void
encode_change (const struct wave_record *rec, MSG (Change) * msg)
{
  static const MSG (Change__Type) types[] = {
    [WAVE_RECORD_PAUSE] = KINGCUPHOLLOW__WAVE_CHANGE__TYPE__PAUSE,
    [WAVE_RECORD_RESUME] = KINGCUPHOLLOW__WAVE_CHANGE__TYPE__RESUME,
    [WAVE_RECORD_CANCEL] = KINGCUPHOLLOW__WAVE_CHANGE__TYPE__CANCEL,
  };
  msg->type = types[rec->type];
  msg->id = (char *)rec->id;
  msg->editor = (char *)rec->editor;
  msg->generation = rec->generation;
  msg->retry = rec->retry;
}

static int
pack (void *parent, const struct wave_record *rec, const MSG (Body) * body,
      uint8_t **data, size_t *len)
{
  struct record env = {
    .writer = rec->writer,
    .incarnation = rec->incarnation,
    .sequence = rec->sequence,
    .expected_generation = rec->generation,
  };
  env.body_len = kingcuphollow__wave_body__get_packed_size (body);
  uint8_t *buf = talloc_size (parent, env.body_len + 1);
  if (!buf)
    return ERR_NOMEM;
  kingcuphollow__wave_body__pack (body, buf);
  env.body = buf;
  int err = record_encode (parent, &env, data, len);
  talloc_free (buf);
  return err;
}

int
wave_record_encode (void *parent, const struct wave_record *rec,
                    uint8_t **data, size_t *len)
{
  MSG (Body) body = KINGCUPHOLLOW__WAVE_BODY__INIT;
  MSG (Create) create = KINGCUPHOLLOW__WAVE_CREATE__INIT;
  MSG (Change) change = KINGCUPHOLLOW__WAVE_CHANGE__INIT;
  MSG (Lease) lease = KINGCUPHOLLOW__WAVE_LEASE__INIT;
  MSG (Plan) plan = KINGCUPHOLLOW__WAVE_PLAN__INIT;
  void *tmp = talloc_new (parent);
  int err = 0;
  switch (rec->type)
    {
    case WAVE_RECORD_CREATE:
      body.body_case = KINGCUPHOLLOW__WAVE_BODY__BODY_CREATE;
      body.create = &create;
      err = encode_create (tmp, rec, &create);
      break;
    case WAVE_RECORD_LEASE:
      body.body_case = KINGCUPHOLLOW__WAVE_BODY__BODY_LEASE;
      body.lease = &lease;
      lease.data_centre = (char *)rec->data_centre;
      lease.duration_ms = (uint64_t)rec->duration_ms;
      break;
    case WAVE_RECORD_PLAN:
      body.body_case = KINGCUPHOLLOW__WAVE_BODY__BODY_PLAN;
      body.plan = &plan;
      err = encode_plan (tmp, rec, &plan);
      break;
    default:
      body.body_case = KINGCUPHOLLOW__WAVE_BODY__BODY_CHANGE;
      body.change = &change;
      encode_change (rec, &change);
      break;
    }
  if (err == 0)
    err = pack (parent, rec, &body, data, len);
  talloc_free (tmp);
  return err;
}

static int
decode_create (void *parent, const MSG (Create) * msg, struct wave_record *rec)
{
  size_t count = 0;
  for (size_t g = 0; g < msg->n_groups; g++)
    count += msg->groups[g]->n_hosts;
  struct wave_new_host *hosts
      = talloc_array (parent, struct wave_new_host, count + 1);
  if (!hosts)
    return ERR_NOMEM;
  count = 0;
  for (size_t g = 0; g < msg->n_groups; g++)
    for (size_t n = 0; n < msg->groups[g]->n_hosts; n++)
      hosts[count++] = (struct wave_new_host){ msg->groups[g]->hosts[n],
                                               msg->groups[g]->data_centre };
  if (msg->deadline_ms > INT64_MAX)
    return ERR_PROTOCOL;
  rec->type = WAVE_RECORD_CREATE;
  rec->id = msg->id;
  rec->editor = msg->editor;
  rec->deadline_ms = (int64_t)msg->deadline_ms;
  rec->most_out = msg->most_out;
  rec->base_offset = msg->base_offset;
  rec->hosts = hosts;
  rec->host_count = count;
  return 0;
}

static int
decode_change (const MSG (Change) * msg, struct wave_record *rec)
{
  switch (msg->type)
    {
    case KINGCUPHOLLOW__WAVE_CHANGE__TYPE__PAUSE:
      rec->type = WAVE_RECORD_PAUSE;
      break;
    case KINGCUPHOLLOW__WAVE_CHANGE__TYPE__RESUME:
      rec->type = WAVE_RECORD_RESUME;
      break;
    case KINGCUPHOLLOW__WAVE_CHANGE__TYPE__CANCEL:
      rec->type = WAVE_RECORD_CANCEL;
      break;
    default:
      return ERR_CONFLICT;
    }
  rec->id = msg->id;
  rec->editor = msg->editor;
  rec->generation = msg->generation;
  rec->retry = msg->retry;
  return 0;
}

static int
decode_plan (void *parent, const MSG (Plan) * msg, struct wave_record *rec)
{
  struct wave_step_item *steps
      = talloc_array (parent, struct wave_step_item, msg->n_steps + 1);
  struct wave_halt_item *halts
      = talloc_array (parent, struct wave_halt_item, msg->n_halts + 1);
  if (!steps || !halts)
    return ERR_NOMEM;
  for (size_t n = 0; n < msg->n_steps; n++)
    {
      const MSG (Step) *step = msg->steps[n];
      if (step->step >= WAVE_STEP_COUNT || step->reason >= WAVE_REASON_COUNT)
        return ERR_CONFLICT;
      steps[n] = (struct wave_step_item){ step->wave,           step->host,
                                          step->generation,     step->step,
                                          step->reason,         step->pool,
                                          step->pool_generation };
    }
  for (size_t n = 0; n < msg->n_halts; n++)
    {
      const MSG (Halt) *halt = msg->halts[n];
      if (halt->reason >= WAVE_REASON_COUNT)
        return ERR_CONFLICT;
      halts[n] = (struct wave_halt_item){ halt->wave, halt->generation,
                                          halt->reason };
    }
  rec->type = WAVE_RECORD_PLAN;
  rec->data_centre = msg->data_centre;
  rec->fence = msg->fence;
  rec->steps = steps;
  rec->step_count = msg->n_steps;
  rec->halts = halts;
  rec->halt_count = msg->n_halts;
  return 0;
}

static int
decode_body (void *parent, const MSG (Body) * body, struct wave_record *rec)
{
  switch (body->body_case)
    {
    case KINGCUPHOLLOW__WAVE_BODY__BODY_CREATE:
      return decode_create (parent, body->create, rec);
    case KINGCUPHOLLOW__WAVE_BODY__BODY_CHANGE:
      return decode_change (body->change, rec);
    case KINGCUPHOLLOW__WAVE_BODY__BODY_LEASE:
      rec->type = WAVE_RECORD_LEASE;
      rec->data_centre = body->lease->data_centre;
      rec->duration_ms = body->lease->duration_ms <= WAVE_LEASE_MAX_MS
                             ? (int64_t)body->lease->duration_ms
                             : INT64_MAX;
      return 0;
    case KINGCUPHOLLOW__WAVE_BODY__BODY_PLAN:
      return decode_plan (parent, body->plan, rec);
    default:
      return ERR_CONFLICT;
    }
}

static int
free_body (MSG (Body) * *body)
{
  kingcuphollow__wave_body__free_unpacked (*body, NULL);
  return 0;
}

int
wave_record_decode (void *parent, const uint8_t *data, size_t len,
                    struct wave_record *rec, void **storage)
{
  struct record env;
  void *envelope;
  memset (rec, 0, sizeof *rec);
  *storage = NULL;
  MSG (Body) **body = talloc_zero (parent, MSG (Body) *);
  int err
      = body ? record_decode (body, data, len, &env, &envelope) : ERR_NOMEM;
  if (err)
    goto done;
  *body = kingcuphollow__wave_body__unpack (NULL, env.body_len, env.body);
  err = ERR_PROTOCOL;
  if (!*body)
    goto done;
  talloc_set_destructor (body, free_body);
  rec->writer = env.writer;
  rec->incarnation = env.incarnation;
  rec->sequence = env.sequence;
  err = decode_body (body, *body, rec);
done:
  if (err)
    TALLOC_FREE (body);
  *storage = body;
  return err;
}

void
wave_operation_id (const struct wave *wv, const struct wave_host *wh,
                   char id[HOST_OPERATION_ID_MAX_BYTES + 1])
{
  const char *op = host_op_name (wave_step_op (wh->step));
  uint32_t attempt = 0;
  if (wh->step == WAVE_DRAINING)
    attempt = wh->attempt;
  else if (wh->step == WAVE_CHECKING)
    attempt = wh->generation;
  /* The offset distinguishes waves that were created with the same id.  */
  snprintf (id, HOST_OPERATION_ID_MAX_BYTES + 1,
            "%s/%" PRIu64 "/%s/%s/%" PRIu32, wv->id, wv->offset, wh->name, op,
            attempt);
}
