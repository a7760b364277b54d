/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of requests that crash the endpoints that run them, with real
 * processes.
 *
 * One caller kept resubmitting the same request, and each engine that
 * started it crashed, which interrupted the fifty streams that ran there.
 * Hosts treated every arrival as a new request: they sent it, retried it on
 * another engine, and kept no record of it after the response. On one day
 * one request crashed 14 engines, and twice no engine with the first layers
 * was left for four seconds. Log lines of a host, with similar ones on others:
 *
 *   event=attempt_failed endpoint=i-e27376682a net=broken status=200
 *     attempt=1 events=0 next=again
 *   event=attempt_failed endpoint=i-8163cdb62c net=broken status=200
 *     attempt=2 events=0 next=fail
 */
#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "site.h"
#include "test.h"

#define CRASHING_BODY "a deadly roster"
/* Number of times that it is sent, to the hosts in turn. */
#define ARRIVALS 8
/* Maximum number of engines that one request may crash: fewer crashes may be a
   coincidence. */
#define CRASHES_MAX 3
/* Number of different requests with a crashing part, and the maximum number of
   engines that they may crash together. */
#define SHARED_ARRIVALS 10
#define SHARED_CRASHES_MAX 5
/* Callers that send the crashing request at once, to the hosts in turn: two at
   each of two hosts, one for each worker. */
#define CRASH_CALLERS 4
/* Maximum number of engines that one kind of order may crash: all four engines
   receive it at once, and once more before the first three crashes are known.
 */
#define ORDER_CRASHES_MAX (2 * SITE_ENGINES)
/* Polls without a crash; the planner sends orders every 0.2 s. */
#define NO_CRASH_STEPS 600
/* Polls from an engine's crash to its restart; on the platform it takes
   seconds. */
#define RESTART_STEPS 150

/* Changes how engines behave. PATH is /linger, so that crashing ones close
   their streams first and exit 0.3 s later, or /unframed, so that streams end
   with their connection. */
static void
engines_set (const char *path)
{
  reply_t reply;
  size_t i;

  for (i = 0; i < SITE_ENGINES; i++)
    {
      http_request ("POST", site.engines[i].address, path, "{}", NULL, &reply);
      reply_free (&reply);
    }
}

/* Replaces the engines that were crashed by the request that REPLY answers,
   and returns their number. If the request ran, at least one is crashing; its
   process may exit a moment after the response. */
static size_t
crashed_engines_replace (const reply_t *reply)
{
  size_t n = site_engines_replace ();
  size_t i;

  for (i = 0; i < WAIT_STEPS_MAX && n == 0 && reply->status == 502; i++)
    {
      poll_sleep ();
      n = site_engines_replace ();
    }
  return n;
}

/* Each request is sent once all engines have been replaced and the hosts have
   had time to gossip. If SLOW_CRASH, engines crash slowly from the second
   request on.
   */
static void
assert_few_crashes (int slow_crash)
{
  char id[16];
  char header[64];
  caller_t caller;
  reply_t reply;
  size_t ended = 0;
  long status = 0;
  size_t i;

  site_start (2);
  for (i = 0; i < ARRIVALS; i++)
    {
      snprintf (id, sizeof id, "d%zu", i);
      if (slow_crash && i)
        engines_set ("/linger");
      send_request_body (i % 2, "/chat/x", CRASHING_BODY, id, &reply);
      ended += crashed_engines_replace (&reply);
      ck_assert_uint_le (ended, CRASHES_MAX);
      status = reply.status;
      reply_header (&reply, "retry-after", header, sizeof header);
      reply_free (&reply);
    }
  ck_assert_int_eq (status, 503);
  ck_assert (strtod (header, NULL) > 1);
  for (i = 0; i < 2; i++)
    {
      stream_start (&caller, i, "s1");
      caller_join (&caller);
      assert_stream_complete (&caller.reply);
      reply_free (&caller.reply);
    }
}

START_TEST (test_request_that_crashes_engines_is_blocked)
{
  assert_few_crashes (0);
}
END_TEST

