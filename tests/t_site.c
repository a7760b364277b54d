/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of relayed requests, with real processes.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "site.h"
#include "test.h"

/* The engine that runs a stream, which is the first of its chain. */
static size_t
running_engine (void)
{
  size_t i;

  for (i = 0; i < SITE_ENGINES; i++)
    if (site.engines[i].pid && member_value (&site.engines[i], "runs"))
      return i;
  ck_abort_msg ("no engine runs a stream");
  return 0;
}

static int64_t
workers_total (const char *name)
{
  return member_value (&site.workers[0], name)
         + member_value (&site.workers[1], name);
}

static void
workers_set_fault (const char *json)
{
  set_fault (&site.workers[0], json);
  set_fault (&site.workers[1], json);
}

START_TEST (test_relay_follows_rules_and_keys)
{
  const char *unknown_key[]
      = { "authorization: Bearer nobody's", "host: rel.example", NULL };
  char header[128];
  reply_t reply;

  site_start (1);
  send_request (0, "GET", "/look/x?y=1", "r1", &reply);
  ck_assert_int_eq (reply.status, 200);
  reply_header (&reply, "x-elmarch-response-seal", header, sizeof header);
  ck_assert_str_eq (header, "seal.of.a.stand-in");
  reply_free (&reply);
  send_request (0, "GET", "/none/", "r2", &reply);
  ck_assert_int_eq (reply.status, 404);
  reply_free (&reply);
  http_request ("GET", site.entry_addrs[0].address, "/look/", NULL,
                unknown_key, &reply);
  ck_assert_int_eq (reply.status, 401);
  reply_free (&reply);
  ck_assert_int_eq (workers_total ("runs"), 1);
}
END_TEST

/* An endpoint receives the customer's name but not the key, its own id, and
   the time left until the deadline. */
START_TEST (test_relay_sends_endpoint_headers)
{
  char id[96];
  json_t *seen;
  reply_t reply;
  size_t i;

  site_start (1);
  send_request (0, "POST", "/pay/x", "r1", &reply);
  ck_assert_int_eq (reply.status, 200);
  reply_free (&reply);
  i = member_value (&site.workers[0], "runs") ? 0 : 1;
  member_id (&site.workers[i], id, sizeof id);
  seen = http_get_json (site.workers[i].address, "/seen");
  ck_assert_str_eq (
      json_string_value (json_object_get (seen, "x-elmarch-tenant")),
      "parking");
  ck_assert_str_eq (
      json_string_value (json_object_get (seen, "x-elmarch-expect-instance")),
      id);
  ck_assert_int_le (strtol (json_string_value (json_object_get (
                                seen, "x-elmarch-deadline-ms")),
                            NULL, 10),
                    5000);
  ck_assert_ptr_null (json_object_get (seen, "authorization"));
  json_decref (seen);
}
END_TEST

START_TEST (test_relay_forwards_stream)
{
  caller_t caller;

  site_start (1);
  stream_start (&caller, 0, "s1");
  caller_join (&caller);
  assert_stream_complete (&caller.reply);
  reply_free (&caller.reply);
}
END_TEST

/* The first engine is killed or stopped during a stream: the stream resumes on
   another chain. */
START_TEST (test_stream_resumes_after_loss_of_first_engine)
{
  caller_t caller;

  site_start (1);
  stream_start (&caller, 0, "s1");
  caller_wait_body (&caller, 60);
  if (_i == 0)
    proc_end (&site.engines[running_engine ()], SIGKILL);
  else
    proc_signal (&site.engines[running_engine ()], SIGSTOP);
  caller_join (&caller);
  assert_stream_complete (&caller.reply);
  reply_free (&caller.reply);
}
END_TEST

/* Both engines with the first layers are stopped in turn, and the rule allows
   two attempts: the second attempt is not aborted, as its engine may continue.
   */
