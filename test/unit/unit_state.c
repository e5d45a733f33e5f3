#include <check.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/err.h"
#include "config_help.h"
#include "log_memory.h"
#include "state/state.h"

#define NONE TABLE_NO_VERSION
#define COUNT(a) (sizeof (a) / sizeof *(a))
#define WATCHDOG_S 60
#define LONG_MS 30000

/* One process's way to the log, which can fail for this process alone.  */
struct door
{
  struct log_store st;
  struct log_memory *mem;
  bool down;
  bool closed; /* the store was finished */
};

struct door_call
{
  struct door *door;
  read_fn *read;
  append_fn *append;
  void *arg;
};

static void
door_read_done (void *arg, const struct read_result *res)
{
  struct door_call *call = arg;
  const struct read_result down = { .err = ERR_UNAVAILABLE };
  if (!call->door->closed)
    call->read (call->arg, call->door->down ? &down : res);
  talloc_free (call);
}

static int
door_read (struct log_store *st, const char *stream, uint64_t from,
           size_t max_bytes, int64_t wait_ms, read_fn *fn, void *arg)
{
  struct door *door = (struct door *)st;
  struct door_call *call = talloc (door->mem->root, struct door_call);
  *call = (struct door_call){ .door = door, .read = fn, .arg = arg };
  return log_store_read (&door->mem->st, stream, from, max_bytes, wait_ms,
                         door_read_done, call);
}

static void
door_append_done (void *arg, const struct append_result *res)
{
  struct door_call *call = arg;
  if (!call->door->closed)
    call->append (call->arg, res);
  talloc_free (call);
}

static int
door_append (struct log_store *st, const char *stream, const uint8_t *data,
             size_t len, append_fn *fn, void *arg)
{
  struct door *door = (struct door *)st;
  struct door_call *call = talloc (door->mem->root, struct door_call);
  *call = (struct door_call){ .door = door, .append = fn, .arg = arg };
  return log_store_append (&door->mem->st, stream, data, len, door_append_done,
                           call);
}

static const struct log_store_driver door_driver
    = { .append = door_append, .read = door_read };

struct process
{
  struct door *door;
  struct state st;
  uint64_t least_offset; /* of the fold in the last change */
  uint32_t changes;
};

#define PROCESSES 3

static void *ctx;
static struct tevent_context *ev;
static struct log_memory mem;
static struct clock_manual clk;
static struct process procs[PROCESSES];
static uint64_t incarnations;
static struct counters ctrs;

static void
on_change (void *arg, const struct fold *fd)
{
  struct process *proc = arg;
  ck_assert_uint_ge (fd->next_offset, proc->least_offset);
  for (size_t n = 0; n < fd->table->count; n++)
    ck_assert_uint_lt (fd->table->rows[n]->version, fd->next_offset);
  proc->least_offset = fd->next_offset;
  proc->changes++;
}

static void
process_start (struct process *proc, const char *name)
{
  struct state_settings set = state_settings_default;
  set.writer = name;
  set.incarnation = ++incarnations;
  set.wait_ms = 50;
  set.counters = &ctrs;
  set.backoff_min_ms = 1;
  set.backoff_max_ms = 5;
  memset (proc, 0, sizeof *proc);
  proc->door = talloc_zero (ctx, struct door);
  proc->door->st.drv = &door_driver;
  proc->door->mem = &mem;
  ck_assert_int_eq (
      state_init (&proc->st, ctx, &set, &proc->door->st, ev, &clk.clk), 0);
  state_on_change (&proc->st, on_change, proc);
}

static void
process_stop (struct process *proc)
{
  proc->door->closed = true;
  state_fini (&proc->st);
}

static void
on_watchdog (struct tevent_context *loop, struct tevent_timer *te,
             struct timeval now, void *arg)
{
  ck_abort_msg ("condition not met in %d s", WATCHDOG_S);
}

static void
setup (void)
{
  memset (&ctrs, 0, sizeof ctrs);
  ctx = talloc_new (NULL);
  ev = tevent_context_init (ctx);
  clock_manual_init (&clk, 5000000);
  log_memory_init (&mem, ctx, ev);
  tevent_add_timer (ev, ctx, tevent_timeval_current_ofs (WATCHDOG_S, 0),
                    on_watchdog, NULL);
  process_start (&procs[0], "p0");
  process_start (&procs[1], "p1");
  process_start (&procs[2], "p2");
}

