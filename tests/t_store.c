/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of following the keys of a store and of a duty that is leased there,
 * against an endpoint that sends scripted bytes.
 */
#include <stdlib.h>
#include <string.h>

#include "platform.h"
#include "script.h"
#include "store.h"
#include "test.h"

/* Following the keys of a store. */

typedef struct record
{
  el_buf_t text; /* the changes, in order: "+KEY " or "-KEY " */
  int nknown;    /* reads and watches that were completed */
  int wanted;    /* nknown to wait for; 0 once reached */
} record_t;

static int
record_item (void *arg, const pr_store_item_t *item)
{
  record_t *record = arg;

  el_buf_printf (&record->text, "%s%.*s ", item->gone ? "-" : "+",
                 (int)item->key.len, item->key.ptr);
  return 1;
}

static void
record_known (void *arg, el_time_t as_of)
{
  record_t *record = arg;

  (void)as_of;
  if (++record->nknown == record->wanted)
    record->wanted = 0;
}

/* The store that the script plays. */
static st_store_t
script_store (void)
{
  return (st_store_t){
    .clock = &test_clock, .client = client, .dialect = &pf_store, .random = 1
  };
}

static st_follow_options_t
record_options (st_store_t *store, void *record)
{
  return (st_follow_options_t){ .store = store,
                                .prefix = EL_STR ("p/"),
                                .wait_ms = 100,
                                .item = record_item,
                                .known = record_known,
                                .arg = record };
}

#define HTTP_OK() "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n"

/* A key that a watch showed, and that was deleted in a part of the history
   that the store no longer has, is reported as deleted after the next full
   read. */
START_TEST (test_follow_reports_key_deleted_in_lost_history)
{
  record_t record = { .wanted = 3 };
  st_store_t store = script_store ();
  st_follow_options_t options = record_options (&store, &record);
  st_follow_t *follow;

  SCRIPT ({ HTTP_OK () "{\"Items\":[{\"Key\":\"p/a\",\"Value\":\"\","
                       "\"Revision\":1},{\"Key\":\"p/b\",\"Value\":\"\","
                       "\"Revision\":2}],\"more\":false,\"at\":2}",
            CLOSE },
          { HTTP_OK () "{\"events\":[{\"Key\":\"p/a\",\"Value\":\"\","
                       "\"Revision\":3}],\"at\":3}",
            CLOSE },
          { "HTTP/1.1 410 Gone\r\nconnection: close\r\n\r\n", CLOSE },
          { HTTP_OK () "{\"Items\":[{\"Key\":\"p/b\",\"Value\":\"\","
                       "\"Revision\":2}],\"more\":false,\"at\":9}",
            CLOSE });
  store.address = el_str (script.address);
  follow = st_follow_new (&options);
  while (record.wanted)
    uv_run (&loop, UV_RUN_ONCE);
  st_follow_free (follow);
  ck_assert_str_eq (record.text.ptr, "+p/a +p/b +p/a -p/a ");
  el_buf_free (&record.text);
}
END_TEST

/* The pages of a read are not one snapshot: each page begins after the last
   key of the one before, and an event older than the known change of its key
   has no effect. */
START_TEST (test_follow_reads_pages_and_ignores_older_events)
{
  record_t record = { .wanted = 2 };
  st_store_t store = script_store ();
  st_follow_options_t options = record_options (&store, &record);
  st_follow_t *follow;

  SCRIPT ({ HTTP_OK () "{\"Items\":[{\"Key\":\"p/a\",\"Value\":\"\","
                       "\"Revision\":1}],\"more\":true,\"at\":5}",
            CLOSE },
          { HTTP_OK () "{\"Items\":[{\"Key\":\"p/b\",\"Value\":\"\","
                       "\"Revision\":8}],\"more\":false,\"at\":8}",
            CLOSE },
          { HTTP_OK () "{\"events\":[{\"Key\":\"p/b\",\"Revision\":7,"
                       "\"gone\":true},{\"Key\":\"p/b\",\"Value\":\"\","
                       "\"Revision\":8}],\"at\":8}",
            CLOSE });
  store.address = el_str (script.address);
  follow = st_follow_new (&options);
  while (record.wanted)
    uv_run (&loop, UV_RUN_ONCE);
  st_follow_free (follow);
  ck_assert_str_eq (record.text.ptr, "+p/a +p/b ");
  ck_assert_ptr_nonnull (strstr (script.requests.ptr, "SinceRev=p/a"));
  ck_assert_ptr_nonnull (strstr (script.requests.ptr, "SinceRev=5&"));
  el_buf_free (&record.text);
}
END_TEST

