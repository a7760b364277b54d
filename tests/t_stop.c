/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of graceful stops and of entry addresses, with real processes.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cluster.h"
#include "test.h"

/* Polls within which a stopping host that waits for no caller has exited: it
   checks every 50 ms. */
#define STOP_WAIT_STEPS 200

/* kill() returns before the host has handled the signal, so requests sent
   right after it may still be served. Waits until the host refuses a request
   without a session, or has exited. */
static void
host_wait_stopping (size_t host)
{
  reply_t reply;
  long status;

  do
    {
      send_payment (host, "probe", NULL, &reply);
      status = reply.status;
      if (status == 503)
        assert_verdict (&reply, 503, "not-run");
      reply_free (&reply);
    }
  while (status == 200);
}

/* SIGTERM during a stream: the stream completes, and new requests are refused
   as not run. */
START_TEST (test_graceful_stop_aborts_nothing)
{
  char *body = chat_body (PROMPT, 1, MAX_TOKENS, NULL, 0);
  caller_t caller;
  reply_t reply;

  fixture.step_us = 4000;
  cluster_start (&fixture, 1);
  caller_start (&caller, fixture.hosts[0].address, CHAT_PATH, body, NULL, 0);
  caller_wait_body (&caller, 100);
  proc_signal (&fixture.hosts[0], SIGTERM);
  do
    {
      http_request ("POST", fixture.hosts[0].address, CHAT_PATH, body, NULL,
                    &reply);
      if (reply.status == 503)
        assert_verdict (&reply, 503, "not-run");
      reply_free (&reply);
    }
  while (reply.status == 200);
  caller_join (&caller);
  assert_chat_stream (&caller.reply, 0);
  reply_free (&caller.reply);
  free (body);
}
END_TEST

/* Guards against calls that are cut without an answer at the end of a drain:
   one learns that it may have run; another one, that waited for the first, has
   not, and is not sent in its room. */
START_TEST (test_call_that_outlasts_a_drain_is_responded_to)
{
  caller_t callers[2];
  size_t i;

  setenv ("ELMARCHD_DRAIN_LIMIT_S", "1", 1);
  setenv ("ELMARCHD_MAX_ACTIVE", "1", 1);
  cluster_start (&fixture, 1);
  unsetenv ("ELMARCHD_DRAIN_LIMIT_S");
  unsetenv ("ELMARCHD_MAX_ACTIVE");
  for (i = 0; i < 2; i++)
    set_fault (&fixture.workers[i], "{\"fault\":\"slow\",\"delay_ms\":4000}");
  caller_start (&callers[0], fixture.hosts[0].address, PAY_PATH,
                "{\"id\":\"t1\"}", NULL, 0);
  metric_wait_min (&fixture.hosts[0], "elmarch_calls_total", 1);
  caller_start (&callers[1], fixture.hosts[0].address, PAY_PATH,
                "{\"id\":\"t2\"}", NULL, 0);
  metric_wait_min (&fixture.hosts[0], "elmarch_queued", 1);
  proc_signal (&fixture.hosts[0], SIGTERM);
  for (i = 0; i < 2; i++)
    {
      caller_join (&callers[i]);
      assert_verdict (&callers[i].reply, 503, i ? "not-run" : "may-have-run");
      reply_free (&callers[i].reply);
    }
  ck_assert_int_eq (payment_runs_total ("t2"), 0);
  ck_assert_int_eq (proc_end (&fixture.hosts[0], SIGTERM), 0);
}
END_TEST

/* A graceful stop hands sessions and ledger over to a successor: duplicates of
   calls that ran get the same response, and new calls run there, through any
   host.
   */
START_TEST (test_graceful_stop_hands_sessions_over)
{
  char session[640];
  const char *first[] = { session, "x-elmarch-sequence: 1", NULL };
  const char *second[] = { session, "x-elmarch-sequence: 2", NULL };
  reply_t reply;
  size_t i;

  cluster_start (&fixture, 3);
  entry_hosts_wait (0, 3);
  session_open (&fixture.hosts[0], session, sizeof session);
  send_payment (0, "t1", first, &reply);
  assert_verdict (&reply, 200, "ran");
  reply_free (&reply);
  ck_assert_int_eq (proc_end (&fixture.hosts[0], SIGTERM), 0);
  for (i = 1; i < 3; i++)
    {
      do /* until the host has learned of the handover */
        {
          send_payment (i, "t1", first, &reply);
          if (reply.status != 200)
            assert_verdict (&reply, 409, "may-have-run");
          reply_free (&reply);
        }
      while (reply.status != 200);
      send_payment (i, "t1", first, &reply);
      assert_verdict (&reply, 200, "ran");
      ck_assert_ptr_nonnull (strstr (reply.body.ptr, "\"run\":1"));
      reply_free (&reply);
      send_payment (i, "t2", second, &reply);
      assert_verdict (&reply, 200, "ran");
      reply_free (&reply);
    }
  ck_assert_int_eq (proc_end (&fixture.hosts[1], SIGTERM), 0);
  send_payment (2, "t1", first, &reply); /* the last host has the sessions,
                                            whichever hosts had them before */
  assert_verdict (&reply, 200, "ran");
  reply_free (&reply);
  send_payment (2, "t2", second, &reply);
  assert_verdict (&reply, 200, "ran");
  reply_free (&reply);
  ck_assert_int_eq (payment_runs_total ("t1"), 1);
  ck_assert_int_eq (payment_runs_total ("t2"), 1);
}
END_TEST

/* A call continues on the stopping host. A duplicate sent to the successor
   joins it, and a new call runs on the successor meanwhile. */
