/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of the availability of endpoints, which a requested backoff, leaving,
 * failures and a rate limit restrict, and of parsing the headers by which an
 * endpoint requests a backoff, names a limit or announces that it is leaving.
 */
#include <stdio.h>
#include <string.h>

#include "libplatform.h"
#include "relay.h"
#include "seeds.h"
#include "test.h"

#define NOW (100 * EL_SEC)
#define SERVICE EL_STR ("pool")
#define HALL EL_STR ("h")
#define SEEDS 200
#define EVENTS 400

static const rt_ejection_t avoid = { .threshold = 1,
                                     .first = 200 * EL_MSEC,
                                     .max_doublings = 4,
                                     .max = 3200 * EL_MSEC };
static const rt_tried_t none;

static rt_card_t cards[] = { { { "half", 4 }, 4500, 1, 1 } };
static rt_service_t service;
static rt_fleet_t *fleet;

static void
avail_setup (void)
{
  service = (rt_service_t){ .name = SERVICE,
                            .model = { .layers = 8,
                                       .layer_mb = 1000,
                                       .step_ms = 1,
                                       .prefill_ms = 0.01,
                                       .token_kv_mb = 0.1,
                                       .typical_tokens = 20,
                                       .cards = cards,
                                       .ncards = 1 } };
  fleet = rt_fleet_new (7);
}

static void
avail_teardown (void)
{
  rt_fleet_free (fleet);
}

/* Add an instance of an endpoint; an engine if it holds layers. */
static rt_target_t *
add_endpoint (const char *id, uint64_t born, unsigned first, unsigned end)
{
  const rt_attrs_t attrs = { .id = el_str (id),
                             .born = born,
                             .service = SERVICE,
                             .address = el_str (id),
                             .hall = HALL,
                             .card = el_str (end ? "half" : ""),
                             .slots = 8,
                             .first = first,
                             .end = end };

  return rt_fleet_update (fleet, &attrs);
}

static int
chain_pick (el_time_t now, rt_chain_t *out)
{
  const rt_chain_query_t want
      = { .service = &service, .hall = HALL, .tokens = 20, .tried = &none };

  return rt_chain_pick (fleet, now, &want, out);
}

static el_time_t
chain_available_at (el_time_t now)
{
  const rt_chain_query_t want
      = { .service = &service, .hall = HALL, .tokens = 20, .tried = &none };

  return rt_chain_available_at (fleet, now, &want);
}

/* No other event of an endpoint shortens its backoff. */
START_TEST (test_avail_no_event_shortens_a_backoff)
{
  rt_avail_t avail = { 0 };

  ck_assert_int_eq (rt_avail_backoff (&avail, NOW, 3 * EL_SEC, 0), 1);
  rt_avail_succeeded (&avail);
  rt_avail_answered (&avail);
  rt_avail_busy (&avail, NOW, 100 * EL_MSEC);
  rt_avail_changed (&avail, NOW, EL_SEC);
  rt_avail_failed (&avail, NOW, &avoid, 0);
  rt_avail_succeeded (&avail);
  ck_assert_int_eq (rt_avail_backoff (&avail, NOW + EL_SEC, EL_SEC, 0), 0);
  ck_assert_int_eq (rt_avail_backoff (&avail, NOW + EL_SEC, 0, 0), 0);
  ck_assert_uint_eq (rt_avail_backoff_left (&avail, NOW + EL_SEC), 2 * EL_SEC);
  ck_assert_int_eq (rt_avail_level_at (&avail, NOW + 3 * EL_SEC - 1),
                    RT_AVAIL_NONE);
  ck_assert_int_eq (rt_avail_level_at (&avail, NOW + 3 * EL_SEC),
                    RT_AVAIL_FULL);
}
END_TEST

