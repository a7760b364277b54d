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
#include <sys/socket.h>
#include <unistd.h>

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

static void
serve_events (void *arg, el_time_t now)
{
  peer_conn_t *conn = arg;

  (void)now;
  peer_event (conn, ++conn->step);
  peer_after (conn, EL_MSEC, serve_events);
}

static void
serve_endless_stream (peer_conn_t *conn)
{
  peer_stream_head (conn);
  serve_events (conn, 0);
}

static void
serve_nothing (peer_conn_t *conn)
{
  (void)conn;
}

/* A caller resets its connection before or while it gets a response: nothing
   of the request is left. Guards against hosts that run out of descriptors and
   wait for such requests when they stop. */
START_TEST (test_request_of_a_reset_connection_is_freed)
{
  static const char request[]
      = "POST /high/x HTTP/1.1\r\nhost: rel.example\r\n"
        "x-elmarch-request-id: r1\r\ncontent-length: 0\r\n\r\n";
  const struct linger reset = { 1, 0 };
  peer_t engine = { .serve = _i ? serve_endless_stream : serve_nothing };
  struct sockaddr_in to;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  peer_open (&engine);
  relay_net_add (&engine, "e", "llm", 8);
  uv_ip4_addr ("127.0.0.1", (int)net_server_port (rnet.relays->server), &to);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  ck_assert_int_eq (write (fd, request, sizeof request - 1),
                    sizeof request - 1);
  while (engine.requests == 0 || (_i && rnet.relays->counts.events < 20))
    relay_net_run_once ();
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (fd);
  relay_net_run (300 * EL_MSEC);
  ck_assert_uint_eq (rnet.relays->counts.disconnected, 1);
  ck_assert_uint_eq (gt_relays_running (rnet.relays), 0);
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
  ADD_LOOP (tcase, test_request_of_a_reset_connection_is_freed, 2);
  suite_add_tcase (suite, tcase);
  return suite;
}
