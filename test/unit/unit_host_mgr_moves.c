#include <check.h>
#include <ctype.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "fleet/host_mgr.h"

/* Tests of fleet/host_mgr_moves.c: which hosts go to the pools that need
   them.  */

#define S 1000000

static struct host_mgr mgr;
static void *ctx;
static int64_t now_us;

static void
on_vacate (void *arg, struct mgr_host *host, int64_t grace_ms)
{
  host->request_offset = 1;
}

static void
on_withdraw (void *arg, struct mgr_host *host)
{
}

static void
on_order (void *arg, struct mgr_host *host)
{
}

static void
on_wave (void *arg, struct mgr_wave *wave)
{
}

static struct pool_config pools[] = { { .name = "p" },
                                      { .name = "q" },
                                      { .name = "spare", .spare = true },
                                      { .name = "r" } };
static const struct catalog cat = { .pools = pools, .pool_count = 4 };
static const char *hosts_of_r;

static void
setup (void)
{
  static const struct host_mgr_ops ops = { .vacate = on_vacate,
                                           .withdraw = on_withdraw,
                                           .order = on_order,
                                           .wave_state = on_wave };
  ctx = talloc_new (NULL);
  host_mgr_init (&mgr, ctx, &ops);
  mgr.cat = &cat;
  now_us = 100 * S;
  hosts_of_r = "";
}

static void
teardown (void)
{
  host_mgr_fini (&mgr);
  talloc_free (ctx);
}

/* Sets the platform's list of hosts.  Each letter of P, Q and SPARE names a
   host in the pool of that name, and of hosts_of_r one in the pool r.  Its
   labels are its own name, and "first" in the first half of the alphabet.  A
   capital letter is a host that is down. */
static void
list_hosts (const char *p, const char *q, const char *spare)
{
  struct host_report reps[32];
  size_t count = 0;
  const char *const names[] = { p, q, spare, hosts_of_r };
  for (size_t n = 0; n < 4; n++)
    for (const char *chr = names[n]; *chr; chr++)
      {
        struct host_report *rep = &reps[count++];
        *rep = (struct host_report){ .state
                                     = isupper (*chr) ? HOST_DOWN : HOST_UP,
                                     .label_count = 1 };
        rep->name[0] = rep->labels[0][0] = (char)tolower (*chr);
        if (tolower (*chr) <= 'm')
          name_copy (rep->labels[rep->label_count++], "first");
        snprintf (rep->worker, NAME_BYTES, "w-%c", *chr);
        name_copy (rep->pool, pools[n].name);
      }
  const struct host_list lst = { .hosts = reps, .count = count };
  ck_assert_int_eq (host_mgr_set_hosts (&mgr, ctx, &lst, now_us), 0);
}

struct wants
{
  uint32_t needed;
  const char *label; /* of the needed ones */
  uint32_t urgent;
  uint32_t late;    /* short of, in all */
  const char *idle; /* letters of hosts */
};

/* PLACELESS of the needed hosts are for tasks without a run.  */
static void
demand_placeless (const char *pool, const struct wants *wants,
                  uint32_t placeless)
{
  size_t count = wants->idle ? strlen (wants->idle) : 0;
  char (*names)[NAME_BYTES]
      = talloc_zero_size (ctx, (count + 1) * sizeof *names);
  for (size_t n = 0; n < count; n++)
    names[n][0] = wants->idle[n];
  const struct pool_demand dem = { .pool = pool,
                                   .short_hosts = wants->late,
                                   .urgent_hosts = wants->urgent,
                                   .needed_hosts = wants->needed,
                                   .placeless_hosts = placeless,
                                   .needed_label = wants->label,
                                   .idle = names,
                                   .idle_count = count };
  host_mgr_set_demand (&mgr, &dem, now_us);
}

static void
demand (const char *pool, const struct wants *wants)
{
  demand_placeless (pool, wants, 0);
}

static void
step (int64_t ms)
{
  now_us += ms * 1000;
  host_mgr_step (&mgr, now_us);
}

/* Writes the moves to POOL in progress, or all if it is NULL, as "HOST>POOL ",
   in the order of the list.  */
