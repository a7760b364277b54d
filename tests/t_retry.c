/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of decisions for relayed requests that need no endpoints: route
 * matching, retry decisions and the retry budget.
 */
#include "relay.h"
#include "test.h"

/* Route matching. */

static rt_rules_t *
make_rules (void)
{
  rt_rules_t *rules = rt_rules_new (json_object ());

  rules->rules = el_alloc (3 * sizeof *rules->rules);
  rules->nrules = 3;
  rules->rules[0]
      = (rt_rule_t){ .host = EL_STR ("a"), .prefix = EL_STR ("/") };
  rules->rules[1]
      = (rt_rule_t){ .host = EL_STR ("a"), .prefix = EL_STR ("/x/") };
  rules->rules[2]
      = (rt_rule_t){ .host = EL_STR ("a"), .prefix = EL_STR ("/x/y/") };
  rt_rules_build_index (rules);
  return rules;
}

START_TEST (test_rules_longest_prefix_of_the_host_wins)
{
  rt_rules_t *rules = make_rules ();
  const struct
  {
    const char *host;
    const char *path;
    int rule; /* -1: none */
  } cases[] = {
    { "a", "/", 0 },     { "a", "/x", 0 },    { "a", "/x/", 1 },
    { "a", "/x/yy", 1 }, { "a", "/x/y/", 2 }, { "a", "/x/y/z/q", 2 },
    { "b", "/x/", -1 },  { "a", "", -1 },     { "a/x", "/", -1 },
  };
  size_t i;

  for (i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      const rt_rule_t *rule = rt_rules_match (rules, el_str (cases[i].host),
                                              el_str (cases[i].path));

      ck_assert_msg (
          rule == (cases[i].rule < 0 ? NULL : &rules->rules[cases[i].rule]),
          "%s %s", cases[i].host, cases[i].path);
    }
  rt_rules_unref (rules);
}
END_TEST

START_TEST (test_rules_split_follows_the_weights)
{
  rt_service_weight_t shares[]
      = { { EL_STR ("a"), 90 }, { EL_STR ("b"), 10 } };
  const rt_rule_t rule = { .shares = shares, .nshares = 2 };
  unsigned second = 0;
  uint64_t draw;

  for (draw = 0; draw < 1000; draw++)
    second += el_str_eq (rt_rule_pick_service (&rule, draw), EL_STR ("b"));
  ck_assert_uint_eq (second, 100);
}
END_TEST

/* Retry decisions. */

START_TEST (test_retry_unsafe_request_runs_once)
{
  const rt_rule_t rule = { .kind = RT_UNSAFE, .attempts = 3 };
  const rt_attempt_t lost = { .verdict = EL_MAY_HAVE_RUN };
  const rt_attempt_t refused = { .verdict = EL_NOT_RUN };
  rt_attempts_t state = { 0, 0, 0 };

  ck_assert_int_eq (rt_attempts_next (&state, &rule, &refused, 1, EL_SEC),
                    RT_NEXT_RETRY);
  ck_assert_int_eq (rt_attempts_next (&state, &rule, &lost, 1, EL_SEC),
                    RT_NEXT_FAIL);
}
END_TEST

START_TEST (test_retry_refuses_only_if_nothing_ran)
{
  const rt_rule_t rule = { .kind = RT_SAFE, .attempts = 2 };
  const rt_attempt_t lost = { .verdict = EL_MAY_HAVE_RUN };
  const rt_attempt_t refused = { .verdict = EL_NOT_RUN };
  rt_attempts_t state = { 0, 0, 0 };

  ck_assert_int_eq (rt_attempts_next (&state, &rule, &refused, 0, EL_SEC),
                    RT_NEXT_REFUSE);
  state = (rt_attempts_t){ 0, 0, 0 };
  ck_assert_int_eq (rt_attempts_next (&state, &rule, &lost, 1, EL_SEC),
                    RT_NEXT_RETRY);
  ck_assert_int_eq (rt_attempts_next (&state, &rule, &refused, 0, EL_SEC),
                    RT_NEXT_FAIL);
}
END_TEST

/* A caller that has received part of its stream loses more if the stream
   fails: refusals are retried more often than before the first event. */
START_TEST (test_retry_begun_stream_gets_more_sends)
{
  const rt_rule_t rule = { .kind = RT_STREAM, .resumable = 1, .attempts = 2 };
  const rt_attempt_t lost = { .verdict = EL_MAY_HAVE_RUN, .begun = 1 };
  const rt_attempt_t refused = { .verdict = EL_NOT_RUN, .begun = 1 };
  const rt_attempt_t first = { .verdict = EL_NOT_RUN };
  rt_attempts_t state = { 0, 0, 0 };
  unsigned sends;

  for (sends = 1; sends < 4; sends++)
    ck_assert_int_eq (rt_attempts_next (&state, &rule, &first, 1, EL_SEC),
                      RT_NEXT_RETRY);
  ck_assert_int_eq (rt_attempts_next (&state, &rule, &first, 1, EL_SEC),
                    RT_NEXT_REFUSE);
  state = (rt_attempts_t){ 0, 0, 0 };
  ck_assert_int_eq (rt_attempts_next (&state, &rule, &lost, 1, EL_SEC),
                    RT_NEXT_RETRY);
  for (sends = 2; sends < 8; sends++)
    ck_assert_int_eq (rt_attempts_next (&state, &rule, &refused, 1, EL_SEC),
                      RT_NEXT_RETRY);
  ck_assert_int_eq (rt_attempts_next (&state, &rule, &refused, 1, EL_SEC),
                    RT_NEXT_FAIL);
}
END_TEST

