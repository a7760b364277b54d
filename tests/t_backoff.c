/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of endpoints that request a backoff, or announce in their responses
 * that they are leaving, with real processes. The endpoints count the
 * requests that arrive nevertheless.
 *
 * An engine with the first layers refused requests and asked each host for
 * a backoff of three seconds. The hosts continued to send to it: in 6 s it
 * refused 102 requests of seven hosts, 70 of them later than half a second
 * after the host was asked and before the end of its backoff. Log lines of
 * one host:
 *
 *   6.0754 event=attempt_failed endpoint=i-0762f0bff0 status=503 attempt=1
 *   6.2355 event=attempt_failed endpoint=i-0762f0bff0 status=503 attempt=1
 *   7.0104 event=attempt_failed endpoint=i-0762f0bff0 status=503 attempt=1
 *
 * No code read the time in the responses, so hosts kept no record of the
 * backoff. A refusal made a host avoid the engine for 100 ms, whatever time
 * it requested, and each of the hundreds of running streams that completed
 * there ended even that: one host was refused at 6.7184 and again at 6.7642,
 * with two completed streams in between. Leaving endpoints were known only
 * from their registrations in the store, although they announce it in every
 * response.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "site.h"
#include "test.h"

/* Number of requests through the hosts in turn; they take far less time than a
   backoff. */
#define REQUESTS 80
#define STREAMS 40
/* Polls that take much longer than the delay until a failed order is retried.
 */
#define ORDER_STEPS 800
/* Far longer than the requests of a test take. */
#define LONG_BACKOFF                                                          \
  "{\"kinds\":[\"requests\"],\"status\":503,\"asked\":[\"60\"],"              \
  "\"span_ms\":60000}"

static void
backoff_set (const proc_t *member, const char *json)
{
  reply_t reply;

  http_request ("POST", member->address, "/rest", json, NULL, &reply);
  ck_assert_int_eq (reply.status, 204);
  reply_free (&reply);
}

/* Number of arrivals of KIND at a member, as counted under NAME. */
static int64_t
arrival_count (const proc_t *member, const char *kind, const char *name)
{
  json_t *json = http_get_json (member->address, "/rests");
  int64_t count = json_integer_value (
      json_object_get (json_object_get (json, kind), name));

  json_decref (json);
  return count;
}

static int64_t
backoff_count (const proc_t *member)
{
  json_t *json = http_get_json (member->address, "/rests");
  int64_t count = json_integer_value (json_object_get (json, "rests"));

  json_decref (json);
  return count;
}

/* Sends requests through the hosts in turn. All must be served. */
static void
send_requests (void)
{
  char id[16];
  reply_t reply;
  size_t i;

  for (i = 0; i < REQUESTS; i++)
    {
      snprintf (id, sizeof id, "a%zu", i);
      send_request (i % site.nhosts, "GET", "/look/x", id, &reply);
      ck_assert_int_eq (reply.status, 200);
      reply_free (&reply);
      poll_sleep ();
    }
}

/* Slows the second worker down, and sends requests until the hosts prefer the
   first one. */
static void
prefer_first_worker (void)
{
  set_fault (&site.workers[1], "{\"fault\":\"slow\",\"delay_ms\":10}");
  send_requests ();
}

/* Runs streams through the hosts in turn. All must be complete. */
static void
send_streams (void)
{
  caller_t caller;
  char id[16];
  size_t i;

  for (i = 0; i < STREAMS; i++)
    {
      snprintf (id, sizeof id, "s%zu", i);
      stream_start (&caller, i % site.nhosts, id);
      caller_join (&caller);
      assert_stream_complete (&caller.reply);
      reply_free (&caller.reply);
    }
}

/* A worker, then an engine, asks each of two hosts once for a backoff: no
   requests of callers arrive there from these hosts until it expires. */
START_TEST (test_endpoint_in_backoff_gets_no_requests)
{
  const proc_t *member;

  site.step_us = "1000";
  site_start (2);
  prefer_first_worker ();
  member = _i == 0 ? &site.workers[0] : site_engine_with_first_layers ();
  backoff_set (member, LONG_BACKOFF);
  if (_i == 0)
    send_requests ();
  else
    send_streams ();
  ck_assert_int_gt (backoff_count (member), 0);
  ck_assert_int_eq (arrival_count (member, "requests", "in_rest"), 0);
}
END_TEST

/* All workers request a backoff: new requests are refused at once, with the
   time until the first backoff expires, and nothing arrives at the workers. */
