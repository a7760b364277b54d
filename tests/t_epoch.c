/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of store epochs. A store that is restored from a backup of its data
 * begins a new epoch, in which revisions of the former epoch may be assigned
 * again. Tests the table of known keys, and a follower and a duty against an
 * endpoint that sends scripted bytes.
 */
#include <stdio.h>
#include <string.h>

#include "platform.h"
#include "script.h"
#include "store.h"
#include "libstore.h"
#include "test.h"

/* The table of known keys. */

typedef struct record
{
  el_buf_t text; /* the changes, in order: "+KEY=VALUE " or "-KEY= " */
  int refuse;    /* refuse changes as older */
  int nknown;    /* reads and watches that were completed */
  int wanted;    /* nknown to wait for; 0 once reached */
} record_t;

static int
record_item (void *arg, const pr_store_item_t *item)
{
  record_t *record = arg;

  el_buf_printf (&record->text, "%s%.*s=%.*s ", item->gone ? "-" : "+",
                 (int)item->key.len, item->key.ptr, (int)item->value.len,
                 item->value.ptr);
  return !record->refuse;
}

static void
check_record (const record_t *record, const char *expected)
{
  ck_assert_str_eq (record->text.ptr ? record->text.ptr : "", expected);
}

static st_keys_t *
open_keys (record_t *record)
{
  const st_keys_options_t options = { .item = record_item, .arg = record };

  return st_keys_new (&options);
}

#define NO_KEY ((el_str_t){ NULL, 0 })

static void
put_key (st_keys_t *keys, uint64_t epoch, uint64_t revision, const char *value)
{
  const pr_store_item_t item = { .key = EL_STR ("k"),
                                 .value = el_str (value ? value : ""),
                                 .revision = revision,
                                 .gone = !value };

  st_keys_apply (keys, epoch, &item);
}

/* Applies ITEMS as the only page of a read at AT, before which all changes up
   to BEFORE were known. */
static void
read_page (st_keys_t *keys, pr_store_position_t before, pr_store_position_t at,
           const pr_store_item_t *items, size_t n)
{
  const st_keys_page_t page = { .items = items, .n = n, .at = at };

  st_keys_begin_read (keys);
  st_keys_apply_page (keys, &page);
  st_keys_end_read (keys, before, at);
}

static int
changes_since (const st_keys_t *keys, uint64_t epoch, uint64_t revision,
               pr_store_update_t *out)
{
  const pr_store_query_t query = { .after = { epoch, revision } };

  return st_keys_changes_since (keys, &query, SIZE_MAX, out);
}

static const pr_store_position_t unread = { 0, 0 };

/* Guards against a change that is dropped because its revision is not above
   the one that the key had in a former epoch. */
START_TEST (test_keys_newer_epoch_wins_at_any_revision)
{
  static const uint64_t revisions[] = { 4, 5, 6 };
  record_t record = { .refuse = 0 };
  st_keys_t *keys = open_keys (&record);

  put_key (keys, 1, 5, "ready");
  put_key (keys, 2, revisions[_i], "leaves");
  check_record (&record, "+k=ready +k=leaves ");
  st_keys_free (keys);
  el_buf_free (&record.text);
}
END_TEST

START_TEST (test_keys_former_epoch_is_ignored)
{
  record_t record = { .refuse = 0 };
  st_keys_t *keys = open_keys (&record);

  put_key (keys, 2, 5, "leaves");
  put_key (keys, 1, 9, "ready");
  put_key (keys, 1, 10, NULL);
  check_record (&record, "+k=leaves ");
  st_keys_free (keys);
  el_buf_free (&record.text);
}
END_TEST

/* A read in a new epoch passes on only what differs; a host that is still in
   the former epoch receives all keys. */
