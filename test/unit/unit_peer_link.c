#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/err.h"
#include "peer/frame.h"
#include "peer/peers.h"

#define SECRET "0123456789abcdef"
#define NODES 4
#define WAIT_US 60000000 /* bound of every wait */
#define STEP_US 2000     /* run time of each node in turn */
#define RAW_SOCKETS 60

/* One entry process.  Each has its own tevent context, so that a node can be
   frozen by not running its event loop.  */
struct node
{
  struct tevent_context *ev;
  struct peers prs;
  struct counters ctr;
  uint16_t port;
  bool frozen;
  uint32_t load[8]; /* last report on the target "t", by peer */
  bool ejected[8];
  unsigned int alive, suspect, dead; /* number of reports of each state */
  uint64_t incarnation;              /* in the last report of a member */
};

static struct node nodes[NODES];
static void *ctx;
static const struct clock *node_clock;

static void
on_load (void *arg, uint32_t peer, const char *host, uint32_t in_flight)
{
  struct node *nd = arg;
  if (strcmp (host, "t") == 0)
    nd->load[peer] = in_flight;
}

static void
on_health (void *arg, uint32_t peer, const char *host, bool ejected)
{
  struct node *nd = arg;
  nd->ejected[peer] = ejected;
}

static void
on_member (void *arg, const struct member_info *mbr)
{
  struct node *nd = arg;
  nd->alive += mbr->state == MEMBER_ALIVE;
  nd->suspect += mbr->state == MEMBER_SUSPECT;
  nd->dead += mbr->state == MEMBER_DEAD;
  nd->incarnation = mbr->incarnation;
}

static const struct peers_events events = { on_load, on_health, on_member };

static void
node_settings (struct peers_settings *set, int n)
{
  static const char *const names[] = { "a", "b", "c", "d" };
  peers_settings_init (set);
  set->name = names[n];
  set->data_centre = "dc";
  set->incarnation = 1;
  set->secret = (const uint8_t *)SECRET;
  set->secret_len = strlen (SECRET);
  set->seed = n;
  set->heartbeat_interval_us = 20000;
  set->backoff_min_us = 5000;
  set->backoff_max_us = 50000;
  set->load.min_interval_us = 5000;
}

static void
node_start (int n, const struct peers_settings *set)
{
  struct node *nd = &nodes[n];
  memset (nd, 0, sizeof *nd);
  nd->ev = tevent_context_init (ctx);
  ck_assert_int_eq (peers_init (&nd->prs, ctx, set, &events, nd, nd->ev,
                                node_clock, NULL, &nd->ctr),
                    0);
  ck_assert_int_eq (peers_listen (&nd->prs, "127.0.0.1", 0, &nd->port), 0);
}

static void
node_stop (int n)
{
  if (!nodes[n].ev)
    return;
  peers_fini (&nodes[n].prs);
  TALLOC_FREE (nodes[n].ev);
}

/* Starts COUNT nodes that all dial each other.  */
static void
start_mesh (int count)
{
  char list[256] = "";
  struct peers_settings set;
  for (int n = 0; n < count; n++)
    {
      node_settings (&set, n);
      node_start (n, &set);
      snprintf (list + strlen (list), sizeof list - strlen (list),
                "%s127.0.0.1:%u", n > 0 ? "," : "", nodes[n].port);
    }
  for (int n = 0; n < count; n++)
    ck_assert_int_eq (peers_set_addresses (&nodes[n].prs, list), 0);
}

static void
setup (void)
{
  ctx = talloc_new (NULL);
  node_clock = &clock_system;
  memset (nodes, 0, sizeof nodes);
}

static void
teardown (void)
{
  for (int n = 0; n < NODES; n++)
    node_stop (n);
  talloc_free (ctx);
}

static void
on_step (struct tevent_context *ev, struct tevent_timer *timer,
         struct timeval now, void *arg)
{
  *(bool *)arg = true;
}