/* Guards against a list that can't be read for one odd item: the keys after it
   are read, by a read and by a watch. */
START_TEST (test_follow_reads_what_follows_an_odd_item)
{
  record_t record = { .wanted = 2 };
  st_store_t store = script_store ();
  st_follow_options_t options = record_options (&store, &record);
  st_follow_t *follow;

  SCRIPT ({ HTTP_OK () "{\"Items\":[{\"Key\":\"p/\\u0000\",\"Value\":\"\","
                       "\"Revision\":1},{\"Key\":7,\"Revision\":2},"
                       "{\"Key\":\"p/a\",\"Value\":\"\",\"Revision\":3}],"
                       "\"more\":false,\"at\":3}",
            CLOSE },
          { HTTP_OK () "{\"events\":[{\"Key\":\"p/\\u0000\",\"Value\":\"!\","
                       "\"Revision\":4},[],{\"Key\":\"p/b\",\"Value\":\"\","
                       "\"Revision\":5}],\"at\":5}",
            CLOSE });
  store.address = el_str (script.address);
  follow = st_follow_new (&options);
  while (record.wanted)
    uv_run (&loop, UV_RUN_ONCE);
  ck_assert_uint_eq (st_follow_position (follow).revision, 5);
  st_follow_free (follow);
  ck_assert_ptr_nonnull (strstr (record.text.ptr, "+p/a "));
  ck_assert_ptr_nonnull (strstr (record.text.ptr, "+p/b "));
  el_buf_free (&record.text);
}
END_TEST

/* A hall of which this host is not the first, and the answers of the first
   one. */
typedef struct hall
{
  record_t record; /* first, as the callbacks cast the hall to a record_t */
  co_members_t *members;
  co_feed_t *feed;
  unsigned nasked;
  el_time_t age; /* of the data that the first host has */
} hall_t;

static void
ignore_change (void *arg, const co_member_t *member)
{
  (void)arg;
  (void)member;
}

static co_member_t
hall_member (unsigned char n)
{
  return (co_member_t){ .incarnation = { .byte = { n } },
                        .peer = EL_STR ("h:1"),
                        .hall = EL_STR ("a") };
}

static void
hall_open (hall_t *hall)
{
  const co_members_options_t options
      = { .self = hall_member (2), .seed = 1, .changed = ignore_change };
  const co_member_t first = hall_member (1);
  co_feed_options_t feed = { .readers = 1, .seed = 1 };

  hall->members = co_members_new (&options);
  co_members_apply_member (hall->members, 0, &first);
  feed.members = hall->members;
  hall->feed = co_feed_new (&feed);
}

/* Adds N hosts that rank between the first one and this one. */
static void
hall_grow (hall_t *hall, unsigned char n)
{
  unsigned char i;

  for (i = 1; i <= n; i++)
    {
      co_member_t member = hall_member (1);

      member.incarnation.byte[1] = i;
      co_members_apply_member (hall->members, 0, &member);
    }
}

static void
hall_close (hall_t *hall)
{
  co_feed_free (hall->feed);
  co_members_free (hall->members);
}

/* Answers with data that are older than update_max_age. */
static void
answer_stale (void *arg, const co_member_t *host,
              const pr_store_query_t *query, int stand_in,
              pr_store_update_cb done, void *done_arg)
{
  hall_t *hall = arg;
  const pr_store_update_t update
      = { .state = query->read ? PR_UPDATE_NONE : PR_UPDATE_CHANGES,
          .at = query->after,
          .as_of = net_clock_now (&test_clock) - 1700 * EL_MSEC };

  (void)host;
  (void)stand_in;
  hall->nasked++;
  done (done_arg, &update);
}

static st_follow_t *
hall_follow (hall_t *hall, st_store_t *store)
{
  const st_follow_options_t options = { .store = store,
                                        .prefix = EL_STR ("p/"),
                                        .wait_ms = 100,
                                        .item = record_item,
                                        .update_max_age = 1500 * EL_MSEC,
                                        .feed = hall->feed,
                                        .ask_host = answer_stale,
                                        .known = record_known,
                                        .arg = hall };

  *store = (st_store_t){ .clock = &test_clock,
                         .client = client,
                         .dialect = &pf_store,
                         .address = el_str (script.address),
                         .random = 1 };
  return st_follow_new (&options);
}

