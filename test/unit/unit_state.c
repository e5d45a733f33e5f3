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

#define NO_VERSION TABLE_NO_VERSION
#define COUNT(a) (sizeof (a) / sizeof *(a))
#define WATCHDOG_S 60
#define EDIT_TIMEOUT_MS 30000

/* Log store of one process; forwards its calls to the shared log in memory.
   Its reads can fail for this process alone.  */
struct process_store
{
  struct log_store st;
  struct log_memory *mem;
  bool reads_fail;
  bool closed; /* the process has stopped; replies are dropped */
};

struct store_call
{
  struct process_store *store;
  read_fn *read;
  append_fn *append;
  void *arg;
};

static void
store_read_done (void *arg, const struct read_result *res)
{
  struct store_call *call = arg;
  const struct read_result unavailable = { .err = ERR_UNAVAILABLE };
  if (!call->store->closed)
    call->read (call->arg, call->store->reads_fail ? &unavailable : res);
  talloc_free (call);
}

static int
process_store_read (struct log_store *st, const char *stream, uint64_t from,
                    size_t max_bytes, int64_t wait_ms, read_fn *fn, void *arg)
{
  struct process_store *store = (struct process_store *)st;
  struct store_call *call = talloc (store->mem->root, struct store_call);
  *call = (struct store_call){ .store = store, .read = fn, .arg = arg };
  return log_store_read (&store->mem->st, stream, from, max_bytes, wait_ms,
                         store_read_done, call);
}

static void
store_append_done (void *arg, const struct append_result *res)
{
  struct store_call *call = arg;
  if (!call->store->closed)
    call->append (call->arg, res);
  talloc_free (call);
}

static int
process_store_append (struct log_store *st, const char *stream,
                      const uint8_t *data, size_t len, append_fn *fn,
                      void *arg)
{
  struct process_store *store = (struct process_store *)st;
  struct store_call *call = talloc (store->mem->root, struct store_call);
  *call = (struct store_call){ .store = store, .append = fn, .arg = arg };
  return log_store_append (&store->mem->st, stream, data, len,
                           store_append_done, call);
}

static const struct log_store_driver process_store_driver
    = { .append = process_store_append, .read = process_store_read };

struct process
{
  struct process_store *store;
  struct state st;
  uint64_t last_offset; /* next_offset at the last change */
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
  ck_assert_uint_ge (fd->next_offset, proc->last_offset);
  for (size_t n = 0; n < fd->table->count; n++)
    ck_assert_uint_lt (fd->table->rows[n]->version, fd->next_offset);
  proc->last_offset = fd->next_offset;
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
  proc->store = talloc_zero (ctx, struct process_store);
  proc->store->st.drv = &process_store_driver;
  proc->store->mem = &mem;
  ck_assert_int_eq (
      state_init (&proc->st, ctx, &set, &proc->store->st, ev, &clk.clk), 0);
  state_on_change (&proc->st, on_change, proc);
}

