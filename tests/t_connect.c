/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of requests whose endpoint stops accepting new requests after it was
 * chosen and before the request is sent, and of requests to endpoints that
 * name a rate limit. The relay, its endpoints and a caller run on one loop, so
 * that the test controls what happens in between; it is the lender of the
 * limits, too.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "libgate.h"
#include "librelay.h"
#include "platform.h"
#include "test.h"

#define ENDPOINTS 2
#define LOOP_INTERVAL_US 200
#define MAX_ITERATIONS 20000
#define REQUEST_TIMEOUT (20 * EL_SEC)

static const char rules_text[]
    = "{\"Version\":1,\"Routes\":[{\"Name\":\"look\",\"Host\":\"rel.example\","
      "\"PathPrefix\":\"/look/\",\"RouteType\":\"safe\",\"TimeoutMs\":9000,"
      "\"MaxAttempts\":2,\"Service\":\"app\"},"
      "{\"Name\":\"chat\",\"Host\":\"rel.example\",\"PathPrefix\":"
      "\"/chat/\",\"RouteType\":\"safe\",\"TimeoutMs\":9000,"
      "\"MaxAttempts\":2,\"Service\":\"llm\"}],"
      "\"Services\":[{\"Name\":\"app\"},{\"Name\":\"llm\",\"Engine\":{"
      "\"layers\":8,\"layer_mb\":1000,\"step_ms\":1,\"KvTokenBytes\":8000,"
      "\"usual\":{\"prompt\":10,\"answer\":10},"
      "\"kinds\":[{\"Name\":\"half\",\"mb\":4500,\"pace\":1}]}}],"
      "\"Limits\":{}}";

typedef struct connect_endpoint
{
  net_server_t *server;
  rt_target_t *target;
  unsigned requests;
  const char *limit; /* named in its answers; NULL: none */
} connect_endpoint_t;

typedef struct connect_answer
{
  int done;
  int status;
  char body[64];
  double retry_after_s; /* 0: none */
} connect_answer_t;

static uv_loop_t loop;
static net_clock_t test_clock;
static net_client_t *callers;
static gt_relays_t *relays;
static connect_endpoint_t endpoints[ENDPOINTS];

/* How the lender answers. */
typedef enum lender_mode
{
  LENDER_SILENT, /* later, by lender_answer */
  LENDER_LENDS,
  LENDER_DENIES,
  LENDER_UNREACHABLE
} lender_mode_t;

static lender_mode_t lender_mode;
static el_time_t lender_wait; /* with LENDER_DENIES */
static unsigned borrows;
static pr_loan_cb loan_done;
static void *loan_arg;

static void
endpoint_handle (void *arg, h2o_req_t *req)
{
  connect_endpoint_t *endpoint = arg;

  endpoint->requests++;
  net_req_add_header (req, EL_STR ("x-elmarch-request-id"),
                      net_req_header (req, "x-elmarch-request-id"));
  net_req_add_header (req, EL_STR ("x-elmarch-response-seal"), EL_STR ("s"));
  if (endpoint->limit)
    net_req_add_header (req, EL_STR ("server-limit"),
                        el_str (endpoint->limit));
  net_req_reply (req, 200, EL_STR ("text/plain"), EL_STR ("served"));
}

static void
endpoint_open (connect_endpoint_t *endpoint, const char *id)
{
  const net_server_options_t server = { .loop = &loop,
                                        .address = EL_STR ("127.0.0.1:0"),
                                        .max_body = 1024,
                                        .handle = endpoint_handle,
                                        .arg = endpoint };
  rt_attrs_t attrs = { .id = el_str (id),
                       .born = 1,
                       .service = EL_STR ("app"),
                       .hall = EL_STR ("h"),
                       .slots = 8 };
  char address[32];
  el_err_t err;

  endpoint->requests = 0;
  endpoint->limit = NULL;
  endpoint->server = net_server_new (&server, &err);
  ck_assert_ptr_nonnull (endpoint->server);
  snprintf (address, sizeof address, "127.0.0.1:%u",
            net_server_port (endpoint->server));
  attrs.address = el_str (address);
  endpoint->target = rt_fleet_update (relays->options.fleet, &attrs);
}

static size_t
one_host (void *arg)
{
  (void)arg;
  return 1;
}