static void
teardown (void)
{
  log_store_fini (&mem.st);
  for (int n = 0; n < PROCESSES; n++)
    state_fini (&procs[n].st);
  talloc_free (ctx);
}

#define RUN_UNTIL(cond)                                                       \
  while (!(cond))                                                             \
  ck_assert_int_eq (tevent_loop_once (ev), 0)

static const struct fold *
fold_of (int n)
{
  return state_fold (&procs[n].st);
}

static bool
has_read (int n)
{
  return state_ready (&procs[n].st) && fold_of (n)->next_offset == mem.next;
}

static bool
all_read (void)
{
  return has_read (0) && has_read (1) && has_read (2);
}

/* What an edit's callback was told.  */
struct told
{
  bool done;
  enum state_edit_outcome outcome;
  uint64_t offset;
  size_t conflicts;
  size_t faults;
  uint32_t proposed_weight;
  uint32_t standing_weight;
  uint32_t mark; /* weight of the edit, unique */
};

static void
on_edit (void *arg, const struct state_edit_result *res)
{
  struct told *told = arg;
  ck_assert (!told->done);
  told->done = true;
  told->outcome = res->outcome;
  told->offset = res->offset;
  told->conflicts = res->conflict_count;
  told->faults = res->faults ? res->faults->total : 0;
  if (res->conflict_count > 0)
    {
      told->proposed_weight = res->conflicts[0].row.row.kind.weight;
      told->standing_weight = res->conflicts[0].row_now.kind.weight;
    }
}

static int
edit_row (int n, struct table_row row, uint64_t version, int64_t timeout_ms,
          struct told *told)
{
  struct fold_row_change change = help_set (row, version);
  struct fold_edit edit
      = { .editor = "marie", .rows = &change, .row_count = 1 };
  memset (told, 0, sizeof *told);
  told->mark = row.sort == TABLE_KIND ? row.kind.weight : 0;
  return state_edit (&procs[n].st, &edit, timeout_ms, on_edit, told);
}

/* Pool a at offset 0, kind k with weight 100 at offset 1.  */
static void
base_table (void)
{
  struct told told;
  RUN_UNTIL (all_read ());
  ck_assert_int_eq (edit_row (0, help_pool ("a"), NONE, LONG_MS, &told), 0);
  RUN_UNTIL (told.done);
  ck_assert_int_eq (told.outcome, STATE_EDIT_ACCEPTED);
  ck_assert_int_eq (
      edit_row (0, help_kind ("k", "a", 100), NONE, LONG_MS, &told), 0);
  RUN_UNTIL (told.done && all_read ());
  ck_assert_uint_eq (told.offset, 1);
}

static uint32_t
weight_at (int n)
{
  const struct table_row *row
      = table_find (fold_of (n)->table, TABLE_KIND, "k");
  return row ? row->kind.weight : 0;
}

static const enum log_memory_fault passing_faults[]
    = { FAULT_NONE, FAULT_REPLY_LOST, FAULT_LOST,
        FAULT_LATE, FAULT_NOT_DONE,   FAULT_SLOW };

/* Guards against an edit that is lost, or counts twice, because of one failed
   append.  */
START_TEST (test_passing_fault)
{
  struct told told;
  base_table ();
  mem.fault = passing_faults[_i];
  ck_assert_int_eq (edit_row (1, help_kind ("k", "a", 7), 1, LONG_MS, &told),
                    0);
  mem.fault = FAULT_NONE;
  if (passing_faults[_i] == FAULT_SLOW)
    log_memory_land (&mem);
  RUN_UNTIL (told.done);
  ck_assert_int_eq (told.outcome, STATE_EDIT_ACCEPTED);
  ck_assert_uint_eq (told.offset, 2);
  log_memory_land (&mem);
  RUN_UNTIL (all_read ());
  for (int n = 0; n < PROCESSES; n++)
    {
      ck_assert_uint_eq (weight_at (n), 7);
      ck_assert_uint_eq (fold_of (n)->outcomes[FOLD_APPLIED], 3);
    }
}
END_TEST

/* Guards against an edit that is reported as not accepted and still stands in
   the log, or that is reported as unknown although it certainly does not.  */