START_TEST (test_stream_waits_when_attempts_are_used_up)
{
  caller_t caller;
  size_t first;
  size_t second = SITE_ENGINES;
  size_t i;
  int step;

  site_start (1);
  stream_start (&caller, 0, "s1");
  caller_wait_body (&caller, 60);
  first = running_engine ();
  proc_signal (&site.engines[first], SIGSTOP);
  for (step = 0; step < WAIT_STEPS_MAX && second == SITE_ENGINES; step++)
    for (i = 0; i < SITE_ENGINES; i++)
      if (i != first && member_value (&site.engines[i], "runs"))
        second = i;
  ck_assert_uint_ne (second, SITE_ENGINES);
  proc_signal (&site.engines[second], SIGSTOP);
  metric_wait_min (&site.hosts[0], "elmarch_relay_held_total", 1);
  proc_signal (&site.engines[second], SIGCONT);
  caller_join (&caller);
  assert_stream_complete (&caller.reply);
  reply_free (&caller.reply);
}
END_TEST

/* Engines are silent for this many polls, about a second. */
#define SILENT_STEPS 200

/* The host may retry RATIO times for each request, and a little less. */
static void
limit_retries (const char *ratio)
{
  site.host_flags[0] = "--repeat-ratio";
  site.host_flags[1] = ratio;
  site.host_flags[2] = "--repeat-slack";
  site.host_flags[3] = "0";
}

static void
member_tell (const proc_t *member, const char *path, const char *json)
{
  reply_t reply;

  http_request ("POST", member->address, path, json, NULL, &reply);
  ck_assert_int_eq (reply.status, 204);
  reply_free (&reply);
}

/* The other engine with the first layers. */
static size_t
other_first_engine (size_t engine)
{
  size_t i;

  for (i = 0; i < SITE_ENGINES; i++)
    if (i != engine && member_value (&site.engines[i], "first") == 0)
      return i;
  ck_abort_msg ("no other engine holds the first layers");
  return 0;
}

static void
poll_sleep_steps (int steps)
{
  while (steps--)
    poll_sleep ();
}

static void
engines_signal (int signal)
{
  size_t i;

  for (i = 0; i < SITE_ENGINES; i++)
    proc_signal (&site.engines[i], signal);
}

static int64_t
engines_total (const char *name)
{
  int64_t total = 0;
  size_t i;

  for (i = 0; i < SITE_ENGINES; i++)
    if (site.engines[i].pid)
      total += member_value (&site.engines[i], name);
  return total;
}

/* Waits until the engines together run WANT streams. */
static void
engines_wait_open (int64_t want)
{
  int step;

  for (step = 0; step < WAIT_STEPS_MAX; step++)
    {
      if (engines_total ("open") == want)
        return;
      poll_sleep ();
    }
  ck_abort_msg ("the engines do not run %d streams", (int)want);
}

/* No engine runs a stream on; together they sent WANT to the last event. */
static void
assert_whole_streams (int64_t want)
{
  engines_wait_open (0);
  ck_assert_int_eq (engines_total ("whole"), want);
}

/* The stream's engine is silent for a second and then goes on, and the other
   engine refuses. The retry budget allows one retry. The stream has its first
   events already, or none yet. */
START_TEST (test_stream_stays_with_silent_engine_when_other_refuses)
{
  caller_t caller;
  size_t first;
  size_t i;

  site.step_us = "20000";
  limit_retries ("2");
  site_start (1);
  for (i = 0; i < SITE_ENGINES && _i == 1; i++)
    member_tell (&site.engines[i], "/first", "{\"ms\":500}");
  stream_start (&caller, 0, "s1");
  if (_i == 0)
    caller_wait_body (&caller, 60);
  else
    engines_wait_open (1);
  first = running_engine ();
  member_tell (&site.engines[other_first_engine (first)], "/places",
               "{\"full\":true}");
  proc_signal (&site.engines[first], SIGSTOP);
  poll_sleep_steps (SILENT_STEPS);
  proc_signal (&site.engines[first], SIGCONT);
  caller_join (&caller);
  assert_stream_complete (&caller.reply);
  reply_free (&caller.reply);
  assert_whole_streams (1);
}
END_TEST

/* All engines are silent for a second, and then refuse new streams. The retry
   budget allows two retries. */
