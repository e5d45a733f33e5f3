#include <check.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "fleet/host_mgr.h"
#include "platform/wire_decode.h"

/* Tests of the host manager's requests to vacate hosts: how they end, and what
   a wave does meanwhile.  */

#define S ((int64_t)1000000)
#define STEP_US 30000
#define HOSTS_MAX 16

static struct host_mgr mgr;
static void *ctx;
static int64_t now_us;
static struct host_report reps[HOSTS_MAX]; /* the platform's list */
static size_t rep_count;
static uint64_t next_offset;
static uint32_t asked[HOSTS_MAX]; /* requests by host */
static int64_t asked_us[HOSTS_MAX];
static int64_t asked_gap_us; /* shortest time between two of one host */
static int64_t asked_grace_ms;
static uint32_t orders;
static int64_t ordered_us[HOSTS_MAX]; /* 0: no order to be carried out */
static char over[256]; /* "host:for:reason:ms " of each given-up operation */
static bool completed;
static bool read_requests; /* a request is read as soon as it was made */

static size_t
host_number (const char *name)
{
  for (size_t n = 0; n < rep_count; n++)
    if (strcmp (reps[n].name, name) == 0)
      return n;
  ck_abort_msg ("unknown host %s", name);
}

static void
on_vacate (void *arg, struct mgr_host *host, int64_t grace_ms)
{
  size_t num = host_number (host->rep.name);
  asked[num]++;
  if (asked[num] > 1 && now_us - asked_us[num] < asked_gap_us)
    asked_gap_us = now_us - asked_us[num];
  asked_us[num] = now_us;
  asked_grace_ms = grace_ms;
  next_offset++;
  host->request_offset = read_requests ? next_offset : 0;
}

static void
on_withdraw (void *arg, struct mgr_host *host)
{
}

static void
on_vacate_over (void *arg, const struct mgr_host *host, const char *reason,
                const char *kept_for, int64_t after_us)
{
  size_t len = strlen (over);
  ck_assert ((strcmp (reason, "refused") == 0) == (*kept_for != '\0'));
  snprintf (over + len, sizeof over - len, "%s:%s:%s:%d ", host->rep.name,
            host->current_op == OP_MOVE ? host->dest_pool : "upkeep", reason,
            (int)(after_us / 1000));
}

static void
on_order (void *arg, struct mgr_host *host)
{
  ordered_us[host_number (host->rep.name)] = now_us;
  orders++;
}

static void
on_wave (void *arg, struct mgr_wave *wave)
{
  completed = wave->completed;
}

static struct pool_config pools[]
    = { { .name = "p" }, { .name = "q" }, { .name = "spare", .spare = true } };
static const struct catalog cat = { .pools = pools, .pool_count = 3 };

static void
setup (void)
{
  static const struct host_mgr_ops ops = { .vacate = on_vacate,
                                           .withdraw = on_withdraw,
                                           .vacate_over = on_vacate_over,
                                           .order = on_order,
                                           .wave_state = on_wave };
  ctx = talloc_new (NULL);
  host_mgr_init (&mgr, ctx, &ops);
  mgr.cat = &cat;
  now_us = 100 * S;
  next_offset = 6;
  rep_count = 0;
  orders = 0;
  memset (asked, 0, sizeof asked);
  memset (ordered_us, 0, sizeof ordered_us);
  asked_gap_us = INT64_MAX;
  over[0] = '\0';
  completed = false;
  read_requests = true;
}

static void
teardown (void)
{
  host_mgr_fini (&mgr);
  talloc_free (ctx);
}

/* Adds COUNT hosts of POOL to the list, named "a", "b" and so on.  */
static void
add_hosts (const char *pool, size_t count)
{
  for (size_t n = 0; n < count; n++)
    {
      struct host_report *rep = &reps[rep_count];
      ck_assert_uint_lt (rep_count, HOSTS_MAX);
      *rep = (struct host_report){ .state = HOST_UP };
      rep->name[0] = (char)('a' + rep_count++);
      snprintf (rep->worker, NAME_BYTES, "w-%c", rep->name[0]);
      name_copy (rep->pool, pool);
    }
}

static void
list_hosts (void)
{
  const struct host_list list = { .hosts = reps, .count = rep_count };
  ck_assert_int_eq (host_mgr_set_hosts (&mgr, ctx, &list, now_us), 0);
}

