#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "peer/frame.h"

#define SECRET ((const uint8_t *)"0123456789abcdef")
#define SECRET_LEN 16

static void
make_key (struct frame_key *key)
{
  ck_assert_int_eq (frame_key_init (key, SECRET, SECRET_LEN), 0);
}

static size_t
make_frame (struct frame_key *key, void *ctx, uint64_t sequence, uint8_t **raw)
{
  PeerHeartbeat heartbeat = PEER_HEARTBEAT__INIT;
  PeerFrame msg = PEER_FRAME__INIT;
  size_t len;
  heartbeat.folded_offset = 77;
  heartbeat.ready = 1;
  msg.version = FRAME_VERSION;
  msg.sequence = sequence;
  msg.body_case = PEER_FRAME__BODY_HEARTBEAT;
  msg.heartbeat = &heartbeat;
  ck_assert_int_eq (frame_seal (key, &msg, ctx, raw, &len), 0);
  return len;
}

/* Guards against a message that changes on its way through frame_seal and
   frame_open.  */
START_TEST (test_round_trip)
{
  void *ctx = talloc_new (NULL);
  struct frame_key key;
  uint8_t *raw;
  PeerFrame *msg;
  make_key (&key);
  size_t len = make_frame (&key, ctx, 5, &raw);
  ck_assert_int_eq (frame_open (&key, raw, len, 5, &msg), 0);
  ck_assert_int_eq (msg->body_case, PEER_FRAME__BODY_HEARTBEAT);
  ck_assert_uint_eq (msg->heartbeat->folded_offset, 77);
  peer_frame__free_unpacked (msg, NULL);
  talloc_free (ctx);
}
END_TEST

/* Guards against accepting a frame in which any one bit changed, also of the
   length prefix, or a truncated frame.  */
START_TEST (test_every_byte)
{
  void *ctx = talloc_new (NULL);
  struct frame_key key;
  uint8_t *raw;
  PeerFrame *msg;
  make_key (&key);
  size_t len = make_frame (&key, ctx, 5, &raw);
  for (size_t n = 0; n < len; n++)
    for (int bit = 0; bit < 8; bit++)
      {
        raw[n] ^= 1 << bit;
        int err = frame_open (&key, raw, len, 5, &msg);
        ck_assert (err == ERR_PROTOCOL || err == ERR_UNAUTHENTICATED);
        ck_assert_ptr_null (msg);
        raw[n] ^= 1 << bit;
      }
  for (size_t cut = 0; cut < len; cut++)
    ck_assert_int_eq (frame_open (&key, raw, cut, 5, &msg), ERR_PROTOCOL);
  talloc_free (ctx);
}
END_TEST

/* Guards against accepting a frame whose sequence number is not the expected
   one, or that was sealed for another connection, direction or key.  */
START_TEST (test_replay)
{
  void *ctx = talloc_new (NULL);
  struct frame_session ses = { "a", "bc", { 1 }, { 2 } };
  struct frame_session joined = { "ab", "c", { 1 }, { 2 } };
  struct frame_session later = { "a", "bc", { 1 }, { 3 } };
  struct frame_key base, key, other;
  uint8_t *raw;
  PeerFrame *msg;
  make_key (&base);
  frame_key_derive (&key, &base, &ses, true);
  size_t len = make_frame (&key, ctx, 5, &raw);
  ck_assert_int_eq (frame_open (&key, raw, len, 6, &msg), ERR_CONFLICT);
  ck_assert_int_eq (frame_open (&key, raw, len, 4, &msg), ERR_CONFLICT);
  ck_assert_int_eq (frame_open (&base, raw, len, 5, &msg),
                    ERR_UNAUTHENTICATED);
  frame_key_derive (&other, &base, &ses, false);
  ck_assert_int_eq (frame_open (&other, raw, len, 5, &msg),
                    ERR_UNAUTHENTICATED);
  frame_key_derive (&other, &base, &joined, true);
  ck_assert_int_eq (frame_open (&other, raw, len, 5, &msg),
                    ERR_UNAUTHENTICATED);
  frame_key_derive (&other, &base, &later, true);
  ck_assert_int_eq (frame_open (&other, raw, len, 5, &msg),
                    ERR_UNAUTHENTICATED);
  frame_key_derive (&other, &base, &ses, true);
  ck_assert_int_eq (frame_open (&other, raw, len, 5, &msg), 0);
  peer_frame__free_unpacked (msg, NULL);
  ck_assert_int_eq (frame_key_init (&key, SECRET, 15), ERR_INVALID);
  talloc_free (ctx);
}
END_TEST