START_TEST (test_streams_stay_when_all_engines_are_silent)
{
  static const char *const ids[] = { "s0", "s1", "s2", "s3" };
  caller_t callers[4];
  size_t i;

  site.step_us = "20000";
  limit_retries ("0.7");
  site_start (1);
  for (i = 0; i < 4; i++)
    stream_start (&callers[i], 0, ids[i]);
  for (i = 0; i < 4; i++)
    caller_wait_body (&callers[i], 60);
  for (i = 0; i < SITE_ENGINES; i++)
    member_tell (&site.engines[i], "/places", "{\"full\":true}");
  engines_signal (SIGSTOP);
  poll_sleep_steps (SILENT_STEPS);
  engines_signal (SIGCONT);
  for (i = 0; i < 4; i++)
    caller_join (&callers[i]);
  for (i = 0; i < 4; i++)
    {
      assert_stream_complete (&callers[i].reply);
      reply_free (&callers[i].reply);
    }
  assert_whole_streams (4);
}
END_TEST

/* The stream's engine is silent for a second and then goes on. The other
   engine is killed meanwhile, before its first event. */
START_TEST (test_stream_stays_with_silent_engine_when_other_ends)
{
  caller_t caller;
  size_t first;
  size_t other;

  site.step_us = "20000";
  limit_retries ("2");
  site_start (1);
  stream_start (&caller, 0, "s1");
  caller_wait_body (&caller, 60);
  first = running_engine ();
  other = other_first_engine (first);
  member_tell (&site.engines[other], "/first", "{\"ms\":10000}");
  proc_signal (&site.engines[first], SIGSTOP);
  poll_sleep_steps (SILENT_STEPS / 2);
  proc_end (&site.engines[other], SIGKILL);
  poll_sleep_steps (SILENT_STEPS / 2);
  proc_signal (&site.engines[first], SIGCONT);
  caller_join (&caller);
  assert_stream_complete (&caller.reply);
  reply_free (&caller.reply);
  assert_whole_streams (1);
}
END_TEST

/* The stream's engine goes on after a second of silence, while the other
   engine runs the stream as well, or before that sends its first event: the
   stream comes from one of them, and the other one drops it. */
START_TEST (test_stream_is_dropped_by_engine_that_goes_on_late)
{
  caller_t caller;
  size_t first;

  site.step_us = "50000";
  site_start (1);
  stream_start (&caller, 0, "s1");
  caller_wait_body (&caller, 60);
  first = running_engine ();
  if (_i == 1)
    member_tell (&site.engines[other_first_engine (first)], "/first",
                 "{\"ms\":1500}");
  proc_signal (&site.engines[first], SIGSTOP);
  poll_sleep_steps (SILENT_STEPS);
  proc_signal (&site.engines[first], SIGCONT);
  caller_join (&caller);
  assert_stream_complete (&caller.reply);
  reply_free (&caller.reply);
  assert_whole_streams (1);
}
END_TEST

/* Both engines with the first layers crash during a stream, and other engines
   get these layers a moment later: the stream resumes there. A host whose
   other engines had no capacity aborted such streams 8 ms after the crash
   (reason="no endpoint to go on at" events=106). The engine without the stream
   is killed first: if the stream were sent to it just as it exits (sent_us=153
   net=broken), two attempts might have run, which is the rule's maximum, and
   the stream would be aborted. */
START_TEST (test_stream_waits_for_engine_to_resume_on)
{
  caller_t caller;
  size_t first;
  size_t i;

  site_start (1);
  stream_start (&caller, 0, "s1");
  caller_wait_body (&caller, 60);
  first = running_engine ();
  for (i = 0; i < SITE_ENGINES; i++)
    if (i != first && member_value (&site.engines[i], "first") == 0)
      proc_kill_wait (&site.engines[i]);
  proc_kill (&site.engines[first]);
  metric_wait_min (&site.hosts[0], "elmarch_relay_waits_total", 1);
  ck_assert_uint_eq (site_engines_replace (), 2);
  caller_join (&caller);
  assert_stream_complete (&caller.reply);
  reply_free (&caller.reply);
}
END_TEST