static int
is_no_poller (void *arg)
{
  (void)arg;
  return 0;
}

static void
lender_answer (const co_loan_t *loan)
{
  loan_done (loan_arg, loan);
}

static void
borrow (void *arg, const pr_loan_request_t *request, pr_loan_cb done,
        void *done_arg)
{
  const co_loan_t denied = { .wait = lender_wait };
  const co_loan_t loan = { .tokens = request->wanted };

  (void)arg;
  borrows++;
  loan_done = done;
  loan_arg = done_arg;
  if (lender_mode == LENDER_UNREACHABLE)
    lender_answer (NULL);
  else if (lender_mode != LENDER_SILENT)
    lender_answer (lender_mode == LENDER_LENDS ? &loan : &denied);
}

static void
connect_setup (void)
{
  gt_relay_options_t options = { .clock = &test_clock,
                                 .dialect = &pf_relay,
                                 .listen = EL_STR ("127.0.0.1:0"),
                                 .hall = EL_STR ("h"),
                                 .key = EL_STR ("a key"),
                                 .max_body = 1024,
                                 .retry_ratio = 1,
                                 .retry_window = 10 * EL_SEC,
                                 .hosts = one_host,
                                 .hall_hosts = one_host,
                                 .is_poller = is_no_poller,
                                 .borrow = borrow };
  el_err_t err;

  lender_wait = 5 * EL_SEC;
  uv_loop_init (&loop);
  net_clock_init (&test_clock, &loop);
  callers = net_client_new (&test_clock);
  options.client = net_client_new (&test_clock);
  options.fleet = rt_fleet_new (7);
  relays = gt_relays_new (&options, &err);
  ck_assert_ptr_nonnull (relays);
  gt_relays_set_rules_as_of (relays, net_clock_now (&test_clock));
  gt_relays_first_gossip_done (relays);
  gt_relays_set_rules (relays, pf_rules_read (el_str (rules_text), &err));
}

static void
answer_done (void *arg, const net_result_t *result)
{
  connect_answer_t *answer = arg;

  answer->done = 1;
  answer->status = result->status;
  snprintf (answer->body, sizeof answer->body, "%.*s", (int)result->body.len,
            result->body.ptr);
  if (net_result_header (result, "retry-after").len)
    answer->retry_after_s
        = strtod (net_result_header (result, "retry-after").ptr, NULL);
}

static void
request_send_to (connect_answer_t *answer, const char *path)
{
  static const net_header_t headers[]
      = { { EL_STR ("x-elmarch-request-id"), EL_STR ("r1") } };
  char address[32];
  const net_request_t send = { .address = { address, 0 },
                               .host = EL_STR ("rel.example"),
                               .method = EL_STR ("GET"),
                               .path = el_str (path),
                               .headers = headers,
                               .nheaders = 1,
                               .timeout = REQUEST_TIMEOUT,
                               .done = answer_done,
                               .arg = answer };
  net_request_t request = send;

  snprintf (address, sizeof address, "127.0.0.1:%u",
            net_server_port (relays->server));
  request.address = el_str (address);
  memset (answer, 0, sizeof *answer);
  net_client_send (callers, &request);
}

static void
request_send (connect_answer_t *answer)
{
  request_send_to (answer, "/look/x");
}

/* Send a request, and stop once an endpoint is chosen for it and the
   connection to it is being established. */
static rt_target_t *
send_until_chosen (connect_answer_t *answer)
{
  int i;

  request_send (answer);
  for (i = 0; i < MAX_ITERATIONS && !relays->counts.attempts; i++)
    {
      uv_run (&loop, UV_RUN_NOWAIT);
      usleep (LOOP_INTERVAL_US);
    }
  ck_assert_msg (relays->counts.attempts == 1, "%d %s", answer->status,
                 answer->body);
  return relays->running->target;
}

static void
answer_wait (const connect_answer_t *answer)
{
  int i;

  for (i = 0; i < MAX_ITERATIONS && !answer->done; i++)
    {
      uv_run (&loop, UV_RUN_NOWAIT);
      usleep (LOOP_INTERVAL_US);
    }
  ck_assert_int_eq (answer->done, 1);
}

