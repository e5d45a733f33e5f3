#pragma once

#include <stdint.h>

#include "store/host_store.h"

/* Host operations over HTTP, as docs/design/platform-protocol.md describes
   them.  */

struct tevent_context;

struct host_http_settings
{
  const char *address; /* of the platform, IP:PORT or [IPV6]:PORT */
  const char *client;  /* sent as User-Agent */
  uint32_t max_calls;  /* in progress; more: ERR_FULL */
  int64_t connect_timeout_ms;
  int64_t call_timeout_ms;
};

extern const struct host_http_settings host_http_settings_default;

struct host_http
{
  struct host_store hs; /* first member: the vtable */
  struct priv *priv;
};

/* Returns 0, ERR_INVALID (address or a setting out of range) or ERR_NOMEM.
   Finished by host_store_fini (&hh->hs).  */
int host_http_init (struct host_http *hh, void *parent,
                    struct tevent_context *ev,
                    const struct host_http_settings *set);