/* The same beside a second host, which reaches no such engine either: the
   stream is not failed by forwarding it there. */
START_TEST (test_stream_waits_when_no_host_reaches_an_engine)
{
  caller_t caller;
  size_t first;
  size_t i;

  site_start (2);
  stream_start (&caller, 0, "s1");
  caller_wait_body (&caller, 60);
  first = running_engine ();
  for (i = 0; i < SITE_ENGINES; i++)
    if (i != first && member_value (&site.engines[i], "first") == 0)
      proc_kill_wait (&site.engines[i]);
  proc_kill (&site.engines[first]);
  metric_wait_min (&site.hosts[0], "elmarch_relay_waits_total", 1);
  ck_assert_uint_eq (site_engines_replace (), 2);
  caller_join (&caller);
  assert_stream_complete (&caller.reply);
  reply_free (&caller.reply);
}
END_TEST

/* An engine after the first is killed: the stream stays at its first engine
   and is rerouted around the lost one. */
START_TEST (test_stream_is_rerouted_around_lost_engine)
{
  char at[64];
  caller_t caller;
  json_t *seen;
  reply_t reply;
  const char *chain;
  size_t first;
  size_t i;

  site_start (1);
  stream_start (&caller, 0, "s1");
  caller_wait_body (&caller, 60);
  first = running_engine ();
  seen = http_get_json (site.engines[first].address, "/seen");
  chain = json_string_value (json_object_get (seen, "path"));
  for (i = 0; i < SITE_ENGINES; i++)
    if (i != first && strstr (chain, site.engines[i].address))
      {
        snprintf (at, sizeof at, "{\"at\":\"%s\"}", site.engines[i].address);
        http_request ("POST", site.engines[first].address, "/stall", at, NULL,
                      &reply);
        reply_free (&reply);
        proc_end (&site.engines[i], SIGKILL);
        break;
      }
  ck_assert_uint_lt (i, SITE_ENGINES);
  json_decref (seen);
  caller_join (&caller);
  assert_stream_complete (&caller.reply);
  reply_free (&caller.reply);
  for (i = 0; i < SITE_ENGINES; i++) /* no other engine received the request */
    if (site.engines[i].pid)
      ck_assert_int_eq (member_value (&site.engines[i], "runs"), i == first);
}
END_TEST

/* An engine is alive, but the engine before it in the chain can't reach it;
   only the first engine learns of that. */
START_TEST (test_stream_is_rerouted_around_unreachable_engine)
{
  char at[64];
  caller_t caller;
  reply_t reply;
  int64_t begin;
  size_t first;
  size_t i;

  site_start (1);
  stream_start (&caller, 0, "s1");
  caller_wait_body (&caller, 60);
  first = running_engine ();
  begin = member_value (&site.engines[first], "end");
  for (i = 0; i < SITE_ENGINES; i++)
    if (member_value (&site.engines[i], "first") == begin)
      {
        snprintf (at, sizeof at, "{\"at\":\"%s\"}", site.engines[i].address);
        http_request ("POST", site.engines[first].address, "/stall", at, NULL,
                      &reply);
        reply_free (&reply);
      }
  caller_join (&caller);
  assert_stream_complete (&caller.reply);
  reply_free (&caller.reply);
}
END_TEST

/* A payment whose response is lost is not retried, and is not reported as
   refused. */
START_TEST (test_relay_unsafe_runs_once_when_response_is_lost)
{
  reply_t reply;

  site_start (1);
  workers_set_fault ("{\"fault\":\"lose\"}");
  send_request (0, "POST", "/pay/x", "r1", &reply);
  ck_assert_int_eq (reply.status, 502);
  reply_free (&reply);
  ck_assert_int_eq (workers_total ("runs"), 1);
}
END_TEST

