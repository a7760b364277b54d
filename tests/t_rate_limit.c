/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of endpoints that name in their answers how many requests a second
 * they take from all hosts together, with real processes. The endpoints count
 * what arrives.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "site.h"
#include "test.h"

/* Far below what the hosts send without a limit, and below it even if each
   host kept to all of the limit alone. */
#define LIMIT "{\"limit\":\"2\"}"
#define LIMIT_RATE 2
/* Beyond the time after which the endpoint counts, by more than the window in
   which it counts. */
#define LOAD_TIME_MS 9000
#define REQUEST_GAP_MS 25

static void
limit_set (const proc_t *member, const char *json)
{
  reply_t reply;

  http_request ("POST", member->address, "/limit", json, NULL, &reply);
  ck_assert_int_eq (reply.status, 204);
  reply_free (&reply);
}

static int64_t
limit_count (const proc_t *member, const char *name)
{
  json_t *json = http_get_json (member->address, "/limit");
  int64_t count = json_integer_value (json_object_get (json, name));

  json_decref (json);
  return count;
}

/* Makes the hosts prefer the first worker. */
static void
slow_second_worker (void)
{
  set_fault (&site.workers[1], "{\"fault\":\"slow\",\"delay_ms\":10}");
}

static double
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec * 1000 + (double)now.tv_nsec / 1e6;
}

static void
wait_ms (double until)
{
  while (now_ms () < until)
    poll_sleep ();
}

/* Sends plain requests through NHOSTS hosts in turn, from host FIRST on, for
   some time. Returns how many were served; the others must be refused as not
   run, with the time after which to return. */
static unsigned
send_requests (size_t first, size_t nhosts, double duration_ms)
{
  double from = now_ms ();
  unsigned served = 0;
  char header[64];
  char id[32];
  reply_t reply;
  unsigned i;

  for (i = 0; now_ms () < from + duration_ms; i++)
    {
      snprintf (id, sizeof id, "l%u-%.0f", i, from);
      send_request ((first + i % nhosts) % site.nhosts, i % 2 ? "GET" : "POST",
                    i % 2 ? "/look/x" : "/pay/x", id, &reply);
      served += reply.status == 200;
      if (reply.status != 200)
        {
          ck_assert_int_eq (reply.status, 503);
          ck_assert_str_eq (reply.body.ptr,
                            "all endpoints are at their limits");
          reply_header (&reply, "retry-after", header, sizeof header);
          ck_assert (strtod (header, NULL) > 0);
        }
      reply_free (&reply);
      wait_ms (from + (i + 1) * REQUEST_GAP_MS);
    }
  return served;
}

/* Sends plain requests through the hosts in turn for some time. All must be
   served. */
static void
load_requests (double duration_ms)
{
  uint64_t refused = 0;
  size_t i;

  send_requests (0, site.nhosts, duration_ms);
  for (i = 0; i < site.nhosts; i++)
    refused += metric_value (&site.hosts[i], "elmarch_relay_refused_total");
  ck_assert_uint_eq (refused, 0);
}

/* Runs streams through the hosts in turn for some time. All must be
   complete. */
static void
load_streams (double duration_ms)
{
  double from = now_ms ();
  caller_t caller;
  char id[32];
  unsigned i;

  for (i = 0; now_ms () < from + duration_ms; i++)
    {
      snprintf (id, sizeof id, "c%u", i);
      stream_start (&caller, i % site.nhosts, id);
      caller_join (&caller);
      assert_stream_complete (&caller.reply);
      reply_free (&caller.reply);
    }
}

/* An endpoint names a limit: all hosts together send it no more, while another
   endpoint serves the rest, and use what the limit allows. */
START_TEST (test_hosts_together_keep_to_the_limit_of_an_endpoint)
{
  const proc_t *member;

  site.step_us = "500";
  site_start (SITE_HOSTS);
  slow_second_worker ();
  member = _i == 0 ? &site.workers[0] : site_engine_with_first_layers ();
  limit_set (member, LIMIT);
  if (_i == 0)
    load_requests (LOAD_TIME_MS);
  else
    load_streams (LOAD_TIME_MS);
  ck_assert_int_eq (limit_count (member, "over"), 0);
  ck_assert_int_gt (limit_count (member, "all"),
                    LIMIT_RATE * LOAD_TIME_MS / 1000 / 2);
}
END_TEST

/* All endpoints of a service name limits: what is beyond them is refused as
   not run, with a time, and the limits are used. */
