/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of runs that were interrupted while this host reached no endpoint of
 * the service.
 */
#include <string.h>

#include "librelay.h"
#include "platform.h"
#include "test.h"

#define ENDPOINTS_MAX 5
#define DIGEST 7
#define RAN (50 * EL_MSEC)

static const char *const ids[ENDPOINTS_MAX] = { "a", "b", "c", "d", "e" };

static uv_loop_t loop;
static net_clock_t test_clock;
static gt_relays_t relays;
static rt_target_t *targets[ENDPOINTS_MAX];
static h2o_req_t req;
static rt_service_t service;
static gt_relay_t relay;

static void
runs_setup (void)
{
  uv_loop_init (&loop);
  net_clock_init (&test_clock, &loop);
  memset (&relays, 0, sizeof relays);
  relays.options.clock = &test_clock;
  relays.options.client = net_client_new (&test_clock);
  relays.options.fleet = rt_fleet_new (7);
  relays.options.dialect = &pf_relay;
  relays.options.host_incarnation = 1;
  relay_blame_open (&relays);
  req.method = req.path = req.authority = h2o_iovec_init ("", 0);
  service.name = EL_STR ("app");
  memset (&relay, 0, sizeof relay);
  relay.relays = &relays;
  relay.req = &req;
  relay.digest = DIGEST;
  relay.parts_known = 1;
  relay.service = &service;
  relay.sent = net_clock_now (&test_clock) - RAN;
}

/* Lists an endpoint, at which the request runs. No connection to it opens. */
static void
target_add (int i)
{
  const rt_attrs_t attrs = { .id = el_str (ids[i]),
                             .born = 1,
                             .service = EL_STR ("app"),
                             .address = EL_STR ("127.0.0.1:1"),
                             .hall = EL_STR ("h"),
                             .slots = 8 };

  targets[i] = rt_fleet_update (relays.options.fleet, &attrs);
  relay.target = targets[i];
}

/* A request ran at N endpoints, the only ones of the service, and all of these
   runs were interrupted. No connection opens any more. */
static void
interrupt_all (int n)
{
  int i;

  for (i = 0; i < n; i++)
    {
      target_add (i);
      relay_runs_interrupted (&relay, targets[i]);
      relay_runs_connect_refused (&relays, targets[i]);
    }
  relay_runs_doubt (&relays, service.name);
}

static unsigned
crashes (void)
{
  return rt_blame_get_status (relay_blame_table (&relays),
                              net_clock_now (&test_clock), DIGEST)
      .crashes;
}

static void
all_gone (int n)
{
  int i;

  for (i = 0; i < n; i++)
    gt_relays_engine_gone (&relays, targets[i]);
}

static void
all_alive (int n)
{
  rt_instance_t instance;
  int i;

  for (i = 0; i < n; i++)
    {
      instance = rt_target_instance (targets[i]);
      relay_runs_alive (&relays, &instance, net_clock_now (&test_clock));
    }
}

/* The store's list decides that they crashed, however many there are. */
START_TEST (test_runs_in_doubt_count_once_their_endpoints_are_gone)
{
  interrupt_all (_i);
  ck_assert_uint_eq (crashes (), 0);
  all_gone (_i);
  ck_assert_uint_eq (crashes (), (unsigned)_i);
  ck_assert_uint_eq (relays.counts.doubts_confirmed, (unsigned)_i);
}
END_TEST

/* The host was cut off, and another one reached the endpoints meanwhile. */
START_TEST (test_runs_in_doubt_at_endpoints_that_others_reach_do_not_count)
{
  interrupt_all (3);
  all_alive (3);
  ck_assert_uint_eq (relays.counts.doubts_cleared, 3);
  all_gone (3);
  ck_assert_uint_eq (crashes (), 0);
}
END_TEST

/* The cut ends: that connections open again shows nothing of the endpoints to
   which none opens yet. */
START_TEST (test_runs_in_doubt_are_not_decided_by_connects)
{
  interrupt_all (3);
  relay_runs_connect_refused (&relays, targets[0]);
  relay_runs_connected (&relays, targets[1], net_clock_now (&test_clock) + 1);
  ck_assert_uint_eq (crashes (), 0);
  ck_assert_uint_eq (relays.counts.crashes, 0);
}
END_TEST

/* The store has listed the endpoints for long enough to show that they live.
   While it does not answer, that shows nothing. */
START_TEST (test_runs_in_doubt_at_endpoints_that_stay_listed_do_not_count)
{
  interrupt_all (3);
  ck_assert_uint_eq (relay_runs_count_doubtful (&relay), 3);
  relays.rules_as_of = net_clock_now (&test_clock) + 7 * EL_SEC;
  ck_assert_uint_eq (relay_runs_count_doubtful (&relay), 3);
  relays.rules_as_of = net_clock_now (&test_clock) + 9 * EL_SEC;
  ck_assert_uint_eq (relay_runs_count_doubtful (&relay), 0);
  all_gone (3);
  ck_assert_uint_eq (crashes (), 0);
}
END_TEST

