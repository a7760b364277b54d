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

  srunner_add_suite (runner, once_suite ());
  srunner_add_suite (runner, stop_suite ());
  srunner_add_suite (runner, agree_suite ());
  srunner_add_suite (runner, site_suite ());
  srunner_add_suite (runner, ends_suite ());
  srunner_add_suite (runner, again_suite ());
  srunner_add_suite (runner, rest_suite ());
  srunner_add_suite (runner, era_suite ());
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
