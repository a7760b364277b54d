/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of a host that was suspended for seconds: timers, leases and blocks
 * that fell due meanwhile have expired when it resumes.
 */
#include <string.h>

#include "librelay.h"
#include "platform.h"
#include "script.h"
#include "store.h"
#include "suspend.h"
#include "test.h"

#define SUSPEND_TIME (5 * EL_SEC)

static unsigned nfired;

static void
timer_fired (void *arg, el_time_t now)
{
  (void)arg;
  (void)now;
  nfired++;
}

/* The clock includes the time of the suspension, and timers that fell due
   meanwhile fire in the next iteration of the event loop, which another event
   has to cause. */
START_TEST (test_clock_includes_suspension)
{
  el_timer_t late = { .cb = timer_fired };
  el_timer_t soon = { .cb = timer_fired };
  el_time_t before = net_clock_now (&test_clock);

  net_clock_set (&test_clock, &late, 4 * EL_SEC);
  suspend_for (SUSPEND_TIME);
  ck_assert_uint_ge (net_clock_now (&test_clock), before + SUSPEND_TIME);
  net_clock_set (&test_clock, &soon, EL_MSEC);
  nfired = 0;
  while (nfired < 2
         && net_clock_now (&test_clock) < before + SUSPEND_TIME + EL_SEC)
    uv_run (&loop, UV_RUN_ONCE);
  ck_assert_uint_eq (nfired, 2);
}
END_TEST

static int
always_vacant (void *arg)
{
  (void)arg;
  return 1;
}

/* A duty is leased for 2 s and its holder is suspended for 5 s: the holder
   must not count it as held when it resumes. */
START_TEST (test_duty_expires_during_suspension)
{
  st_store_t store = {
    .clock = &test_clock, .client = client, .dialect = &pf_store, .random = 1
  };
  st_duty_options_t options = { .store = &store,
                                .key = EL_STR ("elmarch/planner"),
                                .holder = EL_STR ("h"),
                                .ttl_ms = 2000,
                                .vacant = always_vacant };
  st_duty_t *duty;

  SCRIPT ({ "HTTP/1.1 200 OK\r\ncontent-length: 25\r\n\r\n"
            "{\"lease\":7,\"ttl_ms\":2000}",
            KEEP_ALIVE },
          { "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n"
            "{\"Revision\":3}",
            KEEP_ALIVE });
  store.address = el_str (script.address);
  duty = st_duty_new (&options);
  st_duty_want (duty, 1);
  while (!st_duty_held (duty, net_clock_now (&test_clock)))
    uv_run (&loop, UV_RUN_ONCE);
  suspend_for (SUSPEND_TIME);
  ck_assert_int_eq (st_duty_held (duty, net_clock_now (&test_clock)), 0);
}
END_TEST

/* A blocked request is admitted again when its block has expired, also if the
   host was suspended meanwhile. */
START_TEST (test_block_expires_during_suspension)
{
  const rt_blame_options_t options = { .max_causes = 10,
                                       .max_customer_causes = 10,
                                       .rule = &rt_blame_rule_odds };
  rt_blame_t *blame = rt_blame_new (&options);

  const rt_block_t block = rt_block_single (RT_CAUSE_REQUEST, 7);

  rt_blame_block (blame, &block, 1, net_clock_now (&test_clock), 1);
  ck_assert_int_eq (
      rt_blame_get_status (blame, net_clock_now (&test_clock), 7).state,
      RT_BLAME_BLOCKED);
  suspend_for (rt_blame_block_time (1));
  ck_assert_int_eq (
      rt_blame_get_status (blame, net_clock_now (&test_clock), 7).state,
      RT_BLAME_SUSPECT);
  rt_blame_free (blame);
}
END_TEST

Suite *
clock_suite (void)
{
  Suite *suite = suite_create ("clock");
  TCase *tcase = tcase_create ("clock");

  tcase_add_checked_fixture (tcase, loop_setup, NULL);
  ADD (tcase, test_clock_includes_suspension);
  ADD (tcase, test_duty_expires_during_suspension);
  ADD (tcase, test_block_expires_during_suspension);
  suite_add_tcase (suite, tcase);
  return suite;
}
