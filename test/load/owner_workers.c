#include "owner_workers.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"

#define RUNS_MAX 64
#define ENDS_MAX 256
#define TASK_BYTES 64
#define CONNS_MAX 16384
#define REQUEST_MAX 8192
/* Each connection's worker is looked at once in this time.  */
#define STEP_MS 2

struct stand_run
{
  char task[TASK_BYTES];
  int64_t number;
  int64_t end_ms;
};

struct stand_end
{
  char task[TASK_BYTES];
  int64_t number, run;
};

struct stand_worker
{
  struct stand_run runs[RUNS_MAX];
  int run_count;
  struct stand_end ends[ENDS_MAX];
  int end_count;
  int64_t last_end;
  int hold_fd; /* connection of a hold that waits; -1: none */
  int64_t hold_until_ms;
};

struct stand_conn
{
  char *data;
  size_t len;
};

static struct stand_conn conns[CONNS_MAX];

static void
fail (const char *what)
{
  perror (what);
  exit (1);
}

static int64_t
now_ms (void)
{
  return clock_now_us (&clock_system) / 1000;
}

void
owner_workers_id (int index, char *id)
{
  sprintf (id, "w%d", index);
}

void
owner_workers_address (const struct owner_workers *wrks, int index,
                       char *address)
{
  sprintf (address, "127.1.%d.%d:%d", index / 200 + 1, index % 200 + 1,
           wrks->port);
}

static void
respond (int fd, const char *body)
{
  char head[160];
  size_t len = strlen (body);
  int head_len = snprintf (head, sizeof head,
                           "HTTP/1.1 200 OK\r\nContent-Type: application/json"
                           "\r\nContent-Length: %zu\r\n\r\n",
                           len);
  char *text = malloc ((size_t)head_len + len);
  memcpy (text, head, (size_t)head_len);
  memcpy (text + head_len, body, len);
  /* An owner that does not read is not measured.  */
  if (send (fd, text, (size_t)head_len + len, MSG_NOSIGNAL) < 0
      && errno != EPIPE && errno != ECONNRESET)
    fail ("send");
  free (text);
}

static void
answer_hold (const struct owner_workers *wrks, struct stand_worker *wrk)
{
  json_t *running = json_array ();
  json_t *ended = json_array ();
  for (int n = 0; n < wrk->run_count; n++)
    json_array_append_new (
        running, json_pack ("[s, I, s, i, i]", wrk->runs[n].task,
                            (json_int_t)wrk->runs[n].number, "", 50, 4000));
  for (int n = 0; n < wrk->end_count; n++)
    json_array_append_new (
        ended, json_pack ("[I, s, I, s, s]", (json_int_t)wrk->ends[n].number,
                          wrk->ends[n].task, (json_int_t)wrk->ends[n].run,
                          "done", ""));
  json_t *doc = json_pack (
      "{s:I, s:I, s:o, s:o}", "clock-ms", (json_int_t)now_ms (), "born",
      (json_int_t)wrks->born_ms, "running", running, "ended", ended);
  char *text = json_dumps (doc, JSON_COMPACT);
  respond (wrk->hold_fd, text);
  free (text);
  json_decref (doc);
  wrk->hold_fd = -1;
}

static void
take_hold (const struct owner_workers *wrks, struct stand_worker *wrk, int fd,
           const json_t *body)
{
  int64_t seen = json_integer_value (json_object_get (body, "last-seen"));
  int kept = 0;
  for (int n = 0; n < wrk->end_count; n++)
    if (wrk->ends[n].number > seen)
      wrk->ends[kept++] = wrk->ends[n];
  wrk->end_count = kept;
  wrk->hold_fd = fd;
  wrk->hold_until_ms
      = now_ms () + json_integer_value (json_object_get (body, "wait-ms"));
  if (wrk->end_count > 0 || wrk->hold_until_ms <= now_ms ())
    answer_hold (wrks, wrk);
}

static void
take_start (struct stand_worker *wrk, int fd, const json_t *body)
{
  char text[64];
  struct stand_run *run = &wrk->runs[wrk->run_count];
  if (wrk->run_count < RUNS_MAX)
    {
      wrk->run_count++;
      snprintf (run->task, sizeof run->task, "%s",
                json_string_value (json_object_get (body, "task")));
      run->number = json_integer_value (json_object_get (body, "run-id"));
      run->end_ms = now_ms () + OWNER_WORK_MS;
    }
  snprintf (text, sizeof text, "{\"clock-ms\":%lld}", (long long)now_ms ());
  respond (fd, text);
}

static void
end_runs (struct owner_workers *wrks, struct stand_worker *wrk)
{
  int kept = 0;
  int64_t now = now_ms ();
  for (int n = 0; n < wrk->run_count; n++)
    if (wrk->runs[n].end_ms > now || wrk->end_count == ENDS_MAX)
      wrk->runs[kept++] = wrk->runs[n];
    else
      {
        struct stand_end *end = &wrk->ends[wrk->end_count++];
        memcpy (end->task, wrk->runs[n].task, TASK_BYTES);
        end->run = wrk->runs[n].number;
        end->number = ++wrk->last_end;
        __atomic_add_fetch (&wrks->ends, 1, __ATOMIC_RELAXED);
      }
  wrk->run_count = kept;
  if (wrk->hold_fd >= 0 && (wrk->end_count > 0 || now >= wrk->hold_until_ms))
    answer_hold (wrks, wrk);
}

