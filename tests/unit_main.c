/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Runs the unit tests: those that start no other processes.
 */
#include <stdlib.h>

#include "test.h"

/** Parse a resource from JSON; the test fails if it is invalid. */
co_resource_t *
test_resource (co_kind_t kind, const char *name, const char *json,
               uint64_t revision)
{
  json_t *spec = json_loads (json, 0, NULL);
  co_resource_t *res;
  el_err_t err = { EL_OK, "" };

  ck_assert_ptr_nonnull (spec);
  res = co_resource_parse (kind, el_str (name), spec, revision, &err);
  ck_assert_msg (res != NULL, "%s: %s", name, err.msg);
  json_decref (spec);
  return res;
}

int
main (void)
{
  SRunner *runner = srunner_create (base_suite ());
  int failed;

  srunner_add_suite (runner, coord_suite ());
  srunner_add_suite (runner, members_suite ());
  srunner_add_suite (runner, feed_suite ());
  srunner_add_suite (runner, route_suite ());
  srunner_add_suite (runner, replay_suite ());
  srunner_add_suite (runner, relay_suite ());
  srunner_add_suite (runner, retry_suite ());
  srunner_add_suite (runner, blame_suite ());
  srunner_add_suite (runner, parts_suite ());
  srunner_add_suite (runner, rumor_suite ());
  srunner_add_suite (runner, clock_suite ());
  srunner_add_suite (runner, avail_suite ());
  srunner_add_suite (runner, reach_suite ());
  srunner_add_suite (runner, runs_suite ());
  srunner_add_suite (runner, forward_suite ());
  srunner_add_suite (runner, phase_suite ());
  srunner_add_suite (runner, answer_suite ());
  srunner_add_suite (runner, standby_suite ());
  srunner_add_suite (runner, limit_suite ());
  srunner_add_suite (runner, connect_suite ());
  srunner_add_suite (runner, starts_suite ());
  srunner_add_suite (runner, load_suite ());
  srunner_add_suite (runner, admit_suite ());
  srunner_add_suite (runner, told_suite ());
  srunner_add_suite (runner, net_suite ());
  srunner_add_suite (runner, intake_suite ());
  srunner_add_suite (runner, store_suite ());
  srunner_add_suite (runner, mirror_suite ());
  srunner_add_suite (runner, epoch_suite ());
  srunner_add_suite (runner, random_suite ());
  srunner_add_suite (runner, check_suite ());
  srunner_add_suite (runner, fuzz_http_suite ());
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
