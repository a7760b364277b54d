/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A store that goes on from an older copy, with real processes.
 */
#include <stdio.h>

#include "site.h"
#include "test.h"

#define HOSTS 3
#define LOST_WRITES 8
#define ASKS 12

static void
store_post (const char *path)
{
  reply_t reply;

  http ("POST", site.store.address, path, "", NULL, &reply);
  ck_assert_int_eq (reply.status, 200);
  reply_free (&reply);
}

static void
store_put (const char *key, const char *text)
{
  char path[128];
  reply_t reply;

  snprintf (path, sizeof path, "/test/%s", key);
  http ("PUT", site.store.address, path, text, NULL, &reply);
  ck_assert_int_eq (reply.status, 200);
  reply_free (&reply);
}

/* The store holds a copy, and all hosts know of revisions beyond it. */
static void
site_open_ahead_of_copy (void)
{
  char key[64];
  int i;

  site_open (HOSTS);
  store_post ("/test/copy");
  for (i = 0; i < LOST_WRITES; i++)
    {
      snprintf (key, sizeof key, "elmarch/lost-%d", i);
      store_put (key, "lost");
    }
  store_put ("servers/after", "{\"Service\":\"other\",\"Address\":"
                              "\"127.0.0.1:9\",\"Zone\":\"h\",\"Slots\":1,"
                              "\"State\":\"ready\",\"SeqNo\":0}");
  site_hosts_see ("elmarch_endpoints", SITE_ENGINES + SITE_WORKERS + 1);
}

/* Guards against requests to a leaving endpoint by hosts that ask another host
   for changes after a revision that the store has given out again. */
START_TEST (test_leave_under_a_reused_revision_reaches_all_hosts)
{
  int64_t before;
  reply_t reply;
  size_t host;
  int i;

  site_open_ahead_of_copy ();
  store_post ("/test/restore");
  http ("POST", site.workers[0].address, "/leave", "{}", NULL, &reply);
  reply_free (&reply);
  site_hosts_see ("elmarch_endpoints_leaving", 1);
  before = member_number (&site.workers[0], "runs");
  for (host = 0; host < HOSTS; host++)
    for (i = 0; i < ASKS; i++)
      {
        char id[32];

        snprintf (id, sizeof id, "r-%zu-%d", host, i);
        ask (host, "GET", "/look/x", id, &reply);
        ck_assert_int_eq (reply.status, 200);
        reply_free (&reply);
      }
  ck_assert_int_eq (member_number (&site.workers[0], "runs"), before);
}
END_TEST

Suite *
era_suite (void)
{
  Suite *suite = suite_create ("era");
  TCase *tcase = tcase_create ("era");

  tcase_add_checked_fixture (tcase, site_setup, site_teardown);
  tcase_set_timeout (tcase, 90);
  ADD (tcase, test_leave_under_a_reused_revision_reaches_all_hosts);
  suite_add_tcase (suite, tcase);
  return suite;
}