/* If the updates of another host stay too old for a configuration to take
   effect in time, the follower asks the store instead. */
START_TEST (test_follow_asks_store_when_peer_update_is_stale)
{
  hall_t hall = { .record = { .wanted = 2 } };
  st_store_t store;
  st_follow_t *follow;

  SCRIPT ({ HTTP_OK () "{\"Items\":[{\"Key\":\"p/a\",\"Value\":\"\","
                       "\"Revision\":1}],\"more\":false,\"at\":1}",
            CLOSE },
          { HTTP_OK () "{\"events\":[{\"Key\":\"p/b\",\"Value\":\"\","
                       "\"Revision\":2}],\"at\":2}",
            CLOSE });
  hall_open (&hall);
  follow = hall_follow (&hall, &store);
  while (hall.record.wanted)
    uv_run (&loop, UV_RUN_ONCE);
  st_follow_free (follow);
  ck_assert_str_eq (hall.record.text.ptr, "+p/a +p/b ");
  el_buf_free (&hall.record.text);
  hall_close (&hall);
}
END_TEST

#define HTTP_UNAVAILABLE() "HTTP/1.1 503 Busy\r\nconnection: close\r\n\r\n"

/* While the store is unavailable, a host continues to ask other hosts and asks
   the store itself only rarely; otherwise all hosts of a fleet would ask it at
   once for as long as the outage lasts. */
START_TEST (test_follow_rarely_asks_unavailable_store)
{
  hall_t hall = { .nasked = 0 };
  st_store_t store;
  st_follow_t *follow;

  SCRIPT ({ HTTP_OK () "{\"Items\":[],\"more\":false,\"at\":1}", CLOSE },
          { HTTP_UNAVAILABLE (), CLOSE }, { HTTP_UNAVAILABLE (), CLOSE },
          { HTTP_UNAVAILABLE (), CLOSE });
  hall_open (&hall);
  follow = hall_follow (&hall, &store);
  while (!hall.record.nknown)
    uv_run (&loop, UV_RUN_ONCE);
  hall.nasked = 0;
  while (hall.nasked < 9)
    uv_run (&loop, UV_RUN_ONCE);
  st_follow_free (follow);
  ck_assert_uint_eq (store.counts.calls, 1);
  hall_close (&hall);
}
END_TEST

/* A host that is not to read the store does not read all keys when the store
   has lost the history since its position: another host of its hall has the
   changes. Otherwise all hosts of a fleet would read all keys together. */
START_TEST (test_follow_lost_history_is_read_by_few)
{
  hall_t hall = { .nasked = 0 };
  st_store_t store;
  st_follow_t *follow;

  SCRIPT ({ HTTP_OK () "{\"Items\":[],\"more\":false,\"at\":1}", CLOSE },
          { "HTTP/1.1 410 Gone\r\nconnection: close\r\n\r\n", CLOSE },
          { "HTTP/1.1 410 Gone\r\nconnection: close\r\n\r\n", CLOSE },
          { "HTTP/1.1 410 Gone\r\nconnection: close\r\n\r\n", CLOSE });
  hall_open (&hall);
  follow = hall_follow (&hall, &store);
  while (store.counts.calls < 4)
    uv_run (&loop, UV_RUN_ONCE);
  st_follow_free (follow);
  ck_assert_uint_eq (store.counts.reads[ST_READ_HISTORY], 0);
  ck_assert_ptr_null (
      strstr (strstr (script.requests.ptr, "kv-watch"), "kv-range"));
  hall_close (&hall);
}
END_TEST

/* Answers of other hosts to a host that reads all keys, in order; those
   without a state stand for a host that does not answer. */
static const pr_store_item_t first_page[]
    = { { .key = EL_STR ("p/a"), .revision = 3 },
        { .key = EL_STR ("p/b"), .revision = 4 } };
static const pr_store_item_t old_page[]
    = { { .key = EL_STR ("p/x"), .revision = 2 } };
static const pr_store_item_t last_page[]
    = { { .key = EL_STR ("p/c"), .revision = 7 } };