START_TEST (test_graceful_stop_with_running_call_runs_it_once)
{
  char session[640];
  const char *first[] = { session, "x-elmarch-sequence: 1", NULL };
  const char *second[] = { session, "x-elmarch-sequence: 2", NULL };
  caller_t caller;
  reply_t reply;
  size_t i;

  cluster_start (&fixture, 2);
  entry_hosts_wait (0, 2);
  session_open (&fixture.hosts[0], session, sizeof session);
  for (i = 0; i < 2; i++)
    set_fault (&fixture.workers[i], "{\"fault\":\"slow\",\"delay_ms\":1500}");
  caller_start (&caller, fixture.hosts[0].address, PAY_PATH, "{\"id\":\"t1\"}",
                first, 0);
  metric_wait_min (&fixture.hosts[0], "elmarch_calls_total", 1);
  for (i = 0; i < 2; i++)
    set_fault (&fixture.workers[i], "{\"fault\":\"none\"}");
  proc_signal (&fixture.hosts[0], SIGTERM);
  metric_wait_min (&fixture.hosts[1], "elmarch_sessions", 1);
  send_payment (1, "t2", second, &reply);
  assert_verdict (&reply, 200, "ran");
  reply_free (&reply);
  send_payment (0, "t2", second, &reply); /* the home knows its successor */
  assert_verdict (&reply, 200, "ran");
  reply_free (&reply);
  send_payment (1, "t1", first, &reply);
  assert_verdict (&reply, 200, "ran");
  reply_free (&reply);
  caller_join (&caller);
  assert_verdict (&caller.reply, 200, "ran");
  reply_free (&caller.reply);
  ck_assert_int_eq (payment_runs_total ("t1"), 1);
  ck_assert_int_eq (payment_runs_total ("t2"), 1);
}
END_TEST

/* The successor does not respond and may have taken the sessions over. Once
   they are sealed, the former home runs no call of theirs, whether the
   successor continues or is dead. */
START_TEST (test_handover_with_unknown_outcome_runs_nothing_twice)
{
  char session[640];
  const char *first[] = { session, "x-elmarch-sequence: 1",
                          "x-elmarch-deadline-ms: 500", NULL };
  unsigned unknown_outcomes = 0;
  reply_t reply;

  cluster_start (&fixture, 2);
  entry_hosts_wait (0, 2);
  session_open (&fixture.hosts[0], session, sizeof session);
  if (_i == 0)
    proc_signal (&fixture.hosts[1], SIGSTOP);
  else
    proc_end (&fixture.hosts[1], SIGKILL);
  proc_signal (&fixture.hosts[0], SIGTERM);
  host_wait_stopping (0);
  do
    {
      send_payment (0, "t1", first, &reply);
      if (reply.status == 503)
        assert_verdict (&reply, 503, "not-run");
      else if (reply.status)
        {
          assert_verdict (&reply, 409, "may-have-run");
          unknown_outcomes++;
        }
      reply_free (&reply);
    }
  while (reply.status);
  ck_assert (_i == 1 || unknown_outcomes);
  ck_assert_int_eq (payment_runs_total ("t1"), 0);
  if (_i == 0)
    {
      proc_signal (&fixture.hosts[1], SIGCONT);
      first[2] = NULL;
      send_payment (1, "t1", first, &reply);
      reply_free (&reply);
      send_payment (1, "t1", first, &reply);
      reply_free (&reply);
    }
  ck_assert_int_le (payment_runs_total ("t1"), 1);
}
END_TEST

/* A graceful stop waits until a slow caller has read its whole response, which
   is larger than the socket buffers. */
START_TEST (test_graceful_stop_waits_for_slow_caller)
{
  static const size_t bytes = 7 << 20;
  caller_t caller;
  reply_t reply;
  int i;

  cluster_start (&fixture, 1);
  caller_start (&caller, fixture.hosts[0].address,
                "/services/zahl-app/big?bytes=7340032", NULL, NULL, 1);
  caller_wait_body (&caller, 1);
  proc_signal (&fixture.hosts[0], SIGTERM);
  do
    {
      send_payment (0, "t1", NULL, &reply);
      reply_free (&reply);
    }
  while (reply.status == 200);
  for (i = 0; i < STOP_WAIT_STEPS; i++)
    poll_sleep ();
  caller_resume (&caller);
  caller_join (&caller);
  ck_assert_int_eq (caller.reply.status, 200);
  ck_assert_uint_eq (caller.reply.body.len, bytes);
  reply_free (&caller.reply);
}
END_TEST

/* A dead host is removed from the entry addresses; a new one at its address is
   added. */
START_TEST (test_entry_hosts_are_the_live_hosts)
{
  cluster_start (&fixture, 3);
  entry_hosts_wait (0, 3);
  proc_end (&fixture.hosts[2], SIGKILL);
  entry_hosts_wait (0, 2);
  host_start (&fixture, 2);
  entry_hosts_wait (0, 3);
}
END_TEST

Suite *
stop_suite (void)
{
  Suite *suite = suite_create ("stops");
  TCase *tcase = tcase_create ("stops");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, cluster_setup, cluster_teardown);
  ADD (tcase, test_graceful_stop_aborts_nothing);
  ADD (tcase, test_call_that_outlasts_a_drain_is_responded_to);
  ADD (tcase, test_graceful_stop_hands_sessions_over);
  ADD (tcase, test_graceful_stop_with_running_call_runs_it_once);
  ADD_LOOP (tcase, test_handover_with_unknown_outcome_runs_nothing_twice, 2);
  ADD (tcase, test_graceful_stop_waits_for_slow_caller);
  ADD (tcase, test_entry_hosts_are_the_live_hosts);
  suite_add_tcase (suite, tcase);
  return suite;
}
