#pragma once

#include <stdint.h>

#include "store/log_store.h"

/* HTTP client of the platform's log service and host list.  The protocol is
   described in docs/design/platform-protocol.md.  Belongs to the control
   thread.  */

struct tevent_context;

struct log_http_settings
{
  const char *address; /* IP:PORT or [IPV6]:PORT */
  const char *client;  /* sent as User-Agent */
  uint32_t max_calls;  /* calls in progress; beyond: ERR_FULL */
  int64_t connect_timeout_ms;
  int64_t append_timeout_ms;
  int64_t read_timeout_ms; /* added to the read's own wait_ms */
  int64_t hosts_timeout_ms;
  uint32_t max_hosts_bytes; /* a larger host list is ERR_PROTOCOL */
};

extern const struct log_http_settings log_http_settings_default;

struct log_http
{
  struct log_store st; /* first member: the vtable */
  struct priv *priv;
};

/* Returns 0, ERR_INVALID (bad address or a setting out of range) or ERR_NOMEM.
   Release with log_store_fini (&lh->st).  */
int log_http_init (struct log_http *lh, void *parent,
                   struct tevent_context *ev,
                   const struct log_http_settings *set);
