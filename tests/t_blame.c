/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of request digests and of blaming requests for endpoint crashes.
 */
#include <stdio.h>

#include "blame_sim.h"
#include "test.h"

#define KEY EL_STR ("a key that the hosts share")

static const rt_digest_input_t request = { .customer = EL_STR ("parking"),
                                           .method = EL_STR ("POST"),
                                           .host = EL_STR ("rel.example"),
                                           .path = EL_STR ("/chat/x?y=1"),
                                           .body = EL_STR ("body") };

/* The digest covers each field and the boundaries between fields. */
START_TEST (test_digest_covers_each_field_and_its_bounds)
{
  rt_digest_t digest = rt_digest (KEY, &request);
  rt_digest_input_t other[]
      = { request, request, request, request, request, request };
  char hex[RT_DIGEST_HEX + 1];
  size_t i;

  other[0].customer = EL_STR ("rosters");
  other[1].method = EL_STR ("PUT");
  other[2].host = EL_STR ("other.example");
  other[3].path = EL_STR ("/chat/x");
  other[4].body = EL_STR ("Body");
  other[5].path = EL_STR ("/chat/x?y=1b");
  other[5].body = EL_STR ("ody");
  ck_assert_uint_ne (digest, 0);
  ck_assert_uint_eq (digest, rt_digest (KEY, &request));
  for (i = 0; i < sizeof other / sizeof *other; i++)
    ck_assert_uint_ne (digest, rt_digest (KEY, &other[i]));
  ck_assert_uint_ne (digest, rt_digest (EL_STR ("another key"), &request));
  rt_digest_hex (0xab, hex);
  ck_assert_str_eq (hex, "00000000000000ab");
}
END_TEST

#define NOW (1000 * EL_SEC)
#define ENDPOINTS 40
#define CULPRIT 7
#define SEEDS 20

static rt_blame_t *blame;
static unsigned blocked_count;

static void
blame_setup (void)
{
  const rt_blame_options_t options = { .max_causes = 1000,
                                       .max_customer_causes = 200,
                                       .rule = &rt_blame_rule_odds };

  blame = rt_blame_new (&options);
  blocked_count = 0;
}

static void
blame_teardown (void)
{
  rt_blame_free (blame);
}

static void
count_blocked (void *arg, const rt_block_t *block,
               const rt_blame_status_t *status)
{
  (void)arg;
  (void)block;
  ck_assert_int_eq (status->state, RT_BLAME_BLOCKED);
  blocked_count++;
}

static void
count_suspect_or_blocked (void *arg, const rt_block_t *block,
                          const rt_blame_status_t *status)
{
  unsigned *n = arg;

  (void)block;
  *n += status->state != RT_BLAME_NONE;
}

static void
update (el_time_t now)
{
  rt_blame_update (blame, now, ENDPOINTS, count_blocked, NULL);
}

/* Add a crash of instance ENGINE that two hosts report. */
static void
add_crash (unsigned engine, el_time_t at, rt_digest_t digest, el_time_t ran)
{
  rt_crash_report_t e = { .instance = { .id = "e", .born = engine },
                          .digest = digest,
                          .customer = 1,
                          .at = at,
                          .ran = ran,
                          .first = 1 };

  for (e.host = 1; e.host <= 2; e.host++)
    rt_blame_add_report (blame, NOW, &e);
}

static rt_blame_state_t
state_of (rt_digest_t digest)
{
  return rt_blame_get_status (blame, NOW, digest).state;
}

/* At each of three crashes the culprit ran along with fifty other requests,
   new ones each time. Only the culprit is blocked, and only at the third
   crash. */
