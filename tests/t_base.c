/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of the base library: verdicts, the log, timers, histograms and
 * settings.
 */
#include <stdlib.h>
#include <string.h>

#include "test.h"

START_TEST (test_verdict_join_is_monotonic)
{
  ck_assert_int_eq (el_verdict_join (EL_NOT_RUN, EL_NOT_RUN), EL_NOT_RUN);
  ck_assert_int_eq (el_verdict_join (EL_NOT_RUN, EL_MAY_HAVE_RUN),
                    EL_MAY_HAVE_RUN);
  ck_assert_int_eq (el_verdict_join (EL_MAY_HAVE_RUN, EL_NOT_RUN),
                    EL_MAY_HAVE_RUN);
  ck_assert_int_eq (el_verdict_join (EL_RAN, EL_NOT_RUN), EL_RAN);
  ck_assert_int_eq (el_verdict_join (EL_MAY_HAVE_RUN, EL_RAN), EL_RAN);
}
END_TEST

START_TEST (test_verdict_default_is_may_have_run)
{
  el_verdict_t verdict = EL_NOT_RUN;
  rt_event_t event;

  memset (&event, 0, sizeof event);
  ck_assert_int_eq (event.verdict, EL_MAY_HAVE_RUN);
  ck_assert (!el_verdict_parse (EL_STR ("nonsense"), &verdict));
  ck_assert_int_eq (verdict, EL_MAY_HAVE_RUN);
}
END_TEST

START_TEST (test_log_value_cannot_forge_a_line)
{
  el_buf_t out = { NULL, 0, 0 };
  el_field_t fields[] = { EL_FC ("name", "x\nlevel=error event=forged \"q\""),
                          EL_FN ("n", 7), EL_FC ("plain", "a-b.c") };

  el_log_format (&out, "test", fields, 3);
  ck_assert_str_eq (out.ptr, "event=test name=\"x\\x0alevel=error "
                             "event=forged \\\"q\\\"\" n=7 plain=a-b.c");
  el_buf_free (&out);
}
END_TEST

static void
record_timer (void *arg, el_time_t now)
{
  el_buf_printf (arg, "%llu ", (unsigned long long)now);
}

START_TEST (test_timers_fire_in_order_and_once)
{
  el_timers_t timers = { NULL, 0, 0 };
  el_timer_t list[64];
  el_buf_t out = { NULL, 0, 0 };
  el_time_t now;
  size_t i;

  memset (list, 0, sizeof list);
  for (i = 0; i < 64; i++)
    {
      list[i].cb = record_timer;
      list[i].arg = &out;
      el_timers_set (&timers, &list[i], (i * 37) % 64 + 1);
    }
  for (i = 0; i < 64; i += 2)
    el_timers_cancel (&timers, &list[i]);
  el_timers_set (&timers, &list[1], 200);
  for (now = 1; now <= 200; now++)
    {
      size_t before = out.len;

      el_timers_run (&timers, now);
      ck_assert (el_timers_next_due (&timers) > now);
      ck_assert_uint_le (out.len - before, 5);
    }
  ck_assert_uint_eq (timers.len, 0);
  ck_assert_ptr_nonnull (strstr (out.ptr, " 200 "));
  el_timers_free (&timers);
  el_buf_free (&out);
}
END_TEST

START_TEST (test_histogram_quantiles_bound_the_values)
{
  el_hist_t *hist = calloc (1, sizeof *hist);
  uint64_t i;

  for (i = 1; i <= 1000; i++)
    el_hist_add (hist, i);
  ck_assert_uint_ge (el_hist_quantile (hist, 0.5), 500);
  ck_assert_uint_le (el_hist_quantile (hist, 0.5), 639);
  ck_assert_uint_ge (el_hist_quantile (hist, 0.99), 990);
  el_hist_add (hist, UINT64_MAX);
  ck_assert_uint_ge (el_hist_quantile (hist, 1.0), UINT64_MAX / 2);
  free (hist);
}
END_TEST