START_TEST (test_requests_beyond_all_limits_are_refused)
{
  unsigned served;
  size_t i;

  site_start (SITE_HOSTS);
  for (i = 0; i < SITE_WORKERS; i++)
    limit_set (&site.workers[i], LIMIT);
  served = send_requests (0, SITE_HOSTS, LOAD_TIME_MS);
  for (i = 0; i < SITE_WORKERS; i++)
    ck_assert_int_eq (limit_count (&site.workers[i], "over"), 0);
  ck_assert_uint_gt (served,
                     SITE_WORKERS * LIMIT_RATE * LOAD_TIME_MS / 1000 * 3 / 4);
  for (i = 0; i < SITE_HOSTS; i++)
    ck_assert_uint_eq (
        metric_value (&site.hosts[i], "elmarch_relay_over_limit_total"), 0);
}
END_TEST

/* One host is told of a limit: the others know it before they send
   anything. */
START_TEST (test_limit_is_known_to_other_hosts)
{
  const proc_t *member = &site.workers[0];
  char id[32];
  reply_t reply;
  size_t i;

  site_start (SITE_HOSTS);
  slow_second_worker ();
  limit_set (member, LIMIT);
  for (i = 0; limit_count (member, "all") == 0; i++)
    {
      snprintf (id, sizeof id, "k%zu", i);
      send_request (0, "GET", "/look/x", id, &reply);
      reply_free (&reply);
    }
  for (i = 1; i < SITE_HOSTS; i++)
    metric_wait_value (&site.hosts[i], "elmarch_relay_limits_total", 1);
  limit_set (member, "{}");
  for (i = 0; i < 100; i++)
    {
      snprintf (id, sizeof id, "e%zu", i);
      send_request (0, "GET", "/look/x", id, &reply);
      ck_assert_int_eq (reply.status, 200);
      reply_free (&reply);
      wait_ms (now_ms () + REQUEST_GAP_MS);
    }
  for (i = 0; i < SITE_HOSTS; i++)
    metric_wait_value (&site.hosts[i], "elmarch_limits", 0);
}
END_TEST

/* A limit above the load changes nothing: nothing is refused, and the endpoint
   still gets its part. */
START_TEST (test_limit_above_the_load_changes_nothing)
{
  const proc_t *member = &site.workers[0];

  site_start (SITE_HOSTS);
  slow_second_worker ();
  limit_set (member, "{\"limit\":\"1000\"}");
  load_requests (3000);
  ck_assert_int_gt (limit_count (member, "all"),
                    (int64_t)(3000 / REQUEST_GAP_MS / 4));
}
END_TEST

/* The host that lends the tokens of a limit; site.nhosts if there is none. */
static size_t
lending_host (void)
{
  size_t i = 0;

  while (i < site.nhosts
         && metric_value (&site.hosts[i], "elmarch_relay_limit_lent_total")
                == 0)
    i++;
  return i;
}

/* The lender is killed: the other hosts keep to the limit, and use it again
   soon. */
START_TEST (test_limit_is_kept_when_the_lender_is_killed)
{
  const proc_t *member = &site.workers[0];
  size_t lender;
  int64_t before;

  site_start (SITE_HOSTS);
  slow_second_worker ();
  limit_set (member, LIMIT);
  send_requests (0, SITE_HOSTS, 4000);
  lender = lending_host ();
  ck_assert_uint_lt (lender, SITE_HOSTS);
  proc_end (&site.hosts[lender], SIGKILL);
  send_requests (lender + 1, SITE_HOSTS - 1, 5000);
  before = limit_count (member, "all");
  send_requests (lender + 1, SITE_HOSTS - 1, 4000);
  ck_assert_int_gt (limit_count (member, "all"), before + LIMIT_RATE * 2);
  ck_assert_int_eq (limit_count (member, "over"), 0);
  site_host_start (lender);
}
END_TEST

Suite *
rate_limit_suite (void)
{
  Suite *suite = suite_create ("rate_limit");
  TCase *tcase = tcase_create ("rate_limit");

  tcase_set_timeout (tcase, 90);
  tcase_add_checked_fixture (tcase, site_setup, site_teardown);
  ADD_LOOP (tcase, test_hosts_together_keep_to_the_limit_of_an_endpoint, 2);
  ADD (tcase, test_requests_beyond_all_limits_are_refused);
  ADD (tcase, test_limit_is_known_to_other_hosts);
  ADD (tcase, test_limit_above_the_load_changes_nothing);
  ADD (tcase, test_limit_is_kept_when_the_lender_is_killed);
  suite_add_tcase (suite, tcase);
  return suite;
}