/* One request crashed a fourth engine, although the third crash had identified
   it as the cause. The third engine had closed its streams but still held its
   port: nothing showed yet that it was crashing, and the request was retried
   at once, as after a broken connection. The host that received the second
   arrival learned of the third crash 40 ms after it had sent the request to
   the fourth engine:

     event=endpoint_ended endpoint=e0-6be99d7ed4 sign=gone runs=1
     event=endpoint_ended endpoint=e3-6beb4e4f24 sign=gone runs=1
     event=request_blocked by=ends ends=4
     event=blocked_for_end endpoint=e0-6be99d7ed4 age_us=120487 ran_us=31018
     event=blocked_for_end endpoint=e3-6beb4e4f24 age_us=80613 ran_us=33991

   A suspect request now waits until it is known whether its last run crashed
   the endpoint. */
START_TEST (test_request_that_crashes_engines_slowly_is_blocked)
{
  assert_few_crashes (1);
}
END_TEST

/* Sends a request with a prompt of three parts; the last is its own. */
static void
send_prompt (size_t host, const char *part, const char *id, reply_t *reply)
{
  char prompt[96];

  snprintf (prompt, sizeof prompt, "aa11:40,%s:300,%s:60", part, id);
  send_request_prompt (host, "/chat/x", prompt, id, reply);
}

/* Requests of one caller, no two alike, had one part of their prompts in
   common and crashed each engine that ran them: each was taken for another
   request. Sound requests share the caller and the other parts. */
START_TEST (test_requests_that_share_a_crashing_part_are_blocked)
{
  char id[16];
  reply_t reply;
  size_t ended = 0;
  long status = 0;
  size_t i;

  site_start (2);
  for (i = 0; i < SHARED_ARRIVALS; i++)
    {
      snprintf (id, sizeof id, "c%zu", i);
      send_prompt (i % 2, "deadbeef", id, &reply);
      ended += crashed_engines_replace (&reply);
      ck_assert_uint_le (ended, SHARED_CRASHES_MAX);
      status = reply.status;
      reply_free (&reply);
      snprintf (id, sizeof id, "a%zu", i);
      send_prompt ((i + 1) % 2, "bb22", id, &reply);
      assert_stream_complete (&reply);
      reply_free (&reply);
    }
  ck_assert_int_eq (status, 503);
}
END_TEST

/* An engine that crashed closed the connection of a stream between two events.
   As the stream had neither a length nor chunks, it was taken for complete. */
START_TEST (test_stream_without_length_cut_by_a_crash_is_continued)
{
  caller_t caller;
  size_t i;

  site.step_us = "20000";
  site_start (1);
  engines_set ("/unframed");
  stream_start (&caller, 0, "u1");
  caller_wait_body (&caller, 60);
  for (i = 0; !member_value (&site.engines[i], "runs"); i++)
    ck_assert_uint_lt (i, SITE_ENGINES - 1);
  proc_end (&site.engines[i], SIGKILL);
  caller_join (&caller);
  assert_stream_complete (&caller.reply);
  reply_free (&caller.reply);
}
END_TEST

/* The same before the first event: the request that crashes engines was taken
   for answered each time, which cleared it. */
START_TEST (test_crash_before_the_first_event_is_no_answer)
{
  char id[16];
  reply_t reply;
  size_t ended = 0;
  size_t i;

  site_start (2);
  for (i = 0; i < SHARED_ARRIVALS; i++)
    {
      engines_set ("/unframed");
      snprintf (id, sizeof id, "n%zu", i);
      send_prompt (i % 2, "deadbeef", id, &reply);
      ended += site_engines_replace ();
      ck_assert_uint_le (ended, SHARED_CRASHES_MAX);
      ck_assert_int_ne (reply.status, 200);
      reply_free (&reply);
    }
  ck_assert_uint_gt (ended, 0);
}
END_TEST

/* Sends the crashing request until it is refused as blocked. Returns the
   number of engines that crashed. */
static size_t
send_until_blocked (void)
{
  char id[16];
  reply_t reply;
  size_t ended = 0;
  size_t i;

  for (i = 0; i < ARRIVALS; i++)
    {
      snprintf (id, sizeof id, "d%zu", i);
      send_request_body (i % site.nhosts, "/chat/x", CRASHING_BODY, id,
                         &reply);
      ended += site_engines_replace ();
      reply_free (&reply);
      if (metric_value (&site.hosts[i % site.nhosts],
                        "elmarch_relay_barred_total"))
        return ended;
    }
  ck_abort_msg ("the request was not blocked");
  return 0;
}

