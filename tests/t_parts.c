/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of parts of prompts as causes of endpoint crashes, and of trials.
 */
#include <stdio.h>

#include "librelay.h"
#include "libplatform.h"
#include "part_sim.h"
#include "test.h"

#define NOW (1000 * EL_SEC)
#define ENDPOINTS 40
#define BAD 0xbad
#define COMMON 0xc0
#define RARE 0x5a
#define CUSTOMER 1
#define OTHER_CUSTOMER 2
#define SEEDS 40

static rt_blame_t *blame;
static rt_block_t blocks[64];
static size_t nblocks;

/* Creates the table of a host that has not seen a request yet. */
static void
parts_setup_new (void)
{
  const rt_blame_options_t options = { .max_causes = 1000,
                                       .max_customer_causes = 400,
                                       .max_proven = 100,
                                       .rule = &rt_blame_rule_odds };

  blame = rt_blame_new (&options);
  nblocks = 0;
}

/* Creates that of a host that saw its first request run well at AT. */
static void
parts_setup_at (el_time_t at)
{
  parts_setup_new ();
  rt_blame_prove (blame, 1, at);
}

static void
parts_setup (void)
{
  parts_setup_at (1);
}

static void
parts_teardown (void)
{
  rt_blame_free (blame);
}

static void
record_block (void *arg, const rt_block_t *block,
              const rt_blame_status_t *status)
{
  (void)arg;
  ck_assert_int_eq (status->state, RT_BLAME_BLOCKED);
  if (nblocks < sizeof blocks / sizeof *blocks)
    blocks[nblocks++] = *block;
}

static void
update (el_time_t now)
{
  rt_blame_update (blame, now, ENDPOINTS, record_block, NULL);
}

/* Adds a request with parts P and Q to the crash of instance ENGINE, which two
   hosts report. */
static void
add_run (unsigned engine, el_time_t at, rt_digest_t digest, uint64_t customer,
         rt_digest_t p, rt_digest_t q, int writing)
{
  rt_crash_report_t report = { .instance = { .id = "e", .born = engine },
                               .digest = digest,
                               .customer = customer,
                               .at = at,
                               .ran = 80 * EL_MSEC,
                               .first = 1,
                               .writing = writing,
                               .parts = { p, q },
                               .nparts = 2 };

  for (report.host = 1; report.host <= 2; report.host++)
    rt_blame_add_report (blame, NOW, &report);
}

static rt_blame_status_t
judge (el_time_t now, rt_digest_t digest, uint64_t customer, rt_digest_t p,
       rt_digest_t q)
{
  const rt_digest_t parts[] = { p, q };
  const rt_traits_t traits = {
    .digest = digest, .customer = customer, .parts = parts, .nparts = 2
  };

  return rt_blame_judge (blame, now, &traits);
}

static void
ran_well (uint64_t customer, rt_digest_t part, el_time_t at)
{
  rt_blame_completed (blame, part, at);
  rt_blame_completed (blame, rt_customer_part (customer, part), at);
}

/* Three different requests crash engines with a part in common; sound requests
   with their common part run well in between. Requests of the customer with
   that part are blocked, sound ones are not. */
START_TEST (test_parts_crashing_part_is_blocked_and_common_part_is_not)
{
  unsigned i;

  for (i = 0; i < 3; i++)
    {
      add_run (i, NOW + i * EL_SEC, 100 + i, CUSTOMER, COMMON, BAD, 0);
      ran_well (CUSTOMER, COMMON, NOW + i * EL_SEC + 1);
      update (NOW + i * EL_SEC + 2);
    }
  ck_assert_uint_ge (nblocks, 1);
  ck_assert_int_eq (judge (NOW + 3 * EL_SEC, 7, CUSTOMER, COMMON, BAD).state,
                    RT_BLAME_BLOCKED);
  ck_assert_int_eq (judge (NOW + 3 * EL_SEC, 8, CUSTOMER, COMMON, RARE).state,
                    RT_BLAME_NONE);
}
END_TEST

