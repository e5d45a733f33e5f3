#pragma once

#include "test/stand/stand.h"

/* Shared by stand.c (ports, requests, replies) and fault.c (faults and the
   control port).  */

#define STAND_MAX_PORTS 1024
#define STAND_MAX_FDS 20000

struct stand_conn
{
  struct stand_conn *prev, *next;
  struct stand_port *port;
  struct stand_request *rq; /* in progress, or NULL */
  int fd;
  int requests;  /* started on this connection so far */
  bool silenced; /* for good, by the fault "silence" */
};

struct stand_server
{
  const struct stand_driver *drv;
  void *owner;
  struct tevent_context *ev;
  struct MHD_Daemon *daemon;
  struct tevent_immediate *run_event; /* runs the daemon again */
  struct stand_port *ports[STAND_MAX_PORTS];
  int ports_count;
  struct stand_port *control;
  struct stand_port *port_of_fd[STAND_MAX_FDS]; /* of accepted connections */
  struct stand_conn *conns;
  struct stand_request *held; /* by "frozen", "cut" and "silence" */
  struct fault *faults;
  int64_t last_fault_id;
  char *previous_id; /* request id of the previous reply, for "crossed" */
  char *previous_body;
  bool stop;
};

int stand_open_port (struct stand_port *port);

/* Closes the port and resets its connections, as a crash of the host does.  */
void stand_close_port (struct stand_port *port);

/* Silences the open connections of the ports whose names match PATTERN; NULL:
   all.  */
void stand_silence (struct stand_server *st, const char *pattern);

/* Holds the request or its reply while its port is frozen or cut, or for good
   if its connection is silenced; else passes the request to the driver or
   sends the reply.  */
void stand_hold_or_proceed (struct stand_request *rq);

/* Handles a request to the control port.  */
void stand_control_request (struct stand_request *rq);
