#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "claim/claim_core_priv.h"

/* Model checker for claim_core and claim_fold: runs every order of the steps
   of two or three processes that claim one key.  The two modules are the real
   ones; the log, the network to it and time are simulated.  Each state is
   expanded once.  States are compared by a digest of all data that later steps
   depend on.  */

#define PROCS_MAX 3
#define RECORDS_MAX 24
#define PATH_STEPS_MAX 48
#define NEXT_STEPS_MAX 64
#define DEADLINE_US 1000
#define LIFETIME_MS 3600000

enum action
{
  ACT_REQUEST,
  ACT_APPEND,            /* appended, and the reply arrives */
  ACT_APPEND_REPLY_LOST, /* fault: appended, but the result is unknown */
  ACT_APPEND_DELAYED,    /* fault: result unknown, appended later or never */
  ACT_APPEND_TWICE,      /* fault: appended, and possibly again later */
  ACT_APPEND_NOT_DONE,   /* fault: refused, not appended */
  ACT_RESEND,
  ACT_READ,       /* folds all records in the log */
  ACT_TAKE_EVENT, /* takes an event of the core */
  ACT_EXECUTE,    /* sends the granted request and records its answer */
  ACT_RELEASE,    /* releases the granted request unsent */
  ACT_PAUSE,      /* fault: suspended until after the deadline */
  ACT_EXPIRE,     /* after ACT_PAUSE: ends requests past their deadline */
  ACT_CRASH,      /* fault */
  ACT_DELIVER,    /* a record in the network is appended to the log */
};

struct step
{
  enum action act;
  int index; /* of the process; for ACT_DELIVER, of the record */
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
  bool append_unknown; /* the result of the open append is unknown */
  bool past_deadline;  /* its clock has passed its request's deadline */
  bool expired;        /* ACT_EXPIRE was done */
  bool granted;        /* and neither executed nor released since */
  bool executed;
  uint64_t claim_id;
  int verdicts;
};

struct model
{
  void *ctx;
  int count; /* of processes */
  int faults_left;
  struct proc procs[PROCS_MAX];
  struct bytes log[RECORDS_MAX];
  int log_len;
  struct bytes net[RECORDS_MAX]; /* records delayed on their way to the log */
  int net_len;
  int executions;
};

/* Steps from the start to the present state.  */
static struct step path[PATH_STEPS_MAX];
static int path_len;

static const char *
path_text (void)
{
  static const char *const names[]
      = { "request",        "append",       "append-reply-lost",
          "append-delayed", "append-twice", "append-not-done",
          "resend",         "read",         "take-event",
          "execute",        "release",      "pause",
          "expire",         "crash",        "deliver" };
  static char text[PATH_STEPS_MAX * 24];
  size_t len = 0;
  for (int n = 0; n < path_len; n++)
    len += snprintf (text + len, sizeof text - len, " %d:%s", path[n].index,
                     names[path[n].act]);
  return text;
}

#define REQUIRE(cond, violation)                                              \
  ck_assert_msg ((cond), "%s, after%s", (violation), path_text ())

static int64_t
now_of (const struct proc *pr)
{
  return pr->past_deadline ? 2 * DEADLINE_US : 0;
}

static const struct claim_key test_key = { 1, 1 };

static void
start_proc (struct model *mdl, struct proc *pr, int id)
{
  char name[16];
  struct claim_settings settings = { .writer = name,
                                     .incarnation = 1,
                                     .key_lifetime_ms = LIFETIME_MS,
                                     .max_waiting = 8,
                                     .max_keys = 8,
                                     .max_answer_bytes = 8 };
  struct claim_core_settings set = { &settings, 1, INT64_MAX };
  snprintf (name, sizeof name, "p%d", id);
  memset (pr, 0, sizeof *pr);
  ck_assert_int_eq (claim_core_init (&pr->core, mdl->ctx, &set), 0);
}

static void
add_to_log (struct model *mdl, struct bytes rec)
{
  ck_assert_int_lt (mdl->log_len, RECORDS_MAX);
  mdl->log[mdl->log_len++] = rec;
}

static void
read_all (struct model *mdl, struct proc *pr)
{
  uint64_t next;
  while ((next = claim_core_next_offset (&pr->core)) < (uint64_t)mdl->log_len)
    {
      struct log_record_view rec
          = { next, 1000, mdl->log[next].data, mdl->log[next].len };
      ck_assert_int_eq (claim_core_fold (&pr->core, now_of (pr), &rec), 0);
    }
  claim_core_read_done (&pr->core, now_of (pr), mdl->log_len);
}

