/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of streams whose engine falls silent and speaks again while another
 * engine has been sent the request: what callers receive is one stream.
 */
#define _GNU_SOURCE
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "relay_net.h"
#include "test.h"

static const char rules_text[]
    = "{\"Version\":1,\"Routes\":["
      "{\"Name\":\"low\",\"Host\":\"rel.example\",\"PathPrefix\":\"/low/\","
      "\"RouteType\":\"streaming\",\"TimeoutMs\":9000,\"MaxAttempts\":2,"
      "\"Service\":\"llm\",\"Priority\":2,\"Resumable\":true},"
      "{\"Name\":\"brief\",\"Host\":\"rel.example\",\"PathPrefix\":\"/brief/"
      "\","
      "\"RouteType\":\"streaming\",\"TimeoutMs\":900,\"MaxAttempts\":2,"
      "\"Service\":\"llm\",\"Priority\":2,\"Resumable\":true},"
      "{\"Name\":\"once\",\"Host\":\"rel.example\",\"PathPrefix\":\"/once/\","
      "\"RouteType\":\"streaming\",\"TimeoutMs\":3000,\"MaxAttempts\":2,"
      "\"Service\":\"llm\",\"Priority\":2},"
      "{\"Name\":\"seek\",\"Host\":\"rel.example\",\"PathPrefix\":\"/seek/"
      "\","
      "\"RouteType\":\"safe\",\"TimeoutMs\":2000,\"MaxAttempts\":3,"
      "\"Service\":\"app\"},"
      "{\"Name\":\"look\",\"Host\":\"rel.example\",\"PathPrefix\":\"/look/\","
      "\"RouteType\":\"safe\",\"TimeoutMs\":2000,\"MaxAttempts\":2,"
      "\"Service\":\"app\"}],"
      "\"Services\":[{\"Name\":\"app\"},{\"Name\":\"llm\",\"Engine\":{"
      "\"layers\":8,\"layer_mb\":1000,\"step_ms\":1,\"KvTokenBytes\":8000,"
      "\"usual\":{\"prompt\":10,\"answer\":10},"
      "\"kinds\":[{\"Name\":\"card\",\"mb\":9000,\"pace\":1}]}}],"
      "\"Limits\":{}}";

/* Retries per request with which a request is retried once. */
#define ONE_RETRY 2
/* The same, with which two requests allow one retry. */
#define HALF_A_RETRY 0.6
/* Events of a stream, and those before its engine falls silent. */
#define EVENTS 5
#define EVENTS_BEFORE 2
/* Time until another engine has the request, or a stream has ended. */
#define WAIT_MAX (2 * EL_SEC)
/* Time in which the relay has handled what a peer sent. */
#define HANDLED (50 * EL_MSEC)

static peer_t first;
static peer_t second;
static peer_t third;
static net_call_t call;

/* Returns the connection on which PEER serves the stream, or NULL. */
static peer_conn_t *
stream_conn (const peer_t *peer)
{
  peer_conn_t *conn;

  DL_FOREACH (peer->conns, conn)
  if (conn->id[0])
    return conn;
  return NULL;
}

static void
send_bytes (peer_conn_t *conn, const char *bytes)
{
  peer_printf (conn, "%zx\r\n%s\r\n", strlen (bytes), bytes);
}

static void
speak_bytes (const peer_t *peer, const char *bytes)
{
  peer_conn_t *conn = stream_conn (peer);

  if (conn)
    send_bytes (conn, bytes);
}

/* Sends the events FROM to TO of PEER's run, and the end after the last one.
   Does nothing if PEER's connection is closed. */
static void
speak (const peer_t *peer, unsigned from, unsigned to)
{
  char event[64];
  unsigned id;

  for (id = from; id <= to; id++)
    {
      snprintf (event, sizeof event, "id: %u\ndata: %c%u\n\n", id,
                peer == &first ? 'a' : 'b', id);
      speak_bytes (peer, event);
    }
  if (to == EVENTS && stream_conn (peer))
    peer_stream_end (stream_conn (peer));
}

static void
serve_first (peer_conn_t *conn)
{
  peer_stream_head (conn);
  speak (&first, 1, EVENTS_BEFORE);
}

/* Serves a stream from where it is resumed; what follows the head is sent by
   the test. */
