/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of positions in a store that goes on from an older copy: the keys that
 * are known, and a follower against an endpoint that answers with raw bytes.
 */
#include <string.h>

#include "platform.h"
#include "script.h"
#include "store.h"
#include "store_keys.h"
#include "test.h"

/* The keys. */

typedef struct seen
{
  el_buf_t text;
  int refuse;
  int known;
  int enough;
} seen_t;

static int
seen_item (void *arg, const pr_store_item_t *item)
{
  seen_t *seen = arg;

  el_buf_printf (&seen->text, "%s%.*s=%.*s ", item->gone ? "-" : "+",
                 (int)item->key.len, item->key.ptr, (int)item->value.len,
                 item->value.ptr);
  return !seen->refuse;
}

static void
seen_is (const seen_t *seen, const char *want)
{
  ck_assert_str_eq (seen->text.ptr ? seen->text.ptr : "", want);
}

static gt_keys_t *
keys_open (seen_t *seen)
{
  const gt_keys_options_t options = { .item = seen_item, .arg = seen };

  return gt_keys_new (&options);
}

static void
keys_put (gt_keys_t *keys, uint64_t epoch, uint64_t revision,
          const char *value)
{
  const pr_store_item_t item = { .key = EL_STR ("k"),
                                 .value = el_str (value ? value : ""),
                                 .revision = revision,
                                 .gone = !value };

  gt_keys_apply (keys, epoch, &item);
}

/* Guards against a change that is dropped as its revision is not above the one
   that a former epoch gave. */
START_TEST (test_keys_change_of_a_newer_epoch_counts_at_any_revision)
{
  static const uint64_t revisions[] = { 4, 5, 6 };
  seen_t seen = { .refuse = 0 };
  gt_keys_t *keys = keys_open (&seen);

  keys_put (keys, 1, 5, "ready");
  keys_put (keys, 2, revisions[_i], "leaves");
  seen_is (&seen, "+k=ready +k=leaves ");
  gt_keys_free (keys);
  el_buf_free (&seen.text);
}
END_TEST

START_TEST (test_keys_change_of_a_former_epoch_counts_for_nothing)
{
  seen_t seen = { .refuse = 0 };
  gt_keys_t *keys = keys_open (&seen);

  keys_put (keys, 2, 5, "leaves");
  keys_put (keys, 1, 9, "ready");
  keys_put (keys, 1, 10, NULL);
  seen_is (&seen, "+k=leaves ");
  gt_keys_free (keys);
  el_buf_free (&seen.text);
}
END_TEST

/* A reading of a new epoch hands on what differs, and has a host that lags
   behind that epoch told all. */
START_TEST (test_keys_new_epoch_hands_on_what_differs)
{
  const pr_store_item_t other
      = { .key = EL_STR ("o"), .value = EL_STR ("x"), .revision = 3 };
  seen_t seen = { .refuse = 0 };
  gt_keys_t *keys = keys_open (&seen);
  pr_store_update_t news = { 0 };

  keys_put (keys, 1, 5, "a");
  gt_keys_apply (keys, 1, &other);
  gt_keys_begin_snapshot (keys);
  gt_keys_apply (keys, 2, &other);
  keys_put (keys, 2, 4, "b");
  gt_keys_end_snapshot (keys, (pr_store_position_t){ 2, 4 });
  seen_is (&seen, "+k=a +o=x +k=b ");
  gt_keys_changes_since (keys, (pr_store_position_t){ 1, 9 }, &news);
  ck_assert_int_eq (news.whole, 1);
  ck_assert_uint_eq (news.n, 2);
  free (news.items);
  gt_keys_changes_since (keys, (pr_store_position_t){ 2, 4 }, &news);
  ck_assert_int_eq (news.whole, 0);
  free (news.items);
  gt_keys_free (keys);
  el_buf_free (&seen.text);
}
END_TEST

/* A value that is refused as older, by a count of its own, is not what other
   hosts are told. */
START_TEST (test_keys_refused_value_is_not_told_on)
{
  seen_t seen = { .refuse = 0 };
  gt_keys_t *keys = keys_open (&seen);
  pr_store_update_t news = { 0 };

  keys_put (keys, 1, 5, "v66");
  seen.refuse = 1;
  keys_put (keys, 2, 3, "v59");
  gt_keys_changes_since (keys, (pr_store_position_t){ 1, 0 }, &news);
  ck_assert (el_str_eq (news.items[0].value, EL_STR ("v66")));
  free (news.items);
  gt_keys_free (keys);
  el_buf_free (&seen.text);
}
END_TEST

