/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of calls that must run at most once, and of refusals, over real
 * processes that fail.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cluster.h"
#include "test.h"

/* Opens an unused session on a host, once it has a configuration. Does nothing
   if the host is not running. */
static void
open_unused_session (size_t host)
{
  reply_t reply;

  if (!fixture.hosts[host].pid)
    return;
  do
    {
      http_request ("POST", fixture.hosts[host].address, "/v1/sessions", "",
                    NULL, &reply);
      reply_free (&reply);
    }
  while (reply.status == 503);
  ck_assert_int_eq (reply.status, 201);
}

/* Duplicates, sequential and concurrent, at the session's home and at other
   hosts, all get the same response, and the worker runs the call once. */
START_TEST (test_duplicates_run_once)
{
  char session[640];
  const char *headers[] = { session, "x-elmarch-sequence: 1", NULL };
  caller_t callers[6];
  reply_t reply;
  size_t i;

  cluster_start (&fixture, 3);
  for (i = 0; i < 2; i++)
    set_fault (&fixture.workers[i], "{\"fault\":\"slow\",\"delay_ms\":150}");
  session_open (&fixture.hosts[0], session, sizeof session);
  for (i = 0; i < 6; i++)
    caller_start (&callers[i], fixture.hosts[i % 3].address, PAY_PATH,
                  "{\"id\":\"t1\"}", headers, 0);
  for (i = 0; i < 6; i++)
    {
      caller_join (&callers[i]);
      assert_verdict (&callers[i].reply, 200, "ran");
      ck_assert_ptr_nonnull (strstr (callers[i].reply.body.ptr, "\"run\":1"));
      reply_free (&callers[i].reply);
    }
  for (i = 0; i < 3; i++)
    {
      send_payment (i, "t1", headers, &reply);
      assert_verdict (&reply, 200, "ran");
      reply_free (&reply);
    }
  ck_assert_int_eq (payment_runs_total ("t1"), 1);
}
END_TEST

/* Polls that take a good second. */
#define PAUSE_STEPS 220

/* The workers are paused for a second while a call and its duplicates wait for
   them: all get the response of the one run. */
START_TEST (test_duplicates_at_paused_workers_run_once)
{
  char session[640];
  const char *headers[] = { session, "x-elmarch-sequence: 1", NULL };
  caller_t callers[6];
  size_t i;

  cluster_start (&fixture, 3);
  session_open (&fixture.hosts[0], session, sizeof session);
  for (i = 0; i < 2; i++)
    proc_signal (&fixture.workers[i], SIGSTOP);
  for (i = 0; i < 6; i++)
    caller_start (&callers[i], fixture.hosts[i % 3].address, PAY_PATH,
                  "{\"id\":\"t1\"}", headers, 0);
  for (i = 0; i < PAUSE_STEPS; i++)
    poll_sleep ();
  for (i = 0; i < 2; i++)
    proc_signal (&fixture.workers[i], SIGCONT);
  for (i = 0; i < 6; i++)
    {
      caller_join (&callers[i]);
      assert_verdict (&callers[i].reply, 200, "ran");
      ck_assert_ptr_nonnull (strstr (callers[i].reply.body.ptr, "\"run\":1"));
      reply_free (&callers[i].reply);
    }
  ck_assert_int_eq (payment_runs_total ("t1"), 1);
}
END_TEST

/* The session's home restarts, or stays down, after the call ran: a duplicate
   at any host is answered with "may have run", and does not run. */
START_TEST (test_duplicate_after_loss_of_home_never_runs)
{
  char session[640];
  const char *headers[] = { session, "x-elmarch-sequence: 1", NULL };
  reply_t reply;
  size_t i;

  cluster_start (&fixture, 2);
  session_open (&fixture.hosts[0], session, sizeof session);
  send_payment (0, "t1", headers, &reply);
  assert_verdict (&reply, 200, "ran");
  reply_free (&reply);
  proc_end (&fixture.hosts[0], SIGKILL);
  if (_i == 1)
    host_start (&fixture, 0);
  for (i = 0; i < 2; i++) /* sessions with the same number as the lost one */
    open_unused_session (i);
  for (i = 0; i < 2; i++)
    {
      if (!fixture.hosts[i].pid)
        continue;
      send_payment (i, "t1", headers, &reply);
      assert_verdict (&reply, 409, "may-have-run");
      reply_free (&reply);
    }
  ck_assert_int_eq (payment_runs_total ("t1"), 1);
}
END_TEST

