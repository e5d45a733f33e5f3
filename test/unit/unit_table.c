#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "table/table_csv.h"
#include "table/table_json.h"

static char *
read_file (void *parent, const char *path, size_t *len)
{
  FILE *file = fopen (path, "rb");
  ck_assert_msg (file != NULL, "%s", path);
  char *text = talloc_zero_size (parent, 65536);
  *len = fread (text, 1, 65535, file);
  fclose (file);
  return text;
}

static struct table *
import_csv (void *ctx, const char *text, struct table_faults *faults)
{
  struct table *tab = NULL;
  faults->parent = ctx;
  ck_assert_int_eq (table_csv_import (ctx, text, strlen (text), &tab, faults),
                    0);
  return tab;
}

static void
assert_equal (const struct table *a, const struct table *b)
{
  ck_assert_uint_eq (a->count, b->count);
  for (size_t n = 0; n < a->count; n++)
    {
      ck_assert (table_row_equal (a->rows[n], b->rows[n]));
      ck_assert_uint_eq (a->rows[n]->version, b->rows[n]->version);
    }
}

#define POOL_HEAD                                                             \
  "sort,name,availability_budget_pct,urgent_reserve_pct,"                     \
  "urgent_queue_deadline_ms,normal_queue_deadline_ms,"                        \
  "background_queue_deadline_ms,spare,buffer_cost_weight_pct,"                \
  "roll_out_weight_pct,moves_weight_pct\n"
#define KIND_HEAD                                                             \
  "sort,name,pool,weight,concurrency_limit,queue_limit,queue_deadline_ms,"    \
  "class,idempotent,attempts,expected_service_ms\n"

static const struct
{
  const char *text;
  const char *faults; /* "type@line/column", separated by blanks */
} fault_cases[] = {
  { POOL_HEAD "pool,a,50,5,1,1,1,no,50,25,25\n", "" },
  { POOL_HEAD "pool,a,101,6,0,600001,x,maybe,50,25,25\n",
    "range@2/availability_budget_pct range@2/urgent_reserve_pct "
    "range@2/urgent_queue_deadline_ms range@2/normal_queue_deadline_ms "
    "type@2/background_queue_deadline_ms type@2/spare" },
  { POOL_HEAD "pool,a,50,5,1,1,1,no,50,25,24\n",
    "objective_sum@2/buffer_cost_weight_pct" },
  { POOL_HEAD "pool,a,50,5,1,1,1,no,50,25,25\npool,a,50,5,1,1,1,no,1,1,98\n",
    "duplicate_row@3/" },
  { KIND_HEAD "kind,k,nowhere,1,0,1,,normal,yes,1,1\n",
    "unknown_pool@2/pool" },
  { KIND_HEAD "kind,k,a b,0,-1,4294967296,+1,fast,1,6,01\n",
    "type@2/pool range@2/weight range@2/concurrency_limit range@2/queue_limit "
    "type@2/queue_deadline_ms type@2/class type@2/idempotent "
    "range@2/attempts type@2/expected_service_ms" },
  { KIND_HEAD "kind,k\n",
    "required@2/pool required@2/weight required@2/concurrency_limit "
    "required@2/queue_limit required@2/class required@2/idempotent "
    "required@2/attempts required@2/expected_service_ms" },
  { "sort,name,wieght\nhost,a,1\nkind,a/b,1\n",
    "unknown_column@1/wieght type@2/sort type@3/name" },
  { "sort,name,spare,version\nkind,k,yes,-1\n",
    "type@2/version not_of_sort@2/spare required@2/pool required@2/weight "
    "required@2/concurrency_limit required@2/queue_limit required@2/class "
    "required@2/idempotent required@2/attempts "
    "required@2/expected_service_ms" },
  { "name\na,b\n", "required@1/sort syntax@2/ type@2/sort" },
  { "sort,name,name\n", "syntax@1/name" },
  { "", "syntax@1/" },
  { "sort,name\npool,\"a\n", "syntax@2/" },
  { "sort,name\npool,a\"b\n", "syntax@2/" },
};

static char *
list_faults (void *ctx, const struct table_faults *faults)
{
  char *text = talloc_strdup (ctx, "");
  for (size_t n = 0; n < faults->count; n++)
    text = talloc_asprintf_append (text, "%s%s@%u/%s", n ? " " : "",
                                   table_fault_name (faults->items[n].type),
                                   faults->items[n].line,
                                   faults->items[n].column);
  return text;
}

