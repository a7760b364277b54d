/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of the load that the hosts of a hall tell each other: the sum of their
 * reports, the estimate of an engine's use, and the decoding of messages.
 */
#include <math.h>

#include "libpeer.h"
#include "load.h"
#include "seeds.h"
#include "test.h"

#define NOW (1000 * EL_SEC)
#define TTL EL_SEC
#define HOSTS 5
#define ENGINES 6

static ld_hall_t *hall;

static void
told_setup (void)
{
  hall = ld_hall_new ();
}

static void
told_teardown (void)
{
  ld_hall_free (hall);
}

static ld_report_t
report_of (uint64_t engine, double held, double begun)
{
  ld_report_t report
      = { .hosts = 1, .nuses = 1, .uses = { { engine, held, begun } } };

  return report;
}

static int
receive (uint64_t host, uint64_t sequence, const ld_report_t *report,
         el_time_t now)
{
  return ld_hall_receive (hall, now, TTL, host, sequence, report);
}

static double
held_by_others (uint64_t host, uint64_t engine, el_time_t now)
{
  ld_report_t sum;

  ld_hall_sum (hall, now, host, &sum);
  return ld_report_use (&sum, engine)->held;
}

START_TEST (test_hall_sums_up_the_others)
{
  ld_report_t a = report_of (1, 100, 2);
  ld_report_t b = report_of (1, 30, 1);
  ld_report_t sum;

  ld_report_waits (&b, 9)->waiting[2] = 4;
  ck_assert_int_eq (receive (1, 1, &a, NOW), 1);
  ck_assert_int_eq (receive (2, 1, &b, NOW), 1);
  ld_hall_sum (hall, NOW, 1, &sum);
  ck_assert_uint_eq (sum.hosts, 1);
  ck_assert_uint_eq (sum.nuses, 1);
  ck_assert (sum.uses[0].held == 30);
  ck_assert_uint_eq (sum.waits[0].waiting[2], 4);
  ld_hall_sum (hall, NOW, 7, &sum);
  ck_assert_uint_eq (sum.hosts, 2);
  ck_assert (sum.uses[0].held == 130 && sum.uses[0].begun == 3);
}
END_TEST

/* Messages that arrive late or twice change nothing. */
START_TEST (test_hall_keeps_the_newest_report)
{
  ld_report_t former = report_of (1, 500, 5);
  ld_report_t newest = report_of (1, 20, 1);

  ck_assert_int_eq (receive (1, 2, &newest, NOW), 1);
  ck_assert_int_eq (receive (1, 1, &former, NOW), 0);
  ck_assert_int_eq (receive (1, 2, &former, NOW), 0);
  ck_assert (held_by_others (2, 1, NOW) == 20);
}
END_TEST

/* A host that was killed, frozen or cut off is left out. */
START_TEST (test_hall_drops_a_silent_host)
{
  ld_report_t report = report_of (1, 100, 2);
  ld_report_t sum;

  receive (1, 1, &report, NOW);
  receive (2, 1, &report, NOW + TTL / 2);
  ck_assert (held_by_others (3, 1, NOW + TTL / 2) == 200);
  ck_assert (held_by_others (3, 1, NOW + TTL) == 100);
  ld_hall_sum (hall, NOW + TTL, 3, &sum);
  ck_assert_uint_eq (sum.hosts, 1);
  ck_assert_uint_eq (ld_hall_hosts (hall), 1);
  ck_assert (held_by_others (3, 1, NOW + 2 * TTL) == 0);
}
END_TEST

static const ld_use_t impossible_uses[]
    = { { 1, -1, 0 },       { 1, 2 * LD_HELD_MAX, 0 },
        { 1, NAN, 0 },      { 1, INFINITY, 0 },
        { 1, 0, -1 },       { 1, 0, 2.0 * LD_BEGUN_MAX },
        { 1, 0, -INFINITY } };

START_TEST (test_hall_refuses_impossible_use)
{
  ld_report_t report
      = { .hosts = 1, .nuses = 1, .uses = { impossible_uses[_i] } };

  ck_assert_int_eq (receive (1, 1, &report, NOW), 0);
  ck_assert_uint_eq (ld_hall_hosts (hall), 0);
}
END_TEST