static void
format_moves_to (const char *pool, char text[128])
{
  text[0] = '\0';
  for (size_t n = 0; n < mgr.host_count; n++)
    if (mgr.hosts[n].current_op == OP_MOVE
        && (!pool || strcmp (mgr.hosts[n].dest_pool, pool) == 0))
      {
        size_t len = strlen (text);
        int added = snprintf (text + len, 128 - len, "%s>%s ",
                              mgr.hosts[n].rep.name, mgr.hosts[n].dest_pool);
        ck_assert_uint_lt ((size_t)added, 128 - len);
      }
}

static void
format_moves (char text[128])
{
  format_moves_to (NULL, text);
}

static const struct
{
  const char *p, *q, *spare;
  struct wants of_p, of_q;
  const char *moves;
} moves[] = {
  /* Needed hosts come before urgent work, and that before late work.  */
  { "abc", "def", "x", { 0, "", 1, 1, "" }, { 1, "", 1, 1, "" }, "x>q " },
  { "abc", "def", "xy", { 0, "", 0, 2, "" }, { 1, "", 1, 1, "" }, "x>q y>p " },
  { "abc",
    "def",
    "xyz",
    { 0, "", 1, 1, "" },
    { 1, "", 3, 3, "" },
    "x>q y>p z>q " },
  /* A host with the label, whichever comes first.  */
  { "abc", "def", "xyz", { 1, "y", 1, 1, "" }, { 0 }, "y>p " },
  { "abc", "def", "xkyl", { 2, "first", 2, 2, "" }, { 0 }, "k>p l>p " },
  /* Others are no replacement, but the pool's other work gets its hosts.  */
  { "abc", "def", "xyz", { 1, "none", 1, 1, "" }, { 0 }, "" },
  { "abc", "def", "xyz", { 1, "none", 1, 2, "" }, { 0 }, "x>p " },
  { "abc", "def", "xyz", { 1, "y", 1, 2, "" }, { 0 }, "x>p y>p " },
  /* An idle host, also of a pool with late work or that lacks a label.  */
  { "abc", "def", "", { 1, "", 1, 1, "" }, { .idle = "e" }, "e>p " },
  { "abc", "def", "", { 1, "", 1, 1, "" }, { 0, "", 0, 9, "e" }, "e>p " },
  { "abc", "def", "", { 1, "", 1, 1, "" }, { 1, "x", 1, 1, "e" }, "e>p " },
  { "abc", "def", "", { 0, "", 0, 1, "" }, { 0, "", 0, 9, "e" }, "" },
  /* A host that is in use, of a pool with many more.  */
  { "abc", "defghi", "", { 1, "", 1, 1, "" }, { 0, "", 9, 9, "" }, "d>p " },
  { "abc", "defghi", "", { 1, "g", 1, 1, "" }, { 0, "", 9, 9, "" }, "g>p " },
  { "abc", "defghi", "", { 1, "x", 1, 1, "" }, { 0, "", 9, 9, "" }, "" },
  { "abc", "defghi", "x", { 1, "", 1, 1, "" }, { 0, "", 9, 9, "" }, "x>p " },
  { "abc", "defghi", "", { 0, "", 1, 1, "" }, { 0 }, "" },
  { "abc", "defg", "", { 1, "", 1, 1, "" }, { 0, "", 9, 9, "" }, "" },
  { "abc", "defghi", "", { 1, "", 1, 1, "" }, { 1, "", 9, 9, "" }, "" },
  /* Not more of them at a time than a third of the pool, than BUSY_HOSTS_MAX,
     and than would make the other pool the smaller one.  */
  { "a", "defghi", "", { 5, "", 5, 5, "" }, { 0, "", 9, 9, "" }, "d>p e>p " },
  { "a", "defgh", "", { 5, "", 5, 5, "" }, { 0, "", 9, 9, "" }, "d>p " },
  { "a", "Defghi", "", { 5, "", 5, 5, "" }, { 0, "", 9, 9, "" }, "e>p " },
  { "a",
    "defghijklmn",
    "",
    { 5, "", 5, 5, "" },
    { 0, "", 9, 9, "" },
    "d>p e>p " },
  { "abc", "defghi", "", { 5, "", 5, 5, "" }, { 0, "", 9, 9, "" }, "d>p " },
  /* Hosts that are down make neither pool larger.  */
  { "abCD", "efghi", "", { 1, "", 1, 1, "" }, { 0, "", 9, 9, "" }, "e>p " },
  { "abCD", "efgHI", "", { 1, "", 1, 1, "" }, { 0, "", 9, 9, "" }, "" },
};

