#include <inttypes.h>
#include <string.h>

#include "cli/explain.h"
#include "entry/request.h"

/* The sentences of explain.  Each says what the entry process knows and no
   more: a team member may read them to a caller.  */

struct phrase
{
  const char *name;
  const char *text;
};

static const struct phrase steps[] = {
  { "queued", "It could not start at once and waits in the queue of its "
              "kind." },
  { "admitted", "Admission control let it start." },
  { "claim_asked", "The entry process asks the platform's log for a claim of "
                   "its idempotency key." },
  { "release_asked", "The request was not run; the entry process asks the log "
                     "to release its idempotency key." },
  { NULL, NULL },
};

static const struct phrase claim_verdicts[] = {
  { "granted", "The claim was granted: this request holds the idempotency "
               "key." },
  { "key_reused", "The claim was refused: the same idempotency key was used "
                  "before with another body." },
  { "unavailable", "No claim was granted, and none will be later: the "
                   "platform's log could not be reached." },
  { "timeout", "No claim was granted, and none will be later: the "
               "platform's log did not settle it before the deadline." },
  { "overloaded", "No claim was made: too many claims were waiting." },
  { NULL, NULL },
};

static const struct phrase known_results[] = {
  { "answered", "The claim was refused: an earlier request holds the same "
                "idempotency key, and its answer is recorded." },
  { "unknown", "The claim was refused: an earlier request holds the same "
               "idempotency key; it was sent, and no whole answer came." },
  { "nothing", "The claim was refused: an earlier request holds the same "
               "idempotency key, and no result of it is recorded." },
  { NULL, NULL },
};

static const struct phrase results[] = {
  { "answered", "sent its whole answer" },
  { "server_error", "sent its whole answer, which is an error" },
  { "guard_refused", "refused it before it started; this attempt certainly "
                     "did not run" },
  { "connect_failed", "could not be connected to; this attempt was certainly "
                      "not sent" },
  { "cut", "sent no whole answer before the connection ended; whether this "
           "attempt ran is not known" },
  { "timeout", "sent no answer in time; whether this attempt ran is not "
               "known" },
  { "cancelled", "was no longer waited for; whether this attempt ran is not "
                 "known" },
  { NULL, NULL },
};

static const struct phrase retries[] = {
  { "yes", "It may be tried again." },
  { "unsafe", "It is not tried again: it may have run and must not run "
              "twice." },
  { "attempts", "It is not tried again: all its attempts are used up." },
  { "deadline", "It is not tried again: the time left before its deadline is "
                "too short." },
  { "budget", "It is not tried again: the retry budget of this entry process "
              "is used up." },
  { "ended", "It is not tried again: the attempt ended the request." },
  { NULL, NULL },
};

/* By enum request_reason.  */
static const char *const reasons[] = {
  [REASON_NONE] = "no reason is recorded",
  [REASON_BAD_REQUEST] = "a header of the request was not valid",
  [REASON_MISSING_KEY] = "its kind needs an idempotency key and it had none",
  [REASON_MISSING_CALLER] = "it did not say who the caller is",
  [REASON_UNKNOWN_KIND] = "its kind of work is not in the table",
  [REASON_METHOD] = "its HTTP method is not allowed",
  [REASON_TOO_LARGE] = "its body was too large",
  [REASON_KEY_REUSED]
  = "its idempotency key was used before with another body",
  [REASON_DUPLICATE] = "an earlier request holds the same idempotency key",
  [REASON_DUPLICATE_RUNNING]
  = ("an earlier request holds the same idempotency key, and no result of it "
     "is recorded"),
  [REASON_QUEUE_FULL] = "the queue of its kind was full",
  [REASON_QUEUE_DEADLINE]
  = ("it waited, or would have waited, too long in the "
     "queue of its kind"),
  [REASON_DEADLINE] = "it could not be done before its deadline",
  [REASON_NO_CAPACITY] = "its pool had no slots at all",
  [REASON_NO_TARGET] = "no target could take it",
  [REASON_REFUSED] = "the targets refused it before it started",
  [REASON_OVERLOADED] = "the entry process was overloaded",
  [REASON_STARTING] = "the entry process had no table yet",
  [REASON_DRAINING] = "the entry process was stopping",
  [REASON_CLAIM_UNAVAILABLE]
  = "the platform's log could not be reached for its claim",
  [REASON_CLAIM_TIMEOUT] = "its claim was not settled before the deadline",
  [REASON_NO_ANSWER] = "no whole answer came",
  [REASON_BAD_ANSWER] = "the answer that came was not whole or not its own",
  [REASON_STOPPED] = "the entry process stopped before an answer came",
  [REASON_INTERNAL] = "the entry process had a fault of its own",
};

static const char *
text (const json_t *obj, const char *key)
{
  const char *val = json_string_value (json_object_get (obj, key));
  return val ? val : "an unnamed one";
}

static const char *
find (const struct phrase *list, const char *name)
{
  for (; list->name; list++)
    if (strcmp (list->name, name) == 0)
      return list->text;
  return NULL;
}

static int64_t
num (const json_t *obj, const char *key)
{
  return json_integer_value (json_object_get (obj, key));
}

void
explain_arrival (const json_t *story, char *buf, size_t size)
{
  const char *caller = json_string_value (json_object_get (story, "caller"));
  const char *kind = json_string_value (json_object_get (story, "kind"));
  const char *digest
      = json_string_value (json_object_get (story, "key_digest"));
  snprintf (buf, size, "The request of %s%s for %s%s arrived%s%s%s%s.",
            caller && *caller ? "caller " : "a caller without name",
            caller ? caller : "", kind && *kind ? "kind " : "no known kind",
            kind ? kind : "",
            num (story, "hops") > 0
                ? ", forwarded by an entry process of another data centre"
                : "",
            digest ? ", with an idempotency key (digest " : "",
            digest ? digest : "", digest ? ")" : "");
}

