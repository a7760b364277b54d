/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of requests that a host which reaches no endpoint forwards to other
 * hosts. The host, the others and a caller run on one loop; the others answer
 * as the test says.
 */
#include <stdio.h>
#include <unistd.h>

#include "libgate.h"
#include "librelay.h"
#include "platform.h"
#include "test.h"

#define HOSTS 5
#define ITERATION_US 200
#define ITERATIONS_MAX 20000
#define NOBODY "127.0.0.1:1"

static const char rules_text[]
    = "{\"Version\":1,\"Routes\":["
      "{\"Name\":\"look\",\"Host\":\"rel.example\",\"PathPrefix\":\"/look/\","
      "\"RouteType\":\"safe\",\"TimeoutMs\":9000,\"MaxAttempts\":2,"
      "\"Service\":\"app\"},"
      "{\"Name\":\"pay\",\"Host\":\"rel.example\",\"PathPrefix\":\"/pay/\","
      "\"RouteType\":\"unsafe\",\"TimeoutMs\":9000,\"MaxAttempts\":1,"
      "\"Service\":\"app\"}],\"Services\":[{\"Name\":\"app\"}],"
      "\"Limits\":{}}";

/* How another host answers. */
typedef enum host_mode
{
  HOST_SERVES,
  HOST_UNSERVED, /* it can't serve callers now */
  HOST_BUSY,
  HOST_UNKNOWN_RULE,
  HOST_MAY_HAVE_RUN,
  HOST_PASSES_404, /* of an endpoint, without a seal */
  HOST_PASSES_503  /* the same */
} host_mode_t;

typedef struct other_host
{
  net_server_t *server;
  char address[32];
  host_mode_t mode;
  unsigned requests;
  char key[32];
  char forwarded[32];
  uint64_t time_left;
} other_host_t;

typedef struct response
{
  int done;
  int status;
  int unserved;
  int not_run;
  double retry_after;
} response_t;

static uv_loop_t loop;
static net_clock_t test_clock;
static net_client_t *callers;
static gt_relays_t *relays;
static other_host_t hosts[HOSTS];
static size_t nhosts;

static void
header_copy (h2o_req_t *req, const char *name, char *out, size_t size)
{
  el_str_t value = net_req_header (req, name);

  snprintf (out, size, "%.*s", (int)value.len, value.ptr ? value.ptr : "");
}

static void
host_handle (void *arg, h2o_req_t *req)
{
  static const int statuses[]
      = { [HOST_SERVES] = 200,       [HOST_UNSERVED] = 503,
          [HOST_BUSY] = 503,         [HOST_UNKNOWN_RULE] = 404,
          [HOST_MAY_HAVE_RUN] = 502, [HOST_PASSES_404] = 404,
          [HOST_PASSES_503] = 503 };
  other_host_t *host = arg;

  host->requests++;
  header_copy (req, "authorization", host->key, sizeof host->key);
  header_copy (req, "elmarch-forwarded", host->forwarded,
               sizeof host->forwarded);
  el_str_to_u64 (net_req_header (req, "x-elmarch-deadline-ms"),
                 &host->time_left);
  if (host->mode == HOST_SERVES)
    net_req_add_header (req, EL_STR ("x-elmarch-response-seal"), EL_STR ("s"));
  if (host->mode == HOST_UNSERVED || host->mode == HOST_BUSY
      || host->mode == HOST_UNKNOWN_RULE)
    net_req_add_header (req, EL_STR ("elmarch-not-run"), EL_STR ("1"));
  if (host->mode == HOST_UNSERVED)
    net_req_add_header (req, EL_STR ("elmarch-unserved"), EL_STR ("1"));
  if (host->mode == HOST_BUSY)
    net_req_add_header (req, EL_STR ("retry-after"), EL_STR ("0.700"));
  net_req_reply (req, statuses[host->mode], EL_STR ("text/plain"),
                 EL_STR ("answer"));
}

