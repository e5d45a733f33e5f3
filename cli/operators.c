#include "cli/operators.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/option.h"

/* Large enough for the status of 4096 pools and 4096 kinds.  */
#define REPLY_MAX_BYTES (4U << 20)
#define POLL_TIMEOUT_MS 1000

/* The HTTP request to one listener.  */
struct call
{
  CURL *easy;
  char *data;
  size_t len;
  bool done;
  CURLcode code;
};

static int
add_address (struct operators *ops, const char *text)
{
  char host[64];
  uint16_t port;
  if (ops->count == OPERATORS_MAX || strlen (text) >= OPERATOR_ADDRESS_SIZE
      || address_parse (text, host, &port) != 0 || port == 0)
    return ERR_INVALID;
  for (size_t n = 0; n < ops->count; n++)
    if (strcmp (ops->addresses[n], text) == 0)
      return 0;
  snprintf (ops->addresses[ops->count++], OPERATOR_ADDRESS_SIZE, "%s", text);
  return 0;
}

int
operators_init (struct operators *ops, const char *list,
                const char *token_file, FILE *errors)
{
  char *copy = strdup (list);
  char *save = NULL;
  int err = copy ? 0 : ERR_NOMEM;

  memset (ops, 0, sizeof *ops);
  for (char *word = err ? NULL : strtok_r (copy, ",", &save); word && !err;
       word = strtok_r (NULL, ",", &save))
    {
      err = add_address (ops, word);
      if (err)
        fprintf (
            errors,
            "kingcuphollow: operator address \"%s\": expected IP:PORT, and "
            "at most %d addresses\n",
            word, OPERATORS_MAX);
    }
  free (copy);
  if (!err && ops->count == 0)
    {
      fputs ("kingcuphollow: no operator address of an entry process given\n",
             errors);
      err = ERR_INVALID;
    }
  if (err)
    return err;
  err = operator_token_read (token_file, ops->token);
  if (err)
    fprintf (errors, "kingcuphollow: token file \"%s\": %s\n", token_file,
             err == ERR_NOT_FOUND
                 ? "cannot be read"
                 : "expected one line of 16 to 256 visible characters");
  return err;
}

static size_t
on_data (char *data, size_t size, size_t count, void *arg)
{
  struct call *call = arg;
  size_t len = size * count;
  if (call->len + len > REPLY_MAX_BYTES)
    return 0;
  char *grown = realloc (call->data, call->len + len);
  if (!grown)
    return 0;
  memcpy (grown + call->len, data, len);
  call->data = grown;
  call->len += len;
  return len;
}

static bool
call_start (struct call *call, CURLM *multi, struct curl_slist *headers,
            const char *address, const char *path, int64_t timeout_ms)
{
  char url[512];
  call->easy = curl_easy_init ();
  if (!call->easy)
    return false;
  snprintf (url, sizeof url, "http://%s%s", address, path);
  curl_easy_setopt (call->easy, CURLOPT_URL, url);
  /* Ignore a proxy set in the environment: it would receive the token.  */
  curl_easy_setopt (call->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (call->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (call->easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
  curl_easy_setopt (call->easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (call->easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_PRIVATE, call);
  return curl_multi_add_handle (multi, call->easy) == CURLM_OK;
}

static void
run_calls (CURLM *multi)
{
  int running = 1;
  int left;
  CURLMsg *msg;

  while (running && curl_multi_perform (multi, &running) == CURLM_OK)
    if (running)
      curl_multi_poll (multi, NULL, 0, POLL_TIMEOUT_MS, NULL);
  while ((msg = curl_multi_info_read (multi, &left)))
    {
      struct call *call;
      curl_easy_getinfo (msg->easy_handle, CURLINFO_PRIVATE, &call);
      call->done = true;
      call->code = msg->data.result;
    }
}

static void
parse_reply (const struct call *call, struct operator_reply *reply)
{
  long status = 0;
  if (!call->done || call->code != CURLE_OK)
    {
      snprintf (reply->error, sizeof reply->error, "not reached: %s",
                call->done ? curl_easy_strerror (call->code)
                           : "the request could not be started");
      return;
    }
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  if (status == 401)
    snprintf (reply->error, sizeof reply->error,
              "it rejected the token (HTTP status 401)");
  else if (status != 200)
    snprintf (reply->error, sizeof reply->error,
              "it answered with HTTP status %ld instead of 200", status);
  else
    reply->root = json_loadb (call->data, call->len, 0, NULL);
  if (status == 200 && !json_is_object (reply->root))
    {
      json_decref (reply->root);
      reply->root = NULL;
      snprintf (reply->error, sizeof reply->error,
                "its reply is not a JSON object");
    }
}

int
operators_get (const struct operators *ops, const char *path,
               int64_t timeout_ms, struct operator_reply *replies)
{
  char auth[OPERATOR_TOKEN_MAX + 32];
  struct call *calls = calloc (ops->count, sizeof *calls);
  CURLM *multi = curl_multi_init ();
  int reached = 0;

  snprintf (auth, sizeof auth, "Authorization: Bearer %s", ops->token);
  struct curl_slist *headers = curl_slist_append (NULL, auth);
  memset (replies, 0, ops->count * sizeof *replies);
  if (!calls || !multi || !headers)
    {
      reached = ERR_NOMEM;
      goto done;
    }
  for (size_t n = 0; n < ops->count; n++)
    {
      replies[n].address = ops->addresses[n];
      if (!call_start (&calls[n], multi, headers, ops->addresses[n], path,
                       timeout_ms))
        calls[n].code = CURLE_FAILED_INIT;
    }
  run_calls (multi);
  for (size_t n = 0; n < ops->count; n++)
    {
      parse_reply (&calls[n], &replies[n]);
      reached += replies[n].root != NULL;
      if (calls[n].easy)
        curl_multi_remove_handle (multi, calls[n].easy);
      curl_easy_cleanup (calls[n].easy);
      free (calls[n].data);
    }

done:
  curl_slist_free_all (headers);
  curl_multi_cleanup (multi);
  free (calls);
  return reached;
}

void
operators_free (const struct operators *ops, struct operator_reply *replies)
{
  for (size_t n = 0; n < ops->count; n++)
    json_decref (replies[n].root);
}