START_TEST (test_hall_refuses_impossible_lists)
{
  ld_report_t report = { .nuses = LD_USES_MAX + 1 };

  ck_assert_int_eq (receive (1, 1, &report, NOW), 0);
  report = (ld_report_t){ .nwaits = LD_WAITS_MAX + 1 };
  ck_assert_int_eq (receive (1, 1, &report, NOW), 0);
  report = (ld_report_t){ .nwaits = 1 };
  report.waits[0].waiting[0] = LD_WAITING_MAX + 1;
  ck_assert_int_eq (receive (1, 1, &report, NOW), 0);
}
END_TEST

/* Any course of reports, restarts and silence leads to the same sum as adding
   up the reports that are in force. */
static void
hall_course (uint64_t seed)
{
  double held[HOSTS][ENGINES] = { { 0 } };
  el_time_t until[HOSTS] = { 0 };
  uint64_t random = seed | 1;
  el_time_t now = NOW;
  unsigned step;

  told_teardown ();
  told_setup ();
  for (step = 0; step < 60; step++)
    {
      size_t host = el_random (&random) % HOSTS;
      ld_report_t report = { .hosts = 1 };
      ld_report_t sum;
      double expected = 0;
      size_t engine;
      size_t i;

      now += el_random (&random) % (TTL / 3);
      for (engine = 0; engine < ENGINES; engine++)
        {
          held[host][engine] = (double)(el_random (&random) % 3 * 256);
          if (held[host][engine] > 0)
            ld_report_use (&report, engine)->held = held[host][engine];
        }
      until[host] = now + TTL;
      ck_assert_int_eq (receive (host, step + 1, &report, now), 1);
      host = el_random (&random) % HOSTS;
      engine = el_random (&random) % ENGINES;
      for (i = 0; i < HOSTS; i++)
        expected += i != host && now < until[i] ? held[i][engine] : 0;
      ld_hall_sum (hall, now, host, &sum);
      ck_assert (ld_report_use (&sum, engine)->held == expected);
    }
}

START_TEST (test_hall_drawn_courses) { seeds_run (hall_course); }
END_TEST

START_TEST (test_report_interval_bounds_messages)
{
  ck_assert_uint_eq (ld_report_interval (200 * EL_MSEC, 1), 200 * EL_MSEC);
  ck_assert_uint_eq (ld_report_interval (200 * EL_MSEC, 25), 200 * EL_MSEC);
  ck_assert_uint_eq (ld_report_interval (200 * EL_MSEC, 250), 2 * EL_SEC);
}
END_TEST

/* A recorded course of one host: what it uses of an engine, and when the
   engine reported. */
typedef enum course_event
{
  COURSE_USE,
  COURSE_REPORT
} course_event_t;

static const struct
{
  course_event_t event;
  double own;
} course[] = {
  { COURSE_USE, 1000 }, { COURSE_USE, 2600 },    { COURSE_REPORT, 2600 },
  { COURSE_USE, 900 },  { COURSE_USE, 4000 },    { COURSE_REPORT, 4000 },
  { COURSE_USE, 3200 }, { COURSE_REPORT, 3200 }, { COURSE_REPORT, 3200 },
  { COURSE_USE, 0 },    { COURSE_USE, 512 },
};

/* With even load that is told at each event the estimate is what it is without
   any report of the others, event for event. */
START_TEST (test_even_load_is_estimated_as_if_nothing_was_told)
{
  ld_others_t others = { 0 };
  ld_others_t untold = { 0 };
  size_t i;
  int since;

  for (i = 0; i < sizeof course / sizeof *course; i++)
    {
      el_time_t now = NOW + i * 10 * EL_MSEC;
      double own = course[i].own;
      const ld_use_t use = { 1, own * (HOSTS - 1), own * (HOSTS - 1) };
      const ld_told_t told = { &use, HOSTS - 1, TTL };
      const ld_reported_t report = { .at = now };

      ld_others_told (&others, now, &told, own, own, HOSTS);
      if (course[i].event == COURSE_REPORT)
        {
          ld_others_reported (&others, &report, own, own, HOSTS);
          ld_others_reported (&untold, &report, own, own, HOSTS);
        }
      for (since = 0; since < 2; since++)
        ck_assert (
            ld_others_estimate (&others, &others.held, now, own, HOSTS, since)
            == ld_others_estimate (&untold, &untold.held, now, own, HOSTS,
                                   since));
    }
}
END_TEST

