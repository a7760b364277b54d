/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of the rate limit of an endpoint: lending and borrowing of tokens, and
 * what hosts know of the limit.
 */
#include "limit_sim.h"
#include "librelay.h"
#include "test.h"

#define NOW (1000 * EL_SEC)
#define SCHEDULES 600

/* A lender whose limit began long ago and that lends by now. */
static co_lender_t
lender_new (double rate)
{
  co_lender_t lender;

  co_lender_open (&lender, NOW - 100 * EL_SEC, rate, 1);
  return lender;
}

/* After a pause of any length a lender lends no more at once than after a
   short one. */
START_TEST (test_limit_pauses_do_not_save_up)
{
  static const double rates[] = { 0.5, 3.6, 6.9, 50 };
  static const unsigned burst[] = { 2, 2, 2, 12 };
  co_lender_t lender = lender_new (rates[_i]);
  unsigned lent = 0;
  co_loan_t loan;

  do
    {
      loan = co_lender_lend (&lender, NOW, 1);
      lent += loan.tokens;
    }
  while (loan.tokens);
  ck_assert_uint_eq (lent, burst[_i]);
  ck_assert_uint_gt (loan.wait, 0);
}
END_TEST

/* Hosts that get nothing are referred to different times, not too far
   ahead. */
START_TEST (test_limit_hosts_are_referred_to_different_times)
{
  co_lender_t lender = lender_new (4);
  co_loan_t loan = { 0 };
  el_time_t last = 0;
  unsigned i;

  while (co_lender_lend (&lender, NOW, 1).tokens)
    ;
  for (i = 0; i < 60; i++)
    {
      loan = co_lender_lend (&lender, NOW, 1);
      ck_assert_uint_eq (loan.tokens, 0);
      ck_assert_uint_ge (loan.wait, last + 250 * EL_MSEC);
      last = loan.wait;
    }
  for (i = 0; i < 60; i++)
    loan = co_lender_lend (&lender, NOW, 1);
  ck_assert_uint_eq (loan.wait, 20 * EL_SEC);
}
END_TEST

/* A host that takes over as lender lends nothing while the tokens of the
   former one may be in use. */
START_TEST (test_limit_new_lender_waits_for_tokens_of_the_former)
{
  co_lender_t lender;
  co_loan_t loan;

  co_lender_open (&lender, NOW, 6.9, NOW - 10 * EL_SEC);
  loan = co_lender_lend (&lender, NOW + CO_TOKEN_TTL, 1);
  ck_assert_uint_eq (loan.tokens, 0);
  ck_assert_uint_gt (loan.wait, 0);
  ck_assert_uint_eq (
      co_lender_lend (&lender, NOW + CO_TOKEN_TTL + EL_SEC, 1).tokens, 1);
  co_lender_open (&lender, NOW, 6.9, NOW - 100 * EL_MSEC);
  ck_assert_uint_eq (co_lender_lend (&lender, NOW, 1).tokens, 1);
}
END_TEST

/* A lower rate does not lend what the higher one has saved. */
START_TEST (test_limit_lower_rate_applies_at_once)
{
  co_lender_t lender = lender_new (50);
  unsigned lent = 0;
  unsigned tokens;

  co_lender_set_rate (&lender, NOW, 2);
  while ((tokens = co_lender_lend (&lender, NOW, 64).tokens))
    lent += tokens;
  ck_assert_uint_le (lent, 2);
}
END_TEST

START_TEST (test_limit_token_expires_and_is_given_back)
{
  const co_loan_t loan = { .tokens = 2 };
  co_borrower_t borrower = { 0 };

  ck_assert_int_eq (co_borrower_take (&borrower, NOW), CO_TAKE_ASK);
  co_borrower_asked (&borrower, NOW);
  ck_assert_int_eq (co_borrower_take (&borrower, NOW), CO_TAKE_WAIT);
  co_borrower_answered (&borrower, NOW + 10 * EL_MSEC, &loan);
  ck_assert_int_eq (co_borrower_take (&borrower, NOW + 10 * EL_MSEC),
                    CO_TAKE_OK);
  co_borrower_give_back (&borrower, NOW + 20 * EL_MSEC, borrower.tokens_until);
  ck_assert_uint_eq (borrower.tokens, 2);
  ck_assert_int_eq (co_borrower_take (&borrower, NOW + CO_TOKEN_TTL),
                    CO_TAKE_ASK);
  co_borrower_give_back (&borrower, NOW + CO_TOKEN_TTL, NOW + CO_TOKEN_TTL);
  ck_assert_int_eq (co_borrower_take (&borrower, NOW + CO_TOKEN_TTL),
                    CO_TAKE_ASK);
}
END_TEST