static void
demand (const char *pool, uint32_t short_hosts, const char *idle)
{
  char (*names)[NAME_BYTES] = talloc_zero_size (ctx, 2 * sizeof *names);
  name_copy (names[0], idle);
  const struct pool_demand dem = { .pool = pool,
                                   .short_hosts = short_hosts,
                                   .urgent_hosts = short_hosts,
                                   .idle = names,
                                   .idle_count = *idle != '\0' };
  host_mgr_set_demand (&mgr, &dem, now_us);
}

/* Adds a wave of the first COUNT hosts.  */
static void
add_wave (size_t count, uint32_t most_out, uint32_t duration_s)
{
  char json[512];
  int len = snprintf (json, sizeof json, "{\"wave\":1,\"machines\":[");
  for (size_t n = 0; n < count; n++)
    len += snprintf (json + len, sizeof json - (size_t)len, "%s\"%s\"",
                     n > 0 ? "," : "", reps[n].name);
  len += snprintf (json + len, sizeof json - (size_t)len,
                   "],\"duration-s\":%u,\"cap\":%u}", duration_s, most_out);
  host_mgr_add_wave (
      &mgr, ctx, wire_decode_wave (ctx, (const uint8_t *)json, (size_t)len),
      now_us);
}

static void
step (int64_t ms)
{
  now_us += ms * 1000;
  host_mgr_step (&mgr, now_us);
}

static struct mgr_host *
host (const char *name)
{
  return host_mgr_find (&mgr, name);
}

static void
emptied (const char *name)
{
  host_mgr_host_emptied (&mgr, name, host (name)->request_offset, now_us);
}

static void
refused (const char *name)
{
  host_mgr_host_refused (&mgr, name, host (name)->request_offset, "no_place",
                         now_us);
}

/* Steps until HOST was asked for COUNT times or MS have passed.  Returns the
   time that it took, in milliseconds.  */
static int64_t
step_until_asked (const char *name, uint32_t count, int64_t ms)
{
  int64_t from_us = now_us;
  while (asked[host_number (name)] < count && now_us < from_us + ms * 1000)
    step (10);
  return (now_us - from_us) / 1000;
}

static void
refuse (void)
{
  step (500);
  refused ("a");
}

/* The report is read before the request.  */
static void
refuse_early (void)
{
  host ("a")->request_offset = 0;
  host_mgr_host_refused (&mgr, "a", next_offset, "task_waits", now_us);
  ck_assert_int_eq (host ("a")->phase, PHASE_VACATING);
  /* Nothing that comes after it changes the answer.  */
  host_mgr_host_emptied (&mgr, "a", next_offset, now_us);
  step (200);
  host_mgr_request_read (&mgr, host ("a"), next_offset, now_us);
}

static void
let_time_out (void)
{
  for (int n = 0; n < 16 && !*over; n++)
    step (1000);
}

static void
answer_not_in_wave (void)
{
  emptied ("a");
  step (30);
  host_mgr_order_answered (&mgr, host ("a"), HOST_ORDER_NOT_IN_WAVE, now_us);
}

static void
answer_invalid (void)
{
  emptied ("a");
  step (30);
  host_mgr_order_answered (&mgr, host ("a"), HOST_ORDER_INVALID, now_us);
}

static void
leave (void)
{
  reps[0] = reps[--rep_count];
  list_hosts ();
  step (30);
}

static void
leave_when_empty (void)
{
  emptied ("a");
  leave ();
}

static void
carry_out (void)
{
  emptied ("a");
  step (30);
  host_mgr_order_answered (&mgr, host ("a"), HOST_ORDER_DONE, now_us);
  now_us += 2 * S;
  name_copy (reps[0].worker, "other");
  list_hosts ();
  step (30);
  ck_assert_int_eq (host ("a")->phase, PHASE_NONE);
}

static const struct over_case
{
  void (*act) (void);
  bool move;
  const char *over;
} over_cases[] = {
  { let_time_out, false, "a:upkeep:timeout:16000 " },
  { let_time_out, true, "a:q:timeout:12000 " },
  { leave, false, "a:upkeep:left:30 " },
  { leave, true, "a:q:left:30 " },
  { leave_when_empty, false, "a:upkeep:left:30 " },
  { answer_not_in_wave, false, "a:upkeep:not_in_wave:30 " },
  { answer_invalid, true, "a:q:invalid:30 " },
  { refuse, false, "a:upkeep:refused:500 " },
  { refuse, true, "a:q:refused:500 " },
  { refuse_early, false, "a:upkeep:refused:200 " },
  { carry_out, false, "" },
  { carry_out, true, "" },
};

