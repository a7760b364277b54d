/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests with real processes: each brings a failure about and looks at what a
 * caller, and the endpoints themselves, then say.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "cluster.h"
#include "reference.h"
#include "test.h"

#define MAX_TOKENS 20
#define QUESTION "Which visit is next?"
#define CHAT "/v1/chat/completions"
#define PAY "/services/zahl-app/pay"

static cluster_t c;

static void
setup (void)
{
  memset (&c, 0, sizeof c);
}

static void
teardown (void)
{
  cluster_close (&c);
}

/* The answer must be the model's own, token for token, with its end. */
static void
stream_is_whole (const reply_t *reply, size_t skip)
{
  uint64_t want[MAX_TOKENS];
  uint64_t got[MAX_TOKENS];
  size_t n = reference_answer (QUESTION, LAYERS, MAX_TOKENS, want);
  int done;
  size_t m = stream_tokens (&reply->body, got, MAX_TOKENS, &done);

  ck_assert_int_eq (reply->status, 200);
  ck_assert_msg (done, "no end: %s", reply->body.ptr);
  ck_assert_uint_eq (m, n - skip);
  ck_assert (memcmp (want + skip, got, m * sizeof *got) == 0);
}

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

static void
verdict_is (const reply_t *reply, long status, const char *want)
{
  char verdict[32];

  reply_header (reply, "x-elmarch-verdict", verdict, sizeof verdict);
  ck_assert_msg (reply->status == status && strcmp (verdict, want) == 0,
                 "status %ld verdict %s: %s", reply->status, verdict,
                 reply->body.ptr ? reply->body.ptr : "");
}

static json_int_t
runs_all (const char *id)
{
  return (c.workers[0].pid ? runs (&c.workers[0], id) : 0)
         + (c.workers[1].pid ? runs (&c.workers[1], id) : 0);
}

static void
pay (size_t host, const char *id, const char *const *headers, reply_t *reply)
{
  char body[64];

  snprintf (body, sizeof body, "{\"id\":\"%s\"}", id);
  http ("POST", c.hosts[host].address, PAY, body, headers, reply);
}

/* Open a session that is not used, once the host has a configuration. */
static void
session_open_at (size_t host)
{
  reply_t reply;

  if (!c.hosts[host].pid)
    return;
  do
    {
      http ("POST", c.hosts[host].address, "/v1/sessions", "", NULL, &reply);
      reply_free (&reply);
    }
  while (reply.status == 503);
  ck_assert_int_eq (reply.status, 201);
}

/* Duplicates: in a row and crossed with the first, at the home and at another
   host. All get one answer; the worker ran it once. */
START_TEST (test_duplicates_run_once)
{
  char session[640];
  const char *headers[] = { session, "x-elmarch-sequence: 1", NULL };
  caller_t callers[6];
  reply_t reply;
  size_t i;

  cluster_open (&c, 3);
  for (i = 0; i < 2; i++)
    fault (&c.workers[i], "{\"fault\":\"slow\",\"delay_ms\":150}");
  session_open (&c.hosts[0], session, sizeof session);
  for (i = 0; i < 6; i++)
    caller_start (&callers[i], c.hosts[i % 3].address, PAY, "{\"id\":\"t1\"}",
                  headers, 0);
  for (i = 0; i < 6; i++)
    {
      caller_join (&callers[i]);
      verdict_is (&callers[i].reply, 200, "ran");
      ck_assert_ptr_nonnull (strstr (callers[i].reply.body.ptr, "\"run\":1"));
      reply_free (&callers[i].reply);
    }
  for (i = 0; i < 3; i++)
    {
      pay (i, "t1", headers, &reply);
      verdict_is (&reply, 200, "ran");
      reply_free (&reply);
    }
  ck_assert_int_eq (runs_all ("t1"), 1);
}
END_TEST

/* The home restarts, or stays dead, after the first arrival ran: a duplicate
   at any host is told that it may have run, and does not run. */
START_TEST (test_duplicate_after_the_home_is_gone_never_runs)
{
  char session[640];
  const char *headers[] = { session, "x-elmarch-sequence: 1", NULL };
  reply_t reply;
  size_t i;

  cluster_open (&c, 2);
  session_open (&c.hosts[0], session, sizeof session);
  pay (0, "t1", headers, &reply);
  verdict_is (&reply, 200, "ran");
  reply_free (&reply);
  proc_end (&c.hosts[0], SIGKILL);
  if (_i == 1)
    host_start (&c, 0);
  for (i = 0; i < 2; i++) /* sessions of the same number at the others */
    session_open_at (i);
  for (i = 0; i < 2; i++)
    {
      if (!c.hosts[i].pid)
        continue;
      pay (i, "t1", headers, &reply);
      verdict_is (&reply, 409, "may-have-run");
      reply_free (&reply);
    }
  ck_assert_int_eq (runs_all ("t1"), 1);
}
END_TEST

