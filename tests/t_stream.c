/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Streams before real processes that fail.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cluster.h"
#include "reference.h"
#include "test.h"

static void
chat_whole (size_t host)
{
  char *body = chat_body (QUESTION, 1, MAX_TOKENS, NULL, 0);
  reply_t reply;

  http ("POST", c.hosts[host].address, CHAT, body, NULL, &reply);
  stream_is_whole (&reply, 0);
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

/* Ask until the fault was met; each answer is whole all the same. */
static void
chat_until_rebuilt (uint64_t rebuilds)
{
  int i;

  for (i = 0; i < 60; i++)
    {
      chat_whole (0);
      if (metric (&c.hosts[0], "elmarch_rebuilds_total") >= rebuilds)
        return;
    }
  ck_abort_msg ("the fault was not met");
}

/* Each fault, at the first, a middle and the last stage: the stream goes on
   over the other line, token for token. */
START_TEST (test_stage_fault_leaves_the_answer_whole)
{
  c.extra[0] = "--call-limit-ms=300";
  cluster_open (&c, 1);
  fault (&c.engines[0][_i % STAGES], stage_faults[_i / STAGES]);
  chat_until_rebuilt (1);
  chat_whole (0);
}
END_TEST

/* Stall the stream on whichever line it runs, then take that engine away. */
static void
stall_and (int signal)
{
  char *body = chat_body (QUESTION, 1, MAX_TOKENS, NULL, 0);
  caller_t caller;
  int line;

  c.extra[0] = "--call-limit-ms=1000";
  cluster_open (&c, 1);
  for (line = 0; line < LINES; line++)
    fault (&c.engines[line][1],
           "{\"fault\":\"hang\",\"after\":5,\"times\":1}");
  caller_start (&caller, c.hosts[0].address, CHAT, body, NULL, 0);
  caller_wait_body (&caller, 100);
  for (line = 0; line < LINES; line++)
    {
      json_t *stats = http_json (c.engines[line][1].address, "/stats");

      if (json_integer_value (json_object_get (stats, "calls")) == 6)
        {
          proc_signal (&c.engines[line][1], signal);
          if (signal == SIGKILL)
            proc_end (&c.engines[line][1], SIGKILL);
        }
      else
        fault (&c.engines[line][1], "{\"fault\":\"none\"}");
      json_decref (stats);
    }
  caller_join (&caller);
  stream_is_whole (&caller.reply, 0);
  reply_free (&caller.reply);
  free (body);
}

START_TEST (test_engine_killed_mid_stream_leaves_the_answer_whole)
{
  stall_and (SIGKILL);
}
END_TEST

START_TEST (test_engine_frozen_mid_stream_leaves_the_answer_whole)
{
  stall_and (SIGSTOP);
}
END_TEST

/* Both engines of a stage die: the session is not dropped but waits, and ends
   whole once one is back. */
START_TEST (test_stream_outlives_the_loss_of_all_routes)
{
  char *body = chat_body (QUESTION, 1, MAX_TOKENS, NULL, 0);
  caller_t caller;
  int line;

  cluster_open (&c, 1);
  for (line = 0; line < LINES; line++)
    fault (&c.engines[line][2], "{\"fault\":\"hang\",\"after\":3}");
  caller_start (&caller, c.hosts[0].address, CHAT, body, NULL, 0);
  caller_wait_body (&caller, 100);
  for (line = 0; line < LINES; line++)
    proc_end (&c.engines[line][2], SIGKILL);
  metric_wait (&c.hosts[0], "elmarch_rebuilds_total", 8);
  engine_start (&c, 1, 2);
  caller_join (&caller);
  stream_is_whole (&caller.reply, 0);
  reply_free (&caller.reply);
  free (body);
}
END_TEST

START_TEST (test_many_callers_get_their_own_answers)
{
  static const size_t ncallers = 24;
  caller_t *callers = calloc (ncallers, sizeof *callers);
  char content[64];
  size_t i;

  c.step_us = 500;
  cluster_open (&c, 2);
  fault (&c.engines[0][0], "{\"fault\":\"cross\",\"after\":30,\"times\":5}");
  for (i = 0; i < ncallers; i++)
    {
      char *body;

      snprintf (content, sizeof content, "Question of caller %zu", i);
      body = chat_body (content, 0, MAX_TOKENS, NULL, 0);
      caller_start (&callers[i], c.hosts[i % 2].address, CHAT, body, NULL, 0);
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

/* Wait until at least one engine dropped what it held for a caller. */
static void
abandoned_wait (void)
{
  json_int_t abandoned = 0;
  int i;

  for (i = 0; i < WAIT_STEPS && !abandoned; i++)
    {
      json_t *stats = http_json (c.engines[i % LINES][0].address, "/stats");

      abandoned = json_integer_value (json_object_get (stats, "abandoned"));
      json_decref (stats);
      pause_step ();
    }
  ck_assert_int_ge (abandoned, 1);
}

START_TEST (test_caller_that_vanishes_is_cancelled_down_to_the_engine)
{
  char *body = chat_body (QUESTION, 1, 1000, NULL, 0);
  caller_t caller;

  c.step_us = 2000;
  cluster_open (&c, 1);
  caller_start (&caller, c.hosts[0].address, CHAT, body, NULL, 0);
  caller_wait_body (&caller, 100);
  caller_vanish (&caller);
  caller_join (&caller);
  metric_wait (&c.hosts[0], "elmarch_cancelled_total", 1);
  abandoned_wait ();
  reply_free (&caller.reply);
  free (body);
}
END_TEST

/* The same over HTTP/2: a stream, a call, a whole answer. */
START_TEST (test_callers_may_speak_http2)
{
  char *body = chat_body (QUESTION, 0, 1000, NULL, 0);
  reply_t reply;

  cluster_open (&c, 1);
  http2 = 1;
  chat_whole (0);
  http ("POST", c.hosts[0].address, PAY, "{\"id\":\"t1\"}", NULL, &reply);
  ck_assert_int_eq (reply.status, 200);
  reply_free (&reply);
  http ("POST", c.hosts[0].address, CHAT, body, NULL, &reply);
  ck_assert_int_eq (reply.status, 200);
  reply_free (&reply);
  http2 = 0;
  free (body);
}
END_TEST

/* The connection is cut; the caller comes back with what it has, to the home
   or to another host, which points to the home. */
START_TEST (test_session_stream_resumes_after_a_cut_connection)
{
  char session[640];
  const char *headers[] = { session, "x-elmarch-sequence: 1", NULL };
  char *body = chat_body (QUESTION, 1, MAX_TOKENS, NULL, 0);
  uint64_t have[MAX_TOKENS];
  caller_t caller;
  reply_t reply;
  size_t n;
  int done;

  c.step_us = 3000;
  cluster_open (&c, 2);
  session_open (&c.hosts[0], session, sizeof session);
  caller_start (&caller, c.hosts[0].address, CHAT, body, headers, 0);
  caller_wait_body (&caller, 300);
  caller_vanish (&caller);
  caller_join (&caller);
  while (metric (&c.hosts[0], "elmarch_callers"))
    ; /* until the host has seen that the caller is gone */
  n = stream_tokens (&caller.reply.body, have, MAX_TOKENS, &done);
  ck_assert_uint_ge (n, 1);
  free (body);
  body = chat_body (QUESTION, 1, MAX_TOKENS, have, n);
  http ("POST", c.hosts[_i].address, CHAT, body, headers, &reply);
  stream_is_whole (&reply, n);
  ck_assert_uint_eq (metric (&c.hosts[0], "elmarch_joined_total"), 1);
  ck_assert_uint_eq (metric (&c.hosts[0], "elmarch_requests_total"), 1);
  reply_free (&reply);
  reply_free (&caller.reply);
  free (body);
}
END_TEST

/* The home dies: another host goes on from the tokens that the caller has. */
START_TEST (test_session_stream_resumes_after_its_host_died)
{
  char session[640];
  const char *headers[] = { session, "x-elmarch-sequence: 1", NULL };
  char *body = chat_body (QUESTION, 1, MAX_TOKENS, NULL, 0);
  uint64_t have[MAX_TOKENS];
  caller_t caller;
  reply_t reply;
  size_t n;
  int done;

  c.step_us = 3000;
  cluster_open (&c, 2);
  session_open (&c.hosts[0], session, sizeof session);
  caller_start (&caller, c.hosts[0].address, CHAT, body, headers, 0);
  caller_wait_body (&caller, 300);
  proc_end (&c.hosts[0], SIGKILL);
  caller_join (&caller);
  n = stream_tokens (&caller.reply.body, have, MAX_TOKENS, &done);
  ck_assert (!done);
  free (body);
  body = chat_body (QUESTION, 1, MAX_TOKENS, have, n);
  if (_i == 1)
    host_start (&c, 0); /* a later incarnation at the same address */
  http ("POST", c.hosts[1].address, CHAT, body, headers, &reply);
  stream_is_whole (&reply, n);
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
  ADD_LOOP (tcase, test_stage_fault_leaves_the_answer_whole,
            STAGES * (int)(sizeof stage_faults / sizeof *stage_faults));
  ADD (tcase, test_engine_killed_mid_stream_leaves_the_answer_whole);
  ADD (tcase, test_engine_frozen_mid_stream_leaves_the_answer_whole);
  ADD (tcase, test_stream_outlives_the_loss_of_all_routes);
  ADD (tcase, test_many_callers_get_their_own_answers);
  ADD (tcase, test_caller_that_vanishes_is_cancelled_down_to_the_engine);
  ADD (tcase, test_callers_may_speak_http2);
  ADD_LOOP (tcase, test_session_stream_resumes_after_a_cut_connection, 2);
  ADD_LOOP (tcase, test_session_stream_resumes_after_its_host_died, 2);
  suite_add_tcase (suite, tcase);
  return suite;
}