/* HOST must refuse the crashing request, and no engine may crash. */
static void
assert_blocked (size_t host, const char *id)
{
  reply_t reply;

  send_request_body (host, "/chat/x", CRASHING_BODY, id, &reply);
  ck_assert_int_eq (reply.status, 503);
  ck_assert_ptr_nonnull (strstr (reply.body.ptr, "ends endpoints"));
  reply_free (&reply);
  ck_assert_uint_eq (site_engines_replace (), 0);
}

/* A host that starts learns of a blocked request before it serves. So do all
   hosts after all were killed at once, as the block is in the store. */
START_TEST (test_blocked_request_is_known_to_hosts_that_start)
{
  size_t i;

  site_start (2);
  send_until_blocked ();
  proc_end (&site.hosts[1], SIGKILL);
  site_host_start (1);
  assert_blocked (1, "e1");
  for (i = 0; i < 2; i++)
    proc_end (&site.hosts[i], SIGKILL);
  for (i = 0; i < 2; i++)
    site_host_start (i);
  for (i = 0; i < 2; i++)
    assert_blocked (i, i ? "f1" : "f0");
}
END_TEST

/* Other requests of the same customer and rule run on the engines that crash:
   each stream that has begun completes, and no host blocks more than one
   request. */
START_TEST (test_streams_beside_a_crashing_request_are_complete)
{
  caller_t callers[6];
  char id[16];
  reply_t reply;
  size_t i;
  size_t k;

  site.step_us = "20000";
  site_start (2);
  for (k = 0; k < 4; k++)
    {
      for (i = 0; i < 6; i++)
        {
          snprintf (id, sizeof id, "s%zu-%zu", k, i);
          stream_start (&callers[i], i % 2, id);
        }
      for (i = 0; i < 6; i++)
        caller_wait_body (&callers[i], 30);
      snprintf (id, sizeof id, "d%zu", k);
      send_request_body (k % 2, "/chat/x", CRASHING_BODY, id, &reply);
      reply_free (&reply);
      for (i = 0; i < 6; i++)
        {
          caller_join (&callers[i]);
          if (callers[i].reply.status == 200)
            assert_stream_complete (&callers[i].reply);
          reply_free (&callers[i].reply);
        }
      site_engines_replace ();
    }
  for (i = 0; i < 2; i++)
    {
      ck_assert_uint_le (
          metric_value (&site.hosts[i], "elmarch_relay_blocked_total"), 1);
      stream_start (&callers[0], i, "t");
      caller_join (&callers[0]);
      assert_stream_complete (&callers[0].reply);
      reply_free (&callers[0].reply);
    }
}
END_TEST

/* An operator sees the blocked request and unblocks it on all hosts. */
START_TEST (test_operator_unblocks_request)
{
  char path[64];
  reply_t reply;
  json_t *list;
  const char *digest;
  size_t admitted;
  int i;

  site_start (2);
  send_until_blocked ();
  list = site_admin_request (0, "GET", "/admin/v1/blocked");
  ck_assert_uint_eq (json_array_size (list), 1);
  digest = json_string_value (
      json_object_get (json_array_get (list, 0), "digest"));
  ck_assert_str_eq (
      json_string_value (json_object_get (json_array_get (list, 0), "state")),
      "blocked");
  snprintf (path, sizeof path, "/admin/v1/blocked/%s", digest);
  json_decref (site_admin_request (1, "DELETE", path));
  json_decref (list);
  admitted = 0;
  for (i = 0; i < WAIT_STEPS_MAX && !admitted; i++)
    { /* the other host learns of the unblocking a moment later */
      send_request_body (0, "/chat/x", CRASHING_BODY, "g", &reply);
      admitted = reply.status != 503;
      reply_free (&reply);
    }
  ck_assert_uint_eq (admitted, 1);
  ck_assert_uint_ge (site_engines_replace (), 1);
}
END_TEST

/* A worker crashes, and no request is sent to it after that: the host finds
   out by itself, before the store knows it. */
