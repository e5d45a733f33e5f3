/* Feeds arbitrary bytes to the frame reader and parser and to a load view.
   The first byte selects the kind of input.  If it is even, the rest is the
   byte stream of a peer without the key, received in pieces of that many bytes
   plus one.  If it is odd, the rest is a list of messages, each preceded by a
   byte with its length; they get a valid MAC and are applied to the view.  */

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "peer/frame.h"
#include "peer/load_view.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t len);

static void
on_load (void *arg, const char *host, uint32_t in_flight)
{
  if (strlen (host) == 0)
    abort ();
}

static void
on_health (void *arg, const char *host, bool ejected)
{
  if (strlen (host) == 0)
    abort ();
}

static const struct load_view_events events = { on_load, on_health };

static void
apply (struct load_view *view, const PeerFrame *msg)
{
  switch (msg->body_case)
    {
    case PEER_FRAME__BODY_NAMES:
      load_view_names (view, msg->names);
      break;
    case PEER_FRAME__BODY_LOAD:
      load_view_load (view, msg->sequence, msg->load);
      break;
    case PEER_FRAME__BODY_HEALTH:
      load_view_health (view, msg->sequence, msg->health);
      break;
    default:
      break;
    }
}

static void
feed_stream (void *ctx, struct frame_key *key, const uint8_t *data, size_t len,
             size_t piece)
{
  struct frame_reader rd;
  const uint8_t *raw;
  size_t raw_len;
  int res = 0;
  frame_reader_init (&rd, ctx, 1024);
  while (res >= 0 && len > 0)
    {
      size_t room;
      uint8_t *buf = frame_reader_reserve (&rd, &room);
      size_t part = len < piece ? len : piece;
      memcpy (buf, data, part);
      frame_reader_commit (&rd, part);
      data += part;
      len -= part;
      while ((res = frame_reader_next (&rd, &raw, &raw_len)) == 1)
        {
          PeerFrame *msg;
          /* No input can have a valid MAC without the key.  */
          if (frame_open (key, raw, raw_len, 0, &msg) == 0)
            abort ();
        }
    }
}

static void
feed_messages (void *ctx, struct frame_key *key, const uint8_t *data,
               size_t len)
{
  struct load_view_settings set = load_view_settings_default;
  struct load_view view;
  set.max_targets = 64;
  if (load_view_init (&view, ctx, &set, &events, NULL) != 0)
    return;
  load_view_frame_received (&view, 1);
  while (len > 0)
    {
      size_t part = data[0] < len ? data[0] : len - 1;
      uint8_t *raw;
      size_t raw_len;
      PeerFrame *msg;
      if (frame_seal_payload (key, data + 1, part, ctx, &raw, &raw_len) != 0)
        break;
      if (frame_open (key, raw, raw_len, 1, &msg) == 0)
        {
          apply (&view, msg);
          peer_frame__free_unpacked (msg, NULL);
        }
      data += 1 + part;
      len -= 1 + part;
    }
  load_view_tick (&view, set.ttl_us + 1);
  load_view_fini (&view);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t len)
{
  struct frame_key key;
  void *ctx = talloc_new (NULL);
  frame_key_init (&key, (const uint8_t *)"0123456789abcdef", 16);
  if (len > 0 && data[0] % 2 == 0)
    feed_stream (ctx, &key, data + 1, len - 1, 1 + data[0]);
  else if (len > 0)
    feed_messages (ctx, &key, data + 1, len - 1);
  talloc_free (ctx);
  return 0;
}