/* A key that the first reading of an epoch lacks counts on, one that was gone
   and is there again does not count, until it settles or a change is told. */
START_TEST (test_keys_what_an_epoch_lacks_or_has_again_waits)
{
  static const pr_store_item_t gone[]
      = { { .key = EL_STR ("g"), .value = EL_STR ("1"), .revision = 3 },
          { .key = EL_STR ("g"), .revision = 6, .gone = 1 } };
  seen_t seen = { .refuse = 0 };
  gt_keys_t *keys = keys_open (&seen);
  int changed = _i;

  keys_put (keys, 1, 5, "a");
  gt_keys_apply (keys, 1, &gone[0]);
  gt_keys_apply (keys, 1, &gone[1]);
  gt_keys_begin_snapshot (keys);
  gt_keys_apply (keys, 2, &gone[0]);
  gt_keys_end_snapshot (keys, (pr_store_position_t){ 2, 4 });
  seen_is (&seen, "+k=a +g=1 -g= ");
  if (changed)
    keys_put (keys, 2, 5, "a");
  gt_keys_release_held (keys);
  seen_is (&seen,
           changed ? "+k=a +g=1 -g= +k=a +g=1 " : "+k=a +g=1 -g= -k=a +g=1 ");
  gt_keys_free (keys);
  el_buf_free (&seen.text);
}
END_TEST

/* The follower. */

static void
seen_known (void *arg, el_time_t as_of)
{
  seen_t *seen = arg;

  (void)as_of;
  if (++seen->known == seen->enough)
    seen->enough = 0;
}

#define ERA(era)                                                              \
  "HTTP/1.1 200 OK\r\nstore-era: " era "\r\nconnection: close\r\n\r\n"
#define ITEM(key, value, revision)                                            \
  "{\"Key\":\"" key "\",\"Value\":\"" value "\",\"Revision\":" revision "}"
#define RANGE(items, at) "{\"Items\":[" items "],\"more\":false,\"at\":" at "}"
#define PAGE(items, at) "{\"Items\":[" items "],\"more\":true,\"at\":" at "}"
#define EVENTS(items, at) "{\"events\":[" items "],\"at\":" at "}"

/* Follow the script until so many readings and watches have counted; base64
   values "YQ==" and "Yg==" are "a" and "b". */
static void
follow_script (seen_t *seen, gt_store_t *store, int enough)
{
  gt_follow_options_t options = { .store = store,
                                  .prefix = EL_STR ("p/"),
                                  .wait_ms = 100,
                                  .item = seen_item,
                                  .known = seen_known,
                                  .arg = seen };
  gt_follow_t *follow;

  seen->enough = enough;
  *store = (gt_store_t){ .clock = &test_clock,
                         .client = client,
                         .dialect = &pf_store,
                         .address = el_str (script.address),
                         .random = 1 };
  follow = gt_follow_new (&options);
  while (seen->enough)
    uv_run (&loop, UV_RUN_ONCE);
  gt_follow_free (follow);
}

/* Guards against events of a watch that a store answers without 410, as the
   revision that it was asked for exists again. */
START_TEST (test_follow_watch_across_an_epoch_is_not_believed)
{
  seen_t seen = { .refuse = 0 };
  gt_store_t store;

  SCRIPT (
      { ERA ("1") RANGE (ITEM ("p/a", "YQ==", "9"), "9"), CLOSE },
      { ERA ("2") EVENTS (ITEM ("p/c", "YQ==", "10"), "10"), CLOSE },
      { ERA ("2") RANGE (
            ITEM ("p/a", "Yg==", "8") "," ITEM ("p/c", "YQ==", "10"), "10"),
        CLOSE });
  follow_script (&seen, &store, 2);
  seen_is (&seen, "+p/a=a +p/a=b +p/c=a ");
  ck_assert_uint_eq (store.counts.reads[GT_STORE_READ_EPOCH], 1);
  el_buf_free (&seen.text);
}
END_TEST