START_TEST (test_keys_new_epoch_passes_on_differences)
{
  static const pr_store_item_t items[]
      = { { .key = EL_STR ("o"), .value = EL_STR ("x"), .revision = 3 },
          { .key = EL_STR ("k"), .value = EL_STR ("b"), .revision = 4 } };
  record_t record = { .refuse = 0 };
  st_keys_t *keys = open_keys (&record);
  pr_store_update_t update = { 0 };
  pr_store_update_t page = { 0 };

  put_key (keys, 1, 5, "a");
  st_keys_apply (keys, 1, &items[0]);
  read_page (keys, (pr_store_position_t){ 1, 5 },
             (pr_store_position_t){ 2, 4 }, items, 2);
  check_record (&record, "+k=a +o=x +k=b ");
  ck_assert_int_eq (changes_since (keys, 1, 9, &update), 0);
  st_keys_page (keys, NO_KEY, NO_KEY, SIZE_MAX, &page);
  ck_assert_uint_eq (page.n, 2);
  free (page.items);
  ck_assert_int_eq (changes_since (keys, 2, 4, &update), 1);
  ck_assert_uint_eq (update.n, 0);
  free (update.items);
  st_keys_free (keys);
  el_buf_free (&record.text);
}
END_TEST

/* A value that is refused as older, by a version of its own, is not passed to
   other hosts. */
START_TEST (test_keys_refused_value_is_not_passed_on)
{
  record_t record = { .refuse = 0 };
  st_keys_t *keys = open_keys (&record);
  pr_store_update_t update = { 0 };

  put_key (keys, 1, 5, "v66");
  record.refuse = 1;
  put_key (keys, 2, 3, "v59");
  st_keys_page (keys, NO_KEY, NO_KEY, SIZE_MAX, &update);
  ck_assert (el_str_eq (update.items[0].value, EL_STR ("v66")));
  free (update.items);
  st_keys_free (keys);
  el_buf_free (&record.text);
}
END_TEST

/* A key that the first read of an epoch lacks stays valid, and one that had
   been deleted and is back stays deleted, until st_keys_release_held or the
   next change of the key. */
START_TEST (test_keys_missing_or_restored_are_held_until_release)
{
  static const pr_store_item_t gone[]
      = { { .key = EL_STR ("g"), .value = EL_STR ("1"), .revision = 3 },
          { .key = EL_STR ("g"), .revision = 6, .gone = 1 } };
  record_t record = { .refuse = 0 };
  st_keys_t *keys = open_keys (&record);
  int changed = _i;

  put_key (keys, 1, 5, "a");
  st_keys_apply (keys, 1, &gone[0]);
  st_keys_apply (keys, 1, &gone[1]);
  read_page (keys, (pr_store_position_t){ 1, 6 },
             (pr_store_position_t){ 2, 4 }, gone, 1);
  check_record (&record, "+k=a +g=1 -g= ");
  if (changed)
    put_key (keys, 2, 5, "a");
  st_keys_release_held (keys);
  check_record (&record, changed ? "+k=a +g=1 -g= +k=a +g=1 "
                                 : "+k=a +g=1 -g= -k=a +g=1 ");
  st_keys_free (keys);
  el_buf_free (&record.text);
}
END_TEST

/* Guards against a removal that takes effect as a further epoch begins: what
   its read holds back is not released by the timer of the read before it. */
START_TEST (test_keys_held_by_a_read_wait_for_its_end)
{
  const st_keys_page_t page = { .more = 0, .at = { 3, 4 } };
  record_t record = { .refuse = 0 };
  st_keys_t *keys = open_keys (&record);

  put_key (keys, 1, 5, "a");
  st_keys_begin_read (keys);
  st_keys_apply_page (keys, &page);
  st_keys_release_held (keys);
  check_record (&record, "+k=a ");
  st_keys_end_read (keys, unread, page.at);
  ck_assert (st_keys_has_held (keys));
  st_keys_release_held (keys);
  check_record (&record, "+k=a -k=a ");
  ck_assert (!st_keys_has_held (keys));
  st_keys_free (keys);
  el_buf_free (&record.text);
}
END_TEST

#define READ_KEYS_MAX 1000

/* Reads the keys "k000" to "k(N-1)", without those whose number DROPPED
   divides, all changes up to BEFORE being known. */
static void
read_keys (st_keys_t *keys, uint64_t before, uint64_t revision, size_t n,
           size_t dropped)
{
  static char names[READ_KEYS_MAX][32];
  static pr_store_item_t items[READ_KEYS_MAX];
  size_t nitems = 0;
  size_t i;

  ck_assert_uint_le (n, READ_KEYS_MAX);
  for (i = 0; i < n; i++)
    {
      if (dropped && i % dropped == 0)
        continue;
      snprintf (names[i], sizeof names[i], "k%03zu", i);
      items[nitems++] = (pr_store_item_t){ .key = el_str (names[i]),
                                           .value = EL_STR ("x"),
                                           .revision = 1 };
    }
  read_page (keys, before ? (pr_store_position_t){ 1, before } : unread,
             (pr_store_position_t){ 1, revision }, items, nitems);
}

