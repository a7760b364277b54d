/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of the state that hosts share, with real processes: configuration,
 * leaving and draining endpoints, and operation without the platform.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <sys/socket.h>

#include "cluster.h"
#include "test.h"

#define WATCHERS 2

static long
put_weight (size_t host, unsigned weight, json_int_t version,
            const char *change, reply_t *reply)
{
  char body[512];

  snprintf (body, sizeof body,
            "{\"spec\":{\"keyHash\":"
            "\"00000000000000000000000000000000000000000000000000000000000000"
            "00\",\"weight\":%u},\"resourceVersion\":%lld%s%s%s}",
            weight, (long long)version, change ? ",\"changeId\":\"" : "",
            change ? change : "", change ? "\"" : "");
  return admin_request (&fixture, host, "PUT", "customers/other", body, reply);
}

/* The weight of the test customer, as a host knows it. */
static json_int_t
weight_at (size_t host)
{
  json_int_t weight = 0;
  json_t *json;
  reply_t reply;

  admin_request (&fixture, host, "GET", "customers/other", NULL, &reply);
  json = json_loadb (reply.body.ptr ? reply.body.ptr : "", reply.body.len, 0,
                     NULL);
  weight = json_integer_value (
      json_object_get (json_object_get (json, "spec"), "weight"));
  json_decref (json);
  reply_free (&reply);
  return weight;
}

static void
weight_wait (size_t host, json_int_t want)
{
  int i;

  for (i = 0; i < WAIT_STEPS_MAX && weight_at (host) != want; i++)
    poll_sleep ();
  ck_assert_int_eq (weight_at (host), want);
}

static json_int_t
version_of (const reply_t *reply)
{
  json_t *json = json_loadb (reply->body.ptr, reply->body.len, 0, NULL);
  json_int_t version
      = json_integer_value (json_object_get (json, "resourceVersion"));

  json_decref (json);
  return version;
}

/* Five hosts of one hall: a change reaches all of them, although only two
   watch the platform. */
START_TEST (test_change_reaches_hosts_that_do_not_watch)
{
  unsigned watching = 0;
  reply_t reply;
  size_t i;

  cluster_start (&fixture, 5);
  ck_assert_int_eq (put_weight (3, 7, 0, NULL, &reply), 200);
  reply_free (&reply);
  for (i = 0; i < 5; i++)
    weight_wait (i, 7);
  ck_assert_int_eq (
      admin_request (&fixture, 4, "DELETE", "customers/other", NULL, &reply),
      200);
  reply_free (&reply);
  for (i = 0; i < 5; i++)
    weight_wait (i, 0);
  for (i = 0; i < 5; i++)
    {
      uint64_t calls
          = metric_value (&fixture.hosts[i], "elmarch_platform_calls_total");
      int k;

      for (k = 0; k < 200; k++)
        poll_sleep (); /* two polls of the host list */
      watching
          += metric_value (&fixture.hosts[i], "elmarch_platform_calls_total")
             > calls;
    }
  ck_assert_uint_eq (watching, WATCHERS);
}
END_TEST

/* Operators write concurrently with the same version: one succeeds, the others
   get a conflict with the current version, and no older value returns. */
START_TEST (test_concurrent_writes_get_a_conflict)
{
  caller_t writers[4];
  unsigned won = 0;
  reply_t reply;
  json_int_t version;
  size_t i;

  cluster_start (&fixture, 2);
  ck_assert_int_eq (put_weight (0, 1, 0, NULL, &reply), 200);
  version = version_of (&reply);
  reply_free (&reply);
  weight_wait (1, 1);
  for (i = 0; i < 4; i++)
    {
      char body[512];
      static const char *const headers[]
          = { "authorization: Bearer an-operator's-key", NULL };

      snprintf (
          body, sizeof body,
          "{\"spec\":{\"keyHash\":"
          "\"0000000000000000000000000000000000000000000000000000000000000000"
          "\",\"weight\":%zu},\"resourceVersion\":%lld}",
          10 + i, (long long)version);
      caller_start (&writers[i], fixture.hosts[i % 2].address,
                    "/admin/v1/customers/other", body, headers, 0);
    }
  for (i = 0; i < 4; i++)
    {
      caller_join (&writers[i]);
      if (writers[i].reply.status == 200)
        won++;
      else
        ck_assert_int_eq (writers[i].reply.status, 409);
      reply_free (&writers[i].reply);
    }
  ck_assert_uint_eq (won, 1);
  ck_assert_int_eq (put_weight (0, 2, version, NULL, &reply), 409);
  ck_assert_ptr_nonnull (strstr (reply.head.ptr, "x-elmarch-current"));
  reply_free (&reply);
  ck_assert_int_ge (weight_at (0), 10);
}
END_TEST