/* A request that may have crashed two endpoints is sent to no third one. */
START_TEST (test_request_in_doubt_at_two_endpoints_waits)
{
  el_time_t now = net_clock_now (&test_clock);

  relay.attempts.sent = 1;
  interrupt_all (2);
  ck_assert (relay_suspect_must_wait (&relay, now));
  net_clock_cancel (&test_clock, &relay.retry_timer);
  all_alive (2);
  ck_assert (!relay_suspect_must_wait (&relay, now));
}
END_TEST

/* A connection to the endpoint was opened a moment before its run broke off:
   that does not show that it lives. */
START_TEST (test_endpoint_is_tried_at_once_when_a_run_breaks_off)
{
  interrupt_all (1);
  relays.counts.probes = 0;
  targets[0]->probing = 0;
  targets[0]->probed_at = net_clock_now (&test_clock) - 100 * EL_MSEC;
  relay_reach_check_overdue (&relays, targets[0]);
  ck_assert_uint_eq (relays.counts.probes, 0);
  relay_reach_check_lost (&relays, targets[0]);
  ck_assert_uint_eq (relays.counts.probes, 1);
  targets[0]->probing = 0;
  relay_reach_check_lost (&relays, targets[0]);
  ck_assert_uint_eq (relays.counts.probes, 1);
}
END_TEST

/* A run of the request at the first endpoint is cancelled. */
static void
cancel_run (void)
{
  target_add (0);
  relay_cancelled_add (&relay);
}

/* The caller left, and the endpoint crashed under its request. */
START_TEST (test_cancelled_run_counts_once_its_endpoint_is_gone)
{
  cancel_run ();
  ck_assert_uint_eq (crashes (), 0);
  gt_relays_engine_gone (&relays, targets[0]);
  ck_assert_uint_eq (crashes (), 1);
}
END_TEST

/* The endpoint answers what was sent after it must have noticed. Before, that
   shows nothing; long after, it may be the next instance. */
START_TEST (test_cancelled_run_at_endpoint_that_answers_later_does_not_count)
{
  static const struct
  {
    el_time_t after;
    unsigned crashes;
  } cases[]
      = { { 400 * EL_MSEC, 1 }, { 510 * EL_MSEC, 0 }, { EL_SEC * 2, 1 } };

  cancel_run ();
  relay_cancelled_seen_alive (&relays, targets[0],
                              net_clock_now (&test_clock) + cases[_i].after);
  gt_relays_engine_gone (&relays, targets[0]);
  ck_assert_uint_eq (crashes (), cases[_i].crashes);
}
END_TEST

/* Another request's run shows that the endpoint crashed later. */
START_TEST (test_cancelled_run_that_was_over_before_the_crash_does_not_count)
{
  rt_crash_report_t report
      = { .digest = DIGEST + 1, .host = 2, .ran = RAN, .first = 1 };

  cancel_run ();
  report.instance = rt_target_instance (targets[0]);
  report.at = net_clock_now (&test_clock) + 600 * EL_MSEC;
  rt_blame_add_report (relay_blame_table (&relays), report.at, &report);
  gt_relays_engine_gone (&relays, targets[0]);
  ck_assert_uint_eq (crashes (), 0);
}
END_TEST

/* An endpoint refuses connections, and another one accepts them: it crashed,
   unless it said that it leaves. */
START_TEST (test_cancelled_run_at_endpoint_that_leaves_does_not_count)
{
  target_add (1);
  cancel_run ();
  if (_i)
    rt_target_mark_leaving (targets[0]);
  relay_runs_connect_refused (&relays, targets[0]);
  relay_runs_connected (&relays, targets[1],
                        net_clock_now (&test_clock) + EL_SEC);
  ck_assert_uint_eq (crashes (), _i ? 0 : 1);
}
END_TEST

/* Callers leave all the time: that is no reason to doubt their endpoints. */
START_TEST (test_cancelled_runs_are_not_in_doubt)
{
  cancel_run ();
  relay_cancelled_add (&relay);
  relay_runs_doubt (&relays, service.name);
  ck_assert_uint_eq (relay_runs_count_doubtful (&relay), 0);
  ck_assert_uint_eq (relays.counts.doubts, 0);
}
END_TEST

