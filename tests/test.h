/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Declarations that the test programs share.
 */
#ifndef ELMARCH_TEST_H
#define ELMARCH_TEST_H

#include <stdlib.h>
#include <string.h>

#include <check.h>
#include <jansson.h>

#include "coord.h"
#include "route.h"

Suite *base_suite (void);
Suite *coord_suite (void);
Suite *members_suite (void);
Suite *feed_suite (void);
Suite *route_suite (void);
Suite *replay_suite (void);
Suite *relay_suite (void);
Suite *retry_suite (void);
Suite *blame_suite (void);
Suite *parts_suite (void);
Suite *rumor_suite (void);
Suite *clock_suite (void);
Suite *avail_suite (void);
Suite *connect_suite (void);
Suite *starts_suite (void);
Suite *restart_suite (void);
Suite *restore_suite (void);
Suite *partition_suite (void);
Suite *reach_suite (void);
Suite *runs_suite (void);
Suite *forward_suite (void);
Suite *phase_suite (void);
Suite *answer_suite (void);
Suite *standby_suite (void);
Suite *epoch_suite (void);
Suite *load_suite (void);
Suite *admit_suite (void);
Suite *told_suite (void);
Suite *hard_load_suite (void);
Suite *crowd_suite (void);
Suite *intake_suite (void);
Suite *net_suite (void);
Suite *store_suite (void);
Suite *mirror_suite (void);
Suite *random_suite (void);
Suite *check_suite (void);
Suite *fuzz_http_suite (void);
Suite *site_suite (void);
Suite *crash_suite (void);
Suite *backoff_suite (void);
Suite *rate_limit_suite (void);
Suite *limit_suite (void);
Suite *stream_suite (void);
Suite *at_most_once_suite (void);
Suite *stop_suite (void);
Suite *agreement_suite (void);

/* Add a test if test_wanted admits it. */
#define ADD(tcase, fn)                                                        \
  do                                                                          \
    {                                                                         \
      if (test_wanted (#fn))                                                  \
        tcase_add_test ((tcase), fn);                                         \
    }                                                                         \
  while (0)
#define ADD_LOOP(tcase, fn, n)                                                \
  do                                                                          \
    {                                                                         \
      if (test_wanted (#fn))                                                  \
        tcase_add_loop_test ((tcase), fn, 0, (n));                            \
    }                                                                         \
  while (0)

int test_wanted (const char *name);
co_resource_t *test_resource (co_kind_t kind, const char *name,
                              const char *json, uint64_t revision);

#endif