static void
serve_second (peer_conn_t *conn)
{
  const char *at
      = memmem (conn->head.ptr, conn->head.len, "\r\nlast-event-id: ", 17);

  ck_assert_ptr_nonnull (at);
  ck_assert_uint_eq (strtoul (at + 17, NULL, 10), EVENTS_BEFORE);
  peer_stream_head (conn);
}

/* Sends a request for a stream to the first engine, which falls silent behind
   PART of an event. Returns when the second one, which SERVEs, has it. */
static void
standby_start_at (const char *path, const char *part,
                  void (*serve) (peer_conn_t *conn))
{
  el_time_t begun = net_clock_now (&rnet.clock);

  if (!first.serve)
    first.serve = serve_first;
  second.serve = serve;
  peer_open (&first);
  peer_open (&second);
  relay_net_add (&first, "a", "llm", 8);
  call_send (&call, "r1", "POST", path);
  while (rnet.relays->counts.events < EVENTS_BEFORE)
    relay_net_run_once ();
  first.silent = 1;
  if (part)
    speak_bytes (&first, part);
  relay_net_add (&second, "b", "llm", 8);
  while (!second.requests)
    {
      relay_net_run_once ();
      ck_assert (net_clock_now (&rnet.clock) < begun + WAIT_MAX);
    }
}

static void
standby_start (const char *part)
{
  standby_start_at ("/low/x", part, serve_second);
}

static void
standby_setup (void)
{
  relay_net_setup (NULL, rules_text);
}

/* The caller receives the events of the run A up to LAST, then those of the
   run B, and the end of the stream. Nothing is left of the request. */
static void
assert_stream (unsigned last)
{
  el_time_t until = net_clock_now (&rnet.clock) + WAIT_MAX;
  char events[EVENTS * 32] = "";
  size_t len = 0;
  unsigned id;

  while (call.exchange && net_clock_now (&rnet.clock) < until)
    relay_net_run_once ();
  ck_assert_ptr_null (call.exchange);
  for (id = 1; id <= EVENTS; id++)
    len += (size_t)snprintf (events + len, sizeof events - len,
                             "id: %u\ndata: %c%u\n\n", id,
                             id <= last ? 'a' : 'b', id);
  ck_assert_int_eq (call.net, NET_OK);
  ck_assert_int_eq (call.status, 200);
  ck_assert_msg (el_str_eq (el_buf_str (&call.body), el_str (events)), "%.*s",
                 (int)call.body.len, call.body.ptr);
  relay_net_run (HANDLED);
  ck_assert_uint_eq (gt_relays_running (rnet.relays), 0);
  ck_assert_uint_eq (rnet.relays->counts.phase_errors, 0);
  call_free (&call);
}

/* The second engine goes on with the stream; then, or with the same event, the
   first one does, too. Guards against events that come twice. */
START_TEST (test_event_of_two_engines_comes_once)
{
  int at_once = _i;
  int first_goes_on;

  standby_start (NULL);
  first.silent = 0;
  speak (&second, EVENTS_BEFORE + 1, EVENTS_BEFORE + 1);
  if (!at_once)
    {
      relay_net_run (HANDLED);
      ck_assert_ptr_null (stream_conn (&first));
    }
  speak (&first, EVENTS_BEFORE + 1, EVENTS_BEFORE + 2);
  relay_net_run (HANDLED);
  first_goes_on = stream_conn (&first) != NULL;
  ck_assert_int_eq (first_goes_on + (stream_conn (&second) != NULL), 1);
  speak (&first, EVENTS_BEFORE + 3, EVENTS);
  speak (&second, EVENTS_BEFORE + 2, EVENTS);
  assert_stream (first_goes_on ? EVENTS : EVENTS_BEFORE);
  ck_assert_uint_eq (first.requests + second.requests, 2);
}
END_TEST

/* The first engine goes on before the second one does: its events, alone, are
   passed on. Guards against streams that are lost to a pause of an engine. */
START_TEST (test_stream_goes_on_at_the_engine_that_was_silent)
{
  standby_start (NULL);
  first.silent = 0;
  speak (&first, EVENTS_BEFORE + 1, EVENTS_BEFORE + 1);
  relay_net_run (HANDLED);
  ck_assert_ptr_null (stream_conn (&second));
  ck_assert_ptr_nonnull (stream_conn (&first));
  speak (&second, EVENTS_BEFORE + 1, EVENTS);
  speak (&first, EVENTS_BEFORE + 2, EVENTS);
  assert_stream (EVENTS);
  ck_assert_uint_eq (first.requests + second.requests, 2);
}
END_TEST