START_TEST (test_callers_are_told_the_backoff_of_all_endpoints)
{
  char header[64];
  char id[16];
  reply_t reply;
  size_t i;

  site_start (1);
  backoff_set (&site.workers[0], LONG_BACKOFF);
  backoff_set (&site.workers[1], "{\"kinds\":[\"requests\"],\"status\":503,"
                                 "\"asked\":[\"7.5\"],\"span_ms\":7500}");
  for (i = 0; i < 10; i++)
    {
      snprintf (id, sizeof id, "r%zu", i);
      send_request (0, i % 2 ? "GET" : "POST", i % 2 ? "/look/x" : "/pay/x",
                    id, &reply);
      ck_assert_int_eq (reply.status, 503);
      ck_assert_str_eq (reply.body.ptr, "all endpoints rest");
      reply_header (&reply, "retry-after", header, sizeof header);
      ck_assert (strtod (header, NULL) > 1);
      ck_assert (strtod (header, NULL) < 7.5 * 1.1 * 1.25);
      reply_free (&reply);
    }
  for (i = 0; i < 2; i++)
    {
      ck_assert_int_eq (arrival_count (&site.workers[i], "requests", "all"),
                        1);
      ck_assert_int_eq (
          arrival_count (&site.workers[i], "requests", "in_rest"), 0);
    }
  ck_assert_uint_eq (
      metric_value (&site.hosts[0], "elmarch_relay_rested_total"), 10);
  ck_assert_uint_eq (
      metric_value (&site.hosts[0], "elmarch_relay_rests_total"), 2);
}
END_TEST

/* An endpoint receives requests again after its backoff. */
START_TEST (test_endpoint_gets_requests_after_backoff)
{
  const proc_t *member = &site.workers[0];
  char id[16];
  reply_t reply;
  int64_t before;
  int i;

  site_start (1);
  prefer_first_worker ();
  backoff_set (member, "{\"kinds\":[\"requests\"],\"status\":503,"
                       "\"asked\":[\"1\"],\"span_ms\":1000}");
  send_requests ();
  ck_assert_int_gt (backoff_count (member), 0);
  backoff_set (member, "{}");
  before = member_value (member, "runs");
  for (i = 0; i < WAIT_STEPS_MAX && member_value (member, "runs") == before;
       i++)
    {
      snprintf (id, sizeof id, "w%d", i);
      send_request (0, "GET", "/look/x", id, &reply);
      ck_assert_int_eq (reply.status, 200);
      reply_free (&reply);
    }
  ck_assert_int_gt (member_value (member, "runs"), before);
  ck_assert_int_eq (arrival_count (member, "requests", "in_rest"), 0);
}
END_TEST

/* A stream's engine crashes while the other engine with the first layers is in
   backoff: the stream waits for the end of the backoff, as its caller has
   already received a part. */
START_TEST (test_running_stream_waits_for_end_of_backoff)
{
  const proc_t *other = NULL;
  caller_t first;
  caller_t second;
  size_t i;

  site.step_us = "20000";
  site_start (1);
  stream_start (&first, 0, "s1");
  caller_wait_body (&first, 60);
  for (i = 0; i < SITE_ENGINES; i++)
    if (member_value (&site.engines[i], "first") == 0
        && !member_value (&site.engines[i], "runs"))
      other = &site.engines[i];
  ck_assert_ptr_nonnull (other);
  backoff_set (other, "{\"kinds\":[\"requests\"],\"status\":503,"
                      "\"asked\":[\"1\"],\"span_ms\":1000}");
  for (i = 0; i < SITE_ENGINES; i++)
    if (member_value (&site.engines[i], "runs"))
      proc_kill (&site.engines[i]);
  metric_wait_min (&site.hosts[0], "elmarch_relay_waits_total", 1);
  backoff_set (other, "{}");
  caller_join (&first);
  assert_stream_complete (&first.reply);
  reply_free (&first.reply);
  ck_assert_int_eq (arrival_count (other, "requests", "in_rest"), 0);
  stream_start (&second, 0, "s2");
  caller_join (&second);
  assert_stream_complete (&second.reply);
  reply_free (&second.reply);
}
END_TEST

/* The chain of the last request that used ENGINE as its first engine. */
static json_t *
last_chain (const proc_t *engine)
{
  json_t *seen = http_get_json (engine->address, "/seen");
  json_t *chain = json_incref (json_object_get (seen, "path"));

  json_decref (seen);
  return chain;
}

/* Runs streams, and returns an engine that was the first of a chain. */
static const proc_t *
first_engine_of_chain (void)
{
  json_t *chain;
  size_t i;

  send_streams ();
  for (i = 0; i < SITE_ENGINES; i++)
    {
      chain = last_chain (&site.engines[i]);
      json_decref (chain);
      if (chain)
        return &site.engines[i];
    }
  ck_abort_msg ("no engine was the first of a chain");
  return NULL;
}