/* Guards against a perpetual task that waits for a host with the right label
   while the hosts go to other work, and against hosts that are taken in
   vain.  */
START_TEST (test_needed_moves)
{
  char text[128];
  list_hosts (moves[_i].p, moves[_i].q, moves[_i].spare);
  demand ("p", &moves[_i].of_p);
  demand ("q", &moves[_i].of_q);
  step (10);
  /* Hosts in use are taken only for what is needed for some time.  What is on
     its way is not asked for again.  */
  step (500);
  step (10);
  format_moves (text);
  ck_assert_str_eq (text, moves[_i].moves);
}
END_TEST

static const struct
{
  struct wants of_q;
  const char *moves;
} redirections[] = {
  { { 0, "", 1, 1, "" }, "a>q " },
  { { 1, "", 1, 1, "" }, "a>spare x>q " },
  { { 2, "", 2, 2, "" }, "a>q x>q " },
};

/* Guards against a perpetual task that waits for a host which has to be
   emptied first, and perhaps cannot be, beside an empty one.  */
START_TEST (test_needed_redirections)
{
  const struct wants idle = { .idle = "a" };
  char text[128];
  list_hosts ("abc", "def", "x");
  for (int n = 0; n < 2; n++)
    {
      demand ("p", &idle);
      step (1600);
    }
  format_moves (text);
  ck_assert_str_eq (text, "a>spare ");
  demand ("q", &redirections[_i].of_q);
  step (0);
  format_moves (text);
  ck_assert_str_eq (text, redirections[_i].moves);
}
END_TEST

/* Guards against two pools that take a host from each other in turn, each time
   with the tasks that run there.  */
START_TEST (test_host_taken_back)
{
  const struct wants needy = { 1, "", 9, 9, "" };
  const struct wants busy = { 0, "", 9, 9, "" };
  char text[128];
  list_hosts ("abcd", "efghij", "");
  demand ("p", &needy);
  demand ("q", &busy);
  step (10);
  format_moves (text);
  ck_assert_str_eq (text, "");
  step (500);
  format_moves (text);
  ck_assert_str_eq (text, "e>p ");
  host_mgr_host_emptied (&mgr, "e", 1, now_us);
  step (10);
  struct mgr_host *host = host_mgr_find (&mgr, "e");
  host_mgr_order_answered (&mgr, host, HOST_ORDER_DONE, now_us);
  now_us += 5 * S;
  list_hosts ("abcde", "fghij", "");
  step (10);
  ck_assert_int_eq (host->phase, PHASE_NONE);
  now_us += S;
  demand ("p", &busy);
  demand ("q", &needy);
  step (10);
  step (500);
  format_moves (text);
  ck_assert_str_eq (text, "");
}
END_TEST

static const struct
{
  uint32_t needed;
  int refused_s; /* seconds since the pool refused to vacate a host, or -1 */
  const char *moves;
  uint32_t placeless;
} refusals[] = {
  { 1, -1, "d>p ", 0 },
  { 1, 0, "", 0 },
  { 2, 0, "d>p ", 0 },
  { 1, 9, "", 0 },
  { 1, 30, "d>p ", 0 },
  /* The tasks that need the host do not run.  */
  { 1, 0, "d>p ", 1 },
  { 1, 9, "d>p ", 1 },
  { 2, 0, "d>p ", 1 },
};

/* Guards against batch work that is stopped so that a pool can give up a host
   of its own, whose tasks run: that can wait for a spare one; and against
   tasks without a run that wait for as long as hosts are refused (LOST).  */
