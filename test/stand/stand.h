#pragma once

#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/* Base of the stand-in servers, which replace the platform and the targets in
   tests: one event loop and one HTTP daemon in a single thread, any number of
   listening ports on 127.0.0.1, and fault injection through a control port
   (docs/testing.md lists the faults).  */

struct stand_server;

struct stand_port
{
  struct stand_server *server;
  const char *name; /* of the worker or data centre that the port stands for */
  void *owner;      /* state of that worker, set by the driver, or NULL */
  uint16_t number;
  int max_conns; /* further connections are closed at once; 0: no limit */
  int conns;     /* open connections */
  bool down;     /* closed by the fault "down" */
  bool control;  /* the control port, to which no fault applies */
  /* private */
  int fd;         /* listening; -1 while the port is down */
  int reserve_fd; /* bound but not listening, reserves the port number */
  struct tevent_fd *event;
};

struct stand_request
{
  struct stand_server *server;
  struct stand_port *port;
  struct MHD_Connection *mhd;
  const char *method;
  const char *url;
  const char *method_and_url; /* "METHOD URL", matched against faults */
  const char *body;           /* NUL-terminated */
  size_t size;                /* of the body in bytes */
  void *driver_data; /* set by the driver while it handles the request */
  /* private */
  struct stand_request *prev, *next; /* in the server's list "held" */
  struct stand_conn *conn;
  struct MHD_Response *response;
  char *headers[16]; /* of the reply: name, value, name, value, ... */
  int headers_count; /* strings in headers */
  int status;
  /* received: the whole request has arrived.
     suspended: its connection is suspended in the HTTP daemon.
     replied: the driver has replied.
     ready: the reply may be sent, or the connection closed.
     closing: the connection is closed instead of sending a reply.
     held: the fault "frozen" or "cut" delays the request or its reply.  */
  bool received, suspended, replied, ready, closing, held;
  char *trailing_data; /* sent after the reply, for the fault "trailing" */
};

struct stand_driver
{
  const char *default_match; /* prefix of the "METHOD URL" of the requests to
                                which a fault without "match" applies */
  const char *const *faults; /* names beyond those of all stand-ins */
  /* Handles a request that has arrived whole.  The driver replies in the call
     or later.  */
  void (*request) (struct stand_request *rq);
  /* Called when a fault closes the connection before the driver replied.  */
  void (*connection_closed) (struct stand_request *rq);
  /* Called when a fault is set (SET) or removed.  A negative error code
     rejects a fault that is being set; 0 accepts it.  */
  int (*fault_changed) (struct stand_server *st, const char *fault,
                        const char *host, json_t *spec, bool set);
};

/* Creates a stand-in server with its control port at CONTROL_PORT (0: a free
   one).  OWNER is the driver's state.  Returns NULL when the HTTP daemon, the
   port or an event cannot be created.  */
struct stand_server *stand_create (void *parent,
                                   const struct stand_driver *drv, void *owner,
                                   int control_port);

/* Listens on 127.0.0.1:NUMBER (0: a free port).  Returns NULL when the port
   cannot be opened or the server has no room for another.  */
struct stand_port *stand_listen (struct stand_server *st, const char *name,
                                 void *owner, int number, int max_conns);

/* Whether a port's name matches PATTERN, as of fnmatch.  */
bool stand_has_port (struct stand_server *st, const char *pattern);

/* Serves until SIGTERM or SIGINT.  */
void stand_run (struct stand_server *st);

struct tevent_context *stand_event_context (struct stand_server *st);
void *stand_owner (struct stand_server *st);
uint16_t stand_control_port (struct stand_server *st);

/* Whether a fault NAME applies to the request RQ or, with RQ NULL, to HOST.
   With RQ, a fault that applies is counted as used once; with RQ NULL it is
   not.  VALUE, if not NULL, receives the fault's value.  */
bool stand_check_fault (struct stand_server *st,
                        const struct stand_request *rq, const char *host,
                        const char *name, int64_t *value);

/* The value of a request header or NULL.  */
const char *stand_request_header (const struct stand_request *rq,
                                  const char *name);
/* The value of a request header as an integer, or DEF if the header is absent
   or no integer.  */
int64_t stand_request_header_int (const struct stand_request *rq,
                                  const char *name, int64_t def);
/* The query parameter NAME as an integer, or DEF if it is absent or no
   integer.  */
int64_t stand_request_query_int (const struct stand_request *rq,
                                 const char *name, int64_t def);

/* Adds a header to the reply.  Call it before stand_reply; headers beyond the
   eighth are dropped.  */
void stand_reply_header (struct stand_request *rq, const char *name,
                         const char *value);
void stand_reply_header_int (struct stand_request *rq, const char *name,
                             int64_t value);
/* Replies to the request.  Has no effect after a reply or after the connection
   was closed.  */
void stand_reply (struct stand_request *rq, int status, const char *type,
                  const void *body, size_t size);
/* Steals BODY.  */
void stand_reply_json (struct stand_request *rq, int status, json_t *body);

/* Whether the client has closed its end of the connection.  */
bool stand_client_disconnected (const struct stand_request *rq);

/* Writes BODY to PATH atomically (by renaming a temporary file).  Steals BODY.
   Returns 0 or ERR_IO.  */
int stand_write_json (const char *path, json_t *body);

/* The time US microseconds from now, for a tevent timer.  */
struct timeval stand_after_us (int64_t us);
/* Wall-clock time in microseconds since the epoch.  */
int64_t stand_wall_us (void);