/* An engine after FIRST in the chain of the last stream that began there. */
static const proc_t *
later_engine_of_chain (const proc_t *first)
{
  json_t *chain = last_chain (first);
  const proc_t *last = NULL;
  size_t i;

  for (i = 0; i < SITE_ENGINES; i++)
    if (&site.engines[i] != first
        && strstr (json_string_value (chain), site.engines[i].address))
      last = &site.engines[i];
  json_decref (chain);
  ck_assert_ptr_nonnull (last);
  return last;
}

/* Whether the last request that began at AT was ID and used ENGINE. */
static int
last_request_used (const proc_t *at, const char *id, const proc_t *engine)
{
  json_t *seen = http_get_json (at->address, "/seen");
  const char *last
      = json_string_value (json_object_get (seen, "x-elmarch-request-id"));
  const char *chain = json_string_value (json_object_get (seen, "path"));
  int used = last && chain && strcmp (last, id) == 0
             && strstr (chain, engine->address) != NULL;

  json_decref (seen);
  return used;
}

/* New streams must be served without ENGINE. */
static void
assert_streams_avoid (const proc_t *engine)
{
  char id[16];
  caller_t caller;
  size_t i;
  size_t k;

  for (i = 0; i < STREAMS; i++)
    {
      snprintf (id, sizeof id, "b%zu", i);
      stream_start (&caller, 0, id);
      caller_join (&caller);
      assert_stream_complete (&caller.reply);
      reply_free (&caller.reply);
      for (k = 0; k < SITE_ENGINES; k++)
        ck_assert (!last_request_used (&site.engines[k], id, engine));
    }
}

/* A refusal names another engine of the chain as the one at fault, and does
   not say which of the two requests the backoff: no stream uses either of
   them. */
START_TEST (test_backoff_of_a_later_engine_of_the_chain)
{
  const proc_t *first;
  const proc_t *named;
  char text[160];

  site.step_us = "1000";
  site_start (1);
  first = first_engine_of_chain ();
  named = later_engine_of_chain (first);
  snprintf (text, sizeof text,
            "{\"kinds\":[\"requests\"],\"status\":503,\"asked\":[\"60\"],"
            "\"span_ms\":60000,\"at\":\"%s\"}",
            named->address);
  backoff_set (first, text);
  send_streams ();
  ck_assert_int_gt (backoff_count (first), 0);
  ck_assert_int_eq (arrival_count (first, "requests", "in_rest"), 0);
  assert_streams_avoid (named);
}
END_TEST

/* A load report is refused with a backoff: callers' requests are held back as
   well, and so are further reports. */
START_TEST (test_backoff_in_a_report_response)
{
  const proc_t *member;
  int64_t all;

  site.step_us = "1000";
  site_start (1);
  member = site_engine_with_first_layers ();
  backoff_set (member, "{\"kinds\":[\"reports\"],\"status\":503,"
                       "\"asked\":[\"60\"],\"span_ms\":60000}");
  metric_wait_min (&site.hosts[0], "elmarch_relay_rests_total", 1);
  all = arrival_count (member, "requests", "all");
  send_streams ();
  ck_assert_int_eq (arrival_count (member, "requests", "all"), all);
  ck_assert_int_eq (arrival_count (member, "reports", "in_rest"), 0);
}
END_TEST

/* An empty engine refuses its first order with a backoff: it receives no other
   order until the backoff expires, and the other engines with the same card
   receive theirs. */
START_TEST (test_backoff_in_an_order_response)
{
  int i;

  site_start_unplaced (1);
  backoff_set (&site.engines[0], "{\"kinds\":[\"orders\"],\"status\":503,"
                                 "\"asked\":[\"60\"],\"span_ms\":60000}");
  metric_wait_min (&site.hosts[0], "elmarch_relay_rests_total", 1);
  metric_wait_min (&site.hosts[0], "elmarch_engines_placed", SITE_ENGINES - 1);
  for (i = 0; i < ORDER_STEPS; i++)
    poll_sleep ();
  ck_assert_int_eq (arrival_count (&site.engines[0], "orders", "all"), 1);
  ck_assert_int_eq (arrival_count (&site.engines[0], "orders", "in_rest"), 0);
}
END_TEST