START_TEST (test_needed_for_refused)
{
  char text[128];
  const struct wants needy
      = { refusals[_i].needed, "", refusals[_i].needed, 9, "" };
  const struct wants busy = { 0, "", 9, 9, "" };
  list_hosts ("abc", "defghij", "");
  if (refusals[_i].refused_s >= 0)
    {
      struct mgr_host *host = host_mgr_find (&mgr, "b");
      host->refusals = 1;
      host->refused_remained = 3;
      host->refused_until_us = now_us - refusals[_i].refused_s * S + S;
    }
  demand_placeless ("p", &needy, refusals[_i].placeless);
  demand ("q", &busy);
  step (10);
  step (500);
  format_moves (text);
  ck_assert_str_eq (text, refusals[_i].moves);
}
END_TEST

/* Guards against a second host for what one is enough for: the owner has not
   reported yet that the first one has arrived.  */
START_TEST (test_needed_host_arrives)
{
  const struct wants needy = { 1, "", 1, 1, "" };
  const struct wants nothing = { 0 };
  char text[128];
  list_hosts ("abc", "def", "xy");
  demand ("p", &needy);
  demand ("q", &nothing);
  step (10);
  step (10);
  struct mgr_host *host = host_mgr_find (&mgr, "x");
  ck_assert_int_eq (host->phase, PHASE_ORDERED);
  host_mgr_order_answered (&mgr, host, HOST_ORDER_DONE, now_us);
  now_us += 2 * S;
  list_hosts ("abcx", "def", "y");
  name_copy (host->rep.worker, "w-2");
  demand ("p", &needy);
  step (10);
  ck_assert_int_eq (host->phase, PHASE_NONE);
  step (500);
  format_moves (text);
  ck_assert_str_eq (text, "");
  /* It is still needed, so it was for another reason.  */
  demand ("p", &needy);
  step (1500);
  format_moves (text);
  ck_assert_str_eq (text, "y>p ");
}
END_TEST

/* Guards against idle hosts that are kept, at a price, for as long as a task
   waits for a label that no host has.  */
START_TEST (test_spare_despite_label)
{
  const struct wants lacking = { 1, "none", 1, 1, "a" };
  const struct wants idle = { .idle = "d" };
  char text[128];
  list_hosts ("abc", "def", "");
  for (int n = 0; n < 3; n++)
    {
      demand ("p", &lacking);
      demand ("q", &idle);
      step (1000);
    }
  format_moves (text);
  ck_assert_str_eq (text, "a>spare d>spare ");
}
END_TEST

/* Guards against a host with a label that is not asked for because another one
   is already on its way for other work.  */
START_TEST (test_label_beside_incoming)
{
  const struct wants late = { 0, "", 0, 1, "" };
  const struct wants labelled = { 1, "y", 1, 2, "" };
  const struct wants nothing = { 0 };
  char text[128];
  list_hosts ("abc", "def", "xyz");
  demand ("p", &late);
  demand ("q", &nothing);
  step (10);
  demand ("p", &labelled);
  step (10);
  format_moves (text);
  ck_assert_str_eq (text, "x>p y>p ");
}
END_TEST

/* Writes "NEEDED after MS: INCOMING HOST STATE; " and the counts by obstacle
   of each need that is to be reported.  */
static void
format_awaited (char text[256])
{
  static const char *const names[OBSTACLE_COUNT]
      = { "spare",     "idle",    "in_use",  "not_up",
          "operation", "cooling", "refused", "label" };
  struct awaited_report rep;
  FILE *out = fmemopen (text, 256, "w");
  text[0] = '\0';
  ck_assert_ptr_nonnull (out);
  while (host_mgr_next_awaited (&mgr, now_us, &rep))
    {
      fprintf (out, "%s needs %u, %d ms: %u %s", rep.pool->name,
               rep.pool->needed_hosts, (int)(rep.for_us / 1000), rep.incoming,
               rep.host ? rep.host->rep.name : "");
      if (rep.kept)
        fprintf (out, " kept=%u", rep.kept);
      if (rep.late)
        fprintf (out, " late=%u", rep.late);
      for (int n = 0; n < OBSTACLE_COUNT; n++)
        if (rep.obstacles[n])
          fprintf (out, " %s=%u", names[n], rep.obstacles[n]);
      fprintf (out, ";");
    }
  fclose (out);
}