static const struct
{
  int silent;
  pr_store_update_t update;
} read_answers[] = {
  { .update = { .state = PR_UPDATE_NONE } },
  { .update = { .state = PR_UPDATE_PAGE,
                .items = (pr_store_item_t *)(uintptr_t)first_page,
                .n = 2,
                .more = 1,
                .at = { 0, 5 } } },
  { .silent = 1 },
  /* This host has seen less than the one that sent the first page. */
  { .update = { .state = PR_UPDATE_PAGE,
                .items = (pr_store_item_t *)(uintptr_t)old_page,
                .n = 1,
                .at = { 0, 4 } } },
  { .update = { .state = PR_UPDATE_PAGE,
                .items = (pr_store_item_t *)(uintptr_t)last_page,
                .n = 1,
                .at = { 0, 8 } } },
};

static void
answer_read (void *arg, const co_member_t *host, const pr_store_query_t *query,
             int stand_in, pr_store_update_cb done, void *done_arg)
{
  hall_t *hall = arg;
  size_t at = hall->nasked++;
  pr_store_update_t update;

  (void)host;
  (void)stand_in;
  if (at >= sizeof read_answers / sizeof *read_answers)
    return;
  if (at)
    ck_assert (
        el_str_eq (query->cursor, at == 1 ? EL_STR ("") : EL_STR ("p/b")));
  update = read_answers[at].update;
  update.as_of = net_clock_now (&test_clock) - EL_SEC;
  done (done_arg, read_answers[at].silent ? NULL : &update);
}

/* A read goes on at the page that it has reached, whoever sends the next one:
   sources that have nothing yet, do not answer or are behind cost time only,
   and no call to the store. */
START_TEST (test_follow_read_goes_on_with_another_host)
{
  hall_t hall = { .record = { .wanted = 1 } };
  st_store_t store = script_store ();
  st_follow_options_t options = record_options (&store, &hall);
  st_follow_t *follow;

  options.update_max_age = 1500 * EL_MSEC;
  options.ask_host = answer_read;
  store.address = EL_STR ("127.0.0.1:1");
  hall_open (&hall);
  hall_grow (&hall, 60);
  options.feed = hall.feed;
  follow = st_follow_new (&options);
  while (hall.record.wanted)
    uv_run (&loop, UV_RUN_ONCE);
  ck_assert_str_eq (hall.record.text.ptr, "+p/a +p/b +p/c ");
  ck_assert_uint_eq (st_follow_position (follow).revision, 5);
  ck_assert_uint_eq (store.counts.calls, 0);
  st_follow_free (follow);
  el_buf_free (&hall.record.text);
  hall_close (&hall);
}
END_TEST

/* A hall whose first host reads the store; this one is with it in the same
   process and gets its answers from it directly. */
typedef struct pair
{
  hall_t hall; /* first, as the callbacks cast the pair to a hall_t */
  st_follow_t *reader;
  int stands_still;
  el_timer_t timer;       /* of its answer */
  pr_store_query_t query; /* that waits while this host stands still */
  pr_store_update_cb done;
  void *done_arg;
} pair_t;

static void
pair_answer (void *arg, el_time_t now)
{
  pair_t *pair = arg;
  pr_store_update_t update;

  (void)now;
  st_follow_update (pair->reader, &pair->query, &update);
  pair->done (pair->done_arg, &update);
  free (update.items);
}

static void
answer_from_reader (void *arg, const co_member_t *host,
                    const pr_store_query_t *query, int stand_in,
                    pr_store_update_cb done, void *done_arg)
{
  pair_t *pair = arg;

  (void)host;
  (void)stand_in;
  pair->query = *query;
  pair->done = done;
  pair->done_arg = done_arg;
  if (!pair->stands_still)
    net_clock_set (&test_clock, &pair->timer, EL_MSEC);
}

/* The host that reads the store. */
typedef struct reader
{
  record_t record; /* first, as the callbacks cast the reader to a record_t */
  int pages;       /* read, but for last ones */
} reader_t;

static void
count_page (void *arg)
{
  reader_t *reader = arg;

  reader->pages++;
}

#define BIG_VALUE (96 * 1024)

/* The first page of a further read: one key that is newer than the reader's
   position, and one that exceeds the size of a list. */