static void
tell_sent (const json_t *step, char *buf, size_t size)
{
  const json_t *cand;
  size_t idx;
  size_t len
      = (size_t)snprintf (buf, size, "Attempt %" PRId64 " goes to target %s",
                          num (step, "attempt"), text (step, "target"));
  const json_t *list = json_object_get (step, "candidates");
  json_array_foreach (list, idx, cand)
  {
    if (len >= size)
      return;
    len += (size_t)snprintf (
        buf + len, size - len, "%s%s with %" PRId64 " of %" PRId64 " slots",
        idx ? ", " : "; in use as far as known: ", text (cand, "host"),
        num (cand, "in_flight"), num (cand, "slots"));
  }
  if (len < size)
    snprintf (buf + len, size - len, ".");
}

static void
tell_result (const json_t *step, char *buf, size_t size, const char *who)
{
  const char *result = text (step, "result");
  const char *words = find (results, result);
  if (json_is_true (json_object_get (step, "bad_answer")))
    snprintf (buf, size,
              "%s sent an answer that was not whole or not this request's; it "
              "was dropped, and whether this attempt ran is not known.",
              who);
  else if (strcmp (result, "answered") == 0
           || strcmp (result, "server_error") == 0)
    snprintf (buf, size, "%s %s (HTTP status %" PRId64 ").", who, words,
              num (step, "status"));
  else if (words)
    snprintf (buf, size, "%s %s.", who, words);
  else
    snprintf (buf, size, "The attempt at %s ended with \"%s\".", who, result);
}

static const char *
reason_text (const char *name)
{
  enum request_reason reason = reason_find (name);
  return strcmp (reason_name (reason), name) == 0 ? reasons[reason] : name;
}

/* Whether the request ended while its claim was not settled, as at a stop of
   the process.  */
static bool
claim_open (const json_t *story)
{
  const json_t *step;
  size_t idx;
  bool open = false;
  json_array_foreach (json_object_get (story, "steps"), idx, step)
  {
    const char *name = text (step, "step");
    if (strcmp (name, "claim_asked") == 0)
      open = true;
    else if (strcmp (name, "claim_verdict") == 0)
      open = false;
  }
  return open;
}

static void
tell_end (const json_t *story, const json_t *step, char *buf, size_t size)
{
  const char *outcome = text (step, "outcome");
  const char *reason = text (step, "reason");
  const char *held
      = json_is_true (json_object_get (step, "key_held")) || claim_open (story)
            ? " Its idempotency key may still be held."
            : "";
  if (strcmp (outcome, "answered") == 0 && strcmp (reason, "duplicate") == 0)
    snprintf (buf, size,
              "Outcome: answered with the recorded answer of the earlier "
              "request with the same key (HTTP status %" PRId64
              "). This request itself did not run.",
              num (step, "status"));
  else if (strcmp (outcome, "answered") == 0)
    snprintf (buf, size,
              "Outcome: answered. The whole answer (HTTP status %" PRId64
              ") was handed to the caller's connection; whether the caller "
              "read it is not known here.",
              num (step, "status"));
  else if (strcmp (outcome, "not_run") == 0)
    snprintf (buf, size, "Outcome: not run. It certainly did not run: %s.%s",
              reason_text (reason), held);
  else if (strcmp (outcome, "unknown") == 0
           && strncmp (reason, "duplicate", 9) == 0)
    snprintf (buf, size,
              "Outcome: unknown. This request itself was not sent to a "
              "target; whether the earlier one with the same key ran is not "
              "known here: %s.",
              reason_text (reason));
  else if (strcmp (outcome, "unknown") == 0)
    snprintf (buf, size,
              "Outcome: unknown. It was sent, and whether it ran is not "
              "known: %s.",
              reason_text (reason));
  else
    snprintf (buf, size, "Outcome: \"%s\".", outcome);
}

void
explain_step (const json_t *story, const json_t *step, char *buf, size_t size)
{
  const char *name = text (step, "step");
  const char *plain = find (steps, name);
  char who[128];

  if (strcmp (name, "claim_verdict") == 0)
    {
      const char *verdict = text (step, "verdict");
      plain = find (claim_verdicts, verdict);
      if (strcmp (verdict, "duplicate") == 0)
        plain = find (known_results, text (step, "known"));
    }
  else if (strcmp (name, "retry") == 0)
    plain = find (retries, text (step, "verdict"));
  else if (strcmp (name, "released") == 0)
    plain = json_is_true (json_object_get (step, "recorded"))
                ? "The release of its idempotency key stands in the log."
                : "The release of its idempotency key could not be recorded "
                  "in time.";
  if (plain)
    snprintf (buf, size, "%s", plain);
  else if (strcmp (name, "sent") == 0)
    tell_sent (step, buf, size);
  else if (strcmp (name, "result") == 0)
    {
      snprintf (who, sizeof who, "Target %s", text (step, "target"));
      tell_result (step, buf, size, who);
    }
  else if (strcmp (name, "forward_result") == 0)
    tell_result (step, buf, size,
                 "The entry process of the other data centre");
  else if (strcmp (name, "forwarded") == 0)
    snprintf (buf, size,
              "No target here can run it; it goes to the entry process at %s "
              "of another data centre.",
              text (step, "entry"));
  else if (strcmp (name, "wait_target") == 0)
    snprintf (buf, size,
              "All slots of the targets looked at are in use; it looks again "
              "(%" PRId64 " times).",
              num (step, "times"));
  else if (strcmp (name, "end") == 0)
    tell_end (story, step, buf, size);
  else
    snprintf (buf, size, "A step \"%s\" that this program does not know.",
              name);
}