static const struct
{
  const char *q, *spare;
  struct wants of_p, of_q;
  int steps; /* of 250 ms */
  const char *report;
  bool kept; /* its owner has refused to vacate b */
} awaits[] = {
  { "def", "xy", { .needed = 1 }, { 0 }, 9, "", false },
  { "def",
    "xy",
    { .needed = 1 },
    { 0 },
    10,
    "p needs 1, 2500 ms: 1 x spare=1 in_use=3;",
    false },
  { "def", "xy", { .needed = 1 }, { 0 }, 29, "", false },
  { "def",
    "xy",
    { .needed = 1 },
    { 0 },
    30,
    "p needs 1, 7500 ms: 1 x spare=1 in_use=3;",
    false },
  { "def",
    "x",
    { .needed = 3 },
    { 0 },
    10,
    "p needs 3, 2500 ms: 1 x in_use=3;",
    false },
  { "dE",
    "X",
    { .needed = 1 },
    { 0 },
    10,
    "p needs 1, 2500 ms: 0  in_use=1 not_up=2;",
    false },
  { "d",
    "xk",
    { .needed = 1, .label = "y" },
    { 0 },
    10,
    "p needs 1, 2500 ms: 0  label=3;",
    false },
  { "d",
    "xk",
    { .needed = 1, .label = "k" },
    { 0 },
    10,
    "p needs 1, 2500 ms: 1 k label=2;",
    false },
  { "d",
    "",
    { .needed = 1 },
    { .needed = 1 },
    10,
    "p needs 1, 2500 ms: 0  in_use=1;q needs 1, 2500 ms: 0  in_use=3;",
    false },
  { "de",
    "x",
    { .needed = 1 },
    { .needed = 1 },
    10,
    "p needs 1, 2500 ms: 1 x in_use=2;"
    "q needs 1, 2500 ms: 0  in_use=3 operation=1;",
    false },
  { "d", "x", { .urgent = 1, .late = 1 }, { 0 }, 10, "", false },
  { "d",
    "",
    { .needed = 1 },
    { .idle = "d" },
    10,
    "p needs 1, 2500 ms: 1 d late=1;",
    false },
  { "d",
    "",
    { .needed = 1 },
    { 0 },
    10,
    "p needs 1, 2500 ms: 0  kept=1 in_use=1;",
    true },
};

/* Guards against a perpetual task that waits for a host while no line says for
   which one, and why no other one is taken.  */
START_TEST (test_awaited_hosts)
{
  char text[256] = "";
  list_hosts ("abc", awaits[_i].q, awaits[_i].spare);
  demand ("p", &awaits[_i].of_p);
  demand ("q", &awaits[_i].of_q);
  host_mgr_find (&mgr, "b")->refusals = awaits[_i].kept;
  host_mgr_find (&mgr, "b")->refused_until_us = now_us;
  step (0);
  for (int n = 0; n < awaits[_i].steps; n++)
    {
      list_hosts ("abc", awaits[_i].q, awaits[_i].spare);
      demand ("p", &awaits[_i].of_p);
      demand ("q", &awaits[_i].of_q);
      step (250);
      format_awaited (text);
    }
  ck_assert_str_eq (text, awaits[_i].report);
}
END_TEST

/* What happens to a host that is on its way, in the order of the phases.  */
enum mishap
{
  NOTHING,
  NOT_VACATED,   /* the pool's owner does not answer */
  DOWN_VACATING, /* it crashes while it is being vacated */
  BUSY_ORDER,    /* the platform cannot carry the order out */
  LOST_ORDER,    /* the order has no answer, but another one has */
  NO_ANSWERS,    /* no order has an answer */
  DOWN_MOVING,   /* it crashes after its order */
  NO_WORKER,     /* it stays in its move */
  NO_LIST,       /* the list of hosts is away */
  DOWN_ARRIVED,  /* it crashes when it has just arrived */
};

/* Lists the hosts again.  The first host on its way, x or d, is as MISHAP
   leaves it.  */
