/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of a store that is restored from a backup, with real processes.
 */
#include <signal.h>
#include <stdio.h>

#include "site.h"
#include "test.h"

#define HOSTS 3
#define LOST_WRITES 8
#define REQUESTS_PER_HOST 12
/* At most one request per 5 ms. */
#define REQUESTS_DURING_RESTORE 600
#define REQUESTS_AFTER_START 200
#define CRASH_REQUESTS_MAX 12

static void
store_post (const char *path, const char *body)
{
  reply_t reply;

  http_request ("POST", site.store.address, path, body, NULL, &reply);
  ck_assert_int_eq (reply.status, 200);
  reply_free (&reply);
}

static void
store_put (const char *key, const char *text)
{
  char path[128];
  reply_t reply;

  snprintf (path, sizeof path, "/test/%s", key);
  http_request ("PUT", site.store.address, path, text, NULL, &reply);
  ck_assert_int_eq (reply.status, 200);
  reply_free (&reply);
}

/* Starts the site and has the store make a backup. All hosts know revisions
   after the backup. */
static void
site_start_ahead_of_backup (void)
{
  char key[64];
  int i;

  site_start (HOSTS);
  store_post ("/test/copy", "{}");
  for (i = 0; i < LOST_WRITES; i++)
    {
      snprintf (key, sizeof key, "elmarch/lost-%d", i);
      store_put (key, "lost");
    }
  store_put ("servers/after", "{\"Service\":\"other\",\"Address\":"
                              "\"127.0.0.1:9\",\"Zone\":\"h\",\"Slots\":1,"
                              "\"State\":\"ready\",\"SeqNo\":0}");
  site_wait_metric ("elmarch_endpoints", SITE_ENGINES + SITE_WORKERS + 1);
}

/* Guards against requests to a leaving endpoint by hosts that ask another host
   for changes after a revision that the store has assigned a second time. */
START_TEST (test_leaving_under_a_reused_revision_reaches_all_hosts)
{
  int64_t before;
  reply_t reply;
  size_t host;
  int i;

  site_start_ahead_of_backup ();
  store_post ("/test/restore", "{}");
  http_request ("POST", site.workers[0].address, "/leave", "{}", NULL, &reply);
  reply_free (&reply);
  site_wait_metric ("elmarch_endpoints_leaving", 1);
  before = member_value (&site.workers[0], "runs");
  for (host = 0; host < HOSTS; host++)
    for (i = 0; i < REQUESTS_PER_HOST; i++)
      {
        char id[32];

        snprintf (id, sizeof id, "r-%zu-%d", host, i);
        send_request (host, "GET", "/look/x", id, &reply);
        ck_assert_int_eq (reply.status, 200);
        reply_free (&reply);
      }
  ck_assert_int_eq (member_value (&site.workers[0], "runs"), before);
}
END_TEST

static void
restore_while_paused (size_t host)
{
  proc_signal (&site.hosts[host], SIGSTOP);
  store_post ("/test/restore", "{}");
  site_wait_metric_except (host, "elmarch_store_epoch", 1);
  proc_signal (&site.hosts[host], SIGCONT);
}

static void
restore_first_host_paused (void)
{
  restore_while_paused (0);
}

static void
restore_other_host_paused (void)
{
  restore_while_paused (1);
}

static void
restore_twice (void)
{
  store_post ("/test/restore", "{}");
  store_put ("elmarch/lost-again", "lost");
  store_post ("/test/restore", "{}");
}

static void
restore_and_restart_hosts (void)
{
  size_t i;

  store_post ("/test/restore", "{}");
  for (i = 0; i < HOSTS; i++)
    proc_end (&site.hosts[i], SIGKILL);
  for (i = 0; i < HOSTS; i++)
    site_host_start (i);
}

static void (*const restores[]) (void)
    = { restore_first_host_paused, restore_other_host_paused, restore_twice,
        restore_and_restart_hosts };

/* Guards against a host that does not learn that an endpoint is leaving, as
   the host was stopped or restarted during the restore, or saw two restores.
 */
