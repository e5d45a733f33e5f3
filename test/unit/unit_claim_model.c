#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "claim/claim_core_priv.h"

/* Every order of the steps of two or three processes that claim one key, over
   the real claim_core and claim_fold.  The log, the network between it and the
   processes, and time are this model's.  A state is expanded once; states are
   told apart by a digest of all that decides what can follow.  */

#define PROCS_MAX 3
#define RECORDS_MAX 24
#define STEPS_MAX 48
#define CHOICES_MAX 64
#define DEADLINE_US 1000
#define LIFETIME_MS 3600000

enum action
{
  ACT_REQUEST,
  ACT_APPEND,            /* stands, and the reply arrives */
  ACT_APPEND_REPLY_LOST, /* fault: stands, result unknown */
  ACT_APPEND_LATE,       /* fault: result unknown, lands later or never */
  ACT_APPEND_TWICE,      /* fault: stands, and a copy may land later */
  ACT_APPEND_NOT_DONE,   /* fault: refused */
  ACT_RESEND,
  ACT_READ,      /* folds all that stands */
  ACT_TAKE,      /* takes an event of the core */
  ACT_RUN,       /* sends the granted request and records its answer */
  ACT_GIVE_BACK, /* releases it unsent */
  ACT_PAUSE,     /* fault: wakes up past the deadline */
  ACT_EXPIRE,    /* looks at deadlines after that */
  ACT_CRASH,     /* fault */
  ACT_LAND, /* a record in the network reaches the log; index, not process */
};

struct step
{
  enum action act;
  int who;
};

struct bytes
{
  uint8_t *data;
  size_t len;
};

struct proc
{
  struct claim_core core;
  bool crashed;
  bool requested;
  bool unknown; /* an append whose result is unknown is open */
  bool late;    /* its clock is past the deadline */
  bool expired;
  bool holds; /* was granted, and neither ran nor gave back */
  bool ran;
  uint64_t claim_id;
  int verdicts;
};

struct world
{
  void *ctx;
  int count; /* processes */
  int faults_left;
  struct proc procs[PROCS_MAX];
  struct bytes log[RECORDS_MAX];
  int log_len;
  struct bytes net[RECORDS_MAX];
  int net_len;
  int runs;
};

static struct step path[STEPS_MAX];
static int path_len;

static const char *
path_text (void)
{
  static const char *const names[]
      = { "request",     "append",       "append-reply-lost",
          "append-late", "append-twice", "append-not-done",
          "resend",      "read",         "take",
          "run",         "give-back",    "pause",
          "expire",      "crash",        "land" };
  static char text[STEPS_MAX * 24];
  size_t len = 0;
  for (int n = 0; n < path_len; n++)
    len += snprintf (text + len, sizeof text - len, " %d:%s", path[n].who,
                     names[path[n].act]);
  return text;
}

#define REQUIRE(cond, what)                                                   \
  ck_assert_msg ((cond), "%s, after%s", (what), path_text ())

static int64_t
now_of (const struct proc *pr)
{
  return pr->late ? 2 * DEADLINE_US : 0;
}

static const struct claim_key the_key = { 1, 1 };

static void
start_proc (struct world *w, struct proc *pr, int id)
{
  char name[16];
  struct claim_settings cls = { .writer = name,
                                .incarnation = 1,
                                .key_lifetime_ms = LIFETIME_MS,
                                .max_waiting = 8,
                                .max_keys = 8,
                                .max_answer_bytes = 8 };
  struct claim_core_settings set = { &cls, 1, INT64_MAX };
  snprintf (name, sizeof name, "p%d", id);
  memset (pr, 0, sizeof *pr);
  ck_assert_int_eq (claim_core_init (&pr->core, w->ctx, &set), 0);
}

static void
land (struct world *w, struct bytes rec)
{
  ck_assert_int_lt (w->log_len, RECORDS_MAX);
  w->log[w->log_len++] = rec;
}

static void
read_all (struct world *w, struct proc *pr)
{
  uint64_t next;
  while ((next = claim_core_offset (&pr->core)) < (uint64_t)w->log_len)
    {
      struct log_record_view rec
          = { next, 1000, w->log[next].data, w->log[next].len };
      ck_assert_int_eq (claim_core_fold (&pr->core, now_of (pr), &rec), 0);
    }
  claim_core_read_done (&pr->core, now_of (pr), w->log_len);
}

