#include <talloc.h>

#include "base/err.h"
#include "node/node_priv.h"

/* The appends of this process's placers to the logs of their pools.  */

struct persist_ctx
{
  struct held_duty *hld;
  persist_fill_fn *fill;
  persist_fn *fn;
  void *arg;
};

static void
on_persisted (void *arg, enum appender_outcome out, uint64_t offset)
{
  struct persist_ctx *ctx = arg;
  if (out != APPENDER_DONE && out != APPENDER_NOT_DONE)
    ctx->hld->refused = true;
  ctx->fn (ctx->arg, out == APPENDER_DONE       ? PERSIST_DONE
                     : out == APPENDER_NOT_DONE ? PERSIST_NOT_DONE
                                                : PERSIST_FENCED);
  talloc_free (ctx);
}

int
duty_persist (void *arg, const struct topic_entry *entries, size_t count,
              persist_fn *fn, void *fn_arg)
{
  struct held_duty *hld = arg;
  struct persist_ctx *ctx = talloc_zero (hld, struct persist_ctx);
  if (!ctx)
    return ERR_NOMEM;
  ctx->hld = hld;
  ctx->fn = fn;
  ctx->arg = fn_arg;
  for (size_t n = 0; n < count; n++)
    {
      bool last = n + 1 == count;
      int err = appender_add (&hld->app, &entries[n], true,
                              last ? on_persisted : NULL, last ? ctx : NULL);
      if (err)
        {
          talloc_free (ctx);
          return err;
        }
    }
  return 0;
}

static int
fill_persisted (void *arg, const uint8_t **value, size_t *len)
{
  struct persist_ctx *ctx = arg;
  return ctx->fill (ctx->arg, value, len);
}

int
duty_persist_first (void *arg, const char *key, persist_fill_fn *fill,
                    persist_fn *fn, void *fn_arg)
{
  struct held_duty *hld = arg;
  struct persist_ctx *ctx = talloc_zero (hld, struct persist_ctx);
  if (!ctx)
    return ERR_NOMEM;
  *ctx = (struct persist_ctx){
    .hld = hld, .fill = fill, .fn = fn, .arg = fn_arg
  };
  int err
      = appender_add_first (&hld->app, key, fill_persisted, on_persisted, ctx);
  if (err)
    talloc_free (ctx);
  return err;
}