START_TEST (test_leaving_reaches_hosts_after_any_restore)
{
  reply_t reply;

  site_start_ahead_of_backup ();
  restores[_i]();
  http_request ("POST", site.workers[0].address, "/leave", "{}", NULL, &reply);
  reply_free (&reply);
  site_wait_metric ("elmarch_endpoints_leaving", 1);
}
END_TEST

/* The lease of the planner's key; 0 if there is no such key. */
static json_int_t
planner_lease (void)
{
  json_t *json = http_get_json (
      site.store.address, "/elmarch/kv-range?PathPrefix=elmarch/planner");
  json_t *items = json_object_get (json, "Items");
  json_int_t lease = json_integer_value (
      json_object_get (json_array_get (items, 0), "lease"));

  json_decref (json);
  return lease;
}

static json_int_t
planner_lease_wait (void)
{
  json_int_t lease = 0;
  int i;

  for (i = 0; i < WAIT_STEPS_MAX && !lease; i++)
    {
      lease = planner_lease ();
      poll_sleep ();
    }
  ck_assert_int_ne (lease, 0);
  return lease;
}

static int64_t
orders_taken (void)
{
  int64_t sum = 0;
  size_t i;

  for (i = 0; i < SITE_ENGINES; i++)
    sum += member_value (&site.engines[i], "orders");
  return sum;
}

/* Guards against a planner that continues under a lease which the store has
   lost, while another host is the planner. */
START_TEST (test_planner_with_lost_lease_stops_before_the_next_one)
{
  char path[64];
  uint64_t planners;
  int64_t orders;
  reply_t reply;
  size_t host;
  int i;

  site_start (HOSTS);
  snprintf (path, sizeof path, "/elmarch/kv-lease-end/%lld",
            (long long)planner_lease_wait ());
  http_request ("DELETE", site.store.address, path, NULL, NULL, &reply);
  reply_free (&reply);
  store_post ("/test/copy", "{}");
  planner_lease_wait ();
  orders = orders_taken ();
  store_post ("/test/restore", "{}");
  ck_assert_int_eq (planner_lease (), 0);
  for (i = 0; i < WAIT_STEPS_MAX && !planner_lease (); i++)
    {
      planners = 0;
      for (host = 0; host < HOSTS; host++)
        planners += metric_value (&site.hosts[host], "elmarch_planner");
      ck_assert_uint_le (planners, 1);
      poll_sleep ();
    }
  planner_lease_wait ();
  ck_assert_int_eq (orders_taken (), orders);
}
END_TEST

/* Guards against requests that are refused or sent to former workers, as the
   backup has those and lacks the current ones. */
START_TEST (test_workers_newer_than_the_backup_are_used)
{
  char id[32];
  reply_t reply;
  size_t i;

  site_start (HOSTS);
  store_post ("/test/copy", "{}");
  for (i = 0; i < SITE_WORKERS; i++)
    proc_end (&site.workers[i], SIGKILL);
  site_workers_replace ();
  store_post ("/test/restore", "{\"again_ms\":1500}");
  for (i = 0; i < REQUESTS_DURING_RESTORE; i++)
    {
      snprintf (id, sizeof id, "m-%zu", i);
      send_request (i % HOSTS, "GET", "/look/x", id, &reply);
      ck_assert_int_eq (reply.status, 200);
      reply_free (&reply);
      poll_sleep ();
    }
  site_wait_metric ("elmarch_endpoints", SITE_ENGINES + SITE_WORKERS);
  for (i = 0; i < HOSTS; i++)
    ck_assert_uint_eq (
        metric_value (&site.hosts[i], "elmarch_relay_repeats_total"), 0);
}
END_TEST

/* Guards against requests to a leaving endpoint from a host that starts before
   the endpoint has written its state again, and reads the backup. */
