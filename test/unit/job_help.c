#include "job_help.h"

#include <check.h>
#include <string.h>
#include <talloc.h>

#include "job/job_codec.h"
#include "platform/wire_decode.h"

static struct job_fold_result
fold_at (struct job_table *tab, void *parent, uint64_t offset, char kind,
         uint64_t id, const uint8_t *data, size_t len, int64_t now_us)
{
  struct job_fold_result res;
  char key[JOB_KEY_BYTES + 1];
  job_key_format (kind, id, key);
  ck_assert_int_eq (job_table_fold (tab, parent, 0, offset, key, JOB_KEY_BYTES,
                                    data, len, now_us, &res),
                    0);
  return res;
}

struct job *
help_fold_job (struct job_table *tab, void *parent, uint64_t id,
               const char *json, uint64_t offset, int64_t now_us,
               int64_t wall_ms)
{
  struct job_spec spec;
  const char *fault;
  uint8_t *data;
  size_t len;
  void *ctx = talloc_new (NULL);
  ck_assert_int_eq (wire_decode_job (ctx, (const uint8_t *)json, strlen (json),
                                     &spec, &fault),
                    0);
  ck_assert_int_eq (
      job_encode_spec (ctx,
                       &(struct job_acceptance){
                           .queue = "q", .pool = "p", .accepted_ms = wall_ms },
                       &spec, &data, &len),
      0);
  struct job_fold_result res
      = fold_at (tab, parent, offset, JOB_KEY_SPEC, id, data, len, now_us);
  talloc_free (ctx);
  return res.job;
}

struct job_fold_result
help_fold (struct job_table *tab, void *parent, char kind, uint64_t id,
           const uint8_t *data, size_t len)
{
  return fold_at (tab, parent, 1, kind, id, data, len, 0);
}