START_TEST (test_blame_finds_one_culprit_of_fifty)
{
  unsigned crash;
  unsigned i;

  for (crash = 0; crash < 3; crash++)
    {
      ck_assert_uint_eq (blocked_count, 0);
      add_crash (crash, NOW + crash * EL_SEC, CULPRIT, 80 * EL_MSEC);
      for (i = 0; i < 50; i++)
        add_crash (crash, NOW + crash * EL_SEC, 1000 + 100 * crash + i,
                   (50 + 50 * i) * EL_MSEC);
      update (NOW + crash * EL_SEC);
    }
  ck_assert_uint_eq (blocked_count, 1);
  ck_assert_int_eq (state_of (CULPRIT), RT_BLAME_BLOCKED);
  for (i = 0; i < 50; i++)
    ck_assert (rt_blame_get_status (blame, NOW, 1000 + i).odds < 1e-4);
}
END_TEST

/* Requests running on each engine: many, few, one. */
static const unsigned rack_loads[] = { 20, 4, 1 };

/* A rack outage: twelve engines crash within a second, and the requests of
   each are retried on the next two. No request is blocked. */
START_TEST (test_blame_rack_outage_blocks_no_request)
{
  const unsigned load = rack_loads[_i];
  unsigned back;
  unsigned crash;
  unsigned i;

  for (crash = 0; crash < 12; crash++)
    for (i = 0; i < load; i++)
      {
        add_crash (crash, NOW + crash * 80 * EL_MSEC, 1000 + 20 * crash + i,
                   300 * EL_MSEC);
        for (back = 1; back <= 2 && back <= crash; back++)
          add_crash (crash, NOW + crash * 80 * EL_MSEC,
                     1000 + 20 * (crash - back) + i, 100 * EL_MSEC);
      }
  update (NOW + EL_SEC);
  ck_assert_uint_eq (blocked_count, 0);
}
END_TEST

/* A rack outage in which one request is retried on three of the rack's
   engines, each time on one that ran nothing else. It is not blocked. */
START_TEST (test_blame_rack_outage_with_a_retried_request)
{
  unsigned crash;

  for (crash = 0; crash < 12; crash++)
    add_crash (crash, NOW + crash * 80 * EL_MSEC,
               crash % 4 == 3 ? 5000 : 1000 + crash, 100 * EL_MSEC);
  update (NOW + EL_SEC);
  ck_assert_uint_eq (blocked_count, 0);
}
END_TEST

/* Reports arrive in any order, some twice; the odds are the same. */
START_TEST (test_blame_is_independent_of_report_order)
{
  rt_crash_report_t reports[60];
  double odds[2];
  uint64_t random = (uint64_t)_i * 77 + 1;
  size_t n = 0;
  size_t i;
  size_t k;
  int round;

  for (i = 0; i < 4; i++)
    for (k = 0; k < 15; k++)
      reports[n++] = (rt_crash_report_t){ .instance = { .id = "e", .born = i },
                                          .digest = k ? 100 + i * k : CULPRIT,
                                          .host = 1 + k % 3,
                                          .at = NOW + i * EL_SEC,
                                          .ran = (k + 1) * 60 * EL_MSEC,
                                          .first = 1 };
  for (round = 0; round < 2; round++)
    {
      for (i = 0; round && i < n; i++)
        {
          rt_crash_report_t tmp = reports[i];

          k = el_random (&random) % n;
          reports[i] = reports[k];
          reports[k] = tmp;
        }
      blame_teardown ();
      blame_setup ();
      for (i = 0; i < n; i++)
        {
          rt_blame_add_report (blame, NOW + 5 * EL_SEC, &reports[i]);
          if (round)
            rt_blame_add_report (blame, NOW + 5 * EL_SEC, &reports[i / 2]);
        }
      update (NOW + 5 * EL_SEC);
      odds[round] = rt_blame_get_status (blame, NOW, CULPRIT).odds;
    }
  ck_assert_double_eq_tol (odds[0] / odds[1], 1, 1e-6);
}
END_TEST

/* Adds a rack outage of two engines, at both of which one request ran. The
   store lists neither any more three seconds later, one after the other. */