static void
list_after (const char *q, const char *spare, enum mishap mishap)
{
  char moved[2] = { *spare ? *spare : *q, '\0' };
  const char *rest_q = *spare ? q : q + 1;
  const char *rest_spare = *spare ? spare + 1 : spare;
  char p[8];
  if (mishap == NO_LIST)
    return;
  if (mishap < DOWN_MOVING && mishap != DOWN_VACATING)
    {
      list_hosts ("abc", q, spare);
      return;
    }
  if (mishap != NO_WORKER)
    moved[0] = (char)toupper (moved[0]);
  if (mishap == DOWN_VACATING)
    {
      char all_q[32];
      snprintf (all_q, sizeof all_q, "%s%s", moved, rest_q);
      list_hosts ("abc", *spare ? q : all_q, spare);
      return;
    }
  snprintf (p, sizeof p, "abc%s", moved);
  list_hosts (p, rest_q, rest_spare);
  if (mishap == NO_WORKER)
    host_mgr_find (&mgr, moved)->rep.state = HOST_MOVING;
}

static const struct
{
  const char *q, *spare;
  struct wants of_p, of_q;
  enum mishap mishap;
  int after_ms; /* since the begin of the move */
  const char *moves;
} late_hosts[] = {
  /* It is replaced when it is shown as down, for urgent and late work too.  */
  { "def", "xy", { .needed = 1 }, { 0 }, DOWN_MOVING, 400, "x>p y>p " },
  { "def",
    "xy",
    { .urgent = 1, .late = 1 },
    { 0 },
    DOWN_MOVING,
    400,
    "x>p y>p " },
  { "def", "xy", { .late = 1 }, { 0 }, DOWN_MOVING, 400, "x>p y>p " },
  { "def", "xy", { .needed = 1 }, { 0 }, DOWN_ARRIVED, 400, "y>p " },
  { "def",
    "",
    { .needed = 1 },
    { .idle = "def" },
    DOWN_VACATING,
    400,
    "d>p e>p " },
  /* Or when its move takes longer than any does, by a list that would show
     it.  */
  { "def", "xy", { .needed = 1 }, { 0 }, NO_WORKER, 2900, "x>p " },
  { "def", "xy", { .needed = 1 }, { 0 }, NO_WORKER, 3500, "x>p y>p " },
  { "def",
    "xy",
    { .urgent = 1, .late = 1 },
    { 0 },
    NO_WORKER,
    3500,
    "x>p y>p " },
  { "def", "xy", { .needed = 1 }, { 0 }, NO_LIST, 9000, "x>p " },
  /* Or its order, unless the platform answers no other either.  */
  { "def", "xy", { .needed = 1 }, { 0 }, BUSY_ORDER, 50, "x>p y>p " },
  { "def", "xy", { .needed = 1 }, { 0 }, LOST_ORDER, 900, "x>p " },
  { "def", "xy", { .needed = 1 }, { 0 }, LOST_ORDER, 1100, "x>p y>p " },
  { "def", "xy", { .needed = 1 }, { 0 }, NO_ANSWERS, 9000, "x>p " },
  /* Or when it is not empty after the grace.  Other work can wait for that. */
  { "def", "", { .needed = 1 }, { .idle = "def" }, NOT_VACATED, 1900, "d>p " },
  { "def",
    "",
    { .needed = 1 },
    { .idle = "def" },
    NOT_VACATED,
    2100,
    "d>p e>p " },
  { "def",
    "",
    { .urgent = 1, .late = 1 },
    { .idle = "def" },
    NOT_VACATED,
    9000,
    "d>p " },
  /* At most REPLACED_MAX hosts for each one that is wanted are replaced.  */
  { "defghi",
    "",
    { .needed = 1 },
    { .idle = "defghi" },
    NOT_VACATED,
    9000,
    "d>p e>p f>p " },
  { "def", "x", { .needed = 1 }, { 0 }, NOTHING, 1000, "x>p " },
};

/* Guards against a perpetual task that waits while a host that does not come
   counts as one that does (LOST), and against moves without end.  */