/* The first engine has sent half an event. Guards against events of two halves
   of different runs. */
START_TEST (test_half_event_is_not_joined_with_another_run)
{
  standby_start ("id: 3\nda");
  speak (&second, EVENTS_BEFORE + 1, EVENTS_BEFORE + 1);
  relay_net_run (HANDLED);
  speak_bytes (&first, "ta: a3\n\n");
  speak (&second, EVENTS_BEFORE + 2, EVENTS);
  assert_stream (EVENTS_BEFORE);
}
END_TEST

/* The same, and the first engine sends the other half before the second one
   has sent an event, or while that has sent half of it, too. */
START_TEST (test_half_event_is_completed_by_its_own_run)
{
  standby_start ("id: 3\nda");
  first.silent = 0;
  if (_i)
    {
      speak_bytes (&second, "id: 3\ndata: b");
      relay_net_run (HANDLED);
    }
  speak_bytes (&first, "ta: a3\n\n");
  relay_net_run (HANDLED);
  speak_bytes (&second, "3\n\n");
  speak (&second, EVENTS_BEFORE + 2, EVENTS);
  speak (&first, EVENTS_BEFORE + 2, EVENTS);
  assert_stream (EVENTS);
}
END_TEST

static void
one_retry_setup (void)
{
  const gt_relay_options_t options = { .retry_ratio = ONE_RETRY };

  relay_net_setup (&options, rules_text);
}

/* The second engine fails, and the request may not be sent once more: the
   first engine completes the stream. Guards against streams that end with an
   attempt at another engine while their own is only silent. */
START_TEST (test_failed_resume_does_not_end_the_stream)
{
  standby_start_at ("/low/x", NULL, _i ? peer_end : peer_refuse);
  relay_net_run (4 * HANDLED);
  ck_assert_ptr_nonnull (call.exchange);
  first.silent = 0;
  speak (&first, EVENTS_BEFORE + 1, EVENTS);
  assert_stream (EVENTS);
  ck_assert_uint_eq (first.requests + second.requests, 2);
}
END_TEST

/* The first engine crashes after all: the second one completes the stream. */
START_TEST (test_crash_of_the_silent_engine_does_not_end_the_stream)
{
  standby_start (_i ? "id: 3\nda" : NULL);
  peer_close (&first);
  relay_net_run (HANDLED);
  ck_assert_ptr_nonnull (call.exchange);
  speak (&second, EVENTS_BEFORE + 1, EVENTS);
  assert_stream (EVENTS_BEFORE);
  ck_assert_uint_eq (second.requests, 1);
}
END_TEST

/* Both fail, in either order: the response is broken off. Guards against a
   part of a stream that looks complete. */
START_TEST (test_stream_that_two_engines_break_off_is_not_whole)
{
  standby_start (NULL);
  peer_close (_i ? &second : &first);
  relay_net_run (HANDLED);
  peer_close (_i ? &first : &second);
  call_wait (&call);
  ck_assert_int_eq (call.status, 200);
  ck_assert_int_eq (call.net, NET_CONNECTION_LOST);
  relay_net_run (HANDLED);
  ck_assert_uint_eq (gt_relays_running (rnet.relays), 0);
  ck_assert_uint_eq (rnet.relays->counts.phase_errors, 0);
  call_free (&call);
}
END_TEST

/* The caller leaves, or the time is over, while both engines have the request:
   both connections are closed. Guards against runs that nobody reads. */
START_TEST (test_end_of_a_request_ends_the_runs_at_both_engines)
{
  standby_start_at (_i ? "/brief/x" : "/low/x", NULL, serve_second);
  if (_i)
    call_wait (&call);
  else
    call_leave (&call);
  relay_net_run (HANDLED);
  ck_assert_int_eq (call.net, _i ? NET_CONNECTION_LOST : NET_OK);
  ck_assert_ptr_null (stream_conn (&first));
  ck_assert_ptr_null (stream_conn (&second));
  ck_assert_uint_eq (gt_relays_running (rnet.relays), 0);
  ck_assert_uint_eq (rnet.relays->counts.phase_errors, 0);
  call_free (&call);
}
END_TEST

