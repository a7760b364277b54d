/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Endpoints that ask a host for rest, or say in their answers that they leave,
 * with real processes; what arrives in spite of it is counted by them.
 *
 * An engine with the first layers turned its requests away and asked each host
 * for three seconds of rest. The hosts went on sending to it: in 6 s 102
 * requests of seven hosts were turned away there, 70 of them between half a
 * second after the host was asked and the end of the three seconds. The lines
 * of one host:
 *
 *   6.0754 event=attempt_failed endpoint=i-0762f0bff0 status=503 attempt=1
 *   6.2355 event=attempt_failed endpoint=i-0762f0bff0 status=503 attempt=1
 *   7.0104 event=attempt_failed endpoint=i-0762f0bff0 status=503 attempt=1
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "site.h"
#include "test.h"

/* Requests through the hosts in turn, far fewer than a rest lasts. */
#define ASKED 80
#define STREAMS 40
/* Far longer than a test's requests take. */
#define LONG_REST                                                             \
  "{\"kinds\":[\"requests\"],\"status\":503,\"asked\":[\"60\"],"              \
  "\"span_ms\":60000}"

static void
rest_set (const proc_t *member, const char *json)
{
  reply_t reply;

  http ("POST", member->address, "/rest", json, NULL, &reply);
  ck_assert_int_eq (reply.status, 204);
  reply_free (&reply);
}

/* What arrived of KIND at a member, as far as NAME says. */
static int64_t
rest_count (const proc_t *member, const char *kind, const char *name)
{
  json_t *json = http_json (member->address, "/rests");
  int64_t count = json_integer_value (
      json_object_get (json_object_get (json, kind), name));

  json_decref (json);
  return count;
}

static int64_t
rests (const proc_t *member)
{
  json_t *json = http_json (member->address, "/rests");
  int64_t count = json_integer_value (json_object_get (json, "rests"));

  json_decref (json);
  return count;
}

/* One of the engines with the first layers. */
static const proc_t *
engine_with_first_layers (void)
{
  size_t i;

  for (i = 0; i < SITE_ENGINES; i++)
    if (member_number (&site.engines[i], "first") == 0)
      return &site.engines[i];
  ck_abort_msg ("no engine holds the first layers");
  return NULL;
}

/* Requests through the hosts in turn; all are served. */
static void
ask_often (void)
{
  char id[16];
  reply_t reply;
  size_t i;

  for (i = 0; i < ASKED; i++)
    {
      snprintf (id, sizeof id, "a%zu", i);
      ask (i % site.nhosts, "GET", "/look/x", id, &reply);
      ck_assert_int_eq (reply.status, 200);
      reply_free (&reply);
      pause_step ();
    }
}

/* Streams through the hosts in turn; all come whole. */
static void
stream_often (void)
{
  caller_t caller;
  char id[16];
  size_t i;

  for (i = 0; i < STREAMS; i++)
    {
      snprintf (id, sizeof id, "s%zu", i);
      stream_start (&caller, i % site.nhosts, id);
      caller_join (&caller);
      stream_whole (&caller.reply);
      reply_free (&caller.reply);
    }
}

/* A plain endpoint, then an engine, asks each of two hosts for rest once:
   after that nothing of a caller comes there from them. */
START_TEST (test_endpoint_that_asks_for_rest_gets_none_in_it)
{
  const proc_t *member;

  site.step_us = "1000";
  site_open (2);
  ask_often (); /* both plain endpoints are known to be quick */
  member = _i == 0 ? &site.workers[0] : engine_with_first_layers ();
  rest_set (member, LONG_REST);
  if (_i == 0)
    ask_often ();
  else
    stream_often ();
  ck_assert_int_gt (rests (member), 0);
  ck_assert_int_eq (rest_count (member, "requests", "in_rest"), 0);
}
END_TEST

/* One says in its answers that it leaves, and its entry in the store does not:
   nothing new comes there. */
START_TEST (test_endpoint_that_says_it_leaves_gets_nothing_new)
{
  const proc_t *member;

  site.step_us = "1000";
  site_open (2);
  member = _i == 0 ? &site.workers[0] : engine_with_first_layers ();
  rest_set (member, "{\"leaving\":true}");
  if (_i == 0)
    ask_often ();
  else
    stream_often ();
  ck_assert_int_gt (rest_count (member, "requests", "all"), 0);
  ck_assert_int_eq (rest_count (member, "requests", "after_leaving"), 0);
}
END_TEST

Suite *
rest_suite (void)
{
  Suite *suite = suite_create ("rest");
  TCase *tcase = tcase_create ("rest");

  tcase_set_timeout (tcase, 90);
  tcase_add_checked_fixture (tcase, site_setup, site_teardown);
  ADD_LOOP (tcase, test_endpoint_that_asks_for_rest_gets_none_in_it, 2);
  ADD_LOOP (tcase, test_endpoint_that_says_it_leaves_gets_nothing_new, 2);
  suite_add_tcase (suite, tcase);
  return suite;
}
