/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of rumors: what all hosts should know soon.
 */
#include "rumor_net.h"
#include "test.h"

#define SEEDS 10
#define BEGIN (100 * EL_SEC)

static const size_t sizes[] = { 9, 300 };

/* Half of the hosts know within 50 ms, all within two seconds, though a fifth
   of the messages is lost. */
START_TEST (test_rumor_reaches_all_soon)
{
  size_t hosts = sizes[_i % 2];
  rumor_net_t *net = rumor_net_new ((uint64_t)_i + 1, hosts, 0.2);

  rumor_net_tell (net, 0, 1);
  rumor_net_run (net, BEGIN + 50 * EL_MSEC);
  ck_assert_uint_ge (rumor_net_know (net, 1), hosts / 2);
  rumor_net_run (net, BEGIN + 2 * EL_SEC);
  ck_assert_uint_eq (rumor_net_know (net, 1), hosts);
  rumor_net_free (net);
}
END_TEST

/* A host that begins anew, and one that was cut off while others told each
   other, know all of it within two seconds. */
START_TEST (test_rumor_is_asked_for_by_who_missed_it)
{
  rumor_net_t *net = rumor_net_new ((uint64_t)_i + 1, 9, 0);
  uint64_t id;

  net->hosts[3].cut = 1;
  for (id = 1; id <= 40; id++)
    rumor_net_tell (net, id % 3, id);
  rumor_net_run (net, BEGIN + 5 * EL_SEC);
  ck_assert_uint_eq (rumor_net_know (net, 40), 8);
  net->hosts[3].cut = 0;
  rumor_net_restart (net, 5);
  rumor_net_run (net, BEGIN + 7 * EL_SEC);
  ck_assert_uint_eq (rumor_net_know (net, 40), 9);
  rumor_net_free (net);
}
END_TEST

static void
none_sent (void *arg, const co_rumor_t *list, size_t n)
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

/* Told twice it is heard once; over, it is forgotten; more than fit push out
   those that end first. */
START_TEST (test_rumors_are_bounded)
{
  unsigned heard = 0;
  const co_rumors_options_t options = {
    .max_rumors = 10, .send = none_sent, .heard = count_heard, .arg = &heard
  };
  co_rumors_t *rumors = co_rumors_new (&options);
  co_rumor_t rumor = { .body = EL_STR ("x") };
  uint64_t digest;

  for (rumor.id = 1; rumor.id <= 20; rumor.id++)
    {
      rumor.until = BEGIN + (rumor.id == 1 ? 90 : rumor.id) * EL_SEC;
      ck_assert_int_eq (co_rumors_receive (rumors, BEGIN, &rumor), 1);
      ck_assert_int_eq (co_rumors_receive (rumors, BEGIN, &rumor), 0);
    }
  ck_assert_uint_eq (heard, 20);
  heard = 0;
  co_rumors_visit (rumors, count_heard, &heard);
  ck_assert_uint_eq (heard, 10);
  digest = co_rumors_digest (rumors);
  co_rumors_tick (rumors, BEGIN + 80 * EL_SEC);
  heard = 0;
  co_rumors_visit (rumors, count_heard, &heard);
  ck_assert_uint_eq (heard, 1); /* the first, which lasts longest */
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
  ADD_LOOP (tcase, test_rumor_is_asked_for_by_who_missed_it, SEEDS);
  ADD (tcase, test_rumors_are_bounded);
  suite_add_tcase (suite, tcase);
  return suite;
}