/* A customer names another's part in requests that crash engines for another
   reason: the other customer's requests are not blocked. Once it crashes
   engines, too, the part is blocked for all. */
START_TEST (test_parts_of_other_customers_are_not_blocked)
{
  unsigned i;

  for (i = 0; i < 4; i++)
    {
      add_run (i, NOW + i * EL_SEC, 100 + i, CUSTOMER, COMMON, BAD, 0);
      update (NOW + i * EL_SEC);
    }
  ck_assert_int_eq (judge (NOW + 4 * EL_SEC, 7, CUSTOMER, COMMON, BAD).state,
                    RT_BLAME_BLOCKED);
  ck_assert_int_eq (
      judge (NOW + 4 * EL_SEC, 7, OTHER_CUSTOMER, COMMON, BAD).state,
      RT_BLAME_NONE);
  ck_assert_uint_ne (
      judge (NOW + 4 * EL_SEC, 7, OTHER_CUSTOMER, COMMON, BAD).trial, 0);
  add_run (9, NOW + 5 * EL_SEC, 200, OTHER_CUSTOMER, RARE, BAD, 0);
  update (NOW + 5 * EL_SEC);
  ck_assert_int_eq (judge (NOW + 6 * EL_SEC, 7, 3, COMMON, BAD).state,
                    RT_BLAME_BLOCKED);
}
END_TEST

/* Two parts always come together: only requests that have both are blocked.
   One of them runs well alone: the other one remains blocked without it. */
START_TEST (test_parts_that_come_together_are_blocked_together)
{
  unsigned i;

  for (i = 0; i < 4; i++)
    {
      add_run (i, NOW + i * EL_SEC, 100 + i, CUSTOMER, RARE, BAD, 0);
      update (NOW + i * EL_SEC);
    }
  ck_assert_uint_eq (blocks[nblocks - 1].n, 2);
  ck_assert_int_eq (judge (NOW + 4 * EL_SEC, 7, CUSTOMER, RARE, BAD).state,
                    RT_BLAME_BLOCKED);
  ck_assert_int_ne (judge (NOW + 4 * EL_SEC, 7, CUSTOMER, RARE, COMMON).state,
                    RT_BLAME_BLOCKED);
  ran_well (CUSTOMER, RARE, NOW + 5 * EL_SEC);
  ck_assert_int_eq (judge (NOW + 6 * EL_SEC, 7, CUSTOMER, COMMON, BAD).state,
                    RT_BLAME_BLOCKED);
  ck_assert_int_eq (judge (NOW + 6 * EL_SEC, 7, CUSTOMER, RARE, COMMON).state,
                    RT_BLAME_NONE);
}
END_TEST

/* Responses had begun at all crashes: no part of their prompts is blamed. */
START_TEST (test_parts_of_begun_responses_are_no_causes)
{
  unsigned i;

  for (i = 0; i < 6; i++)
    {
      add_run (i, NOW + i * EL_SEC, 100 + i, CUSTOMER, RARE, BAD, 1);
      update (NOW + i * EL_SEC);
    }
  ck_assert_uint_eq (nblocks, 0);
  ck_assert_uint_eq (judge (NOW + 7 * EL_SEC, 7, CUSTOMER, RARE, BAD).trial,
                     0);
}
END_TEST

/* One request crashes engines again and again, and is the only one with its
   parts: the request is blocked, its parts are not. */
START_TEST (test_parts_of_one_crashing_request_are_not_blocked)
{
  unsigned i;

  for (i = 0; i < 5; i++)
    {
      add_run (i, NOW + i * EL_SEC, 100, CUSTOMER, RARE, BAD, 0);
      update (NOW + i * EL_SEC);
    }
  ck_assert_uint_eq (nblocks, 1);
  ck_assert_int_eq (blocks[0].kind, RT_CAUSE_REQUEST);
  ck_assert_int_ne (judge (NOW + 6 * EL_SEC, 7, CUSTOMER, RARE, BAD).state,
                    RT_BLAME_BLOCKED);
}
END_TEST

