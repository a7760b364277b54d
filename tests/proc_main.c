/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Runs the tests that start processes.
 */
#include <stdlib.h>

#include "test.h"

int
main (void)
{
  SRunner *runner = srunner_create (stream_suite ());
  int failed;

  srunner_add_suite (runner, at_most_once_suite ());
  srunner_add_suite (runner, stop_suite ());
  srunner_add_suite (runner, agreement_suite ());
  srunner_add_suite (runner, site_suite ());
  srunner_add_suite (runner, crash_suite ());
  srunner_add_suite (runner, restart_suite ());
  srunner_add_suite (runner, backoff_suite ());
  srunner_add_suite (runner, rate_limit_suite ());
  srunner_add_suite (runner, hard_load_suite ());
  srunner_add_suite (runner, crowd_suite ());
  srunner_add_suite (runner, restore_suite ());
  srunner_add_suite (runner, partition_suite ());
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
