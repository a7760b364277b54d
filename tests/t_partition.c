/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of hosts that are cut off from the endpoints, with real processes.
 * Callers, the store and the other hosts still reach them.
 */
#include <signal.h>
#include <stdio.h>
#include <time.h>

#include "site.h"
#include "test.h"

/* How a host is cut off: its connections break, hang, or stay while new ones
   are refused. */
static const char cuts[] = { 'r', 'h', 'k' };
#define CUTS (int)sizeof cuts

/* Hosts of three that are cut off. */
#define CUT_HOSTS 2
/* Time after which a host that is cut off has to serve again, as the users'
   platform has it. */
#define CONTACT_STEPS 600
#define ROUNDS 10
#define STREAMS 8
/* Kinds of requests that send_each_kind sends. */
#define KINDS 3
/* Least share of first attempts that a cut-off host serves, relative to the
   share of the others. */
#define SHARE_MIN 0.95
#define SECOND_STEPS 200
/* Polls that take a good second. */
#define FREEZE_STEPS 220

static void
hosts_cut (char how)
{
  size_t i;

  for (i = 0; i < CUT_HOSTS; i++)
    site_cut (i, how);
}

/* Sends a request of each kind to HOST. Returns how many were not served. */
static unsigned
send_each_kind (size_t host, const char *label, int round)
{
  unsigned failed = 0;
  caller_t stream;
  reply_t reply;
  char id[64];

  snprintf (id, sizeof id, "%s-look-%zu-%d", label, host, round);
  send_request (host, "GET", "/look/x", id, &reply);
  failed += reply.status != 200;
  reply_free (&reply);
  snprintf (id, sizeof id, "%s-pay-%zu-%d", label, host, round);
  send_request (host, "POST", "/pay/x", id, &reply);
  failed += reply.status != 200;
  reply_free (&reply);
  snprintf (id, sizeof id, "%s-chat-%zu-%d", label, host, round);
  stream_start (&stream, host, id);
  caller_join (&stream);
  failed += stream.reply.status != 200;
  if (stream.reply.status == 200)
    assert_stream_complete (&stream.reply);
  reply_free (&stream.reply);
  return failed;
}

START_TEST (test_host_cut_off_from_endpoints_serves_first_attempts)
{
  unsigned failed = 0;
  int round;
  int step;

  site_cut_enable ();
  site_start (SITE_HOSTS);
  for (round = 0; round < ROUNDS; round++)
    ck_assert_uint_eq (send_each_kind (0, "before", round), 0);
  hosts_cut (cuts[_i]);
  for (step = 0; step < CONTACT_STEPS; step++)
    {
      poll_sleep ();
      if (step % (CONTACT_STEPS / ROUNDS) == 0)
        send_each_kind (step % CUT_HOSTS, "early", step);
    }
  for (round = 0; round < ROUNDS; round++)
    failed += send_each_kind ((size_t)round % CUT_HOSTS, "cut", round);
  ck_assert_uint_eq (failed, 0);
}
END_TEST

/* Waits until HOST knows that it reaches no endpoint, with a request now and
   then that lets it notice. */
static void
wait_cut_off (size_t host)
{
  reply_t reply;
  char id[64];
  int i;

  for (i = 0; i < WAIT_STEPS_MAX
              && !metric_value (&site.hosts[host], "elmarch_relay_cut_off");
       i++)
    {
      snprintf (id, sizeof id, "notice-%zu-%d", host, i);
      send_request (host, "GET", "/look/x", id, &reply);
      reply_free (&reply);
      poll_sleep ();
    }
  ck_assert_int_lt (i, WAIT_STEPS_MAX);
}

/* Starts a request of each kind at a host that is cut off, without waiting for
   the responses. */
static void
send_early (caller_t *callers, int step)
{
  static const char *const paths[KINDS] = { "/look/x", "/pay/x", "/chat/x" };
  char id[64];
  int i;

  for (i = 0; i < KINDS; i++)
    {
      snprintf (id, sizeof id, "early-%d-%d", step, i);
      request_start (&callers[i], (size_t)step % CUT_HOSTS, paths[i], id);
    }
}

/* Sends requests of each kind to all hosts in turn. Compares the share that is
   served at the hosts that are cut off with that at the last one. */