START_TEST (test_avail_longer_backoff_replaces_shorter)
{
  rt_avail_t avail = { 0 };

  ck_assert_int_eq (rt_avail_backoff (&avail, NOW, EL_SEC, 0), 1);
  ck_assert_int_eq (rt_avail_backoff (&avail, NOW, 3 * EL_SEC, 0), 0);
  ck_assert_uint_eq (rt_avail_backoff_left (&avail, NOW), 3 * EL_SEC);
  ck_assert_uint_eq (avail.backoff_since, NOW);
}
END_TEST

/* After a backoff one trial request is sent first; others follow when it has
   been answered or has taken too long. */
START_TEST (test_avail_trial_request_after_a_backoff)
{
  const el_time_t backoff_end = NOW + EL_SEC;
  rt_avail_t avail = { 0 };

  rt_avail_backoff (&avail, NOW, EL_SEC, 0);
  rt_avail_answered (&avail); /* to a request sent before the backoff */
  ck_assert_int_eq (rt_avail_level_at (&avail, backoff_end), RT_AVAIL_FULL);
  rt_avail_sent (&avail, backoff_end);
  ck_assert_int_eq (rt_avail_level_at (&avail, backoff_end),
                    RT_AVAIL_LAST_RESORT);
  ck_assert_int_eq (rt_avail_reason_at (&avail, backoff_end),
                    RT_UNAVAIL_TRIAL);
  ck_assert_int_eq (rt_avail_level_at (&avail, backoff_end + EL_SEC),
                    RT_AVAIL_FULL);
  rt_avail_sent (&avail, backoff_end + EL_SEC);
  ck_assert_int_eq (rt_avail_level_at (&avail, backoff_end + EL_SEC),
                    RT_AVAIL_LAST_RESORT);
  rt_avail_answered (&avail);
  ck_assert_int_eq (rt_avail_level_at (&avail, backoff_end + EL_SEC),
                    RT_AVAIL_FULL);
  rt_avail_sent (&avail, backoff_end + EL_SEC);
  ck_assert_int_eq (rt_avail_level_at (&avail, backoff_end + EL_SEC),
                    RT_AVAIL_FULL);
}
END_TEST

/* Hosts that are asked for a backoff at the same moment send again at
   different times, none of them early. */
START_TEST (test_avail_hosts_return_spread_over_time)
{
  unsigned tenths[10] = { 0 };
  rt_avail_t avail;
  uint64_t draw = 7;
  unsigned i;

  for (i = 0; i < 1000; i++)
    {
      avail = (rt_avail_t){ 0 };
      rt_avail_backoff (&avail, NOW, EL_SEC, el_random (&draw));
      ck_assert_uint_ge (avail.backoff_until, NOW + EL_SEC);
      ck_assert_uint_lt (avail.backoff_until, NOW + EL_SEC + 100 * EL_MSEC);
      tenths[(avail.backoff_until - NOW - EL_SEC) / (10 * EL_MSEC)]++;
    }
  for (i = 0; i < 10; i++)
    ck_assert_uint_gt (tenths[i], 50);
}
END_TEST

/* Random events in any order: no request goes to an endpoint before the end of
   each backoff that it requested, also when its entry is removed and added
   again. A new instance starts without one. */