static bool
wants_append (const struct proc *pr)
{
  bool urgent;
  return claim_core_append_due (&pr->core, &urgent) <= now_of (pr);
}

static void
append (struct world *w, struct proc *pr, enum action act)
{
  struct bytes rec;
  struct append_result res = { .status = APPEND_UNKNOWN };
  ck_assert_int_eq (claim_core_build (&pr->core, w->ctx, &rec.data, &rec.len),
                    0);
  res.offset = w->log_len;
  if (act == ACT_APPEND || act == ACT_APPEND_TWICE)
    res.status = APPEND_DONE;
  if (act == ACT_APPEND_NOT_DONE)
    res.status = APPEND_NOT_DONE;
  if (act != ACT_APPEND_LATE && act != ACT_APPEND_NOT_DONE)
    land (w, rec);
  if (act == ACT_APPEND_LATE || act == ACT_APPEND_TWICE)
    w->net[w->net_len++] = rec;
  claim_core_append_result (&pr->core, &res);
  pr->unknown = res.status == APPEND_UNKNOWN;
  REQUIRE (res.status != APPEND_DONE || !wants_append (pr),
           "an append that stands is repeated");
}

static void
on_verdict (void *arg, const struct claim_outcome *out)
{
}

static void
on_release (void *arg, bool recorded)
{
}

static void
take (struct world *w, struct proc *pr)
{
  struct claim_event event;
  ck_assert (claim_core_next (&pr->core, now_of (pr), &event));
  if (event.type != CLAIM_EVENT_VERDICT)
    return;
  REQUIRE (++pr->verdicts == 1, "a request got two verdicts");
  if (event.out.verdict != CLAIM_GRANTED)
    return;
  REQUIRE (!pr->late, "granted past the deadline");
  /* A process that crashed while it held the key may have sent it.  */
  for (int n = 0; n < w->count; n++)
    REQUIRE (!w->procs[n].holds && !w->procs[n].ran,
             "granted while another holds or ran the key");
  pr->holds = true;
  pr->claim_id = event.out.claim_id;
}

static void
finish_grant (struct world *w, struct proc *pr, bool run)
{
  pr->holds = false;
  if (run)
    {
      pr->ran = true;
      REQUIRE (++w->runs == 1, "the key ran twice");
      claim_core_done (&pr->core, now_of (pr), the_key, pr->claim_id, true,
                       200, (const uint8_t *)"a", 1);
      return;
    }
  claim_core_release (&pr->core, now_of (pr), the_key, pr->claim_id, INT64_MAX,
                      on_release, NULL);
}

static void
request (struct proc *pr, int64_t deadline_us)
{
  pr->requested = true;
  ck_assert_int_eq (claim_core_request (&pr->core, now_of (pr), the_key, 5,
                                        deadline_us, on_verdict, NULL),
                    0);
}

static void
apply (struct world *w, struct step st)
{
  struct proc *pr = &w->procs[st.who % PROCS_MAX];
  switch (st.act)
    {
    case ACT_REQUEST:
      request (pr, DEADLINE_US);
      break;
    case ACT_APPEND_REPLY_LOST:
    case ACT_APPEND_LATE:
    case ACT_APPEND_TWICE:
    case ACT_APPEND_NOT_DONE:
      w->faults_left--;
      append (w, pr, st.act);
      break;
    case ACT_APPEND:
      append (w, pr, st.act);
      break;
    case ACT_RESEND:
      claim_core_resend (&pr->core);
      pr->unknown = false;
      break;
    case ACT_READ:
      read_all (w, pr);
      break;
    case ACT_TAKE:
      take (w, pr);
      break;
    case ACT_RUN:
    case ACT_GIVE_BACK:
      finish_grant (w, pr, st.act == ACT_RUN);
      break;
    case ACT_PAUSE:
      w->faults_left--;
      pr->late = true;
      break;
    case ACT_EXPIRE:
      pr->expired = true;
      claim_core_expire (&pr->core, now_of (pr));
      break;
    case ACT_CRASH:
      w->faults_left--;
      pr->crashed = true;
      claim_core_fini (&pr->core);
      break;
    case ACT_LAND:
      land (w, w->net[st.who]);
      w->net[st.who] = w->net[--w->net_len];
      break;
    }
}