/* Sends requests through HOST until it learns that an endpoint is leaving. */
static void
send_until_leaving (size_t host)
{
  char id[16];
  reply_t reply;
  int i;

  for (i = 0; !metric_value (&site.hosts[host], "elmarch_relay_leaves_total");
       i++)
    {
      ck_assert_int_lt (i, WAIT_STEPS_MAX);
      snprintf (id, sizeof id, "u%d", i);
      send_request (host, "GET", "/look/x", id, &reply);
      ck_assert_int_eq (reply.status, 200);
      reply_free (&reply);
    }
}

/* An endpoint announces in its responses, but not in its registration, that it
   is leaving: it receives no new requests. */
START_TEST (test_endpoint_that_announces_leaving_gets_no_new_requests)
{
  const proc_t *member;

  site.step_us = "1000";
  site_start (2);
  prefer_first_worker ();
  member = _i == 0 ? &site.workers[0] : site_engine_with_first_layers ();
  backoff_set (member, "{\"leaving\":true}");
  if (_i == 0)
    send_requests ();
  else
    send_streams ();
  ck_assert_int_gt (arrival_count (member, "requests", "all"), 0);
  ck_assert_int_eq (arrival_count (member, "requests", "after_leaving"), 0);
}
END_TEST

/* One host learns from a response that an endpoint is leaving: the other host
   avoids it before it receives such a response, and so does a host that starts
   later. */
START_TEST (test_announced_leaving_is_known_to_other_hosts)
{
  const proc_t *member = &site.workers[0];
  int64_t all;
  size_t i;

  site_start (2);
  prefer_first_worker ();
  backoff_set (member, "{\"leaving\":true}");
  send_until_leaving (0);
  metric_wait_value (&site.hosts[1], "elmarch_endpoints_leaving", 1);
  all = arrival_count (member, "requests", "all");
  send_requests ();
  proc_end (&site.hosts[1], SIGKILL);
  site_host_start (1);
  metric_wait_value (&site.hosts[1], "elmarch_endpoints_leaving", 1);
  for (i = 0; i < 2; i++)
    send_requests ();
  ck_assert_int_eq (arrival_count (member, "requests", "all"), all);
}
END_TEST

/* A host that can't reach the store still avoids an endpoint that has
   announced in a response that it is leaving. */
START_TEST (test_announced_leaving_is_kept_without_the_store)
{
  const proc_t *member = &site.workers[0];
  char id[16];
  reply_t reply;
  int64_t all;
  size_t i;

  site_start (1);
  prefer_first_worker ();
  site_store_mute (1);
  backoff_set (member, "{\"leaving\":true}");
  send_until_leaving (0);
  all = arrival_count (member, "requests", "all");
  for (i = 0; i < 20; i++)
    {
      snprintf (id, sizeof id, "c%zu", i);
      send_request (0, "POST", "/pay/x", id, &reply);
      reply_free (&reply);
    }
  ck_assert_int_eq (arrival_count (member, "requests", "all"), all);
  site_store_mute (0);
}
END_TEST

/* An endpoint that restarts with the same id is no longer leaving. */
START_TEST (test_leaving_endpoint_gets_requests_after_restart)
{
  int64_t runs;
  int i;

  site.keep_ids = 1;
  site_start (1);
  prefer_first_worker ();
  backoff_set (&site.workers[0], "{\"leaving\":true}");
  send_until_leaving (0);
  proc_end (&site.workers[0], SIGKILL);
  site_worker_start (0);
  metric_wait_value (&site.hosts[0], "elmarch_endpoints_leaving", 0);
  runs = member_value (&site.workers[0], "runs");
  for (i = 0; i < 10 && member_value (&site.workers[0], "runs") == runs; i++)
    send_requests ();
  ck_assert_int_gt (member_value (&site.workers[0], "runs"), runs);
}
END_TEST

/* A running stream completes on its engine after the engine has announced that
   it is leaving. */
START_TEST (test_stream_completes_on_leaving_engine)
{
  const proc_t *member = NULL;
  caller_t caller;
  size_t i;

  site.step_us = "20000";
  site_start (1);
  stream_start (&caller, 0, "s1");
  caller_wait_body (&caller, 60);
  for (i = 0; i < SITE_ENGINES; i++)
    if (member_value (&site.engines[i], "runs"))
      member = &site.engines[i];
  ck_assert_ptr_nonnull (member);
  backoff_set (member, "{\"leaving\":true}");
  metric_wait_min (&site.hosts[0], "elmarch_relay_leaves_total", 1);
  caller_join (&caller);
  assert_stream_complete (&caller.reply);
  reply_free (&caller.reply);
  send_streams ();
  ck_assert_int_eq (member_value (member, "runs"), 1);
  ck_assert_uint_eq (
      metric_value (&site.hosts[0], "elmarch_relay_rerouted_total"), 0);
}
END_TEST