/* Guards against a second read of all keys after which other hosts get all of
   them again: what they get is what changed, and it does not grow with the
   number of keys. */
START_TEST (test_keys_second_read_yields_differences)
{
  static const size_t sizes[] = { 30, 300, 900 };
  size_t k;

  for (k = 0; k < 3; k++)
    {
      record_t record = { .refuse = 0 };
      st_keys_t *keys = open_keys (&record);
      pr_store_update_t update = { .at = { 1, 50 } };
      size_t i;

      read_keys (keys, 0, 10, sizes[k], 0);
      read_keys (keys, 10, 50, sizes[k], sizes[k] / 3);
      ck_assert_int_eq (changes_since (keys, 1, 10, &update), 1);
      ck_assert_uint_eq (update.n, 3);
      for (i = 0; i < update.n; i++)
        ck_assert_int_eq (update.items[i].gone, 1);
      free (update.items);
      ck_assert_int_eq (changes_since (keys, 1, 9, &update), 0);
      st_keys_free (keys);
      el_buf_free (&record.text);
    }
}
END_TEST

/* Pages hold all keys once, in order, each within the limit; so do the pieces
   of a list of changes, all of the same position. */
START_TEST (test_keys_pieces_are_complete_and_bounded)
{
  record_t record = { .refuse = 0 };
  st_keys_t *keys = open_keys (&record);
  pr_store_update_t piece = { .more = 1 };
  pr_store_query_t query = { .after = { 1, 1 } };
  el_buf_t cursor = { NULL, 0, 0 };
  size_t n = 0;
  size_t i;
  char name[32];

  read_keys (keys, 0, 1, 500, 7);
  for (i = 500; i-- > 0;)
    {
      pr_store_item_t item = { .value = EL_STR ("y"), .revision = 2 + i / 2 };

      snprintf (name, sizeof name, "k%03zu", i);
      item.key = el_str (name);
      st_keys_apply (keys, 1, &item);
    }
  while (piece.more)
    {
      piece = (pr_store_update_t){ 0 };
      st_keys_page (keys, el_buf_str (&cursor), NO_KEY, 1000, &piece);
      ck_assert_uint_le (piece.n, 1000 / 25);
      for (i = 0; i < piece.n; i++, n++)
        {
          snprintf (name, sizeof name, "k%03zu", n);
          ck_assert (el_str_eq (piece.items[i].key, el_str (name)));
        }
      el_buf_reset (&cursor);
      el_buf_add (&cursor, piece.items[piece.n - 1].key);
      free (piece.items);
    }
  ck_assert_uint_eq (n, 500);
  for (n = 0, piece.more = 1; piece.more; query.sequence = piece.sequence)
    {
      piece = (pr_store_update_t){ .at = { 1, 251 } };
      ck_assert_int_eq (st_keys_changes_since (keys, &query, 1000, &piece), 1);
      ck_assert_uint_le (piece.n, 1000 / 25);
      ck_assert_uint_gt (piece.sequence, query.sequence);
      for (i = 0; i < piece.n; i++, n++)
        {
          snprintf (name, sizeof name, "k%03zu", 499 - n);
          ck_assert (el_str_eq (piece.items[i].key, el_str (name)));
        }
      ck_assert_uint_eq (piece.at.revision, 251);
      free (piece.items);
    }
  ck_assert_uint_eq (n, 500);
  st_keys_free (keys);
  el_buf_free (&cursor);
  el_buf_free (&record.text);
}
END_TEST

/* The removed keys that are kept are bounded. A host that lacks a removal
   which was dropped has to read all keys. */
START_TEST (test_keys_removed_are_bounded)
{
  record_t record = { .refuse = 0 };
  st_keys_t *keys = open_keys (&record);
  pr_store_update_t update = { .at = { 1, 20001 } };
  char name[32];
  uint64_t i;

  read_keys (keys, 0, 1, 1, 0);
  for (i = 0; i < 20000; i++)
    {
      pr_store_item_t item = { .revision = 2 + i, .gone = 1 };

      snprintf (name, sizeof name, "g%05u", (unsigned)i);
      item.key = el_str (name);
      st_keys_apply (keys, 1, &item);
    }
  ck_assert_int_eq (changes_since (keys, 1, 1, &update), 0);
  ck_assert_int_eq (changes_since (keys, 1, 19000, &update), 1);
  ck_assert_uint_eq (update.n, 1001);
  free (update.items);
  st_keys_free (keys);
  el_buf_free (&record.text);
}
END_TEST