/* A stream received events at each of four engines that crashed in a short
   time. It was blocked for ten minutes, as it had run there for less than a
   second. */
START_TEST (test_request_with_events_before_each_crash_is_not_blocked)
{
  unsigned i;

  for (i = 0; i < 4; i++)
    {
      add_run (i, NOW + i * 100 * EL_MSEC, 100, CUSTOMER, RARE, COMMON, 1);
      update (NOW + i * 100 * EL_MSEC);
    }
  ck_assert_int_ne (
      judge (NOW + 5 * EL_SEC, 100, CUSTOMER, RARE, COMMON).state,
      RT_BLAME_BLOCKED);
}
END_TEST

/* A host that has just started does not know which parts run well: it takes
   none for new. */
START_TEST (test_parts_are_not_new_to_a_host_that_starts)
{
  unsigned i;

  parts_teardown ();
  parts_setup_at (NOW);
  for (i = 0; i < 3; i++)
    {
      add_run (i, NOW + i * EL_SEC, 100 + i, CUSTOMER, RARE, BAD, 0);
      update (NOW + i * EL_SEC);
    }
  ck_assert_uint_eq (nblocks, 0);
}
END_TEST

/* Requests of a customer with one part crash engines, and one without it was
   at a further crash: a host that has just started does not know that the part
   is new, and that the customer's common one is not. */
START_TEST (test_parts_common_one_is_not_blocked_by_a_host_that_starts)
{
  unsigned i;

  parts_teardown ();
  parts_setup_at (NOW);
  rt_blame_testify (blame, COMMON, NOW - EL_SEC, NOW);
  rt_blame_testify (blame, rt_customer_part (CUSTOMER, COMMON), NOW - EL_SEC,
                    NOW);
  for (i = 0; i < 5; i++)
    {
      add_run (i, NOW + i * 600 * EL_MSEC, 100 + i, CUSTOMER, COMMON,
               i == 2 ? RARE : BAD, 0);
      update (NOW + i * 600 * EL_MSEC);
    }
  ck_assert_uint_eq (nblocks, 0);
}
END_TEST

/* If no host knows, the part is blocked at last. */
START_TEST (test_parts_are_blocked_at_the_eighth_crash_after_a_start)
{
  unsigned i;

  parts_teardown ();
  parts_setup_at (NOW);
  for (i = 0; i < 4; i++)
    rt_blame_testify (blame,
                      i % 2   ? rt_customer_part (CUSTOMER, i / 2 ? BAD : RARE)
                      : i / 2 ? BAD
                              : RARE,
                      NOW - EL_SEC, NOW);
  for (i = 0; i < 8; i++)
    {
      ck_assert_uint_eq (nblocks, 0);
      add_run (i, NOW + i * 500 * EL_MSEC, 100 + i, CUSTOMER, RARE, BAD, 0);
      update (NOW + i * 500 * EL_MSEC);
    }
  ck_assert_uint_eq (nblocks, 1);
}
END_TEST

/* An operator unblocks a part: its siblings are not blocked in its place. */
START_TEST (test_parts_unblocked_by_an_operator_stay_unblocked)
{
  unsigned i;

  for (i = 0; i < 4; i++)
    {
      add_run (i, NOW + i * EL_SEC, 100 + i, CUSTOMER, RARE, BAD, 0);
      update (NOW + i * EL_SEC);
    }
  ck_assert_int_eq (
      rt_blame_clear (blame, blocks[nblocks - 1].id, NOW + 5 * EL_SEC), 1);
  nblocks = 0;
  update (NOW + 6 * EL_SEC);
  ck_assert_uint_eq (nblocks, 0);
  ck_assert_int_eq (judge (NOW + 7 * EL_SEC, 7, CUSTOMER, RARE, BAD).state,
                    RT_BLAME_NONE);
}
END_TEST