/* The session and service APIs: a worker that refuses a call, and an engine
   that refuses a stage, with a backoff receive nothing until it expires. When
   both workers are in backoff, the caller is told for how long. */
START_TEST (test_backoff_is_kept_by_session_and_service_apis)
{
  static const char *const busy
      = "{\"fault\":\"busy\",\"times\":1,\"delay_ms\":60000}";
  char *body = chat_body (PROMPT, 1, MAX_TOKENS, NULL, 0);
  char header[64];
  char id[16];
  reply_t reply;
  size_t i;

  cluster_start (&fixture, 1);
  set_fault (&fixture.workers[0], busy);
  set_fault (&fixture.engines[0][1], busy);
  for (i = 0; i < STREAMS; i++)
    {
      snprintf (id, sizeof id, "p%zu", i);
      send_payment (0, id, NULL, &reply);
      assert_verdict (&reply, 200, "ran");
      reply_free (&reply);
      http_request ("POST", fixture.hosts[0].address, CHAT_PATH, body, NULL,
                    &reply);
      assert_chat_stream (&reply, 0);
      reply_free (&reply);
    }
  free (body);
  ck_assert_uint_eq (metric_value (&fixture.hosts[0], "elmarch_rests_total"),
                     2);
  ck_assert_uint_eq (metric_value (&fixture.hosts[0], "elmarch_retries_total"),
                     2);
  for (i = 0; i < STREAMS; i++)
    {
      snprintf (id, sizeof id, "p%zu", i);
      ck_assert_int_eq (payment_runs (&fixture.workers[0], id), 0);
    }
  set_fault (&fixture.workers[1], busy);
  send_payment (0, "q", NULL, &reply);
  assert_verdict (&reply, 503, "not-run");
  reply_header (&reply, "retry-after", header, sizeof header);
  ck_assert (strtod (header, NULL) > 30);
  reply_free (&reply);
}
END_TEST

/* A session's call arrives at another host than its home, which refuses it as
   all endpoints are in backoff: the caller is still told for how long. */
START_TEST (test_retry_after_is_forwarded_by_another_host)
{
  static const char *const busy
      = "{\"fault\":\"busy\",\"times\":1,\"delay_ms\":60000}";
  char session[640];
  const char *headers[] = { session, "x-elmarch-sequence: 1", NULL };
  char header[64];
  reply_t reply;
  size_t i;

  cluster_start (&fixture, 2);
  session_open (&fixture.hosts[0], session, sizeof session);
  for (i = 0; i < 2; i++)
    set_fault (&fixture.workers[i], busy);
  send_payment (1, "t1", headers, &reply);
  assert_verdict (&reply, 503, "not-run");
  reply_header (&reply, "retry-after", header, sizeof header);
  ck_assert (strtod (header, NULL) > 30);
  reply_free (&reply);
  ck_assert_uint_eq (
      metric_value (&fixture.hosts[1], "elmarch_forwarded_total"), 1);
}
END_TEST

Suite *
backoff_suite (void)
{
  Suite *suite = suite_create ("backoff");
  TCase *tcase = tcase_create ("backoff");

  tcase_set_timeout (tcase, 90);
  tcase_add_checked_fixture (tcase, site_setup, site_teardown);
  ADD_LOOP (tcase, test_endpoint_in_backoff_gets_no_requests, 2);
  ADD (tcase, test_callers_are_told_the_backoff_of_all_endpoints);
  ADD (tcase, test_endpoint_gets_requests_after_backoff);
  ADD (tcase, test_running_stream_waits_for_end_of_backoff);
  ADD (tcase, test_backoff_of_a_later_engine_of_the_chain);
  ADD (tcase, test_backoff_in_a_report_response);
  ADD (tcase, test_backoff_in_an_order_response);
  ADD_LOOP (tcase, test_endpoint_that_announces_leaving_gets_no_new_requests,
            2);
  ADD (tcase, test_announced_leaving_is_known_to_other_hosts);
  ADD (tcase, test_announced_leaving_is_kept_without_the_store);
  ADD (tcase, test_leaving_endpoint_gets_requests_after_restart);
  ADD (tcase, test_stream_completes_on_leaving_engine);
  suite_add_tcase (suite, tcase);
  tcase = tcase_create ("apis");
  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, cluster_setup, cluster_teardown);
  ADD (tcase, test_backoff_is_kept_by_session_and_service_apis);
  ADD (tcase, test_retry_after_is_forwarded_by_another_host);
  suite_add_tcase (suite, tcase);
  return suite;
}