/* The home is frozen, not dead: the answer comes at once when its time is
   over, it does not run elsewhere, and the home that thaws runs it once. */
START_TEST (test_duplicate_while_the_home_is_frozen_never_runs_elsewhere)
{
  char session[640];
  const char *headers[] = { session, "x-elmarch-sequence: 1",
                            "x-elmarch-deadline-ms: 300", NULL };
  reply_t reply;

  cluster_open (&c, 2);
  session_open (&c.hosts[0], session, sizeof session);
  session_open_at (1);
  proc_signal (&c.hosts[0], SIGSTOP);
  pay (1, "t1", headers, &reply);
  verdict_is (&reply, 409, "may-have-run");
  reply_free (&reply);
  ck_assert_int_eq (runs_all ("t1"), 0);
  proc_signal (&c.hosts[0], SIGCONT);
  headers[2] = NULL;
  pay (1, "t1", headers, &reply);
  reply_free (&reply);
  pay (0, "t1", headers, &reply);
  reply_free (&reply);
  ck_assert_int_le (runs_all ("t1"), 1);
}
END_TEST

static const struct
{
  const char *fault;
  long status;
  const char *verdict;
  json_int_t runs; /* at the workers that live; -1 when the one that ran it
                      died */
} worker_faults[] = {
  { "{\"fault\":\"die-before\",\"times\":1}", 502, "may-have-run", -1 },
  { "{\"fault\":\"die-after\",\"times\":1}", 502, "may-have-run", -1 },
  { "{\"fault\":\"lose\"}", 502, "may-have-run", 1 },
  { "{\"fault\":\"hang\"}", 504, "may-have-run", 1 },
  { "{\"fault\":\"leaving\"}", 503, "not-run", 0 },
  { "{\"fault\":\"busy\"}", 503, "not-run", 0 },
  { "{\"fault\":\"down\"}", 500, "ran", 0 },
};

/* The worker fails before, during or after the call, or loses its answer:
   sent three times over, the payment runs at most once, and "not run" is said
   only when it did not run. */
START_TEST (test_worker_fault_runs_at_most_once)
{
  char session[640];
  const char *headers[] = { session, "x-elmarch-sequence: 1",
                            "x-elmarch-deadline-ms: 1500", NULL };
  reply_t reply;
  int i;

  cluster_open (&c, 2);
  session_open (&c.hosts[0], session, sizeof session);
  fault (&c.workers[0], worker_faults[_i].fault);
  fault (&c.workers[1], worker_faults[_i].fault);
  for (i = 0; i < 3; i++)
    {
      pay ((size_t)i % 2, "t1", headers, &reply);
      verdict_is (&reply, worker_faults[_i].status, worker_faults[_i].verdict);
      reply_free (&reply);
    }
  if (worker_faults[_i].runs >= 0)
    ck_assert_int_eq (runs_all ("t1"), worker_faults[_i].runs);
  else
    /* One of them died with the call; the other never got it. */
    ck_assert_int_eq (metric (&c.hosts[0], "elmarch_calls_total"), 1);
}
END_TEST

/* Nothing listens at the workers: refused as not run, and true. When one is
   back, the same request, sent again, runs once. */
START_TEST (test_not_run_is_true_and_may_be_sent_again)
{
  char session[640];
  const char *headers[] = { session, "x-elmarch-sequence: 1", NULL };
  reply_t reply;

  cluster_open (&c, 1);
  session_open (&c.hosts[0], session, sizeof session);
  proc_end (&c.workers[0], SIGKILL);
  proc_end (&c.workers[1], SIGKILL);
  pay (0, "t1", headers, &reply);
  verdict_is (&reply, 503, "not-run");
  ck_assert_ptr_nonnull (strstr (reply.head.ptr, "retry-after:"));
  reply_free (&reply);
  worker_start (&c, 0);
  ck_assert_int_eq (runs_all ("t1"), 0);
  pay (0, "t1", headers, &reply);
  verdict_is (&reply, 200, "ran");
  reply_free (&reply);
  ck_assert_int_eq (runs_all ("t1"), 1);
}
END_TEST