static void
run_random_schedule (uint64_t seed)
{
  rt_target_t *target = add_endpoint ("e", 1, 0, 0);
  uint64_t born = 1;
  uint64_t draw = seed + 1;
  el_time_t now = NOW;
  el_time_t closed_until = 0;
  el_time_t requested;
  int leaving = 0;
  unsigned i;

  for (i = 0; i < EVENTS; i++)
    {
      now += el_random (&draw) % (300 * EL_MSEC);
      switch (el_random (&draw) % 12)
        {
        case 0:
          requested = el_random (&draw) % (3 * EL_SEC);
          rt_fleet_backoff (fleet, target, now, requested);
          if (now + requested > closed_until)
            closed_until = now + requested;
          break;
        case 1:
          rt_target_succeeded (target, EL_MSEC);
          break;
        case 2:
          rt_target_busy (target, now);
          break;
        case 3:
          rt_target_changed (target, now);
          break;
        case 4:
          rt_target_failed (target, now);
          break;
        case 5:
          target->avail.silent = !target->avail.silent;
          break;
        case 6:
          rt_avail_sent (&target->avail, now);
          break;
        case 7:
          rt_avail_answered (&target->avail);
          break;
        case 8:
          rt_fleet_remove (fleet, EL_STR ("e"));
          target = add_endpoint ("e", born, 0, 0);
          break;
        case 9:
          target = add_endpoint ("e", born, 0, 0);
          break;
        case 10:
          if (el_random (&draw) % 8 == 0)
            {
              rt_fleet_mark_leaving (fleet, EL_STR ("e"), born);
              leaving = 1;
            }
          break;
        default:
          if (el_random (&draw) % 4 == 0)
            {
              target = add_endpoint ("e", ++born, 0, 0);
              closed_until = 0;
              leaving = 0;
              ck_assert_int_eq (rt_avail_level_at (&target->avail, now),
                                RT_AVAIL_FULL);
            }
          break;
        }
      ck_assert (now >= closed_until
                 || rt_avail_level_at (&target->avail, now) == RT_AVAIL_NONE);
      ck_assert (!leaving
                 || rt_avail_level_at (&target->avail, now) == RT_AVAIL_NONE);
      ck_assert (
          (rt_fleet_pick (fleet, now, SERVICE, HALL, &none) == NULL)
          == (rt_avail_level_at (&target->avail, now) == RT_AVAIL_NONE));
    }
}

START_TEST (test_avail_random_events_respect_backoff)
{
  run_random_schedule ((uint64_t)_i);
}
END_TEST

/* Other endpoints serve the requests; when all have requested a backoff, the
   end of the earliest one is known. */
START_TEST (test_pick_skips_endpoints_in_backoff)
{
  rt_target_t *a = add_endpoint ("a", 1, 0, 0);
  rt_target_t *b = add_endpoint ("b", 1, 0, 0);

  rt_avail_backoff (&a->avail, NOW, 3 * EL_SEC, 0);
  ck_assert_ptr_eq (rt_fleet_pick (fleet, NOW, SERVICE, HALL, &none), b);
  ck_assert_uint_eq (rt_fleet_available_at (fleet, NOW, SERVICE), 0);
  rt_avail_backoff (&b->avail, NOW, EL_SEC, 0);
  ck_assert_ptr_null (rt_fleet_pick (fleet, NOW, SERVICE, HALL, &none));
  ck_assert_uint_eq (rt_fleet_available_at (fleet, NOW, SERVICE),
                     NOW + EL_SEC);
  rt_target_mark_leaving (b);
  ck_assert_uint_eq (rt_fleet_available_at (fleet, NOW, SERVICE),
                     NOW + 3 * EL_SEC);
  rt_target_mark_leaving (a);
  ck_assert_uint_eq (rt_fleet_available_at (fleet, NOW, SERVICE), 0);
}
END_TEST

/* An engine in backoff is used in no new chain, neither as the first engine
   nor as a later one. A chain is available again as soon as enough backoffs
   have expired to cover all layers. */
START_TEST (test_chain_skips_engines_in_backoff)
{
  rt_target_t *first_engine = add_endpoint ("f0", 1, 0, 4);
  rt_target_t *first_replica = add_endpoint ("f1", 1, 0, 4);
  rt_target_t *last_engine = add_endpoint ("b0", 1, 4, 8);
  rt_chain_t chain;
  unsigned i;

  rt_avail_backoff (&first_engine->avail, NOW, 3 * EL_SEC, 0);
  for (i = 0; i < 50; i++)
    {
      ck_assert_int_eq (chain_pick (NOW + i, &chain), 1);
      ck_assert_ptr_eq (chain.part[0].target, first_replica);
    }
  ck_assert_uint_eq (chain_available_at (NOW), 0);
  rt_avail_backoff (&last_engine->avail, NOW, 2 * EL_SEC, 0);
  ck_assert_int_eq (chain_pick (NOW, &chain), 0);
  ck_assert_uint_eq (chain_available_at (NOW), NOW + 2 * EL_SEC);
  rt_avail_backoff (&first_replica->avail, NOW, 9 * EL_SEC, 0);
  ck_assert_uint_eq (chain_available_at (NOW), NOW + 3 * EL_SEC);
  ck_assert_int_eq (chain_pick (NOW + 3 * EL_SEC, &chain), 1);
  ck_assert_ptr_eq (chain.part[0].target, first_engine);
  rt_fleet_remove (fleet, EL_STR ("b0"));
  ck_assert_uint_eq (chain_available_at (NOW), 0);
}
END_TEST