/* The platform applies a write but its response is lost: the change id shows
   that the write was applied. */
START_TEST (test_lost_write_response_is_resolved_by_change_id)
{
  reply_t reply;

  cluster_start (&fixture, 1);
  set_fault (&fixture.platform, "{\"fault\":\"lose\",\"times\":1}");
  ck_assert_int_eq (put_weight (0, 5, 0, "change-1", &reply), 200);
  reply_free (&reply);
  ck_assert_int_eq (weight_at (0), 5);
  set_fault (&fixture.platform, "{\"fault\":\"lose\",\"times\":1}");
  ck_assert_int_eq (
      admin_request (&fixture, 0, "DELETE", "customers/other", NULL, &reply),
      200);
  reply_free (&reply);
  weight_wait (0, 0);
}
END_TEST

static void
assert_requests_served (size_t host)
{
  char *body = chat_body ("Hello", 0, 4, NULL, 0);
  reply_t reply;

  http_request ("POST", fixture.hosts[host].address, CHAT_PATH, body, NULL,
                &reply);
  ck_assert_int_eq (reply.status, 200);
  reply_free (&reply);
  http_request ("POST", fixture.hosts[host].address, PAY_PATH,
                "{\"id\":\"x\"}", NULL, &reply);
  ck_assert_int_eq (reply.status, 200);
  reply_free (&reply);
  free (body);
}

/* Requests are served without the platform. A configuration change is refused
   as not run if it could not be sent, else its outcome is reported as unknown.
   */
START_TEST (test_requests_are_served_without_the_platform)
{
  reply_t reply;

  cluster_start (&fixture, 2);
  if (_i == 0)
    proc_end (&fixture.platform, SIGKILL);
  else
    set_fault (&fixture.platform, "{\"fault\":\"hang\"}");
  assert_requests_served (0);
  assert_requests_served (1);
  put_weight (0, 5, 0, NULL, &reply);
  if (_i == 0)
    assert_verdict (&reply, 503, "not-run");
  else
    assert_verdict (&reply, 504, "may-have-run");
  reply_free (&reply);
  assert_requests_served (0);
}
END_TEST

/* A host that starts while the platform is down gets the configuration from
   the other hosts. Without any, it reports that it has no configuration and
   runs nothing. */
START_TEST (test_host_starts_without_the_platform)
{
  reply_t reply;

  cluster_start (&fixture, 2);
  ck_assert_int_eq (put_weight (0, 9, 0, NULL, &reply), 200);
  reply_free (&reply);
  weight_wait (1, 9);
  proc_end (&fixture.platform, SIGKILL);
  proc_end (&fixture.hosts[1], SIGKILL);
  host_start (&fixture, 1);
  weight_wait (1, 9);
  assert_requests_served (1);
  proc_end (&fixture.hosts[0], SIGKILL);
  proc_end (&fixture.hosts[1], SIGKILL);
  host_start (&fixture, 1);
  http_request ("POST", fixture.hosts[1].address, PAY_PATH, "{\"id\":\"y\"}",
                NULL, &reply);
  assert_verdict (&reply, 503, "not-run");
  ck_assert_ptr_nonnull (strstr (reply.body.ptr, "starting"));
  reply_free (&reply);
}
END_TEST

/* Finds a host that does not watch the platform: its number of platform calls
   does not change during two polls of the host list. */