/* After the block a request is tried; if it crashes an engine, what was
   blocked is blocked again, for twice as long. */
START_TEST (test_parts_are_blocked_again_after_one_more_crash)
{
  el_time_t until;
  rt_blame_status_t status;
  unsigned i;

  for (i = 0; i < 4; i++)
    {
      add_run (i, NOW + i * EL_SEC, 100 + i, CUSTOMER, RARE, BAD, 0);
      update (NOW + i * EL_SEC);
    }
  until = judge (NOW + 4 * EL_SEC, 7, CUSTOMER, RARE, BAD).blocked_until;
  status = judge (until + EL_SEC, 7, CUSTOMER, RARE, BAD);
  ck_assert_int_ne (status.state, RT_BLAME_BLOCKED);
  ck_assert_uint_ne (status.trial, 0);
  add_run (50, until + 2 * EL_SEC, 300, CUSTOMER, RARE, BAD, 0);
  update (until + 2 * EL_SEC);
  status = judge (until + 3 * EL_SEC, 7, CUSTOMER, RARE, BAD);
  ck_assert_int_eq (status.state, RT_BLAME_BLOCKED);
  ck_assert_uint_eq (status.holds, 2);
}
END_TEST

/* The grantor permits one trial in each interval; a host that gets none does
   not ask again before it may. */
START_TEST (test_trials_are_granted_one_at_a_time)
{
  rt_trial_t grantor = { 0 };
  rt_trial_t host = { 0 };
  el_time_t wait;

  ck_assert_int_eq (rt_trial_grant (&grantor, NOW, &wait), 1);
  ck_assert_int_eq (rt_trial_grant (&grantor, NOW + EL_MSEC, &wait), 0);
  ck_assert_uint_eq (wait, RT_TRIAL_INTERVAL - EL_MSEC);
  ck_assert_int_eq (rt_trial_take (&host, NOW), RT_TRIAL_ASK);
  rt_trial_asked (&host, NOW);
  ck_assert_int_eq (rt_trial_take (&host, NOW), RT_TRIAL_WAIT);
  rt_trial_answered (&host, NOW, 0, wait);
  ck_assert_int_eq (rt_trial_take (&host, NOW + wait - 1), RT_TRIAL_WAIT);
  ck_assert_int_eq (rt_trial_take (&host, NOW + wait), RT_TRIAL_ASK);
  rt_trial_asked (&host, NOW + wait);
  rt_trial_answered (&host, NOW + wait, 1, 0);
  ck_assert_int_eq (rt_trial_take (&host, NOW + wait + 1), RT_TRIAL_OK);
  ck_assert_int_ne (rt_trial_take (&host, NOW + wait + 1), RT_TRIAL_OK);
  /* A trial that is not used expires long before the next one is granted. */
  rt_trial_asked (&host, NOW + 2 * RT_TRIAL_INTERVAL);
  rt_trial_answered (&host, NOW + 2 * RT_TRIAL_INTERVAL, 1, 0);
  ck_assert_int_ne (rt_trial_take (&host, NOW + 3 * RT_TRIAL_INTERVAL),
                    RT_TRIAL_OK);
}
END_TEST

/* The ids of all parts but the last; what is past the limit is counted. */
START_TEST (test_parts_are_read_from_the_header)
{
  el_str_t ids[2];

  ck_assert_uint_eq (pf_parts_read (EL_STR ("5c:800,91:410,e4:250"), ids, 2),
                     2);
  ck_assert (el_str_eq (ids[0], EL_STR ("5c")));
  ck_assert (el_str_eq (ids[1], EL_STR ("91")));
  ck_assert_uint_eq (pf_parts_read (EL_STR ("5c:800"), ids, 2), 0);
  ck_assert_uint_eq (pf_parts_read (EL_STR (""), ids, 2), 0);
  ck_assert_uint_eq (pf_parts_read (EL_STR (",:,5c,91"), ids, 2), 1);
  ck_assert_uint_eq (pf_parts_read (EL_STR ("1:1,2:2,3:3,4:4"), ids, 2), 3);
}
END_TEST