static void
process_stop (struct process *proc)
{
  proc->store->closed = true;
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
is_caught_up (int n)
{
  return state_ready (&procs[n].st) && fold_of (n)->next_offset == mem.next;
}

static bool
all_caught_up (void)
{
  return is_caught_up (0) && is_caught_up (1) && is_caught_up (2);
}

/* What the callback of an edit reported.  */
struct edit_report
{
  bool done;
  enum state_edit_outcome outcome;
  uint64_t offset;
  size_t conflicts;
  size_t faults;
  uint32_t proposed_weight;
  uint32_t current_weight;
  uint32_t weight; /* of the kind that the edit sets; 0: it sets a pool */
};

static void
on_edit (void *arg, const struct state_edit_result *res)
{
  struct edit_report *report = arg;
  ck_assert (!report->done);
  report->done = true;
  report->outcome = res->outcome;
  report->offset = res->offset;
  report->conflicts = res->conflict_count;
  report->faults = res->faults ? res->faults->total : 0;
  if (res->conflict_count > 0)
    {
      report->proposed_weight = res->conflicts[0].row.row.kind.weight;
      report->current_weight = res->conflicts[0].current_row.kind.weight;
    }
}

static int
edit_row (int n, struct table_row row, uint64_t version, int64_t timeout_ms,
          struct edit_report *report)
{
  struct fold_row_change change = help_set_row (row, version);
  struct fold_edit edit
      = { .editor = "marie", .rows = &change, .row_count = 1 };
  memset (report, 0, sizeof *report);
  report->weight = row.type == TABLE_KIND ? row.kind.weight : 0;
  return state_edit (&procs[n].st, &edit, timeout_ms, on_edit, report);
}

/* Adds pool a at offset 0 and kind k with weight 100 at offset 1.  */
static void
write_base_table (void)
{
  struct edit_report report;
  RUN_UNTIL (all_caught_up ());
  ck_assert_int_eq (
      edit_row (0, help_pool_row ("a"), NO_VERSION, EDIT_TIMEOUT_MS, &report),
      0);
  RUN_UNTIL (report.done);
  ck_assert_int_eq (report.outcome, STATE_EDIT_ACCEPTED);
  ck_assert_int_eq (edit_row (0, help_kind_row ("k", "a", 100), NO_VERSION,
                              EDIT_TIMEOUT_MS, &report),
                    0);
  RUN_UNTIL (report.done && all_caught_up ());
  ck_assert_uint_eq (report.offset, 1);
}

static uint32_t
weight_at (int n)
{
  const struct table_row *row
      = table_find (fold_of (n)->table, TABLE_KIND, "k");
  return row ? row->kind.weight : 0;
}

static const enum log_memory_fault transient_faults[]
    = { FAULT_NONE,           FAULT_REPLY_LOST, FAULT_APPEND_LOST,
        FAULT_APPEND_DELAYED, FAULT_NOT_DONE,   FAULT_SLOW };

/* Guards against an edit that is lost or applied twice after one failed
   append.  */
START_TEST (test_transient_fault)
{
  struct edit_report report;
  write_base_table ();
  mem.fault = transient_faults[_i];
  ck_assert_int_eq (
      edit_row (1, help_kind_row ("k", "a", 7), 1, EDIT_TIMEOUT_MS, &report),
      0);
  mem.fault = FAULT_NONE;
  if (transient_faults[_i] == FAULT_SLOW)
    log_memory_append_delayed (&mem);
  RUN_UNTIL (report.done);
  ck_assert_int_eq (report.outcome, STATE_EDIT_ACCEPTED);
  ck_assert_uint_eq (report.offset, 2);
  log_memory_append_delayed (&mem);
  RUN_UNTIL (all_caught_up ());
  for (int n = 0; n < PROCESSES; n++)
    {
      ck_assert_uint_eq (weight_at (n), 7);
      ck_assert_uint_eq (fold_of (n)->outcomes[FOLD_APPLIED], 3);
    }
}
END_TEST

/* Guards against an edit that is reported as not accepted although it may be
   in the log, or as unknown although it cannot be there.  */
START_TEST (test_persistent_fault)
{
  struct edit_report report;
  const enum log_memory_fault faults[] = { FAULT_NOT_DONE, FAULT_APPEND_LOST };
  const enum state_edit_outcome outcomes[]
      = { STATE_EDIT_NOT_ACCEPTED, STATE_EDIT_UNKNOWN };
  write_base_table ();
  mem.fault = faults[_i];
  ck_assert_int_eq (edit_row (1, help_kind_row ("k", "a", 7), 1, 30, &report),
                    0);
  RUN_UNTIL (report.done);
  ck_assert_int_eq (report.outcome, outcomes[_i]);
  ck_assert_uint_eq (report.offset, UINT64_MAX);
  ck_assert_uint_eq (mem.next, 2);
}
END_TEST

/* Guards against conflicting edits from two processes that are both accepted,
   and against a conflict report without the proposed or the current value.  */
START_TEST (test_conflict)
{
  struct edit_report first;
  struct edit_report second;
  write_base_table ();
  ck_assert_int_eq (
      edit_row (1, help_kind_row ("k", "a", 7), 1, EDIT_TIMEOUT_MS, &first),
      0);
  ck_assert_int_eq (
      edit_row (2, help_kind_row ("k", "a", 8), 1, EDIT_TIMEOUT_MS, &second),
      0);
  RUN_UNTIL (first.done && second.done && all_caught_up ());
  ck_assert_int_eq (first.outcome, STATE_EDIT_ACCEPTED);
  ck_assert_int_eq (second.outcome, STATE_EDIT_CONFLICT);
  ck_assert_uint_eq (second.proposed_weight, 8);
  ck_assert_uint_eq (second.current_weight, 7);
  ck_assert_uint_eq (weight_at (2), 7);

  ck_assert_int_eq (edit_row (2, help_kind_row ("k", "nowhere", 8), 2,
                              EDIT_TIMEOUT_MS, &second),
                    0);
  RUN_UNTIL (second.done);
  ck_assert_int_eq (second.outcome, STATE_EDIT_INVALID);
  ck_assert_uint_eq (second.faults, 1);
}
END_TEST

/* Guards against edits that are accepted before the log was read or while it
   cannot be read, and against a state that is lost, or whose age does not
   grow, during an outage.  */
START_TEST (test_outage)
{
  struct edit_report report;
  ck_assert_int_eq (
      edit_row (0, help_pool_row ("a"), NO_VERSION, EDIT_TIMEOUT_MS, &report),
      ERR_UNAVAILABLE);
  ck_assert_int_eq (state_age_ms (&procs[0].st), INT64_MAX);
  write_base_table ();
  ck_assert_int_eq (state_age_ms (&procs[0].st), 0);
  uint32_t reads = mem.reads;
  mem.down = true;
  RUN_UNTIL (mem.reads > reads + 12);
  clk.now_us += 90000000;
  ck_assert_int_eq (state_age_ms (&procs[0].st), 90000);
  ck_assert_uint_eq (weight_at (0), 100);
  ck_assert_int_eq (
      edit_row (0, help_kind_row ("k", "a", 7), 1, EDIT_TIMEOUT_MS, &report),
      ERR_UNAVAILABLE);
  mem.down = false;
  RUN_UNTIL (state_age_ms (&procs[0].st) == 0);
  ck_assert_int_eq (
      edit_row (0, help_kind_row ("k", "a", 7), 1, EDIT_TIMEOUT_MS, &report),
      0);
  RUN_UNTIL (report.done);
  ck_assert_int_eq (report.outcome, STATE_EDIT_ACCEPTED);
}
END_TEST

struct snapshot_report
{
  bool done;
  int err;
};

static void
on_snapshot (void *arg, int err)
{
  *(struct snapshot_report *)arg = (struct snapshot_report){ true, err };
}

static void
write_snapshot (int n)
{
  struct snapshot_report report = { 0 };
  ck_assert_int_eq (state_write_snapshot (&procs[n].st, EDIT_TIMEOUT_MS,
                                          on_snapshot, &report),
                    0);
  RUN_UNTIL (report.done);
  ck_assert_int_eq (report.err, 0);
}

/* Guards against a process that skips records that expired unread, and against
   one that drops its last state before it has a newer one.  */
START_TEST (test_gap)
{
  struct edit_report report;
  write_base_table ();
  procs[2].store->reads_fail = true;
  ck_assert_int_eq (
      edit_row (0, help_kind_row ("k", "a", 7), 1, EDIT_TIMEOUT_MS, &report),
      0);
  RUN_UNTIL (report.done && fold_of (1)->next_offset == 3);
  log_memory_truncate (&mem, 3);
  procs[2].store->reads_fail = false;
  RUN_UNTIL (!state_ready (&procs[2].st));
  uint32_t reads = mem.reads;
  RUN_UNTIL (mem.reads > reads + 12);
  ck_assert (!state_ready (&procs[2].st));
  ck_assert_uint_eq (weight_at (2), 100);
  ck_assert_int_eq (
      edit_row (2, help_kind_row ("k", "a", 9), 1, EDIT_TIMEOUT_MS, &report),
      ERR_UNAVAILABLE);

  write_snapshot (1);
  RUN_UNTIL (all_caught_up ());
  ck_assert_uint_eq (weight_at (2), 7);
  ck_assert_uint_eq (state_records_since_snapshot (&procs[1].st), 0);
  help_assert_same_state (fold_of (0), fold_of (2));
}
END_TEST

/* Guards against a starting process that cannot recover when the first records
   have expired, or that loads an incomplete snapshot.  */
START_TEST (test_fresh_process)
{
  struct edit_report report;
  struct snapshot snap;
  write_base_table ();
  write_snapshot (1);
  ck_assert_int_eq (
      edit_row (0, help_kind_row ("k", "a", 7), 1, EDIT_TIMEOUT_MS, &report),
      0);
  RUN_UNTIL (report.done && all_caught_up ());
  /* The next snapshot is incomplete: its only piece is the first of two.  */
  ck_assert_int_eq (snapshot_make (ctx, fold_of (0), &snap), 0);
  snap.total++;
  struct help_record piece = help_piece_record (ctx, 1, &snap, 0);
  log_memory_put (&mem, piece.data, piece.len);
  log_memory_truncate (&mem, 2);
  process_stop (&procs[2]);
  process_start (&procs[2], "p2");
  RUN_UNTIL (all_caught_up ());
  ck_assert_uint_eq (weight_at (2), 7);
  ck_assert_uint_eq (procs[2].changes, 1);
  help_assert_same_state (fold_of (0), fold_of (2));
}
END_TEST

/* Guards against an edit that is reported as not accepted because its record
   expired before the process read it.  */
START_TEST (test_edit_outcome_from_snapshot)
{
  struct edit_report report;
  write_base_table ();
  procs[2].store->reads_fail = true;
  uint32_t reads = mem.reads;
  RUN_UNTIL (mem.reads > reads + 12);
  procs[2].store->reads_fail = false;
  RUN_UNTIL (
      edit_row (2, help_kind_row ("k", "a", 7), 1, EDIT_TIMEOUT_MS, &report)
      == 0);
  procs[2].store->reads_fail = true;
  RUN_UNTIL (fold_of (0)->next_offset == 3);
  write_snapshot (0);
  log_memory_truncate (&mem, 3);
  procs[2].store->reads_fail = false;
  RUN_UNTIL (report.done);
  ck_assert_int_eq (report.outcome, STATE_EDIT_ACCEPTED);
  ck_assert_uint_eq (report.offset, 2);
  ck_assert_uint_eq (weight_at (2), 7);
}
END_TEST

/* Writes a snapshot that includes the record at offset 2, as a program that
   knows the later format would, and expires the records up to this one.  */
static void
write_snapshot_past_blocked (void)
{
  struct help_record corrupt = { (uint8_t *)"?", 1 };
  struct snapshot snap;
  struct fold fd;
  ck_assert_int_eq (fold_init (&fd, ctx), 0);
  for (uint64_t off = 0; off < 2; off++)
    {
      struct log_record_view rec = log_memory_view (&mem, off);
      help_fold (&fd, (struct help_record){ (uint8_t *)rec.data, rec.len },
                 NULL);
    }
  help_fold (&fd, corrupt, NULL);
  ck_assert_int_eq (snapshot_make (ctx, &fd, &snap), 0);
  ck_assert_uint_eq (snap.total, 1);
  struct help_record piece = help_piece_record (ctx, 1, &snap, 0);
  log_memory_put (&mem, piece.data, piece.len);
  log_memory_truncate (&mem, 3);
  fold_fini (&fd);
}

/* Case 0: the log has a record of a later format.  Case 1: the log lost its
   last record.  Guards against folding past such a record, against a return to
   an older state, and against a process that stays blocked although a snapshot
   includes the record.  */
START_TEST (test_blocked)
{
  write_base_table ();
  struct fold_row_change kind = help_set_row (help_kind_row ("k", "a", 7), 1);
  struct help_record rec = help_rows_record (ctx, "later", 1, 2, &kind, 1);
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
  if (_i != 0)
    return;
  write_snapshot_past_blocked ();
  RUN_UNTIL (fold_of (0)->next_offset == 4);
  ck_assert (state_ready (&procs[0].st));
}
END_TEST

#define EDITS 400

static void
random_step (unsigned short seed[3], struct edit_report *report,
             uint32_t weight)
{
  const enum log_memory_fault faults[]
      = { FAULT_NONE,       FAULT_NONE,        FAULT_NONE,
          FAULT_REPLY_LOST, FAULT_APPEND_LOST, FAULT_APPEND_DELAYED,
          FAULT_NOT_DONE };
  int proc_idx = (int)(nrand48 (seed) % PROCESSES);
  char name[8];
  snprintf (name, sizeof name, "k%ld", nrand48 (seed) % 4);
  const struct table_row *now
      = table_find (fold_of (proc_idx)->table, TABLE_KIND, name);
  uint64_t version = now ? now->version : NO_VERSION;
  mem.fault = faults[nrand48 (seed) % COUNT (faults)];
  if (edit_row (proc_idx, help_kind_row (name, "a", weight), version,
                EDIT_TIMEOUT_MS, report)
      != 0)
    {
      report->done = true;
      report->outcome = STATE_EDIT_NOT_ACCEPTED;
    }
  mem.fault = FAULT_NONE;
  procs[proc_idx].store->reads_fail = nrand48 (seed) % 8 == 0;
  if (nrand48 (seed) % 4 == 0)
    log_memory_append_delayed (&mem);
  for (long n = nrand48 (seed) % 6; n > 0; n--)
    ck_assert_int_eq (tevent_loop_once (ev), 0);
}

/* Folds all records of the log into FD, independently of the processes.
   Element N of the result tells whether the edit with weight N was applied. */
static bool *
applied_weights (struct fold *fd)
{
  bool *applied = talloc_zero_array (ctx, bool, EDITS + 1);
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
      if (last && last->after.type == TABLE_KIND
          && last->after.kind.weight <= EDITS)
        applied[last->after.kind.weight] = true;
    }
  return applied;
}

