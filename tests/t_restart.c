/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of endpoints that restart with their ids, of registrations by other
 * writers, and of a power failure of all machines, with real processes.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "site.h"
#include "test.h"

static void
entry_put (const char *id, const char *text)
{
  char path[128];
  reply_t reply;

  snprintf (path, sizeof path, "/test/servers/%s", id);
  http_request ("PUT", site.store.address, path, text, NULL, &reply);
  ck_assert_int_eq (reply.status, 200);
  reply_free (&reply);
}

static void
assert_stream_served (size_t host, const char *id)
{
  caller_t caller;

  stream_start (&caller, host, id);
  caller_join (&caller);
  assert_stream_complete (&caller.reply);
  reply_free (&caller.reply);
}

/* Each engine announces that it is leaving, exits, and restarts with the same
   id: it counts as a new engine, gets layers, and serves streams. */
START_TEST (test_restarted_engines_are_used)
{
  reply_t reply;
  size_t i;

  site.keep_ids = 1;
  site_start (1);
  for (i = 0; i < SITE_ENGINES; i++)
    {
      http_request ("POST", site.engines[i].address, "/leave", "{}", NULL,
                    &reply);
      reply_free (&reply);
      metric_wait_value (&site.hosts[0], "elmarch_endpoints_leaving", 1);
      proc_end (&site.engines[i], SIGKILL);
      site_engine_start (i);
      metric_wait_value (&site.hosts[0], "elmarch_endpoints_leaving", 0);
    }
  site_wait_placed ();
  metric_wait_value (&site.hosts[0], "elmarch_engines_placed", SITE_ENGINES);
  assert_stream_served (0, "s1");
}
END_TEST

/* A stream's first engine restarts with the same id during the stream, without
   layers: the stream resumes on another engine. */
START_TEST (test_stream_survives_restart_of_its_engine)
{
  caller_t caller;
  size_t i;

  site.keep_ids = 1;
  site_start (1);
  stream_start (&caller, 0, "s1");
  caller_wait_body (&caller, 60);
  for (i = 0; i < SITE_ENGINES; i++)
    if (member_value (&site.engines[i], "runs"))
      break;
  ck_assert_uint_lt (i, SITE_ENGINES);
  proc_end (&site.engines[i], SIGKILL);
  site_engine_start (i);
  caller_join (&caller);
  assert_stream_complete (&caller.reply);
  reply_free (&caller.reply);
  site_wait_placed ();
}
END_TEST

/* The store holds invalid registrations, one of them in place of a valid one:
   the other endpoints serve. */
START_TEST (test_invalid_registrations_are_ignored)
{
  char id[16];
  unsigned i;
  static const char *const entries[]
      = { "not json",
          "[]",
          "{}",
          "{\"Service\":7}",
          "{\"Service\":\"llm\",\"Address\":\"10.0.0.1\",\"Zone\":\"h\","
          "\"State\":\"ready\",\"Slots\":4}",
          "{\"Service\":\"app\",\"Address\":\"127.0.0.1:9\",\"Zone\":\"h\","
          "\"State\":\"asleep\",\"Slots\":4}",
          "{\"Service\":\"app\",\"Address\":\"127.0.0.1:9\",\"Zone\":\"h\","
          "\"State\":\"ready\",\"Slots\":\"4\"}" };

  site_start (1);
  for (i = 0; i < 20; i++)
    {
      snprintf (id, sizeof id, "x%u", i);
      entry_put (id, entries[i % (sizeof entries / sizeof *entries)]);
    }
  entry_put (site.engine_ids[0], "{\"State\":\"ready\"}");
  metric_wait_value (&site.hosts[0], "elmarch_endpoints",
                     SITE_ENGINES + SITE_WORKERS - 1);
  assert_stream_served (0, "s1");
  metric_wait_value (&site.hosts[0], "elmarch_endpoints",
                     SITE_ENGINES + SITE_WORKERS - 1);
}
END_TEST

/* All machines lose power at once, the store and the endpoints included:
   acknowledged writes are kept, requests are served, and a blocked request
   stays blocked. */
START_TEST (test_power_failure_of_all_machines)
{
  char id[16];
  reply_t reply;
  size_t i;

  snprintf (site.record_file, sizeof site.record_file, "/tmp/elmarch-store-%d",
            (int)getpid ());
  site_start (2);
  for (i = 0; i < 8; i++)
    {
      snprintf (id, sizeof id, "d%zu", i);
      send_request_body (i % 2, "/chat/x", "a deadly roster", id, &reply);
      reply_free (&reply);
      site_engines_replace ();
    }
  ck_assert_uint_gt (
      metric_value (&site.hosts[1], "elmarch_relay_barred_total"), 0);
  site_put_config (2, "[\"" CUSTOMER_KEY "\",\"another\"]");
  site_power_cycle ();
  send_request_body (0, "/chat/x", "a deadly roster", "e", &reply);
  ck_assert_int_eq (reply.status, 503);
  ck_assert_ptr_nonnull (strstr (reply.body.ptr, "ends endpoints"));
  reply_free (&reply);
  for (i = 0; i < 2; i++)
    assert_stream_served (i, "s");
}
END_TEST

Suite *
restart_suite (void)
{
  Suite *suite = suite_create ("restart");
  TCase *tcase = tcase_create ("restart");

  tcase_set_timeout (tcase, 90);
  tcase_add_checked_fixture (tcase, site_setup, site_teardown);
  ADD (tcase, test_restarted_engines_are_used);
  ADD (tcase, test_stream_survives_restart_of_its_engine);
  ADD (tcase, test_invalid_registrations_are_ignored);
  ADD (tcase, test_power_failure_of_all_machines);
  suite_add_tcase (suite, tcase);
  return suite;
}
