#pragma once

/* Event loop, HTTP/1.1 server and HTTP client of the stand-ins.  One thread;
   times are in milliseconds of the monotonic clock.  */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

int64_t net_now (void);
int64_t net_wall (void); /* Unix time in milliseconds */

/* A connection of a server.  A handle stays valid after the connection has
   closed; replies to it then go nowhere.  */
struct conn_ref
{
  int fd;
  uint64_t number;
};

struct request
{
  struct conn_ref conn;
  unsigned served; /* requests answered on this connection before */
  char method[12];
  char path[600]; /* with the query */
  char instance[80]; /* header Expect-Instance */
  char *body; /* NUL-terminated */
  size_t len;
};

struct server;
typedef void request_fn (void *arg, const struct request *req);

/* Listens on 127.0.0.1; *PORT 0 picks a free port.  */
struct server *net_listen (int *port, request_fn *fn, void *arg);
/* Closes the listener and resets its connections.  */
void net_shut (struct server *srv);
/* Resets the server's connections; the listener stays.  Returns their
   number.  */
size_t net_reset_all (struct server *srv);

void net_reply (struct conn_ref conn, int status, const char *type,
                const void *body, size_t len);
/* Resets the connection without an answer.  */
void net_reset (struct conn_ref conn);

typedef void timer_fn (void *arg);
void net_after (int64_t ms, timer_fn *fn, void *arg);

/* STATUS 0: no answer within TIMEOUT_MS, or a broken connection.  */
typedef void answer_fn (void *arg, int status, const char *body);
void net_call (int port, const char *method, const char *path,
               const char *host, const char *body, int timeout_ms,
               answer_fn *fn, void *arg);

/* Runs until net_stop.  */
void net_run (void);
void net_stop (void);

/* A port of 127.0.0.1 that is free now.  */
int net_free_port (void);