/* Store keys of blocks of a request, a part and a set are read as written. */
START_TEST (test_block_keys_are_read_as_written)
{
  rt_block_t want[]
      = { rt_block_single (RT_CAUSE_REQUEST, 7),
          rt_block_single (RT_CAUSE_PART, 8),
          { .kind = RT_CAUSE_CUSTOMER_PART, .causes = { 9, 3, 5 }, .n = 3 } };
  rt_block_t block;
  el_buf_t key = { NULL, 0, 0 };
  unsigned holds;
  size_t i;

  rt_block_seal (&want[2]);
  for (i = 0; i < sizeof want / sizeof *want; i++)
    {
      el_buf_reset (&key);
      pf_blocked_key (&want[i], 2, &key);
      ck_assert_int_eq (pf_blocked_read (el_buf_str (&key), &block, &holds),
                        1);
      ck_assert_uint_eq (holds, 2);
      ck_assert_int_eq (block.kind, want[i].kind);
      ck_assert_uint_eq (block.id, want[i].id);
      ck_assert_uint_eq (block.n, want[i].n);
    }
  el_buf_free (&key);
  ck_assert_int_eq (
      pf_blocked_read (EL_STR ("elmarch/blocked/part.-1"), &block, &holds), 0);
}
END_TEST

/* A fact with as many parts as are told fits a rumor, and is decoded as it was
   encoded; one run more goes into the next fact. */
START_TEST (test_crash_fact_with_most_parts_fits_a_rumor)
{
  relay_fact_t fact = { .kind = RELAY_FACT_CRASHED };
  relay_fact_t out;
  rt_crash_report_t run = { .instance = { .id = "i-0123456789", .born = 1 },
                            .digest = UINT64_MAX,
                            .customer = UINT64_MAX,
                            .host = UINT64_MAX,
                            .at = NOW,
                            .detected_at = NOW + 8 * EL_SEC,
                            .ran = 399 * EL_MSEC,
                            .nparts = RT_PARTS_MAX };
  el_buf_t body = { NULL, 0, 0 };
  size_t i;

  for (i = 0; i < RT_PARTS_MAX; i++)
    run.parts[i] = UINT64_MAX - i;
  ck_assert_int_eq (relay_fact_add_run (&fact, &run), 1);
  ck_assert_int_eq (relay_fact_add_run (&fact, &run), 0);
  run.nparts = 2;
  ck_assert_int_eq (relay_fact_add_run (&fact, &run), 1);
  ck_assert_int_eq (relay_fact_add_run (&fact, &run), 0);
  relay_fact_encode (&fact, &body);
  ck_assert_uint_le (body.len, CO_RUMOR_BODY_MAX);
  ck_assert_int_eq (relay_fact_decode (el_buf_str (&body), NOW, &out), 1);
  ck_assert_uint_eq (out.nruns, 2);
  ck_assert_uint_eq (out.runs[0].nparts, RT_PARTS_MAX);
  ck_assert_uint_eq (out.runs[0].parts[31], UINT64_MAX - 31);
  el_buf_reset (&body);
  fact = (relay_fact_t){ .kind = RELAY_FACT_CRASHED };
  run.nparts = 0;
  while (relay_fact_add_run (&fact, &run))
    ;
  relay_fact_encode (&fact, &body);
  ck_assert_uint_le (body.len, CO_RUMOR_BODY_MAX);
  el_buf_free (&body);
}
END_TEST

