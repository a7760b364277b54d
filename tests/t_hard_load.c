/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of relayed requests under hard load, with real processes: requests
 * that wait in order of rank, refusals, and hosts that tell each other their
 * load.
 */
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"
#include "site.h"
#include "test.h"

/* A rank above and one below that of /chat/. */
#define RANKS                                                                 \
  ",{\"Name\":\"note\",\"Host\":\"rel.example\",\"PathPrefix\":\"/note/\","   \
  "\"RouteType\":\"streaming\",\"TimeoutMs\":20000,\"MaxAttempts\":2,"        \
  "\"TargetLatencyMs\":500,\"Priority\":0,\"Service\":\"llm\","               \
  "\"Resumable\":true},"                                                      \
  "{\"Name\":\"digest\",\"Host\":\"rel.example\",\"PathPrefix\":\"/digest/"   \
  "\",\"RouteType\":\"streaming\",\"TimeoutMs\":20000,\"MaxAttempts\":2,"     \
  "\"TargetLatencyMs\":2000,\"Priority\":2,\"Service\":\"llm\","              \
  "\"Resumable\":true}"
/* Streams at a time at each engine. */
#define PLACES 2
#define DIGESTS 14
/* Streams that last for seconds. */
#define SLOW_STEP_US "80000"

static void
hard_load_setup (void)
{
  site_setup ();
  site.more_rules = RANKS;
}

static void
tell_load (void)
{
  site.host_flags[0] = "--tell-load";
  site.host_flags[1] = "on";
}

static void
engines_set_places (unsigned places)
{
  char body[32];
  reply_t reply;
  size_t i;

  snprintf (body, sizeof body, "{\"streams\":%u}", places);
  for (i = 0; i < SITE_ENGINES; i++)
    {
      http_request ("POST", site.engines[i].address, "/places", body, NULL,
                    &reply);
      ck_assert_int_eq (reply.status, 204);
      reply_free (&reply);
    }
}

static int64_t
engines_total (const char *name)
{
  int64_t total = 0;
  size_t i;

  for (i = 0; i < SITE_ENGINES; i++)
    total += member_value (&site.engines[i], name);
  return total;
}

static void
engines_wait_runs (int64_t runs)
{
  int i;

  for (i = 0; i < WAIT_STEPS_MAX && engines_total ("runs") < runs; i++)
    poll_sleep ();
  ck_assert_int_eq (engines_total ("runs"), runs);
}

/* Streams at a time at all engines where a stream may begin. */
static int64_t
places_total (void)
{
  int64_t total = 0;
  size_t i;

  for (i = 0; i < SITE_ENGINES; i++)
    if (member_value (&site.engines[i], "first") == 0)
      total += PLACES;
  return total;
}

/* Requests of a rank that wait at a host. */
static json_int_t
waiting_at (size_t host)
{
  json_t *json = site_admin_request (host, "GET", "/admin/v1/load");
  json_int_t waiting = 0;
  json_t *service;
  json_t *rank;
  size_t i;
  size_t k;

  json_array_foreach (json_object_get (json, "services"), i, service)
  {
    json_array_foreach (json_object_get (service, "ranks"), k, rank)
    {
      waiting += json_integer_value (json_object_get (rank, "waiting"));
    }
  }
  json_decref (json);
  return waiting;
}

/* Waits until at least N requests were seen to wait at a host. */
static void
wait_waiting (size_t host, json_int_t n)
{
  int i;

  for (i = 0; i < WAIT_STEPS_MAX; i++)
    {
      if (waiting_at (host) >= n)
        return;
      poll_sleep ();
    }
  ck_abort_msg ("%d requests never waited", (int)n);
}

static int
count_done (caller_t *callers, size_t n)
{
  int done = 0;
  size_t i;

  for (i = 0; i < n; i++)
    {
      pthread_mutex_lock (&callers[i].lock);
      done += callers[i].done;
      pthread_mutex_unlock (&callers[i].lock);
    }
  return done;
}

/* Load pattern: a low rank has taken all places and more of it waits when a
   high rank arrives. The high rank gets the next place, and nobody is refused
   who can be served in time. */
