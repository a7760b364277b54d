/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of streams over real processes that fail.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cluster.h"
#include "reference.h"
#include "test.h"

static void
assert_chat_complete (size_t host)
{
  char *body = chat_body (PROMPT, 1, MAX_TOKENS, NULL, 0);
  reply_t reply;

  http_request ("POST", fixture.hosts[host].address, CHAT_PATH, body, NULL,
                &reply);
  assert_chat_stream (&reply, 0);
  reply_free (&reply);
  free (body);
}

static const char *const stage_faults[] = {
  "{\"fault\":\"die-before\",\"after\":4,\"times\":1}",
  "{\"fault\":\"die-after\",\"after\":4,\"times\":1}",
  "{\"fault\":\"lose\",\"after\":4,\"times\":1}",
  "{\"fault\":\"cross\",\"after\":4,\"times\":1}",
  "{\"fault\":\"down\",\"after\":4,\"times\":1}",
  "{\"fault\":\"hang\",\"after\":4,\"times\":1}",
  "{\"fault\":\"leaving\"}",
  "{\"fault\":\"busy\",\"times\":1}",
};

/* Sends requests until one has met the fault. Every response must be complete.
 */
static void
chat_until_rebuilt (uint64_t rebuilds)
{
  int i;

  for (i = 0; i < 60; i++)
    {
      assert_chat_complete (0);
      if (metric_value (&fixture.hosts[0], "elmarch_rebuilds_total")
          >= rebuilds)
        return;
    }
  ck_abort_msg ("no request met the fault");
}

/* Each fault, at the first, a middle and the last stage: the stream continues
   on the other pipeline, with the same tokens. */
START_TEST (test_stage_fault_keeps_response_complete)
{
  fixture.extra_flags[0] = "--call-limit-ms=300";
  cluster_start (&fixture, 1);
  set_fault (&fixture.engines[0][_i % STAGES], stage_faults[_i / STAGES]);
  chat_until_rebuilt (1);
  assert_chat_complete (0);
}
END_TEST

/* Stalls the stream on either pipeline, then sends SIGNAL to the engine where
   it is stalled. */
static void
stall_then_signal (int signal)
{
  char *body = chat_body (PROMPT, 1, MAX_TOKENS, NULL, 0);
  caller_t caller;
  int pipeline;

  fixture.extra_flags[0] = "--call-limit-ms=1000";
  cluster_start (&fixture, 1);
  for (pipeline = 0; pipeline < PIPELINES; pipeline++)
    set_fault (&fixture.engines[pipeline][1],
               "{\"fault\":\"hang\",\"after\":5,\"times\":1}");
  caller_start (&caller, fixture.hosts[0].address, CHAT_PATH, body, NULL, 0);
  caller_wait_body (&caller, 100);
  for (pipeline = 0; pipeline < PIPELINES; pipeline++)
    {
      json_t *stats
          = http_get_json (fixture.engines[pipeline][1].address, "/stats");

      if (json_integer_value (json_object_get (stats, "calls")) == 6)
        {
          proc_signal (&fixture.engines[pipeline][1], signal);
          if (signal == SIGKILL)
            proc_end (&fixture.engines[pipeline][1], SIGKILL);
        }
      else
        set_fault (&fixture.engines[pipeline][1], "{\"fault\":\"none\"}");
      json_decref (stats);
    }
  caller_join (&caller);
  assert_chat_stream (&caller.reply, 0);
  reply_free (&caller.reply);
  free (body);
}

START_TEST (test_engine_killed_mid_stream_keeps_response_complete)
{
  stall_then_signal (SIGKILL);
}
END_TEST

START_TEST (test_engine_stopped_mid_stream_keeps_response_complete)
{
  stall_then_signal (SIGSTOP);
}
END_TEST

/* Both engines of a stage are killed: the stream is not aborted but waits, and
   completes once one engine is back. */