static void
budget_setup (void)
{
  const gt_relay_options_t options = { .retry_ratio = HALF_A_RETRY };

  relay_net_setup (&options, rules_text);
}

/* A stream without a length or chunks, which its connection ends. */
static void
serve_first_to_close (peer_conn_t *conn)
{
  peer_printf (conn,
               "HTTP/1.1 200 OK\r\nx-elmarch-request-id: %s\r\n"
               "x-elmarch-response-seal: s\r\n"
               "content-type: text/event-stream\r\n\r\n"
               "id: 1\ndata: a1\n\nid: 2\ndata: a2\n\n",
               conn->id);
}

/* The first engine, whose stream has no length, closes its connection without
   having spoken again: the second one completes the stream. Guards against
   attempts that are cancelled for the end of one that is not whole. */
START_TEST (test_cut_of_the_silent_engine_does_not_end_the_stream)
{
  first.serve = serve_first_to_close;
  standby_start (NULL);
  peer_end (stream_conn (&first));
  relay_net_run (4 * HANDLED);
  ck_assert_ptr_nonnull (call.exchange);
  speak (&second, EVENTS_BEFORE + 1, EVENTS);
  assert_stream (EVENTS_BEFORE);
  ck_assert_uint_eq (second.requests, 1);
}
END_TEST

static void
serve_nothing (peer_conn_t *conn)
{
  (void)conn;
}

static void
serve_error_head (peer_conn_t *conn)
{
  peer_printf (conn,
               "HTTP/1.1 500 Error\r\nx-elmarch-request-id: %s\r\n"
               "x-elmarch-response-seal: s\r\ncontent-length: 5\r\n\r\n",
               conn->id);
}

/* The first engine begins an error response and falls silent; the rest of it
   comes while another engine has the request, which completes the stream.
   Guards against attempts that are cancelled for an error. */
START_TEST (test_error_of_the_silent_engine_does_not_end_the_stream)
{
  first.serve = serve_error_head;
  peer_open (&first);
  peer_open (&second);
  relay_net_add (&first, "a", "llm", 8);
  call_send (&call, "r1", "POST", "/low/x");
  while (!first.requests)
    relay_net_run_once ();
  first.silent = 1;
  second.serve = serve_nothing;
  relay_net_add (&second, "b", "llm", 8);
  while (!second.requests)
    relay_net_run_once ();
  peer_printf (stream_conn (&first), "error");
  relay_net_run (HANDLED);
  ck_assert_ptr_nonnull (stream_conn (&second));
  peer_stream_head (stream_conn (&second));
  speak (&second, 1, EVENTS);
  assert_stream (0);
}
END_TEST

static void
refuse_with_backoff (peer_conn_t *conn)
{
  peer_printf (conn,
               "HTTP/1.1 503 Busy\r\nx-elmarch-request-id: %s\r\n"
               "x-elmarch-not-executed: 1\r\nretry-after: 5\r\n"
               "content-length: 0\r\n\r\n",
               conn->id);
}

/* An engine that was silent refuses the request and asks for a backoff while
   another one has the request: the backoff applies. Guards against requests to
   engines that have asked for rest. */
START_TEST (test_backoff_of_an_engine_that_was_silent_applies)
{
  rt_target_t *target;

  first.serve = serve_nothing;
  second.serve = serve_second;
  peer_open (&first);
  peer_open (&second);
  target = relay_net_add (&first, "a", "llm", 8);
  call_send (&call, "r1", "POST", "/low/x");
  while (!first.requests)
    relay_net_run_once ();
  first.silent = 1;
  second.serve = serve_nothing;
  relay_net_add (&second, "b", "llm", 8);
  while (!second.requests)
    relay_net_run_once ();
  refuse_with_backoff (stream_conn (&first));
  relay_net_run (HANDLED);
  ck_assert_uint_gt (
      rt_avail_backoff_left (&target->avail, net_clock_now (&rnet.clock)), 0);
  peer_stream_head (stream_conn (&second));
  speak (&second, 1, EVENTS);
  assert_stream (0);
}
END_TEST

/* The engine is silent, another one fails, and the silent one is no longer
   listed: the stream goes on elsewhere. Guards against streams that wait at an
   engine that is gone until their time is over. */