/* The session's home is stopped, not dead: another host answers at the
   request's deadline and does not run the call. Once the home continues, the
   call runs at most once. */
START_TEST (test_duplicate_while_home_is_stopped_never_runs_elsewhere)
{
  char session[640];
  const char *headers[] = { session, "x-elmarch-sequence: 1",
                            "x-elmarch-deadline-ms: 300", NULL };
  reply_t reply;

  cluster_start (&fixture, 2);
  session_open (&fixture.hosts[0], session, sizeof session);
  open_unused_session (1);
  proc_signal (&fixture.hosts[0], SIGSTOP);
  send_payment (1, "t1", headers, &reply);
  assert_verdict (&reply, 409, "may-have-run");
  reply_free (&reply);
  ck_assert_int_eq (payment_runs_total ("t1"), 0);
  proc_signal (&fixture.hosts[0], SIGCONT);
  headers[2] = NULL;
  send_payment (1, "t1", headers, &reply);
  reply_free (&reply);
  send_payment (0, "t1", headers, &reply);
  reply_free (&reply);
  ck_assert_int_le (payment_runs_total ("t1"), 1);
}
END_TEST

static const struct
{
  const char *fault;
  long status;
  const char *verdict;
  json_int_t runs; /* at the running workers; -1 if the worker that ran it has
                      crashed */
} worker_faults[] = {
  { "{\"fault\":\"die-before\",\"times\":1}", 502, "may-have-run", -1 },
  { "{\"fault\":\"die-after\",\"times\":1}", 502, "may-have-run", -1 },
  { "{\"fault\":\"lose\"}", 502, "may-have-run", 1 },
  { "{\"fault\":\"hang\"}", 504, "may-have-run", 1 },
  { "{\"fault\":\"leaving\"}", 503, "not-run", 0 },
  { "{\"fault\":\"busy\"}", 503, "not-run", 0 },
  { "{\"fault\":\"down\"}", 500, "ran", 0 },
};

/* The worker fails before, during or after the call, or its response is lost.
   Sent three times, the payment runs at most once, and "not run" is reported
   only if it did not run. */
START_TEST (test_worker_fault_runs_at_most_once)
{
  char session[640];
  const char *headers[] = { session, "x-elmarch-sequence: 1",
                            "x-elmarch-deadline-ms: 1500", NULL };
  reply_t reply;
  int i;

  cluster_start (&fixture, 2);
  session_open (&fixture.hosts[0], session, sizeof session);
  set_fault (&fixture.workers[0], worker_faults[_i].fault);
  set_fault (&fixture.workers[1], worker_faults[_i].fault);
  for (i = 0; i < 3; i++)
    {
      send_payment ((size_t)i % 2, "t1", headers, &reply);
      assert_verdict (&reply, worker_faults[_i].status,
                      worker_faults[_i].verdict);
      reply_free (&reply);
    }
  if (worker_faults[_i].runs >= 0)
    ck_assert_int_eq (payment_runs_total ("t1"), worker_faults[_i].runs);
  else
    /* One worker crashed with the call; the other one never received it. */
    ck_assert_int_eq (metric_value (&fixture.hosts[0], "elmarch_calls_total"),
                      1);
}
END_TEST

/* No worker listens: the call is refused as not run, which is true. Retried
   after a worker has started, it runs once. */