START_TEST (test_relay_safe_is_retried_elsewhere)
{
  reply_t reply;

  site_start (1);
  set_fault (&site.workers[0], "{\"fault\":\"down\"}");
  set_fault (&site.workers[1], "{\"fault\":\"none\"}");
  send_request (0, "GET", "/look/x", "r1", &reply);
  ck_assert_int_eq (reply.status, 200);
  reply_free (&reply);
  workers_set_fault ("{\"fault\":\"lose\"}");
  send_request (0, "GET", "/look/x", "r2", &reply);
  ck_assert_int_eq (reply.status, 502);
  reply_free (&reply);
}
END_TEST

/* All workers refuse: the caller is told at once that nothing ran, and when to
   retry. */
START_TEST (test_relay_refusal_is_not_run_with_retry_after)
{
  char header[64];
  reply_t reply;

  site_start (1);
  workers_set_fault ("{\"fault\":\"busy\"}");
  send_request (0, "POST", "/pay/x", "r1", &reply);
  ck_assert_int_eq (reply.status, 503);
  reply_header (&reply, "retry-after", header, sizeof header);
  ck_assert (strtod (header, NULL) > 0);
  reply_free (&reply);
  ck_assert_int_eq (workers_total ("runs"), 0);
}
END_TEST

START_TEST (test_relay_response_to_another_request_is_not_forwarded)
{
  reply_t reply;

  site_start (1);
  workers_set_fault ("{\"fault\":\"cross\"}");
  send_request (0, "POST", "/pay/x", "r1", &reply);
  ck_assert_int_eq (reply.status, 502);
  reply_free (&reply);
}
END_TEST

/* The workers hang: the response is sent at the rule's timeout. */
START_TEST (test_relay_times_out)
{
  reply_t reply;

  site_start (1);
  workers_set_fault ("{\"fault\":\"hang\"}");
  send_request (0, "GET", "/look/x", "r1", &reply);
  ck_assert_int_eq (reply.status, 504);
  reply_free (&reply);
}
END_TEST

/* The caller disconnects during its stream: the work is cancelled at the
   endpoint. */
START_TEST (test_relay_caller_disconnect_cancels_work)
{
  caller_t caller;
  size_t first;
  int i;

  site_start (1);
  stream_start (&caller, 0, "s1");
  caller_wait_body (&caller, 60);
  first = running_engine ();
  caller_disconnect (&caller);
  caller_join (&caller);
  reply_free (&caller.reply);
  for (i = 0; i < WAIT_STEPS_MAX; i++)
    {
      if (member_value (&site.engines[first], "gone"))
        return;
      poll_sleep ();
    }
  ck_abort_msg ("the engine did not cancel the request");
}
END_TEST

/* A revoked key is refused by all hosts. A host that can't reach the store
   refuses requests too. */
START_TEST (test_relay_revoked_key_is_refused)
{
  reply_t reply;
  long status = 0;
  size_t host;
  int i;

  site_start (2);
  site_put_config (2, "[\"another-key\"]");
  for (i = 0; i < WAIT_STEPS_MAX && status != 401; i++)
    {
      send_request (1, "GET", "/look/x", "r1", &reply);
      status = reply.status;
      reply_free (&reply);
    }
  ck_assert_int_eq (status, 401);
  site_put_config (3, "[\"" CUSTOMER_KEY "\"]");
  for (i = 0; i < WAIT_STEPS_MAX && status != 200; i++)
    {
      send_request (1, "GET", "/look/x", "r2", &reply);
      status = reply.status;
      reply_free (&reply);
    }
  ck_assert_int_eq (status, 200);
  site_store_mute (1);
  for (host = 0; host < 2; host++) /* one learns it from the other */
    {
      status = 200;
      for (i = 0; i < WAIT_STEPS_MAX && status == 200; i++)
        {
          send_request (host, "GET", "/look/x", "r3", &reply);
          status = reply.status;
          reply_free (&reply);
          poll_sleep ();
        }
      ck_assert_int_eq (status, 503);
    }
  site_store_mute (0);
  for (i = 0; i < WAIT_STEPS_MAX && status != 200; i++)
    {
      send_request (1, "GET", "/look/x", "r4", &reply);
      status = reply.status;
      reply_free (&reply);
      poll_sleep ();
    }
  ck_assert_int_eq (status, 200);
}
END_TEST

