/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of rumors, which spread information to all hosts within seconds.
 */
#include "rumor_net.h"
#include "test.h"

#define SEEDS 10
#define START_TIME (100 * EL_SEC)

static const size_t sizes[] = { 9, 300 };

/* With a fifth of the messages lost, half of the hosts know a rumor within
   50 ms and all within 2 s. */
START_TEST (test_rumor_reaches_all_soon)
{
  size_t hosts = sizes[_i % 2];
  rumor_net_t *net = rumor_net_new ((uint64_t)_i + 1, hosts, 0.2);

  rumor_net_publish (net, 0, 1);
  rumor_net_run (net, START_TIME + 50 * EL_MSEC);
  ck_assert_uint_ge (rumor_net_count_informed (net, 1), hosts / 2);
  rumor_net_run (net, START_TIME + 2 * EL_SEC);
  ck_assert_uint_eq (rumor_net_count_informed (net, 1), hosts);
  rumor_net_free (net);
}
END_TEST

/* A host that was restarted, and one that was isolated while the rumors
   spread, know all of them within 2 s. */
START_TEST (test_rumor_missed_is_recovered)
{
  rumor_net_t *net = rumor_net_new ((uint64_t)_i + 1, 9, 0);
  uint64_t id;

  net->hosts[3].isolated = 1;
  for (id = 1; id <= 40; id++)
    rumor_net_publish (net, id % 3, id);
  rumor_net_run (net, START_TIME + 5 * EL_SEC);
  ck_assert_uint_eq (rumor_net_count_informed (net, 40), 8);
  net->hosts[3].isolated = 0;
  rumor_net_restart_host (net, 5);
  rumor_net_run (net, START_TIME + 7 * EL_SEC);
  ck_assert_uint_eq (rumor_net_count_informed (net, 40), 9);
  rumor_net_free (net);
}
END_TEST

static void
send_nothing (void *arg, const co_rumor_t *list, size_t n)
{
  (void)arg;
  (void)list;
  (void)n;
}

static void
count_heard (void *arg, const co_rumor_t *rumor)
{
  unsigned *n = arg;

  (void)rumor;
  (*n)++;
}

/* A rumor that is received twice is reported once, an expired one is removed,
   and one over the limit replaces the one that expires first. */
START_TEST (test_rumors_are_bounded)
{
  unsigned received = 0;
  const co_rumors_options_t options = { .max_rumors = 10,
                                        .send = send_nothing,
                                        .received = count_heard,
                                        .arg = &received };
  co_rumors_t *rumors = co_rumors_new (&options);
  co_rumor_t rumor = { .body = EL_STR ("x") };
  uint64_t digest;

  for (rumor.id = 1; rumor.id <= 20; rumor.id++)
    {
      rumor.until = START_TIME + (rumor.id == 1 ? 90 : rumor.id) * EL_SEC;
      ck_assert_int_eq (co_rumors_receive (rumors, START_TIME, &rumor), 1);
      ck_assert_int_eq (co_rumors_receive (rumors, START_TIME, &rumor), 0);
    }
  ck_assert_uint_eq (received, 20);
  received = 0;
  co_rumors_visit (rumors, count_heard, &received);
  ck_assert_uint_eq (received, 10);
  digest = co_rumors_digest (rumors);
  co_rumors_tick (rumors, START_TIME + 80 * EL_SEC);
  received = 0;
  co_rumors_visit (rumors, count_heard, &received);
  ck_assert_uint_eq (received, 1); /* the first, which expires last */
  ck_assert_uint_ne (digest, co_rumors_digest (rumors));
  co_rumors_free (rumors);
}
END_TEST

Suite *
rumor_suite (void)
{
  Suite *suite = suite_create ("rumor");
  TCase *tcase = tcase_create ("rumor");

  tcase_set_timeout (tcase, 60);
  ADD_LOOP (tcase, test_rumor_reaches_all_soon, 2 * SEEDS);
  ADD_LOOP (tcase, test_rumor_missed_is_recovered, SEEDS);
  ADD (tcase, test_rumors_are_bounded);
  suite_add_tcase (suite, tcase);
  return suite;
}