/* A host that was denied a token, or whose lender is silent, does not ask
   again at once; it does after the rate has risen. */
START_TEST (test_limit_denied_host_does_not_ask_again_at_once)
{
  const co_loan_t denied = { .wait = 3 * EL_SEC };
  co_borrower_t borrower = { 0 };

  co_borrower_asked (&borrower, NOW);
  co_borrower_answered (&borrower, NOW, &denied);
  ck_assert_int_eq (co_borrower_may_take (&borrower, NOW + 2 * EL_SEC), 0);
  ck_assert_int_eq (co_borrower_take (&borrower, NOW + 2 * EL_SEC),
                    CO_TAKE_DENIED);
  ck_assert_int_eq (co_borrower_may_take (&borrower, NOW + 3 * EL_SEC), 1);
  co_borrower_rate_changed (&borrower, 0.5);
  ck_assert_int_eq (co_borrower_may_take (&borrower, NOW + EL_SEC), 0);
  co_borrower_rate_changed (&borrower, 2);
  ck_assert_int_eq (co_borrower_may_take (&borrower, NOW + EL_SEC), 1);
  co_borrower_asked (&borrower, NOW);
  co_borrower_answered (&borrower, NOW, NULL);
  ck_assert_int_eq (co_borrower_may_take (&borrower, NOW), 0);
}
END_TEST

/* However much a host wants, one loan has a bound; the next is asked for
   before the first is used up. */
START_TEST (test_limit_loan_is_bounded)
{
  co_borrower_t borrower = { 0 };
  unsigned i;

  for (i = 0; i < 10000; i++)
    co_borrower_take (&borrower, NOW + i * 100);
  ck_assert_uint_eq (co_borrower_loan (&borrower), 64);
  borrower = (co_borrower_t){ 0 };
  co_borrower_asked (&borrower, NOW);
  co_borrower_answered (&borrower, NOW, &(co_loan_t){ .tokens = 64 });
  for (i = 0; !co_borrower_should_prefetch (&borrower, NOW); i++)
    ck_assert_int_eq (co_borrower_take (&borrower, NOW), CO_TAKE_OK);
  ck_assert_uint_gt (borrower.tokens, 0);
}
END_TEST

/* Drawn schedules with hosts that are killed, frozen, cut off or added, calls
   that are lost, uneven demand and limits that change: the hosts never exceed
   what is allowed. */
START_TEST (test_limit_is_kept_in_drawn_schedules)
{
  lsim_results_t results;
  uint64_t seed;

  for (seed = 0; seed < SCHEDULES; seed++)
    {
      lsim_options_t o;

      lsim_draw (LSIM_LEND, seed, &o);
      lsim_run (&o, &results);
      ck_assert_msg (results.worst <= 1, "seed %d: %.2f", (int)seed,
                     results.worst);
    }
}
END_TEST

/* While more is demanded than the limit, it is used, by many hosts or by
   one, and not exceeded over a minute. */
START_TEST (test_limit_is_used)
{
  static const struct
  {
    size_t hosts;
    double rate;
  } cases[] = { { 7, 3.6 }, { 7, 50 }, { 60, 0.5 }, { 300, 6.9 } };
  lsim_options_t o = { .strategy = LSIM_LEND,
                       .excess = 3,
                       .duration = 60 * EL_SEC,
                       .step = EL_MSEC,
                       .seed = 5 };
  lsim_results_t results;
  unsigned demand;

  o.hosts = cases[_i].hosts;
  o.rate = cases[_i].rate;
  for (demand = 0; demand < LSIM_DEMANDS; demand++)
    {
      o.demand = (lsim_demand_t)demand;
      lsim_run (&o, &results);
      ck_assert_double_ge (results.used, demand == LSIM_SPREAD ? 0.9 : 0.75);
      ck_assert_double_le (results.minute * o.rate * 60, o.rate * 60 + 2);
      /* A call for each token and one to be referred. */
      ck_assert_double_le ((double)results.asked, 3 * o.rate * 60);
    }
}
END_TEST

/* What a host knows. */

/* Older news changes nothing; a limit that begins, that differs, or that was
   told long ago is told to the other hosts. */