static void
visit_hosts (void *arg, gt_entry_host_cb visit, void *visit_arg)
{
  size_t i;

  (void)arg;
  for (i = 0; i < nhosts; i++)
    {
      const gt_entry_host_t host = { .address = el_str (hosts[i].address),
                                     .hall = EL_STR ("h"),
                                     .capacity = 1 };

      visit (visit_arg, &host);
    }
}

static int
is_live (void *arg, el_str_t address)
{
  (void)arg;
  (void)address;
  return 1;
}

static size_t
count_hosts (void *arg)
{
  (void)arg;
  return nhosts + 1;
}

static int
polls (void *arg)
{
  (void)arg;
  return 0;
}

/* Starts a relay whose only endpoint refuses connections, and N other hosts of
   a MODE. */
static void
forward_start (size_t n, host_mode_t mode)
{
  gt_relay_options_t options = { .clock = &test_clock,
                                 .dialect = &pf_relay,
                                 .listen = EL_STR ("127.0.0.1:0"),
                                 .hall = EL_STR ("h"),
                                 .key = EL_STR ("a key"),
                                 .max_body = 1024,
                                 .retry_window = 10 * EL_SEC,
                                 .hosts = count_hosts,
                                 .hall_hosts = count_hosts,
                                 .is_poller = polls,
                                 .entry_hosts = visit_hosts,
                                 .entry_is_live = is_live };
  const rt_attrs_t endpoint = { .id = EL_STR ("e"),
                                .born = 1,
                                .service = EL_STR ("app"),
                                .address = EL_STR (NOBODY),
                                .hall = EL_STR ("h"),
                                .slots = 8 };
  net_server_options_t server = { .loop = &loop,
                                  .address = EL_STR ("127.0.0.1:0"),
                                  .max_body = 1024,
                                  .handle = host_handle };
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
  rt_fleet_update (options.fleet, &endpoint);
  for (nhosts = 0; nhosts < n; nhosts++)
    {
      server.arg = &hosts[nhosts];
      hosts[nhosts].mode = mode;
      hosts[nhosts].server = net_server_new (&server, &err);
      ck_assert_ptr_nonnull (hosts[nhosts].server);
      snprintf (hosts[nhosts].address, sizeof hosts->address, "127.0.0.1:%u",
                net_server_port (hosts[nhosts].server));
    }
}

static unsigned
requests_total (void)
{
  unsigned total = 0;
  size_t i;

  for (i = 0; i < nhosts; i++)
    total += hosts[i].requests;
  return total;
}

static void
response_done (void *arg, const net_result_t *result)
{
  response_t *response = arg;
  el_str_t after = net_result_header (result, "retry-after");

  response->done = 1;
  response->status = result->status;
  response->unserved = net_result_header (result, "elmarch-unserved").len > 0;
  response->not_run = net_result_header (result, "elmarch-not-run").len > 0;
  if (after.len)
    response->retry_after = strtod (after.ptr, NULL);
}

/* Sends a request as a caller. FORWARDED: as another host would; may be
   NULL. */
static response_t
send_to_relay (const char *method, const char *path, const char *forwarded)
{
  const net_header_t headers[]
      = { { EL_STR ("x-elmarch-request-id"), EL_STR ("r1") },
          { EL_STR ("authorization"), EL_STR ("Bearer a-key") },
          { EL_STR ("elmarch-forwarded"), el_str (forwarded) } };
  response_t response = { 0 };
  char address[32];
  net_request_t request = { .host = EL_STR ("rel.example"),
                            .method = el_str (method),
                            .path = el_str (path),
                            .headers = headers,
                            .nheaders = forwarded ? 3 : 2,
                            .done = response_done,
                            .arg = &response };
  int i;

  snprintf (address, sizeof address, "127.0.0.1:%u",
            net_server_port (relays->server));
  request.address = el_str (address);
  net_client_send (callers, &request);
  for (i = 0; i < ITERATIONS_MAX && !response.done; i++)
    {
      uv_run (&loop, UV_RUN_NOWAIT);
      usleep (ITERATION_US);
    }
  ck_assert_int_eq (response.done, 1);
  return response;
}