/* Random races, lost replies, outages, snapshots and expired records in any
   order.  Guards against processes that end in different states, and against
   edits that are reported with a wrong outcome.  */
START_TEST (test_random)
{
  const char *env = getenv ("STATE_SEED");
  uint32_t num
      = env ? (uint32_t)strtoul (env, NULL, 10) : 20261204U + (uint32_t)_i;
  unsigned short seed[3]
      = { (unsigned short)num, (unsigned short)(num >> 16), 2 };
  struct edit_report *reports
      = talloc_zero_array (ctx, struct edit_report, EDITS + 1);
  struct fold fd;
  printf ("STATE_SEED=%u\n", num);
  RUN_UNTIL (all_caught_up ());
  ck_assert_int_eq (
      edit_row (0, help_pool_row ("a"), NO_VERSION, EDIT_TIMEOUT_MS, reports),
      0);
  RUN_UNTIL (reports[0].done && all_caught_up ());
  for (uint32_t n = 1; n <= EDITS; n++)
    {
      random_step (seed, &reports[n], n);
      if (nrand48 (seed) % 40 != 0)
        continue;
      /* Expires records that a process with failing reads may not have read
         yet.  */
      int proc_idx = (int)(nrand48 (seed) % PROCESSES);
      procs[proc_idx].store->reads_fail = false;
      RUN_UNTIL (is_caught_up (proc_idx));
      uint64_t first = fold_of (proc_idx)->next_offset;
      write_snapshot (proc_idx);
      log_memory_truncate (&mem, first);
    }
  log_memory_append_delayed (&mem);
  for (int m = 0; m < PROCESSES; m++)
    procs[m].store->reads_fail = false;
  for (uint32_t n = 0; n <= EDITS; n++)
    RUN_UNTIL (reports[n].done);
  RUN_UNTIL (all_caught_up ());
  bool *applied = applied_weights (&fd);
  uint32_t accepted = 0;
  for (uint32_t n = 1; n <= EDITS; n++)
    {
      accepted += reports[n].outcome == STATE_EDIT_ACCEPTED;
      if (reports[n].outcome != STATE_EDIT_UNKNOWN)
        ck_assert_msg (applied[n]
                           == (reports[n].outcome == STATE_EDIT_ACCEPTED),
                       "edit %u reported as %s, not as in the log", n,
                       state_edit_outcome_name (reports[n].outcome));
    }
  ck_assert_uint_gt (accepted, EDITS / 10);
  ck_assert_uint_gt (counter_get (&ctrs, CTR_STATE_GAPS), 0);
  for (int m = 0; m < PROCESSES; m++)
    help_assert_same_state (&fd, fold_of (m));
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
  tcase_add_loop_test (tc, test_transient_fault, 0, COUNT (transient_faults));
  tcase_add_loop_test (tc, test_persistent_fault, 0, 2);
  tcase_add_test (tc, test_conflict);
  tcase_add_test (tc, test_outage);
  tcase_add_test (tc, test_gap);
  tcase_add_test (tc, test_fresh_process);
  tcase_add_test (tc, test_edit_outcome_from_snapshot);
  tcase_add_loop_test (tc, test_blocked, 0, 2);
  tcase_add_loop_test (tc, test_random, 0, 4);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