/* Takes one whole request from the connection's buffer.  Returns its length,
   or 0.  */
static size_t
take_request (struct owner_workers *wrks, int fd)
{
  struct stand_conn *con = &conns[fd];
  char *end = con->len ? strstr (con->data, "\r\n\r\n") : NULL;
  const char *size = end ? strcasestr (con->data, "Content-Length:") : NULL;
  const char *name = end ? strcasestr (con->data, "Expect-Instance: w") : NULL;
  if (!size || !name)
    return 0;
  size_t body_len = strtoul (size + 15, NULL, 10);
  int index = atoi (name + 18);
  if (con->len < (size_t)(end + 4 - con->data) + body_len || index < 0
      || index >= wrks->count)
    return 0;
  json_t *body = json_loadb (end + 4, body_len, 0, NULL);
  if (strncmp (con->data, "POST /v1/hold", 13) == 0)
    take_hold (wrks, &wrks->rows[index], fd, body);
  else
    take_start (&wrks->rows[index], fd, body);
  json_decref (body);
  return (size_t)(end + 4 - con->data) + body_len;
}

static void
close_conn (struct owner_workers *wrks, int fd)
{
  for (int n = 0; n < wrks->count; n++)
    if (wrks->rows[n].hold_fd == fd)
      wrks->rows[n].hold_fd = -1;
  conns[fd].len = 0;
  close (fd);
}

static void
read_conn (struct owner_workers *wrks, int fd)
{
  struct stand_conn *con = &conns[fd];
  if (!con->data)
    con->data = malloc (REQUEST_MAX + 1);
  ssize_t got = recv (fd, con->data + con->len, REQUEST_MAX - con->len, 0);
  if (got <= 0)
    {
      close_conn (wrks, fd);
      return;
    }
  con->len += (size_t)got;
  con->data[con->len] = '\0';
  for (size_t used; (used = take_request (wrks, fd)) > 0;)
    {
      con->len -= used;
      memmove (con->data, con->data + used, con->len + 1);
    }
}

static void *
serve (void *arg)
{
  struct owner_workers *wrks = arg;
  int64_t stepped_ms = 0;
  int ep = epoll_create1 (0);
  struct epoll_event ev = { .events = EPOLLIN, .data.fd = wrks->listener };
  epoll_ctl (ep, EPOLL_CTL_ADD, wrks->listener, &ev);
  while (!__atomic_load_n (&wrks->stopping, __ATOMIC_RELAXED))
    {
      struct epoll_event evs[256];
      int count = epoll_wait (ep, evs, 256, STEP_MS);
      for (int n = 0; n < count; n++)
        if (evs[n].data.fd == wrks->listener)
          {
            int fd = accept (wrks->listener, NULL, NULL);
            ev = (struct epoll_event){ .events = EPOLLIN, .data.fd = fd };
            if (fd >= CONNS_MAX)
              fail ("too many connections");
            if (fd >= 0)
              epoll_ctl (ep, EPOLL_CTL_ADD, fd, &ev);
          }
        else
          read_conn (wrks, evs[n].data.fd);
      if (now_ms () < stepped_ms + STEP_MS)
        continue;
      stepped_ms = now_ms ();
      for (int n = 0; n < wrks->count; n++)
        end_runs (wrks, &wrks->rows[n]);
    }
  close (ep);
  return NULL;
}

void
owner_workers_start (struct owner_workers *wrks, int count)
{
  struct sockaddr_in adr = { .sin_family = AF_INET };
  socklen_t len = sizeof adr;
  struct rlimit files;
  getrlimit (RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit (RLIMIT_NOFILE, &files);
  *wrks = (struct owner_workers){ .count = count,
                                  .born_ms = clock_wall_ms (&clock_system) };
  wrks->rows = calloc ((size_t)count, sizeof *wrks->rows);
  for (int n = 0; n < count; n++)
    wrks->rows[n].hold_fd = -1;
  wrks->listener = socket (AF_INET, SOCK_STREAM, 0);
  if (bind (wrks->listener, (struct sockaddr *)&adr, sizeof adr)
      || listen (wrks->listener, 4096)
      || getsockname (wrks->listener, (struct sockaddr *)&adr, &len))
    fail ("listen");
  wrks->port = ntohs (adr.sin_port);
  if (pthread_create (&wrks->thread, NULL, serve, wrks))
    fail ("pthread_create");
}

void
owner_workers_stop (struct owner_workers *wrks)
{
  __atomic_store_n (&wrks->stopping, true, __ATOMIC_RELAXED);
  pthread_join (wrks->thread, NULL);
  close (wrks->listener);
  free (wrks->rows);
}
