#include "store/log_store.h"

#include "base/err.h"

int
log_store_append (struct log_store *st, const char *stream,
                  const uint8_t *data, size_t len, append_fn *fn, void *arg)
{
  if (len == 0)
    return ERR_INVALID;
  if (len > LOG_RECORD_MAX_BYTES)
    return ERR_TOO_LARGE;
  return st->drv->append (st, stream, data, len, fn, arg);
}

int
log_store_read (struct log_store *st, const char *stream, uint64_t from,
                size_t max_bytes, int64_t wait_ms, read_fn *fn, void *arg)
{
  return st->drv->read (st, stream, from, max_bytes, wait_ms, fn, arg);
}

int
log_store_read_hosts (struct log_store *st, hosts_fn *fn, void *arg)
{
  return st->drv->hosts (st, fn, arg);
}

void
log_store_fini (struct log_store *st)
{
  if (st->drv)
    st->drv->fini (st);
  st->drv = NULL;
}