/* The processes differ by name only, so that their first appends may as well
   come in order.  */
static bool
may_append (const struct world *w, int who)
{
  const struct proc *before = who > 0 ? &w->procs[who - 1] : NULL;
  return !before || before->crashed || before->verdicts > 0
         || before->core.priv->sequence > 0;
}

static int
add_choice (struct step *list, int count, enum action act, int who)
{
  ck_assert_int_lt (count, CHOICES_MAX);
  list[count] = (struct step){ act, who };
  return count + 1;
}

/* Lists the steps of the process WHO that only concern itself: claim.c takes
   events before it does anything else.  */
static int
own_choices (const struct world *w, int who, struct step *list)
{
  const struct proc *pr = &w->procs[who];
  int count = 0;
  if (pr->crashed || (!pr->holds && !claim_core_has_event (&pr->core)))
    return 0;
  if (pr->holds)
    {
      count = add_choice (list, count, ACT_RUN, who);
      count = add_choice (list, count, ACT_GIVE_BACK, who);
    }
  else
    count = add_choice (list, count, ACT_TAKE, who);
  if (w->faults_left > 0)
    count = add_choice (list, count, ACT_CRASH, who);
  if (w->faults_left > 0 && !pr->late)
    count = add_choice (list, count, ACT_PAUSE, who);
  return count;
}

/* Whether the process still has something that the log can decide.  Without
   it, neither reading nor a crash changes what any process does.  */
static bool
has_items (const struct proc *pr)
{
  return pr->core.priv->by_id != NULL;
}

/* Lists the other steps of the process WHO.  */
static int
proc_choices (const struct world *w, int who, struct step *list, int count)
{
  const struct proc *pr = &w->procs[who];
  bool fault = w->faults_left > 0;
  if (pr->crashed || (pr->requested && !has_items (pr)))
    return count;
  if (!pr->requested)
    return add_choice (list, count, ACT_REQUEST, who);
  if (wants_append (pr) && may_append (w, who))
    for (enum action act = ACT_APPEND;
         act <= (fault ? ACT_APPEND_NOT_DONE : ACT_APPEND); act++)
      count = add_choice (list, count, act, who);
  if (pr->unknown && claim_core_is_open (&pr->core))
    count = add_choice (list, count, ACT_RESEND, who);
  if (claim_core_offset (&pr->core) < (uint64_t)w->log_len)
    count = add_choice (list, count, ACT_READ, who);
  if (fault && !pr->late && pr->verdicts == 0)
    count = add_choice (list, count, ACT_PAUSE, who);
  if (pr->late && !pr->expired)
    count = add_choice (list, count, ACT_EXPIRE, who);
  if (fault)
    count = add_choice (list, count, ACT_CRASH, who);
  return count;
}

/* Steps of one process alone commute with those of the others, so that while
   one has such a step the others need not move.  */
static int
choices (const struct world *w, struct step *list)
{
  int count = 0;
  for (int n = 0; n < w->count; n++)
    if ((count = own_choices (w, n, list)) > 0)
      return count;
  for (int n = 0; n < w->count; n++)
    count = proc_choices (w, n, list, count);
  for (int n = 0; n < w->net_len; n++)
    count = add_choice (list, count, ACT_LAND, n);
  return count;
}

/* Lets every process alive finish without further faults.  */
static void
settle (struct world *w)
{
  for (bool busy = true; busy;)
    {
      busy = false;
      for (int n = 0; n < w->count; n++)
        {
          struct proc *pr = &w->procs[n];
          if (pr->crashed)
            continue;
          read_all (w, pr);
          claim_core_expire (&pr->core, now_of (pr));
          claim_core_resend (&pr->core);
          while (claim_core_has_event (&pr->core))
            take (w, pr);
          if (pr->holds)
            finish_grant (w, pr, false);
          if (!wants_append (pr))
            continue;
          append (w, pr, ACT_APPEND);
          busy = true;
        }
    }
}

