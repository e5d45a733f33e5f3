#include <inttypes.h>
#include <string.h>

#include "cli/explain.h"
#include "entry/request.h"

/* The sentences that `explain` prints for the steps of a request trace.  A
   sentence states only what the entry process knows, because an operator may
   quote it to a caller.  */

/* The text for a name in the JSON of a step.  */
struct phrase
{
  const char *name;
  const char *text;
};

static const struct phrase step_phrases[] = {
  { "queued", "It could not start at once and waits in the queue of its "
              "kind." },
  { "admitted", "Admission control admitted it." },
  { "claim_asked", "The entry process asks the platform's log for a claim of "
                   "the request's idempotency key." },
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

static const struct phrase claim_results[] = {
  { "answered", "The claim was refused: an earlier request holds the same "
                "idempotency key, and its answer is recorded." },
  { "unknown", "The claim was refused: an earlier request holds the same "
               "idempotency key; it was sent, and no complete answer was "
               "received." },
  { "nothing", "The claim was refused: an earlier request holds the same "
               "idempotency key, and no result of it is recorded." },
  { NULL, NULL },
};

static const struct phrase attempt_results[] = {
  { "answered", "sent its complete answer" },
  { "server_error", "sent its complete answer, which is an error" },
  { "guard_refused", "refused it before it started; this attempt certainly "
                     "did not run" },
  { "connect_failed", "could not be connected to; this attempt was certainly "
                      "not sent" },
  { "cut", "sent no complete answer before the connection closed; whether "
           "this attempt ran is not known" },
  { "timeout", "sent no answer in time; whether this attempt ran is not "
               "known" },
  { "cancelled",
    "had not answered when the attempt was cancelled; whether this "
    "attempt ran is not known" },
  { NULL, NULL },
};

static const struct phrase retry_verdicts[] = {
  { "yes", "It may be retried." },
  { "unsafe", "It is not retried: it may have run and must not run "
              "twice." },
  { "attempts", "It is not retried: all its attempts are used up." },
  { "deadline", "It is not retried: the time left before its deadline is "
                "too short." },
  { "budget", "It is not retried: the retry budget of this entry process "
              "is used up." },
  { "ended", "It is not retried: the attempt ended the request." },
  { NULL, NULL },
};

/* Indexed by enum request_reason.  */
static const char *const reason_texts[] = {
  [REASON_NONE] = "no reason is recorded",
  [REASON_BAD_REQUEST] = "a header of the request was not valid",
  [REASON_MISSING_KEY] = "its kind needs an idempotency key and it had none",
  [REASON_MISSING_CALLER] = "it named no caller",
  [REASON_UNKNOWN_KIND] = "its kind of work is not in the table",
  [REASON_METHOD_NOT_ALLOWED] = "its HTTP method is not allowed",
  [REASON_TOO_LARGE] = "its body was too large",
  [REASON_KEY_REUSED]
  = "its idempotency key was used before with another body",
  [REASON_DUPLICATE] = "an earlier request holds the same idempotency key",
  [REASON_DUPLICATE_NO_RESULT]
  = ("an earlier request holds the same idempotency key, and no result of it "
     "is recorded"),
  [REASON_QUEUE_FULL] = "the queue of its kind was full",
  [REASON_QUEUE_DEADLINE]
  = ("it waited, or would have waited, too long in the "
     "queue of its kind"),
  [REASON_DEADLINE] = "it could not be completed before its deadline",
  [REASON_NO_CAPACITY] = "its pool had no slots at all",
  [REASON_NO_TARGET] = "no target could take it",
  [REASON_REFUSED] = "the targets refused it before it started",
  [REASON_OVERLOADED] = "the entry process was overloaded",
  [REASON_STARTING] = "the entry process had not loaded its table yet",
  [REASON_DRAINING] = "the entry process was stopping",
  [REASON_CLAIM_UNAVAILABLE]
  = "the platform's log could not be reached for its claim",
  [REASON_CLAIM_TIMEOUT] = "its claim was not settled before the deadline",
  [REASON_NO_ANSWER] = "no complete answer was received",
  [REASON_BAD_ANSWER]
  = "the answer received was incomplete, too long or not for this request",
  [REASON_STOPPED] = "the entry process stopped before an answer came",
  [REASON_INTERNAL] = "an internal error occurred in the entry process",
};

static const char *
get_string (const json_t *obj, const char *key)
{
  const char *val = json_string_value (json_object_get (obj, key));
  return val ? val : "(unknown)";
}

static const char *
find_phrase (const struct phrase *list, const char *name)
{
  for (; list->name; list++)
    if (strcmp (list->name, name) == 0)
      return list->text;
  return NULL;
}

static int64_t
get_int (const json_t *obj, const char *key)
{
  return json_integer_value (json_object_get (obj, key));
}

void
explain_arrival (const json_t *trace, char *buf, size_t size)
{
  const char *caller = json_string_value (json_object_get (trace, "caller"));
  const char *kind = json_string_value (json_object_get (trace, "kind"));
  const char *digest
      = json_string_value (json_object_get (trace, "key_digest"));
  snprintf (buf, size, "The request of %s%s for %s%s arrived%s%s%s%s.",
            caller && *caller ? "caller " : "an unnamed caller",
            caller ? caller : "", kind && *kind ? "kind " : "an unknown kind",
            kind ? kind : "",
            get_int (trace, "hops") > 0
                ? ", forwarded by an entry process of another data centre"
                : "",
            digest ? ", with an idempotency key (digest " : "",
            digest ? digest : "", digest ? ")" : "");
}

static void
format_sent (const json_t *step, char *buf, size_t size)
{
  const json_t *cand;
  size_t idx;
  size_t len = (size_t)snprintf (
      buf, size, "Attempt %" PRId64 " goes to target %s",
      get_int (step, "attempt"), get_string (step, "target"));
  const json_t *list = json_object_get (step, "candidates");
  json_array_foreach (list, idx, cand)
  {
    if (len >= size)
      return;
    len += (size_t)snprintf (
        buf + len, size - len, "%s%s uses %" PRId64 " of %" PRId64 " slots",
        idx ? ", " : "; as far as known, ", get_string (cand, "host"),
        get_int (cand, "in_flight"), get_int (cand, "slots"));
  }
  if (len < size)
    snprintf (buf + len, size - len, ".");
}

static void
format_result (const json_t *step, char *buf, size_t size, const char *subject)
{
  const char *result = get_string (step, "result");
  const char *outcome_text = find_phrase (attempt_results, result);
  if (json_is_true (json_object_get (step, "bad_answer")))
    snprintf (
        buf, size,
        "%s sent an answer that was incomplete, too long or not for this "
        "request; the answer was discarded, and whether this attempt ran "
        "is not known.",
        subject);
  else if (strcmp (result, "answered") == 0
           || strcmp (result, "server_error") == 0)
    snprintf (buf, size, "%s %s (HTTP status %" PRId64 ").", subject,
              outcome_text, get_int (step, "status"));
  else if (outcome_text)
    snprintf (buf, size, "%s %s.", subject, outcome_text);
  else
    snprintf (buf, size, "%s: the attempt ended with \"%s\".", subject,
              result);
}

static const char *
reason_text (const char *name)
{
  enum request_reason reason = reason_find (name);
  return strcmp (reason_name (reason), name) == 0 ? reason_texts[reason]
                                                  : name;
}

/* Whether the last claim of the trace has no verdict, for example because the
   process stopped before the claim was settled.  */
static bool
claim_pending (const json_t *trace)
{
  const json_t *step;
  size_t idx;
  bool pending = false;
  json_array_foreach (json_object_get (trace, "steps"), idx, step)
  {
    const char *name = get_string (step, "step");
    if (strcmp (name, "claim_asked") == 0)
      pending = true;
    else if (strcmp (name, "claim_verdict") == 0)
      pending = false;
  }
  return pending;
}

static void
format_end (const json_t *trace, const json_t *step, char *buf, size_t size)
{
  const char *outcome = get_string (step, "outcome");
  const char *reason = get_string (step, "reason");
  const char *key_note = json_is_true (json_object_get (step, "key_held"))
                                 || claim_pending (trace)
                             ? " Its idempotency key may still be held."
                             : "";
  if (strcmp (outcome, "answered") == 0 && strcmp (reason, "duplicate") == 0)
    snprintf (buf, size,
              "Outcome: answered with the recorded answer of the earlier "
              "request with the same key (HTTP status %" PRId64
              "). This request itself did not run.",
              get_int (step, "status"));
  else if (strcmp (outcome, "answered") == 0)
    snprintf (buf, size,
              "Outcome: answered. The complete answer (HTTP status %" PRId64
              ") was handed to the caller's connection; whether the caller "
              "read it is not known here.",
              get_int (step, "status"));
  else if (strcmp (outcome, "not_run") == 0)
    snprintf (buf, size, "Outcome: not run. It certainly did not run: %s.%s",
              reason_text (reason), key_note);
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
explain_step (const json_t *trace, const json_t *step, char *buf, size_t size)
{
  const char *name = get_string (step, "step");
  const char *sentence = find_phrase (step_phrases, name);
  char subject[128];

  if (strcmp (name, "claim_verdict") == 0)
    {
      const char *verdict = get_string (step, "verdict");
      sentence = find_phrase (claim_verdicts, verdict);
      if (strcmp (verdict, "duplicate") == 0)
        sentence = find_phrase (claim_results, get_string (step, "known"));
    }
  else if (strcmp (name, "retry") == 0)
    sentence = find_phrase (retry_verdicts, get_string (step, "verdict"));
  else if (strcmp (name, "released") == 0)
    sentence
        = json_is_true (json_object_get (step, "recorded"))
              ? "The release of its idempotency key is recorded in the log."
              : "The release of its idempotency key could not be recorded "
                "in time.";
  if (sentence)
    snprintf (buf, size, "%s", sentence);
  else if (strcmp (name, "sent") == 0)
    format_sent (step, buf, size);
  else if (strcmp (name, "result") == 0)
    {
      snprintf (subject, sizeof subject, "Target %s",
                get_string (step, "target"));
      format_result (step, buf, size, subject);
    }
  else if (strcmp (name, "forward_result") == 0)
    format_result (step, buf, size,
                   "The entry process of the other data centre");
  else if (strcmp (name, "forwarded") == 0)
    snprintf (buf, size,
              "No target of this data centre can run it; it goes to the entry "
              "process at %s of another data centre.",
              get_string (step, "entry"));
  else if (strcmp (name, "wait_target") == 0)
    snprintf (buf, size,
              "All slots of the candidate targets are in use; it tries again "
              "(%" PRId64 " times).",
              get_int (step, "times"));
  else if (strcmp (name, "end") == 0)
    format_end (trace, step, buf, size);
  else
    snprintf (buf, size,
              "Step \"%s\", which this version of the program does not know.",
              name);
}