static void
compare_shares (const char *label)
{
  unsigned failed[2] = { 0, 0 };
  unsigned sent[2] = { 0, 0 };
  size_t host;
  int round;

  for (round = 0; round < ROUNDS; round++)
    for (host = 0; host < SITE_HOSTS; host++)
      {
        failed[host < CUT_HOSTS] += send_each_kind (host, label, round);
        sent[host < CUT_HOSTS] += KINDS;
      }
  ck_assert_msg ((sent[1] - failed[1]) * sent[0]
                     >= SHARE_MIN * (sent[0] - failed[0]) * sent[1],
                 "cut off: %u of %u failed, others: %u of %u", failed[1],
                 sent[1], failed[0], sent[0]);
}

/* From one second after the cut on. The loops after the first CUTS cut a whole
   hall off. */
START_TEST (test_cut_off_hosts_serve_as_often_as_others)
{
  caller_t early[ROUNDS][KINDS];
  int step;
  int i;

  site_cut_enable ();
  if (_i >= CUTS)
    site.halls[SITE_HOSTS - 1] = "g";
  site_start (SITE_HOSTS);
  compare_shares ("before");
  hosts_cut (cuts[_i % CUTS]);
  for (step = 0; step < SECOND_STEPS; step++)
    {
      poll_sleep ();
      if (step % (SECOND_STEPS / ROUNDS) == 0)
        send_early (early[step * ROUNDS / SECOND_STEPS], step);
    }
  compare_shares ("cut");
  for (i = 0; i < ROUNDS * KINDS; i++)
    {
      caller_join (&early[i / KINDS][i % KINDS]);
      reply_free (&early[i / KINDS][i % KINDS].reply);
    }
}
END_TEST

static int64_t
workers_value (const char *name)
{
  return member_value (&site.workers[0], name)
         + member_value (&site.workers[1], name);
}

START_TEST (test_request_over_another_host_runs_once)
{
  int64_t runs;
  reply_t reply;
  char id[64];
  int i;

  site_cut_enable ();
  site_start (2);
  site_cut (0, 'r');
  wait_cut_off (0);
  runs = workers_value ("runs");
  for (i = 0; i < ROUNDS; i++)
    {
      snprintf (id, sizeof id, "once-%d", i);
      send_request (0, "POST", "/pay/x", id, &reply);
      ck_assert_int_eq (reply.status, 200);
      reply_free (&reply);
    }
  ck_assert_int_eq (workers_value ("runs"), runs + ROUNDS);
  set_fault (&site.workers[0], "{\"fault\":\"lose\"}");
  set_fault (&site.workers[1], "{\"fault\":\"lose\"}");
  runs = workers_value ("runs");
  send_request (0, "POST", "/pay/x", "lost", &reply);
  ck_assert_int_eq (reply.status, 502);
  reply_free (&reply);
  ck_assert_int_eq (workers_value ("runs"), runs + 1);
}
END_TEST

/* A worker runs a request that may run once and answers 404 without a seal: a
   host that sent it over another one does not send it over a third. */
START_TEST (test_unsealed_failure_over_another_host_runs_once)
{
  reply_t reply;
  size_t i;

  site_record_runs ();
  site_cut_enable ();
  site_start (SITE_HOSTS);
  site_cut (0, 'r');
  wait_cut_off (0);
  for (i = 0; i < SITE_WORKERS; i++)
    set_fault (&site.workers[i], "{\"fault\":\"unsealed\"}");
  send_request (0, "POST", "/pay/x", "unsealed", &reply);
  ck_assert_msg (site_runs ("unsealed") == 1, "status %ld, ran %u times",
                 reply.status, site_runs ("unsealed"));
  reply_free (&reply);
}
END_TEST

/* Nobody reaches an endpoint: refused at once as not run, and no host forwards
   what another one forwarded. */