/* The layout does not change for an engine in backoff, which is neither lost
   nor empty, but does for one that is leaving. */
START_TEST (test_layout_keeps_engines_in_backoff)
{
  rt_target_t *first_engine = add_endpoint ("f0", 1, 0, 4);
  rt_order_t orders[4];

  add_endpoint ("b0", 1, 4, 8);
  add_endpoint ("b1", 1, 4, 8);
  rt_avail_backoff (&first_engine->avail, NOW, 3 * EL_SEC, 0);
  ck_assert_uint_eq (rt_layout_repair (fleet, &service, NULL, 0, orders, 4),
                     0);
  rt_target_mark_leaving (first_engine);
  ck_assert_uint_eq (rt_layout_repair (fleet, &service, NULL, 0, orders, 4),
                     1);
}
END_TEST

/* An instance's leaving state is kept before it is listed, while it is, and
   when its entry lapses and returns; the next instance with its id is not
   leaving. */
START_TEST (test_fleet_leaving_applies_to_one_instance)
{
  rt_target_t *target;

  ck_assert_ptr_null (rt_fleet_mark_leaving (fleet, EL_STR ("a"), 1));
  target = add_endpoint ("a", 1, 0, 0);
  ck_assert_int_eq (rt_target_is_leaving (target), 1);
  rt_fleet_remove (fleet, EL_STR ("a"));
  target = add_endpoint ("a", 1, 0, 0);
  ck_assert_int_eq (rt_target_is_leaving (target), 1);
  target = add_endpoint ("a", 2, 0, 0);
  ck_assert_int_eq (rt_target_is_leaving (target), 0);
  ck_assert_ptr_null (rt_fleet_mark_leaving (fleet, EL_STR ("a"), 1));
  ck_assert_int_eq (rt_target_is_leaving (target), 0);
  ck_assert_ptr_eq (rt_fleet_mark_leaving (fleet, EL_STR ("a"), 2), target);
  ck_assert_ptr_null (rt_fleet_mark_leaving (fleet, EL_STR ("a"), 2));
  ck_assert_int_eq (rt_target_is_leaving (target), 1);
}
END_TEST

/* The lender of TARGET's limit has no token for this host. */
static void
deny_tokens (rt_target_t *target)
{
  rt_limit_hear (&target->limit, NOW, NOW, 2);
  target->limit.borrower.denied_until = NOW + EL_SEC;
}

static rt_target_t *
pick (el_time_t now)
{
  return rt_fleet_pick (fleet, now, SERVICE, HALL, &none);
}

START_TEST (test_limit_used_up_endpoint_is_not_picked)
{
  rt_target_t *a = add_endpoint ("a", 1, 0, 0);
  rt_target_t *b = add_endpoint ("b", 1, 0, 0);

  deny_tokens (a);
  ck_assert_ptr_eq (pick (NOW), b);
  ck_assert_ptr_eq (rt_fleet_pick_isolated (fleet, NOW, SERVICE, 3, &none), b);
  deny_tokens (b);
  ck_assert_ptr_null (pick (NOW));
  ck_assert_ptr_null (rt_fleet_pick_isolated (fleet, NOW, SERVICE, 3, &none));
  ck_assert_ptr_nonnull (pick (NOW + EL_SEC));
}
END_TEST

/* The limit is on the streams that begin at an engine: one that has none left
   is no first engine of a chain, but may be a later one. */