START_TEST (test_follow_epoch_that_begins_between_pages_reads_anew)
{
  seen_t seen = { .refuse = 0 };
  gt_store_t store;

  SCRIPT ({ ERA ("1") PAGE (ITEM ("p/a", "YQ==", "9"), "9"), CLOSE },
          { ERA ("2") RANGE (ITEM ("p/b", "YQ==", "9"), "9"), CLOSE },
          { ERA ("2") RANGE (ITEM ("p/a", "Yg==", "7"), "8"), CLOSE });
  follow_script (&seen, &store, 1);
  seen_is (&seen, "+p/a=a +p/a=b ");
  ck_assert_ptr_nonnull (strstr (script.requests.ptr, "SinceRev=p/a"));
  el_buf_free (&seen.text);
}
END_TEST

START_TEST (test_follow_two_epochs_within_a_moment)
{
  seen_t seen = { .refuse = 0 };
  gt_store_t store;

  SCRIPT ({ ERA ("1") RANGE (ITEM ("p/a", "YQ==", "9"), "9"), CLOSE },
          { "HTTP/1.1 410 Gone\r\nstore-era: 2\r\nconnection: close\r\n\r\n",
            CLOSE },
          { "HTTP/1.1 503 Busy\r\nstore-era: 3\r\nconnection: close\r\n\r\n",
            CLOSE },
          { ERA ("3") RANGE (ITEM ("p/a", "Yg==", "9"), "9"), CLOSE });
  follow_script (&seen, &store, 2);
  seen_is (&seen, "+p/a=a +p/a=b ");
  ck_assert_uint_eq (store.epoch, 3);
  el_buf_free (&seen.text);
}
END_TEST

/* An answer that took long is of the copy's past. */
START_TEST (test_follow_answer_of_a_former_epoch_is_not_applied)
{
  seen_t seen = { .refuse = 0 };
  gt_store_t store;

  SCRIPT ({ ERA ("2") RANGE (ITEM ("p/a", "YQ==", "3"), "3"), CLOSE },
          { ERA ("1") EVENTS (ITEM ("p/a", "Yg==", "9"), "9"), CLOSE },
          { ERA ("2") EVENTS ("", "3"), CLOSE });
  follow_script (&seen, &store, 2);
  seen_is (&seen, "+p/a=a ");
  ck_assert_uint_eq (store.counts.former, 1);
  el_buf_free (&seen.text);
}
END_TEST

/* What is no epoch, or none, leaves what is known. */
START_TEST (test_follow_epoch_that_cannot_be_read_leaves_what_is_known)
{
  static const char *const heads[]
      = { "", "store-era: two\r\n", "store-era: -2\r\n",
          "store-era: 18446744073709551616\r\n",
          "store-era: 2\r\nstore-era: 2\r\n" };
  static char bytes[256];
  static answer_t answers[]
      = { { ERA ("1") RANGE (ITEM ("p/a", "YQ==", "3"), "3"), CLOSE },
          { bytes, CLOSE } };
  seen_t seen = { .refuse = 0 };
  gt_store_t store;

  snprintf (bytes, sizeof bytes,
            "HTTP/1.1 200 OK\r\n%sconnection: close\r\n\r\n%s", heads[_i],
            EVENTS (ITEM ("p/a", "Yg==", "4"), "4"));
  script_start (answers, 2);
  follow_script (&seen, &store, 2);
  seen_is (&seen, "+p/a=a +p/a=b ");
  ck_assert_uint_eq (store.epoch, 1);
  el_buf_free (&seen.text);
}
END_TEST

/* The duty. */

#define WHOLE(era, len, body)                                                 \
  "HTTP/1.1 200 OK\r\nstore-era: " era "\r\ncontent-length: " len             \
  "\r\n\r\n" body
#define GRANTED(era) WHOLE (era, "25", "{\"lease\":7,\"ttl_ms\":2000}")
#define CLAIMED(era) WHOLE (era, "14", "{\"Revision\":3}")

static int
vacant_always (void *arg)
{
  (void)arg;
  return 1;
}

static gt_duty_t *
duty_script (gt_store_t *store)
{
  const gt_duty_options_t options = { .store = store,
                                      .key = EL_STR ("duty"),
                                      .holder = EL_STR ("a"),
                                      .ttl_ms = 900,
                                      .vacant = vacant_always };
  gt_duty_t *duty;

  *store = (gt_store_t){ .clock = &test_clock,
                         .client = client,
                         .dialect = &pf_store,
                         .address = el_str (script.address),
                         .random = 1 };
  duty = gt_duty_new (&options);
  gt_duty_want (duty, 1);
  while (!gt_duty_held (duty, net_clock_now (&test_clock)))
    uv_run (&loop, UV_RUN_ONCE);
  return duty;
}

/* Guards against a renewal that goes well as the number of the lease was given
   to somebody else. */
