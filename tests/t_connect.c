/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of requests whose endpoint stops accepting new requests after it was
 * chosen and before the request is sent. The relay, its endpoints and a caller
 * run on one loop, so that the test controls what happens in between.
 */
#include <stdio.h>
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
      "\"MaxAttempts\":2,\"Service\":\"app\"}],"
      "\"Services\":[{\"Name\":\"app\"}],\"Limits\":{}}";

typedef struct connect_endpoint
{
  net_server_t *server;
  rt_target_t *target;
  unsigned requests;
} connect_endpoint_t;

typedef struct connect_answer
{
  int done;
  int status;
  char body[64];
} connect_answer_t;

static uv_loop_t loop;
static net_clock_t test_clock;
static net_client_t *callers;
static gt_relays_t *relays;
static connect_endpoint_t endpoints[ENDPOINTS];

static void
endpoint_handle (void *arg, h2o_req_t *req)
{
  connect_endpoint_t *endpoint = arg;

  endpoint->requests++;
  net_req_add_header (req, EL_STR ("x-elmarch-request-id"),
                      net_req_header (req, "x-elmarch-request-id"));
  net_req_add_header (req, EL_STR ("x-elmarch-response-seal"), EL_STR ("s"));
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
                                 .is_poller = is_no_poller };
  el_err_t err;

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
}

/* Send a request, and stop once an endpoint is chosen for it and the
   connection to it is being established. */
static rt_target_t *
send_until_chosen (connect_answer_t *answer)
{
  static const net_header_t headers[]
      = { { EL_STR ("x-elmarch-request-id"), EL_STR ("r1") } };
  char address[32];
  const net_request_t send = { .address = { address, 0 },
                               .host = EL_STR ("rel.example"),
                               .method = EL_STR ("GET"),
                               .path = EL_STR ("/look/x"),
                               .headers = headers,
                               .nheaders = 1,
                               .timeout = REQUEST_TIMEOUT,
                               .done = answer_done,
                               .arg = answer };
  net_request_t request = send;
  int i;

  snprintf (address, sizeof address, "127.0.0.1:%u",
            net_server_port (relays->server));
  request.address = el_str (address);
  memset (answer, 0, sizeof *answer);
  net_client_send (callers, &request);
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

Suite *
connect_suite (void)
{
  Suite *suite = suite_create ("connect");
  TCase *tcase = tcase_create ("connect");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, connect_setup, NULL);
  ADD_LOOP (tcase, test_connect_closed_endpoint_is_replaced, 3);
  ADD_LOOP (tcase, test_connect_closed_only_endpoint_is_refused, 3);
  suite_add_tcase (suite, tcase);
  return suite;
}
