/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of endpoints that name in their answers how many requests a second
 * they take from all hosts together, with real processes. The endpoints count
 * what arrives.
 */
#include <stdio.h>
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

/* Sends plain requests through the hosts in turn for some time. All must be
   served. */
static void
load_requests (double duration_ms)
{
  double from = now_ms ();
  char id[32];
  reply_t reply;
  unsigned i;

  for (i = 0; now_ms () < from + duration_ms; i++)
    {
      snprintf (id, sizeof id, "l%u", i);
      send_request (i % site.nhosts, i % 2 ? "GET" : "POST",
                    i % 2 ? "/look/x" : "/pay/x", id, &reply);
      ck_assert_int_eq (reply.status, 200);
      reply_free (&reply);
      wait_ms (from + (i + 1) * REQUEST_GAP_MS);
    }
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

/* An engine with the first layers. */
static const proc_t *
engine_with_first_layers (void)
{
  size_t i;

  for (i = 0; i < SITE_ENGINES; i++)
    if (member_value (&site.engines[i], "first") == 0)
      return &site.engines[i];
  ck_abort_msg ("no engine holds the first layers");
  return NULL;
}

/* An endpoint names a limit: all hosts together send it no more, while another
   endpoint serves the rest, and use what the limit allows. */
START_TEST (test_hosts_together_keep_to_the_limit_of_an_endpoint)
{
  const proc_t *member;

  site.step_us = "500";
  site_start (SITE_HOSTS);
  member = _i == 0 ? &site.workers[0] : engine_with_first_layers ();
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

Suite *
rate_limit_suite (void)
{
  Suite *suite = suite_create ("rate_limit");
  TCase *tcase = tcase_create ("rate_limit");

  tcase_set_timeout (tcase, 90);
  tcase_add_checked_fixture (tcase, site_setup, site_teardown);
  ADD_LOOP (tcase, test_hosts_together_keep_to_the_limit_of_an_endpoint, 2);
  suite_add_tcase (suite, tcase);
  return suite;
}
