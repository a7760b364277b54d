/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of the phases of a relayed request: only one thing at a time may start
 * its next attempt.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "relay_net.h"
#include "test.h"

static const char rules_text[]
    = "{\"Version\":1,\"Routes\":["
      "{\"Name\":\"high\",\"Host\":\"rel.example\",\"PathPrefix\":\"/high/\","
      "\"RouteType\":\"streaming\",\"TimeoutMs\":900,\"MaxAttempts\":2,"
      "\"Service\":\"llm\",\"Priority\":0},"
      "{\"Name\":\"low\",\"Host\":\"rel.example\",\"PathPrefix\":\"/low/\","
      "\"RouteType\":\"streaming\",\"TimeoutMs\":900,\"MaxAttempts\":2,"
      "\"Service\":\"llm\",\"Priority\":2,\"Resumable\":true},"
      "{\"Name\":\"pay\",\"Host\":\"rel.example\",\"PathPrefix\":\"/pay/\","
      "\"RouteType\":\"unsafe\",\"TimeoutMs\":900,\"MaxAttempts\":2,"
      "\"Service\":\"app\"},"
      "{\"Name\":\"look\",\"Host\":\"rel.example\",\"PathPrefix\":\"/look/\","
      "\"RouteType\":\"safe\",\"TimeoutMs\":900,\"MaxAttempts\":2,"
      "\"Service\":\"app\"}],"
      "\"Services\":[{\"Name\":\"app\"},{\"Name\":\"llm\",\"Engine\":{"
      "\"layers\":8,\"layer_mb\":1000,\"step_ms\":1,\"KvTokenBytes\":8000,"
      "\"usual\":{\"prompt\":10,\"answer\":10},"
      "\"kinds\":[{\"Name\":\"card\",\"mb\":9000,\"pace\":1}]}}],"
      "\"Limits\":{}}";

/* Longer than the interval at which requests that wait are tried. */
#define HELPER_WORK (200 * EL_MSEC)

static void
phase_setup (void)
{
  relay_net_setup (NULL, rules_text);
}

static void
stream_finish (void *arg, el_time_t now)
{
  peer_conn_t *conn = arg;

  (void)now;
  peer_stream_head (conn);
  peer_event (conn, 1);
  peer_stream_end (conn);
}

static void
serve_after_work (peer_conn_t *conn)
{
  peer_after (conn, HELPER_WORK, stream_finish);
}

/* An engine is lost while a request waits for room there: the request goes
   over one other host and is not started again while that one serves it.
   Guards against hosts that crashed on the second answer. */
START_TEST (test_waiting_request_is_sent_over_one_host)
{
  peer_t engine = { .serve = peer_refuse };
  peer_t helper = { .serve = serve_after_work };
  rt_target_t *target;
  net_call_t call;

  peer_open (&engine);
  peer_open (&helper);
  target = relay_net_add (&engine, "e", "llm", 8);
  call_send (&call, "r1", "POST", _i ? "/low/x" : "/high/x");
  while (!rnet.relays->counts.queued)
    relay_net_run_once ();
  rnet.helpers[rnet.nhelpers++] = &helper;
  peer_close (&engine);
  relay_reach_failed (rnet.relays, target);
  call_wait (&call);
  ck_assert_msg (call.status == 200, "%d %.*s, sent %u", call.status,
                 (int)call.body.len, call.body.ptr, helper.requests);
  ck_assert_int_eq (call.sealed, 1);
  relay_net_run (2 * HELPER_WORK);
  ck_assert_uint_eq (helper.requests, 1);
  ck_assert_uint_eq (rnet.relays->counts.over_host, 1);
  ck_assert_uint_eq (rnet.relays->counts.phase_errors, 0);
  ck_assert_uint_eq (gt_relays_running (rnet.relays), 0);
  call_free (&call);
}
END_TEST

Suite *
phase_suite (void)
{
  Suite *suite = suite_create ("phase");
  TCase *tcase = tcase_create ("phase");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, phase_setup, NULL);
  ADD_LOOP (tcase, test_waiting_request_is_sent_over_one_host, 2);
  suite_add_tcase (suite, tcase);
  return suite;
}