START_TEST (test_stream_survives_loss_of_all_routes)
{
  char *body = chat_body (PROMPT, 1, MAX_TOKENS, NULL, 0);
  caller_t caller;
  int pipeline;

  cluster_start (&fixture, 1);
  for (pipeline = 0; pipeline < PIPELINES; pipeline++)
    set_fault (&fixture.engines[pipeline][2],
               "{\"fault\":\"hang\",\"after\":3}");
  caller_start (&caller, fixture.hosts[0].address, CHAT_PATH, body, NULL, 0);
  caller_wait_body (&caller, 100);
  for (pipeline = 0; pipeline < PIPELINES; pipeline++)
    proc_end (&fixture.engines[pipeline][2], SIGKILL);
  metric_wait_min (&fixture.hosts[0], "elmarch_rebuilds_total", 8);
  engine_start (&fixture, 1, 2);
  caller_join (&caller);
  assert_chat_stream (&caller.reply, 0);
  reply_free (&caller.reply);
  free (body);
}
END_TEST

START_TEST (test_many_callers_get_their_own_responses)
{
  static const size_t ncallers = 24;
  caller_t *callers = calloc (ncallers, sizeof *callers);
  char content[64];
  size_t i;

  fixture.step_us = 500;
  cluster_start (&fixture, 2);
  set_fault (&fixture.engines[0][0],
             "{\"fault\":\"cross\",\"after\":30,\"times\":5}");
  for (i = 0; i < ncallers; i++)
    {
      char *body;

      snprintf (content, sizeof content, "Question of caller %zu", i);
      body = chat_body (content, 0, MAX_TOKENS, NULL, 0);
      caller_start (&callers[i], fixture.hosts[i % 2].address, CHAT_PATH, body,
                    NULL, 0);
      free (body);
    }
  for (i = 0; i < ncallers; i++)
    {
      uint64_t want[MAX_TOKENS];
      char *text;

      caller_join (&callers[i]);
      snprintf (content, sizeof content, "Question of caller %zu", i);
      text = reference_text (
          want, reference_answer (content, LAYERS, MAX_TOKENS, want));
      ck_assert_int_eq (callers[i].reply.status, 200);
      ck_assert_ptr_nonnull (strstr (callers[i].reply.body.ptr, text));
      reply_free (&callers[i].reply);
      free (text);
    }
  free (callers);
}
END_TEST

/* Waits until at least one engine has dropped the state of a cancelled
   request. */
static void
wait_abandoned (void)
{
  json_int_t abandoned = 0;
  int i;

  for (i = 0; i < WAIT_STEPS_MAX && !abandoned; i++)
    {
      json_t *stats = http_get_json (fixture.engines[i % PIPELINES][0].address,
                                     "/stats");

      abandoned = json_integer_value (json_object_get (stats, "abandoned"));
      json_decref (stats);
      poll_sleep ();
    }
  ck_assert_int_ge (abandoned, 1);
}

START_TEST (test_caller_disconnect_cancels_down_to_engine)
{
  char *body = chat_body (PROMPT, 1, 1000, NULL, 0);
  caller_t caller;

  fixture.step_us = 2000;
  cluster_start (&fixture, 1);
  caller_start (&caller, fixture.hosts[0].address, CHAT_PATH, body, NULL, 0);
  caller_wait_body (&caller, 100);
  caller_disconnect (&caller);
  caller_join (&caller);
  metric_wait_min (&fixture.hosts[0], "elmarch_cancelled_total", 1);
  wait_abandoned ();
  reply_free (&caller.reply);
  free (body);
}
END_TEST

/* HTTP/2: a stream, a service call and a response without streaming. */
START_TEST (test_callers_may_use_http2)
{
  char *body = chat_body (PROMPT, 0, 1000, NULL, 0);
  reply_t reply;

  cluster_start (&fixture, 1);
  use_http2 = 1;
  assert_chat_complete (0);
  http_request ("POST", fixture.hosts[0].address, PAY_PATH, "{\"id\":\"t1\"}",
                NULL, &reply);
  ck_assert_int_eq (reply.status, 200);
  reply_free (&reply);
  http_request ("POST", fixture.hosts[0].address, CHAT_PATH, body, NULL,
                &reply);
  ck_assert_int_eq (reply.status, 200);
  reply_free (&reply);
  use_http2 = 0;
  free (body);
}
END_TEST