START_TEST (test_limit_older_news_changes_nothing)
{
  rt_limit_t limit = { .named = 0 };

  ck_assert_int_eq (rt_limit_must_tell (&limit, NOW), 0);
  rt_limit_hear (&limit, NOW, NOW - EL_SEC, 6.9);
  ck_assert_int_eq (rt_limit_must_tell (&limit, NOW), 1);
  rt_limit_told (&limit, NOW);
  ck_assert_int_eq (rt_limit_must_tell (&limit, NOW), 0);
  rt_limit_hear (&limit, NOW - 1, NOW - EL_SEC, 3);
  ck_assert_double_eq_tol (limit.rate, 6.9, 1e-6);
  rt_limit_lift (&limit, NOW - 1);
  ck_assert_int_eq (limit.named, 1);
  rt_limit_hear (&limit, NOW + 1, NOW, 6.8);
  ck_assert_int_eq (rt_limit_must_tell (&limit, NOW + 1), 0);
  rt_limit_hear (&limit, NOW + 2, NOW, 3);
  ck_assert_int_eq (rt_limit_must_tell (&limit, NOW + 2), 1);
  ck_assert_uint_eq (limit.since, NOW - EL_SEC);
  rt_limit_told (&limit, NOW + 2);
  ck_assert_int_eq (rt_limit_must_tell (&limit, NOW + 60 * EL_SEC), 1);
  rt_limit_lift (&limit, NOW + 3);
  ck_assert_int_eq (limit.named, 0);
  ck_assert_int_eq (rt_limit_admits (&limit, NOW + 3), 1);
  rt_limit_hear (&limit, NOW + 2, NOW, 3);
  ck_assert_int_eq (limit.named, 0);
  rt_limit_hear (&limit, NOW + 4, NOW + 4, 3);
  ck_assert_int_eq (limit.named, 1);
}
END_TEST

START_TEST (test_limit_fact_is_encoded_and_decoded)
{
  relay_fact_t fact = { .kind = RELAY_FACT_LIMIT,
                        .instance = { .id = "e", .born = 7 },
                        .limit_milli = 6900,
                        .limited_for = 2500 * EL_MSEC };
  el_buf_t body = { NULL, 0, 0 };
  relay_fact_t out;

  relay_fact_encode (&fact, &body);
  ck_assert_int_eq (relay_fact_decode (el_buf_str (&body), NOW, &out), 1);
  ck_assert_int_eq (out.kind, RELAY_FACT_LIMIT);
  ck_assert_str_eq (out.instance.id, "e");
  ck_assert_uint_eq (out.instance.born, 7);
  ck_assert_uint_eq (out.limit_milli, 6900);
  ck_assert_uint_eq (out.limited_for, 2500 * EL_MSEC);
  el_buf_reset (&body);
  fact.kind = RELAY_FACT_UNLIMITED;
  relay_fact_encode (&fact, &body);
  ck_assert_int_eq (relay_fact_decode (el_buf_str (&body), NOW, &out), 1);
  ck_assert_int_eq (out.kind, RELAY_FACT_UNLIMITED);
  ck_assert_uint_eq (out.instance.born, 7);
  el_buf_free (&body);
  ck_assert_int_eq (
      relay_fact_decode (EL_STR ("{\"fact\":\"limit\",\"endpoint\":\"e\","
                                 "\"born\":\"7\",\"milli\":\"x\","
                                 "\"for_ms\":1}"),
                         NOW, &out),
      0);
  ck_assert_int_eq (
      relay_fact_decode (EL_STR ("{\"fact\":\"limit\",\"endpoint\":\"e\","
                                 "\"born\":\"7\",\"milli\":\"1\","
                                 "\"for_ms\":-1}"),
                         NOW, &out),
      0);
}
END_TEST

Suite *
limit_suite (void)
{
  Suite *suite = suite_create ("limit");
  TCase *tcase = tcase_create ("limit");

  tcase_set_timeout (tcase, 60);
  ADD_LOOP (tcase, test_limit_pauses_do_not_save_up, 4);
  ADD (tcase, test_limit_hosts_are_referred_to_different_times);
  ADD (tcase, test_limit_new_lender_waits_for_tokens_of_the_former);
  ADD (tcase, test_limit_lower_rate_applies_at_once);
  ADD (tcase, test_limit_token_expires_and_is_given_back);
  ADD (tcase, test_limit_denied_host_does_not_ask_again_at_once);
  ADD (tcase, test_limit_loan_is_bounded);
  ADD (tcase, test_limit_is_kept_in_drawn_schedules);
  ADD_LOOP (tcase, test_limit_is_used, 4);
  ADD (tcase, test_limit_older_news_changes_nothing);
  ADD (tcase, test_limit_fact_is_encoded_and_decoded);
  suite_add_tcase (suite, tcase);
  return suite;
}