/* A block of several parts is told to other hosts as it is. */
START_TEST (test_block_fact_of_several_parts_is_decoded)
{
  relay_fact_t fact = { .kind = RELAY_FACT_BLOCKED, .holds = 2 };
  relay_fact_t out;
  el_buf_t body = { NULL, 0, 0 };
  size_t i;

  fact.block = (rt_block_t){ .kind = RT_CAUSE_PART };
  for (i = 0; i < RT_BLOCK_CAUSES_MAX; i++)
    fact.block.causes[fact.block.n++] = UINT64_MAX - i;
  rt_block_seal (&fact.block);
  relay_fact_encode (&fact, &body);
  ck_assert_uint_le (body.len, CO_RUMOR_BODY_MAX);
  ck_assert_int_eq (relay_fact_decode (el_buf_str (&body), NOW, &out), 1);
  ck_assert_uint_eq (out.block.id, fact.block.id);
  ck_assert_uint_eq (out.block.n, RT_BLOCK_CAUSES_MAX);
  ck_assert_int_eq (out.block.kind, RT_CAUSE_PART);
  ck_assert_uint_eq (out.holds, 2);
  el_buf_free (&body);
}
END_TEST

/* Randomized simulations, the crashing part in each place: at most three such
   requests are sent later than three seconds after the fifth crash, the part
   is blocked, and sound requests of the same customers begin at the first
   attempt. */
START_TEST (test_parts_simulations_keep_the_send_bound)
{
  part_options_t options = { .seed = (uint64_t)_i + 1,
                             .hosts = 9,
                             .engines = 6,
                             .customers = 10,
                             .rate = 62,
                             .bad_share = _i % 4 ? 0.03 : 0.1,
                             .bad_parts = 1,
                             .bad_customers = _i % 3 ? 1 : 5,
                             .place = (part_place_t)(_i % PART_PLACES),
                             .delayed_share = 0.05,
                             .seconds = 20 };
  part_result_t result = part_sim_run (&options);

  ck_assert_uint_le (result.late, 3);
  ck_assert_uint_eq (result.blocked_parts, 1);
  ck_assert_uint_ge (result.first_begun * 100, result.first_tries * 95);
  options.bad_parts = 0;
  options.crash_rate = 0.02;
  options.rack_size = 3;
  result = part_sim_run (&options);
  ck_assert_uint_eq (result.sound_blocked, 0);
}
END_TEST

/* N requests with the parts P and Q crash an engine each. */
static void
crash_engines (unsigned n, rt_digest_t p, rt_digest_t q)
{
  unsigned i;

  for (i = 0; i < n; i++)
    {
      add_run (i, NOW + i * EL_SEC, 100 + i, CUSTOMER, p, q, 0);
      update (NOW + i * EL_SEC);
    }
}

/* This host took a part for new and blocked it; another one saw it run well
   before. */
START_TEST (test_parts_block_of_one_that_ran_well_elsewhere_is_lifted)
{
  crash_engines (3, RARE, RARE);
  ck_assert_uint_eq (blocks[nblocks - 1].n, 1);
  ck_assert (blocks[nblocks - 1].taken_for_new);
  ck_assert (rt_blame_testify (blame, rt_customer_part (CUSTOMER, RARE),
                               NOW - EL_SEC, NOW + 5 * EL_SEC));
  ck_assert (rt_blame_testify (blame, RARE, NOW - EL_SEC, NOW + 5 * EL_SEC)
             == 0);
  update (NOW + 4 * EL_SEC);
  ck_assert_int_ne (judge (NOW + 5 * EL_SEC, 7, CUSTOMER, RARE, RARE).state,
                    RT_BLAME_BLOCKED);
}
END_TEST