START_TEST (test_duty_renewed_in_another_epoch_is_lost)
{
  gt_store_t store;
  gt_duty_t *duty;

  SCRIPT ({ GRANTED ("1"), KEEP_ALIVE }, { CLAIMED ("1"), KEEP_ALIVE },
          { WHOLE ("2", "2", "{}"), KEEP_ALIVE });
  duty = duty_script (&store);
  while (store.epoch == 1)
    uv_run (&loop, UV_RUN_ONCE);
  ck_assert (!gt_duty_held (duty, net_clock_now (&test_clock)));
}
END_TEST

START_TEST (test_duty_is_lost_when_another_part_hears_of_an_epoch)
{
  gt_store_t store;
  gt_duty_t *duty;

  SCRIPT ({ GRANTED ("1"), KEEP_ALIVE }, { CLAIMED ("1"), KEEP_ALIVE });
  duty = duty_script (&store);
  gt_store_observe_epoch (&store, 2, "host");
  ck_assert (!gt_duty_held (duty, net_clock_now (&test_clock)));
}
END_TEST

/* Guards against two holders: one that has not heard of the epoch may go on
   until its lease runs out. */
START_TEST (test_duty_is_not_asked_for_before_leases_of_a_former_epoch_end)
{
  gt_store_t store = { .clock = &test_clock,
                       .client = client,
                       .dialect = &pf_store,
                       .random = 1,
                       .known = 1 };
  const gt_duty_options_t options = { .store = &store,
                                      .key = EL_STR ("duty"),
                                      .holder = EL_STR ("a"),
                                      .ttl_ms = 900,
                                      .vacant = vacant_always };
  gt_duty_t *duty;

  SCRIPT ({ GRANTED ("2"), KEEP_ALIVE }, { CLAIMED ("2"), KEEP_ALIVE });
  store.address = el_str (script.address);
  duty = gt_duty_new (&options);
  gt_store_observe_epoch (&store, 2, "host");
  loop_run_for (20 * EL_MSEC);
  gt_duty_want (duty, 1);
  loop_run_for (800 * EL_MSEC);
  ck_assert_uint_eq (store.counts.calls, 0);
  while (!gt_duty_held (duty, net_clock_now (&test_clock)))
    uv_run (&loop, UV_RUN_ONCE);
}
END_TEST

/* Guards against the end of a lease whose number may be somebody else's. */
START_TEST (test_duty_that_the_store_did_not_renew_is_left_to_run_out)
{
  gt_store_t store;
  gt_duty_t *duty;

  SCRIPT ({ GRANTED ("1"), KEEP_ALIVE }, { CLAIMED ("1"), KEEP_ALIVE },
          { "HTTP/1.1 503 Busy\r\nstore-era: 1\r\n"
            "content-length: 0\r\n\r\n",
            KEEP_ALIVE });
  duty = duty_script (&store);
  while (!store.counts.failures)
    uv_run (&loop, UV_RUN_ONCE);
  gt_duty_want (duty, 0);
  while (gt_duty_held (duty, net_clock_now (&test_clock)))
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
  ADD_LOOP (tcase, test_keys_change_of_a_newer_epoch_counts_at_any_revision,
            3);
  ADD (tcase, test_keys_change_of_a_former_epoch_counts_for_nothing);
  ADD (tcase, test_keys_new_epoch_hands_on_what_differs);
  ADD (tcase, test_keys_refused_value_is_not_told_on);
  ADD_LOOP (tcase, test_keys_what_an_epoch_lacks_or_has_again_waits, 2);
  ADD (tcase, test_follow_watch_across_an_epoch_is_not_believed);
  ADD (tcase, test_follow_epoch_that_begins_between_pages_reads_anew);
  ADD (tcase, test_follow_two_epochs_within_a_moment);
  ADD (tcase, test_follow_answer_of_a_former_epoch_is_not_applied);
  ADD_LOOP (tcase, test_follow_epoch_that_cannot_be_read_leaves_what_is_known,
            5);
  ADD (tcase, test_duty_renewed_in_another_epoch_is_lost);
  ADD (tcase, test_duty_is_lost_when_another_part_hears_of_an_epoch);
  ADD (tcase, test_duty_is_not_asked_for_before_leases_of_a_former_epoch_end);
  ADD (tcase, test_duty_that_the_store_did_not_renew_is_left_to_run_out);
  suite_add_tcase (suite, tcase);
  return suite;
}