START_TEST (test_stream_leaves_a_silent_engine_that_is_gone)
{
  el_time_t begun;
  rt_target_t *target;

  standby_start_at ("/low/x", NULL, peer_refuse);
  relay_net_run (4 * HANDLED);
  ck_assert_ptr_nonnull (call.exchange);
  target = rt_target_ref (
      rt_fleet_find (rnet.relays->options.fleet, EL_STR ("a")));
  rt_fleet_remove (rnet.relays->options.fleet, target->attrs.id);
  gt_relays_engine_gone (rnet.relays, target);
  rt_target_unref (target);
  third.serve = serve_second;
  peer_open (&third);
  relay_net_add (&third, "c", "llm", 8);
  begun = net_clock_now (&rnet.clock);
  rt_shared_budget_add_request (
      &relay_service (rnet.relays, EL_STR ("llm"))->retry_budget, begun);
  rt_shared_budget_add_request (
      &relay_service (rnet.relays, EL_STR ("llm"))->retry_budget, begun);
  while (!third.requests)
    {
      relay_net_run_once ();
      ck_assert_msg (net_clock_now (&rnet.clock) < begun + 3 * EL_SEC,
                     "still at the engine that is gone");
    }
  call_leave (&call);
  relay_net_run (HANDLED);
  ck_assert_uint_eq (gt_relays_running (rnet.relays), 0);
  call_free (&call);
}
END_TEST

static void
serve_whole_to_close (peer_conn_t *conn)
{
  serve_first_to_close (conn);
  peer_printf (conn, "id: 3\ndata: a3\n\nid: 4\ndata: a4\n\n"
                     "id: 5\ndata: a5\n\n");
  first.silent = 1;
  peer_end (conn);
}

/* An engine has sent a whole stream, and closed its connection, when it falls
   silent for longer than a check waits. Guards against streams that are broken
   off for an engine that is only silent. */
START_TEST (test_whole_stream_of_a_silent_engine_is_not_broken_off)
{
  first.serve = serve_whole_to_close;
  peer_open (&first);
  relay_net_add (&first, "a", "llm", 8);
  call_send (&call, "r1", "POST", "/once/x");
  while (rnet.relays->counts.events < EVENTS)
    relay_net_run_once ();
  relay_net_run (12 * HANDLED);
  first.silent = 0;
  assert_stream (EVENTS);
}
END_TEST

/* Plain requests. */

static void
write_plain (peer_conn_t *conn, const char *length, const char *body)
{
  peer_printf (conn,
               "HTTP/1.1 200 OK\r\nx-elmarch-request-id: %s\r\n"
               "x-elmarch-response-seal: s\r\n%s\r\n%s",
               conn->id, length, body);
}

static void
serve_plain_half (peer_conn_t *conn)
{
  write_plain (conn, "content-length: 8\r\n", "comp");
}

/* The endpoint A has a request and does not answer; this host is then cut off
   from it, and the helper B, which SERVEs, has the request. */
static void
plain_standby_start (void (*serve) (peer_conn_t *conn))
{
  el_time_t begun = net_clock_now (&rnet.clock);
  rt_target_t *target;

  first.serve = serve_nothing;
  second.serve = serve;
  peer_open (&first);
  peer_open (&second);
  target = relay_net_add (&first, "a", "app", 0);
  call_send (&call, "r1", "POST", "/look/x");
  while (!first.requests)
    relay_net_run_once ();
  rnet.helpers[rnet.nhelpers++] = &second;
  relay_reach_failed (rnet.relays, target);
  while (!second.requests)
    {
      relay_net_run_once ();
      ck_assert (net_clock_now (&rnet.clock) < begun + WAIT_MAX);
    }
}

static void
assert_plain (int status, const char *body)
{
  el_time_t until = net_clock_now (&rnet.clock) + WAIT_MAX;

  while (call.exchange && net_clock_now (&rnet.clock) < until)
    relay_net_run_once ();
  ck_assert_int_eq (call.net, NET_OK);
  ck_assert_msg (
      call.status == status
          && (!body || el_str_eq (el_buf_str (&call.body), el_str (body))),
      "%d %.*s", call.status, (int)call.body.len, call.body.ptr);
  relay_net_run (HANDLED);
  ck_assert_uint_eq (gt_relays_running (rnet.relays), 0);
  ck_assert_uint_eq (rnet.relays->counts.phase_errors, 0);
  call_free (&call);
}

