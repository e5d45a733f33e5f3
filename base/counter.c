#include "base/counter.h"

#include <inttypes.h>
#include <talloc.h>

static const struct
{
  const char *name;
  const char *help;
} infos[] = {
#define COUNTER(sym, name, help) { name, help },
#include "base/counters.def"
#undef COUNTER
};

char *
counters_format (struct counters *ctr, void *parent)
{
  char *text = talloc_strdup (parent, "");
  for (int n = 0; text && n < COUNTER_COUNT; n++)
    text = talloc_asprintf_append_buffer (
        text,
        "# HELP kingcuphollow_%s %s\n# TYPE kingcuphollow_%s counter\n"
        "kingcuphollow_%s %" PRIu64 "\n",
        infos[n].name, infos[n].help, infos[n].name, infos[n].name,
        counter_get (ctr, n));
  for (int n = 0; text && n < HISTOGRAM_COUNT; n++)
    text = histogram_append_text (text, n, &ctr->histograms[n]);
  return text;
}