/* Close an endpoint to new requests. REASON 0: it requests a backoff, 1: it
   announces that it is leaving, 2: it is no longer listed. */
static void
close_endpoint (rt_target_t *target, int reason)
{
  static const rt_hints_t hints[]
      = { { .backoff = 60 * EL_SEC }, { .leaving = 1 }, { 0 } };

  gt_relays_apply_hints (relays, target, &hints[reason], EL_STR ("test"));
  if (reason == 2)
    rt_fleet_remove (relays->options.fleet, target->attrs.id);
}

/* The request is sent to the other endpoint, and nothing is taken from the
   retry budget. */
START_TEST (test_connect_closed_endpoint_is_replaced)
{
  connect_answer_t answer;
  rt_target_t *target;
  size_t closed;

  endpoint_open (&endpoints[0], "a");
  endpoint_open (&endpoints[1], "b");
  target = send_until_chosen (&answer);
  closed = target == endpoints[0].target ? 0 : 1;
  close_endpoint (target, _i);
  answer_wait (&answer);
  ck_assert_int_eq (answer.status, 200);
  ck_assert_uint_eq (endpoints[closed].requests, 0);
  ck_assert_uint_eq (endpoints[1 - closed].requests, 1);
  ck_assert_uint_eq (relays->counts.withheld, 1);
  ck_assert_uint_eq (relays->counts.retries, 0);
  ck_assert_uint_eq (relays->counts.sent_in_backoff, 0);
}
END_TEST

/* There is no other endpoint: the request is refused at once as not run. */
START_TEST (test_connect_closed_only_endpoint_is_refused)
{
  connect_answer_t answer;

  endpoint_open (&endpoints[0], "a");
  close_endpoint (send_until_chosen (&answer), _i);
  answer_wait (&answer);
  ck_assert_int_eq (answer.status, 503);
  ck_assert_str_eq (answer.body,
                    _i == 0 ? "all endpoints rest" : "no endpoint");
  ck_assert_uint_eq (endpoints[0].requests, 0);
  ck_assert_uint_eq (relays->counts.withheld, 1);
}
END_TEST

/* Sends a request and returns its status. */
static int
request_status (void)
{
  connect_answer_t answer;

  request_send (&answer);
  answer_wait (&answer);
  return answer.status;
}

/* Opens an endpoint that names LIMIT, and sends the request that is told. */
static void
limited_open (size_t i, const char *id, const char *limit)
{
  endpoint_open (&endpoints[i], id);
  endpoints[i].limit = limit;
  gt_relays_apply_hints (
      relays, endpoints[i].target,
      &(rt_hints_t){ .limited = RT_LIMIT_NAMED, .limit = 2 }, EL_STR ("test"));
  borrows = 0;
}

static void
wait_for_borrow (void)
{
  int i;

  for (i = 0; i < MAX_ITERATIONS && !borrows; i++)
    {
      uv_run (&loop, UV_RUN_NOWAIT);
      usleep (LOOP_INTERVAL_US);
    }
  ck_assert_uint_eq (borrows, 1);
}

/* A request to a limited endpoint waits for the lender's answer, and is then
   sent. */
START_TEST (test_connect_request_waits_for_a_token)
{
  const co_loan_t loan = { .tokens = 1 };
  connect_answer_t answer;

  limited_open (0, "a", "2");
  lender_mode = LENDER_SILENT;
  request_send (&answer);
  wait_for_borrow ();
  ck_assert_uint_eq (relays->counts.attempts, 0);
  lender_answer (&loan);
  answer_wait (&answer);
  ck_assert_int_eq (answer.status, 200);
  ck_assert_uint_eq (relays->counts.limit_waits, 1);
  ck_assert_uint_eq (relays->counts.sent_over_limit, 0);
}
END_TEST

/* There is no token: another endpoint serves the request; without one it is
   refused as not run, and the caller is told to return later. The same if the
   lender cannot be reached. */
