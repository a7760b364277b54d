/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of what a host concludes from connects to endpoints.
 */
#include "reach.h"
#include "test.h"

#define NOW (1000 * EL_SEC)

/* Connects COUNT times, each begun after the one before. Returns how many it
   took to regain the endpoint; 0: it is not regained. */
static unsigned
connect_times (rt_reach_t *reach, el_time_t from, unsigned count)
{
  unsigned i;

  for (i = 1; i <= count; i++)
    if (rt_reach_connected (reach, from + i * EL_MSEC, from + i * EL_MSEC + 1))
      return i;
  return 0;
}

START_TEST (test_reach_connect_from_before_the_loss_proves_nothing)
{
  rt_reach_t reach = { 0 };

  ck_assert (!rt_reach_connected (&reach, NOW, NOW + 1));
  ck_assert (rt_reach_failed (&reach, NOW));
  ck_assert (!rt_reach_failed (&reach, NOW + 1));
  ck_assert_uint_eq (connect_times (&reach, NOW - EL_SEC, 100), 0);
  ck_assert (reach.lost_at);
}
END_TEST

START_TEST (test_reach_is_not_regained_by_the_first_connect)
{
  rt_reach_t reach = { 0 };

  rt_reach_failed (&reach, NOW);
  ck_assert (!rt_reach_connected (&reach, NOW + EL_SEC, NOW + EL_SEC + 1));
  rt_reach_failed (&reach, NOW + 2 * EL_SEC);
  ck_assert_uint_eq (connect_times (&reach, NOW + 3 * EL_SEC, 100), 2);
  ck_assert (!reach.lost_at);
}
END_TEST

/* A path that comes and goes takes more proof each time, up to a limit; one
   that was regained long ago takes as much as at first. */
START_TEST (test_reach_of_a_flapping_path_takes_more_proof)
{
  static const unsigned proofs[] = { 2, 4, 8, 16, 16 };
  rt_reach_t reach = { 0 };
  el_time_t now = NOW;
  size_t i;

  for (i = 0; i < sizeof proofs / sizeof *proofs; i++)
    {
      rt_reach_failed (&reach, now);
      ck_assert_uint_eq (connect_times (&reach, now, 100), proofs[i]);
      now += EL_SEC;
    }
  now += 60 * EL_SEC;
  rt_reach_failed (&reach, now);
  ck_assert_uint_eq (connect_times (&reach, now, 100), 2);
}
END_TEST

START_TEST (test_reach_sample_needs_all_connects_to_fail)
{
  rt_reach_sample_t sample;

  rt_reach_sample_begin (&sample, NOW, 3);
  ck_assert_int_eq (rt_reach_sample_add (&sample, 0), RT_REACH_PENDING);
  ck_assert_int_eq (rt_reach_sample_add (&sample, 0), RT_REACH_PENDING);
  ck_assert_int_eq (rt_reach_sample_add (&sample, 0), RT_REACH_NONE);
  rt_reach_sample_begin (&sample, NOW, 2);
  ck_assert_int_eq (rt_reach_sample_add (&sample, 1), RT_REACH_SOME);
  ck_assert_int_eq (rt_reach_sample_add (&sample, 0), RT_REACH_SOME);
}
END_TEST

/* One host that reaches an endpoint shows that this host is cut off, as soon
   as it replies and whatever the others reply. */
START_TEST (test_reach_survey_needs_one_host_that_reaches_endpoints)
{
  rt_reach_survey_t survey = { 0 };

  rt_reach_survey_begin (&survey, NOW);
  ck_assert (!rt_reach_survey_add (&survey, 3, RT_REACH_REPLY_UNREACHED));
  ck_assert_int_eq (survey.cause, RT_REACH_CAUSE_UNKNOWN);
  ck_assert (!rt_reach_survey_add (&survey, 3, RT_REACH_REPLY_REACHED));
  ck_assert_int_eq (survey.cause, RT_REACH_CAUSE_HOST);
  ck_assert (rt_reach_survey_add (&survey, 3, RT_REACH_REPLY_UNREACHED));
  ck_assert_int_eq (survey.cause, RT_REACH_CAUSE_HOST);
}
END_TEST

/* That the endpoints are gone takes most of the hosts that were asked, at any
   number of these. */
START_TEST (test_reach_survey_needs_most_hosts_to_find_endpoints_gone)
{
  rt_reach_survey_t survey;
  unsigned hosts = (unsigned)_i;
  unsigned unreached;
  unsigned i;

  for (unreached = 0; unreached <= hosts; unreached++)
    {
      survey = (rt_reach_survey_t){ 0 };
      rt_reach_survey_begin (&survey, NOW);
      for (i = 0; i < hosts; i++)
        {
          ck_assert_int_eq (survey.cause, RT_REACH_CAUSE_UNKNOWN);
          rt_reach_survey_add (&survey, hosts,
                               i < unreached ? RT_REACH_REPLY_UNREACHED
                                             : RT_REACH_REPLY_NONE);
        }
      ck_assert_int_eq (survey.cause, unreached > hosts / 2
                                          ? RT_REACH_CAUSE_ENDPOINTS
                                          : RT_REACH_CAUSE_UNKNOWN);
    }
}
END_TEST

/* What the last survey showed holds until the next one shows something. */
START_TEST (test_reach_survey_keeps_the_cause_until_the_next_one)
{
  rt_reach_survey_t survey = { 0 };

  rt_reach_survey_begin (&survey, NOW);
  rt_reach_survey_add (&survey, 1, RT_REACH_REPLY_UNREACHED);
  rt_reach_survey_begin (&survey, NOW + EL_SEC);
  ck_assert_int_eq (survey.cause, RT_REACH_CAUSE_ENDPOINTS);
  rt_reach_survey_add (&survey, 1, RT_REACH_REPLY_NONE);
  ck_assert_int_eq (survey.cause, RT_REACH_CAUSE_UNKNOWN);
}
END_TEST

Suite *
reach_suite (void)
{
  Suite *suite = suite_create ("reach");
  TCase *tcase = tcase_create ("reach");

  ADD (tcase, test_reach_connect_from_before_the_loss_proves_nothing);
  ADD (tcase, test_reach_is_not_regained_by_the_first_connect);
  ADD (tcase, test_reach_of_a_flapping_path_takes_more_proof);
  ADD (tcase, test_reach_sample_needs_all_connects_to_fail);
  ADD (tcase, test_reach_survey_needs_one_host_that_reaches_endpoints);
  ADD_LOOP (tcase, test_reach_survey_needs_most_hosts_to_find_endpoints_gone,
            5);
  ADD (tcase, test_reach_survey_keeps_the_cause_until_the_next_one);
  suite_add_tcase (suite, tcase);
  return suite;
}
