/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of requests that come again, and of which one is to blame for the ends
 * of endpoints.
 */
#include <stdio.h>

#include "blame_sim.h"
#include "test.h"

#define KEY EL_STR ("a key that the hosts share")

static const rt_digest_input_t asked = { .customer = EL_STR ("parking"),
                                         .method = EL_STR ("POST"),
                                         .host = EL_STR ("rel.example"),
                                         .path = EL_STR ("/chat/x?y=1"),
                                         .body = EL_STR ("body") };

/* Each part counts, and where one ends and the next begins. */
START_TEST (test_digest_names_what_is_asked_and_by_whom)
{
  rt_digest_t digest = rt_digest (KEY, &asked);
  rt_digest_input_t other[] = { asked, asked, asked, asked, asked, asked };
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
  ck_assert_uint_eq (digest, rt_digest (KEY, &asked));
  for (i = 0; i < sizeof other / sizeof *other; i++)
    ck_assert_uint_ne (digest, rt_digest (KEY, &other[i]));
  ck_assert_uint_ne (digest, rt_digest (EL_STR ("another key"), &asked));
  rt_digest_hex (0xab, hex);
  ck_assert_str_eq (hex, "00000000000000ab");
}
END_TEST

#define NOW (1000 * EL_SEC)
#define ENDPOINTS 40
#define DEADLY 7
#define SEEDS 20

static rt_blame_t *blame;
static unsigned blocked;

static void
suspect_setup (void)
{
  const rt_blame_options_t options = { .max_requests = 1000,
                                       .max_customer_requests = 200,
                                       .rule = &rt_blame_rule_odds };

  blame = rt_blame_new (&options);
  blocked = 0;
}

static void
suspect_teardown (void)
{
  rt_blame_free (blame);
}

static void
blocked_count (void *arg, rt_digest_t digest,
               const rt_blame_status_t *judgement)
{
  (void)arg;
  (void)digest;
  ck_assert_int_eq (judgement->state, RT_BLAME_BLOCKED);
  blocked++;
}

static void
blocked_any (void *arg, rt_digest_t digest, const rt_blame_status_t *judgement)
{
  unsigned *n = arg;

  (void)digest;
  *n += judgement->state != RT_BLAME_NONE;
}

static void
judge (el_time_t now)
{
  rt_blame_update (blame, now, ENDPOINTS, blocked_count, NULL);
}

/* An end of the start ENGINE that two hosts saw. */
static void
ended (unsigned engine, el_time_t at, rt_digest_t digest, el_time_t ran)
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

/* Fifty ran under the first end, each with the one to blame; under the next
   ones it ran beside others. It alone is blocked, by the third. */
START_TEST (test_blame_one_of_fifty_is_found)
{
  unsigned end;
  unsigned i;

  for (end = 0; end < 3; end++)
    {
      ck_assert_uint_eq (blocked, 0);
      ended (end, NOW + end * EL_SEC, DEADLY, 80 * EL_MSEC);
      for (i = 0; i < 50; i++)
        ended (end, NOW + end * EL_SEC, 1000 + 100 * end + i,
               (50 + 50 * i) * EL_MSEC);
      judge (NOW + end * EL_SEC);
    }
  ck_assert_uint_eq (blocked, 1);
  ck_assert_int_eq (state_of (DEADLY), RT_BLAME_BLOCKED);
  for (i = 0; i < 50; i++)
    ck_assert (rt_blame_get_status (blame, NOW, 1000 + i).odds < 1e-4);
}
END_TEST

/* Requests that run on an engine: many, few, one. */
static const unsigned rack_loads[] = { 20, 4, 1 };

/* A rack goes dark: twelve engines within a second, and what ran on one of
   them is sent on to the next. Nobody is to blame. */
START_TEST (test_blame_a_rack_accuses_nobody)
{
  const unsigned load = rack_loads[_i];
  unsigned back;
  unsigned end;
  unsigned i;

  for (end = 0; end < 12; end++)
    for (i = 0; i < load; i++)
      {
        ended (end, NOW + end * 80 * EL_MSEC, 1000 + 20 * end + i,
               300 * EL_MSEC);
        for (back = 1; back <= 2 && back <= end; back++)
          ended (end, NOW + end * 80 * EL_MSEC, 1000 + 20 * (end - back) + i,
                 100 * EL_MSEC);
      }
  judge (NOW + EL_SEC);
  ck_assert_uint_eq (blocked, 0);
}
END_TEST

/* A rack goes dark, and one request is sent on to three of its engines, each
   time to one that ran nothing else: it followed the rack, and is not to
   blame. */
START_TEST (test_blame_a_rack_that_one_request_follows)
{
  unsigned end;

  for (end = 0; end < 12; end++)
    ended (end, NOW + end * 80 * EL_MSEC, end % 4 == 3 ? 5000 : 1000 + end,
           100 * EL_MSEC);
  judge (NOW + EL_SEC);
  ck_assert_uint_eq (blocked, 0);
}
END_TEST