START_TEST (test_connect_request_without_a_token_goes_elsewhere)
{
  connect_answer_t answer;

  limited_open (0, "a", "2");
  lender_mode = _i ? LENDER_UNREACHABLE : LENDER_DENIES;
  request_send (&answer);
  answer_wait (&answer);
  ck_assert_int_eq (answer.status, 503);
  ck_assert_str_eq (answer.body, "all endpoints are at their limits");
  ck_assert_uint_eq (relays->counts.refused_limit, 1);
  endpoint_open (&endpoints[1], "b");
  ck_assert_int_eq (request_status (), 200);
  ck_assert_uint_eq (endpoints[0].requests, 0);
  ck_assert_uint_eq (endpoints[1].requests, 1);
}
END_TEST

/* A token is due soon: the request waits for it and is served. It is due a
   little later than that: the request is refused at once. */
START_TEST (test_connect_request_waits_for_a_token_due_soon)
{
  el_time_t began;
  el_time_t took;

  limited_open (0, "a", "2");
  endpoints[0].target->limit.borrower.denied_until
      = net_clock_now (&test_clock) + (_i ? 260 * EL_MSEC : 100 * EL_MSEC);
  began = net_clock_now (&test_clock);
  lender_mode = LENDER_LENDS;
  ck_assert_int_eq (request_status (), _i ? 503 : 200);
  took = net_clock_now (&test_clock) - began;
  if (_i)
    ck_assert_uint_lt (took, 100 * EL_MSEC);
  else
    ck_assert_uint_ge (took, 90 * EL_MSEC);
  ck_assert_uint_eq (relays->counts.limit_waits, !_i);
}
END_TEST

/* Callers that are refused for a limit are told to return one after the other
   at its rate, and none too late. */
START_TEST (test_connect_refused_callers_return_one_after_the_other)
{
  connect_answer_t answer;
  double last = 0;
  unsigned i;

  limited_open (0, "a", "2");
  lender_mode = LENDER_DENIES;
  for (i = 0; i < 40; i++)
    {
      request_send (&answer);
      answer_wait (&answer);
      ck_assert_int_eq (answer.status, 503);
      ck_assert_double_ge (answer.retry_after_s, 4);
      if (i > 0 && i < 8)
        ck_assert_double_ge (answer.retry_after_s, last + 0.3);
      ck_assert_double_le (answer.retry_after_s, 10.1);
      last = answer.retry_after_s;
    }
  ck_assert_double_ge (last, 9.9);
}
END_TEST

/* The caller disconnects while its request waits for a token. */
START_TEST (test_connect_caller_leaves_while_waiting_for_a_token)
{
  const co_loan_t loan = { .tokens = 1 };
  connect_answer_t answer;
  int i;

  limited_open (0, "a", "2");
  lender_mode = LENDER_SILENT;
  request_send (&answer);
  wait_for_borrow ();
  relay_abort (relays->running, "test");
  lender_answer (&loan);
  for (i = 0; i < 100; i++)
    uv_run (&loop, UV_RUN_NOWAIT);
  ck_assert_uint_eq (endpoints[0].requests, 0);
  ck_assert_uint_eq (endpoints[0].target->limit.borrower.tokens, 1);
  ck_assert_uint_eq (relays->counts.phase_errors, 0);
}
END_TEST

/* The endpoint names a limit after it was chosen: nothing is sent there
   without a token. */
START_TEST (test_connect_limit_named_after_the_choice)
{
  connect_answer_t answer;
  rt_target_t *target;
  size_t limited;

  endpoint_open (&endpoints[0], "a");
  endpoint_open (&endpoints[1], "b");
  lender_mode = LENDER_DENIES;
  target = send_until_chosen (&answer);
  limited = target == endpoints[0].target ? 0 : 1;
  gt_relays_apply_hints (
      relays, target, &(rt_hints_t){ .limited = RT_LIMIT_NAMED, .limit = 2 },
      EL_STR ("test"));
  answer_wait (&answer);
  ck_assert_int_eq (answer.status, 200);
  ck_assert_uint_eq (endpoints[limited].requests, 0);
  ck_assert_uint_eq (endpoints[1 - limited].requests, 1);
  ck_assert_uint_eq (relays->counts.withheld, 1);
}
END_TEST

/* The token of a request that was not sent is given back; one that was sent is
   spent. */