/* What a process that starts afterwards learns of the key.  */
static void
check_end (struct world *w)
{
  struct proc fresh;
  struct claim_event event;
  bool crashed = false;
  bool runner_alive = false;
  settle (w);
  for (int n = 0; n < w->count; n++)
    {
      crashed |= w->procs[n].crashed;
      runner_alive |= w->procs[n].ran && !w->procs[n].crashed;
    }
  start_proc (w, &fresh, PROCS_MAX);
  read_all (w, &fresh);
  request (&fresh, DEADLINE_US);
  if (wants_append (&fresh))
    append (w, &fresh, ACT_APPEND);
  read_all (w, &fresh);
  ck_assert (claim_core_next (&fresh.core, 0, &event));
  bool granted = event.out.verdict == CLAIM_GRANTED;
  REQUIRE (!granted || w->runs == 0, "granted after it ran");
  REQUIRE (granted || w->runs > 0 || crashed, "a free key cannot be claimed");
  REQUIRE (!runner_alive || event.out.known == CLAIM_KNOWN_ANSWERED,
           "the answer is not known");
  /* What still was in the network changes nothing.  */
  w->procs[0].ran |= granted;
  while (w->net_len > 0)
    apply (w, (struct step){ ACT_LAND, 0 });
  settle (w);
  claim_core_fini (&fresh.core);
}

static uint64_t
mix (uint64_t sum, const void *data, size_t len)
{
  return XXH3_64bits_withSeed (data, len, sum);
}

static uint64_t
core_digest (uint64_t sum, const struct priv *p)
{
  const struct item *item;
  const struct out *out;
  uint64_t nums[] = { p->sequence, p->folded_seq, p->open, p->contact,
                      claim_fold_next (&p->fold) };
  sum = mix (sum, nums, sizeof nums);
  for (int n = 0; n < LISTS; n++)
    DL_FOREACH (p->lists[n], item)
      {
        uint64_t vals[] = {
          n,          item->id.claim_id, item->id.kind,
          item->seq,  item->prev_seq,    item->appended ? item->offset : 99,
          !!item->out
        };
        sum = mix (sum, vals, sizeof vals);
      }
  DL_FOREACH (p->outs, out)
    {
      uint64_t vals[] = { out->event.type, out->event.out.verdict };
      sum = mix (sum, vals, sizeof vals);
    }
  return sum;
}

static uint64_t
digest (const struct world *w)
{
  uint64_t sum = mix (w->faults_left, &w->runs, sizeof w->runs);
  for (int n = 0; n < w->count; n++)
    {
      const struct proc *pr = &w->procs[n];
      int vals[] = { pr->crashed, pr->requested, pr->unknown, pr->late,
                     pr->expired, pr->holds,     pr->ran,     pr->verdicts };
      sum = mix (sum, vals, sizeof vals);
      if (!pr->crashed)
        sum = core_digest (sum, pr->core.priv);
    }
  for (int n = 0; n < w->log_len; n++)
    sum = mix (sum, w->log[n].data, w->log[n].len);
  for (int n = 0; n < w->net_len; n++)
    sum = mix (sum + 1, w->net[n].data, w->net[n].len);
  return sum;
}

static void
world_start (struct world *w, int count, int faults)
{
  memset (w, 0, sizeof *w);
  w->ctx = talloc_new (NULL);
  w->count = count;
  w->faults_left = faults;
  for (int n = 0; n < count; n++)
    {
      start_proc (w, &w->procs[n], n);
      read_all (w, &w->procs[n]);
    }
}

static void
world_end (struct world *w)
{
  for (int n = 0; n < w->count; n++)
    claim_core_fini (&w->procs[n].core);
  talloc_free (w->ctx);
}

/* Digests of the states seen, as an open hash table; 0 marks a free place.  */
static uint64_t *seen;
static size_t seen_cap;
static size_t states;
static size_t ends;

/* Adds SUM.  Returns false when it was there already.  */
static bool
seen_add (uint64_t sum)
{
  size_t n = sum & (seen_cap - 1);
  while (seen[n] != 0 && seen[n] != sum)
    n = (n + 1) & (seen_cap - 1);
  if (seen[n] == sum)
    return false;
  seen[n] = sum;
  return true;
}

static bool
first_visit (const struct world *w)
{
  if (2 * states >= seen_cap)
    {
      uint64_t *old = seen;
      size_t cap = seen_cap;
      seen_cap = 2 * cap;
      seen = talloc_zero_array (NULL, uint64_t, seen_cap);
      for (size_t n = 0; n < cap; n++)
        if (old[n] != 0)
          seen_add (old[n]);
      talloc_free (old);
    }
  bool first = seen_add (digest (w) | 1);
  states += first;
  return first;
}

