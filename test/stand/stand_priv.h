#pragma once

#include "test/stand/stand.h"

/* What stand.c (ports, requests, replies) and fault.c share.  */

#define STAND_MAX_PORTS 1024
#define STAND_MAX_FDS 20000

struct stand_conn
{
  struct stand_conn *prev, *next;
  struct stand_port *port;
  struct stand_request *rq;
  int fd;
  int requests;
};

struct stand
{
  const struct stand_driver *drv;
  void *owner;
  struct tevent_context *ev;
  struct MHD_Daemon *daemon;
  struct tevent_immediate *again;
  struct stand_port *ports[STAND_MAX_PORTS];
  int ports_count;
  struct stand_port *control;
  struct stand_port *by_fd[STAND_MAX_FDS]; /* of accepted connections */
  struct stand_conn *conns;
  struct stand_request *held; /* by the faults frozen and cut */
  struct fault *faults;
  int64_t last_fault_id;
  char *other_id; /* the previous answer, for the fault crossed */
  char *other_body;
  bool stop;
};

int stand_open_port (struct stand_port *port);

/* Closes the port and resets its connections, as a crash of the host does.  */
void stand_close_port (struct stand_port *port);

/* Holds a request or its reply while its port is frozen or cut, else serves
   it.  */
void stand_hold_or_release (struct stand_request *rq);

/* Serves the control port.  */
void stand_control_request (struct stand_request *rq);