static bool
wants_append (const struct proc *pr)
{
  bool urgent;
  return claim_core_append_due (&pr->core, &urgent) <= now_of (pr);
}

static void
append (struct model *mdl, struct proc *pr, enum action act)
{
  struct bytes rec;
  struct append_result res = { .status = APPEND_UNKNOWN };
  ck_assert_int_eq (
      claim_core_build_record (&pr->core, mdl->ctx, &rec.data, &rec.len), 0);
  res.offset = mdl->log_len;
  if (act == ACT_APPEND || act == ACT_APPEND_TWICE)
    res.status = APPEND_DONE;
  if (act == ACT_APPEND_NOT_DONE)
    res.status = APPEND_NOT_DONE;
  if (act != ACT_APPEND_DELAYED && act != ACT_APPEND_NOT_DONE)
    add_to_log (mdl, rec);
  if (act == ACT_APPEND_DELAYED || act == ACT_APPEND_TWICE)
    mdl->net[mdl->net_len++] = rec;
  claim_core_append_result (&pr->core, &res);
  pr->append_unknown = res.status == APPEND_UNKNOWN;
  REQUIRE (res.status != APPEND_DONE || !wants_append (pr),
           "a record known to be in the log is appended again");
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
take_event (struct model *mdl, struct proc *pr)
{
  struct claim_event event;
  ck_assert (claim_core_next_event (&pr->core, now_of (pr), &event));
  if (event.type != CLAIM_EVENT_VERDICT)
    return;
  REQUIRE (++pr->verdicts == 1, "a request got a second verdict");
  if (event.outcome.verdict != CLAIM_GRANTED)
    return;
  REQUIRE (!pr->past_deadline, "a request was granted past its deadline");
  /* A process that crashed while its request was granted may have sent it.  */
  for (int n = 0; n < mdl->count; n++)
    REQUIRE (
        !mdl->procs[n].granted && !mdl->procs[n].executed,
        "the key was granted while another request holds it or was executed");
  pr->granted = true;
  pr->claim_id = event.outcome.claim_id;
}

static void
finish_grant (struct model *mdl, struct proc *pr, bool execute)
{
  pr->granted = false;
  if (execute)
    {
      pr->executed = true;
      REQUIRE (++mdl->executions == 1,
               "a second request was executed for the key");
      claim_core_done (&pr->core, now_of (pr), test_key, pr->claim_id, true,
                       200, (const uint8_t *)"a", 1);
      return;
    }
  claim_core_release (&pr->core, now_of (pr), test_key, pr->claim_id,
                      INT64_MAX, on_release, NULL);
}

static void
request (struct proc *pr, int64_t deadline_us)
{
  pr->requested = true;
  ck_assert_int_eq (claim_core_request (&pr->core, now_of (pr), test_key, 5,
                                        deadline_us, on_verdict, NULL),
                    0);
}

static void
apply (struct model *mdl, struct step st)
{
  struct proc *pr = &mdl->procs[st.index % PROCS_MAX];
  switch (st.act)
    {
    case ACT_REQUEST:
      request (pr, DEADLINE_US);
      break;
    case ACT_APPEND_REPLY_LOST:
    case ACT_APPEND_DELAYED:
    case ACT_APPEND_TWICE:
    case ACT_APPEND_NOT_DONE:
      mdl->faults_left--;
      append (mdl, pr, st.act);
      break;
    case ACT_APPEND:
      append (mdl, pr, st.act);
      break;
    case ACT_RESEND:
      claim_core_resend (&pr->core);
      pr->append_unknown = false;
      break;
    case ACT_READ:
      read_all (mdl, pr);
      break;
    case ACT_TAKE_EVENT:
      take_event (mdl, pr);
      break;
    case ACT_EXECUTE:
    case ACT_RELEASE:
      finish_grant (mdl, pr, st.act == ACT_EXECUTE);
      break;
    case ACT_PAUSE:
      mdl->faults_left--;
      pr->past_deadline = true;
      break;
    case ACT_EXPIRE:
      pr->expired = true;
      claim_core_expire (&pr->core, now_of (pr));
      break;
    case ACT_CRASH:
      mdl->faults_left--;
      pr->crashed = true;
      claim_core_fini (&pr->core);
      break;
    case ACT_DELIVER:
      add_to_log (mdl, mdl->net[st.index]);
      mdl->net[st.index] = mdl->net[--mdl->net_len];
      break;
    }
}

/* Returns whether process INDEX may append.  The processes differ only in
   their names, so it is enough to explore the runs in which their first
   appends come in the order of the processes.  */
static bool
may_append (const struct model *mdl, int index)
{
  const struct proc *before = index > 0 ? &mdl->procs[index - 1] : NULL;
  return !before || before->crashed || before->verdicts > 0
         || before->core.priv->sequence > 0;
}

static int
add_step (struct step *list, int count, enum action act, int index)
{
  ck_assert_int_lt (count, NEXT_STEPS_MAX);
  list[count] = (struct step){ act, index };
  return count + 1;
}

/* Lists the steps of the process INDEX that affect no other process.  While
   there are any, they are its only steps, because claim.c takes all events
   before it does anything else.  */
static int
list_local_steps (const struct model *mdl, int index, struct step *list)
{
  const struct proc *pr = &mdl->procs[index];
  int count = 0;
  if (pr->crashed || (!pr->granted && !claim_core_has_event (&pr->core)))
    return 0;
  if (pr->granted)
    {
      count = add_step (list, count, ACT_EXECUTE, index);
      count = add_step (list, count, ACT_RELEASE, index);
    }
  else
    count = add_step (list, count, ACT_TAKE_EVENT, index);
  if (mdl->faults_left > 0)
    count = add_step (list, count, ACT_CRASH, index);
  if (mdl->faults_left > 0 && !pr->past_deadline)
    count = add_step (list, count, ACT_PAUSE, index);
  return count;
}

/* Whether the process has items that are not yet decided by the log.  Without
   any, neither a read nor a crash of it changes what any process does.  */
static bool
has_items (const struct proc *pr)
{
  return pr->core.priv->by_id != NULL;
}

/* Appends the other steps of the process INDEX to LIST.  Returns the new
   COUNT.  */
static int
list_shared_steps (const struct model *mdl, int index, struct step *list,
                   int count)
{
  const struct proc *pr = &mdl->procs[index];
  bool fault = mdl->faults_left > 0;
  if (pr->crashed || (pr->requested && !has_items (pr)))
    return count;
  if (!pr->requested)
    return add_step (list, count, ACT_REQUEST, index);
  if (wants_append (pr) && may_append (mdl, index))
    for (enum action act = ACT_APPEND;
         act <= (fault ? ACT_APPEND_NOT_DONE : ACT_APPEND); act++)
      count = add_step (list, count, act, index);
  if (pr->append_unknown && claim_core_append_is_open (&pr->core))
    count = add_step (list, count, ACT_RESEND, index);
  if (claim_core_next_offset (&pr->core) < (uint64_t)mdl->log_len)
    count = add_step (list, count, ACT_READ, index);
  if (fault && !pr->past_deadline && pr->verdicts == 0)
    count = add_step (list, count, ACT_PAUSE, index);
  if (pr->past_deadline && !pr->expired)
    count = add_step (list, count, ACT_EXPIRE, index);
  if (fault)
    count = add_step (list, count, ACT_CRASH, index);
  return count;
}

/* Lists the steps to explore from the present state.  Steps that affect only
   one process commute with those of the others, so while a process has such
   steps, no others need to be explored.  */
static int
list_steps (const struct model *mdl, struct step *list)
{
  int count = 0;
  for (int n = 0; n < mdl->count; n++)
    if ((count = list_local_steps (mdl, n, list)) > 0)
      return count;
  for (int n = 0; n < mdl->count; n++)
    count = list_shared_steps (mdl, n, list, count);
  for (int n = 0; n < mdl->net_len; n++)
    count = add_step (list, count, ACT_DELIVER, n);
  return count;
}

/* Runs all processes that have not crashed until none has anything to append,
   without further faults.  */
static void
run_to_completion (struct model *mdl)
{
  for (bool busy = true; busy;)
    {
      busy = false;
      for (int n = 0; n < mdl->count; n++)
        {
          struct proc *pr = &mdl->procs[n];
          if (pr->crashed)
            continue;
          read_all (mdl, pr);
          claim_core_expire (&pr->core, now_of (pr));
          claim_core_resend (&pr->core);
          while (claim_core_has_event (&pr->core))
            take_event (mdl, pr);
          if (pr->granted)
            finish_grant (mdl, pr, false);
          if (!wants_append (pr))
            continue;
          append (mdl, pr, ACT_APPEND);
          busy = true;
        }
    }
}

/* Checks the verdict that a process started after the last step gets for the
   key.  */
static void
check_end_state (struct model *mdl)
{
  struct proc fresh;
  struct claim_event event;
  bool crashed = false;
  bool executor_alive = false;
  run_to_completion (mdl);
  for (int n = 0; n < mdl->count; n++)
    {
      crashed |= mdl->procs[n].crashed;
      executor_alive |= mdl->procs[n].executed && !mdl->procs[n].crashed;
    }
  start_proc (mdl, &fresh, PROCS_MAX);
  read_all (mdl, &fresh);
  request (&fresh, DEADLINE_US);
  if (wants_append (&fresh))
    append (mdl, &fresh, ACT_APPEND);
  read_all (mdl, &fresh);
  ck_assert (claim_core_next_event (&fresh.core, 0, &event));
  bool granted = event.outcome.verdict == CLAIM_GRANTED;
  REQUIRE (!granted || mdl->executions == 0,
           "the key was granted after a request was executed");
  REQUIRE (granted || mdl->executions > 0 || crashed,
           "a key that is not held cannot be claimed");
  REQUIRE (!executor_alive || event.outcome.result == CLAIM_RESULT_ANSWERED,
           "the recorded answer was lost");
  /* Records that are still in the network must have no effect: the checks in
     take_event would fail on another grant.  */
  mdl->procs[0].executed |= granted;
  while (mdl->net_len > 0)
    apply (mdl, (struct step){ ACT_DELIVER, 0 });
  run_to_completion (mdl);
  claim_core_fini (&fresh.core);
}

static uint64_t
hash_add (uint64_t sum, const void *data, size_t len)
{
  return XXH3_64bits_withSeed (data, len, sum);
}

static uint64_t
core_digest (uint64_t sum, const struct priv *p)
{
  const struct item *item;
  const struct pending_event *pev;
  uint64_t nums[] = { p->sequence, p->max_folded_seq, p->append_open,
                      p->caught_up, claim_fold_next_offset (&p->fold) };
  sum = hash_add (sum, nums, sizeof nums);
  for (int n = 0; n < LIST_COUNT; n++)
    DL_FOREACH (p->lists[n], item)
      {
        uint64_t vals[] = { n,
                            item->id.claim_id,
                            item->id.kind,
                            item->seq,
                            item->prev_seq,
                            item->appended ? item->offset : 99,
                            !!item->pending };
        sum = hash_add (sum, vals, sizeof vals);
      }
  DL_FOREACH (p->events, pev)
    {
      uint64_t vals[] = { pev->event.type, pev->event.outcome.verdict };
      sum = hash_add (sum, vals, sizeof vals);
    }
  return sum;
}

static uint64_t
model_digest (const struct model *mdl)
{
  uint64_t sum
      = hash_add (mdl->faults_left, &mdl->executions, sizeof mdl->executions);
  for (int n = 0; n < mdl->count; n++)
    {
      const struct proc *pr = &mdl->procs[n];
      int vals[] = { pr->crashed,       pr->requested, pr->append_unknown,
                     pr->past_deadline, pr->expired,   pr->granted,
                     pr->executed,      pr->verdicts };
      sum = hash_add (sum, vals, sizeof vals);
      if (!pr->crashed)
        sum = core_digest (sum, pr->core.priv);
    }
  for (int n = 0; n < mdl->log_len; n++)
    sum = hash_add (sum, mdl->log[n].data, mdl->log[n].len);
  for (int n = 0; n < mdl->net_len; n++)
    sum = hash_add (sum + 1, mdl->net[n].data, mdl->net[n].len);
  return sum;
}

static void
model_start (struct model *mdl, int count, int faults)
{
  memset (mdl, 0, sizeof *mdl);
  mdl->ctx = talloc_new (NULL);
  mdl->count = count;
  mdl->faults_left = faults;
  for (int n = 0; n < count; n++)
    {
      start_proc (mdl, &mdl->procs[n], n);
      read_all (mdl, &mdl->procs[n]);
    }
}

static void
model_end (struct model *mdl)
{
  for (int n = 0; n < mdl->count; n++)
    claim_core_fini (&mdl->procs[n].core);
  talloc_free (mdl->ctx);
}

/* Digests of the states seen: a hash table with open addressing, where 0 marks
   a free slot.  */
static uint64_t *seen;
static size_t seen_cap;
static size_t state_count;
static size_t end_states;

/* Adds SUM to the table.  Returns false when it was in it already.  */
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
first_visit (const struct model *mdl)
{
  if (2 * state_count >= seen_cap)
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
  bool first = seen_add (model_digest (mdl) | 1);
  state_count += first;
  return first;
}

/* Expands the state at the end of PATH, which is the state of MDL.  Frees
   MDL's memory.  */
static void
explore (struct model *mdl, int count, int faults)
{
  struct step list[NEXT_STEPS_MAX];
  if (!first_visit (mdl))
    {
      model_end (mdl);
      return;
    }
  int num = list_steps (mdl, list);
  int depth = path_len;
  ck_assert_int_lt (depth, PATH_STEPS_MAX);
  /* Records in the network may also never reach the log.  */
  bool end = num == 0 || list[0].act == ACT_DELIVER;
  for (int n = 0; n < num; n++)
    {
      struct model next;
      model_start (&next, count, faults);
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
      end_states++;
      check_end_state (mdl);
    }
  model_end (mdl);
}

/* Sizes that finish in seconds.  Run "unit_claim_model PROCESSES FAULTS" for
   others; more faults take minutes.  */
static struct
{
  int procs;
  int faults;
} sizes[] = { { 2, 1 }, { 3, 0 } };

/* Guards against two requests executed for one key, a second verdict on a
   request, a grant past the deadline, a released key that cannot be claimed
   again, a recorded answer that is lost, and a repeated append of a record
   that is known to be in the log.  */
START_TEST (test_every_interleaving)
{
  struct model mdl;
  state_count = end_states = path_len = 0;
  seen_cap = 1024;
  seen = talloc_zero_array (NULL, uint64_t, seen_cap);
  model_start (&mdl, sizes[_i].procs, sizes[_i].faults);
  explore (&mdl, sizes[_i].procs, sizes[_i].faults);
  printf ("%d processes, %d faults: %zu states, %zu ends\n", sizes[_i].procs,
          sizes[_i].faults, state_count, end_states);
  ck_assert_uint_gt (end_states, 1);
  talloc_free (seen);
}
END_TEST

/* Guards against a grant or a release by a process that could not read the
   records before its own claim, since another process may hold the key.  */
START_TEST (test_gap_before_grant)
{
  struct model mdl;
  struct claim_event event;
  path_len = 0;
  model_start (&mdl, 2, 0);
  struct proc *lagging = &mdl.procs[0];
  request (&mdl.procs[1], DEADLINE_US);
  append (&mdl, &mdl.procs[1], ACT_APPEND);
  read_all (&mdl, &mdl.procs[1]);
  take_event (&mdl, &mdl.procs[1]);
  ck_assert (mdl.procs[1].granted);
  request (lagging, DEADLINE_US);
  append (&mdl, lagging, ACT_APPEND);
  claim_core_handle_gap (&lagging->core, 1);
  read_all (&mdl, lagging);
  ck_assert (claim_core_next_event (&lagging->core, 0, &event));
  ck_assert_int_eq (event.outcome.verdict, CLAIM_UNAVAILABLE);
  ck_assert (!wants_append (lagging));
  model_end (&mdl);
}
END_TEST

/* Guards against a process that stays ready while reads of the log get no
   reply.  */
START_TEST (test_log_does_not_answer)
{
  struct model mdl;
  model_start (&mdl, 1, 0);
  struct claim_core *core = &mdl.procs[0].core;
  core->priv->max_read_age_us = 100;
  ck_assert (claim_core_ready (core, 100));
  ck_assert (!claim_core_ready (core, 101));
  claim_core_read_done (core, 101, 0);
  ck_assert (claim_core_ready (core, 101));
  model_end (&mdl);
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
  tcase_add_loop_test (tc, test_every_interleaving, 0, rows);
  tcase_add_test (tc, test_gap_before_grant);
  tcase_add_test (tc, test_log_does_not_answer);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