/* The other host has sent half an answer when the endpoint answers after all.
   Guards against answers that are joined from two runs. */
START_TEST (test_half_answer_is_not_joined_with_another_run)
{
  plain_standby_start (serve_plain_half);
  relay_net_run (HANDLED);
  write_plain (stream_conn (&first), "content-length: 8\r\n", "complete");
  relay_net_run (HANDLED);
  if (stream_conn (&second))
    peer_printf (stream_conn (&second), "lete");
  assert_plain (200, "complete");
}
END_TEST

static void
serve_plain_to_close (peer_conn_t *conn)
{
  write_plain (conn, "", "complete");
  peer_end (conn);
}

/* A second endpoint has answered, and is checked as its connection has ended
   the answer, when the first one fails (or answers, too). Guards against
   answers without a status. */
START_TEST (test_answer_that_is_checked_is_kept_when_the_former_run_ends)
{
  rt_target_t *target;
  gt_relay_t *relay;

  first.serve = serve_nothing;
  second.serve = serve_plain_to_close;
  peer_open (&first);
  peer_open (&second);
  target = relay_net_add (&first, "a", "app", 0);
  call_send (&call, "r1", "POST", "/look/x");
  while (!first.requests)
    relay_net_run_once ();
  relay_reach_failed (rnet.relays, target);
  ck_assert_ptr_nonnull (rnet.relays->running->standby);
  target = relay_net_add (&second, "b", "app", 0);
  while (rnet.relays->counts.cut_off)
    {
      usleep (10);
      uv_update_time (&rnet.loop);
      relay_reach_connected (rnet.relays, target, net_clock_now (&rnet.clock));
    }
  relay = rnet.relays->running;
  while (relay->phase != RELAY_SETTLING)
    relay_net_run_once ();
  if (_i && stream_conn (&first))
    write_plain (stream_conn (&first), "content-length: 8\r\n", "complete");
  else if (stream_conn (&first))
    peer_end (stream_conn (&first));
  assert_plain (200, "complete");
}
END_TEST

static void
fail_over_host (peer_conn_t *conn)
{
  peer_printf (conn,
               "HTTP/1.1 502 Bad\r\nx-elmarch-request-id: %s\r\n"
               "content-length: 0\r\n\r\n",
               conn->id);
}

/* The other host answers that the request may have run; then the endpoint that
   was silent fails, too: both runs count. Guards against more attempts than
   the rule allows. */
START_TEST (test_run_over_a_host_counts_when_the_former_run_goes_on)
{
  plain_standby_start (fail_over_host);
  relay_net_run (HANDLED);
  ck_assert_ptr_nonnull (call.exchange);
  peer_end (stream_conn (&first));
  assert_plain (502, NULL);
  ck_assert_uint_eq (first.requests + second.requests, 2);
}
END_TEST

static void
borrow (void *arg, const pr_loan_request_t *request, pr_loan_cb done,
        void *done_arg)
{
  const co_loan_t loan = { .tokens = request->wanted };

  (void)arg;
  done (done_arg, &loan);
}

static void
borrow_setup (void)
{
  const gt_relay_options_t options = { .borrow = borrow };

  relay_net_setup (&options, rules_text);
}

static void
serve_rest (peer_conn_t *conn)
{
  peer_stream_head (conn);
  send_bytes (conn, "id: 3\ndata: b3\n\nid: 4\ndata: b4\n\n"
                    "id: 5\ndata: b5\n\n");
  peer_stream_end (conn);
}

/* The engine crashes, and the retry budget is spent: the stream
   waits, and goes on when another request has added to the budget. Guards
   against streams that are broken off for want of budget. */
START_TEST (test_stream_waits_for_the_retry_budget)
{
  net_call_t other;

  first.serve = serve_first;
  second.serve = serve_rest;
  peer_open (&first);
  peer_open (&second);
  relay_net_add (&first, "a", "llm", 8);
  call_send (&call, "r1", "POST", "/low/x");
  while (rnet.relays->counts.events < EVENTS_BEFORE)
    relay_net_run_once ();
  relay_net_add (&second, "b", "llm", 8);
  peer_close (&first);
  relay_net_run (4 * HANDLED);
  ck_assert_ptr_nonnull (call.exchange);
  call_send (&other, "r2", "POST", "/low/x");
  relay_net_run (HANDLED);
  call_leave (&other);
  call_free (&other);
  assert_stream (EVENTS_BEFORE);
}
END_TEST