/* Expands the state at the end of the path, which W is in; W is used up.  */
static void
explore (struct world *w, int count, int faults)
{
  struct step list[CHOICES_MAX];
  if (!first_visit (w))
    {
      world_end (w);
      return;
    }
  int num = choices (w, list);
  int depth = path_len;
  ck_assert_int_lt (depth, STEPS_MAX);
  /* What is in the network may also never land.  */
  bool end = num == 0 || list[0].act == ACT_LAND;
  for (int n = 0; n < num; n++)
    {
      struct world next;
      world_start (&next, count, faults);
      for (path_len = 0; path_len < depth; path_len++)
        apply (&next, path[path_len]);
      path[depth] = list[n];
      path_len = depth + 1;
      apply (&next, list[n]);
      explore (&next, count, faults);
      path_len = depth;
    }
  if (end)
    {
      ends++;
      check_end (w);
    }
  world_end (w);
}

/* More faults take minutes: unit_claim_model PROCESSES FAULTS.  */
static struct
{
  int procs;
  int faults;
} sizes[] = { { 2, 1 }, { 3, 0 } };

/* Guards against a key that runs twice, a second verdict of a request, a
   grant past the deadline, a released key that cannot be claimed again, an
   answer that gets lost and a needless append.  */
START_TEST (test_every_order)
{
  struct world w;
  states = ends = path_len = 0;
  seen_cap = 1024;
  seen = talloc_zero_array (NULL, uint64_t, seen_cap);
  world_start (&w, sizes[_i].procs, sizes[_i].faults);
  explore (&w, sizes[_i].procs, sizes[_i].faults);
  printf ("%d processes, %d faults: %zu states, %zu ends\n", sizes[_i].procs,
          sizes[_i].faults, states, ends);
  ck_assert_uint_gt (ends, 1);
  talloc_free (seen);
}
END_TEST

/* Guards against a grant, and against a release, by a process that could not
   read the records before its own claim: another may hold the key.  */
START_TEST (test_gap_before_grant)
{
  struct world w;
  struct claim_event event;
  path_len = 0;
  world_start (&w, 2, 0);
  struct proc *lagging = &w.procs[0];
  request (&w.procs[1], DEADLINE_US);
  append (&w, &w.procs[1], ACT_APPEND);
  read_all (&w, &w.procs[1]);
  take (&w, &w.procs[1]);
  ck_assert (w.procs[1].holds);
  request (lagging, DEADLINE_US);
  append (&w, lagging, ACT_APPEND);
  claim_core_gap (&lagging->core, 1);
  read_all (&w, lagging);
  ck_assert (claim_core_next (&lagging->core, 0, &event));
  ck_assert_int_eq (event.out.verdict, CLAIM_UNAVAILABLE);
  ck_assert (!wants_append (lagging));
  world_end (&w);
}
END_TEST

/* Guards against a process that stays ready while the log hangs.  */
START_TEST (test_contact)
{
  struct world w;
  world_start (&w, 1, 0);
  struct claim_core *core = &w.procs[0].core;
  core->priv->contact_limit_us = 100;
  ck_assert (claim_core_ready (core, 100));
  ck_assert (!claim_core_ready (core, 101));
  claim_core_read_done (core, 101, 0);
  ck_assert (claim_core_ready (core, 101));
  world_end (&w);
}
END_TEST

int
main (int argc, char **argv)
{
  int rows = sizeof sizes / sizeof *sizes;
  if (argc == 3)
    {
      sizes[0].procs = (int)strtol (argv[1], NULL, 10);
      sizes[0].faults = (int)strtol (argv[2], NULL, 10);
      rows = 1;
      if (sizes[0].procs < 1 || sizes[0].procs > PROCS_MAX)
        return 2;
    }
  Suite *suite = suite_create ("claim_model");
  TCase *tc = tcase_create ("claim_model");
  tcase_set_timeout (tc, 3600);
  tcase_add_loop_test (tc, test_every_order, 0, rows);
  tcase_add_test (tc, test_gap_before_grant);
  tcase_add_test (tc, test_contact);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