START_TEST (test_late_hosts)
{
  char text[128];
  const enum mishap mishap = late_hosts[_i].mishap;
  const char *q = late_hosts[_i].q;
  const char *spare = late_hosts[_i].spare;
  list_hosts ("abc", q, spare);
  demand ("p", &late_hosts[_i].of_p);
  demand ("q", &late_hosts[_i].of_q);
  step (10);
  step (0);
  const int64_t began_us = now_us;
  struct mgr_host *host = host_mgr_find (&mgr, *spare ? "x" : "d");
  ck_assert_int_eq (host->current_op, OP_MOVE);
  if (mishap == BUSY_ORDER)
    host_mgr_order_answered (&mgr, host, HOST_ORDER_BUSY, now_us);
  else if (mishap >= DOWN_MOVING)
    host_mgr_order_answered (&mgr, host, HOST_ORDER_DONE, now_us);
  if (mishap == DOWN_ARRIVED)
    {
      now_us += 10;
      list_after (q, spare, NO_WORKER);
      host->rep.state = HOST_UP;
      name_copy (host->rep.worker, "w-2");
      step (0);
      ck_assert_int_eq (host->phase, PHASE_NONE);
    }
  while (now_us < began_us + (int64_t)late_hosts[_i].after_ms * 1000)
    {
      now_us += 50000;
      list_after (q, spare, mishap);
      demand ("p", &late_hosts[_i].of_p);
      demand ("q", &late_hosts[_i].of_q);
      /* A maintenance elsewhere is answered.  */
      if (mishap == LOST_ORDER)
        host_mgr_order_answered (&mgr, host_mgr_find (&mgr, "f"),
                                 HOST_ORDER_BUSY, now_us);
      step (0);
    }
  format_moves_to ("p", text);
  ck_assert_str_eq (text, late_hosts[_i].moves);
}
END_TEST

static const struct
{
  struct wants of_p;
  int age_ms;   /* of the demand */
  bool arrived; /* a host has come since */
  bool down;    /* and is down */
  const char *moves;
} silences[] = {
  { { .needed = 1 }, 8900, false, false, "y>p " },
  { { .needed = 1 }, 9100, false, false, "" },
  { { .urgent = 1, .late = 1 }, 3900, false, false, "y>p " },
  { { .urgent = 1, .late = 1 }, 4100, false, false, "" },
  { { .needed = 1 }, 8900, true, false, "" },
  { { .needed = 1 }, 8900, true, true, "y>p " },
  { { .needed = 2 }, 8900, true, false, "y>p " },
};

/* Guards against a perpetual task that waits for a host until the next owner
   of its pool has taken over, and against a host for each second of that
   time.  */
START_TEST (test_need_outlives_owner)
{
  char text[128];
  const bool down = silences[_i].down;
  list_hosts ("abc", "def", silences[_i].arrived ? "x" : "");
  demand ("p", &silences[_i].of_p);
  const int64_t asked_us = now_us;
  step (10);
  step (0);
  if (silences[_i].arrived)
    {
      struct mgr_host *host = host_mgr_find (&mgr, "x");
      host_mgr_order_answered (&mgr, host, HOST_ORDER_DONE, now_us);
      now_us += 2 * S;
      list_hosts ("abcx", "def", "");
      name_copy (host->rep.worker, "w-2");
      step (0);
      ck_assert_int_eq (host->phase, PHASE_NONE);
    }
  now_us = asked_us + (int64_t)silences[_i].age_ms * 1000;
  list_hosts (!silences[_i].arrived ? "abc"
              : down                ? "abcX"
                                    : "abcx",
              "def", "y");
  step (0);
  format_moves (text);
  ck_assert_str_eq (text, silences[_i].moves);
}
END_TEST

static const struct
{
  struct wants of_p, of_r;
  const char *r;
  int silent_ms; /* since the last demand of q */
  int after_ms;  /* since the begin of the move */
  const char *moves;
} silent_owners[] = {
  { { .needed = 1 }, { .idle = "g" }, "g", 2400, 100, "d>p " },
  { { .needed = 1 }, { .idle = "g" }, "g", 2600, 100, "g>p " },
  { { .needed = 1 }, { 0 }, "", 2600, 100, "d>p " },
  /* One in use that is vacated is better than another one that is not.  */
  { { .needed = 1 }, { 0 }, "ghijkl", 2600, 1900, "d>p " },
  { { .needed = 1 }, { 0 }, "ghijkl", 2600, 2100, "d>p g>p " },
  { { .urgent = 1, .late = 1 }, { .idle = "g" }, "g", 2600, 100, "d>p " },
};