/* Opens a port that takes no connection. Returns its descriptor. */
static int
port_open_full (peer_t *peer)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof addr;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int i;

  ck_assert_int_eq (bind (fd, (struct sockaddr *)&addr, len), 0);
  ck_assert_int_eq (listen (fd, 0), 0);
  getsockname (fd, (struct sockaddr *)&addr, &len);
  for (i = 0; i < 4; i++)
    connect (socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0),
             (struct sockaddr *)&addr, len);
  snprintf (peer->address, sizeof peer->address, "127.0.0.1:%u",
            ntohs (addr.sin_port));
  return fd;
}

/* A request that has taken a token of its endpoint's limit goes over another
   host, which is no longer live before the connection is made. Guards against
   hosts that crash. */
START_TEST (test_host_that_is_lost_before_the_connection_is_left)
{
  rt_target_t *target;
  int fd;

  first.serve = serve_nothing;
  peer_open (&first);
  target = relay_net_add (&first, "a", "app", 0);
  relay_limit_named (rnet.relays, target, 100, EL_STR ("test"));
  call_send (&call, "r1", "POST", "/seek/x");
  while (!first.requests)
    relay_net_run_once ();
  fd = port_open_full (&second);
  rnet.helpers[rnet.nhelpers++] = &second;
  relay_reach_failed (rnet.relays, target);
  while (!rnet.relays->counts.over_host)
    relay_net_run_once ();
  second.lost = 1;
  relay_net_run (12 * HANDLED);
  ck_assert_ptr_nonnull (call.exchange);
  write_plain (stream_conn (&first), "content-length: 8\r\n", "complete");
  assert_plain (200, "complete");
  close (fd);
}
END_TEST

Suite *
standby_suite (void)
{
  Suite *suite = suite_create ("standby");
  TCase *tcase = tcase_create ("standby");

  tcase_set_timeout (tcase, 30);
  tcase_add_checked_fixture (tcase, standby_setup, NULL);
  ADD_LOOP (tcase, test_event_of_two_engines_comes_once, 2);
  ADD (tcase, test_stream_goes_on_at_the_engine_that_was_silent);
  ADD (tcase, test_half_event_is_not_joined_with_another_run);
  ADD_LOOP (tcase, test_half_event_is_completed_by_its_own_run, 2);
  ADD_LOOP (tcase, test_crash_of_the_silent_engine_does_not_end_the_stream, 2);
  ADD_LOOP (tcase, test_stream_that_two_engines_break_off_is_not_whole, 2);
  ADD_LOOP (tcase, test_end_of_a_request_ends_the_runs_at_both_engines, 2);
  ADD (tcase, test_cut_of_the_silent_engine_does_not_end_the_stream);
  ADD (tcase, test_error_of_the_silent_engine_does_not_end_the_stream);
  ADD (tcase, test_backoff_of_an_engine_that_was_silent_applies);
  ADD (tcase, test_whole_stream_of_a_silent_engine_is_not_broken_off);
  ADD (tcase, test_half_answer_is_not_joined_with_another_run);
  ADD_LOOP (tcase,
            test_answer_that_is_checked_is_kept_when_the_former_run_ends, 2);
  ADD (tcase, test_run_over_a_host_counts_when_the_former_run_goes_on);
  suite_add_tcase (suite, tcase);
  tcase = tcase_create ("tokens");
  tcase_set_timeout (tcase, 30);
  tcase_add_checked_fixture (tcase, borrow_setup, NULL);
  ADD (tcase, test_host_that_is_lost_before_the_connection_is_left);
  suite_add_tcase (suite, tcase);
  tcase = tcase_create ("one retry");
  tcase_set_timeout (tcase, 30);
  tcase_add_checked_fixture (tcase, one_retry_setup, NULL);
  ADD_LOOP (tcase, test_failed_resume_does_not_end_the_stream, 2);
  ADD (tcase, test_stream_leaves_a_silent_engine_that_is_gone);
  suite_add_tcase (suite, tcase);
  tcase = tcase_create ("budget");
  tcase_set_timeout (tcase, 30);
  tcase_add_checked_fixture (tcase, budget_setup, NULL);
  ADD (tcase, test_stream_waits_for_the_retry_budget);
  suite_add_tcase (suite, tcase);
  return suite;
}