static const struct
{
  const char *method;
  const char *path;
  const char *headers[2];
  const char *body;
  long status;
  const char *code;
} bad_requests[] = {
  { "POST", CHAT, { "authorization: Bearer nobody" }, "{}", 401, "unknown" },
  { "POST", CHAT, { "authorization: Basic x" }, "{}", 401, "unknown" },
  { "POST",
    PAY,
    { "authorization: Bearer nobody" },
    "{\"id\":\"x\"}",
    401,
    "unknown" },
  { "POST", CHAT, { NULL }, "{", 400, "bad-json" },
  { "POST", CHAT, { NULL }, "[]", 400, "bad-json" },
  { "POST", CHAT, { NULL }, "", 400, "bad-json" },
  { "POST", CHAT, { NULL }, "{\"model\":\"sprach\"}", 400, "messages" },
  { "POST", CHAT, { NULL }, "{\"model\":7,\"messages\":[]}", 400, "model" },
  { "POST",
    CHAT,
    { NULL },
    "{\"model\":\"a\",\"model\":\"b\"}",
    400,
    "bad-json" },
  { "POST",
    CHAT,
    { NULL },
    "{\"model\":\"sprach\",\"messages\":[{\"role\":\"user\",\"content\":"
    "\"x\"}],\"wrong\":1}",
    400,
    "wrong: unknown field" },
  { "POST",
    CHAT,
    { NULL },
    "{\"model\":\"sprach\",\"messages\":[{\"role\":\"user\",\"content\":"
    "\"x\"}],\"max_tokens\":0}",
    400,
    "max_tokens" },
  { "POST",
    CHAT,
    { NULL },
    "{\"model\":\"none\",\"messages\":[{\"role\":\"user\",\"content\":"
    "\"x\"}]}",
    404,
    "not-found" },
  { "POST", CHAT, { "x-elmarch-deadline-ms: soon" }, "{}", 400, "deadline" },
  { "POST",
    CHAT,
    { "x-elmarch-session: v1~forged" },
    "{}",
    400,
    "bad-session" },
  { "GET", CHAT, { NULL }, NULL, 405, "bad-method" },
  { "GET", "/nothing", { NULL }, NULL, 404, "not-found" },
  { "POST", "/services/none/pay", { NULL }, "{}", 404, "not-found" },
  { "GET", "/admin/v1/customers", { NULL }, NULL, 401, "not-an-operator" },
  { "PUT",
    "/admin/v1/customers/x",
    { "authorization: Bearer wrong" },
    "{}",
    401,
    "not-an-operator" },
};

/* Each gets a clear answer, as not run, and nothing reaches an endpoint. */
START_TEST (test_bad_requests_run_nothing)
{
  size_t i;
  char *big = malloc (2 << 20);
  reply_t reply;

  cluster_open (&c, 1);
  for (i = 0; i < sizeof bad_requests / sizeof *bad_requests; i++)
    {
      http (bad_requests[i].method, c.hosts[0].address, bad_requests[i].path,
            bad_requests[i].body,
            (const char *const[]){ bad_requests[i].headers[0], NULL }, &reply);
      /* A request that names a session may have come before. */
      verdict_is (
          &reply, bad_requests[i].status,
          strstr (bad_requests[i].headers[0] ? bad_requests[i].headers[0] : "",
                  "session")
              ? "may-have-run"
              : "not-run");
      ck_assert_msg (strstr (reply.body.ptr, bad_requests[i].code) != NULL,
                     "%zu: %s", i, reply.body.ptr);
      reply_free (&reply);
    }
  memset (big, 'x', 2 << 20);
  big[(2 << 20) - 1] = '\0';
  http ("POST", c.hosts[0].address, CHAT, big, NULL, &reply);
  ck_assert_int_eq (reply.status, 413);
  reply_free (&reply);
  free (big);
  ck_assert_uint_eq (metric (&c.hosts[0], "elmarch_calls_total"), 0);
}
END_TEST

/* Wait until a host gives that many entry addresses. */
static void
entries_wait (size_t host, size_t want)
{
  size_t n = 0;
  int i;

  for (i = 0; i < WAIT_STEPS && n != want; i++)
    {
      json_t *json = http_json (c.hosts[host].address, "/v1/entry-hosts");

      n = json_array_size (json_object_get (json, "hosts"));
      json_decref (json);
      if (n != want)
        pause_step ();
    }
  ck_assert_uint_eq (n, want);
}

/* SIGTERM while a stream runs: it ends whole, and what is new is refused as
   not run. */
