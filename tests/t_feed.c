/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of the feed: who reads the store and who passes its contents on, when
 * all hosts start at once and when the store does not answer.
 */
#include "feed_net.h"
#include "test.h"

#define HALLS 5
#define RUN_TIME (20 * EL_SEC)
/* Hosts that ask one host, at most. */
#define CHILDREN_MAX 32

static const size_t sizes[] = { 30, 100, 300 };

static feed_net_result_t
run_start (feed_net_options_t options)
{
  feed_net_t *net;
  feed_net_result_t result;

  options.halls = HALLS;
  options.entries = 3 * options.hosts + 60;
  net = feed_net_new (&options);
  feed_net_run (net, RUN_TIME);
  feed_net_result (net, &result);
  feed_net_free (net);
  ck_assert_uint_eq (result.ready, options.hosts);
  return result;
}

/* Guards against hosts that all read the store when they start: the calls and
   the bytes on the store's link then grow with the square of the fleet. Each
   hall reads the store a few times, before its hosts know each other. */
START_TEST (test_feed_start_reads_store_once_per_hall)
{
  size_t pages;
  size_t i;

  for (i = 0; i < sizeof sizes / sizeof *sizes; i++)
    {
      feed_net_result_t result = run_start ((feed_net_options_t){
          .seed = (uint64_t)_i + 1, .hosts = sizes[i], .large_every = 20 });

      pages = (3 * sizes[i] + 60) / 200 + 1;
      ck_assert_uint_le (result.store_calls, HALLS * 6 * pages);
      ck_assert_uint_le (result.ready_last, 2500 * EL_MSEC);
    }
}
END_TEST

/* In a hall of small hosts, none of them has to serve the hall. */
START_TEST (test_feed_start_of_small_hosts_is_spread)
{
  feed_net_result_t result = run_start (
      (feed_net_options_t){ .seed = (uint64_t)_i + 1, .hosts = 300 });

  ck_assert_uint_le (result.ready_last, 6 * EL_SEC);
  ck_assert_uint_le (result.store_calls, HALLS * 6 * 5);
}
END_TEST

/* The store does not answer the host of each hall that should read it. */
START_TEST (test_feed_start_with_silent_store_uses_a_stand_in)
{
  size_t i;

  for (i = 0; i < sizeof sizes / sizeof *sizes; i++)
    {
      feed_net_result_t result
          = run_start ((feed_net_options_t){ .seed = (uint64_t)_i + 1,
                                             .hosts = sizes[i],
                                             .large_every = sizes[i],
                                             .store_cut = 1 });

      ck_assert_uint_le (result.ready_last, 5 * EL_SEC);
      ck_assert_uint_le (result.store_calls,
                         HALLS * 6 * ((3 * sizes[i] + 60) / 200 + 1));
    }
}
END_TEST

/* A hall of hosts that know each other; the view of the host with INDEX in
   rank order. */
typedef struct hall
{
  co_members_t *members;
  co_feed_t *feed;
  co_incarnation_t incarnation;
  size_t n;
} hall_t;

static void
ignore_change (void *arg, const co_member_t *member)
{
  (void)arg;
  (void)member;
}

static co_member_t
hall_member (size_t rank, uint64_t capacity)
{
  co_member_t member = { .peer = EL_STR ("h:1"),
                         .http = EL_STR ("h:2"),
                         .hall = EL_STR ("a"),
                         .capacity = capacity };

  member.incarnation.byte[0] = (unsigned char)(rank >> 8);
  member.incarnation.byte[1] = (unsigned char)rank;
  return member;
}

/* The first LARGE hosts have 50 times the capacity of the others. */
static hall_t
hall_open (size_t index, size_t n, size_t large)
{
  hall_t hall = { .n = n };
  co_members_options_t options
      = { .self = hall_member (index, index < large ? 1000 : 20),
          .period = EL_SEC,
          .seed = 1,
          .changed = ignore_change };
  co_feed_options_t feed = { .readers = 1, .seed = index + 1 };
  size_t i;

  hall.members = co_members_new (&options);
  for (i = 0; i < n; i++)
    {
      co_member_t member = hall_member (i, i < large ? 1000 : 20);

      if (i != index)
        co_members_apply_member (hall.members, 0, &member);
    }
  feed.members = hall.members;
  hall.feed = co_feed_new (&feed);
  return hall;
}

static void
hall_close (hall_t *hall)
{
  co_feed_free (hall->feed);
  co_members_free (hall->members);
}

static size_t
member_rank (const co_member_t *member)
{
  return (size_t)member->incarnation.byte[0] << 8
         | member->incarnation.byte[1];
}

/* One host of a hall asks the store, each other one a host before it, and no
   host is asked by more than CHILDREN_MAX, whatever the size of the hall. */