START_TEST (test_host_started_after_restore_knows_leaving_endpoints)
{
  char id[32];
  int64_t before;
  reply_t reply;
  int i;

  site_start (HOSTS);
  store_post ("/test/copy", "{}");
  http_request ("POST", site.workers[0].address, "/leave", "{}", NULL, &reply);
  reply_free (&reply);
  site_wait_metric ("elmarch_endpoints_leaving", 1);
  before = member_value (&site.workers[0], "runs");
  store_post ("/test/restore", "{\"again_ms\":6000}");
  site_wait_metric ("elmarch_store_epoch", 1);
  proc_end (&site.hosts[1], SIGKILL);
  site_host_start (1);
  for (i = 0; i < REQUESTS_AFTER_START; i++)
    {
      snprintf (id, sizeof id, "n-%d", i);
      send_request (1, "GET", "/look/x", id, &reply);
      reply_free (&reply);
      poll_sleep ();
    }
  ck_assert_int_eq (member_value (&site.workers[0], "runs"), before);
}
END_TEST

/* Guards against a host that accepts a revoked key, as it starts before the
   configuration is written again, and reads the backup. */
START_TEST (test_host_started_after_restore_refuses_revoked_key)
{
  char id[32];
  reply_t reply;
  size_t i;

  site_start (HOSTS);
  store_post ("/test/copy", "{}");
  site_put_config (2, "[\"another\"]");
  for (i = 0; i < HOSTS; i++)
    do
      {
        send_request (i, "GET", "/look/x", "a", &reply);
        reply_free (&reply);
      }
    while (reply.status != 401);
  store_post ("/test/restore", "{\"again_ms\":2000}");
  site_wait_metric ("elmarch_store_epoch", 1);
  proc_end (&site.hosts[1], SIGKILL);
  site_host_start (1);
  for (i = 0; i < REQUESTS_AFTER_START; i++)
    {
      snprintf (id, sizeof id, "k-%zu", i);
      send_request (i % HOSTS, "GET", "/look/x", id, &reply);
      ck_assert_int_ne (reply.status, 200);
      reply_free (&reply);
      poll_sleep ();
    }
  ck_assert_int_eq (reply.status, 401);
}
END_TEST

static size_t
stored_blocked_count (void)
{
  json_t *json = http_get_json (
      site.store.address, "/elmarch/kv-range?PathPrefix=elmarch/blocked/");
  size_t n = json_array_size (json_object_get (json, "Items"));

  json_decref (json);
  return n;
}

static void
stored_blocked_wait (void)
{
  int i;

  for (i = 0; i < WAIT_STEPS_MAX && !stored_blocked_count (); i++)
    poll_sleep ();
  ck_assert_uint_gt (stored_blocked_count (), 0);
}

/* Guards against hosts that accept a request that crashes engines after a
   restart, as the store has lost the block. */
START_TEST (test_block_is_stored_again_after_restore)
{
  char id[32];
  reply_t reply;
  size_t i;

  site_start (1);
  store_post ("/test/copy", "{}");
  for (i = 0; i < CRASH_REQUESTS_MAX && !stored_blocked_count (); i++)
    {
      snprintf (id, sizeof id, "d%zu", i);
      send_request_body (0, "/chat/x", "a deadly roster", id, &reply);
      reply_free (&reply);
      site_engines_replace ();
    }
  stored_blocked_wait ();
  store_post ("/test/restore", "{}");
  stored_blocked_wait ();
}
END_TEST

Suite *
restore_suite (void)
{
  Suite *suite = suite_create ("restore");
  TCase *tcase = tcase_create ("restore");

  tcase_add_checked_fixture (tcase, site_setup, site_teardown);
  tcase_set_timeout (tcase, 90);
  ADD (tcase, test_leaving_under_a_reused_revision_reaches_all_hosts);
  ADD_LOOP (tcase, test_leaving_reaches_hosts_after_any_restore,
            sizeof restores / sizeof *restores);
  ADD (tcase, test_planner_with_lost_lease_stops_before_the_next_one);
  ADD (tcase, test_workers_newer_than_the_backup_are_used);
  ADD (tcase, test_host_started_after_restore_knows_leaving_endpoints);
  ADD (tcase, test_host_started_after_restore_refuses_revoked_key);
  ADD (tcase, test_block_is_stored_again_after_restore);
  suite_add_tcase (suite, tcase);
  return suite;
}