/* Guards against a request to vacate a host that ends in silence: a host was
   held back for 15 s and given up without a line.  */
START_TEST (test_vacate_over)
{
  const struct over_case *it = &over_cases[_i];
  add_hosts ("p", 6);
  list_hosts ();
  if (it->move)
    {
      demand ("p", 0, "a");
      demand ("q", 1, "");
    }
  else
    add_wave (1, 1, 20);
  step (0);
  ck_assert_uint_eq (asked[0], 1);
  it->act ();
  ck_assert_str_eq (over, it->over);
}
END_TEST

static void
refuse_other_request (void)
{
  host_mgr_host_refused (&mgr, "a", host ("a")->request_offset - 1, "no_place",
                         now_us);
  host_mgr_host_refused (&mgr, "a", host ("a")->request_offset + 1, "no_place",
                         now_us);
}

static void
refuse_other_request_early (void)
{
  host ("a")->request_offset = 0;
  host_mgr_host_refused (&mgr, "a", next_offset - 1, "no_place", now_us);
  host_mgr_request_read (&mgr, host ("a"), next_offset, now_us);
}

static void
refuse_early_and_change_owner (void)
{
  host ("a")->request_offset = 0;
  host_mgr_host_refused (&mgr, "a", next_offset, "no_place", now_us);
  host_mgr_owner_changed (&mgr, "p", now_us);
  host_mgr_request_read (&mgr, host ("a"), next_offset, now_us);
}

static void
refuse_unknown_host (void)
{
  host_mgr_host_refused (&mgr, "zz", next_offset, "no_place", now_us);
}

static void
refuse_empty_host (void)
{
  emptied ("a");
  refused ("a");
}

static void
refuse_empty_host_early (void)
{
  host ("a")->request_offset = 0;
  host_mgr_host_emptied (&mgr, "a", next_offset, now_us);
  host_mgr_host_refused (&mgr, "a", next_offset, "no_place", now_us);
  host_mgr_request_read (&mgr, host ("a"), next_offset, now_us);
}

static void
refuse_ordered_host (void)
{
  emptied ("a");
  step (30);
  refused ("a");
}

static void
refuse_after_order (void)
{
  refuse_ordered_host ();
  host_mgr_order_answered (&mgr, host ("a"), HOST_ORDER_DONE, now_us);
  refused ("a");
}

static const struct ignored_case
{
  void (*act) (void);
  enum host_phase phase;
} ignored_cases[] = {
  { refuse_other_request, PHASE_VACATING },
  { refuse_other_request_early, PHASE_VACATING },
  { refuse_early_and_change_owner, PHASE_VACATING },
  { refuse_unknown_host, PHASE_VACATING },
  { refuse_empty_host, PHASE_EMPTY },
  { refuse_empty_host_early, PHASE_EMPTY },
  { refuse_ordered_host, PHASE_ORDERED },
  { refuse_after_order, PHASE_AWAITING_WORKER },
};

/* Guards against a host that is given back on a refusal that is not the answer
   to the newest request: its order may be under way.  */
START_TEST (test_refusal_ignored)
{
  const struct ignored_case *it = &ignored_cases[_i];
  add_hosts ("p", 6);
  list_hosts ();
  add_wave (1, 1, 20);
  step (0);
  it->act ();
  ck_assert_int_eq (host ("a")->phase, it->phase);
  ck_assert_str_eq (over, "");
  ck_assert_uint_eq (host ("a")->refusals, 0);
}
END_TEST

/* Guards against an order on a report that a host is empty which follows the
   refusal of the same request: the owner uses the host again.  */
START_TEST (test_empty_after_refusal)
{
  add_hosts ("p", 6);
  list_hosts ();
  add_wave (1, 1, 60);
  step (0);
  uint64_t offset = host ("a")->request_offset;
  refused ("a");
  host_mgr_host_emptied (&mgr, "a", offset, now_us);
  ck_assert_int_eq (host ("a")->phase, PHASE_NONE);
  step_until_asked ("a", 2, 2000);
  host_mgr_host_emptied (&mgr, "a", offset, now_us);
  ck_assert_int_eq (host ("a")->phase, PHASE_VACATING);
  ck_assert_uint_eq (orders, 0);
}
END_TEST

