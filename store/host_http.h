#pragma once

#include <stdint.h>

#include "store/host_api.h"

/* HTTP client of the platform's host operations.  The protocol is described in
   docs/design/platform-protocol.md.  Belongs to the control thread.  */

struct tevent_context;

struct host_http_settings
{
  const char *address; /* of the platform: IP:PORT or [IPV6]:PORT */
  const char *client;  /* sent as User-Agent */
  uint32_t max_calls;  /* calls in progress; beyond: ERR_FULL */
  int64_t connect_timeout_ms;
  int64_t call_timeout_ms;
};

extern const struct host_http_settings host_http_settings_default;

struct host_http
{
  struct host_api api; /* first member: the vtable */
  struct priv *priv;
};

/* Returns 0, ERR_INVALID (bad address or a setting out of range) or ERR_NOMEM.
   Release with host_api_fini.  */
int host_http_init (struct host_http *hh, void *parent,
                    struct tevent_context *ev,
                    const struct host_http_settings *set);