START_TEST (test_crash_of_a_worker_is_found_without_another_request)
{
  caller_t caller;
  size_t i;

  site_start (1);
  set_fault (&site.workers[0], "{\"fault\":\"slow\",\"delay_ms\":2000}");
  set_fault (&site.workers[1], "{\"fault\":\"slow\",\"delay_ms\":2000}");
  request_start (&caller, 0, "/pay/x", "crash");
  for (i = 0; !member_value (&site.workers[i % SITE_WORKERS], "runs"); i++)
    {
      ck_assert_uint_lt (i, WAIT_STEPS_MAX);
      poll_sleep ();
    }
  proc_kill (&site.workers[i % SITE_WORKERS]);
  caller_join (&caller);
  ck_assert_int_eq (caller.reply.status, 502);
  reply_free (&caller.reply);
  metric_wait_min (&site.hosts[0], "elmarch_relay_ends_total", 1);
}
END_TEST

/* The same for workers and a request that is never retried: at most four of
   them crash. */
START_TEST (test_request_that_crashes_workers_is_blocked)
{
  char id[16];
  reply_t reply;
  size_t ended = 0;
  size_t i;

  site_start (2);
  for (i = 0; i < ARRIVALS; i++)
    {
      snprintf (id, sizeof id, "w%zu", i);
      send_request_body (i % 2, "/pay/x", CRASHING_BODY, id, &reply);
      ck_assert_int_ne (reply.status, 200);
      ended += site_workers_replace ();
      ck_assert_uint_le (ended, CRASHES_MAX + 1);
      reply_free (&reply);
    }
  send_request (0, "POST", "/pay/x", "p", &reply);
  ck_assert_int_eq (reply.status, 200);
  reply_free (&reply);
}
END_TEST

/* Sends the crashing request to all hosts at once, so that it runs at all
   workers. Returns the number of workers that crashed. */
static size_t
crash_workers_at_once (size_t wave)
{
  caller_t callers[CRASH_CALLERS];
  char id[64];
  const char *headers[] = { "host: rel.example", id, NULL };
  size_t i;

  for (i = 0; i < CRASH_CALLERS; i++)
    {
      snprintf (id, sizeof id, "x-elmarch-request-id: a%zu-%zu", wave, i);
      caller_start (&callers[i], site.entry_addrs[i % site.nhosts].address,
                    "/look/x", CRASHING_BODY, headers, 0);
    }
  for (i = 0; i < CRASH_CALLERS; i++)
    {
      caller_join (&callers[i]);
      ck_assert_int_ne (callers[i].reply.status, 200);
      reply_free (&callers[i].reply);
    }
  return site_workers_replace ();
}

/* Where all endpoints of a service had crashed, each host took itself for cut
   off from them and dropped what it had seen. */
START_TEST (test_request_that_crashes_all_workers_is_blocked)
{
  reply_t reply;
  size_t ended = 0;
  size_t i;

  site_start (2);
  for (i = 0; i < ARRIVALS; i++)
    {
      ended += crash_workers_at_once (i);
      ck_assert_uint_le (ended, CRASHES_MAX + 1);
    }
  ck_assert_uint_ge (ended, SITE_WORKERS);
  send_request_body (1, "/look/x", CRASHING_BODY, "last", &reply);
  ck_assert_int_eq (reply.status, 503);
  ck_assert_ptr_nonnull (strstr (reply.body.ptr, "ends endpoints"));
  reply_free (&reply);
  send_request (0, "GET", "/look/x", "innocent", &reply);
  ck_assert_int_eq (reply.status, 200);
  reply_free (&reply);
}
END_TEST

static void
workers_crash_late (void)
{
  reply_t reply;
  size_t i;

  for (i = 0; i < SITE_WORKERS; i++)
    {
      http_request ("POST", site.workers[i].address, "/crash-late", "{}", NULL,
                    &reply);
      reply_free (&reply);
    }
}