START_TEST (test_high_rank_gets_the_next_place)
{
  caller_t digests[DIGESTS];
  caller_t note;
  char id[32];
  size_t i;

  site.step_us = "10000";
  site_start (1);
  engines_set_places (PLACES);
  for (i = 0; i < DIGESTS; i++)
    {
      snprintf (id, sizeof id, "d%zu", i);
      request_start (&digests[i], 0, "/digest/x", id);
    }
  wait_waiting (0, places_total () + 1);
  request_start (&note, 0, "/note/x", "n");
  caller_join (&note);
  ck_assert_int_lt (count_done (digests, DIGESTS), DIGESTS);
  assert_stream_complete (&note.reply);
  reply_free (&note.reply);
  for (i = 0; i < DIGESTS; i++)
    {
      caller_join (&digests[i]);
      assert_stream_complete (&digests[i].reply);
      reply_free (&digests[i].reply);
    }
  ck_assert_uint_ge (
      metric_value (&site.hosts[0], "elmarch_relay_queued_total"),
      (uint64_t)places_total () + 1);
}
END_TEST

/* Load pattern: all places are taken for seconds. A request that can't be
   served while its caller is there is refused, has not run and does not run
   later, and its caller is told when to return. */
START_TEST (test_refusal_for_want_of_room_is_true)
{
  caller_t running[2 * PLACES];
  caller_t refused[DIGESTS];
  char after[32];
  char id[32];
  int64_t places;
  reply_t reply;
  int64_t i;

  site.step_us = SLOW_STEP_US;
  site_start (1);
  engines_set_places (PLACES);
  places = places_total ();
  ck_assert_int_le (places, 2 * PLACES);
  for (i = 0; i < places; i++)
    {
      snprintf (id, sizeof id, "r%d", (int)i);
      request_start (&running[i], 0, "/digest/x", id);
    }
  engines_wait_runs (places);
  for (i = 0; i < DIGESTS; i++)
    {
      snprintf (id, sizeof id, "n%d", (int)i);
      request_start (&refused[i], 0, "/note/x", id);
    }
  for (i = 0; i < DIGESTS; i++)
    {
      caller_join (&refused[i]);
      ck_assert_int_eq (refused[i].reply.status, 503);
      reply_header (&refused[i].reply, "retry-after", after, sizeof after);
      ck_assert (strtod (after, NULL) > 0 && strtod (after, NULL) < 20.0 / 3);
      reply_free (&refused[i].reply);
    }
  ck_assert_int_eq (waiting_at (0), 0);
  for (i = 0; i < places; i++)
    {
      caller_join (&running[i]);
      assert_stream_complete (&running[i].reply);
      reply_free (&running[i].reply);
    }
  ck_assert_int_eq (engines_total ("runs"), places);
  send_request (0, "POST", "/note/x", "again", &reply);
  assert_stream_complete (&reply);
  reply_free (&reply);
}
END_TEST

/* Sends a request to a host and returns the connection. */
static int
request_open (size_t host)
{
  static const char request[]
      = "POST /note/x HTTP/1.1\r\nhost: rel.example\r\n"
        "authorization: Bearer " CUSTOMER_KEY "\r\n"
        "x-elmarch-request-id: n\r\ncontent-length: 4\r\n\r\nbody";
  struct sockaddr_in to;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  ck_assert_int_ge (fd, 0);
  ck_assert (net_address_parse (el_str (site.entry_addrs[host].address), &to));
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  ck_assert_int_eq (write (fd, request, sizeof request - 1),
                    sizeof request - 1);
  return fd;
}

/* Load pattern: callers leave while they wait. They leave no trace. */
START_TEST (test_caller_that_leaves_no_longer_waits)
{
  caller_t running[2 * PLACES];
  char id[32];
  int64_t places;
  int64_t i;
  int fd;

  site.step_us = SLOW_STEP_US;
  site_start (1);
  engines_set_places (PLACES);
  places = places_total ();
  for (i = 0; i < places; i++)
    {
      snprintf (id, sizeof id, "r%d", (int)i);
      request_start (&running[i], 0, "/digest/x", id);
    }
  engines_wait_runs (places);
  fd = request_open (0);
  wait_waiting (0, 1);
  close (fd);
  metric_wait_value (&site.hosts[0], "elmarch_relay_gone_total", 1);
  ck_assert_int_eq (waiting_at (0), 0);
  ck_assert_uint_eq (
      metric_value (&site.hosts[0], "elmarch_relay_refused_wait_total"), 0);
  for (i = 0; i < places; i++)
    {
      caller_join (&running[i]);
      reply_free (&running[i].reply);
    }
  ck_assert_int_eq (engines_total ("runs"), places);
}
END_TEST

