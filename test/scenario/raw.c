#include "test/scenario/raw.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "base/option.h"
#include "test/scenario/fleet.h"

#define RESPONSE_TIMEOUT_MS 1000
#define OVERSIZED_HEAD_BYTES 65536 /* over a connection's memory limit */

static int
open_socket (struct scenario *sc, const char *who)
{
  struct entry *en = fleet_next_entry (sc, who, NULL);
  struct sockaddr_in sa = { .sin_family = AF_INET };
  char host[64];
  uint16_t port = 0;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0 || !en || address_parse (en->caller_address, host, &port) != 0)
    {
      scenario_fail (sc, "cannot open a connection to %s", who);
      return -1;
    }
  sa.sin_port = htons (port);
  inet_pton (AF_INET, host, &sa.sin_addr);
  /* A refused connection shows at the first send or recv.  */
  (void)connect (fd, (struct sockaddr *)&sa, sizeof sa);
  return fd;
}

/* Opens connections, of which every other one sends a part of a request.  They
   stay open until the runner exits.  */
void
raw_flood (struct scenario *sc, const struct step *st)
{
  static const char partial[]
      = "POST /v1/work/stock_query HTTP/1.1\r\nHost: a\r";
  for (int64_t n = step_number (st, "n", 1); n > 0 && !sc->failure; n--)
    {
      int fd = open_socket (sc, step_text (st, "who"));
      if (n % 64 == 0)
        scenario_pause (sc, 10);
      if (n % 2 == 0)
        send (fd, partial, sizeof partial - 1, MSG_NOSIGNAL);
    }
}

#define WORK_REQUEST(kind) "POST /v1/work/" kind " HTTP/1.1\r\nHost: a\r\n"
#define CALLER_HEADER "X-Caller: c\r\n"
#define EMPTY_BODY "Content-Length: 0\r\n\r\n"

static const char *const bad_inputs[] = {
  "\r\n\r\n\r\n\r\n",
  "GET\r\n\r\n",
  "\x16\x03\x01\x02\x01\xfc\x03\x03",
  WORK_REQUEST ("stock_query") "Content-Length: -5\r\n\r\n",
  WORK_REQUEST ("stock_query") CALLER_HEADER
  "Content-Length: 99999999999999999999\r\n\r\n",
  WORK_REQUEST ("stock_query") CALLER_HEADER
  "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
  WORK_REQUEST ("stock_query") CALLER_HEADER
  "X-Deadline-Ms: soon\r\n" EMPTY_BODY,
  WORK_REQUEST ("stock_query") CALLER_HEADER
  "X-Request-Id: a\tb\"c\r\n" EMPTY_BODY,
  WORK_REQUEST ("stock_query") EMPTY_BODY,
  WORK_REQUEST ("pallet_allocation") CALLER_HEADER EMPTY_BODY,
  WORK_REQUEST ("%00%2e%2e") CALLER_HEADER EMPTY_BODY,
  "DELETE /v1/work/stock_query HTTP/1.1\r\nHost: a\r\n" CALLER_HEADER
      EMPTY_BODY,
  "POST /v1/work/stock_query HTTP/9.9\r\n\r\n",
};

struct raw_response
{
  int fd;
  char text[64]; /* start of the response */
  ssize_t len;   /* 0: the connection was closed without a response */
};

static bool
response_received (struct scenario *sc, void *arg)
{
  struct raw_response *rsp = arg;
  rsp->len = recv (rsp->fd, rsp->text, sizeof rsp->text - 1, MSG_PEEK);
  return rsp->len >= 0;
}

/* The entry process may answer INPUT with a 4xx status (505 for an unknown
   HTTP version), close the connection, or wait for more data.  Fails the
   scenario on any other response.  */
static void
send_bad_input (struct scenario *sc, const char *who, const char *input)
{
  struct raw_response rsp = { .fd = open_socket (sc, who) };
  scenario_pause (sc, 20);
  send (rsp.fd, input, strlen (input), MSG_NOSIGNAL);
  shutdown (rsp.fd, SHUT_WR);
  if (scenario_run_until (sc, response_received, &rsp, RESPONSE_TIMEOUT_MS)
      && rsp.len > 0 && strncmp (rsp.text, "HTTP/1.1 4", 10) != 0
      && strncmp (rsp.text, "HTTP/1.1 505", 12) != 0)
    scenario_fail (
        sc, "expected status 4xx or 505, got \"%.30s\" to the input %.60s",
        rsp.text, input);
  close (rsp.fd);
}

void
raw_bad_input (struct scenario *sc, const struct step *st)
{
  const char *who = step_text (st, "who");
  send_bad_input (sc, who,
                  talloc_asprintf (sc, "GET /%0*d", OVERSIZED_HEAD_BYTES, 0));
  for (size_t n = 0; n < sizeof bad_inputs / sizeof *bad_inputs; n++)
    if (!sc->failure)
      send_bad_input (sc, who, bad_inputs[n]);
}
