#include "wire_server.h"

#include <arpa/inet.h>
#include <check.h>
#include <microhttpd.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define LOOP_ITERATIONS_MAX 10000

static enum MHD_Result
serve (void *arg, struct MHD_Connection *con, const char *url,
       const char *method, const char *version, const char *data, size_t *len,
       void **con_cls)
{
  struct wire_server *srv = arg;
  const char *after = NULL;
  size_t after_len = 0;
  if (!*con_cls || *len > 0)
    {
      *con_cls = srv;
      *len = 0;
      return MHD_YES;
    }
  void *ctx = talloc_new (NULL);
  const void *body = srv->body;
  size_t body_len = srv->body_len;
  MHD_lookup_connection_value_n (con, MHD_GET_ARGUMENT_KIND, "after",
                                 strlen ("after"), &after, &after_len);
  if (srv->respond)
    body = srv->respond (ctx, url, after, after_len, &body_len);
  struct MHD_Response *resp = MHD_create_response_from_buffer (
      body_len, (void *)body, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result res
      = MHD_queue_response (con, srv->status ? srv->status : 200, resp);
  MHD_destroy_response (resp);
  talloc_free (ctx);
  return res;
}

void
wire_server_start (struct wire_server *srv)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  *srv = (struct wire_server){ .ev = tevent_context_init (NULL) };
  ck_assert_ptr_nonnull (srv->ev);
  srv->web = MHD_start_daemon (MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL,
                               serve, srv, MHD_OPTION_SOCK_ADDR, &addr,
                               MHD_OPTION_END);
  ck_assert_ptr_nonnull (srv->web);
  snprintf (srv->address, sizeof srv->address, "127.0.0.1:%u",
            MHD_get_daemon_info (srv->web, MHD_DAEMON_INFO_BIND_PORT)->port);
  ck_assert_int_eq (http_client_init (&srv->cli, srv->ev, srv->ev, 0), 0);
  ck_assert_int_eq (post_client_init (&srv->post, srv->ev, srv->ev, 4), 0);
}

void
wire_server_stop (struct wire_server *srv)
{
  http_client_fini (&srv->cli);
  post_client_fini (&srv->post);
  MHD_stop_daemon (srv->web);
  talloc_free (srv->ev);
}

void
wire_server_await (struct wire_server *srv, const int *done)
{
  for (int n = 0; n < LOOP_ITERATIONS_MAX && !*done; n++)
    tevent_loop_once (srv->ev);
  ck_assert_int_ne (*done, 0);
}