static void
add_outage (int store_first)
{
  rt_crash_report_t listed = { .instance = { .id = "e" } };
  int round;
  unsigned i;

  for (round = 0; round < 2; round++)
    for (i = 0; i < 2; i++)
      {
        listed.instance.born = i;
        listed.at = NOW + (3 + i) * EL_SEC;
        if (round == !store_first)
          rt_blame_add_report (blame, NOW + 5 * EL_SEC, &listed);
        else
          add_crash (i, NOW + i * 100 * EL_MSEC, CULPRIT, 60 * EL_MSEC);
      }
  update (NOW + 5 * EL_SEC);
}

/* That the store lists an endpoint no more does not tell when it crashed. A
   host that learned it before it learned of the runs there took a rack outage
   for two crashes a second apart, and blocked the request. */
START_TEST (test_blame_takes_the_time_of_a_crash_from_its_runs)
{
  double odds;

  add_outage (0);
  odds = rt_blame_get_status (blame, NOW, CULPRIT).odds;
  blame_teardown ();
  blame_setup ();
  add_outage (1);
  ck_assert_double_eq_tol (
      rt_blame_get_status (blame, NOW, CULPRIT).odds / odds, 1, 1e-6);
}
END_TEST

/* A request that ran to completion is cleared of older crashes, also of those
   reported later, but not of new ones. */
START_TEST (test_blame_completed_request_is_cleared)
{
  add_crash (1, NOW, CULPRIT, EL_MSEC);
  add_crash (2, NOW + EL_SEC, CULPRIT, EL_MSEC);
  ck_assert_uint_ne (rt_blame_completed (blame, CULPRIT, NOW + 5 * EL_SEC), 0);
  add_crash (3, NOW + 2 * EL_SEC, CULPRIT, EL_MSEC);
  ck_assert_int_eq (state_of (CULPRIT), RT_BLAME_NONE);
  add_crash (4, NOW + 6 * EL_SEC, CULPRIT, EL_MSEC);
  update (NOW + 6 * EL_SEC);
  ck_assert_uint_eq (rt_blame_get_status (blame, NOW, CULPRIT).crashes, 1);
  ck_assert_uint_eq (blocked_count, 0);
  ck_assert_uint_eq (rt_blame_completed (blame, 99, NOW), 0);
}
END_TEST

/* A crash reported by only one host may be a fault of that host: it has less
   weight until a second source, here the store, confirms it. */
START_TEST (test_blame_unconfirmed_crash_counts_half)
{
  rt_crash_report_t e
      = { .digest = CULPRIT, .host = 1, .ran = 80 * EL_MSEC, .first = 1 };
  unsigned i;

  for (i = 0; i < 3; i++)
    {
      e.instance.born = i;
      e.at = NOW + i * EL_SEC;
      rt_blame_add_report (blame, NOW, &e);
    }
  update (NOW + 3 * EL_SEC);
  ck_assert_uint_eq (blocked_count, 0);
  e.host = 0; /* the store reports it, too */
  for (i = 0; i < 3; i++)
    {
      e.instance.born = i;
      rt_blame_add_report (blame, NOW, &e);
    }
  update (NOW + 3 * EL_SEC);
  ck_assert_uint_eq (blocked_count, 1);
}
END_TEST

/* Guards against a request that is blocked by a single crash: the rounding
   error left from adding and removing an older crash must not count as a
   nearby unexplained crash. */
START_TEST (test_blame_old_crash_leaves_no_rounding_error)
{
  const rt_crash_report_t old = { .instance = { .id = "gone" }, .at = NOW };

  rt_blame_add_report (blame, NOW, &old);
  add_crash (1, NOW + 32 * EL_SEC, 1000, 1 * EL_MSEC);
  add_crash (1, NOW + 32 * EL_SEC, 1001, (1 + (unsigned)_i) * 50 * EL_MSEC);
  update (NOW + 32 * EL_SEC);
  ck_assert_uint_eq (blocked_count, 0);
}
END_TEST