START_TEST (test_requests_are_refused_at_once_when_all_hosts_are_cut_off)
{
  struct timespec from;
  struct timespec to;
  uint64_t forwarded = 0;
  uint64_t received = 0;
  char header[64];
  reply_t reply;
  size_t i;

  site_cut_enable ();
  site_start (SITE_HOSTS);
  for (i = 0; i < SITE_HOSTS; i++)
    site_cut (i, 'h');
  for (i = 0; i < SITE_HOSTS; i++)
    wait_cut_off (i);
  clock_gettime (CLOCK_MONOTONIC, &from);
  for (i = 0; i < ROUNDS; i++)
    {
      send_request (i % SITE_HOSTS, "POST", "/pay/x", "all", &reply);
      ck_assert_int_eq (reply.status, 503);
      reply_header (&reply, "retry-after", header, sizeof header);
      ck_assert (strtod (header, NULL) > 0);
      reply_free (&reply);
    }
  clock_gettime (CLOCK_MONOTONIC, &to);
  ck_assert_int_lt (to.tv_sec - from.tv_sec, 2);
  for (i = 0; i < SITE_HOSTS; i++)
    {
      forwarded
          += metric_value (&site.hosts[i], "elmarch_relay_over_host_total");
      received
          += metric_value (&site.hosts[i], "elmarch_relay_for_host_total");
    }
  ck_assert_uint_eq (forwarded, received);
  ck_assert_uint_lt (forwarded, (SITE_HOSTS + ROUNDS) * SITE_HOSTS);
}
END_TEST

START_TEST (test_revoked_key_is_refused_over_another_host)
{
  reply_t reply;
  long status = 0;
  int i;

  site_cut_enable ();
  site_start (2);
  site_cut (0, 'r');
  wait_cut_off (0);
  site_put_config (2, "[\"another-key\"]");
  for (i = 0; i < WAIT_STEPS_MAX && status != 401; i++)
    {
      send_request (0, "GET", "/look/x", "revoked", &reply);
      status = reply.status;
      ck_assert (status == 200 || status == 401 || status == 503);
      reply_free (&reply);
    }
  ck_assert_int_eq (status, 401);
}
END_TEST

START_TEST (test_caller_disconnect_over_another_host_cancels_work)
{
  caller_t caller;
  int64_t gone;
  size_t e;
  int i;

  site_cut_enable ();
  site_start (2);
  site_cut (0, 'r');
  wait_cut_off (0);
  stream_start (&caller, 0, "leaves");
  caller_wait_body (&caller, 60);
  caller_disconnect (&caller);
  caller_join (&caller);
  reply_free (&caller.reply);
  for (i = 0; i < WAIT_STEPS_MAX; i++)
    {
      for (e = 0, gone = 0; e < SITE_ENGINES; e++)
        gone += member_value (&site.engines[e], "gone");
      if (gone)
        return;
      poll_sleep ();
    }
  ck_abort_msg ("the engine did not cancel the request");
}
END_TEST

/* A stream that runs when its host is cut off goes on over another host, with
   every event once. */
START_TEST (test_stream_goes_on_over_another_host)
{
  caller_t caller;

  site_cut_enable ();
  site_start (2);
  stream_start (&caller, 0, "goes-on");
  caller_wait_body (&caller, 60);
  site_cut (0, cuts[_i]);
  caller_join (&caller);
  assert_stream_complete (&caller.reply);
  reply_free (&caller.reply);
}
END_TEST

/* Starts a request at host 0, which is cut off, and kills the host that serves
   it. */
static void
kill_serving_host (caller_t *caller, const char *path, size_t bytes)
{
  uint64_t before[SITE_HOSTS];
  size_t host;
  int i;

  for (host = 1; host < SITE_HOSTS; host++)
    before[host]
        = metric_value (&site.hosts[host], "elmarch_relay_for_host_total");
  request_start (caller, 0, path, "midway");
  if (bytes)
    caller_wait_body (caller, bytes);
  for (i = 0; i < WAIT_STEPS_MAX; i++)
    {
      for (host = 1; host < SITE_HOSTS; host++)
        if (metric_value (&site.hosts[host], "elmarch_relay_for_host_total")
            > before[host])
          {
            proc_end (&site.hosts[host], SIGKILL);
            return;
          }
      poll_sleep ();
    }
  ck_abort_msg ("no host serves the request");
}

/* A stream goes on over a third host when the one that serves it is killed; a
   request that may run once is failed and not repeated. */