static size_t
host_not_watching (void)
{
  uint64_t before[HOSTS_MAX];
  size_t i;
  int k;

  for (i = 0; i < fixture.nhosts; i++)
    before[i]
        = metric_value (&fixture.hosts[i], "elmarch_platform_calls_total");
  for (k = 0; k < 250; k++)
    poll_sleep ();
  for (i = 0; i < fixture.nhosts; i++)
    if (metric_value (&fixture.hosts[i], "elmarch_platform_calls_total")
        == before[i])
      return i;
  ck_abort_msg ("all hosts watch the platform");
  return 0;
}

/* A removal also reaches a host that was stopped at the time, even if the only
   other host left has started since and read a configuration that no longer
   has the entry. */
START_TEST (test_removal_reaches_a_host_that_was_stopped)
{
  reply_t reply;
  size_t paused;
  size_t restarted;
  size_t i;

  cluster_start (&fixture, 4);
  paused = host_not_watching ();
  restarted = (paused + 1) % 4;
  ck_assert_int_eq (put_weight (restarted, 9, 0, NULL, &reply), 200);
  reply_free (&reply);
  weight_wait (paused, 9);
  proc_signal (&fixture.hosts[paused], SIGSTOP);
  ck_assert_int_eq (admin_request (&fixture, restarted, "DELETE",
                                   "customers/other", NULL, &reply),
                    200);
  reply_free (&reply);
  for (i = 0; i < 4; i++)
    if (i != paused)
      proc_end (&fixture.hosts[i], SIGKILL);
  host_start (&fixture, restarted); /* reads the configuration, which has
                                       no trace of the removal */
  metric_wait_min (&fixture.hosts[restarted], "elmarch_config_revision", 1);
  proc_end (&fixture.platform, SIGKILL); /* leaves the restarted host */
  proc_signal (&fixture.hosts[paused], SIGCONT);
  weight_wait (paused, 0);
}
END_TEST

static void
put_endpoint_state (const char *endpoint, const char *state)
{
  char path[64];
  char body[64];
  reply_t reply;

  snprintf (path, sizeof path, "/v1/hosts/%s", endpoint);
  snprintf (body, sizeof body, "{\"state\":\"%s\"}", state);
  http_request ("PUT", fixture.platform.address, path, body, NULL, &reply);
  reply_free (&reply);
}

/* Whether a host's dump shows an endpoint in a state. */
static int
endpoint_in_state (size_t host, const char *endpoint, const char *state)
{
  json_t *json;
  json_t *endpoints;
  const char *is;
  reply_t reply;
  int same;

  admin_request (&fixture, host, "GET", "dump", NULL, &reply);
  json = json_loadb (reply.body.ptr, reply.body.len, 0, NULL);
  endpoints = json_object_get (json_object_get (json, "router"), "endpoints");
  is = json_string_value (
      json_object_get (json_object_get (endpoints, endpoint), "state"));
  same = is && strcmp (is, state) == 0;
  json_decref (json);
  reply_free (&reply);
  return same;
}

static void
endpoint_wait (size_t host, const char *endpoint, const char *state)
{
  int i;

  for (i = 0; i < WAIT_STEPS_MAX && !endpoint_in_state (host, endpoint, state);
       i++)
    poll_sleep ();
  ck_assert (endpoint_in_state (host, endpoint, state));
}

/* A worker is leaving, according to the platform's host list or to its
   response to one host, or an operator drains it. No host sends it new
   requests. */
START_TEST (test_leaving_or_draining_endpoint_is_avoided_by_all_hosts)
{
  static const char *const states[] = { "leaving", "leaving", "draining" };
  reply_t reply;
  json_int_t before;
  char body[512];
  size_t i;
  int k;

  cluster_start (&fixture, 3);
  if (_i == 0)
    put_endpoint_state ("zahl-1", "leaving");
  else if (_i == 1)
    {
      set_fault (&fixture.workers[0], "{\"fault\":\"leaving\"}");
      while (!endpoint_in_state (0, "zahl-1", "leaving"))
        assert_requests_served (0);
      set_fault (&fixture.workers[0], "{\"fault\":\"none\"}");
    }
  else
    {
      snprintf (body, sizeof body,
                "{\"spec\":{\"address\":\"%s\",\"hall\":\"h\",\"role\":"
                "\"worker\",\"draining\":true}}",
                fixture.workers[0].address);
      ck_assert_int_eq (
          admin_request (&fixture, 0, "PUT", "endpoints/zahl-1", body, &reply),
          200);
      reply_free (&reply);
    }
  for (i = 0; i < 3; i++)
    endpoint_wait (i, "zahl-1", states[_i]);
  before = payment_runs (&fixture.workers[0], "x");
  for (k = 0; k < 4; k++)
    for (i = 0; i < 3; i++)
      assert_requests_served (i);
  ck_assert_int_eq (payment_runs (&fixture.workers[0], "x"), before);
}
END_TEST