/* Guards against an attempt that reached an endpoint after its crash being
   counted as running there. */
START_TEST (test_blame_attempt_after_the_crash_is_ignored)
{
  rt_crash_report_t e = { .instance = { .id = "e", .born = 1 },
                          .digest = CULPRIT,
                          .customer = 1,
                          .host = 3,
                          .at = NOW + 701 * EL_MSEC,
                          .ran = 175,
                          .first = 1 };

  add_crash (1, NOW, 99, 20 * EL_MSEC);
  rt_blame_add_report (blame, NOW + EL_SEC, &e);
  add_crash (2, NOW + 707 * EL_MSEC, CULPRIT, 267);
  update (NOW + 2 * EL_SEC);
  ck_assert_uint_eq (
      rt_blame_get_status (blame, NOW + 2 * EL_SEC, CULPRIT).crashes, 1);
  ck_assert_uint_eq (blocked_count, 0);
}
END_TEST

/* A culprit is admitted again, as a suspect, when its block of ten minutes
   ends; one more crash blocks it for twenty. */
START_TEST (test_blame_second_block_lasts_twice_as_long)
{
  el_time_t now = NOW;
  el_time_t first;
  unsigned i;

  for (i = 0; i < 4; i++)
    add_crash (i, NOW + i * EL_SEC, CULPRIT, 80 * EL_MSEC);
  update (NOW + 4 * EL_SEC);
  first = rt_blame_get_status (blame, NOW, CULPRIT).blocked_until;
  ck_assert_uint_eq (first, NOW + 3 * EL_SEC + rt_blame_block_time (1));
  now = first + EL_SEC;
  update (now);
  ck_assert_int_eq (rt_blame_get_status (blame, now, CULPRIT).state,
                    RT_BLAME_SUSPECT);
  add_crash (9, now, CULPRIT, 80 * EL_MSEC);
  update (now);
  ck_assert_int_eq (rt_blame_get_status (blame, now, CULPRIT).state,
                    RT_BLAME_BLOCKED);
  ck_assert_uint_eq (rt_blame_get_status (blame, now, CULPRIT).blocked_until,
                     now + rt_blame_block_time (2));
  ck_assert_uint_eq (rt_blame_block_time (2), 2 * rt_blame_block_time (1));
  ck_assert_int_eq (rt_blame_clear (blame, CULPRIT, now + 1), 1);
  ck_assert_int_eq (rt_blame_get_status (blame, now, CULPRIT).state,
                    RT_BLAME_NONE);
}
END_TEST

/* A customer with an endless supply of different culprits: they use no more
   than that customer's share of the table and evict no other customer's
   requests. */
START_TEST (test_blame_customer_cannot_evict_others)
{
  rt_crash_report_t e
      = { .customer = 2, .host = 1, .ran = EL_MSEC, .first = 1 };
  unsigned i;

  for (i = 0; i < 4; i++)
    add_crash (i, NOW + i * EL_SEC, CULPRIT, 80 * EL_MSEC);
  update (NOW + 4 * EL_SEC);
  ck_assert_int_eq (state_of (CULPRIT), RT_BLAME_BLOCKED);
  for (i = 0; i < 100000; i++)
    {
      e.instance.born = 100 + i / 100;
      e.digest = 1000 + i;
      e.at = NOW + 5 * EL_SEC;
      rt_blame_add_report (blame, NOW, &e);
      if (i % 10 == 0)
        rt_blame_block (blame,
                        &(const rt_block_t){ .id = 2000000 + i,
                                             .causes = { 2000000 + i },
                                             .n = 1 },
                        2, NOW + 5 * EL_SEC, 1);
    }
  ck_assert_int_eq (state_of (CULPRIT), RT_BLAME_BLOCKED);
  blocked_count = 0;
  rt_blame_visit_causes (blame, NOW + 6 * EL_SEC, count_suspect_or_blocked,
                         &blocked_count);
  ck_assert_uint_le (blocked_count, 201);
}
END_TEST