START_TEST (test_host_that_serves_for_another_is_killed)
{
  caller_t caller;
  int64_t runs;

  site.step_us = "20000";
  site_cut_enable ();
  site_start (SITE_HOSTS);
  site_cut (0, 'r');
  wait_cut_off (0);
  if (_i == 0)
    {
      kill_serving_host (&caller, "/chat/x", 60);
      caller_join (&caller);
      assert_stream_complete (&caller.reply);
    }
  else
    {
      set_fault (&site.workers[0], "{\"fault\":\"slow\",\"delay_ms\":900}");
      set_fault (&site.workers[1], "{\"fault\":\"slow\",\"delay_ms\":900}");
      runs = workers_value ("runs");
      kill_serving_host (&caller, "/pay/x", 0);
      caller_join (&caller);
      ck_assert_int_eq (caller.reply.status, 502);
      ck_assert_int_le (workers_value ("runs"), runs + 1);
    }
  reply_free (&caller.reply);
}
END_TEST

/* A route of streams that may run once. */
static const char once_rule[]
    = ",{\"Name\":\"once\",\"Host\":\"rel.example\",\"PathPrefix\":\"/once/"
      "\",\"RouteType\":\"streaming\",\"TimeoutMs\":9000,\"MaxAttempts\":2,"
      "\"Service\":\"llm\",\"Priority\":0}";

/* Which processes are paused, and whether requests go over other hosts. */
static const struct
{
  int cut;
  int endpoints;
  int helpers;
} pauses[] = { { 0, 1, 0 }, { 1, 1, 0 }, { 1, 0, 1 } };

static void
pause_signal (int pause, int signal)
{
  size_t i;

  for (i = 0; pauses[pause].endpoints && i < SITE_WORKERS; i++)
    proc_signal (&site.workers[i], signal);
  for (i = 0; pauses[pause].endpoints && i < SITE_ENGINES; i++)
    proc_signal (&site.engines[i], signal);
  for (i = 1; pauses[pause].helpers && i < SITE_HOSTS; i++)
    proc_signal (&site.hosts[i], signal);
}

/* Starts a request of each kind that may run once at host 0. */
static void
once_start (caller_t callers[2], char ids[2][32], int round)
{
  snprintf (ids[0], sizeof ids[0], "once-pay-%d", round);
  snprintf (ids[1], sizeof ids[1], "once-stream-%d", round);
  request_start (&callers[0], 0, "/pay/x", ids[0]);
  request_start (&callers[1], 0, "/once/x", ids[1]);
}

/* Endpoints, or the hosts that serve for another one, are paused for a second:
   requests that may run once, sent before and meanwhile, wait for them and
   run once. */
START_TEST (test_request_at_a_paused_process_runs_once)
{
  caller_t callers[ROUNDS][2];
  char ids[ROUNDS][2][32];
  int step;
  int i;
  int k;

  site.step_us = "10000";
  site.more_rules = once_rule;
  site_record_runs ();
  site_cut_enable ();
  site_start (SITE_HOSTS);
  for (i = 0; i < SITE_WORKERS; i++)
    set_fault (&site.workers[i], "{\"fault\":\"slow\",\"delay_ms\":300}");
  if (pauses[_i].cut)
    {
      site_cut (0, 'r');
      wait_cut_off (0);
    }
  for (i = 0; i < ROUNDS / 2; i++)
    once_start (callers[i], ids[i], i);
  for (step = 0; step < SECOND_STEPS / 8; step++)
    poll_sleep ();
  pause_signal (_i, SIGSTOP);
  for (; i < ROUNDS; i++)
    once_start (callers[i], ids[i], i);
  for (step = 0; step < FREEZE_STEPS; step++)
    poll_sleep ();
  pause_signal (_i, SIGCONT);
  for (i = 0; i < ROUNDS; i++)
    for (k = 0; k < 2; k++)
      {
        caller_join (&callers[i][k]);
        ck_assert_msg (callers[i][k].reply.status == 200
                           && site_runs (ids[i][k]) == 1,
                       "%s: status %ld, ran %u times", ids[i][k],
                       callers[i][k].reply.status, site_runs (ids[i][k]));
        if (k)
          assert_stream_complete (&callers[i][k].reply);
        reply_free (&callers[i][k].reply);
      }
}
END_TEST

START_TEST (test_host_serves_by_itself_after_a_cut)
{
  uint64_t forwarded;
  int round;

  site_cut_enable ();
  site_start (2);
  site_cut (0, cuts[_i]);
  wait_cut_off (0);
  site_cut (0, 0);
  metric_wait_value (&site.hosts[0], "elmarch_relay_cut_off", 0);
  forwarded = metric_value (&site.hosts[0], "elmarch_relay_over_host_total");
  for (round = 0; round < ROUNDS; round++)
    ck_assert_uint_eq (send_each_kind (0, "after", round), 0);
  ck_assert_uint_eq (
      metric_value (&site.hosts[0], "elmarch_relay_over_host_total"),
      forwarded);
}
END_TEST