/* Guards against an owner that is asked for the same host again and again, and
   against a host that is not asked for any more: each refusal doubles the
   pause, up to 8 s.  */
START_TEST (test_pause_grows)
{
  static const int64_t pauses_ms[] = { 1000, 2000, 4000, 8000, 8000, 1000 };
  add_hosts ("p", 6);
  list_hosts ();
  add_wave (1, 1, 60);
  step (0);
  for (uint32_t n = 0; n < 6; n++)
    {
      if (n == 5) /* vacated at last */
        {
          emptied ("a");
          step (10);
          host_mgr_order_answered (&mgr, host ("a"), HOST_ORDER_INVALID,
                                   now_us);
          step_until_asked ("a", 7, 2000);
        }
      refused ("a");
      int64_t took_ms = step_until_asked ("a", asked[0] + 1, 20000);
      ck_assert_int_ge (took_ms, pauses_ms[n]);
      ck_assert_int_le (took_ms, pauses_ms[n] + 20);
    }
}
END_TEST

/* Guards against a wave that stops at a host that its pool needs while other
   hosts of the wave could be maintained.  */
START_TEST (test_other_hosts_first)
{
  uint32_t waits[WAIT_COUNT];
  add_hosts ("p", 3); /* one at a time */
  list_hosts ();
  add_wave (3, 1, 60);
  step (0);
  ck_assert_uint_eq (asked[0], 1);
  refused ("a");
  step (10);
  ck_assert_uint_eq (asked[1], 1);
  host_mgr_count_waits (&mgr, &mgr.waves[0], now_us, waits);
  ck_assert_uint_eq (waits[WAIT_REFUSED], 1);
  ck_assert_uint_eq (waits[WAIT_VACATING], 1);
  ck_assert_uint_eq (waits[WAIT_POOL_LIMIT], 1);
  step (2000); /* the pause of a is over */
  refused ("b");
  step (10);
  ck_assert_uint_eq (asked[2], 1);
  ck_assert_uint_eq (asked[0], 1);
}
END_TEST

/* Guards against a host that its pool keeps although a replacement is there:
   the pause after a refusal ends when the pool gets a host.  */
START_TEST (test_retry_as_hosts_arrive)
{
  add_hosts ("p", 4);
  add_hosts ("spare", 1);
  list_hosts ();
  add_wave (1, 1, 60);
  step (0);
  for (uint32_t n = 0; n < 3; n++)
    {
      refused ("a");
      step_until_asked ("a", n + 2, 10000);
    }
  refused ("a"); /* a pause of 8 s */
  step (600);
  ck_assert_uint_eq (asked[0], 4);
  name_copy (reps[4].pool, "p");
  list_hosts ();
  step (10);
  ck_assert_uint_eq (asked[0], 5);
  refused ("a");
  int64_t took_ms = step_until_asked ("a", 6, 10000);
  ck_assert_int_ge (took_ms, 1000);
  ck_assert_int_le (took_ms, 1020);
}
END_TEST

static const struct share_case
{
  size_t all;
  uint32_t down; /* of them, not up */
  bool move;     /* one of them moves to another pool */
  uint32_t asked;
} share_cases[] = {
  { 1, 0, false, 1 },  { 2, 0, false, 1 }, { 3, 0, false, 1 },
  { 4, 0, false, 1 },  { 5, 0, false, 1 }, { 6, 0, false, 2 },
  { 7, 0, false, 2 },  { 8, 0, false, 2 }, { 9, 0, false, 3 },
  { 11, 0, false, 3 }, { 4, 1, false, 0 }, { 6, 1, false, 1 },
  { 9, 2, false, 1 },  { 9, 3, false, 0 }, { 4, 0, true, 0 },
  { 6, 0, true, 1 },
};

/* Guards against a wave that takes half of a pool at once (LOST): of four
   hosts two were asked for, and the others had no places for their tasks.  */
START_TEST (test_share_of_pool)
{
  const struct share_case *it = &share_cases[_i];
  uint32_t count = 0;
  add_hosts ("p", it->all);
  for (uint32_t n = 0; n < it->down; n++)
    reps[n].state = HOST_MAINTENANCE;
  list_hosts ();
  if (it->move)
    {
      demand ("p", 0, "a");
      demand ("q", 1, "");
      step (0);
      demand ("q", 0, "");
    }
  add_wave (it->all, 11, 20);
  step (0);
  for (size_t n = it->move; n < it->all; n++)
    count += asked[n];
  ck_assert_uint_eq (count, it->asked);
}
END_TEST