START_TEST (test_not_run_call_may_be_retried)
{
  char session[640];
  const char *headers[] = { session, "x-elmarch-sequence: 1", NULL };
  reply_t reply;

  cluster_start (&fixture, 1);
  session_open (&fixture.hosts[0], session, sizeof session);
  proc_end (&fixture.workers[0], SIGKILL);
  proc_end (&fixture.workers[1], SIGKILL);
  send_payment (0, "t1", headers, &reply);
  assert_verdict (&reply, 503, "not-run");
  ck_assert_ptr_nonnull (strstr (reply.head.ptr, "retry-after:"));
  reply_free (&reply);
  worker_start (&fixture, 0);
  ck_assert_int_eq (payment_runs_total ("t1"), 0);
  send_payment (0, "t1", headers, &reply);
  assert_verdict (&reply, 200, "ran");
  reply_free (&reply);
  ck_assert_int_eq (payment_runs_total ("t1"), 1);
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
  { "POST",
    CHAT_PATH,
    { "authorization: Bearer nobody" },
    "{}",
    401,
    "unknown" },
  { "POST", CHAT_PATH, { "authorization: Basic x" }, "{}", 401, "unknown" },
  { "POST",
    PAY_PATH,
    { "authorization: Bearer nobody" },
    "{\"id\":\"x\"}",
    401,
    "unknown" },
  { "POST", CHAT_PATH, { NULL }, "{", 400, "bad-json" },
  { "POST", CHAT_PATH, { NULL }, "[]", 400, "bad-json" },
  { "POST", CHAT_PATH, { NULL }, "", 400, "bad-json" },
  { "POST", CHAT_PATH, { NULL }, "{\"model\":\"sprach\"}", 400, "messages" },
  { "POST",
    CHAT_PATH,
    { NULL },
    "{\"model\":7,\"messages\":[]}",
    400,
    "model" },
  { "POST",
    CHAT_PATH,
    { NULL },
    "{\"model\":\"a\",\"model\":\"b\"}",
    400,
    "bad-json" },
  { "POST",
    CHAT_PATH,
    { NULL },
    "{\"model\":\"sprach\",\"messages\":[{\"role\":\"user\",\"content\":"
    "\"x\"}],\"wrong\":1}",
    400,
    "wrong: unknown field" },
  { "POST",
    CHAT_PATH,
    { NULL },
    "{\"model\":\"sprach\",\"messages\":[{\"role\":\"user\",\"content\":"
    "\"x\"}],\"max_tokens\":0}",
    400,
    "max_tokens" },
  { "POST",
    CHAT_PATH,
    { NULL },
    "{\"model\":\"none\",\"messages\":[{\"role\":\"user\",\"content\":"
    "\"x\"}]}",
    404,
    "not-found" },
  { "POST",
    CHAT_PATH,
    { "x-elmarch-deadline-ms: soon" },
    "{}",
    400,
    "deadline" },
  { "POST",
    CHAT_PATH,
    { "x-elmarch-session: v1~forged" },
    "{}",
    400,
    "bad-session" },
  { "GET", CHAT_PATH, { NULL }, NULL, 405, "bad-method" },
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

/* Each gets a specific error and "not run", and nothing reaches an endpoint.
 */
START_TEST (test_bad_requests_run_nothing)
{
  size_t i;
  char *big = malloc (2 << 20);
  reply_t reply;

  cluster_start (&fixture, 1);
  for (i = 0; i < sizeof bad_requests / sizeof *bad_requests; i++)
    {
      http_request (bad_requests[i].method, fixture.hosts[0].address,
                    bad_requests[i].path, bad_requests[i].body,
                    (const char *const[]){ bad_requests[i].headers[0], NULL },
                    &reply);
      /* A request with a session may be a duplicate of one that ran. */
      assert_verdict (
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
  http_request ("POST", fixture.hosts[0].address, CHAT_PATH, big, NULL,
                &reply);
  ck_assert_int_eq (reply.status, 413);
  reply_free (&reply);
  free (big);
  ck_assert_uint_eq (metric_value (&fixture.hosts[0], "elmarch_calls_total"),
                     0);
}
END_TEST

Suite *
at_most_once_suite (void)
{
  Suite *suite = suite_create ("once");
  TCase *tcase = tcase_create ("once");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, cluster_setup, cluster_teardown);
  ADD (tcase, test_duplicates_run_once);
  ADD (tcase, test_duplicates_at_paused_workers_run_once);
  ADD_LOOP (tcase, test_duplicate_after_loss_of_home_never_runs, 2);
  ADD (tcase, test_duplicate_while_home_is_stopped_never_runs_elsewhere);
  ADD_LOOP (tcase, test_worker_fault_runs_at_most_once,
            (int)(sizeof worker_faults / sizeof *worker_faults));
  ADD (tcase, test_not_run_call_may_be_retried);
  ADD (tcase, test_bad_requests_run_nothing);
  suite_add_tcase (suite, tcase);
  return suite;
}