/* The follower. */

static void
record_known (void *arg, el_time_t as_of)
{
  record_t *record = arg;

  (void)as_of;
  if (++record->nknown == record->wanted)
    record->wanted = 0;
}

#define HTTP_OK(epoch)                                                        \
  "HTTP/1.1 200 OK\r\nstore-era: " epoch "\r\nconnection: close\r\n\r\n"
#define ITEM(key, value, revision)                                            \
  "{\"Key\":\"" key "\",\"Value\":\"" value "\",\"Revision\":" revision "}"
#define RANGE(items, at) "{\"Items\":[" items "],\"more\":false,\"at\":" at "}"
#define PAGE(items, at) "{\"Items\":[" items "],\"more\":true,\"at\":" at "}"
#define EVENTS(items, at) "{\"events\":[" items "],\"at\":" at "}"

/* Follows the scripted store until the given number of reads and watches have
   been accepted. The base64 values "YQ==" and "Yg==" are "a" and "b". */
static void
run_follower (record_t *record, st_store_t *store, int wanted)
{
  st_follow_options_t options = { .store = store,
                                  .prefix = EL_STR ("p/"),
                                  .wait_ms = 100,
                                  .item = record_item,
                                  .known = record_known,
                                  .arg = record };
  st_follow_t *follow;

  record->wanted = wanted;
  *store = (st_store_t){ .clock = &test_clock,
                         .client = client,
                         .dialect = &pf_store,
                         .address = el_str (script.address),
                         .random = 1 };
  follow = st_follow_new (&options);
  while (record->wanted)
    uv_run (&loop, UV_RUN_ONCE);
  st_follow_free (follow);
}

/* Guards against the events of a watch that spans two epochs: the store does
   not answer 410, as the requested revision exists again. */
START_TEST (test_follow_watch_across_epochs_is_discarded)
{
  record_t record = { .refuse = 0 };
  st_store_t store;

  SCRIPT (
      { HTTP_OK ("1") RANGE (ITEM ("p/a", "YQ==", "9"), "9"), CLOSE },
      { HTTP_OK ("2") EVENTS (ITEM ("p/c", "YQ==", "10"), "10"), CLOSE },
      { HTTP_OK ("2") RANGE (
            ITEM ("p/a", "Yg==", "8") "," ITEM ("p/c", "YQ==", "10"), "10"),
        CLOSE });
  run_follower (&record, &store, 2);
  check_record (&record, "+p/a=a +p/a=b +p/c=a ");
  ck_assert_uint_eq (store.counts.reads[ST_READ_EPOCH], 1);
  el_buf_free (&record.text);
}
END_TEST

START_TEST (test_follow_new_epoch_between_pages_restarts_read)
{
  record_t record = { .refuse = 0 };
  st_store_t store;

  SCRIPT ({ HTTP_OK ("1") PAGE (ITEM ("p/a", "YQ==", "9"), "9"), CLOSE },
          { HTTP_OK ("2") RANGE (ITEM ("p/b", "YQ==", "9"), "9"), CLOSE },
          { HTTP_OK ("2") RANGE (ITEM ("p/a", "Yg==", "7"), "8"), CLOSE });
  run_follower (&record, &store, 1);
  check_record (&record, "+p/a=a +p/a=b ");
  ck_assert_ptr_nonnull (strstr (script.requests.ptr, "SinceRev=p/a"));
  el_buf_free (&record.text);
}
END_TEST

START_TEST (test_follow_two_epochs_in_quick_succession)
{
  record_t record = { .refuse = 0 };
  st_store_t store;

  SCRIPT ({ HTTP_OK ("1") RANGE (ITEM ("p/a", "YQ==", "9"), "9"), CLOSE },
          { "HTTP/1.1 410 Gone\r\nstore-era: 2\r\nconnection: close\r\n\r\n",
            CLOSE },
          { "HTTP/1.1 503 Busy\r\nstore-era: 3\r\nconnection: close\r\n\r\n",
            CLOSE },
          { HTTP_OK ("3") RANGE (ITEM ("p/a", "Yg==", "9"), "9"), CLOSE });
  run_follower (&record, &store, 2);
  check_record (&record, "+p/a=a +p/a=b ");
  ck_assert_uint_eq (store.epoch, 3);
  el_buf_free (&record.text);
}
END_TEST