/* Sends the crashing request to HOST. */
static int
crashing_request_send (size_t host, size_t number)
{
  const char *address = site.entry_addrs[host].address;
  const char *port = strchr (address, ':') + 1;
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)atoi (port)) };
  char text[256];
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  snprintf (text, sizeof text, "%.*s", (int)(port - 1 - address), address);
  inet_pton (AF_INET, text, &addr.sin_addr);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&addr, sizeof addr), 0);
  snprintf (text, sizeof text,
            "POST /pay/x HTTP/1.1\r\nhost: rel.example\r\n"
            "authorization: Bearer " CUSTOMER_KEY "\r\n"
            "x-elmarch-request-id: l%zu\r\ncontent-length: %zu\r\n\r\n%s",
            number, strlen (CRASHING_BODY), CRASHING_BODY);
  ck_assert_int_eq (write (fd, text, strlen (text)), (ssize_t)strlen (text));
  return fd;
}

/* Waits until a request runs at a worker, and returns its number, or until the
   response arrives on FD, and returns SITE_WORKERS. */
static size_t
worker_wait_run (int fd)
{
  char byte;
  size_t worker;
  size_t i;

  for (i = 0; i < WAIT_STEPS_MAX; i++)
    {
      for (worker = 0; worker < SITE_WORKERS; worker++)
        if (member_value (&site.workers[worker], "runs"))
          return worker;
      if (recv (fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 1)
        return SITE_WORKERS;
      poll_sleep ();
    }
  ck_abort_msg ("neither run nor answered");
}

/* Each caller leaves as soon as its request runs, and the worker, which goes
   on, crashes a moment later: such runs count, too. */
START_TEST (test_request_that_crashes_workers_after_its_caller_left_is_blocked)
{
  reply_t reply;
  size_t ended = 0;
  size_t worker;
  size_t i;
  int fd;

  site_start (2);
  for (i = 0; i < ARRIVALS; i++)
    {
      workers_crash_late ();
      fd = crashing_request_send (i % 2, i);
      worker = worker_wait_run (fd);
      close (fd);
      if (worker == SITE_WORKERS)
        continue;
      ck_assert_uint_le (++ended, CRASHES_MAX + 1);
      while (!site_workers_replace ())
        poll_sleep ();
    }
  send_request_body (1, "/pay/x", CRASHING_BODY, "last", &reply);
  ck_assert_int_eq (reply.status, 503);
  ck_assert_ptr_nonnull (strstr (reply.body.ptr, "ends endpoints"));
  reply_free (&reply);
  send_request (0, "POST", "/pay/x", "innocent", &reply);
  ck_assert_int_eq (reply.status, 200);
  reply_free (&reply);
}
END_TEST

/* The memory size that operators configured for the card is wrong: each engine
   crashes on its order and restarts empty. The planner stops sending the
   order, and so does the planner that takes over. */
static void
assert_order_withdrawn (void)
{
  size_t ended = 0;
  size_t last;
  size_t i;
  int no_crash;

  for (no_crash = 0; no_crash < NO_CRASH_STEPS; no_crash++)
    {
      last = ended;
      if (no_crash % RESTART_STEPS == RESTART_STEPS - 1)
        ended += site_engines_replace_nowait ();
      ck_assert_uint_le (ended, ORDER_CRASHES_MAX);
      if (ended != last)
        no_crash = 0;
      poll_sleep ();
    }
  ck_assert_uint_ge (ended, CRASHES_MAX);
  i = metric_value (&site.hosts[0], "elmarch_planner") ? 0 : 1;
  proc_end (&site.hosts[i], SIGKILL);
  metric_wait_min (&site.hosts[1 - i], "elmarch_planner", 1);
  for (no_crash = 0; no_crash < NO_CRASH_STEPS; no_crash++)
    {
      ck_assert_uint_eq (site_engines_replace_nowait (), 0);
      poll_sleep ();
    }
}

START_TEST (test_order_that_crashes_engines_is_withdrawn)
{
  site.max_layers = "1";
  site_start_unplaced (2);
  assert_order_withdrawn ();
}
END_TEST

/* There is no other endpoint that the hosts reach. */
START_TEST (test_order_that_crashes_all_endpoints_is_withdrawn)
{
  site.max_layers = "1";
  site.no_workers = 1;
  site_start_unplaced (2);
  assert_order_withdrawn ();
}
END_TEST

/* The payment hangs at a worker, which is then killed. Returns the number of
   workers that were replaced. */
static size_t
crash_worker_during_payment (size_t host, const char *id)
{
  caller_t caller;
  const char *headers[] = { "host: rel.example", id, NULL };
  int64_t ran[SITE_WORKERS];
  size_t i;

  for (i = 0; i < SITE_WORKERS; i++)
    {
      ran[i] = member_value (&site.workers[i], "runs");
      set_fault (&site.workers[i], "{\"fault\":\"hang\"}");
    }
  caller_start (&caller, site.entry_addrs[host].address, "/pay/x", "body",
                headers, 0);
  for (i = 0; member_value (&site.workers[i], "runs") == ran[i];
       i = (i + 1) % SITE_WORKERS)
    poll_sleep ();
  proc_end (&site.workers[i], SIGKILL);
  caller_join (&caller);
  ck_assert_int_eq (caller.reply.status, 502);
  reply_free (&caller.reply);
  for (i = 0; i < SITE_WORKERS; i++)
    if (site.workers[i].pid)
      set_fault (&site.workers[i], "{\"fault\":\"none\"}");
  return site_workers_replace ();
}

/* A frequent payment was running when an endpoint crashed, and also when
   another crashed a while later. In between, another host or the same one had
   run it successfully. It was blocked for ten minutes as a request that
   crashes endpoints: hosts gossiped a successful run only if the request had
   been running at two crashes by then, so hosts that learned of two crashes
   knew of no success:

     request_blocked by=ends ends=2 odds=24 holds=1 left_us=599724755
     blocked_for_end endpoint=w1-5dde3a43f5 age_us=876151 ran_us=5829 first=1
     blocked_for_end endpoint=w0-5dddd9c771 age_us=275259 ran_us=585 first=1
     request_blocked by="another host" ends=1 odds=0 holds=1 */
START_TEST (test_request_that_succeeded_elsewhere_is_not_blocked)
{
  reply_t reply;
  size_t i;

  site_start (2);
  ck_assert_uint_eq (
      crash_worker_during_payment (1, "x-elmarch-request-id: p1"), 1);
  send_request ((size_t)_i, "POST", "/pay/x", "p2", &reply);
  ck_assert_int_eq (reply.status, 200);
  reply_free (&reply);
  ck_assert_uint_eq (
      crash_worker_during_payment (1, "x-elmarch-request-id: p3"), 1);
  for (i = 0; i < 2; i++)
    {
      send_request (i, "POST", "/pay/x", i ? "p4" : "p5", &reply);
      ck_assert_msg (reply.status == 200, "%ld %s", reply.status,
                     reply.body.ptr);
      reply_free (&reply);
    }
}
END_TEST

Suite *
crash_suite (void)
{
  Suite *suite = suite_create ("crash");
  TCase *tcase = tcase_create ("crash");

  tcase_set_timeout (tcase, 120);
  tcase_add_checked_fixture (tcase, site_setup, site_teardown);
  ADD (tcase, test_request_that_crashes_engines_is_blocked);
  ADD (tcase, test_request_that_crashes_engines_slowly_is_blocked);
  ADD (tcase, test_requests_that_share_a_crashing_part_are_blocked);
  ADD (tcase, test_stream_without_length_cut_by_a_crash_is_continued);
  ADD (tcase, test_crash_before_the_first_event_is_no_answer);
  ADD (tcase, test_crash_of_a_worker_is_found_without_another_request);
  ADD (tcase, test_request_that_crashes_workers_is_blocked);
  ADD (tcase, test_request_that_crashes_all_workers_is_blocked);
  ADD (tcase,
       test_request_that_crashes_workers_after_its_caller_left_is_blocked);
  ADD (tcase, test_blocked_request_is_known_to_hosts_that_start);
  ADD (tcase, test_streams_beside_a_crashing_request_are_complete);
  ADD (tcase, test_operator_unblocks_request);
  ADD (tcase, test_order_that_crashes_engines_is_withdrawn);
  ADD (tcase, test_order_that_crashes_all_endpoints_is_withdrawn);
  ADD_LOOP (tcase, test_request_that_succeeded_elsewhere_is_not_blocked, 2);
  suite_add_tcase (suite, tcase);
  return suite;
}