/* A host with a tenth of the others' demand, which sends nothing between the
   engine's report and the decision. */
START_TEST (test_skewed_load_is_known)
{
  const ld_use_t before = { 1, 40000, 40 };
  const ld_use_t after = { 1, 64000, 64 };
  const ld_told_t first = { &before, HOSTS - 1, TTL };
  const ld_told_t second = { &after, HOSTS - 1, TTL };
  const ld_reported_t report = { .at = NOW };
  ld_others_t others = { 0 };

  ld_others_told (&others, NOW, &first, 1000, 1, HOSTS);
  ld_others_reported (&others, &report, 1000, 1, HOSTS);
  ck_assert (ld_others_estimate (&others, &others.held, NOW, 1000, HOSTS, 1)
             == 0);
  ld_others_told (&others, NOW + 200 * EL_MSEC, &second, 1000, 1, HOSTS);
  ck_assert (ld_others_estimate (&others, &others.held, NOW + 200 * EL_MSEC,
                                 1000, HOSTS, 1)
             == 24000);
  ck_assert (ld_others_estimate (&others, &others.begun, NOW + 200 * EL_MSEC,
                                 1, HOSTS, 0)
             == 65);
}
END_TEST

/* An engine's values are older than its report: what was sent in between is
   not among them. */
START_TEST (test_lag_of_reports_is_known)
{
  const ld_use_t before = { 1, 10000, 10 };
  const ld_use_t after = { 1, 50000, 50 };
  const ld_told_t first = { &before, HOSTS - 1, TTL };
  const ld_told_t second = { &after, HOSTS - 1, TTL };
  const ld_reported_t report
      = { .at = NOW + 300 * EL_MSEC, .lag = 200 * EL_MSEC };
  ld_others_t others = { 0 };

  ld_others_told (&others, NOW, &first, 0, 0, HOSTS);
  ld_others_told (&others, NOW + 200 * EL_MSEC, &second, 0, 0, HOSTS);
  ld_others_reported (&others, &report, 0, 0, HOSTS);
  ck_assert (ld_others_estimate (&others, &others.held, report.at, 0, HOSTS, 1)
             == 50000 - 30000);
}
END_TEST

/* Hosts that told nothing, of an older version or just started, count as this
   one; and all do when nothing was told for too long. */
START_TEST (test_untold_hosts_are_assumed_as_before)
{
  const ld_use_t use = { 1, 900, 9 };
  const ld_told_t told = { &use, 2, TTL };
  ld_others_t others = { 0 };

  ld_others_told (&others, NOW, &told, 100, 1, HOSTS);
  ck_assert (ld_others_estimate (&others, &others.held, NOW, 100, HOSTS, 0)
             == 900 + 100 * 2 + 100);
  ck_assert (
      ld_others_estimate (&others, &others.held, NOW + TTL, 100, HOSTS, 0)
      == 100 * HOSTS);
}
END_TEST

/* What is told first after a time without does not change the estimate at
   once: the engine's report may include it. */
START_TEST (test_first_told_continues_the_estimate)
{
  const ld_use_t use = { 1, 77000, 70 };
  const ld_told_t told = { &use, HOSTS - 1, TTL };
  const ld_reported_t report = { .at = NOW };
  ld_others_t others = { 0 };
  double before;

  ld_others_reported (&others, &report, 1000, 1, HOSTS);
  before = ld_others_estimate (&others, &others.held, NOW, 1500, HOSTS, 1);
  ld_others_told (&others, NOW, &told, 1500, 1, HOSTS);
  ck_assert (ld_others_estimate (&others, &others.held, NOW, 1500, HOSTS, 1)
             == before);
}
END_TEST