/* Guards against faults that are missed, that stop the check at the first one,
   or that lack their row or column.  */
START_TEST (test_faults)
{
  void *ctx = talloc_new (NULL);
  struct table_faults faults = { 0 };
  struct table *tab = import_csv (ctx, fault_cases[_i].text, &faults);
  table_check (tab, NULL, 0, &faults);
  ck_assert_str_eq (list_faults (ctx, &faults), fault_cases[_i].faults);
  ck_assert_uint_eq (faults.total, faults.count);
  for (size_t n = 0; n < faults.count; n++)
    ck_assert_ptr_nonnull (table_fault_format (ctx, &faults.items[n]));
  talloc_free (ctx);
}
END_TEST

static const struct
{
  uint32_t budget_pct;
  uint32_t hosts;
  uint32_t slots;
  const char *faults;
} size_cases[] = {
  { 75, 8, 64, "" },
  { 87, 8, 64, "" },
  { 88, 8, 64, "budget_size@2/availability_budget_pct" },
  { 100, 12, 96, "budget_size@2/availability_budget_pct" },
  { 0, 1, 22, "" },
  { 1, 1, 22, "budget_size@2/availability_budget_pct" },
  { 0, 1, 21, "slot_sum@2/urgent_reserve_pct" },
  { 90, 0, 0, "" },
};

/* Guards against a budget that rules out any maintenance of the pool, and
   against background limits that use up the urgent reserve.  */
START_TEST (test_sizes)
{
  void *ctx = talloc_new (NULL);
  struct table_faults faults = { 0 };
  struct table_pool_size size
      = { "a", size_cases[_i].hosts, size_cases[_i].slots };
  char *text = talloc_asprintf (
      ctx,
      "sort,name,availability_budget_pct,urgent_reserve_pct,"
      "urgent_queue_deadline_ms,normal_queue_deadline_ms,"
      "background_queue_deadline_ms,spare,buffer_cost_weight_pct,"
      "roll_out_weight_pct,moves_weight_pct,pool,weight,concurrency_limit,"
      "queue_limit,class,idempotent,attempts,expected_service_ms\n"
      "pool,a,%u,5,1,1,1,no,50,25,25\n"
      "kind,k,,,,,,,,,,a,1,12,1,background,yes,1,1\n"
      "kind,l,,,,,,,,,,a,1,8,1,background,yes,1,1\n"
      "kind,m,,,,,,,,,,a,1,90,1,urgent,yes,1,1\n",
      size_cases[_i].budget_pct);
  struct table *tab = import_csv (ctx, text, &faults);
  table_check (tab, &size, 1, &faults);
  ck_assert_str_eq (list_faults (ctx, &faults), size_cases[_i].faults);
  talloc_free (ctx);
}
END_TEST

static const char *const examples[] = { "comptoir.csv", "colheitas.csv" };

/* Guards against values, empty cells or versions that change in an export and
   import, and against faults in the example tables.  */
START_TEST (test_round_trip)
{
  void *ctx = talloc_new (NULL);
  struct table_faults faults = { .parent = ctx };
  struct table *first = NULL;
  struct table *again = NULL;
  size_t len;
  char *path
      = talloc_asprintf (ctx, "%s/%s", getenv ("TABLES_DIR"), examples[_i]);
  char *text = read_file (ctx, path, &len);
  ck_assert_int_eq (table_csv_import (ctx, text, len, &first, &faults), 0);
  table_check (first, NULL, 0, &faults);
  ck_assert_uint_eq (faults.total, 0);
  ck_assert_uint_eq (first->count, 16);
  for (size_t n = 0; n < first->count; n += 2)
    first->rows[n]->version = n * 1000000007;

  char *csv = table_csv_export (ctx, first);
  ck_assert_int_eq (table_csv_import (ctx, csv, strlen (csv), &again, &faults),
                    0);
  assert_equal (first, again);
  ck_assert_str_eq (table_csv_export (ctx, again), csv);

  char *json = table_json_export (ctx, first);
  ck_assert_int_eq (
      table_json_import (ctx, json, strlen (json), &again, &faults), 0);
  assert_equal (first, again);
  ck_assert_str_eq (table_json_export (ctx, again), json);
  ck_assert_uint_eq (faults.total, 0);
  talloc_free (ctx);
}
END_TEST