START_TEST (test_lasting_fault)
{
  struct told told;
  const enum log_memory_fault faults[] = { FAULT_NOT_DONE, FAULT_LOST };
  const enum state_edit_outcome outcomes[]
      = { STATE_EDIT_NOT_ACCEPTED, STATE_EDIT_UNKNOWN };
  base_table ();
  mem.fault = faults[_i];
  ck_assert_int_eq (edit_row (1, help_kind ("k", "a", 7), 1, 30, &told), 0);
  RUN_UNTIL (told.done);
  ck_assert_int_eq (told.outcome, outcomes[_i]);
  ck_assert_uint_eq (told.offset, UINT64_MAX);
  ck_assert_uint_eq (mem.next, 2);
}
END_TEST

/* Guards against two processes whose editors both win, and against a conflict
   that does not show both values.  */
START_TEST (test_conflict)
{
  struct told first;
  struct told second;
  base_table ();
  ck_assert_int_eq (edit_row (1, help_kind ("k", "a", 7), 1, LONG_MS, &first),
                    0);
  ck_assert_int_eq (edit_row (2, help_kind ("k", "a", 8), 1, LONG_MS, &second),
                    0);
  RUN_UNTIL (first.done && second.done && all_read ());
  ck_assert_int_eq (first.outcome, STATE_EDIT_ACCEPTED);
  ck_assert_int_eq (second.outcome, STATE_EDIT_CONFLICT);
  ck_assert_uint_eq (second.proposed_weight, 8);
  ck_assert_uint_eq (second.standing_weight, 7);
  ck_assert_uint_eq (weight_at (2), 7);

  ck_assert_int_eq (
      edit_row (2, help_kind ("k", "nowhere", 8), 2, LONG_MS, &second), 0);
  RUN_UNTIL (second.done);
  ck_assert_int_eq (second.outcome, STATE_EDIT_INVALID);
  ck_assert_uint_eq (second.faults, 1);
}
END_TEST

/* Guards against edits taken while nothing is known of the log, and against a
   state that is lost, or whose age stands still, during an outage.  */
START_TEST (test_outage)
{
  struct told told;
  ck_assert_int_eq (edit_row (0, help_pool ("a"), NONE, LONG_MS, &told),
                    ERR_UNAVAILABLE);
  ck_assert_int_eq (state_age_ms (&procs[0].st), INT64_MAX);
  base_table ();
  ck_assert_int_eq (state_age_ms (&procs[0].st), 0);
  uint32_t reads = mem.reads;
  mem.down = true;
  RUN_UNTIL (mem.reads > reads + 12);
  clk.now_us += 90000000;
  ck_assert_int_eq (state_age_ms (&procs[0].st), 90000);
  ck_assert_uint_eq (weight_at (0), 100);
  ck_assert_int_eq (edit_row (0, help_kind ("k", "a", 7), 1, LONG_MS, &told),
                    ERR_UNAVAILABLE);
  mem.down = false;
  RUN_UNTIL (state_age_ms (&procs[0].st) == 0);
  ck_assert_int_eq (edit_row (0, help_kind ("k", "a", 7), 1, LONG_MS, &told),
                    0);
  RUN_UNTIL (told.done);
  ck_assert_int_eq (told.outcome, STATE_EDIT_ACCEPTED);
}
END_TEST

struct written
{
  bool done;
  int err;
};

static void
on_snapshot (void *arg, int err)
{
  *(struct written *)arg = (struct written){ true, err };
}

static void
write_snapshot (int n)
{
  struct written written = { 0 };
  ck_assert_int_eq (
      state_snapshot (&procs[n].st, LONG_MS, on_snapshot, &written), 0);
  RUN_UNTIL (written.done);
  ck_assert_int_eq (written.err, 0);
}

/* Guards against a process that skips expired records, and against one that
   drops its last state before it has a newer one.  */