static char *
big_page (void)
{
  static char text[BIG_VALUE + 512];
  size_t len = (size_t)snprintf (
      text, sizeof text,
      HTTP_OK () "{\"Items\":[{\"Key\":\"p/a\",\"Value\":\"\","
                 "\"Revision\":4},{\"Key\":\"p/b\",\"Value\":\"\","
                 "\"Revision\":6},{\"Key\":\"p/c\",\"Value\":\"");

  memset (text + len, 'A', BIG_VALUE);
  strcpy (text + len + BIG_VALUE, "\",\"Revision\":7}],\"more\":true,"
                                  "\"at\":7}");
  return text;
}

/* Guards against a change that another host never gets: the reader is at a
   later page of a further read, whose earlier pages have keys that are newer
   than its position, and gives changes in pieces meanwhile. */
START_TEST (test_follow_list_during_read_skips_no_change)
{
  static answer_t answers[]
      = { { HTTP_OK () "{\"Items\":[{\"Key\":\"p/z\",\"Value\":\"\","
                       "\"Revision\":3}],\"more\":false,\"at\":3}",
            CLOSE },
          { HTTP_OK () "{\"events\":[{\"Key\":\"p/a\",\"Value\":\"\","
                       "\"Revision\":4}],\"at\":4}",
            CLOSE },
          { "HTTP/1.1 410 Gone\r\nconnection: close\r\n\r\n", CLOSE },
          { NULL, CLOSE },
          { HTTP_OK () "{\"Items\":[{\"Key\":\"p/z\",\"Value\":\"MQ==\","
                       "\"Revision\":5}],\"more\":false,\"at\":8}",
            CLOSE },
          { HTTP_OK () "{\"events\":[],\"at\":8}", CLOSE } };
  pair_t pair = { .timer = { .cb = pair_answer, .arg = &pair } };
  st_store_t store = script_store ();
  reader_t seen = { .pages = 0 };
  st_follow_options_t reader = record_options (&store, &seen);
  st_follow_options_t other = record_options (&store, &pair);
  st_follow_t *follow;

  reader.progress = count_page;
  other.update_max_age = EL_TIME_NEVER / 4;
  other.ask_host = answer_from_reader;
  answers[3].bytes = big_page ();
  script_start (answers, sizeof answers / sizeof *answers);
  store.address = el_str (script.address);
  hall_open (&pair.hall);
  hall_grow (&pair.hall, 60);
  other.feed = pair.hall.feed;
  pair.reader = st_follow_new (&reader);
  while (st_follow_position (pair.reader).revision < 3)
    uv_run (&loop, UV_RUN_ONCE);
  pair.stands_still = 1;
  follow = st_follow_new (&other);
  pair_answer (&pair, 0);
  ck_assert_uint_eq (st_follow_position (follow).revision, 3);
  pair.done = NULL;
  while (!seen.pages || !pair.done)
    uv_run (&loop, UV_RUN_ONCE);
  pair.stands_still = 0;
  pair_answer (&pair, 0);
  while (st_follow_position (follow).revision < 8)
    uv_run (&loop, UV_RUN_ONCE);
  st_follow_free (follow);
  st_follow_free (pair.reader);
  ck_assert_ptr_nonnull (strstr (pair.hall.record.text.ptr + 1, "+p/z "));
  el_buf_free (&pair.hall.record.text);
  el_buf_free (&seen.record.text);
  hall_close (&pair.hall);
}
END_TEST

static int
read_vacant (void *arg)
{
  return *(int *)arg;
}

/* The store refuses a call with a retry-after of 0.5 s: no component of this
   host calls it in that time, neither the one that was refused nor another. A
   retry-after of one hour is not honoured in full. */
START_TEST (test_store_retry_after_stops_all_calls)
{
  static int vacant = 1;
  record_t record = { .wanted = 0 };
  st_store_t store = script_store ();
  const st_follow_options_t follow_options = record_options (&store, &record);
  const st_duty_options_t duty_options = { .store = &store,
                                           .key = EL_STR ("duty"),
                                           .holder = EL_STR ("a"),
                                           .ttl_ms = 2000,
                                           .vacant = read_vacant,
                                           .arg = &vacant };
  st_follow_t *follow;
  st_duty_t *duty;

  SCRIPT ({ "HTTP/1.1 429 Busy\r\nretry-after: 0.5\r\n"
            "connection: close\r\n\r\n",
            CLOSE },
          { "HTTP/1.1 503 Busy\r\nretry-after: 3600\r\n"
            "content-length: 0\r\n\r\n",
            KEEP_ALIVE });
  store.address = el_str (script.address);
  follow = st_follow_new (&follow_options);
  while (!store.counts.rests)
    uv_run (&loop, UV_RUN_ONCE);
  duty = st_duty_new (&duty_options);
  st_duty_want (duty, 1);
  st_store_put_leased (&store, EL_STR ("k"), EL_STR ("v"), 1000, 0);
  loop_run_for (480 * EL_MSEC);
  ck_assert_uint_eq (store.counts.calls, 1);
  while (store.counts.rests < 2)
    uv_run (&loop, UV_RUN_ONCE);
  ck_assert_uint_le (st_store_retry_after (&store), 2500 * EL_MSEC);
  ck_assert_uint_ge (st_store_retry_after (&store), 1900 * EL_MSEC);
  st_follow_free (follow);
}
END_TEST