START_TEST (test_limit_used_up_engine_begins_no_chain)
{
  rt_target_t *a = add_endpoint ("a", 1, 0, 4);
  rt_target_t *b = add_endpoint ("b", 1, 0, 4);
  rt_target_t *c = add_endpoint ("c", 1, 4, 8);
  rt_chain_t chain;

  deny_tokens (a);
  deny_tokens (c);
  ck_assert_int_eq (chain_pick (NOW, &chain), 1);
  ck_assert_ptr_eq (chain.part[0].target, b);
  ck_assert_ptr_eq (chain.part[1].target, c);
  deny_tokens (b);
  ck_assert_int_eq (chain_pick (NOW, &chain), 0);
  ck_assert_int_eq (chain_pick (NOW + EL_SEC, &chain), 1);
}
END_TEST

/* A limit is of one instance, and is kept while its entry lapses. */
START_TEST (test_limit_applies_to_one_instance)
{
  rt_target_t *target = add_endpoint ("a", 1, 0, 0);

  deny_tokens (target);
  rt_fleet_remove (fleet, EL_STR ("a"));
  target = add_endpoint ("a", 1, 0, 0);
  ck_assert_int_eq (target->limit.named, 1);
  ck_assert_ptr_null (pick (NOW));
  target = add_endpoint ("a", 2, 0, 0);
  ck_assert_int_eq (target->limit.named, 0);
  ck_assert_ptr_eq (pick (NOW), target);
}
END_TEST

/* Hints in the headers of an answer. */

static rt_hints_t
read_hints (int status, const net_header_t *headers, size_t n)
{
  const net_result_t head
      = { .status = status, .headers = headers, .nheaders = n };
  rt_hints_t hints;

  pf_hints_read (&head, &hints);
  return hints;
}

START_TEST (test_retry_after_is_parsed_and_bounded)
{
  static const struct
  {
    const char *value;
    el_time_t backoff;
  } times[] = {
    { "3", 3 * EL_SEC },
    { "0.25", 250 * EL_MSEC },
    { " 1.5 ", 1500 * EL_MSEC },
    { "0.0000001", 0 },
    { "0", 0 },
    { "0.0", 0 },
    { "600", 600 * EL_SEC },
    { "1000000000", 600 * EL_SEC },
    { "99999999999999999999999999", 600 * EL_SEC },
    { "2, 5", 5 * EL_SEC },
    { "5,x", 5 * EL_SEC },
    { "", 0 },
    { "-1", 0 },
    { "+1", 0 },
    { "1e3", 0 },
    { "0x10", 0 },
    { "1.", 0 },
    { ".5", 0 },
    { "1.2.3", 0 },
    { "nan", 0 },
    { "inf", 0 },
    { "soon", 0 },
    { "3 s", 0 },
    { "Thu, 03 Dec 2026 04:43:36 GMT", 0 },
  };
  size_t i;

  for (i = 0; i < sizeof times / sizeof *times; i++)
    {
      const net_header_t header
          = { EL_STR ("Retry-After"), el_str (times[i].value) };

      ck_assert_msg (read_hints (503, &header, 1).backoff == times[i].backoff,
                     "%s", times[i].value);
      ck_assert_uint_eq (read_hints (429, &header, 1).backoff, 0);
      ck_assert_uint_eq (read_hints (200, &header, 1).backoff, 0);
    }
  ck_assert_uint_eq (read_hints (503, NULL, 0).backoff, 0);
}
END_TEST

START_TEST (test_retry_after_longest_of_several_wins)
{
  const net_header_t headers[] = { { EL_STR ("retry-after"), EL_STR ("2") },
                                   { EL_STR ("x"), EL_STR ("9") },
                                   { EL_STR ("RETRY-AFTER"), EL_STR ("4") },
                                   { EL_STR ("retry-after"), EL_STR ("?") } };

  ck_assert_uint_eq (read_hints (503, headers, 4).backoff, 4 * EL_SEC);
}
END_TEST