/* Too many cancelled runs displace each other, but no interrupted one. */
START_TEST (test_cancelled_runs_are_bounded)
{
  unsigned i;

  interrupt_all (1);
  relay.digest = DIGEST + 1;
  for (i = 0; i < 1024 + 10; i++)
    relay_cancelled_add (&relay);
  ck_assert_uint_eq (relays.counts.runs_forgotten, 10);
  gt_relays_engine_gone (&relays, targets[0]);
  ck_assert_uint_eq (crashes (), 1);
}
END_TEST

/* Each refused connection to an endpoint that another host reported adds one.
 */
START_TEST (test_reports_without_a_run_are_bounded)
{
  rt_crash_report_t report = { .digest = DIGEST, .host = 2 };
  unsigned i;

  target_add (0);
  report.instance = rt_target_instance (targets[0]);
  report.at = net_clock_now (&test_clock);
  rt_blame_add_report (relay_blame_table (&relays), report.at, &report);
  for (i = 0; i < 1024 + 10; i++)
    relay_runs_connect_refused (&relays, targets[0]);
  ck_assert_uint_eq (relays.runs->npending, 1024);
}
END_TEST

/* The endpoint of a suspect is tried as soon as it must have noticed that the
   run was cancelled, and others are not. */
START_TEST (test_endpoint_of_a_cancelled_suspect_is_tried)
{
  cancel_run ();
  if (_i)
    {
      gt_relays_engine_gone (&relays, targets[0]);
      targets[0]->avail.gone = 0;
      relay_cancelled_add (&relay);
    }
  relays.counts.probes = 0;
  targets[0]->probed_at = 0;
  uv_sleep (510);
  uv_update_time (&loop);
  uv_run (&loop, UV_RUN_NOWAIT);
  ck_assert_uint_eq (relays.counts.probes, (unsigned)_i);
}
END_TEST

/* Another host reports that an endpoint crashed at which this one cancelled a
   run. */
START_TEST (test_reported_endpoint_of_a_cancelled_run_is_tried)
{
  rt_instance_t instance;

  cancel_run ();
  relays.counts.probes = 0;
  instance = rt_target_instance (targets[0]);
  relay_cancelled_check_instance (&relays, &instance);
  ck_assert_uint_eq (relays.counts.probes, 1);
  instance.born++;
  targets[0]->probing = 0;
  targets[0]->probed_at = 0;
  relay_cancelled_check_instance (&relays, &instance);
  ck_assert_uint_eq (relays.counts.probes, 1);
}
END_TEST

/* Each endpoint is asked about once. */
START_TEST (test_runs_in_doubt_are_asked_about_in_batches)
{
  rt_instance_t asked[4];

  interrupt_all (ENDPOINTS_MAX);
  relay_runs_interrupted (&relay, targets[0]);
  relay_runs_doubt (&relays, service.name);
  ck_assert_uint_eq (relay_runs_ask (&relays, service.name, asked, 4), 4);
  ck_assert (relay_runs_has_unasked (&relays, service.name));
  ck_assert_uint_eq (relay_runs_ask (&relays, service.name, asked, 4), 1);
  ck_assert (!relay_runs_has_unasked (&relays, service.name));
}
END_TEST

Suite *
runs_suite (void)
{
  Suite *suite = suite_create ("runs");
  TCase *tcase = tcase_create ("runs");

  tcase_add_checked_fixture (tcase, runs_setup, NULL);
  ADD_LOOP (tcase, test_runs_in_doubt_count_once_their_endpoints_are_gone,
            ENDPOINTS_MAX + 1);
  ADD (tcase, test_runs_in_doubt_at_endpoints_that_others_reach_do_not_count);
  ADD (tcase, test_runs_in_doubt_are_not_decided_by_connects);
  ADD (tcase, test_runs_in_doubt_at_endpoints_that_stay_listed_do_not_count);
  ADD (tcase, test_request_in_doubt_at_two_endpoints_waits);
  ADD (tcase, test_endpoint_is_tried_at_once_when_a_run_breaks_off);
  ADD (tcase, test_runs_in_doubt_are_asked_about_in_batches);
  ADD (tcase, test_cancelled_run_counts_once_its_endpoint_is_gone);
  ADD_LOOP (tcase,
            test_cancelled_run_at_endpoint_that_answers_later_does_not_count,
            3);
  ADD (tcase,
       test_cancelled_run_that_was_over_before_the_crash_does_not_count);
  ADD_LOOP (tcase, test_cancelled_run_at_endpoint_that_leaves_does_not_count,
            2);
  ADD (tcase, test_cancelled_runs_are_not_in_doubt);
  ADD (tcase, test_cancelled_runs_are_bounded);
  ADD (tcase, test_reports_without_a_run_are_bounded);
  ADD_LOOP (tcase, test_endpoint_of_a_cancelled_suspect_is_tried, 2);
  ADD (tcase, test_reported_endpoint_of_a_cancelled_run_is_tried);
  suite_add_tcase (suite, tcase);
  return suite;
}