/* Encodes a report of three engines and one service. */
static void
message_encode (el_buf_t *out)
{
  ld_report_t report = { .hosts = 3 };
  peer_load load;

  *ld_report_use (&report, 11) = (ld_use_t){ 11, 25600, 3 };
  *ld_report_use (&report, 12) = (ld_use_t){ 12, 512, 0 };
  *ld_report_use (&report, 13) = (ld_use_t){ 13, 0, 70 };
  ld_report_waits (&report, 5)->waiting[1] = 8;
  peer_load_encode (&report, &load);
  peer_xdr_encode ((xdrproc_t)xdr_peer_load, &load, out);
  free (load.uses.uses_val);
  free (load.waits.waits_val);
}

/* Returns whether BODY was decoded. */
static int
message_decode (el_str_t body, ld_report_t *report)
{
  peer_load load;
  int ok;

  memset (&load, 0, sizeof load);
  ok = peer_xdr_decode ((xdrproc_t)xdr_peer_load, body, &load)
       && peer_load_decode (&load, report);
  xdr_free ((xdrproc_t)xdr_peer_load, (char *)&load);
  return ok;
}

START_TEST (test_load_message_is_read_as_written)
{
  el_buf_t body = { NULL, 0, 0 };
  ld_report_t report;

  message_encode (&body);
  ck_assert_int_eq (message_decode (el_buf_str (&body), &report), 1);
  ck_assert_uint_eq (report.hosts, 3);
  ck_assert_uint_eq (report.nuses, 3);
  ck_assert (ld_report_use (&report, 11)->held == 25600);
  ck_assert (ld_report_use (&report, 13)->begun == 70);
  ck_assert_uint_eq (ld_report_waits (&report, 5)->waiting[1], 8);
  el_buf_free (&body);
}
END_TEST

/* A message of another version, cut short or damaged is refused, or is a
   possible report. */
static void
fuzz_message (uint64_t seed)
{
  uint64_t random = seed | 1;
  el_buf_t body = { NULL, 0, 0 };
  ld_report_t report;
  unsigned i;

  message_encode (&body);
  for (i = 0; i < 20; i++)
    {
      size_t at = el_random (&random) % body.len;
      size_t len = el_random (&random) % 3 ? body.len
                                           : el_random (&random) % body.len;

      body.ptr[at] = (char)el_random (&random);
      if (message_decode ((el_str_t){ body.ptr, len }, &report))
        ck_assert_int_eq (ld_report_valid (&report), 1);
    }
  el_buf_free (&body);
}

START_TEST (test_fuzz_load_messages) { seeds_run (fuzz_message); }
END_TEST

Suite *
told_suite (void)
{
  Suite *suite = suite_create ("told");
  TCase *tcase = tcase_create ("told");

  tcase_set_timeout (tcase, 120);
  tcase_add_checked_fixture (tcase, told_setup, told_teardown);
  ADD (tcase, test_hall_sums_up_the_others);
  ADD (tcase, test_hall_keeps_the_newest_report);
  ADD (tcase, test_hall_drops_a_silent_host);
  ADD_LOOP (tcase, test_hall_refuses_impossible_use,
            sizeof impossible_uses / sizeof *impossible_uses);
  ADD (tcase, test_hall_refuses_impossible_lists);
  ADD (tcase, test_hall_drawn_courses);
  ADD (tcase, test_report_interval_bounds_messages);
  ADD (tcase, test_even_load_is_estimated_as_if_nothing_was_told);
  ADD (tcase, test_skewed_load_is_known);
  ADD (tcase, test_lag_of_reports_is_known);
  ADD (tcase, test_untold_hosts_are_assumed_as_before);
  ADD (tcase, test_first_told_continues_the_estimate);
  ADD (tcase, test_load_message_is_read_as_written);
  ADD (tcase, test_fuzz_load_messages);
  suite_add_tcase (suite, tcase);
  return suite;
}
