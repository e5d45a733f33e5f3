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
  char method[12];
  char path[600];    /* with the query */
  char instance[80]; /* header Expect-Instance */
  int64_t token;     /* header Fencing-Token; 0: none */
  char *body;        /* NUL-terminated */
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

/* Faults of a server's links.  A connection on which something was dropped
   returns nothing further.  */
struct net_link
{
  bool refuse;   /* new connections are reset */
  bool drop_in;  /* requests do not arrive */
  bool drop_out; /* answers do not arrive */
};
struct net_link *net_link_of (struct server *srv);

/* Begins or ends a time in which the packets of new connections are lost:
   connects hang, and go on only with a packet sent again after its end.  */
void net_hang (struct server *srv, bool on);
/* Begins or ends a time in which what the open connections carry is held up.
   It arrives afterwards, unless the caller has reset the connection.  */
void net_hold (struct server *srv, bool on);
/* Resets the connections on which a request waits for its answer.  */
void net_reset_busy (struct server *srv);
/* The connections that are open now return nothing further and stay open; new
   ones work.  ARRIVES: a request that is sent on one is still carried out.  */
void net_silence_all (struct server *srv, bool arrives);

void net_reply (struct conn_ref conn, int status, const char *type,
                const void *body, size_t len);
/* The connection returns nothing further and stays open.  */
void net_silence (struct conn_ref conn);
/* Resets the connection without an answer.  */
void net_reset (struct conn_ref conn);

typedef void timer_fn (void *arg);
void net_after (int64_t ms, timer_fn *fn, void *arg);

struct call
{
  int port;
  int timeout_ms;
  const char *method;
  const char *path;
  const char *host;
  const char *body; /* may be NULL */
};

struct answer
{
  int status;  /* 0: no answer in time, or a broken connection */
  bool broken; /* the connection ended before the answer */
  int retry_after_s;
  const char *body;
};

/* Calls a process.  Connections are kept and used until they break.  */
typedef void answer_fn (void *arg, const struct answer *ans);
void net_call (const struct call *call, answer_fn *fn, void *arg);

/* Called with a span in which the loop did not run for more than 200 ms.  */
typedef void net_gap_fn (int64_t from, int64_t until);
extern net_gap_fn *net_on_gap;

/* Runs until net_stop.  */
void net_run (void);
void net_stop (void);

/* A port of 127.0.0.1 that is free now.  */
int net_free_port (void);