static void
workers_kill (void)
{
  size_t i;

  for (i = 0; i < SITE_WORKERS; i++)
    proc_end (&site.workers[i], SIGKILL);
}

/* No host reaches an endpoint that is gone: requests are refused at once, and
   no host sends them to another one. */
START_TEST (test_requests_are_not_forwarded_when_all_endpoints_are_gone)
{
  uint64_t forwarded;
  reply_t reply;
  char id[64];
  size_t host;
  int i;

  site_start (SITE_HOSTS);
  workers_kill ();
  for (host = 0; host < SITE_HOSTS; host++)
    wait_cut_off (host);
  for (i = 0; i < 2 * SECOND_STEPS; i++)
    poll_sleep ();
  for (host = 0; host < SITE_HOSTS; host++)
    {
      forwarded
          = metric_value (&site.hosts[host], "elmarch_relay_over_host_total");
      for (i = 0; i < ROUNDS; i++)
        {
          snprintf (id, sizeof id, "gone-%zu-%d", host, i);
          send_request (host, "GET", "/look/x", id, &reply);
          ck_assert_int_eq (reply.status, 503);
          reply_free (&reply);
        }
      ck_assert_uint_eq (
          metric_value (&site.hosts[host], "elmarch_relay_over_host_total"),
          forwarded);
    }
}
END_TEST

/* Endpoints that replace those which are gone serve as soon as they are
   listed, though the store lists the others, too, for some seconds. */
START_TEST (test_endpoints_that_replace_lost_ones_are_used_at_once)
{
  reply_t reply;
  char id[64];
  long status = 0;
  int i;

  site_start (1);
  workers_kill ();
  wait_cut_off (0);
  address_set (&site.workers[0], 24);
  site_worker_start (0);
  site_wait_metric ("elmarch_endpoints", SITE_ENGINES + SITE_WORKERS + 1);
  for (i = 0; i < SECOND_STEPS && status != 200; i++)
    {
      poll_sleep ();
      snprintf (id, sizeof id, "again-%d", i);
      send_request (0, "GET", "/look/x", id, &reply);
      status = reply.status;
      reply_free (&reply);
    }
  ck_assert_int_eq (status, 200);
}
END_TEST

/* Endpoints stand still for a second and go on. */
START_TEST (test_frozen_endpoints_do_not_cut_a_host_off)
{
  size_t i;

  site_start (2);
  for (i = 0; i < SITE_ENGINES; i++)
    proc_signal (&site.engines[i], SIGSTOP);
  for (i = 0; i < SITE_WORKERS; i++)
    proc_signal (&site.workers[i], SIGSTOP);
  for (i = 0; i < FREEZE_STEPS; i++)
    poll_sleep ();
  for (i = 0; i < SITE_ENGINES; i++)
    proc_signal (&site.engines[i], SIGCONT);
  for (i = 0; i < SITE_WORKERS; i++)
    proc_signal (&site.workers[i], SIGCONT);
  ck_assert_uint_eq (send_each_kind (0, "thawed", 0), 0);
  ck_assert_uint_eq (metric_value (&site.hosts[0], "elmarch_relay_cuts_total"),
                     0);
}
END_TEST

/* A host that is cut off takes no endpoint for crashed, so that no request is
   suspected of it. */
START_TEST (test_cut_off_host_reports_no_crashes)
{
  caller_t streams[STREAMS];
  char id[64];
  size_t host;
  int i;

  site_cut_enable ();
  site_start (SITE_HOSTS);
  for (i = 0; i < STREAMS; i++)
    {
      snprintf (id, sizeof id, "innocent-%d", i);
      stream_start (&streams[i], 0, id);
    }
  for (i = 0; i < STREAMS; i++)
    caller_wait_body (&streams[i], 60);
  site_cut (0, cuts[_i]);
  for (i = 0; i < STREAMS; i++)
    {
      caller_join (&streams[i]);
      reply_free (&streams[i].reply);
    }
  wait_cut_off (0);
  site_cut (0, 0);
  metric_wait_value (&site.hosts[0], "elmarch_relay_cut_off", 0);
  for (i = 0; i < ROUNDS; i++)
    send_each_kind (0, "after", i);
  for (host = 0; host < SITE_HOSTS; host++)
    {
      ck_assert_uint_eq (
          metric_value (&site.hosts[host], "elmarch_relay_ends_total"), 0);
      ck_assert_uint_eq (
          metric_value (&site.hosts[host], "elmarch_relay_blocked_total"), 0);
    }
}
END_TEST