START_TEST (test_connect_token_of_an_unsent_request_is_given_back)
{
  co_borrower_t *borrower;

  limited_open (0, "a", "2");
  borrower = &endpoints[0].target->limit.borrower;
  lender_mode = LENDER_LENDS;
  if (_i)
    net_server_stop (endpoints[0].server);
  ck_assert_int_eq (request_status (), _i ? 503 : 200);
  ck_assert_uint_eq (borrower->tokens, (unsigned)_i);
  ck_assert_uint_eq (relays->counts.limit_returned, (unsigned)_i);
}
END_TEST

/* An answer without a limit lifts it, unless its request was sent before the
   limit was named. */
START_TEST (test_connect_late_answer_does_not_lift_the_limit)
{
  connect_answer_t answer;

  limited_open (0, "a", NULL);
  endpoints[0].target->limit.named = 0;
  lender_mode = LENDER_LENDS;
  send_until_chosen (&answer);
  relays->running->token_until = EL_TIME_NEVER;
  gt_relays_apply_hints (
      relays, endpoints[0].target,
      &(rt_hints_t){ .limited = RT_LIMIT_NAMED, .limit = 2 }, EL_STR ("test"));
  answer_wait (&answer);
  ck_assert_int_eq (answer.status, 200);
  ck_assert_int_eq (endpoints[0].target->limit.named, 1);
  ck_assert_int_eq (request_status (), 200);
  ck_assert_int_eq (endpoints[0].target->limit.named, 0);
}
END_TEST

/* The limit that an answer names applies to the next request. */
START_TEST (test_connect_limit_applies_from_the_first_answer)
{
  endpoint_open (&endpoints[0], "a");
  endpoints[0].limit = "0.5";
  borrows = 0;
  lender_mode = LENDER_DENIES;
  ck_assert_int_eq (request_status (), 200);
  ck_assert_uint_eq (borrows, 0);
  ck_assert_int_eq (request_status (), 503);
  ck_assert_uint_eq (borrows, 1);
  ck_assert_uint_eq (endpoints[0].requests, 1);
}
END_TEST

/* An engine names a limit that is not used up, but no engine holds the other
   layers: the request is refused at once, for that reason. */
START_TEST (test_connect_missing_layers_are_not_taken_for_a_limit)
{
  const rt_attrs_t attrs = { .id = EL_STR ("e"),
                             .born = 1,
                             .service = EL_STR ("llm"),
                             .address = EL_STR ("127.0.0.1:1"),
                             .hall = EL_STR ("h"),
                             .card = EL_STR ("half"),
                             .slots = 8,
                             .end = 4 };
  rt_target_t *engine = rt_fleet_update (relays->options.fleet, &attrs);
  connect_answer_t answer;

  lender_mode = LENDER_LENDS;
  gt_relays_apply_hints (
      relays, engine, &(rt_hints_t){ .limited = RT_LIMIT_NAMED, .limit = 2 },
      EL_STR ("test"));
  request_send_to (&answer, "/chat/x");
  answer_wait (&answer);
  ck_assert_int_eq (answer.status, 503);
  ck_assert_str_eq (answer.body, "no endpoint");
  ck_assert_uint_eq (relays->counts.limit_waits, 0);
}
END_TEST

Suite *
connect_suite (void)
{
  Suite *suite = suite_create ("connect");
  TCase *tcase = tcase_create ("connect");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, connect_setup, NULL);
  ADD_LOOP (tcase, test_connect_closed_endpoint_is_replaced, 3);
  ADD_LOOP (tcase, test_connect_closed_only_endpoint_is_refused, 3);
  ADD (tcase, test_connect_request_waits_for_a_token);
  ADD_LOOP (tcase, test_connect_request_without_a_token_goes_elsewhere, 2);
  ADD_LOOP (tcase, test_connect_request_waits_for_a_token_due_soon, 2);
  ADD (tcase, test_connect_refused_callers_return_one_after_the_other);
  ADD (tcase, test_connect_caller_leaves_while_waiting_for_a_token);
  ADD (tcase, test_connect_limit_named_after_the_choice);
  ADD_LOOP (tcase, test_connect_token_of_an_unsent_request_is_given_back, 2);
  ADD (tcase, test_connect_late_answer_does_not_lift_the_limit);
  ADD (tcase, test_connect_limit_applies_from_the_first_answer);
  ADD (tcase, test_connect_missing_layers_are_not_taken_for_a_limit);
  suite_add_tcase (suite, tcase);
  return suite;
}
