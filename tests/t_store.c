/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of following a store and of a duty that is leased there, against an
 * endpoint that answers with raw bytes.
 */
#include <stdlib.h>
#include <string.h>

#include "platform.h"
#include "script.h"
#include "store.h"
#include "test.h"

/* Following a store. */

typedef struct followed
{
  el_buf_t text;
  int known;
  int enough;
} followed_t;

static int
followed_item (void *arg, const pr_store_item_t *item)
{
  followed_t *seen = arg;

  el_buf_printf (&seen->text, "%s%.*s ", item->gone ? "-" : "+",
                 (int)item->key.len, item->key.ptr);
  return 1;
}

static void
followed_known (void *arg, el_time_t as_of)
{
  followed_t *seen = arg;

  (void)as_of;
  if (++seen->known == seen->enough)
    seen->enough = 0;
}

#define JSON() "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n"

/* A key that a watch showed and that vanished while history was lost is gone
   after the next whole reading. */
START_TEST (test_follow_key_that_vanished_unseen_is_gone)
{
  followed_t seen = { .enough = 3 };
  gt_store_t store = {
    .clock = &test_clock, .client = client, .dialect = &pf_store, .random = 1
  };
  gt_follow_options_t options = { .store = &store,
                                  .prefix = EL_STR ("p/"),
                                  .wait_ms = 100,
                                  .item = followed_item,
                                  .known = followed_known,
                                  .arg = &seen };
  gt_follow_t *follow;

  SCRIPT ({ JSON () "{\"Items\":[{\"Key\":\"p/a\",\"Value\":\"\","
                    "\"Revision\":1},{\"Key\":\"p/b\",\"Value\":\"\","
                    "\"Revision\":2}],\"more\":false,\"at\":2}",
            CLOSE },
          { JSON () "{\"events\":[{\"Key\":\"p/a\",\"Value\":\"\","
                    "\"Revision\":3}],\"at\":3}",
            CLOSE },
          { "HTTP/1.1 410 Gone\r\nconnection: close\r\n\r\n", CLOSE },
          { JSON () "{\"Items\":[{\"Key\":\"p/b\",\"Value\":\"\","
                    "\"Revision\":2}],\"more\":false,\"at\":9}",
            CLOSE });
  store.address = el_str (script.address);
  follow = gt_follow_new (&options);
  while (seen.enough)
    uv_run (&loop, UV_RUN_ONCE);
  gt_follow_free (follow);
  ck_assert_str_eq (seen.text.ptr, "+p/a +p/b +p/a -p/a ");
  el_buf_free (&seen.text);
}
END_TEST

/* Pages are no snapshot: the next one begins after the last key, and an event
   that is older than what is known changes nothing. */
START_TEST (test_follow_reads_pages_and_ignores_older_events)
{
  followed_t seen = { .enough = 2 };
  gt_store_t store = {
    .clock = &test_clock, .client = client, .dialect = &pf_store, .random = 1
  };
  gt_follow_options_t options = { .store = &store,
                                  .prefix = EL_STR ("p/"),
                                  .wait_ms = 100,
                                  .item = followed_item,
                                  .known = followed_known,
                                  .arg = &seen };
  gt_follow_t *follow;

  SCRIPT ({ JSON () "{\"Items\":[{\"Key\":\"p/a\",\"Value\":\"\","
                    "\"Revision\":1}],\"more\":true,\"at\":5}",
            CLOSE },
          { JSON () "{\"Items\":[{\"Key\":\"p/b\",\"Value\":\"\","
                    "\"Revision\":8}],\"more\":false,\"at\":8}",
            CLOSE },
          { JSON () "{\"events\":[{\"Key\":\"p/b\",\"Revision\":7,"
                    "\"gone\":true},{\"Key\":\"p/b\",\"Value\":\"\","
                    "\"Revision\":8}],\"at\":8}",
            CLOSE });
  store.address = el_str (script.address);
  follow = gt_follow_new (&options);
  while (seen.enough)
    uv_run (&loop, UV_RUN_ONCE);
  gt_follow_free (follow);
  ck_assert_str_eq (seen.text.ptr, "+p/a +p/b ");
  ck_assert_ptr_nonnull (strstr (script.requests.ptr, "SinceRev=p/a"));
  ck_assert_ptr_nonnull (strstr (script.requests.ptr, "SinceRev=5&"));
  el_buf_free (&seen.text);
}
END_TEST