typedef struct settings_values
{
  uint64_t number;
  const char *text;
  int flag;
} settings_values_t;

static const el_setting_t settings_table[] = {
  { "number", EL_SETTING_U64, offsetof (settings_values_t, number), "5", 1, 10,
    0, "N", "a number" },
  { "text", EL_SETTING_STRING, offsetof (settings_values_t, text), NULL, 1, 8,
    1, "T", "a text" },
  { "flag", EL_SETTING_FLAG, offsetof (settings_values_t, flag), "0", 0, 1, 0,
    NULL, "a flag" },
};

static const el_settings_options_t settings_options
    = { "prog", "TESTSET", "", settings_table, 3 };

static el_settings_result_t
parse_settings (const char **argv, int argc, settings_values_t *out,
                el_err_t *err)
{
  memset (out, 0, sizeof *out);
  return el_settings_parse (&settings_options, argc, argv, out, NULL, err);
}

START_TEST (test_settings_flag_overrides_variable)
{
  const char *argv[] = { "prog", "--number=7", "--flag", NULL };
  settings_values_t out;
  el_err_t err;

  setenv ("TESTSET_NUMBER", "3", 1);
  setenv ("TESTSET_TEXT", "abc", 1);
  ck_assert_int_eq (parse_settings (argv, 3, &out, &err), EL_SETTINGS_OK);
  ck_assert_uint_eq (out.number, 7);
  ck_assert_str_eq (out.text, "abc");
  ck_assert_int_eq (out.flag, 1);
  el_settings_free (&settings_options, &out);
  ck_assert_int_eq (parse_settings (argv, 1, &out, &err), EL_SETTINGS_OK);
  ck_assert_uint_eq (out.number, 3);
  el_settings_free (&settings_options, &out);
  unsetenv ("TESTSET_NUMBER");
  unsetenv ("TESTSET_TEXT");
}
END_TEST

START_TEST (test_settings_error_names_setting_and_range)
{
  static const char *const bad[] = { "--number=11",
                                     "--number=0",
                                     "--number=x",
                                     "--number=-1",
                                     "--number=99999999999999999999",
                                     "--text=" };
  settings_values_t out;
  el_err_t err;
  const char *argv[] = { "prog", "--text=a", bad[_i], NULL };

  ck_assert_int_eq (parse_settings (argv, 3, &out, &err), EL_SETTINGS_INVALID);
  ck_assert_ptr_nonnull (strstr (err.msg, _i == 5 ? "--text" : "--number"));
  ck_assert_ptr_nonnull (
      strstr (err.msg, _i == 5 ? "1 to 8 characters" : "from 1 to 10"));
  el_settings_free (&settings_options, &out);
}
END_TEST

START_TEST (test_settings_missing_required_is_named)
{
  const char *argv[] = { "prog", NULL };
  settings_values_t out;
  el_err_t err;

  ck_assert_int_eq (parse_settings (argv, 1, &out, &err), EL_SETTINGS_INVALID);
  ck_assert_ptr_nonnull (strstr (err.msg, "--text: is required"));
}
END_TEST

Suite *
base_suite (void)
{
  Suite *suite = suite_create ("base");
  TCase *tcase = tcase_create ("base");

  ADD (tcase, test_verdict_join_is_monotonic);
  ADD (tcase, test_verdict_default_is_may_have_run);
  ADD (tcase, test_log_value_cannot_forge_a_line);
  ADD (tcase, test_timers_fire_in_order_and_once);
  ADD (tcase, test_histogram_quantiles_bound_the_values);
  ADD (tcase, test_settings_flag_overrides_variable);
  ADD_LOOP (tcase, test_settings_error_names_setting_and_range, 6);
  ADD (tcase, test_settings_missing_required_is_named);
  suite_add_tcase (suite, tcase);
  return suite;
}
