#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "table/table_csv.h"
#include "table/table_json.h"

/* Guards against texts that crash the CSV or JSON import, and against rows
   that an export does not reproduce.  */

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
require (int cond)
{
  if (!cond)
    abort ();
}

static void
assert_equal (const struct table *a, const struct table *b)
{
  require (a->count == b->count);
  for (size_t n = 0; n < a->count; n++)
    require (table_row_equal (a->rows[n], b->rows[n])
             && a->rows[n]->version == b->rows[n]->version);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  void *ctx = talloc_new (NULL);
  struct table_faults faults = { .parent = ctx };
  struct table *tab = NULL;
  struct table *again = NULL;
  const char *text = (const char *)data;

  require (table_json_import (ctx, text, size, &tab, &faults) == 0);
  memset (&faults, 0, sizeof faults);
  faults.parent = ctx;
  require (table_csv_import (ctx, text, size, &tab, &faults) == 0);
  if (faults.total == 0)
    {
      char *csv = table_csv_export (ctx, tab);
      require (table_csv_import (ctx, csv, strlen (csv), &again, &faults)
               == 0);
      require (faults.total == 0);
      assert_equal (tab, again);
    }
  table_check (tab, NULL, 0, &faults);
  for (size_t n = 0; n < faults.count; n++)
    require (table_fault_format (ctx, &faults.items[n]) != NULL);
  talloc_free (ctx);
  return 0;
}