/* The limit of the body size, from the operators' configuration. */
START_TEST (test_relay_body_over_limit_is_refused)
{
  const char *headers[]
      = { "host: rel.example", "x-elmarch-request-id: r1", NULL };
  char *body = el_alloc (65536 + 2);
  reply_t reply;

  site_start (1);
  memset (body, 'b', 65536);
  http_request ("POST", site.entry_addrs[0].address, "/pay/x", body, headers,
                &reply);
  ck_assert_int_eq (reply.status, 200);
  reply_free (&reply);
  body[65536] = 'b';
  http_request ("POST", site.entry_addrs[0].address, "/pay/x", body, headers,
                &reply);
  ck_assert_int_eq (reply.status, 413);
  reply_free (&reply);
  ck_assert_int_eq (workers_total ("runs"), 1);
  free (body);
}
END_TEST

/* A request that arrives before the host has its configuration waits and is
   then served. If the store does not respond, it is refused as not run. */
START_TEST (test_relay_waits_for_the_first_configuration)
{
  caller_t caller;
  reply_t reply;

  site_start (1);
  proc_end (&site.hosts[0], SIGKILL);
  site_store_mute (1);
  site_host_start (0);
  send_request (0, "GET", "/look/x", "r1", &reply);
  ck_assert_int_eq (reply.status, 503);
  reply_free (&reply);
  stream_start (&caller, 0, "s1");
  metric_wait_min (&site.hosts[0], "elmarch_relay_requests_total", 2);
  site_store_mute (0);
  caller_join (&caller);
  assert_stream_complete (&caller.reply);
  reply_free (&caller.reply);
  ck_assert_int_eq (workers_total ("runs"), 0);
}
END_TEST

/* A configuration with a lower version is ignored. */
START_TEST (test_relay_configuration_is_never_downgraded)
{
  reply_t reply;
  long status = 0;
  int i;

  site_start (1);
  site_put_config (5, "[\"another-key\"]");
  for (i = 0; i < WAIT_STEPS_MAX && status != 401; i++)
    {
      send_request (0, "GET", "/look/x", "r1", &reply);
      status = reply.status;
      reply_free (&reply);
    }
  site_put_config (4, "[\"" CUSTOMER_KEY "\"]");
  for (i = 0; i < 100; i++)
    {
      send_request (0, "GET", "/look/x", "r2", &reply);
      ck_assert_int_eq (reply.status, 401);
      reply_free (&reply);
    }
}
END_TEST

/* No host sends new requests to a leaving endpoint. */
START_TEST (test_relay_leaving_endpoint_gets_no_new_requests)
{
  reply_t reply;
  int64_t runs;
  int64_t before = -1;
  size_t host;
  int nunchanged = 0;
  int i;

  site_start (2);
  http_request ("POST", site.workers[0].address, "/leave", "{}", NULL, &reply);
  reply_free (&reply);
  for (i = 0; i < WAIT_STEPS_MAX && nunchanged < 200; i++)
    {
      host = (size_t)i % 2;
      send_request (host, "GET", "/look/x", "r1", &reply);
      ck_assert_int_eq (reply.status, 200);
      reply_free (&reply);
      runs = member_value (&site.workers[0], "runs");
      nunchanged = runs == before ? nunchanged + 1 : 0;
      before = runs;
    }
  ck_assert_int_ge (nunchanged, 200);
}
END_TEST

/* The planner's host is killed: another host places layers on a new engine. */
START_TEST (test_planner_failover)
{
  size_t i;

  site_start (3);
  for (i = 0; i < 2; i++)
    proc_end (&site.hosts[i], SIGKILL);
  proc_end (&site.engines[0], SIGKILL);
  site_engine_start (0);
  site_wait_placed ();
}
END_TEST

/* The planner's host is stopped gracefully while its stream runs: it releases
   the planner role at once. */