/* Facts come in any order, some twice; the odds are the same. */
START_TEST (test_blame_order_of_news_plays_no_part)
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
                                          .digest = k ? 100 + i * k : DEADLY,
                                          .host = 1 + k % 3,
                                          .at = NOW + i * EL_SEC,
                                          .ran = (k + 1) * 60 * EL_MSEC,
                                          .first = 1 };
  for (round = 0; round < 2; round++)
    {
      for (i = 0; round && i < n; i++)
        {
          rt_crash_report_t held = reports[i];

          k = el_random (&random) % n;
          reports[i] = reports[k];
          reports[k] = held;
        }
      suspect_teardown ();
      suspect_setup ();
      for (i = 0; i < n; i++)
        {
          rt_blame_add_report (blame, NOW + 5 * EL_SEC, &reports[i]);
          if (round)
            rt_blame_add_report (blame, NOW + 5 * EL_SEC, &reports[i / 2]);
        }
      judge (NOW + 5 * EL_SEC);
      odds[round] = rt_blame_get_status (blame, NOW, DEADLY).odds;
    }
  ck_assert_double_eq_tol (odds[0] / odds[1], 1, 1e-6);
}
END_TEST

/* It ran to its end elsewhere: older ends say nothing of it any more, also
   those that are told later; a new one does. */
START_TEST (test_blame_who_ran_to_the_end_is_cleared)
{
  ended (1, NOW, DEADLY, EL_MSEC);
  ended (2, NOW + EL_SEC, DEADLY, EL_MSEC);
  ck_assert_uint_ne (rt_blame_completed (blame, DEADLY, NOW + 5 * EL_SEC), 0);
  ended (3, NOW + 2 * EL_SEC, DEADLY, EL_MSEC);
  ck_assert_int_eq (state_of (DEADLY), RT_BLAME_NONE);
  ended (4, NOW + 6 * EL_SEC, DEADLY, EL_MSEC);
  judge (NOW + 6 * EL_SEC);
  ck_assert_uint_eq (rt_blame_get_status (blame, NOW, DEADLY).crashes, 1);
  ck_assert_uint_eq (blocked, 0);
  ck_assert_uint_eq (rt_blame_completed (blame, 99, NOW), 0);
}
END_TEST

/* What only one host saw may be that host's own trouble: it takes more. */
START_TEST (test_blame_one_witness_counts_half)
{
  rt_crash_report_t e
      = { .digest = DEADLY, .host = 1, .ran = 80 * EL_MSEC, .first = 1 };
  unsigned i;

  for (i = 0; i < 3; i++)
    {
      e.instance.born = i;
      e.at = NOW + i * EL_SEC;
      rt_blame_add_report (blame, NOW, &e);
    }
  judge (NOW + 3 * EL_SEC);
  ck_assert_uint_eq (blocked, 0);
  e.host = 0; /* the store says so, too */
  for (i = 0; i < 3; i++)
    {
      e.instance.born = i;
      rt_blame_add_report (blame, NOW, &e);
    }
  judge (NOW + 3 * EL_SEC);
  ck_assert_uint_eq (blocked, 1);
}
END_TEST

/* Guards against a request that is blocked by one end: what is left of
   counting an end of long ago in and out again is no end near this one. */
START_TEST (test_blame_one_end_after_another_of_long_ago_is_not_enough)
{
  const rt_crash_report_t gone = { .instance = { .id = "gone" }, .at = NOW };

  rt_blame_add_report (blame, NOW, &gone);
  ended (1, NOW + 32 * EL_SEC, 1000, 1 * EL_MSEC);
  ended (1, NOW + 32 * EL_SEC, 1001, (1 + (unsigned)_i) * 50 * EL_MSEC);
  judge (NOW + 32 * EL_SEC);
  ck_assert_uint_eq (blocked, 0);
}
END_TEST

/* Guards against an attempt that came to an endpoint after its end and counts
   as run there. */
START_TEST (test_blame_what_came_after_an_end_is_not_to_blame)
{
  rt_crash_report_t e = { .instance = { .id = "e", .born = 1 },
                          .digest = DEADLY,
                          .customer = 1,
                          .host = 3,
                          .at = NOW + 701 * EL_MSEC,
                          .ran = 175,
                          .first = 1 };

  ended (1, NOW, 99, 20 * EL_MSEC);
  rt_blame_add_report (blame, NOW + EL_SEC, &e);
  ended (2, NOW + 707 * EL_MSEC, DEADLY, 267);
  judge (NOW + 2 * EL_SEC);
  ck_assert_uint_eq (
      rt_blame_get_status (blame, NOW + 2 * EL_SEC, DEADLY).crashes, 1);
  ck_assert_uint_eq (blocked, 0);
}
END_TEST

/* Let in again after ten minutes, it ends one engine and is blocked for
   twenty. */