/* A block that was decided although the part ran well before stands. */
START_TEST (test_parts_block_of_a_proven_one_is_not_lifted_by_testimony)
{
  rt_block_t block = rt_block_single (RT_CAUSE_PART, BAD);

  rt_blame_block (blame, &block, CUSTOMER, NOW, 1);
  ck_assert (!rt_blame_testify (blame, BAD, NOW - EL_SEC, NOW + EL_SEC));
  ck_assert_int_eq (judge (NOW + 1, 7, CUSTOMER, BAD, RARE).state,
                    RT_BLAME_BLOCKED);
  block.taken_for_new = 1;
  rt_blame_block (blame, &block, CUSTOMER, NOW + 2, 2);
  ck_assert (rt_blame_testify (blame, BAD, NOW - EL_SEC, NOW + EL_SEC));
  ck_assert_int_ne (judge (NOW + 3, 7, CUSTOMER, BAD, RARE).state,
                    RT_BLAME_BLOCKED);
}
END_TEST

/* Of two parts that are blocked together, the one that ran well elsewhere
   drops out. */
START_TEST (test_parts_testimony_narrows_a_set)
{
  crash_engines (3, RARE, BAD);
  ck_assert_uint_eq (blocks[nblocks - 1].n, 2);
  ck_assert (rt_blame_testify (blame, rt_customer_part (CUSTOMER, RARE),
                               NOW - EL_SEC, NOW + 5 * EL_SEC));
  ck_assert_int_eq (judge (NOW + 5 * EL_SEC, 7, CUSTOMER, COMMON, BAD).state,
                    RT_BLAME_BLOCKED);
  ck_assert_int_ne (judge (NOW + 5 * EL_SEC, 7, CUSTOMER, COMMON, RARE).state,
                    RT_BLAME_BLOCKED);
}
END_TEST

/* A host that starts is told of some parts: it does not take all others for
   new because of that. */
START_TEST (test_parts_testimony_does_not_end_the_time_of_learning)
{
  parts_teardown ();
  parts_setup_new ();
  rt_blame_testify (blame, COMMON, NOW - 500 * EL_SEC, NOW);
  crash_engines (3, RARE, BAD);
  ck_assert_uint_eq (nblocks, 0);
}
END_TEST

/* A host tells the others of a part that ran well within ten minutes, and not
   again while they know. */
START_TEST (test_parts_testimony_is_given_once)
{
  rt_blame_prove (blame, COMMON, NOW);
  ck_assert (!rt_blame_should_testify (blame, RARE, NOW, NOW + 60 * EL_SEC));
  ck_assert (rt_blame_should_testify (blame, COMMON, NOW, NOW + 60 * EL_SEC));
  ck_assert (!rt_blame_should_testify (blame, COMMON, NOW + 59 * EL_SEC,
                                       NOW + 120 * EL_SEC));
  ck_assert (rt_blame_should_testify (blame, COMMON, NOW + 60 * EL_SEC,
                                      NOW + 120 * EL_SEC));
  rt_blame_testify (blame, RARE, NOW, NOW + 60 * EL_SEC);
  ck_assert (!rt_blame_should_testify (blame, RARE, NOW + 1, NOW + EL_SEC));
  ck_assert_uint_eq (rt_blame_ran_well_at (blame, RARE, NOW + 1), NOW);
  ck_assert_uint_eq (rt_blame_ran_well_at (blame, RARE, NOW + 600 * EL_SEC),
                     0);
  ck_assert (!rt_blame_should_testify (blame, COMMON, NOW + 600 * EL_SEC,
                                       NOW + 660 * EL_SEC));
}
END_TEST