/* Guards against rejecting tables that spreadsheet programs save: byte order
   mark, CR LF, quoted cells, ';' as separator, columns in another order.  */
START_TEST (test_spreadsheet_dialects)
{
  void *ctx = talloc_new (NULL);
  struct table_faults faults = { 0 };
  const char *text = "\xef\xbb\xbfname;weight;sort;pool;class;idempotent\r\n"
                     "\"k\";\"20\";kind;a;background;\"no\"\r\n;;;;;\r\n";
  struct table *tab = import_csv (ctx, text, &faults);
  ck_assert_uint_eq (faults.total, 0);
  ck_assert_uint_eq (tab->count, 1);
  const struct table_row *row = table_find (tab, TABLE_KIND, "k");
  ck_assert_uint_eq (row->kind.weight, 20);
  ck_assert_uint_eq (row->kind.idempotent, 0);
  ck_assert_uint_eq (row->kind.cls, TABLE_CLASS_BACKGROUND);
  talloc_free (ctx);
}
END_TEST

static const struct
{
  const char *text;
  const char *faults;
} json_cases[] = {
  { "{\"rows\":[]}", "" },
  { "{\"rows\":", "syntax@1/" },
  { "[]", "syntax@0/rows" },
  { "{\"rows\":[1,{\"sort\":\"kind\"}]}", "type@1/sort type@2/name" },
  { "{\"rows\":[{\"sort\":\"kind\",\"name\":\"k\",\"weight\":\"1\","
    "\"idempotent\":1,\"spare\":true,\"x\":1,\"version\":-1,\"class\":2,"
    "\"attempts\":9,\"queue_deadline_ms\":null}]}",
    "type@1/version type@1/weight type@1/idempotent not_of_sort@1/spare "
    "unknown_column@1/x type@1/class range@1/attempts" },
  { "{\"rows\":[{\"sort\":\"kind\",\"name\":\"k\"},"
    "{\"sort\":\"kind\",\"name\":\"k\"}]}",
    "duplicate_row@2/" },
};

/* Guards against a JSON value of the wrong type that is accepted.  */
START_TEST (test_json_faults)
{
  void *ctx = talloc_new (NULL);
  struct table_faults faults = { .parent = ctx };
  struct table *tab = NULL;
  ck_assert_int_eq (table_json_import (ctx, json_cases[_i].text,
                                       strlen (json_cases[_i].text), &tab,
                                       &faults),
                    0);
  ck_assert_str_eq (list_faults (ctx, &faults), json_cases[_i].faults);
  talloc_free (ctx);
}
END_TEST

/* Guards against a pool's default deadline that is not used, or that overrides
   the kind's own value.  */
START_TEST (test_class_default)
{
  void *ctx = talloc_new (NULL);
  struct table_faults faults = { 0 };
  struct table *tab = import_csv (
      ctx,
      "sort,name,normal_queue_deadline_ms,pool,class,queue_deadline_ms\n"
      "pool,a,800,,,\nkind,k,,a,normal,\nkind,l,,a,normal,9\n",
      &faults);
  ck_assert_uint_eq (
      table_queue_deadline_ms (tab, table_find (tab, TABLE_KIND, "k")), 800);
  ck_assert_uint_eq (
      table_queue_deadline_ms (tab, table_find (tab, TABLE_KIND, "l")), 9);
  talloc_free (ctx);
}
END_TEST

#define COUNT(a) (sizeof (a) / sizeof *(a))

int
main (void)
{
  Suite *suite = suite_create ("table");
  TCase *tc = tcase_create ("table");
  tcase_add_loop_test (tc, test_faults, 0, COUNT (fault_cases));
  tcase_add_loop_test (tc, test_sizes, 0, COUNT (size_cases));
  tcase_add_loop_test (tc, test_round_trip, 0, COUNT (examples));
  tcase_add_test (tc, test_spreadsheet_dialects);
  tcase_add_loop_test (tc, test_json_faults, 0, COUNT (json_cases));
  tcase_add_test (tc, test_class_default);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