static const struct grace_case
{
  size_t all, count; /* hosts of the pool and of the wave */
  uint32_t most_out, duration_s;
  int64_t grace_ms;
} grace_cases[] = {
  { 9, 3, 9, 26, 5000 }, /* one turn of three */
  { 9, 9, 9, 26, 5000 }, /* three turns */
  { 9, 9, 9, 20, 4066 }, /* the same, 6.7 s each */
  { 9, 3, 1, 20, 4066 }, /* one at a time in the wave */
  { 9, 6, 9, 8, 1500 },  /* two turns of 4 s */
  { 4, 4, 9, 8, 1500 },  /* four turns: cannot be in time */
  { 4, 1, 9, 8, 5000 },
};

/* Guards against a wave that ends late because each host's tasks are given 5 s
   although the hosts of a pool have to go in turns: of a wave of 8 s half of
   the hosts were left.  */
START_TEST (test_grace)
{
  const struct grace_case *it = &grace_cases[_i];
  add_hosts ("p", it->all);
  list_hosts ();
  add_wave (it->count, it->most_out, it->duration_s);
  step (0);
  ck_assert_int_eq (asked_grace_ms, it->grace_ms);
}
END_TEST

/* Carries out the orders as the platform does: 50 ms until the answer, 2 s
   until the host is back with a new worker.  */
static void
act_as_platform (void)
{
  for (size_t n = 0; n < rep_count; n++)
    {
      int64_t age_us = now_us - ordered_us[n];
      if (!ordered_us[n])
        continue;
      if (reps[n].state == HOST_UP && age_us >= S / 20)
        {
          reps[n].state = HOST_MAINTENANCE;
          host_mgr_order_answered (&mgr, host (reps[n].name), HOST_ORDER_DONE,
                                   now_us);
        }
      else if (age_us >= 2 * S)
        {
          reps[n].state = HOST_UP;
          reps[n].worker[0]++;
          ordered_us[n] = 0;
        }
    }
}

/* Answers the requests 100 ms after them, as the owner of a pool whose tasks
   need NEEDED hosts: it refuses if fewer would stay.  An owner that grants a
   request has emptied the host 400 ms later.  GRANTED is by host.  */
static void
act_as_owner (uint32_t needed, int64_t granted_us[HOSTS_MAX])
{
  uint32_t stay = 0;
  for (size_t n = 0; n < rep_count; n++)
    stay += reps[n].state == HOST_UP && !granted_us[n]
            && strcmp (reps[n].pool, "p") == 0;
  for (size_t n = 0; n < rep_count; n++)
    {
      struct mgr_host *asked_host = host (reps[n].name);
      if (granted_us[n])
        {
          if (now_us - granted_us[n] >= 4 * S / 10)
            emptied (reps[n].name);
          if (asked_host->phase == PHASE_NONE)
            granted_us[n] = 0;
        }
      else if (asked_host->phase == PHASE_VACATING
               && now_us - asked_us[n] >= S / 10)
        {
          if (stay > needed)
            {
              granted_us[n] = now_us;
              stay--;
            }
          else
            refused (reps[n].name);
        }
    }
}

static const struct supply_case
{
  size_t all;          /* hosts of the pool, all of them in the wave */
  uint32_t needed;     /* by its tasks */
  uint32_t arrives_s;  /* when it gets one more; 0: never */
  uint32_t complete_s; /* the wave is complete within this time; 0: never */
  uint32_t asked_max;  /* most requests for one host */
} supply_cases[] = {
  { 4, 4, 2, 13, 3 },  { 4, 4, 6, 17, 4 },  { 4, 4, 30, 41, 7 },
  { 4, 4, 0, 0, 10 },  /* in 60 s: pauses of 1, 2, 4 s, then 8 s each */
  { 9, 8, 0, 26, 17 }, /* three at a time are asked for, and one can go: at
                          most twice for each host that goes earlier */
  { 9, 7, 0, 14, 9 },  { 6, 6, 3, 20, 13 }, /* two at a time, one can go from 3
                                               s on */
};

/* Guards against a wave that does not end in time after refusals, and against
   a host that is asked for again and again (in b171 at 7.6, 23.1 and 50.7 s,
   each time with a move of its tasks): while its pool has only as many hosts
   as it needs, each is asked for with growing pauses, and as soon as there is
   one more the wave goes on, host by host.  */