/* A testimony is decoded as it was encoded; one of the future is refused. */
START_TEST (test_testimony_fact_is_decoded)
{
  const relay_fact_t fact = { .kind = RELAY_FACT_RAN_WELL,
                              .digest = UINT64_MAX,
                              .ago = 90 * EL_SEC };
  relay_fact_t out;
  el_buf_t body = { NULL, 0, 0 };

  relay_fact_encode (&fact, &body);
  ck_assert_int_eq (relay_fact_decode (el_buf_str (&body), NOW, &out), 1);
  ck_assert_int_eq (out.kind, RELAY_FACT_RAN_WELL);
  ck_assert_uint_eq (out.digest, UINT64_MAX);
  ck_assert_uint_eq (out.ago, 90 * EL_SEC);
  ck_assert_int_eq (relay_fact_decode (el_buf_str (&body), EL_SEC, &out), 0);
  el_buf_free (&body);
  ck_assert_int_eq (
      relay_fact_decode (
          EL_STR ("{\"fact\":\"ran-well\",\"digest\":\"1\",\"ago_ms\":-1}"),
          NOW, &out),
      0);
}
END_TEST

/* Some hosts take few requests and have not seen most parts run well: no sound
   request is refused as crashing. */
START_TEST (test_parts_sound_ones_are_not_blocked_by_idle_hosts)
{
  part_options_t options = { .hosts = 9,
                             .idle_hosts = 4,
                             .engines = 6,
                             .customers = 10,
                             .rate = 62,
                             .bad_share = 0.08,
                             .bad_parts = 1,
                             .bad_customers = 5,
                             .place = PART_MIDDLE,
                             .seconds = 30 };
  part_result_t result;
  size_t blocked = 0;

  for (options.seed = 1; options.seed <= SEEDS; options.seed++)
    {
      result = part_sim_run (&options);
      blocked += result.sound_blocked;
      ck_assert_uint_eq (result.blocked_parts, 1);
    }
  ck_assert_uint_eq (blocked, 0);
}
END_TEST

Suite *
parts_suite (void)
{
  Suite *suite = suite_create ("parts");
  TCase *tcase = tcase_create ("parts");

  tcase_set_timeout (tcase, 120);
  tcase_add_checked_fixture (tcase, parts_setup, parts_teardown);
  ADD (tcase, test_parts_crashing_part_is_blocked_and_common_part_is_not);
  ADD (tcase, test_parts_of_other_customers_are_not_blocked);
  ADD (tcase, test_parts_that_come_together_are_blocked_together);
  ADD (tcase, test_parts_of_begun_responses_are_no_causes);
  ADD (tcase, test_parts_of_one_crashing_request_are_not_blocked);
  ADD (tcase, test_request_with_events_before_each_crash_is_not_blocked);
  ADD (tcase, test_parts_are_not_new_to_a_host_that_starts);
  ADD (tcase, test_parts_common_one_is_not_blocked_by_a_host_that_starts);
  ADD (tcase, test_parts_are_blocked_at_the_eighth_crash_after_a_start);
  ADD (tcase, test_parts_unblocked_by_an_operator_stay_unblocked);
  ADD (tcase, test_parts_are_blocked_again_after_one_more_crash);
  ADD (tcase, test_trials_are_granted_one_at_a_time);
  ADD (tcase, test_parts_are_read_from_the_header);
  ADD (tcase, test_block_keys_are_read_as_written);
  ADD (tcase, test_crash_fact_with_most_parts_fits_a_rumor);
  ADD (tcase, test_block_fact_of_several_parts_is_decoded);
  ADD_LOOP (tcase, test_parts_simulations_keep_the_send_bound, SEEDS);
  ADD (tcase, test_parts_block_of_one_that_ran_well_elsewhere_is_lifted);
  ADD (tcase, test_parts_block_of_a_proven_one_is_not_lifted_by_testimony);
  ADD (tcase, test_parts_testimony_narrows_a_set);
  ADD (tcase, test_parts_testimony_does_not_end_the_time_of_learning);
  ADD (tcase, test_parts_testimony_is_given_once);
  ADD (tcase, test_testimony_fact_is_decoded);
  ADD (tcase, test_parts_sound_ones_are_not_blocked_by_idle_hosts);
  suite_add_tcase (suite, tcase);
  return suite;
}