START_TEST (test_gap)
{
  struct told told;
  base_table ();
  procs[2].door->down = true;
  ck_assert_int_eq (edit_row (0, help_kind ("k", "a", 7), 1, LONG_MS, &told),
                    0);
  RUN_UNTIL (told.done && fold_of (1)->next_offset == 3);
  log_memory_truncate (&mem, 3);
  procs[2].door->down = false;
  RUN_UNTIL (!state_ready (&procs[2].st));
  uint32_t reads = mem.reads;
  RUN_UNTIL (mem.reads > reads + 12);
  ck_assert (!state_ready (&procs[2].st));
  ck_assert_uint_eq (weight_at (2), 100);
  ck_assert_int_eq (edit_row (2, help_kind ("k", "a", 9), 1, LONG_MS, &told),
                    ERR_UNAVAILABLE);

  write_snapshot (1);
  RUN_UNTIL (all_read ());
  ck_assert_uint_eq (weight_at (2), 7);
  ck_assert_uint_eq (state_records_since_snapshot (&procs[1].st), 0);
  help_assert_same (fold_of (0), fold_of (2));
}
END_TEST

/* Guards against a process with empty memory that cannot start when the first
   records have expired, or starts from a half snapshot.  */
START_TEST (test_fresh_process)
{
  struct told told;
  struct snapshot snap;
  base_table ();
  write_snapshot (1);
  ck_assert_int_eq (edit_row (0, help_kind ("k", "a", 7), 1, LONG_MS, &told),
                    0);
  RUN_UNTIL (told.done && all_read ());
  /* The writer of the next snapshot ends after half of it.  */
  ck_assert_int_eq (snapshot_make (ctx, fold_of (0), &snap), 0);
  snap.total++;
  struct help_record half = help_piece (ctx, 1, &snap, 0);
  log_memory_put (&mem, half.data, half.len);
  log_memory_truncate (&mem, 2);
  process_stop (&procs[2]);
  process_start (&procs[2], "p2");
  RUN_UNTIL (all_read ());
  ck_assert_uint_eq (weight_at (2), 7);
  ck_assert_uint_eq (procs[2].changes, 1);
  help_assert_same (fold_of (0), fold_of (2));
}
END_TEST

/* Guards against an edit whose record expired unread and that is reported as
   not accepted.  */
START_TEST (test_edit_settled_by_snapshot)
{
  struct told told;
  base_table ();
  procs[2].door->down = true;
  uint32_t reads = mem.reads;
  RUN_UNTIL (mem.reads > reads + 12);
  procs[2].door->down = false;
  RUN_UNTIL (edit_row (2, help_kind ("k", "a", 7), 1, LONG_MS, &told) == 0);
  procs[2].door->down = true;
  RUN_UNTIL (fold_of (0)->next_offset == 3);
  write_snapshot (0);
  log_memory_truncate (&mem, 3);
  procs[2].door->down = false;
  RUN_UNTIL (told.done);
  ck_assert_int_eq (told.outcome, STATE_EDIT_ACCEPTED);
  ck_assert_uint_eq (told.offset, 2);
  ck_assert_uint_eq (weight_at (2), 7);
}
END_TEST

/* Guards against folding on beyond a record of a later format, and against a
   return to an older state when the log lost its end.  */
START_TEST (test_blocked)
{
  base_table ();
  struct fold_row_change kind = help_set (help_kind ("k", "a", 7), 1);
  struct help_record rec = help_rows (ctx, "later", 1, 2, &kind, 1);
  if (_i == 0)
    {
      rec.data[1]++; /* the envelope's format version */
      log_memory_put (&mem, rec.data, rec.len);
    }
  else
    mem.next = 1;
  RUN_UNTIL (!state_ready (&procs[0].st) && !state_ready (&procs[1].st));
  ck_assert_uint_eq (weight_at (0), 100);
  ck_assert_uint_eq (fold_of (0)->next_offset, 2);
}
END_TEST

#define EDITS 400

static void
random_step (unsigned short seed[3], struct told *told, uint32_t mark)
{
  const enum log_memory_fault faults[]
      = { FAULT_NONE, FAULT_NONE, FAULT_NONE,    FAULT_REPLY_LOST,
          FAULT_LOST, FAULT_LATE, FAULT_NOT_DONE };
  int who = (int)(nrand48 (seed) % PROCESSES);
  char name[8];
  snprintf (name, sizeof name, "k%ld", nrand48 (seed) % 4);
  const struct table_row *now
      = table_find (fold_of (who)->table, TABLE_KIND, name);
  uint64_t version = now ? now->version : NONE;
  mem.fault = faults[nrand48 (seed) % COUNT (faults)];
  if (edit_row (who, help_kind (name, "a", mark), version, LONG_MS, told) != 0)
    {
      told->done = true;
      told->outcome = STATE_EDIT_NOT_ACCEPTED;
    }
  mem.fault = FAULT_NONE;
  procs[who].door->down = nrand48 (seed) % 8 == 0;
  if (nrand48 (seed) % 4 == 0)
    log_memory_land (&mem);
  for (long n = nrand48 (seed) % 6; n > 0; n--)
    ck_assert_int_eq (tevent_loop_once (ev), 0);
}