/* Guards against a perpetual task that waits for one host after the other of a
   pool whose owner has ended.  */
START_TEST (test_needed_from_silent_owner)
{
  const struct wants idle = { .idle = "def" };
  char text[128];
  hosts_of_r = silent_owners[_i].r;
  list_hosts ("abc", "def", "");
  demand ("q", &idle);
  now_us += (int64_t)silent_owners[_i].silent_ms * 1000;
  for (int ms = 0; ms <= silent_owners[_i].after_ms; ms += 100)
    {
      demand ("p", &silent_owners[_i].of_p);
      demand ("r", &silent_owners[_i].of_r);
      step (ms == 0 ? 0 : 100);
    }
  format_moves_to ("p", text);
  ck_assert_str_eq (text, silent_owners[_i].moves);
}
END_TEST

static const struct
{
  const char *q;     /* its hosts, all of them in use */
  const char *after; /* the same as they are after the begin of the moves */
  uint32_t needed;
  bool withdrawn; /* nothing is needed any more */
  int after_ms;   /* since the begin of the moves */
  const char *moves;
} slots[] = {
  { "defghijklmno", "defghijklmno", 3, false, 1900, "d>p e>p " },
  { "defghijklmno", "defghijklmno", 3, false, 2100, "d>p e>p f>p g>p " },
  { "defghijklmno", "defghijklmno", 3, true, 2100, "d>p e>p " },
  { "defghijklmno", "Defghijklmno", 3, false, 200, "d>p e>p f>p " },
  { "defghijklmno", "DEfghijklmno", 3, false, 200, "d>p e>p f>p g>p " },
  /* Of the giver's hosts, a third at most are taken, late ones included.  */
  { "defghi", "defghi", 3, false, 2100, "d>p e>p " },
  { "defghijkl", "defghijkl", 3, false, 4900, "d>p e>p f>p " },
};

/* Guards against a perpetual task that waits until hosts which are down or
   slow to be emptied are given up, before another one in use is taken.  */
START_TEST (test_late_hosts_in_use)
{
  const struct wants needy = { .needed = slots[_i].needed };
  const struct wants busy = { .urgent = 9, .late = 9 };
  const struct wants nothing = { 0 };
  char text[128];
  list_hosts ("a", slots[_i].q, "");
  demand ("p", &needy);
  demand ("q", &busy);
  step (10);
  step (500);
  format_moves (text);
  ck_assert_str_eq (text, "d>p e>p ");
  for (int ms = 0; ms < slots[_i].after_ms; ms += 100)
    {
      list_hosts ("a", slots[_i].after, "");
      demand ("p", slots[_i].withdrawn ? &nothing : &needy);
      demand ("q", &busy);
      step (100);
    }
  format_moves (text);
  ck_assert_str_eq (text, slots[_i].moves);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("host_mgr_moves");
  TCase *tcase = tcase_create ("host_mgr_moves");
  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_loop_test (tcase, test_needed_moves, 0,
                       sizeof moves / sizeof *moves);
  tcase_add_loop_test (tcase, test_needed_redirections, 0,
                       sizeof redirections / sizeof *redirections);
  tcase_add_test (tcase, test_host_taken_back);
  tcase_add_loop_test (tcase, test_needed_for_refused, 0,
                       sizeof refusals / sizeof *refusals);
  tcase_add_test (tcase, test_needed_host_arrives);
  tcase_add_test (tcase, test_spare_despite_label);
  tcase_add_test (tcase, test_label_beside_incoming);
  tcase_add_loop_test (tcase, test_awaited_hosts, 0,
                       sizeof awaits / sizeof *awaits);
  tcase_add_loop_test (tcase, test_late_hosts, 0,
                       sizeof late_hosts / sizeof *late_hosts);
  tcase_add_loop_test (tcase, test_need_outlives_owner, 0,
                       sizeof silences / sizeof *silences);
  tcase_add_loop_test (tcase, test_needed_from_silent_owner, 0,
                       sizeof silent_owners / sizeof *silent_owners);
  tcase_add_loop_test (tcase, test_late_hosts_in_use, 0,
                       sizeof slots / sizeof *slots);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed > 0;
}