/* Without ranks, a request for which engines have no room is refused at once,
   as in a configuration that knows none. */
START_TEST (test_without_ranks_nothing_waits)
{
  caller_t running[2 * PLACES];
  char id[32];
  int64_t places;
  reply_t reply;
  int64_t i;

  site.more_rules = NULL;
  site.step_us = SLOW_STEP_US;
  site_start (1);
  engines_set_places (PLACES);
  places = places_total ();
  for (i = 0; i < places; i++)
    {
      snprintf (id, sizeof id, "r%d", (int)i);
      stream_start (&running[i], 0, id);
    }
  engines_wait_runs (places);
  send_request (0, "POST", "/chat/x", "n", &reply);
  ck_assert_int_eq (reply.status, 503);
  reply_free (&reply);
  ck_assert_uint_eq (
      metric_value (&site.hosts[0], "elmarch_relay_queued_total"), 0);
  for (i = 0; i < places; i++)
    {
      caller_join (&running[i]);
      reply_free (&running[i].reply);
    }
}
END_TEST

static void
streams_start (caller_t callers[SITE_HOSTS])
{
  char id[32];
  size_t i;

  for (i = 0; i < site.nhosts; i++)
    {
      snprintf (id, sizeof id, "s%zu", i);
      stream_start (&callers[i], i, id);
    }
}

static size_t
first_host (void)
{
  size_t i;

  for (i = 0; i < site.nhosts; i++)
    if (metric_value (&site.hosts[i], "elmarch_load_received_total"))
      return i;
  ck_abort_msg ("no host sums up the others' load");
  return 0;
}

/* Each host knows how many others told their load. One that is killed, be it
   the first, is left out, and the others go on telling. */
START_TEST (test_hosts_tell_load_after_one_is_killed)
{
  caller_t callers[SITE_HOSTS];
  size_t killed;
  size_t i;

  tell_load ();
  site.step_us = SLOW_STEP_US;
  site_start (SITE_HOSTS);
  streams_start (callers);
  site_wait_metric ("elmarch_load_hosts", SITE_HOSTS - 1);
  killed = first_host ();
  if (_i == 1)
    killed = (killed + 1) % SITE_HOSTS;
  proc_kill_wait (&site.hosts[killed]);
  site_wait_metric_except (killed, "elmarch_load_hosts", SITE_HOSTS - 2);
  for (i = 0; i < SITE_HOSTS; i++)
    {
      caller_join (&callers[i]);
      if (i != killed)
        assert_stream_complete (&callers[i].reply);
      reply_free (&callers[i].reply);
    }
  site_host_start (killed);
}
END_TEST

/* The host that sums up the load stands still: requests at the others do not
   depend on it. */
START_TEST (test_load_is_not_needed_to_serve)
{
  caller_t callers[SITE_HOSTS];
  reply_t reply;
  size_t first;
  size_t other;
  size_t i;

  tell_load ();
  site_start (SITE_HOSTS);
  streams_start (callers);
  site_wait_metric ("elmarch_load_hosts", SITE_HOSTS - 1);
  for (i = 0; i < SITE_HOSTS; i++)
    {
      caller_join (&callers[i]);
      reply_free (&callers[i].reply);
    }
  first = first_host ();
  other = (first + 1) % SITE_HOSTS;
  proc_signal (&site.hosts[first], SIGSTOP);
  send_request (other, "POST", "/note/x", "n", &reply);
  assert_stream_complete (&reply);
  reply_free (&reply);
  metric_wait_min (&site.hosts[other], "elmarch_load_unanswered_total", 1);
  proc_signal (&site.hosts[first], SIGCONT);
}
END_TEST

Suite *
hard_load_suite (void)
{
  Suite *suite = suite_create ("hard_load");
  TCase *tcase = tcase_create ("hard_load");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, hard_load_setup, site_teardown);
  ADD (tcase, test_high_rank_gets_the_next_place);
  ADD (tcase, test_refusal_for_want_of_room_is_true);
  ADD (tcase, test_caller_that_leaves_no_longer_waits);
  ADD (tcase, test_without_ranks_nothing_waits);
  ADD_LOOP (tcase, test_hosts_tell_load_after_one_is_killed, 2);
  ADD (tcase, test_load_is_not_needed_to_serve);
  suite_add_tcase (suite, tcase);
  return suite;
}