START_TEST (test_stopping_planner_releases_its_role)
{
  caller_t callers[2];
  size_t i;

  site.step_us = "100000";
  site_start (2);
  for (i = 0; i < 2; i++)
    {
      stream_start (&callers[i], i, i ? "s1" : "s0");
      caller_wait_body (&callers[i], 1);
    }
  i = metric_value (&site.hosts[0], "elmarch_planner") ? 0 : 1;
  proc_signal (&site.hosts[i], SIGTERM);
  metric_wait_min (&site.hosts[1 - i], "elmarch_planner", 1);
  pthread_mutex_lock (&callers[i].lock);
  ck_assert_int_eq (callers[i].done, 0); /* the stopping host is still alive */
  pthread_mutex_unlock (&callers[i].lock);
  for (i = 0; i < 2; i++)
    {
      caller_join (&callers[i]);
      assert_stream_complete (&callers[i].reply);
      reply_free (&callers[i].reply);
    }
}
END_TEST

/* A graceful stop: the host is no longer ready or listed as an entry address
   at once, and its running stream completes. */
START_TEST (test_relay_graceful_stop_aborts_nothing)
{
  caller_t caller;
  reply_t reply;
  long status = 200;
  int listed = 1;
  int i;

  site_start (2);
  stream_start (&caller, 0, "s1");
  caller_wait_body (&caller, 60);
  proc_signal (&site.hosts[0], SIGTERM);
  for (i = 0; i < WAIT_STEPS_MAX && status == 200; i++)
    {
      http_request ("GET", site.ready_addrs[0].address, "/elmarch/ready", NULL,
                    NULL, &reply);
      status = reply.status;
      reply_free (&reply);
    }
  ck_assert_int_ne (status, 200);
  for (i = 0; i < WAIT_STEPS_MAX && listed; i++)
    {
      http_request ("GET", site.directory_addrs[1].address,
                    "/elmarch/resolve?Name=rel.example&Zone=h", NULL, NULL,
                    &reply);
      ck_assert_int_eq (reply.status, 200);
      ck_assert_ptr_nonnull (
          strstr (reply.body.ptr, site.entry_addrs[1].address));
      listed = strstr (reply.body.ptr, site.entry_addrs[0].address) != NULL;
      reply_free (&reply);
      poll_sleep ();
    }
  ck_assert_int_eq (listed, 0);
  caller_join (&caller);
  assert_stream_complete (&caller.reply);
  reply_free (&caller.reply);
}
END_TEST

#define NESTED_DEEP 20000

static void
odd_entry_put (const char *name, const char *value)
{
  char path[64];
  reply_t reply;

  snprintf (path, sizeof path, "/test/servers/%s", name);
  http_request ("PUT", site.store.address, path, value, NULL, &reply);
  ck_assert_int_eq (reply.status, 200);
  reply_free (&reply);
}

/* Guards against hosts that end, or read no further, at odd entries of another
   program: one that runs, and one that starts among them, read what follows.
 */
START_TEST (test_hosts_read_what_follows_odd_entries)
{
  static const char *const odd[] = {
    "{\"Service\":\"app\",\"Address\":\"127.0.0.1:99999\",\"Zone\":\"h\","
    "\"State\":\"ready\",\"Slots\":4,\"SeqNo\":0}",
    "{\"Service\":\"app\",\"Address\":\"127.0.0.1:9\",\"Zone\":\"h\","
    "\"State\":\"ready\",\"Slots\":99999999999999999999,\"SeqNo\":0}",
    "{\"Service\":\"app\",\"Address\":\"127.0.0.1:9\",\"Zone\":\"h\","
    "\"State\":\"ready\",\"Slots\":9223372036854775807,\"SeqNo\":1e999}",
    "",
    "\"",
    "[[]]"
  };
  static char nested[NESTED_DEEP + 1];
  char name[8];
  reply_t reply;
  size_t i;

  memset (nested, '[', NESTED_DEEP);
  site_start (2);
  for (i = 0; i < sizeof odd / sizeof *odd; i++)
    {
      snprintf (name, sizeof name, "%c%zu", i % 2 ? 'a' : 'z', i);
      odd_entry_put (name, odd[i]);
    }
  odd_entry_put ("b", nested);
  ck_assert_int_eq (proc_end (&site.hosts[0], SIGTERM), 0);
  site_host_start (0);
  site_workers_replace ();
  for (i = 0; i < 2; i++)
    {
      send_request (i, "POST", "/pay/x", i ? "r1" : "r0", &reply);
      ck_assert_int_eq (reply.status, 200);
      reply_free (&reply);
      ck_assert_int_eq (proc_end (&site.hosts[i], SIGTERM), 0);
    }
}
END_TEST