/* Runs the event loop of each node that is not frozen for STEP_US.  */
static void
run_nodes (void)
{
  for (int n = 0; n < NODES; n++)
    {
      bool done = false;
      if (!nodes[n].ev || nodes[n].frozen)
        continue;
      tevent_add_timer (nodes[n].ev, nodes[n].ev,
                        tevent_timeval_current_ofs (0, STEP_US), on_step,
                        &done);
      while (!done)
        ck_assert_int_eq (tevent_loop_once (nodes[n].ev), 0);
    }
}

#define WAIT_FOR(cond)                                                        \
  do                                                                          \
    {                                                                         \
      int64_t end = clock_now_us (&clock_system) + WAIT_US;                   \
      while (!(cond))                                                         \
        {                                                                     \
          ck_assert_msg (clock_now_us (&clock_system) < end,                  \
                         "timed out waiting for %s", #cond);                  \
          run_nodes ();                                                       \
        }                                                                     \
    }                                                                         \
  while (0)

static uint32_t
total_load (const struct node *nd)
{
  uint32_t sum = 0;
  for (int n = 0; n < 8; n++)
    sum += nd->load[n];
  return sum;
}

static bool
all_linked (size_t links)
{
  for (int n = 0; n < NODES; n++)
    if (nodes[n].ev && peers_count_links (&nodes[n].prs) != links)
      return false;
  return true;
}

static void
publish (int n, uint32_t in_flight)
{
  ck_assert_int_eq (peers_publish_load (&nodes[n].prs, "t", in_flight, 8), 0);
}

/* Guards against pairs of nodes whose two links keep replacing each other, and
   against load, health or heartbeat values that do not reach all peers.  */
START_TEST (test_mesh)
{
  struct member_info list[8];
  start_mesh (4);
  for (int n = 0; n < 4; n++)
    publish (n, 1 << n);
  peers_publish_health (&nodes[3].prs, "t", true);
  peers_set_ready (&nodes[0].prs, true);
  peers_set_folded_offset (&nodes[0].prs, 99);
  WAIT_FOR (all_linked (3));
  for (int n = 0; n < 4; n++)
    WAIT_FOR (total_load (&nodes[n]) == 15 - (1u << n));
  WAIT_FOR (nodes[0].ejected[0] || nodes[0].ejected[1] || nodes[0].ejected[2]);
  publish (0, 0);
  WAIT_FOR (total_load (&nodes[1]) == 12);

  uint64_t folded = 0;
  WAIT_FOR (peers_list_members (&nodes[1].prs, list, 8) == 3);
  for (int n = 0; n < 3; n++)
    if (strcmp (list[n].name, "a") == 0 && list[n].ready)
      folded = list[n].folded_offset;
  ck_assert_uint_eq (folded, 99);

  uint64_t lost = counter_get (&nodes[2].ctr, CTR_PEER_LINKS_LOST);
  for (int n = 0; n < 50; n++)
    run_nodes ();
  ck_assert (all_linked (3));
  ck_assert_uint_eq (counter_get (&nodes[2].ctr, CTR_PEER_LINKS_LOST), lost);
  ck_assert_uint_eq (nodes[0].dead, 0);
}
END_TEST

/* Guards against losing both links when two nodes dial each other at the same
   time and each closes the link that the other one keeps.  */
START_TEST (test_simultaneous)
{
  struct peers_settings set;
  static struct clock_manual man; /* outlives the test */
  char list[64];
  clock_manual_init (&man, 0);
  node_clock = &man.clk;
  for (int n = 0; n < 2; n++)
    {
      node_settings (&set, n);
      set.backoff_min_us = set.backoff_max_us = 10000;
      set.load.min_interval_us = 1000;
      node_start (n, &set);
    }
  for (int n = 0; n < 2; n++)
    {
      snprintf (list, sizeof list, "127.0.0.1:%u", nodes[1 - n].port);
      ck_assert_int_eq (peers_set_addresses (&nodes[n].prs, list), 0);
    }
  /* Both dial at their next tick, and not again as the clock stands still.  */
  man.now_us = 10000;
  /* The order in which the two nodes handle events is random, and another one
     for each seed.  */
  printf ("seed %d\n", _i);
  srand (_i);
  for (int n = 0; n < 200; n++)
    ck_assert_int_eq (tevent_loop_once (nodes[rand () % 2].ev), 0);
  WAIT_FOR (all_linked (1));
  for (int n = 0; n < 2; n++)
    ck_assert_uint_le (counter_get (&nodes[n].ctr, CTR_PEER_LINKS_LOST), 1);
}
END_TEST

/* Guards against a peer that is not connected again after its process was
   restarted, and against counting load of the old process.  */
START_TEST (test_reconnect)
{
  struct peers_settings set;
  char list[64];
  start_mesh (2);
  publish (1, 5);
  WAIT_FOR (total_load (&nodes[0]) == 5);
  node_stop (1);
  WAIT_FOR (peers_count_links (&nodes[0].prs) == 0);
  node_settings (&set, 1);
  set.incarnation = 2;
  node_start (1, &set);
  snprintf (list, sizeof list, "127.0.0.1:%u", nodes[0].port);
  ck_assert_int_eq (peers_set_addresses (&nodes[1].prs, list), 0);
  WAIT_FOR (nodes[0].incarnation == 2);
  ck_assert_uint_eq (total_load (&nodes[0]), 0);
  publish (1, 6);
  WAIT_FOR (total_load (&nodes[0]) == 6);
}
END_TEST

/* Guards against a frozen peer that stays alive, whose load does not expire,
   or that is not connected again when it resumes, and against a resumed
   process that reports its peers as suspect or dead.  */
START_TEST (test_freeze)
{
  struct peers_settings set;
  char list[64];
  for (int n = 0; n < 2; n++)
    {
      node_settings (&set, n);
      set.member.suspect_after_us = 100000;
      set.member.dead_after_us = 300000;
      set.view.ttl_us = 200000;
      node_start (n, &set);
    }
  snprintf (list, sizeof list, "127.0.0.1:%u", nodes[0].port);
  ck_assert_int_eq (peers_set_addresses (&nodes[1].prs, list), 0);
  publish (1, 3);
  WAIT_FOR (total_load (&nodes[0]) == 3);
  nodes[1].frozen = true;
  WAIT_FOR (nodes[0].suspect > 0);
  WAIT_FOR (total_load (&nodes[0]) == 0);
  WAIT_FOR (nodes[0].dead > 0 && peers_count_links (&nodes[0].prs) == 0);
  unsigned int alive = nodes[0].alive;
  nodes[1].frozen = false;
  /* What node 0 sent meanwhile has not been read at the first tick.  */
  run_nodes ();
  ck_assert_uint_eq (nodes[1].suspect + nodes[1].dead, 0);
  WAIT_FOR (nodes[0].alive > alive && total_load (&nodes[0]) == 3);
  WAIT_FOR (all_linked (1));
}
END_TEST

/* A peer implemented with the frame codec alone, on a non-blocking socket.
   While it waits for data, the nodes are run.  */
struct raw_peer
{
  int fd;
  struct frame_key in, out;
  uint64_t seq_in, seq_out;
  struct frame_reader rd;
};

static int
raw_connect (uint16_t port)
{
  struct sockaddr_in addr = { .sin_family = AF_INET,
                              .sin_port = htons (port),
                              .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int size = 4096;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_ge (fd, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&addr, sizeof addr), 0);
  ck_assert_int_eq (fcntl (fd, F_SETFL, O_NONBLOCK), 0);
  return fd;
}

static void
raw_send (struct raw_peer *rw, PeerFrame *msg)
{
  uint8_t *buf;
  size_t len;
  msg->version = FRAME_VERSION;
  msg->sequence = rw->seq_out++;
  ck_assert_int_eq (frame_seal (&rw->out, msg, ctx, &buf, &len), 0);
  ck_assert_int_eq (send (rw->fd, buf, len, MSG_NOSIGNAL), len);
  talloc_free (buf);
}

static void
raw_hello (struct raw_peer *rw, const char *name, const uint8_t *nonce)
{
  PeerHello hello = PEER_HELLO__INIT;
  PeerFrame msg = PEER_FRAME__INIT;
  hello.nonce.data = (uint8_t *)nonce;
  hello.nonce.len = FRAME_NONCE_BYTES;
  hello.data_centre = "dc";
  msg.sender = (char *)name;
  msg.incarnation = 1;
  msg.body_case = PEER_FRAME__BODY_HELLO;
  msg.hello = &hello;
  raw_send (rw, &msg);
}

static void
raw_heartbeat (struct raw_peer *rw)
{
  PeerHeartbeat heartbeat = PEER_HEARTBEAT__INIT;
  PeerFrame msg = PEER_FRAME__INIT;
  msg.body_case = PEER_FRAME__BODY_HEARTBEAT;
  msg.heartbeat = &heartbeat;
  raw_send (rw, &msg);
}

static PeerFrame *
raw_receive (struct raw_peer *rw)
{
  const uint8_t *buf;
  size_t len, room;
  PeerFrame *msg;
  while (frame_reader_next (&rw->rd, &buf, &len) != 1)
    {
      uint8_t *to = frame_reader_reserve (&rw->rd, &room);
      ssize_t n;
      WAIT_FOR ((n = recv (rw->fd, to, room, 0)) >= 0 || errno != EAGAIN);
      ck_assert_int_gt (n, 0);
      frame_reader_commit (&rw->rd, n);
    }
  ck_assert_int_eq (frame_open (&rw->in, buf, len, rw->seq_in++, &msg), 0);
  return msg;
}

/* Connects to node 0 under the name "raw" and exchanges hellos.  The next
   frame to send is the first one under the session key.  */
static void
raw_start (struct raw_peer *rw)
{
  struct frame_session ses = { "raw", "a", { 7 }, { 0 } };
  struct frame_key base;
  memset (rw, 0, sizeof *rw);
  frame_key_init (&base, (const uint8_t *)SECRET, strlen (SECRET));
  rw->in = rw->out = base;
  rw->fd = raw_connect (nodes[0].port);
  frame_reader_init (&rw->rd, ctx, FRAME_MAX_BYTES);
  raw_hello (rw, "raw", ses.dialer_nonce);
  PeerFrame *msg = raw_receive (rw);
  ck_assert_int_eq (msg->body_case, PEER_FRAME__BODY_HELLO);
  memcpy (ses.acceptor_nonce, msg->hello->nonce.data, FRAME_NONCE_BYTES);
  peer_frame__free_unpacked (msg, NULL);
  frame_key_derive (&rw->out, &base, &ses, true);
  frame_key_derive (&rw->in, &base, &ses, false);
}

#define SLOW_TARGETS 1000

static uint32_t slow_seen[SLOW_TARGETS];

static void
on_slow_load (void *arg, const char *host, uint32_t in_flight)
{
  slow_seen[atoi (host + 5)] = in_flight;
}

static void
on_slow_health (void *arg, const char *host, bool ejected)
{
}

static void
publish_many (uint32_t value)
{
  char name[LOAD_NAME_MAX];
  for (int n = 0; n < SLOW_TARGETS; n++)
    {
      snprintf (name, sizeof name, "host-%04d", n);
      ck_assert_int_eq (
          peers_publish_load (&nodes[0].prs, name, value % 60 + 1, 8), 0);
    }
}

static bool
all_slow_seen (uint32_t value)
{
  for (int n = 0; n < SLOW_TARGETS; n++)
    if (slow_seen[n] != value % 60 + 1)
      return false;
  return true;
}

/* Guards the handling of a peer that reads too slowly.  Its queue must not
   grow without bound.  When it reads again it must get the heartbeats of the
   meantime and the current values, although deltas were dropped.  When it
   stops reading for good, its link must be closed.  */
START_TEST (test_slow_reader)
{
  static const struct load_view_events view_events
      = { on_slow_load, on_slow_health };
  struct peers_settings set;
  struct load_view view;
  struct raw_peer rw;
  node_settings (&set, 0);
  set.stall_timeout_us = 2000000;
  set.load.budget_bytes_per_s = 0; /* no limit, to fill the queue soon */
  set.member.suspect_after_us = set.member.dead_after_us = WAIT_US;
  set.member.remove_after_us = 2 * WAIT_US;
  set.load.refresh_us = 2 * WAIT_US;
  node_start (0, &set);
  ck_assert_int_eq (
      load_view_init (&view, ctx, &set.view, &view_events, &nodes[1]), 0);
  load_view_frame_received (&view, 0);
  raw_start (&rw);
  raw_heartbeat (&rw);
  WAIT_FOR (peers_count_links (&nodes[0].prs) == 1);
  uint32_t value = 0;
  WAIT_FOR ((publish_many (++value),
             counter_get (&nodes[0].ctr, CTR_PEER_DELTAS_DROPPED) > 0));
  ck_assert_uint_lt (talloc_total_size (ctx), 4 << 20);
  uint64_t due = clock_now_us (&clock_system) + 5 * set.heartbeat_interval_us;
  WAIT_FOR (clock_now_us (&clock_system) >= (int64_t)due);

  unsigned int heartbeats = 0;
  while (heartbeats < 5 || !all_slow_seen (value))
    {
      PeerFrame *msg = raw_receive (&rw);
      int err = 0;
      if (msg->body_case == PEER_FRAME__BODY_HEARTBEAT)
        heartbeats++;
      else if (msg->body_case == PEER_FRAME__BODY_NAMES)
        err = load_view_names (&view, msg->names);
      else if (msg->body_case == PEER_FRAME__BODY_LOAD)
        err = load_view_load (&view, msg->sequence, msg->load);
      ck_assert_int_eq (err, 0);
      peer_frame__free_unpacked (msg, NULL);
    }
  ck_assert_uint_eq (peers_count_links (&nodes[0].prs), 1);
  load_view_fini (&view);

  WAIT_FOR ((publish_many (++value), peers_count_links (&nodes[0].prs) == 0));
  close (rw.fd);
}
END_TEST

/* Guards against keeping a link whose send queue is below its limit but never
   empties, because the peer reads nothing.  */
START_TEST (test_stalled)
{
  struct peers_settings set;
  struct raw_peer rw;
  node_settings (&set, 0);
  set.heartbeat_interval_us = 500000; /* heartbeats must not fill the queue */
  set.stall_timeout_us = 500000;
  set.load.budget_bytes_per_s = 0;
  set.member.suspect_after_us = set.member.dead_after_us = 4 * WAIT_US;
  set.member.remove_after_us = 4 * WAIT_US;
  node_start (0, &set);
  raw_start (&rw);
  raw_heartbeat (&rw);
  uint32_t value = 0;
  WAIT_FOR ((publish_many (++value),
             counter_get (&nodes[0].ctr, CTR_PEER_DELTAS_DROPPED) > 0));
  WAIT_FOR (peers_count_links (&nodes[0].prs) == 0);
  close (rw.fd);
}
END_TEST

/* Guards against adding a member because of a recorded hello, and against
   keeping the link after a replayed frame or a malformed one with a valid
   MAC.  */
START_TEST (test_replayed)
{
  struct peers_settings set;
  struct member_info list[2];
  struct raw_peer rw;
  node_settings (&set, 0);
  node_start (0, &set);

  raw_start (&rw); /* the first frame is not under the session key */
  frame_key_init (&rw.out, (const uint8_t *)SECRET, strlen (SECRET));
  raw_heartbeat (&rw);
  WAIT_FOR (counter_get (&nodes[0].ctr, CTR_PEER_REJECTED) == 1);
  ck_assert_uint_eq (peers_list_members (&nodes[0].prs, list, 2), 0);
  close (rw.fd);

  raw_start (&rw);
  raw_heartbeat (&rw);
  WAIT_FOR (peers_count_links (&nodes[0].prs) == 1);
  rw.seq_out--;
  raw_heartbeat (&rw);
  WAIT_FOR (peers_count_links (&nodes[0].prs) == 0);
  close (rw.fd);

  LoadDelta load = LOAD_DELTA__INIT;
  PeerFrame msg = PEER_FRAME__INIT;
  raw_start (&rw);
  raw_heartbeat (&rw);
  WAIT_FOR (peers_count_links (&nodes[0].prs) == 1);
  load.first = UINT32_MAX;
  load.span = 1;
  msg.body_case = PEER_FRAME__BODY_LOAD;
  msg.load = &load;
  raw_send (&rw, &msg);
  WAIT_FOR (peers_count_links (&nodes[0].prs) == 0);
  close (rw.fd);
}
END_TEST

/* Guards against many connections without the key that stay open or keep real
   peers from connecting.  */
START_TEST (test_flood)
{
  struct raw_peer rw = { 0 };
  int fds[RAW_SOCKETS];
  uint8_t nonce[FRAME_NONCE_BYTES] = { 0 };
  start_mesh (1);
  frame_key_init (&rw.out, (const uint8_t *)"fedcba9876543210", 16);
  for (int n = 0; n < RAW_SOCKETS; n++)
    {
      fds[n] = raw_connect (nodes[0].port);
      if (n % 3 == 0) /* a wrong MAC */
        {
          rw.fd = fds[n];
          rw.seq_out = 0;
          raw_hello (&rw, "raw", nonce);
        }
      else if (n % 3 == 1) /* a length above the limit for a hello */
        send (fds[n], "\x00\x00\x10\x00", 4, MSG_NOSIGNAL);
      run_nodes ();
    }
  struct peers_settings set;
  char list[64];
  node_settings (&set, 1);
  node_start (1, &set);
  snprintf (list, sizeof list, "127.0.0.1:%u", nodes[0].port);
  ck_assert_int_eq (peers_set_addresses (&nodes[1].prs, list), 0);
  WAIT_FOR (all_linked (1));

  /* At most max_pending unverified connections are open now, and none after
     the handshake time-out.  */
  uint64_t rejected = counter_get (&nodes[0].ctr, CTR_PEER_REJECTED);
  ck_assert_uint_ge (rejected, RAW_SOCKETS - set.max_pending);
  WAIT_FOR (counter_get (&nodes[0].ctr, CTR_PEER_REJECTED) == RAW_SOCKETS);
  ck_assert_uint_eq (nodes[0].alive, 1);
  ck_assert (all_linked (1));
  for (int n = 0; n < RAW_SOCKETS; n++)
    close (fds[n]);
}
END_TEST

/* Guards against accepting settings and addresses that cannot work.  */
START_TEST (test_invalid)
{
  struct peers_settings set;
  struct peers prs;
  struct tevent_context *ev = tevent_context_init (ctx);
  struct counters ctr = { 0 };
  uint16_t port;
  node_settings (&set, 0);
  set.secret_len = 15;
  ck_assert_int_eq (peers_init (&prs, ctx, &set, &events, NULL, ev,
                                &clock_system, NULL, &ctr),
                    ERR_INVALID);
  node_settings (&set, 0);
  set.name = "";
  ck_assert_int_eq (peers_init (&prs, ctx, &set, &events, NULL, ev,
                                &clock_system, NULL, &ctr),
                    ERR_INVALID);
  node_settings (&set, 0);
  node_start (0, &set);
  ck_assert_int_eq (peers_listen (&nodes[0].prs, "127.0.0.1", 0, &port),
                    ERR_EXISTS);
  static const char *const lists[]
      = { "127.0.0.1", "127.0.0.1:1,", ",127.0.0.1:1", "127.0.0.1:0", "x:1" };
  for (size_t n = 0; n < sizeof lists / sizeof *lists; n++)
    ck_assert_int_eq (peers_set_addresses (&nodes[0].prs, lists[n]),
                      ERR_INVALID);
  ck_assert_int_eq (peers_set_addresses (&nodes[0].prs, ""), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("peer_link");
  TCase *tc = tcase_create ("peer_link");
  tcase_set_timeout (tc, 120);
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_mesh);
  tcase_add_loop_test (tc, test_simultaneous, 0, 20);
  tcase_add_test (tc, test_reconnect);
  tcase_add_test (tc, test_freeze);
  tcase_add_test (tc, test_slow_reader);
  tcase_add_test (tc, test_stalled);
  tcase_add_test (tc, test_replayed);
  tcase_add_test (tc, test_flood);
  tcase_add_test (tc, test_invalid);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