/* A delayed answer was given in the former epoch. */
START_TEST (test_follow_answer_of_a_former_epoch_is_not_applied)
{
  record_t record = { .refuse = 0 };
  st_store_t store;

  SCRIPT ({ HTTP_OK ("2") RANGE (ITEM ("p/a", "YQ==", "3"), "3"), CLOSE },
          { HTTP_OK ("1") EVENTS (ITEM ("p/a", "Yg==", "9"), "9"), CLOSE },
          { HTTP_OK ("2") EVENTS ("", "3"), CLOSE });
  run_follower (&record, &store, 2);
  check_record (&record, "+p/a=a ");
  ck_assert_uint_eq (store.counts.former, 1);
  el_buf_free (&record.text);
}
END_TEST

/* An answer with a missing, invalid or repeated epoch is applied, and leaves
   the known epoch unchanged. */
START_TEST (test_follow_invalid_epoch_is_ignored)
{
  static const char *const headers[]
      = { "", "store-era: two\r\n", "store-era: -2\r\n",
          "store-era: 18446744073709551616\r\n",
          "store-era: 2\r\nstore-era: 2\r\n" };
  static char bytes[256];
  static answer_t answers[]
      = { { HTTP_OK ("1") RANGE (ITEM ("p/a", "YQ==", "3"), "3"), CLOSE },
          { bytes, CLOSE } };
  record_t record = { .refuse = 0 };
  st_store_t store;

  snprintf (bytes, sizeof bytes,
            "HTTP/1.1 200 OK\r\n%sconnection: close\r\n\r\n%s", headers[_i],
            EVENTS (ITEM ("p/a", "Yg==", "4"), "4"));
  script_start (answers, 2);
  run_follower (&record, &store, 2);
  check_record (&record, "+p/a=a +p/a=b ");
  ck_assert_uint_eq (store.epoch, 1);
  el_buf_free (&record.text);
}
END_TEST

/* The duty. */

#define HTTP_OK_KEEP_ALIVE(epoch, len, body)                                  \
  "HTTP/1.1 200 OK\r\nstore-era: " epoch "\r\ncontent-length: " len           \
  "\r\n\r\n" body
#define LEASE_GRANTED(epoch)                                                  \
  HTTP_OK_KEEP_ALIVE (epoch, "25", "{\"lease\":7,\"ttl_ms\":2000}")
#define KEY_CLAIMED(epoch) HTTP_OK_KEEP_ALIVE (epoch, "14", "{\"Revision\":3}")

static int
always_vacant (void *arg)
{
  (void)arg;
  return 1;
}

static st_duty_t *
acquire_duty (st_store_t *store)
{
  const st_duty_options_t options = { .store = store,
                                      .key = EL_STR ("duty"),
                                      .holder = EL_STR ("a"),
                                      .ttl_ms = 900,
                                      .vacant = always_vacant };
  st_duty_t *duty;

  *store = (st_store_t){ .clock = &test_clock,
                         .client = client,
                         .dialect = &pf_store,
                         .address = el_str (script.address),
                         .random = 1 };
  duty = st_duty_new (&options);
  st_duty_want (duty, 1);
  while (!st_duty_held (duty, net_clock_now (&test_clock)))
    uv_run (&loop, UV_RUN_ONCE);
  return duty;
}

/* Guards against a renewal that succeeds because the store has given the
   number of the lease to another holder. */
START_TEST (test_duty_renewed_in_another_epoch_is_lost)
{
  st_store_t store;
  st_duty_t *duty;

  SCRIPT ({ LEASE_GRANTED ("1"), KEEP_ALIVE },
          { KEY_CLAIMED ("1"), KEEP_ALIVE },
          { HTTP_OK_KEEP_ALIVE ("2", "2", "{}"), KEEP_ALIVE });
  duty = acquire_duty (&store);
  while (store.epoch == 1)
    uv_run (&loop, UV_RUN_ONCE);
  ck_assert (!st_duty_held (duty, net_clock_now (&test_clock)));
}
END_TEST