static const struct
{
  const char *payload;
  size_t len;
} malformed[] = {
  { "", 0 },                     /* no version, no body */
  { "\x08\x01", 2 },             /* no body */
  { "\x08\x02\x32\x00", 4 },     /* other version */
  { "\x08\x01\x32\x05", 4 },     /* truncated body */
  { "\x08\x01\x32\x01\xff", 5 }, /* body not a message */
  { "\xff\xff\xff\xff", 4 },     /* invalid field tag */
};

/* Guards against accepting a malformed message that has a valid MAC.  */
START_TEST (test_malformed)
{
  void *ctx = talloc_new (NULL);
  struct frame_key key;
  uint8_t *raw;
  size_t len;
  PeerFrame *msg;
  make_key (&key);
  ck_assert_int_eq (frame_seal_payload (&key,
                                        (const uint8_t *)malformed[_i].payload,
                                        malformed[_i].len, ctx, &raw, &len),
                    0);
  ck_assert_int_eq (frame_open (&key, raw, len, 0, &msg), ERR_PROTOCOL);
  talloc_free (ctx);
}
END_TEST

/* Guards against sending or reading a message over the size limit, and against
   reading a frame too short for a MAC.  */
START_TEST (test_too_large)
{
  void *ctx = talloc_new (NULL);
  struct frame_key key;
  struct frame_reader rd;
  uint8_t *raw;
  size_t len, room;
  const uint8_t *out;
  make_key (&key);
  uint8_t *data = talloc_zero_size (ctx, FRAME_MAX_BYTES + 1);
  ck_assert_int_eq (
      frame_seal_payload (&key, data, FRAME_MAX_BYTES - 17, ctx, &raw, &len),
      ERR_TOO_LARGE);
  ck_assert_int_eq (
      frame_seal_payload (&key, data, FRAME_MAX_BYTES - 18, ctx, &raw, &len),
      0);
  frame_reader_init (&rd, ctx, FRAME_MAX_BYTES);
  memcpy (frame_reader_reserve (&rd, &room), "\x00\x04\x00\x01", 4);
  frame_reader_commit (&rd, 4);
  ck_assert_int_eq (frame_reader_next (&rd, &out, &len), ERR_TOO_LARGE);
  frame_reader_init (&rd, ctx, FRAME_MAX_BYTES);
  memcpy (frame_reader_reserve (&rd, &room), "\x00\x00\x00\x11", 4);
  frame_reader_commit (&rd, 4);
  ck_assert_int_eq (frame_reader_next (&rd, &out, &len), ERR_PROTOCOL);
  talloc_free (ctx);
}
END_TEST

/* Guards against frames that are lost or merged when a stream is received in
   pieces, of 1 to 99 bytes each.  */
START_TEST (test_pieces)
{
  void *ctx = talloc_new (NULL);
  struct frame_key key;
  struct frame_reader rd;
  uint8_t *raw;
  uint8_t stream[4096];
  size_t total = 0, done = 0, room, len;
  const uint8_t *out;
  uint64_t seen = 0;
  PeerFrame *msg;
  make_key (&key);
  for (uint64_t seq = 0; seq < 40; seq++)
    {
      len = make_frame (&key, ctx, seq, &raw);
      memcpy (stream + total, raw, len);
      total += len;
    }
  frame_reader_init (&rd, ctx, FRAME_MAX_BYTES);
  while (done < total)
    {
      uint8_t *buf = frame_reader_reserve (&rd, &room);
      size_t part = total - done < (size_t)_i ? total - done : (size_t)_i;
      ck_assert_uint_ge (room, part);
      memcpy (buf, stream + done, part);
      frame_reader_commit (&rd, part);
      done += part;
      while (frame_reader_next (&rd, &out, &len) == 1)
        {
          ck_assert_int_eq (frame_open (&key, out, len, seen++, &msg), 0);
          peer_frame__free_unpacked (msg, NULL);
        }
    }
  ck_assert_uint_eq (seen, 40);
  talloc_free (ctx);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("peer_frame");
  TCase *tc = tcase_create ("peer_frame");
  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, test_round_trip);
  tcase_add_test (tc, test_every_byte);
  tcase_add_test (tc, test_replay);
  tcase_add_loop_test (tc, test_malformed, 0,
                       sizeof malformed / sizeof *malformed);
  tcase_add_test (tc, test_too_large);
  tcase_add_loop_test (tc, test_pieces, 1, 100);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