/* Randomized simulations in which reports reach other hosts late. A culprit is
   sent at most three times later than three seconds after its third crash, and
   is blocked at the end. Without a culprit, unrelated crashes get no request
   refused. */
START_TEST (test_blame_simulations_keep_the_send_bound)
{
  sim_options_t options = { .seed = (uint64_t)_i + 1,
                            .rule = &rt_blame_rule_odds,
                            .isolation = 2,
                            .hosts = 7,
                            .engines = 6,
                            .rate = 62,
                            .culprits = 1,
                            .resubmit_delay_s = 0.5,
                            .delayed_share = 0.1,
                            .seconds = 30 };
  sim_result_t result = sim_run (&options);

  ck_assert_uint_le (result.late, 3);
  ck_assert_uint_eq (result.blocked, 1);
  ck_assert_uint_le (result.culprit_crashes, 6);
  options.culprits = 0;
  options.crash_rate = 0.02;
  options.rack_size = 3;
  result = sim_run (&options);
  ck_assert_uint_eq (result.refused, 0);
}
END_TEST

/* The same where a culprit crashes all endpoints of a small service and hosts
   learn of some crashes only from the store's list. */
START_TEST (test_blame_simulations_of_small_services_keep_the_send_bound)
{
  static const size_t endpoints[] = { 1, 2, 3, 5 };
  sim_options_t options = { .rule = &rt_blame_rule_odds,
                            .isolation = 3,
                            .doubt = SIM_DOUBT_HOLD,
                            .hosts = 7,
                            .rate = 8,
                            .culprits = 1,
                            .resubmit_delay_s = 0.5,
                            .restart_s = 3.1,
                            .delayed_share = 0.1,
                            .seconds = 40 };
  sim_result_t result;
  size_t i;

  for (i = 0; i < sizeof endpoints / sizeof *endpoints; i++)
    {
      options.seed = (uint64_t)_i + 1;
      options.engines = endpoints[i];
      result = sim_run (&options);
      ck_assert_uint_le (result.late, 3);
      ck_assert_uint_le (result.culprit_crashes, 6);
      ck_assert_uint_eq (result.blocked, 1);
    }
}
END_TEST

Suite *
blame_suite (void)
{
  Suite *suite = suite_create ("blame");
  TCase *tcase = tcase_create ("blame");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, blame_setup, blame_teardown);
  ADD (tcase, test_digest_covers_each_field_and_its_bounds);
  ADD (tcase, test_blame_finds_one_culprit_of_fifty);
  ADD_LOOP (tcase, test_blame_rack_outage_blocks_no_request,
            sizeof rack_loads / sizeof *rack_loads);
  ADD (tcase, test_blame_rack_outage_with_a_retried_request);
  ADD (tcase, test_blame_takes_the_time_of_a_crash_from_its_runs);
  ADD_LOOP (tcase, test_blame_is_independent_of_report_order, SEEDS);
  ADD (tcase, test_blame_completed_request_is_cleared);
  ADD (tcase, test_blame_unconfirmed_crash_counts_half);
  ADD_LOOP (tcase, test_blame_old_crash_leaves_no_rounding_error, SEEDS);
  ADD (tcase, test_blame_attempt_after_the_crash_is_ignored);
  ADD (tcase, test_blame_second_block_lasts_twice_as_long);
  ADD (tcase, test_blame_customer_cannot_evict_others);
  ADD_LOOP (tcase, test_blame_simulations_keep_the_send_bound, SEEDS);
  ADD_LOOP (tcase,
            test_blame_simulations_of_small_services_keep_the_send_bound,
            SEEDS);
  suite_add_tcase (suite, tcase);
  return suite;
}