START_TEST (test_leaving_header_is_read_from_any_answer)
{
  static const int statuses[] = { 200, 202, 404, 409, 421, 429, 500, 503 };
  static const char *const others[] = { "0", "", "true", "11", "1 1" };
  net_header_t header = { EL_STR ("server-leaving"), EL_STR (" 1") };
  size_t i;

  for (i = 0; i < sizeof statuses / sizeof *statuses; i++)
    ck_assert_int_eq (read_hints (statuses[i], &header, 1).leaving, 1);
  for (i = 0; i < sizeof others / sizeof *others; i++)
    {
      header.value = el_str (others[i]);
      ck_assert_int_eq (read_hints (200, &header, 1).leaving, 0);
    }
}
END_TEST

START_TEST (test_limit_header_is_parsed)
{
  static const struct
  {
    const char *value;
    rt_limit_hint_t limited;
    double limit;
  } values[] = {
    { "6.9", RT_LIMIT_NAMED, 6.9 },    { " 3 ", RT_LIMIT_NAMED, 3 },
    { "0", RT_LIMIT_NAMED, 0 },        { "0.25", RT_LIMIT_NAMED, 0.25 },
    { "100000", RT_LIMIT_NAMED, 1e5 }, { "", RT_LIMIT_UNREAD, 0 },
    { "-1", RT_LIMIT_UNREAD, 0 },      { "1e3", RT_LIMIT_UNREAD, 0 },
    { "nan", RT_LIMIT_UNREAD, 0 },     { "6.9/s", RT_LIMIT_UNREAD, 0 },
    { "6.9, 3", RT_LIMIT_UNREAD, 0 },
  };
  net_header_t headers[] = { { EL_STR ("Server-Limit"), EL_STR ("") },
                             { EL_STR ("server-limit"), EL_STR ("2") },
                             { EL_STR ("server-limit"), EL_STR ("?") } };
  rt_hints_t hints;
  size_t i;

  for (i = 0; i < sizeof values / sizeof *values; i++)
    {
      headers[0].value = el_str (values[i].value);
      hints = read_hints (i % 2 ? 200 : 503, headers, 1);
      ck_assert_int_eq (hints.limited, values[i].limited);
      ck_assert_double_eq_tol (hints.limit, values[i].limit, 1e-6);
    }
  ck_assert_int_eq (read_hints (200, NULL, 0).limited, RT_LIMIT_NONE);
  headers[0].value = EL_STR ("7");
  ck_assert_double_eq_tol (read_hints (200, headers, 3).limit, 2, 1e-6);
}
END_TEST

Suite *
avail_suite (void)
{
  Suite *suite = suite_create ("avail");
  TCase *tcase = tcase_create ("avail");

  tcase_add_checked_fixture (tcase, avail_setup, avail_teardown);
  ADD (tcase, test_avail_no_event_shortens_a_backoff);
  ADD (tcase, test_avail_longer_backoff_replaces_shorter);
  ADD (tcase, test_avail_trial_request_after_a_backoff);
  ADD (tcase, test_avail_hosts_return_spread_over_time);
  ADD_LOOP (tcase, test_avail_random_events_respect_backoff, SEEDS);
  ADD (tcase, test_pick_skips_endpoints_in_backoff);
  ADD (tcase, test_chain_skips_engines_in_backoff);
  ADD (tcase, test_layout_keeps_engines_in_backoff);
  ADD (tcase, test_fleet_leaving_applies_to_one_instance);
  ADD (tcase, test_limit_used_up_endpoint_is_not_picked);
  ADD (tcase, test_limit_used_up_engine_begins_no_chain);
  ADD (tcase, test_limit_applies_to_one_instance);
  ADD (tcase, test_retry_after_is_parsed_and_bounded);
  ADD (tcase, test_retry_after_longest_of_several_wins);
  ADD (tcase, test_leaving_header_is_read_from_any_answer);
  ADD (tcase, test_limit_header_is_parsed);
  suite_add_tcase (suite, tcase);
  return suite;
}