START_TEST (test_blame_waiting_it_out_costs_an_engine_each_time)
{
  el_time_t now = NOW;
  el_time_t first;
  unsigned i;

  for (i = 0; i < 4; i++)
    ended (i, NOW + i * EL_SEC, DEADLY, 80 * EL_MSEC);
  judge (NOW + 4 * EL_SEC);
  first = rt_blame_get_status (blame, NOW, DEADLY).blocked_until;
  ck_assert_uint_eq (first, NOW + 3 * EL_SEC + rt_blame_block_time (1));
  now = first + EL_SEC;
  judge (now);
  ck_assert_int_eq (rt_blame_get_status (blame, now, DEADLY).state,
                    RT_BLAME_SUSPECT);
  ended (9, now, DEADLY, 80 * EL_MSEC);
  judge (now);
  ck_assert_int_eq (rt_blame_get_status (blame, now, DEADLY).state,
                    RT_BLAME_BLOCKED);
  ck_assert_uint_eq (rt_blame_get_status (blame, now, DEADLY).blocked_until,
                     now + rt_blame_block_time (2));
  ck_assert_uint_eq (rt_blame_block_time (2), 2 * rt_blame_block_time (1));
  ck_assert_int_eq (rt_blame_clear (blame, DEADLY, now + 1), 1);
  ck_assert_int_eq (rt_blame_get_status (blame, now, DEADLY).state,
                    RT_BLAME_NONE);
}
END_TEST

/* A caller with endless different requests that end engines: they fill no more
   than the caller's part of the room, and what is known of another's stays. */
START_TEST (test_blame_one_caller_pushes_nobody_out)
{
  rt_crash_report_t e
      = { .customer = 2, .host = 1, .ran = EL_MSEC, .first = 1 };
  unsigned i;

  for (i = 0; i < 4; i++)
    ended (i, NOW + i * EL_SEC, DEADLY, 80 * EL_MSEC);
  judge (NOW + 4 * EL_SEC);
  ck_assert_int_eq (state_of (DEADLY), RT_BLAME_BLOCKED);
  for (i = 0; i < 100000; i++)
    {
      e.instance.born = 100 + i / 100;
      e.digest = 1000 + i;
      e.at = NOW + 5 * EL_SEC;
      rt_blame_add_report (blame, NOW, &e);
      if (i % 10 == 0)
        rt_blame_block (blame, 2000000 + i, 2, NOW + 5 * EL_SEC, 1);
    }
  ck_assert_int_eq (state_of (DEADLY), RT_BLAME_BLOCKED);
  blocked = 0;
  rt_blame_visit_requests (blame, NOW + 6 * EL_SEC, blocked_any, &blocked);
  ck_assert_uint_le (blocked, 201);
}
END_TEST

/* Courses of events by seed: hosts that hear late of what others saw. No
   innocent is refused where none is to blame; one that is to blame is sent no
   more than three times later than three seconds after the third end, and is
   blocked in the end. */
START_TEST (test_blame_any_course_keeps_to_the_bound)
{
  sim_options_t options = { .seed = (uint64_t)_i + 1,
                            .rule = &rt_blame_rule_odds,
                            .apart = 2,
                            .hosts = 7,
                            .engines = 6,
                            .rate = 62,
                            .deadly = 1,
                            .again_s = 0.5,
                            .loss = 0.1,
                            .seconds = 30 };
  sim_result_t result = sim_run (&options);

  ck_assert_uint_le (result.late, 3);
  ck_assert_uint_eq (result.blocked, 1);
  ck_assert_uint_le (result.ended, 6);
  options.deadly = 0;
  options.end_rate = 0.02;
  options.rack = 3;
  result = sim_run (&options);
  ck_assert_uint_eq (result.refused, 0);
}
END_TEST

Suite *
suspect_suite (void)
{
  Suite *suite = suite_create ("suspect");
  TCase *tcase = tcase_create ("suspect");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, suspect_setup, suspect_teardown);
  ADD (tcase, test_digest_names_what_is_asked_and_by_whom);
  ADD (tcase, test_blame_one_of_fifty_is_found);
  ADD_LOOP (tcase, test_blame_a_rack_accuses_nobody,
            sizeof rack_loads / sizeof *rack_loads);
  ADD (tcase, test_blame_a_rack_that_one_request_follows);
  ADD_LOOP (tcase, test_blame_order_of_news_plays_no_part, SEEDS);
  ADD (tcase, test_blame_who_ran_to_the_end_is_cleared);
  ADD (tcase, test_blame_one_witness_counts_half);
  ADD_LOOP (tcase, test_blame_one_end_after_another_of_long_ago_is_not_enough,
            SEEDS);
  ADD (tcase, test_blame_what_came_after_an_end_is_not_to_blame);
  ADD (tcase, test_blame_waiting_it_out_costs_an_engine_each_time);
  ADD (tcase, test_blame_one_caller_pushes_nobody_out);
  ADD_LOOP (tcase, test_blame_any_course_keeps_to_the_bound, SEEDS);
  suite_add_tcase (suite, tcase);
  return suite;
}