START_TEST (test_planned_stop_cuts_nothing)
{
  char *body = chat_body (QUESTION, 1, MAX_TOKENS, NULL, 0);
  caller_t caller;
  reply_t reply;

  c.step_us = 4000;
  cluster_open (&c, 1);
  caller_start (&caller, c.hosts[0].address, CHAT, body, NULL, 0);
  caller_wait_body (&caller, 100);
  proc_signal (&c.hosts[0], SIGTERM);
  do
    {
      http ("POST", c.hosts[0].address, CHAT, body, NULL, &reply);
      if (reply.status == 503)
        verdict_is (&reply, 503, "not-run");
      reply_free (&reply);
    }
  while (reply.status == 200);
  caller_join (&caller);
  stream_is_whole (&caller.reply, 0);
  reply_free (&caller.reply);
  free (body);
}
END_TEST

/* A planned stop hands sessions and ledger to a successor: what ran is
   answered as before, what is new runs there, through any host. */
START_TEST (test_planned_stop_hands_the_sessions_over)
{
  char session[640];
  const char *first[] = { session, "x-elmarch-sequence: 1", NULL };
  const char *second[] = { session, "x-elmarch-sequence: 2", NULL };
  reply_t reply;
  size_t i;

  cluster_open (&c, 3);
  entries_wait (0, 3);
  session_open (&c.hosts[0], session, sizeof session);
  pay (0, "t1", first, &reply);
  verdict_is (&reply, 200, "ran");
  reply_free (&reply);
  ck_assert_int_eq (proc_end (&c.hosts[0], SIGTERM), 0);
  for (i = 1; i < 3; i++)
    {
      do /* until the successor's news has come */
        {
          pay (i, "t1", first, &reply);
          if (reply.status != 200)
            verdict_is (&reply, 409, "may-have-run");
          reply_free (&reply);
        }
      while (reply.status != 200);
      pay (i, "t1", first, &reply);
      verdict_is (&reply, 200, "ran");
      ck_assert_ptr_nonnull (strstr (reply.body.ptr, "\"run\":1"));
      reply_free (&reply);
      pay (i, "t2", second, &reply);
      verdict_is (&reply, 200, "ran");
      reply_free (&reply);
    }
  ck_assert_int_eq (runs_all ("t1"), 1);
  ck_assert_int_eq (runs_all ("t2"), 1);
}
END_TEST

/* A call runs on at the host that stops; a duplicate through the successor
   joins it, and a new one meanwhile runs at the successor. */
START_TEST (test_planned_stop_with_a_call_under_way_runs_it_once)
{
  char session[640];
  const char *first[] = { session, "x-elmarch-sequence: 1", NULL };
  const char *second[] = { session, "x-elmarch-sequence: 2", NULL };
  caller_t caller;
  reply_t reply;
  size_t i;

  cluster_open (&c, 2);
  entries_wait (0, 2);
  session_open (&c.hosts[0], session, sizeof session);
  for (i = 0; i < 2; i++)
    fault (&c.workers[i], "{\"fault\":\"slow\",\"delay_ms\":1500}");
  caller_start (&caller, c.hosts[0].address, PAY, "{\"id\":\"t1\"}", first, 0);
  metric_wait (&c.hosts[0], "elmarch_calls_total", 1);
  for (i = 0; i < 2; i++)
    fault (&c.workers[i], "{\"fault\":\"none\"}");
  proc_signal (&c.hosts[0], SIGTERM);
  metric_wait (&c.hosts[1], "elmarch_sessions", 1);
  pay (1, "t2", second, &reply);
  verdict_is (&reply, 200, "ran");
  reply_free (&reply);
  pay (0, "t2", second, &reply); /* the old home knows where it went */
  verdict_is (&reply, 200, "ran");
  reply_free (&reply);
  pay (1, "t1", first, &reply);
  verdict_is (&reply, 200, "ran");
  reply_free (&reply);
  caller_join (&caller);
  verdict_is (&caller.reply, 200, "ran");
  reply_free (&caller.reply);
  ck_assert_int_eq (runs_all ("t1"), 1);
  ck_assert_int_eq (runs_all ("t2"), 1);
}
END_TEST

/* The successor does not answer: it may have taken the sessions. Sealed means
   sealed: the old home runs nothing of them any more, whether the successor
   comes back or is dead. */