static int
ask_old (void *arg, pr_store_position_t after, unsigned old,
         pr_store_update_cb done, void *done_arg)
{
  const pr_store_update_t news
      = { .at = after, .as_of = net_clock_now (&test_clock) - 1700 * EL_MSEC };

  (void)arg;
  (void)old;
  done (done_arg, &news);
  return 1;
}

static void
blame_none (void *arg)
{
  (void)arg;
}

/* A host whose news are too old for a configuration to be in force in time is
   passed by: the store is asked. */
START_TEST (test_follow_news_too_old_have_the_store_asked)
{
  followed_t seen = { .enough = 2 };
  gt_store_t store = {
    .clock = &test_clock, .client = client, .dialect = &pf_store, .random = 1
  };
  gt_follow_options_t options = { .store = &store,
                                  .prefix = EL_STR ("p/"),
                                  .wait_ms = 100,
                                  .item = followed_item,
                                  .news_max_age = 1500 * EL_MSEC,
                                  .ask_peer = ask_old,
                                  .peer_failed = blame_none,
                                  .known = followed_known,
                                  .arg = &seen };
  gt_follow_t *follow;

  SCRIPT ({ JSON () "{\"Items\":[{\"Key\":\"p/a\",\"Value\":\"\","
                    "\"Revision\":1}],\"more\":false,\"at\":1}",
            CLOSE },
          { JSON () "{\"events\":[{\"Key\":\"p/b\",\"Value\":\"\","
                    "\"Revision\":2}],\"at\":2}",
            CLOSE });
  store.address = el_str (script.address);
  follow = gt_follow_new (&options);
  while (seen.enough)
    uv_run (&loop, UV_RUN_ONCE);
  gt_follow_free (follow);
  ck_assert_str_eq (seen.text.ptr, "+p/a +p/b ");
  el_buf_free (&seen.text);
}
END_TEST

#define BUSY() "HTTP/1.1 503 Busy\r\nconnection: close\r\n\r\n"

/* Another host that always tells old news. */
typedef struct old_host
{
  followed_t seen;
  unsigned asked;
} old_host_t;

static int
ask_old_later (void *arg, pr_store_position_t after, unsigned old,
               pr_store_update_cb done, void *done_arg)
{
  old_host_t *host = arg;

  host->asked++;
  return ask_old (&host->seen, after, old, done, done_arg);
}

/* While the store is away a host asks the others again and again, and itself
   seldom: a fleet would else ask all at once as long as it lasts. */
START_TEST (test_follow_store_away_is_asked_seldom)
{
  old_host_t host = { .asked = 0 };
  gt_store_t store = {
    .clock = &test_clock, .client = client, .dialect = &pf_store, .random = 1
  };
  gt_follow_options_t options = { .store = &store,
                                  .prefix = EL_STR ("p/"),
                                  .wait_ms = 100,
                                  .item = followed_item,
                                  .news_max_age = 1500 * EL_MSEC,
                                  .ask_peer = ask_old_later,
                                  .peer_failed = blame_none,
                                  .known = followed_known,
                                  .arg = &host };
  gt_follow_t *follow;

  SCRIPT ({ JSON () "{\"Items\":[],\"more\":false,\"at\":1}", CLOSE },
          { BUSY (), CLOSE }, { BUSY (), CLOSE }, { BUSY (), CLOSE });
  store.address = el_str (script.address);
  follow = gt_follow_new (&options);
  while (host.asked < 5)
    uv_run (&loop, UV_RUN_ONCE);
  gt_follow_free (follow);
  ck_assert_uint_eq (store.counts.calls, 2);
}
END_TEST

static int
duty_vacant (void *arg)
{
  return *(int *)arg;
}

/* The store refuses a call and asks for half a second without calls: neither
   the part that made it nor another one of this host makes one in it. A time
   of an hour is not kept to. */