/* A duty that another host holds is not requested. */
START_TEST (test_duty_is_requested_only_when_vacant)
{
  int vacant = 0;
  st_store_t store = script_store ();
  st_duty_options_t options = { .store = &store,
                                .key = EL_STR ("duty"),
                                .holder = EL_STR ("a"),
                                .ttl_ms = 2000,
                                .vacant = read_vacant,
                                .arg = &vacant };
  st_duty_t *duty;

  /* The endpoint reads the body of a request with the next request. */
  SCRIPT ({ "HTTP/1.1 200 OK\r\ncontent-length: 25\r\n\r\n"
            "{\"lease\":7,\"ttl_ms\":2000}",
            KEEP_ALIVE },
          { "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n"
            "{\"Revision\":3}",
            KEEP_ALIVE });
  store.address = el_str (script.address);
  duty = st_duty_new (&options);
  st_duty_want (duty, 1);
  loop_run_for (300 * EL_MSEC);
  ck_assert_uint_eq (store.counts.calls, 0);
  vacant = 1;
  while (!st_duty_held (duty, net_clock_now (&test_clock)))
    uv_run (&loop, UV_RUN_ONCE);
  ck_assert_uint_eq (store.counts.calls, 2);
}
END_TEST

static size_t
rank_two (void *arg)
{
  (void)arg;
  return 2;
}

/* Guards against a duty that stays vacant while the host that should take it
   cannot reach the store: the hosts after it take it, one after the other.
   They wait for the next renewal of the former holder, which may not know yet
   that the store has lost its lease. */
START_TEST (test_duty_left_vacant_is_taken_by_the_next)
{
  int vacant = 1;
  st_store_t store = script_store ();
  st_duty_options_t options = { .store = &store,
                                .key = EL_STR ("duty"),
                                .holder = EL_STR ("a"),
                                .ttl_ms = 2000,
                                .vacant = read_vacant,
                                .rank = rank_two,
                                .arg = &vacant };
  st_duty_t *duty;
  el_time_t began = net_clock_now (&test_clock);

  SCRIPT ({ "HTTP/1.1 200 OK\r\ncontent-length: 25\r\n\r\n"
            "{\"lease\":7,\"ttl_ms\":2000}",
            KEEP_ALIVE },
          { "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n"
            "{\"Revision\":3}",
            KEEP_ALIVE });
  store.address = el_str (script.address);
  duty = st_duty_new (&options);
  st_duty_want (duty, 1);
  loop_run_for (1300 * EL_MSEC);
  ck_assert_uint_eq (store.counts.calls, 0);
  while (!st_duty_held (duty, net_clock_now (&test_clock)))
    uv_run (&loop, UV_RUN_ONCE);
  ck_assert_uint_le (net_clock_now (&test_clock) - began, 2000 * EL_MSEC);
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
  ADD (tcase, test_follow_reports_key_deleted_in_lost_history);
  ADD (tcase, test_follow_reads_pages_and_ignores_older_events);
  ADD (tcase, test_follow_reads_what_follows_an_odd_item);
  ADD (tcase, test_follow_asks_store_when_peer_update_is_stale);
  ADD (tcase, test_follow_rarely_asks_unavailable_store);
  ADD (tcase, test_follow_lost_history_is_read_by_few);
  ADD (tcase, test_follow_read_goes_on_with_another_host);
  ADD (tcase, test_follow_list_during_read_skips_no_change);
  ADD (tcase, test_store_retry_after_stops_all_calls);
  ADD (tcase, test_duty_is_requested_only_when_vacant);
  ADD (tcase, test_duty_left_vacant_is_taken_by_the_next);
  suite_add_tcase (suite, tcase);
  return suite;
}