START_TEST (test_retry_respects_max_attempts)
{
  const rt_rule_t rule = { .kind = RT_SAFE, .attempts = 2 };
  const rt_attempt_t lost = { .verdict = EL_MAY_HAVE_RUN };
  const rt_attempt_t failed
      = { .verdict = EL_RAN, .answered = 1, .failed = 1 };
  rt_attempts_t state = { 0, 0, 0 };

  ck_assert_int_eq (rt_attempts_next (&state, &rule, &lost, 1, EL_SEC),
                    RT_NEXT_RETRY);
  ck_assert_int_eq (rt_attempts_next (&state, &rule, &failed, 1, EL_SEC),
                    RT_NEXT_PASS);
}
END_TEST

START_TEST (test_retry_resumes_only_resumable_streams)
{
  rt_rule_t rule = { .kind = RT_STREAM, .attempts = 2, .resumable = 1 };
  const rt_attempt_t lost = { .verdict = EL_MAY_HAVE_RUN };
  rt_attempts_t state = { 0, 0, 0 };

  ck_assert_int_eq (rt_attempts_next (&state, &rule, &lost, 1, EL_SEC),
                    RT_NEXT_RETRY);
  rule.resumable = 0;
  state = (rt_attempts_t){ 0, 0, 0 };
  ck_assert_int_eq (rt_attempts_next (&state, &rule, &lost, 1, EL_SEC),
                    RT_NEXT_FAIL);
}
END_TEST

/* Over all hosts and in any window, retries do not exceed requests * ratio +
   slack. */
START_TEST (test_retry_budget_holds_over_hosts_and_windows)
{
  enum
  {
    HOSTS = 9,
    SECONDS = 60
  };
  rt_shared_budget_t budgets[HOSTS];
  unsigned retries[SECONDS] = { 0 };
  unsigned requests[SECONDS] = { 0 };
  int s;
  int h;
  int i;

  for (h = 0; h < HOSTS; h++)
    rt_shared_budget_init (&budgets[h], 0.2, 100, 10 * EL_SEC, 0);
  for (s = 0; s < SECONDS; s++)
    for (h = 0; h < HOSTS; h++)
      for (i = 0; i < 10; i++)
        {
          rt_shared_budget_add_request (&budgets[h], (el_time_t)s * EL_SEC);
          requests[s]++;
          retries[s] += (unsigned)rt_shared_budget_take (
              &budgets[h], (el_time_t)s * EL_SEC, HOSTS);
        }
  for (s = 10; s < SECONDS; s++)
    {
      unsigned all = 0;
      unsigned window_requests = 0;

      for (i = 0; i < 10; i++)
        {
          all += retries[s - i];
          window_requests += requests[s - i];
        }
      ck_assert_uint_le (all, window_requests / 5 + 100);
      ck_assert_uint_gt (all, 0);
    }
}
END_TEST

/* A restarted host takes none of the slack in its first window, as the
   previous process may have spent its share. */
START_TEST (test_retry_budget_restart_grants_no_slack)
{
  const el_time_t born = 20 * EL_SEC;
  unsigned retries = 0;
  rt_shared_budget_t budget;

  rt_shared_budget_init (&budget, 0, 100, 10 * EL_SEC, born);
  while (rt_shared_budget_take (&budget, born + EL_SEC, 1))
    retries++;
  ck_assert_uint_eq (retries, 0);
  while (rt_shared_budget_take (&budget, born + 10 * EL_SEC, 1))
    retries++;
  ck_assert_uint_gt (retries, 0);
  ck_assert_uint_le (retries, 100);
}
END_TEST

Suite *
retry_suite (void)
{
  Suite *suite = suite_create ("retry");
  TCase *tcase = tcase_create ("retry");

  ADD (tcase, test_rules_longest_prefix_of_the_host_wins);
  ADD (tcase, test_rules_split_follows_the_weights);
  ADD (tcase, test_retry_unsafe_request_runs_once);
  ADD (tcase, test_retry_refuses_only_if_nothing_ran);
  ADD (tcase, test_retry_begun_stream_gets_more_sends);
  ADD (tcase, test_retry_respects_max_attempts);
  ADD (tcase, test_retry_resumes_only_resumable_streams);
  ADD (tcase, test_retry_budget_holds_over_hosts_and_windows);
  ADD (tcase, test_retry_budget_restart_grants_no_slack);
  suite_add_tcase (suite, tcase);
  return suite;
}