/* The same with two hosts that are cut off from some engines only. */
START_TEST (test_host_cut_off_from_some_engines_reports_no_crashes)
{
  caller_t streams[STREAMS];
  char id[64];
  size_t host;
  int i;

  site_cut_enable ();
  site_start (SITE_HOSTS);
  for (i = 0; i < STREAMS; i++)
    {
      snprintf (id, sizeof id, "innocent-%d", i);
      stream_start (&streams[i], (size_t)i % CUT_HOSTS, id);
    }
  for (i = 0; i < STREAMS; i++)
    caller_wait_body (&streams[i], 60);
  for (host = 0; host < CUT_HOSTS; host++)
    site_cut_some (host, 'r', SITE_ENGINES - 1);
  for (i = 0; i < STREAMS; i++)
    {
      caller_join (&streams[i]);
      reply_free (&streams[i].reply);
    }
  for (host = 0; host < SITE_HOSTS; host++)
    ck_assert_uint_eq (
        metric_value (&site.hosts[host], "elmarch_relay_ends_total"), 0);
}
END_TEST

/* Orders of a planner that reaches no engine would arrive nowhere. */
START_TEST (test_planner_that_is_cut_off_passes_its_duty_on)
{
  size_t planner = 0;

  site_cut_enable ();
  site_start (2);
  if (!metric_value (&site.hosts[0], "elmarch_planner"))
    planner = 1;
  metric_wait_value (&site.hosts[planner], "elmarch_planner", 1);
  site_cut (planner, 'r');
  wait_cut_off (planner);
  send_each_kind (planner, "planner", 0);
  metric_wait_value (&site.hosts[1 - planner], "elmarch_planner", 1);
  ck_assert_uint_eq (metric_value (&site.hosts[planner], "elmarch_planner"),
                     0);
}
END_TEST

Suite *
partition_suite (void)
{
  Suite *suite = suite_create ("partition");
  TCase *tcase = tcase_create ("partition");

  tcase_add_checked_fixture (tcase, site_setup, site_teardown);
  tcase_set_timeout (tcase, 120);
  ADD_LOOP (tcase, test_host_cut_off_from_endpoints_serves_first_attempts,
            CUTS);
  ADD (tcase, test_request_over_another_host_runs_once);
  ADD (tcase, test_unsealed_failure_over_another_host_runs_once);
  ADD (tcase, test_requests_are_refused_at_once_when_all_hosts_are_cut_off);
  ADD (tcase, test_revoked_key_is_refused_over_another_host);
  ADD (tcase, test_caller_disconnect_over_another_host_cancels_work);
  ADD_LOOP (tcase, test_stream_goes_on_over_another_host, CUTS);
  ADD_LOOP (tcase, test_cut_off_hosts_serve_as_often_as_others, 2 * CUTS);
  ADD_LOOP (tcase, test_host_that_serves_for_another_is_killed, 2);
  ADD_LOOP (tcase, test_request_at_a_paused_process_runs_once,
            (int)(sizeof pauses / sizeof *pauses));
  ADD_LOOP (tcase, test_host_serves_by_itself_after_a_cut, CUTS);
  ADD (tcase, test_requests_are_not_forwarded_when_all_endpoints_are_gone);
  ADD (tcase, test_endpoints_that_replace_lost_ones_are_used_at_once);
  ADD (tcase, test_frozen_endpoints_do_not_cut_a_host_off);
  ADD_LOOP (tcase, test_cut_off_host_reports_no_crashes, CUTS);
  ADD (tcase, test_host_cut_off_from_some_engines_reports_no_crashes);
  ADD (tcase, test_planner_that_is_cut_off_passes_its_duty_on);
  suite_add_tcase (suite, tcase);
  return suite;
}