START_TEST (test_feed_tree_is_narrow)
{
  static const struct
  {
    size_t hosts;
    size_t large;
    size_t children_max;
    size_t depth_max;
  } halls[] = { { 3, 0, 4, 1 },
                { 60, 3, 32, 2 },
                { 200, 10, 32, 2 },
                { 400, 20, 32, 2 },
                { 400, 0, 4, 5 } };
  const size_t hosts = halls[_i].hosts;
  size_t children[400] = { 0 };
  size_t depth[400] = { 0 };
  size_t readers = 0;
  size_t i;

  for (i = 0; i < hosts; i++)
    {
      hall_t hall = hall_open (i, hosts, halls[_i].large);
      co_feed_plan_t plan;

      co_feed_plan (hall.feed, EL_SEC, &plan);
      readers += (size_t)plan.store;
      if (plan.host)
        {
          size_t parent = member_rank (plan.host);

          ck_assert_uint_lt (parent, i);
          ck_assert_uint_le (++children[parent], halls[_i].children_max);
          depth[i] = depth[parent] + 1;
          ck_assert_uint_le (depth[i], halls[_i].depth_max);
        }
      hall_close (&hall);
    }
  ck_assert_uint_eq (readers, 1);
}
END_TEST

/* Calls to the store in 10 s, while it answers no host of the hall, do not
   grow with the hall: the reader has others ask in its place, the others
   hardly ever ask by themselves. */
START_TEST (test_feed_outage_calls_do_not_grow_with_hall)
{
  static const size_t halls[] = { 10, 100, 400 };
  const el_time_t span = 10 * EL_SEC;
  size_t k;

  for (k = 0; k < 3; k++)
    {
      size_t calls = 0;
      size_t i;

      for (i = 1; i < halls[k]; i++)
        {
          hall_t hall = hall_open (i, halls[k], 1);
          el_time_t now;

          for (now = EL_SEC; now < EL_SEC + span; now += 200 * EL_MSEC)
            {
              co_feed_plan_t plan;

              co_feed_plan (hall.feed, now, &plan);
              ck_assert_ptr_nonnull (plan.host);
              if (plan.store)
                {
                  calls++;
                  co_feed_store_done (hall.feed, now, 0);
                }
              co_feed_host_done (hall.feed, now, &plan.host->incarnation, 0,
                                 CO_FEED_STALE);
            }
          hall_close (&hall);
        }
      ck_assert_uint_le (calls, 60);
    }
}
END_TEST

/* A source that does not answer is left out, and the host goes on to another
   one; after a while it is asked again. */
START_TEST (test_feed_silent_source_is_left_out)
{
  hall_t hall = hall_open (50, 60, 0);
  co_feed_plan_t plan;
  size_t first;

  co_feed_plan (hall.feed, EL_SEC, &plan);
  first = member_rank (plan.host);
  co_feed_host_done (hall.feed, EL_SEC, &plan.host->incarnation, 0,
                     CO_FEED_NONE);
  co_feed_plan (hall.feed, EL_SEC, &plan);
  ck_assert_uint_ne (member_rank (plan.host), first);
  ck_assert_int_eq (plan.store, 0);
  co_feed_plan (hall.feed, 10 * EL_SEC, &plan);
  ck_assert_uint_eq (member_rank (plan.host), first);
  hall_close (&hall);
}
END_TEST

/* A reader whose call is overdue has another host ask the store at once, and
   the next one if that host has nothing newer; it keeps one that has. */
START_TEST (test_feed_overdue_reader_looks_for_a_stand_in)
{
  hall_t hall = hall_open (0, 20, 0);
  co_feed_plan_t plan;

  co_feed_plan (hall.feed, EL_SEC, &plan);
  ck_assert_int_eq (plan.store, 1);
  ck_assert_ptr_null (plan.host);
  co_feed_store_overdue (hall.feed);
  co_feed_plan (hall.feed, EL_SEC, &plan);
  ck_assert_int_eq (plan.stand_in, 1);
  ck_assert_uint_eq (member_rank (plan.host), 1);
  co_feed_host_done (hall.feed, EL_SEC, &plan.host->incarnation, 1,
                     CO_FEED_STALE);
  co_feed_plan (hall.feed, EL_SEC, &plan);
  ck_assert_uint_eq (member_rank (plan.host), 2);
  co_feed_host_done (hall.feed, EL_SEC, &plan.host->incarnation, 1,
                     CO_FEED_CURRENT);
  co_feed_plan (hall.feed, 2 * EL_SEC, &plan);
  ck_assert_uint_eq (member_rank (plan.host), 2);
  ck_assert_int_eq (plan.store, 1);
  co_feed_store_done (hall.feed, 2 * EL_SEC, 1);
  co_feed_plan (hall.feed, 2 * EL_SEC, &plan);
  ck_assert_ptr_null (plan.host);
  hall_close (&hall);
}
END_TEST

Suite *
feed_suite (void)
{
  Suite *suite = suite_create ("feed");
  TCase *tcase = tcase_create ("feed");

  tcase_set_timeout (tcase, 120);
  ADD_LOOP (tcase, test_feed_start_reads_store_once_per_hall, 2);
  ADD_LOOP (tcase, test_feed_start_of_small_hosts_is_spread, 2);
  ADD_LOOP (tcase, test_feed_start_with_silent_store_uses_a_stand_in, 2);
  ADD_LOOP (tcase, test_feed_tree_is_narrow, 5);
  ADD (tcase, test_feed_outage_calls_do_not_grow_with_hall);
  ADD (tcase, test_feed_silent_source_is_left_out);
  ADD (tcase, test_feed_overdue_reader_looks_for_a_stand_in);
  suite_add_tcase (suite, tcase);
  return suite;
}