START_TEST (test_handover_in_doubt_runs_nothing_twice)
{
  char session[640];
  const char *first[] = { session, "x-elmarch-sequence: 1",
                          "x-elmarch-deadline-ms: 500", NULL };
  unsigned doubts = 0;
  reply_t reply;

  cluster_open (&c, 2);
  entries_wait (0, 2);
  session_open (&c.hosts[0], session, sizeof session);
  if (_i == 0)
    proc_signal (&c.hosts[1], SIGSTOP);
  else
    proc_end (&c.hosts[1], SIGKILL);
  proc_signal (&c.hosts[0], SIGTERM);
  do
    {
      pay (0, "t1", first, &reply);
      if (reply.status == 503)
        verdict_is (&reply, 503, "not-run");
      else if (reply.status)
        {
          verdict_is (&reply, 409, "may-have-run");
          doubts++;
        }
      reply_free (&reply);
    }
  while (reply.status);
  ck_assert (_i == 1 || doubts);
  ck_assert_int_eq (runs_all ("t1"), 0);
  if (_i == 0)
    {
      proc_signal (&c.hosts[1], SIGCONT);
      first[2] = NULL;
      pay (1, "t1", first, &reply);
      reply_free (&reply);
      pay (1, "t1", first, &reply);
      reply_free (&reply);
    }
  ck_assert_int_le (runs_all ("t1"), 1);
}
END_TEST

/* A stop waits until a slow caller has read its whole answer, which is more
   than the connection holds on its way. */
START_TEST (test_planned_stop_waits_for_a_slow_caller)
{
  static const size_t bytes = 7 << 20;
  caller_t caller;
  reply_t reply;

  cluster_open (&c, 1);
  caller_start (&caller, c.hosts[0].address,
                "/services/zahl-app/big?bytes=7340032", NULL, NULL, 1);
  caller_wait_body (&caller, 1);
  proc_signal (&c.hosts[0], SIGTERM);
  do
    {
      pay (0, "t1", NULL, &reply);
      reply_free (&reply);
    }
  while (reply.status == 200);
  caller_release (&caller);
  caller_join (&caller);
  ck_assert_int_eq (caller.reply.status, 200);
  ck_assert_uint_eq (caller.reply.body.len, bytes);
  reply_free (&caller.reply);
}
END_TEST

/* A dead host leaves the entry addresses, a new one at its address joins
   them. */
START_TEST (test_entry_hosts_are_the_live_ones)
{
  cluster_open (&c, 3);
  entries_wait (0, 3);
  proc_end (&c.hosts[2], SIGKILL);
  entries_wait (0, 2);
  host_start (&c, 2);
  entries_wait (0, 3);
}
END_TEST

Suite *proc_suite (void);
Suite *agree_suite (void);

Suite *
proc_suite (void)
{
  Suite *suite = suite_create ("processes");
  TCase *tcase = tcase_create ("processes");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, setup, teardown);
  ADD_LOOP (tcase, test_stage_fault_leaves_the_answer_whole,
            STAGES * (int)(sizeof stage_faults / sizeof *stage_faults));
  ADD (tcase, test_engine_killed_mid_stream_leaves_the_answer_whole);
  ADD (tcase, test_engine_frozen_mid_stream_leaves_the_answer_whole);
  ADD (tcase, test_stream_outlives_the_loss_of_all_routes);
  ADD (tcase, test_many_callers_get_their_own_answers);
  ADD (tcase, test_caller_that_vanishes_is_cancelled_down_to_the_engine);
  ADD_LOOP (tcase, test_session_stream_resumes_after_a_cut_connection, 2);
  ADD_LOOP (tcase, test_session_stream_resumes_after_its_host_died, 2);
  ADD (tcase, test_callers_may_speak_http2);
  ADD (tcase, test_duplicates_run_once);
  ADD_LOOP (tcase, test_duplicate_after_the_home_is_gone_never_runs, 2);
  ADD (tcase, test_duplicate_while_the_home_is_frozen_never_runs_elsewhere);
  ADD_LOOP (tcase, test_worker_fault_runs_at_most_once,
            (int)(sizeof worker_faults / sizeof *worker_faults));
  ADD (tcase, test_not_run_is_true_and_may_be_sent_again);
  ADD (tcase, test_bad_requests_run_nothing);
  ADD (tcase, test_planned_stop_cuts_nothing);
  ADD (tcase, test_planned_stop_hands_the_sessions_over);
  ADD (tcase, test_planned_stop_with_a_call_under_way_runs_it_once);
  ADD_LOOP (tcase, test_handover_in_doubt_runs_nothing_twice, 2);
  ADD (tcase, test_planned_stop_waits_for_a_slow_caller);
  ADD (tcase, test_entry_hosts_are_the_live_ones);
  suite_add_tcase (suite, tcase);
  return suite;
}

int
main (void)
{
  SRunner *runner = srunner_create (proc_suite ());
  int failed;

  srunner_add_suite (runner, agree_suite ());
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