START_TEST (test_duty_is_lost_when_store_epoch_changes)
{
  st_store_t store;
  st_duty_t *duty;

  SCRIPT ({ LEASE_GRANTED ("1"), KEEP_ALIVE },
          { KEY_CLAIMED ("1"), KEEP_ALIVE });
  duty = acquire_duty (&store);
  st_store_observe_epoch (&store, 2, "host");
  ck_assert (!st_duty_held (duty, net_clock_now (&test_clock)));
}
END_TEST

/* Guards against two holders: a holder that does not know of the new epoch may
   continue until its lease expires. */
START_TEST (test_duty_waits_for_leases_of_former_epoch)
{
  st_store_t store = { .clock = &test_clock,
                       .client = client,
                       .dialect = &pf_store,
                       .random = 1,
                       .known = 1 };
  const st_duty_options_t options = { .store = &store,
                                      .key = EL_STR ("duty"),
                                      .holder = EL_STR ("a"),
                                      .ttl_ms = 900,
                                      .vacant = always_vacant };
  st_duty_t *duty;

  SCRIPT ({ LEASE_GRANTED ("2"), KEEP_ALIVE },
          { KEY_CLAIMED ("2"), KEEP_ALIVE });
  store.address = el_str (script.address);
  duty = st_duty_new (&options);
  st_store_observe_epoch (&store, 2, "host");
  loop_run_for (20 * EL_MSEC);
  st_duty_want (duty, 1);
  loop_run_for (800 * EL_MSEC);
  ck_assert_uint_eq (store.counts.calls, 0);
  while (!st_duty_held (duty, net_clock_now (&test_clock)))
    uv_run (&loop, UV_RUN_ONCE);
}
END_TEST

/* Guards against revoking a lease whose number may belong to another holder by
   now. */
START_TEST (test_duty_not_renewed_is_left_to_expire)
{
  st_store_t store;
  st_duty_t *duty;

  SCRIPT ({ LEASE_GRANTED ("1"), KEEP_ALIVE },
          { KEY_CLAIMED ("1"), KEEP_ALIVE },
          { "HTTP/1.1 503 Busy\r\nstore-era: 1\r\n"
            "content-length: 0\r\n\r\n",
            KEEP_ALIVE });
  duty = acquire_duty (&store);
  while (!store.counts.failures)
    uv_run (&loop, UV_RUN_ONCE);
  st_duty_want (duty, 0);
  while (st_duty_held (duty, net_clock_now (&test_clock)))
    uv_run (&loop, UV_RUN_ONCE);
  ck_assert_uint_eq (store.counts.calls, 3);
}
END_TEST

Suite *
epoch_suite (void)
{
  Suite *suite = suite_create ("epoch");
  TCase *tcase = tcase_create ("epoch");

  tcase_set_timeout (tcase, 20);
  tcase_add_checked_fixture (tcase, loop_setup, NULL);
  ADD_LOOP (tcase, test_keys_newer_epoch_wins_at_any_revision, 3);
  ADD (tcase, test_keys_former_epoch_is_ignored);
  ADD (tcase, test_keys_new_epoch_passes_on_differences);
  ADD (tcase, test_keys_refused_value_is_not_passed_on);
  ADD (tcase, test_keys_second_read_yields_differences);
  ADD (tcase, test_keys_pieces_are_complete_and_bounded);
  ADD (tcase, test_keys_removed_are_bounded);
  ADD (tcase, test_keys_held_by_a_read_wait_for_its_end);
  ADD_LOOP (tcase, test_keys_missing_or_restored_are_held_until_release, 2);
  ADD (tcase, test_follow_watch_across_epochs_is_discarded);
  ADD (tcase, test_follow_new_epoch_between_pages_restarts_read);
  ADD (tcase, test_follow_two_epochs_in_quick_succession);
  ADD (tcase, test_follow_answer_of_a_former_epoch_is_not_applied);
  ADD_LOOP (tcase, test_follow_invalid_epoch_is_ignored, 5);
  ADD (tcase, test_duty_renewed_in_another_epoch_is_lost);
  ADD (tcase, test_duty_is_lost_when_store_epoch_changes);
  ADD (tcase, test_duty_waits_for_leases_of_former_epoch);
  ADD (tcase, test_duty_not_renewed_is_left_to_expire);
  suite_add_tcase (suite, tcase);
  return suite;
}