/* Five hosts can't serve: three are asked for a request, the two others for
   the next one, and none for a third one soon after. A first request, while no
   other host is known, shows that the endpoint is not reached. */
START_TEST (test_forward_asks_three_hosts_at_most)
{
  static const unsigned asked[] = { 3, 5, 5 };
  response_t response;
  size_t i;

  forward_start (HOSTS, HOST_UNSERVED);
  nhosts = 0;
  ck_assert_int_eq (send_to_relay ("POST", "/pay/x", NULL).status, 503);
  nhosts = HOSTS;
  for (i = 0; i < sizeof asked / sizeof *asked; i++)
    {
      response = send_to_relay ("POST", "/pay/x", NULL);
      ck_assert_int_eq (response.status, 503);
      ck_assert (response.retry_after > 0);
      ck_assert_uint_eq (requests_total (), asked[i]);
    }
  for (i = 0; i < HOSTS; i++)
    ck_assert_uint_eq (hosts[i].requests, 1);
}
END_TEST

START_TEST (test_forward_goes_on_to_a_host_that_serves)
{
  forward_start (3, HOST_SERVES);
  hosts[0].mode = HOST_UNSERVED;
  hosts[1].mode = HOST_UNKNOWN_RULE;
  ck_assert_int_eq (send_to_relay ("POST", "/pay/x", NULL).status, 200);
  ck_assert_uint_eq (hosts[2].requests, 1);
}
END_TEST

/* A host that reaches the endpoints and has none to spare: others are as
   busy. */
START_TEST (test_forward_passes_a_refusal_on)
{
  response_t response;

  forward_start (3, HOST_BUSY);
  response = send_to_relay ("GET", "/look/x", NULL);
  ck_assert_int_eq (response.status, 503);
  ck_assert (response.retry_after > 0.69 && response.retry_after < 0.71);
  ck_assert_uint_eq (requests_total (), 1);
}
END_TEST

START_TEST (test_forward_does_not_repeat_what_may_have_run)
{
  static const host_mode_t modes[]
      = { HOST_MAY_HAVE_RUN, HOST_PASSES_404, HOST_PASSES_503 };

  forward_start (3, modes[_i]);
  ck_assert_int_eq (send_to_relay ("POST", "/pay/x", NULL).status, 502);
  ck_assert_uint_eq (requests_total (), 1);
}
END_TEST

START_TEST (test_forward_hands_on_key_time_and_attempts)
{
  forward_start (1, HOST_SERVES);
  ck_assert_int_eq (send_to_relay ("GET", "/look/x", NULL).status, 200);
  ck_assert_str_eq (hosts[0].key, "Bearer a-key");
  ck_assert_str_eq (hosts[0].forwarded, "0");
  ck_assert (hosts[0].time_left > 0 && hosts[0].time_left <= 9000);
}
END_TEST

/* A request that was forwarded once goes no further, whoever says that it
   was. */
START_TEST (test_forward_is_one_hop)
{
  response_t response;

  forward_start (3, HOST_SERVES);
  response = send_to_relay ("GET", "/look/x", "0");
  ck_assert_int_eq (response.status, 503);
  ck_assert_int_eq (response.unserved, 1);
  ck_assert_int_eq (response.not_run, 1);
  ck_assert_uint_eq (requests_total (), 0);
  ck_assert_uint_eq (relays->counts.for_host, 1);
}
END_TEST

Suite *
forward_suite (void)
{
  Suite *suite = suite_create ("forward");
  TCase *tcase = tcase_create ("forward");

  ADD (tcase, test_forward_asks_three_hosts_at_most);
  ADD (tcase, test_forward_goes_on_to_a_host_that_serves);
  ADD (tcase, test_forward_passes_a_refusal_on);
  ADD_LOOP (tcase, test_forward_does_not_repeat_what_may_have_run, 3);
  ADD (tcase, test_forward_hands_on_key_time_and_attempts);
  ADD (tcase, test_forward_is_one_hop);
  suite_add_tcase (suite, tcase);
  return suite;
}