static void
send_raw (const char *bytes, size_t len, int type)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  int fd = socket (AF_INET, type, 0);
  char ip[32];

  snprintf (ip, sizeof ip, "%s", fixture.hosts[0].address);
  *strchr (ip, ':') = '\0';
  inet_pton (AF_INET, ip, &addr.sin_addr);
  addr.sin_port = htons (7001);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&addr, sizeof addr), 0);
  ck_assert_int_eq ((int)send (fd, bytes, len, MSG_NOSIGNAL), (int)len);
  close (fd);
}

/* Messages that no host of the cluster sent: not sealed, oversized, truncated,
   of another version, or from a host with another key. Each is refused and
   counted, and requests are served. */
START_TEST (test_foreign_messages_are_refused)
{
  static const char call[]
      = "\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x02"
        " elm\x00\x00\x00\x01\x00\x00\x00\x01"
        "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00"
        "0123456789abcdef0123456789abcdef\x00\x00\x00\x00";
  char record[sizeof call + 4];
  char version[sizeof call];
  json_t *json;

  cluster_start (&fixture, 1);
  send_raw (call, sizeof call - 1, SOCK_DGRAM);
  send_raw (call, 20, SOCK_DGRAM);
  memcpy (version, call, sizeof call);
  version[19] = 9;
  send_raw (version, sizeof call - 1, SOCK_DGRAM);
  memcpy (record, "\x80\x00\x00\x4c", 4);
  memcpy (record + 4, call, sizeof call);
  send_raw (record, 4 + sizeof call - 1, SOCK_STREAM);
  send_raw ("\xff\xff\xff\xff....", 8, SOCK_STREAM);
  send_raw ("GET / HTTP/1.1\r\n\r\n", 18, SOCK_STREAM);
  metric_wait_min (&fixture.hosts[0], "elmarch_rpc_refused_total", 6);
  fixture.nhosts = 2; /* a host with another key must not become a member */
  snprintf (fixture.hosts[1].address, sizeof fixture.hosts[1].address, "%s",
            fixture.hosts[0].address);
  snprintf (strrchr (fixture.hosts[1].address, ':'), 6, ":8000");
  fixture.extra_flags[0] = "--cluster-key=the-key-of-another-cluster";
  host_start (&fixture, 1);
  metric_wait_min (&fixture.hosts[0], "elmarch_rpc_refused_total", 10);
  json = http_get_json (fixture.hosts[0].address, "/v1/entry-hosts");
  ck_assert_uint_eq (json_array_size (json_object_get (json, "hosts")), 1);
  json_decref (json);
  assert_requests_served (0);
}
END_TEST

Suite *
agreement_suite (void)
{
  Suite *suite = suite_create ("agreement");
  TCase *tcase = tcase_create ("agreement");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, cluster_setup, cluster_teardown);
  ADD (tcase, test_change_reaches_hosts_that_do_not_watch);
  ADD (tcase, test_concurrent_writes_get_a_conflict);
  ADD (tcase, test_lost_write_response_is_resolved_by_change_id);
  ADD_LOOP (tcase, test_requests_are_served_without_the_platform, 2);
  ADD (tcase, test_host_starts_without_the_platform);
  ADD (tcase, test_removal_reaches_a_host_that_was_stopped);
  ADD_LOOP (tcase, test_leaving_or_draining_endpoint_is_avoided_by_all_hosts,
            3);
  ADD (tcase, test_foreign_messages_are_refused);
  suite_add_tcase (suite, tcase);
  return suite;
}