/* Whether the record at each offset set the given mark, by a fold of all
   records apart from the processes.  */
static bool *
marks_applied (struct fold *fd)
{
  bool *marks = talloc_zero_array (ctx, bool, EDITS + 1);
  ck_assert_int_eq (fold_init (fd, ctx), 0);
  for (uint64_t off = 0; off < mem.next; off++)
    {
      struct log_record_view rec = log_memory_view (&mem, off);
      struct fold_result res;
      ck_assert_int_eq (
          fold_record (fd, off, rec.time_ms, rec.data, rec.len, &res), 0);
      if (res.outcome != FOLD_APPLIED)
        continue;
      const struct fold_change *last
          = fold_history (fd, fd->history_count - 1);
      if (last && last->after.sort == TABLE_KIND
          && last->after.kind.weight <= EDITS)
        marks[last->after.kind.weight] = true;
    }
  return marks;
}

/* Guards against processes that differ after races, lost replies, outages,
   snapshots and expired records in any order, and against editors who are
   told what did not happen.  */
START_TEST (test_random)
{
  const char *env = getenv ("STATE_SEED");
  uint32_t num
      = env ? (uint32_t)strtoul (env, NULL, 10) : 20261204U + (uint32_t)_i;
  unsigned short seed[3]
      = { (unsigned short)num, (unsigned short)(num >> 16), 2 };
  struct told *told = talloc_zero_array (ctx, struct told, EDITS + 1);
  struct fold fd;
  printf ("STATE_SEED=%u\n", num);
  RUN_UNTIL (all_read ());
  ck_assert_int_eq (edit_row (0, help_pool ("a"), NONE, LONG_MS, told), 0);
  RUN_UNTIL (told[0].done && all_read ());
  for (uint32_t n = 1; n <= EDITS; n++)
    {
      random_step (seed, &told[n], n);
      if (nrand48 (seed) % 40 != 0)
        continue;
      /* Whoever is cut off now may have expired records to come.  */
      int who = (int)(nrand48 (seed) % PROCESSES);
      procs[who].door->down = false;
      RUN_UNTIL (has_read (who));
      uint64_t first = fold_of (who)->next_offset;
      write_snapshot (who);
      log_memory_truncate (&mem, first);
    }
  log_memory_land (&mem);
  for (int m = 0; m < PROCESSES; m++)
    procs[m].door->down = false;
  for (uint32_t n = 0; n <= EDITS; n++)
    RUN_UNTIL (told[n].done);
  RUN_UNTIL (all_read ());
  bool *marks = marks_applied (&fd);
  uint32_t accepted = 0;
  for (uint32_t n = 1; n <= EDITS; n++)
    {
      accepted += told[n].outcome == STATE_EDIT_ACCEPTED;
      if (told[n].outcome != STATE_EDIT_UNKNOWN)
        ck_assert_msg (marks[n] == (told[n].outcome == STATE_EDIT_ACCEPTED),
                       "edit %u: %s", n,
                       state_edit_outcome_name (told[n].outcome));
    }
  ck_assert_uint_gt (accepted, EDITS / 10);
  ck_assert_uint_gt (counter_get (&ctrs, CTR_STATE_GAPS), 0);
  for (int m = 0; m < PROCESSES; m++)
    help_assert_same (&fd, fold_of (m));
  fold_fini (&fd);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("state");
  TCase *tc = tcase_create ("state");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_set_timeout (tc, 100);
  tcase_add_loop_test (tc, test_passing_fault, 0, COUNT (passing_faults));
  tcase_add_loop_test (tc, test_lasting_fault, 0, 2);
  tcase_add_test (tc, test_conflict);
  tcase_add_test (tc, test_outage);
  tcase_add_test (tc, test_gap);
  tcase_add_test (tc, test_fresh_process);
  tcase_add_test (tc, test_edit_settled_by_snapshot);
  tcase_add_loop_test (tc, test_blocked, 0, 2);
  tcase_add_loop_test (tc, test_random, 0, 4);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