#define STOP_MOST_MS "1500"

/* Guards against requests that are cut without an answer at the end of a
   stop. */
START_TEST (test_relay_that_outlasts_a_stop_is_responded_to)
{
  caller_t callers[2];
  size_t i;

  site.host_flags[0] = "--stop-least-ms";
  site.host_flags[1] = "600";
  site.host_flags[2] = "--stop-most-ms";
  site.host_flags[3] = STOP_MOST_MS;
  site_start (1);
  workers_set_fault ("{\"fault\":\"slow\",\"delay_ms\":4000}");
  proc_signal (&site.hosts[0], SIGTERM);
  for (i = 0; i < 2; i++)
    request_start (&callers[i], 0, "/pay/x", i ? "r1" : "r0");
  for (i = 0; i < 2; i++)
    {
      caller_join (&callers[i]);
      ck_assert_int_eq (callers[i].reply.status, 502);
      ck_assert_ptr_nonnull (strstr (callers[i].reply.body.ptr, "stopping"));
      reply_free (&callers[i].reply);
    }
  ck_assert_int_eq (proc_end (&site.hosts[0], SIGTERM), 0);
}
END_TEST

Suite *
site_suite (void)
{
  Suite *suite = suite_create ("site");
  TCase *tcase = tcase_create ("site");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, site_setup, site_teardown);
  ADD (tcase, test_relay_follows_rules_and_keys);
  ADD (tcase, test_relay_sends_endpoint_headers);
  ADD (tcase, test_relay_forwards_stream);
  ADD_LOOP (tcase, test_stream_resumes_after_loss_of_first_engine, 2);
  ADD (tcase, test_stream_waits_when_attempts_are_used_up);
  ADD_LOOP (tcase, test_stream_stays_with_silent_engine_when_other_refuses, 2);
  ADD (tcase, test_streams_stay_when_all_engines_are_silent);
  ADD (tcase, test_stream_stays_with_silent_engine_when_other_ends);
  ADD_LOOP (tcase, test_stream_is_dropped_by_engine_that_goes_on_late, 2);
  ADD (tcase, test_stream_waits_for_engine_to_resume_on);
  ADD (tcase, test_stream_waits_when_no_host_reaches_an_engine);
  ADD (tcase, test_stream_is_rerouted_around_lost_engine);
  ADD (tcase, test_stream_is_rerouted_around_unreachable_engine);
  ADD (tcase, test_relay_unsafe_runs_once_when_response_is_lost);
  ADD (tcase, test_relay_safe_is_retried_elsewhere);
  ADD (tcase, test_relay_refusal_is_not_run_with_retry_after);
  ADD (tcase, test_relay_response_to_another_request_is_not_forwarded);
  ADD (tcase, test_relay_times_out);
  ADD (tcase, test_relay_caller_disconnect_cancels_work);
  ADD (tcase, test_relay_revoked_key_is_refused);
  ADD (tcase, test_relay_body_over_limit_is_refused);
  ADD (tcase, test_relay_waits_for_the_first_configuration);
  ADD (tcase, test_relay_configuration_is_never_downgraded);
  ADD (tcase, test_relay_leaving_endpoint_gets_no_new_requests);
  ADD (tcase, test_planner_failover);
  ADD (tcase, test_stopping_planner_releases_its_role);
  ADD (tcase, test_relay_graceful_stop_aborts_nothing);
  ADD (tcase, test_hosts_read_what_follows_odd_entries);
  ADD (tcase, test_relay_that_outlasts_a_stop_is_responded_to);
  suite_add_tcase (suite, tcase);
  return suite;
}