/* The caller loses its connection and resumes with the tokens that it
   received, at the session's home or at another host, which redirects to the
   home. */
START_TEST (test_session_stream_resumes_after_lost_connection)
{
  char session[640];
  const char *headers[] = { session, "x-elmarch-sequence: 1", NULL };
  char *body = chat_body (PROMPT, 1, MAX_TOKENS, NULL, 0);
  uint64_t received[MAX_TOKENS];
  caller_t caller;
  reply_t reply;
  size_t n;
  int done;

  fixture.step_us = 3000;
  cluster_start (&fixture, 2);
  session_open (&fixture.hosts[0], session, sizeof session);
  caller_start (&caller, fixture.hosts[0].address, CHAT_PATH, body, headers,
                0);
  caller_wait_body (&caller, 300);
  caller_disconnect (&caller);
  caller_join (&caller);
  while (metric_value (&fixture.hosts[0], "elmarch_callers"))
    ; /* until the host has noticed the disconnect */
  n = stream_tokens (&caller.reply.body, received, MAX_TOKENS, &done);
  ck_assert_uint_ge (n, 1);
  free (body);
  body = chat_body (PROMPT, 1, MAX_TOKENS, received, n);
  http_request ("POST", fixture.hosts[_i].address, CHAT_PATH, body, headers,
                &reply);
  assert_chat_stream (&reply, n);
  ck_assert_uint_eq (metric_value (&fixture.hosts[0], "elmarch_joined_total"),
                     1);
  ck_assert_uint_eq (
      metric_value (&fixture.hosts[0], "elmarch_requests_total"), 1);
  reply_free (&reply);
  reply_free (&caller.reply);
  free (body);
}
END_TEST

/* The session's home is killed: another host resumes the stream after the
   tokens that the caller has. */
START_TEST (test_session_stream_resumes_after_its_host_died)
{
  char session[640];
  const char *headers[] = { session, "x-elmarch-sequence: 1", NULL };
  char *body = chat_body (PROMPT, 1, MAX_TOKENS, NULL, 0);
  uint64_t received[MAX_TOKENS];
  caller_t caller;
  reply_t reply;
  size_t n;
  int done;

  fixture.step_us = 3000;
  cluster_start (&fixture, 2);
  session_open (&fixture.hosts[0], session, sizeof session);
  caller_start (&caller, fixture.hosts[0].address, CHAT_PATH, body, headers,
                0);
  caller_wait_body (&caller, 300);
  proc_end (&fixture.hosts[0], SIGKILL);
  caller_join (&caller);
  n = stream_tokens (&caller.reply.body, received, MAX_TOKENS, &done);
  ck_assert (!done);
  free (body);
  body = chat_body (PROMPT, 1, MAX_TOKENS, received, n);
  if (_i == 1)
    host_start (&fixture, 0); /* a new incarnation at the same address */
  http_request ("POST", fixture.hosts[1].address, CHAT_PATH, body, headers,
                &reply);
  assert_chat_stream (&reply, n);
  reply_free (&reply);
  reply_free (&caller.reply);
  free (body);
}
END_TEST

Suite *
stream_suite (void)
{
  Suite *suite = suite_create ("streams");
  TCase *tcase = tcase_create ("streams");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, cluster_setup, cluster_teardown);
  ADD_LOOP (tcase, test_stage_fault_keeps_response_complete,
            STAGES * (int)(sizeof stage_faults / sizeof *stage_faults));
  ADD (tcase, test_engine_killed_mid_stream_keeps_response_complete);
  ADD (tcase, test_engine_stopped_mid_stream_keeps_response_complete);
  ADD (tcase, test_stream_survives_loss_of_all_routes);
  ADD (tcase, test_many_callers_get_their_own_responses);
  ADD (tcase, test_caller_disconnect_cancels_down_to_engine);
  ADD (tcase, test_callers_may_use_http2);
  ADD_LOOP (tcase, test_session_stream_resumes_after_lost_connection, 2);
  ADD_LOOP (tcase, test_session_stream_resumes_after_its_host_died, 2);
  suite_add_tcase (suite, tcase);
  return suite;
}
