#include "store/record.h"

#include <stdbool.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "base/err.h"
#include "proto/record.pb-c.h"
#include "store/log_store.h"

/* The checksum covers the header fields too, so that a damaged writer or
   sequence cannot be taken for the id of another record.  */
static uint64_t
checksum (const Kingcuphollow__Record *msg)
{
  uint64_t nums[] = { msg->version, msg->incarnation, msg->sequence,
                      msg->expected_generation };
  uint64_t seed = XXH3_64bits (msg->writer, strlen (msg->writer));
  seed = XXH3_64bits_withSeed (nums, sizeof nums, seed);
  return XXH3_64bits_withSeed (msg->body.data, msg->body.len, seed);
}

static bool
writer_valid (const char *writer)
{
  size_t len = strlen (writer);
  if (len == 0 || len > RECORD_WRITER_MAX_BYTES)
    return false;
  for (const char *p = writer; *p; p++)
    if (*p < ' ' || *p > '~')
      return false;
  return true;
}

int
record_encode (void *parent, const struct record *rec, uint8_t **data,
               size_t *len)
{
  Kingcuphollow__Record msg = KINGCUPHOLLOW__RECORD__INIT;
  if (!writer_valid (rec->writer))
    return ERR_INVALID;
  if (rec->body_len > LOG_RECORD_MAX_BYTES)
    return ERR_TOO_LARGE;
  msg.version = RECORD_VERSION;
  msg.writer = (char *)rec->writer;
  msg.incarnation = rec->incarnation;
  msg.sequence = rec->sequence;
  msg.expected_generation = rec->expected_generation;
  msg.body.data = (uint8_t *)rec->body;
  msg.body.len = rec->body_len;
  msg.checksum = checksum (&msg);

  size_t size = kingcuphollow__record__get_packed_size (&msg);
  if (size > LOG_RECORD_MAX_BYTES)
    return ERR_TOO_LARGE;
  uint8_t *buf = talloc_size (parent, size);
  if (!buf)
    return ERR_NOMEM;
  kingcuphollow__record__pack (&msg, buf);
  *data = buf;
  *len = size;
  return 0;
}

static int
free_message (Kingcuphollow__Record **msg)
{
  kingcuphollow__record__free_unpacked (*msg, NULL);
  return 0;
}

int
record_decode (void *parent, const uint8_t *data, size_t len,
               struct record *rec, void **storage)
{
  *storage = NULL;
  if (len == 0 || len > LOG_RECORD_MAX_BYTES)
    return ERR_PROTOCOL;
  Kingcuphollow__Record *msg = kingcuphollow__record__unpack (NULL, len, data);
  if (!msg)
    return ERR_PROTOCOL;

  int err = 0;
  Kingcuphollow__Record **stored = NULL;
  /* Version 0 is protobuf's default, so the record lacks the field.  */
  if (msg->version == 0)
    err = ERR_PROTOCOL;
  else if (msg->version != RECORD_VERSION)
    err = ERR_CONFLICT;
  else if (!writer_valid (msg->writer))
    err = ERR_PROTOCOL;
  else if (msg->checksum != checksum (msg))
    err = ERR_CHECKSUM;
  else
    {
      stored = talloc (parent, Kingcuphollow__Record *);
      err = stored ? 0 : ERR_NOMEM;
    }
  if (err)
    {
      kingcuphollow__record__free_unpacked (msg, NULL);
      return err;
    }
  *stored = msg;
  talloc_set_destructor (stored, free_message);
  *storage = stored;
  *rec = (struct record){
    .writer = msg->writer,
    .incarnation = msg->incarnation,
    .sequence = msg->sequence,
    .expected_generation = msg->expected_generation,
    .body = msg->body.data,
    .body_len = msg->body.len,
  };
  return 0;
}