START_TEST (test_store_that_asks_for_rest_gets_no_calls_in_it)
{
  static int vacant = 1;
  old_host_t host = { .asked = 0 };
  gt_store_t store = {
    .clock = &test_clock, .client = client, .dialect = &pf_store, .random = 1
  };
  const gt_follow_options_t follow_options = { .store = &store,
                                               .prefix = EL_STR ("p/"),
                                               .wait_ms = 100,
                                               .item = followed_item,
                                               .known = followed_known,
                                               .arg = &host };
  const gt_duty_options_t duty_options = { .store = &store,
                                           .key = EL_STR ("duty"),
                                           .holder = EL_STR ("a"),
                                           .ttl_ms = 2000,
                                           .vacant = duty_vacant,
                                           .arg = &vacant };
  gt_follow_t *follow;
  gt_duty_t *duty;

  SCRIPT ({ "HTTP/1.1 429 Busy\r\nretry-after: 0.5\r\n"
            "connection: close\r\n\r\n",
            CLOSE },
          { "HTTP/1.1 503 Busy\r\nretry-after: 3600\r\n"
            "content-length: 0\r\n\r\n",
            KEEP_ALIVE });
  store.address = el_str (script.address);
  follow = gt_follow_new (&follow_options);
  while (!store.counts.rests)
    uv_run (&loop, UV_RUN_ONCE);
  duty = gt_duty_new (&duty_options);
  gt_duty_want (duty, 1);
  gt_store_put_leased (&store, EL_STR ("k"), EL_STR ("v"), 1000, 0);
  loop_run_for (480 * EL_MSEC);
  ck_assert_uint_eq (store.counts.calls, 1);
  while (store.counts.rests < 2)
    uv_run (&loop, UV_RUN_ONCE);
  ck_assert_uint_le (gt_store_retry_after (&store), 2500 * EL_MSEC);
  ck_assert_uint_ge (gt_store_retry_after (&store), 1900 * EL_MSEC);
  gt_follow_free (follow);
}
END_TEST

/* A duty that another host has is not asked for. */
START_TEST (test_duty_is_asked_for_when_it_is_vacant)
{
  int vacant = 0;
  gt_store_t store = {
    .clock = &test_clock, .client = client, .dialect = &pf_store, .random = 1
  };
  gt_duty_options_t options = { .store = &store,
                                .key = EL_STR ("duty"),
                                .holder = EL_STR ("a"),
                                .ttl_ms = 2000,
                                .vacant = duty_vacant,
                                .arg = &vacant };
  gt_duty_t *duty;

  /* What was sent of a body is read with the next request. */
  SCRIPT ({ "HTTP/1.1 200 OK\r\ncontent-length: 25\r\n\r\n"
            "{\"lease\":7,\"ttl_ms\":2000}",
            KEEP_ALIVE },
          { "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n"
            "{\"Revision\":3}",
            KEEP_ALIVE });
  store.address = el_str (script.address);
  duty = gt_duty_new (&options);
  gt_duty_want (duty, 1);
  loop_run_for (300 * EL_MSEC);
  ck_assert_uint_eq (store.counts.calls, 0);
  vacant = 1;
  while (!gt_duty_held (duty, net_clock_now (&test_clock)))
    uv_run (&loop, UV_RUN_ONCE);
  ck_assert_uint_eq (store.counts.calls, 2);
}
END_TEST

Suite *
store_suite (void)
{
  Suite *suite = suite_create ("store");
  TCase *tcase = tcase_create ("store");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, loop_setup, NULL);
  ADD (tcase, test_follow_key_that_vanished_unseen_is_gone);
  ADD (tcase, test_follow_reads_pages_and_ignores_older_events);
  ADD (tcase, test_follow_news_too_old_have_the_store_asked);
  ADD (tcase, test_follow_store_away_is_asked_seldom);
  ADD (tcase, test_store_that_asks_for_rest_gets_no_calls_in_it);
  ADD (tcase, test_duty_is_asked_for_when_it_is_vacant);
  suite_add_tcase (suite, tcase);
  return suite;
}