START_TEST (test_wave_of_needed_hosts)
{
  const struct supply_case *it = &supply_cases[_i];
  int64_t granted_us[HOSTS_MAX] = { 0 };
  int64_t begin_us = now_us;
  int64_t listed_us = 0;
  add_hosts ("p", it->all);
  add_hosts ("spare", 1);
  list_hosts ();
  add_wave (it->all, 9, 8);
  while (!completed && now_us < begin_us + 60 * S)
    {
      if (it->arrives_s && now_us >= begin_us + it->arrives_s * S)
        name_copy (reps[it->all].pool, "p");
      act_as_platform ();
      act_as_owner (it->needed, granted_us);
      if (now_us - listed_us >= 4 * S / 10)
        {
          list_hosts ();
          listed_us = now_us;
        }
      step (30);
    }
  ck_assert_int_eq (completed, it->complete_s > 0);
  if (completed)
    ck_assert_int_le (now_us - begin_us, it->complete_s * S);
  for (size_t n = 0; n < it->all; n++)
    ck_assert_uint_le (asked[n], it->asked_max);
  /* Nor is it asked for again at once.  */
  ck_assert_int_ge (asked_gap_us, S / 2);
}
END_TEST

/* Guards against a wave that makes no progress without saying why.  */
START_TEST (test_waits)
{
  uint32_t waits[WAIT_COUNT];
  add_hosts ("p", 3);
  add_hosts ("q", 9);
  reps[2].state = HOST_MAINTENANCE;
  list_hosts ();
  demand ("q", 0, "d");
  demand ("p", 1, "");
  step (0); /* moves d */
  ck_assert_uint_eq (asked[3], 1);
  add_wave (9, 2, 20);
  step (0);
  host_mgr_count_waits (&mgr, &mgr.waves[0], now_us, waits);
  ck_assert_uint_eq (waits[WAIT_VACATING], 1); /* e, as p lacks a host */
  ck_assert_uint_eq (waits[WAIT_PACE], 4);     /* f to i */
  demand ("p", 0, "");
  step (0);
  host_mgr_count_waits (&mgr, &mgr.waves[0], now_us, waits);
  ck_assert_uint_eq (waits[WAIT_NOT_UP], 1);         /* c */
  ck_assert_uint_eq (waits[WAIT_POOL_LIMIT], 2 + 3); /* a, b; three of q */
  ck_assert_uint_eq (waits[WAIT_MOVE], 1);           /* d */
  ck_assert_uint_eq (waits[WAIT_VACATING], 2);       /* e, f */
  emptied ("e");
  step (30);
  ck_assert_uint_eq (orders, 1);
  host_mgr_host_emptied (&mgr, "f", host ("f")->request_offset, now_us);
  host_mgr_order_answered (&mgr, host ("e"), HOST_ORDER_INVALID, now_us);
  reps[0].state = HOST_MAINTENANCE;
  list_hosts ();
  step (30);
  host_mgr_count_waits (&mgr, &mgr.waves[0], now_us, waits);
  ck_assert_uint_eq (waits[WAIT_NOT_UP], 2);  /* a, c */
  ck_assert_uint_eq (waits[WAIT_COOLING], 1); /* e */
  ck_assert_uint_eq (waits[WAIT_EMPTY], 1);   /* f; a and c are down */
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("host_mgr_vacate");
  TCase *tc = tcase_create ("host_mgr_vacate");
  tcase_set_timeout (tc, 60);
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, test_vacate_over, 0,
                       sizeof over_cases / sizeof *over_cases);
  tcase_add_loop_test (tc, test_refusal_ignored, 0,
                       sizeof ignored_cases / sizeof *ignored_cases);
  tcase_add_test (tc, test_empty_after_refusal);
  tcase_add_test (tc, test_pause_grows);
  tcase_add_test (tc, test_other_hosts_first);
  tcase_add_test (tc, test_retry_as_hosts_arrive);
  tcase_add_loop_test (tc, test_share_of_pool, 0,
                       sizeof share_cases / sizeof *share_cases);
  tcase_add_loop_test (tc, test_grace, 0,
                       sizeof grace_cases / sizeof *grace_cases);
  tcase_add_loop_test (tc, test_wave_of_needed_hosts, 0,
                       sizeof supply_cases / sizeof *supply_cases);
  tcase_add_test (tc, test_waits);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
