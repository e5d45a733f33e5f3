#pragma once

#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/* What the stand-ins share: one event loop, one HTTP daemon, any number of
   listening ports on 127.0.0.1, and faults that are set over a control port
   (docs/testing.md lists them).  */

struct stand;

struct stand_port
{
  struct stand *st;
  const char *name; /* of the worker or data centre that listens here */
  void *owner;
  uint16_t number;
  int max_conns; /* further connections are closed at once; 0: no limit */
  int conns;
  bool down;
  bool control;
  /* private */
  int fd;      /* listening; -1 while the port is down */
  int hold_fd; /* bound but not listening, keeps the port number */
  struct tevent_fd *event;
};

struct stand_request
{
  struct stand *st;
  struct stand_port *port;
  struct MHD_Connection *mhd;
  const char *method;
  const char *url;
  const char *line; /* METHOD URL */
  const char *body; /* NUL-terminated */
  size_t size;
  void *work; /* of the driver, while the request runs */
  /* private */
  struct stand_request *prev, *next;
  struct stand_conn *conn;
  struct MHD_Response *response;
  char *headers[16];
  int headers_count;
  int status;
  bool begun, suspended, replied, ready, closing, held;
  char *trailing;
};

struct stand_driver
{
  const char *match;         /* requests that faults of replies apply to */
  const char *const *faults; /* names beyond those of all stand-ins */
  /* A whole request arrived.  The driver replies now or later.  */
  void (*request) (struct stand_request *rq);
  /* A fault closed the connection before the driver replied.  */
  void (*abandon) (struct stand_request *rq);
  /* A fault of the driver's own was set or cleared.  Returns 0 or an error,
     which refuses the fault.  */
  int (*change) (struct stand *st, const char *fault, const char *host,
                 json_t *spec, bool set);
};

/* Creates a stand-in whose faults are set at CONTROL_PORT (0: a free one).
   OWNER is the driver's state.  Returns NULL when the system refuses.  */
struct stand *stand_create (void *parent, const struct stand_driver *drv,
                            void *owner, int control_port);

/* Listens on 127.0.0.1:NUMBER (0: a free port).  */
struct stand_port *stand_listen (struct stand *st, const char *name,
                                 void *owner, int number, int max_conns);

/* Whether a port has a name that matches PATTERN, as of fnmatch.  */
bool stand_has_port (struct stand *st, const char *pattern);

/* Serves until SIGTERM or SIGINT.  */
void stand_run (struct stand *st);

struct tevent_context *stand_events (struct stand *st);
void *stand_owner (struct stand *st);
uint16_t stand_control_port (struct stand *st);

/* Whether the fault NAME applies to the request (or, with RQ NULL, to HOST),
   counting it as one use.  VALUE, if not NULL, receives its value.  */
bool stand_fault (struct stand *st, const struct stand_request *rq,
                  const char *host, const char *name, int64_t *value);

/* The value of a request header or NULL.  */
const char *stand_get (const struct stand_request *rq, const char *name);
int64_t stand_get_int (const struct stand_request *rq, const char *name,
                       int64_t def);
/* The integer NAME of the query, or DEF.  */
int64_t stand_query_int (const struct stand_request *rq, const char *name,
                         int64_t def);

/* Adds a response header; then answers.  A reply after the connection was
   closed has no effect.  */
void stand_header (struct stand_request *rq, const char *name,
                   const char *value);
void stand_header_int (struct stand_request *rq, const char *name,
                       int64_t value);
void stand_reply (struct stand_request *rq, int status, const char *type,
                  const void *body, size_t size);
/* Steals BODY.  */
void stand_reply_json (struct stand_request *rq, int status, json_t *body);

/* Whether the client has closed its end of the connection.  */
bool stand_client_gone (const struct stand_request *rq);

/* Writes BODY to PATH in one step (by renaming).  Steals BODY.  Returns 0 or
   ERR_IO.  */
int stand_write_json (const char *path, json_t *body);

struct timeval stand_after_us (int64_t us);
int64_t stand_wall_us (void);
