/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of hosts that are cut off from the endpoints, with real processes.
 * Callers, the store and the other hosts still reach them.
 */
#include <stdio.h>

#include "site.h"
#include "test.h"

/* How a host is cut off: its connections break, hang, or stay while new ones
   are refused. */
static const char cuts[] = { 'r', 'h', 'k' };
#define CUTS (int)sizeof cuts

/* Hosts of three that are cut off. */
#define CUT_HOSTS 2
/* Time after which a host that is cut off has to serve again, as the users'
   platform has it. */
#define CONTACT_STEPS 600
#define ROUNDS 10

static void
hosts_cut (char how)
{
  size_t i;

  for (i = 0; i < CUT_HOSTS; i++)
    site_cut (i, how);
}

/* Sends a request of each kind to HOST. Returns how many were not served. */
static unsigned
send_each_kind (size_t host, const char *label, int round)
{
  unsigned failed = 0;
  caller_t stream;
  reply_t reply;
  char id[64];

  snprintf (id, sizeof id, "%s-look-%zu-%d", label, host, round);
  send_request (host, "GET", "/look/x", id, &reply);
  failed += reply.status != 200;
  reply_free (&reply);
  snprintf (id, sizeof id, "%s-pay-%zu-%d", label, host, round);
  send_request (host, "POST", "/pay/x", id, &reply);
  failed += reply.status != 200;
  reply_free (&reply);
  snprintf (id, sizeof id, "%s-chat-%zu-%d", label, host, round);
  stream_start (&stream, host, id);
  caller_join (&stream);
  failed += stream.reply.status != 200;
  if (stream.reply.status == 200)
    assert_stream_complete (&stream.reply);
  reply_free (&stream.reply);
  return failed;
}

START_TEST (test_host_cut_off_from_endpoints_serves_first_attempts)
{
  unsigned failed = 0;
  int round;
  int step;

  site_cut_enable ();
  site_start (SITE_HOSTS);
  for (round = 0; round < ROUNDS; round++)
    ck_assert_uint_eq (send_each_kind (0, "before", round), 0);
  hosts_cut (cuts[_i]);
  for (step = 0; step < CONTACT_STEPS; step++)
    {
      poll_sleep ();
      if (step % (CONTACT_STEPS / ROUNDS) == 0)
        send_each_kind (step % CUT_HOSTS, "early", step);
    }
  for (round = 0; round < ROUNDS; round++)
    failed += send_each_kind ((size_t)round % CUT_HOSTS, "cut", round);
  ck_assert_uint_eq (failed, 0);
}
END_TEST

Suite *
partition_suite (void)
{
  Suite *suite = suite_create ("partition");
  TCase *tcase = tcase_create ("partition");

  tcase_add_checked_fixture (tcase, site_setup, site_teardown);
  tcase_set_timeout (tcase, 120);
  ADD_LOOP (tcase, test_host_cut_off_from_endpoints_serves_first_attempts,
            CUTS);
  suite_add_tcase (suite, tcase);
  return suite;
}
