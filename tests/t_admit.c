/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of the order in which requests wait and of their admission. The
 * replays drive the decisions through a load pattern, without a network:
 * requests take one of a few places for a fixed time.
 */
#include <stdio.h>

#include "libload.h"
#include "platform.h"
#include "seeds.h"
#include "test.h"

#define NOW (1000 * EL_SEC)
#define ENTRIES_MAX 4000
#define PLACES 20
#define DURATION (500 * EL_MSEC)
#define TARGET (500 * EL_MSEC)
#define PATIENCE (2 * EL_SEC)

static ld_queue_t *queue;
static ld_entry_t entries[ENTRIES_MAX];

static void
admit_setup (void)
{
  const ld_queue_options_t options = { .max = 1000 };

  queue = ld_queue_new (&options);
  memset (entries, 0, sizeof entries);
}

static void
admit_teardown (void)
{
  ld_queue_free (queue);
}

static ld_entry_t *
entry_set (size_t i, unsigned rank, uint64_t customer)
{
  entries[i] = (ld_entry_t){ .rank = rank,
                             .customer = customer,
                             .in_time = NOW + EL_SEC,
                             .until = NOW + EL_SEC,
                             .owner = &entries[i] };
  return &entries[i];
}

static ld_entry_t *
entry_add (size_t i, unsigned rank, uint64_t customer)
{
  ld_queue_add (queue, NOW, entry_set (i, rank, customer));
  return &entries[i];
}

/* Starts the first entry and returns its index. */
static size_t
start_first (void)
{
  ld_entry_t *first = ld_queue_first (queue);

  ck_assert_ptr_nonnull (first);
  ld_queue_started (queue, NOW, first, 0);
  ld_queue_served (queue, first);
  return (size_t)(first - entries);
}

/* Makes the queue see N running requests that take DURATION each. */
static void
run_steadily (size_t n)
{
  ld_entry_t other = { .rank = LD_RANKS - 1 };

  ld_queue_started (queue, NOW, &other, 0);
  ld_queue_ended (queue, DURATION);
  while (n--)
    ld_queue_started (queue, NOW, &other, 0);
}

static ld_decision_t
ask (const ld_entry_t *entry, double streams, el_time_t now)
{
  const ld_question_t question
      = { .entry = entry, .room = { .streams = streams } };

  return ld_admit (queue, now, &question);
}

START_TEST (test_queue_highest_rank_goes_first)
{
  entry_add (0, 2, 1);
  entry_add (1, 0, 1);
  entry_add (2, 1, 1);
  entry_add (3, 0, 1);
  ck_assert_uint_eq (start_first (), 1);
  ck_assert_uint_eq (start_first (), 3);
  ck_assert_uint_eq (start_first (), 2);
  ck_assert_uint_eq (start_first (), 0);
  ck_assert_ptr_null (ld_queue_first (queue));
}
END_TEST

/* What engines refused goes before what is new, but not before a higher
   rank. */
START_TEST (test_queue_refused_goes_before_new)
{
  entry_add (0, 1, 1);
  entry_set (1, 1, 1)->refused = 1;
  ld_queue_add (queue, NOW, &entries[1]);
  entry_add (2, 0, 1);
  ck_assert_uint_eq (start_first (), 2);
  ck_assert_uint_eq (start_first (), 1);
  ck_assert_uint_eq (start_first (), 0);
}
END_TEST

/* A customer's burst does not keep the others of its rank waiting. */
START_TEST (test_queue_customers_take_turns)
{
  size_t i;

  for (i = 0; i < 100; i++)
    entry_add (i, 0, 1);
  entry_add (100, 0, 2);
  entry_add (101, 0, 3);
  ck_assert_uint_eq (start_first (), 0);
  ck_assert_uint_eq (start_first (), 100);
  ck_assert_uint_eq (start_first (), 101);
  ck_assert_uint_eq (start_first (), 1);
  entry_add (102, 0, 2);
  ck_assert_uint_eq (start_first (), 2);
  ck_assert_uint_eq (start_first (), 102);
}
END_TEST

/* While the highest rank is never idle, each rank below has its share. */
START_TEST (test_queue_no_rank_starves)
{
  unsigned starts[LD_RANKS] = { 0 };
  size_t i;

  for (i = 0; i < LD_RANKS; i++)
    entry_add (i, (unsigned)i, 1);
  for (i = 0; i < 9000; i++)
    {
      size_t at = start_first ();

      starts[entries[at].rank]++;
      entry_add (at, entries[at].rank, 1);
    }
  for (i = 1; i < LD_RANKS; i++)
    ck_assert_uint_ge (starts[i], 9000 / 20);
  ck_assert_uint_ge (starts[0], 2 * starts[1]);
}
END_TEST

START_TEST (test_queue_full_displaces_newest_of_lowest_rank)
{
  entry_add (0, 1, 1);
  entry_add (1, 3, 1);
  entry_add (2, 3, 1);
  ck_assert_ptr_eq (ld_queue_displaced (queue, 0), &entries[2]);
  ck_assert_ptr_eq (ld_queue_displaced (queue, 2), &entries[2]);
  ck_assert_ptr_null (ld_queue_displaced (queue, 3));
  ld_queue_remove (&entries[2]);
  ld_queue_remove (&entries[1]);
  ck_assert_ptr_eq (ld_queue_displaced (queue, 0), &entries[0]);
}
END_TEST

START_TEST (test_admit_starts_with_room)
{
  ck_assert_int_eq (ask (entry_set (0, 2, 1), 1, NOW).verdict, LD_START);
  ck_assert_int_eq (ask (entry_set (0, 2, 1), 0.9, NOW).verdict, LD_WAIT);
}
END_TEST

/* Room is left to a request that goes first, at this host or at others. */
START_TEST (test_admit_leaves_room_to_those_before)
{
  ld_question_t question = { .entry = &entries[1], .room = { .streams = 2 } };

  entry_add (0, 0, 1);
  entry_set (1, 1, 1);
  ck_assert_int_eq (ask (&entries[1], 10, NOW).reason, LD_BEHIND);
  ld_queue_remove (&entries[0]);
  question.elsewhere.before = 3;
  question.draw = 0.6;
  ck_assert_int_eq (ld_admit (queue, NOW, &question).reason, LD_SHARED);
  question.draw = 0.4;
  ck_assert_int_eq (ld_admit (queue, NOW, &question).reason, LD_ROOM);
  question.room.streams = 4;
  question.draw = 0.99;
  ck_assert_int_eq (ld_admit (queue, NOW, &question).reason, LD_ROOM);
}
END_TEST

/* A request that can't be served in its time is refused on arrival, and one
   that waits as soon as that is known, the lowest rank first. */
START_TEST (test_admit_refuses_what_has_no_time)
{
  size_t i;

  run_steadily (10); /* 20 a second */
  for (i = 0; i < 15; i++)
    ck_assert_int_eq (ask (entry_add (i, 1, i), 0, NOW).verdict, LD_WAIT);
  ck_assert_int_eq (ask (entry_set (15, 0, 1), 0, NOW).verdict, LD_WAIT);
  ck_assert_int_eq (ask (entry_set (16, 2, 1), 0, NOW).verdict, LD_WAIT);
  for (i = 17; i < 22; i++)
    entry_add (i, 1, i);
  ck_assert_int_eq (ask (entry_set (22, 1, 1), 0, NOW).reason, LD_NO_TIME);
  ck_assert_ptr_null (ld_queue_hopeless (queue, NOW));
  entry_add (23, 0, 1);
  ck_assert_ptr_eq (ld_queue_hopeless (queue, NOW), &entries[21]);
  ck_assert_int_eq (ask (&entries[0], 0, NOW + 2 * EL_SEC).reason, LD_NO_TIME);
}
END_TEST

/* An estimate that is wrong delays the first request only for a while. */
START_TEST (test_admit_checks_the_estimate)
{
  entry_add (0, 1, 1);
  ck_assert_int_eq (ask (&entries[0], 0, NOW + 50 * EL_MSEC).verdict, LD_WAIT);
  ck_assert_int_eq (ask (&entries[0], 0, NOW + 100 * EL_MSEC).reason,
                    LD_OFFER);
  ld_queue_started (queue, NOW + 100 * EL_MSEC, &entries[0], 1);
  entry_add (1, 1, 1);
  ck_assert_int_eq (ask (&entries[1], 0, NOW + 150 * EL_MSEC).verdict,
                    LD_WAIT);
}
END_TEST

START_TEST (test_admit_in_progress_does_not_wait)
{
  entry_add (0, 0, 1);
  entry_set (1, 5, 1)->begun = 1;
  ck_assert_int_eq (ask (&entries[1], 0, NOW).verdict, LD_START);
}
END_TEST

START_TEST (test_admit_full_queue_refuses_the_lowest_rank)
{
  const ld_queue_options_t options = { .max = 2 };

  ld_queue_free (queue);
  queue = ld_queue_new (&options);
  entry_add (0, 1, 1);
  entry_add (1, 1, 1);
  ck_assert_int_eq (ask (entry_set (2, 1, 1), 0, NOW).reason, LD_FULL);
  ck_assert_int_eq (ask (entry_set (2, 0, 1), 0, NOW).verdict, LD_WAIT);
}
END_TEST

/* Refused callers return one after the other at the rate of room, those of a
   lower rank after those of a higher one, and none later than they keep to. */
START_TEST (test_return_follows_the_rate_of_room)
{
  el_time_t last = 0;
  el_time_t wait;
  size_t i;

  run_steadily (10); /* 20 a second */
  for (i = 0; i < 40; i++)
    {
      wait = ld_return_after (queue, NOW, 1, 20 * EL_SEC, 0);
      ck_assert_uint_ge (wait, 50 * EL_MSEC);
      if (last)
        ck_assert_uint_eq (wait, last + 50 * EL_MSEC);
      last = wait;
    }
  ck_assert_uint_gt (ld_return_after (queue, NOW, 2, 20 * EL_SEC, 0), last);
  ck_assert_uint_lt (ld_return_after (queue, NOW, 0, 20 * EL_SEC, 0), last);
  ck_assert_uint_le (ld_return_after (queue, NOW, 1, EL_SEC, ~0ULL),
                     EL_SEC / 3);
}
END_TEST

/* Arrivals of the replays. */
typedef struct replay_rank
{
  unsigned per_s;       /* at all times */
  unsigned burst_per_s; /* in addition, in the second third */
} replay_rank_t;

typedef struct replay_result
{
  unsigned arrived[LD_RANKS];
  unsigned in_time[LD_RANKS]; /* started within TARGET */
  unsigned refused[LD_RANKS];
  unsigned late_starts; /* after their time */
} replay_result_t;

/* Starts or refuses an entry, or lets it wait. Returns 1 if it started. */
static int
replay_decide (ld_entry_t *entry, el_time_t now, unsigned free_places,
               replay_result_t *result)
{
  ld_decision_t decision = ask (entry, free_places, now);
  el_time_t arrived = entry->until - PATIENCE / 2;

  /* An offer without a place is refused by the engine. */
  if (decision.verdict == LD_START && free_places)
    {
      result->in_time[entry->rank] += now < arrived + TARGET;
      result->late_starts += now >= entry->until;
      ld_queue_started (queue, now, entry, 0);
      ld_queue_served (queue, entry);
      return 1;
    }
  if (decision.verdict == LD_REFUSE)
    {
      result->refused[entry->rank]++;
      ld_queue_remove (entry);
    }
  else if (!entry->queue)
    ld_queue_add (queue, now, entry);
  return 0;
}

/* Plays 9 s of arrivals at PLACES places, in steps of a millisecond. */
static void
replay (const replay_rank_t ranks[LD_RANKS], replay_result_t *result)
{
  el_time_t ends[PLACES] = { 0 };
  el_time_t now;
  size_t n = 0;
  size_t i;
  unsigned rank;

  memset (result, 0, sizeof *result);
  for (now = NOW; now < NOW + 9 * EL_SEC; now += EL_MSEC)
    {
      int burst = now >= NOW + 3 * EL_SEC && now < NOW + 6 * EL_SEC;
      unsigned free_places = 0;
      ld_entry_t *entry;

      for (i = 0; i < PLACES; i++)
        {
          if (ends[i] && now >= ends[i])
            {
              ends[i] = 0;
              ld_queue_ended (queue, DURATION);
            }
          free_places += ends[i] == 0;
        }
      for (rank = 0; rank < LD_RANKS; rank++)
        {
          unsigned rate
              = ranks[rank].per_s + (burst ? ranks[rank].burst_per_s : 0);
          uint64_t at = (now - NOW) / EL_MSEC;

          if (at * rate / 1000 == (at + 1) * rate / 1000)
            continue;
          ck_assert_uint_lt (n, ENTRIES_MAX);
          entry = entry_set (n, rank, n);
          n++;
          ld_entry_set_times (entry,
                              &(ld_times_t){ .received = now,
                                             .deadline = now + 20 * EL_SEC,
                                             .target = TARGET,
                                             .patience = PATIENCE });
          result->arrived[rank]++;
          if (replay_decide (entry, now, free_places, result))
            for (i = 0; i < PLACES; i++)
              if (!ends[i])
                {
                  ends[i] = now + DURATION;
                  free_places--;
                  break;
                }
        }
      while ((entry = ld_queue_hopeless (queue, now)))
        {
          result->refused[entry->rank]++;
          ld_queue_remove (entry);
        }
      for (i = 0; i < n; i++)
        if (entries[i].queue && now >= entries[i].until)
          replay_decide (&entries[i], now, 0, result);
      while (free_places && (entry = ld_queue_first (queue)))
        {
          if (!replay_decide (entry, now, free_places, result))
            break;
          for (i = 0; ends[i]; i++)
            ;
          ends[i] = now + DURATION;
          free_places--;
        }
    }
}

/* Load pattern: the lowest rank asks for twice what there is room for, for
   three seconds. The higher ranks hardly notice it, and it does not starve. */
START_TEST (test_replay_burst_of_a_low_rank)
{
  static const replay_rank_t ranks[LD_RANKS]
      = { { 12, 0 }, { 8, 0 }, { 4, 80 } };
  replay_result_t result;

  replay (ranks, &result);
  ck_assert_uint_ge (result.in_time[0] * 100, result.arrived[0] * 97);
  ck_assert_uint_ge (result.in_time[1] * 100, result.arrived[1] * 97);
  ck_assert_uint_gt (result.in_time[2], result.arrived[2] / 4);
  ck_assert_uint_eq (result.late_starts, 0);
  ck_assert_uint_eq (result.refused[0] + result.refused[1], 0);
}
END_TEST

/* Load pattern: the highest rank asks for more than there is room for. It gets
   nearly all of it, and each lower rank a share. */
START_TEST (test_replay_burst_of_the_highest_rank)
{
  static const replay_rank_t ranks[LD_RANKS]
      = { { 12, 60 }, { 8, 0 }, { 4, 0 } };
  replay_result_t result;

  replay (ranks, &result);
  ck_assert_uint_gt (result.in_time[0] * 10, result.arrived[0] * 5);
  ck_assert_uint_gt (result.in_time[1], result.arrived[1] / 4);
  ck_assert_uint_gt (result.in_time[2], result.arrived[2] / 4);
  ck_assert_uint_eq (result.late_starts, 0);
}
END_TEST

/* Load pattern: even and below what there is room for. Nobody waits. */
START_TEST (test_replay_even_load_starts_at_once)
{
  static const replay_rank_t ranks[LD_RANKS] = { { 12, 0 }, { 8, 0 } };
  replay_result_t result;

  replay (ranks, &result);
  ck_assert_uint_eq (ld_queue_counts (queue, 0)->waited, 0);
  ck_assert_uint_eq (ld_queue_counts (queue, 1)->waited, 0);
  ck_assert_uint_eq (result.in_time[0], result.arrived[0]);
}
END_TEST

/* A drawn course of arrivals, starts, departures and room: what goes next
   never goes after a lower rank but for the shares, nobody who is told to wait
   is refused with room, and what the queue counts is true. */
static void
drawn_course (uint64_t seed)
{
  uint64_t random = seed | 1;
  size_t waiting[LD_RANKS] = { 0 };
  el_time_t now = NOW;
  unsigned step;
  unsigned k;

  admit_teardown ();
  admit_setup ();
  for (step = 0; step < 300; step++)
    {
      ld_entry_t *entry = &entries[el_random (&random) % 60];
      double streams = (double)(el_random (&random) % 4);
      const ld_entry_t *first = ld_queue_first (queue);
      size_t total = 0;

      now += el_random (&random) % (20 * EL_MSEC);
      if (!entry->queue)
        entry_set ((size_t)(entry - entries),
                   (unsigned)(el_random (&random) % LD_RANKS),
                   el_random (&random) % 5)
            ->until
            = now + el_random (&random) % EL_SEC;
      else if (el_random (&random) % 8 == 0)
        {
          waiting[entry->rank]--;
          ld_queue_remove (entry);
          continue;
        }
      switch (ask (entry, streams, now).verdict)
        {
        case LD_START:
          ck_assert (streams >= 1 || entry->queue);
          ck_assert (!entry->queue || entry == first);
          for (k = 0; k < entry->rank && !entry->queue; k++)
            ck_assert_uint_eq (waiting[k], 0);
          waiting[entry->rank] -= entry->queue != NULL;
          ld_queue_started (queue, now, entry, streams < 1);
          if (streams >= 1)
            ld_queue_served (queue, entry);
          break;
        case LD_WAIT:
          ck_assert_uint_lt (now, entry->until);
          if (!entry->queue)
            {
              ld_queue_add (queue, now, entry);
              waiting[entry->rank]++;
            }
          break;
        case LD_REFUSE:
          ck_assert (entry != first || streams < 1);
          waiting[entry->rank] -= entry->queue != NULL;
          ld_queue_remove (entry);
          break;
        }
      if (el_random (&random) % 3 == 0)
        ld_queue_ended (queue, el_random (&random) % (2 * EL_SEC));
      for (k = 0; k < LD_RANKS; k++)
        {
          ck_assert_uint_eq (ld_queue_waiting (queue, k), waiting[k]);
          total += waiting[k];
        }
      ck_assert_uint_eq (ld_queue_length (queue), total);
    }
}

START_TEST (test_admit_drawn_courses) { seeds_run (drawn_course); }
END_TEST

/* Rules of three streams and a plain request, with PRIORITY of the first and
   that of the first customer. */
static rt_rules_t *
rules_with (const char *priority, const char *customer)
{
  static const char form[]
      = "{\"Version\":1,\"Routes\":["
        "{\"Name\":\"a\",\"Host\":\"h\",\"PathPrefix\":\"/a/\","
        "\"RouteType\":\"streaming\",\"Service\":\"llm\",\"Priority\":%s},"
        "{\"Name\":\"b\",\"Host\":\"h\",\"PathPrefix\":\"/b/\","
        "\"RouteType\":\"streaming\",\"Service\":\"llm\",\"Priority\":1},"
        "{\"Name\":\"c\",\"Host\":\"h\",\"PathPrefix\":\"/c/\","
        "\"RouteType\":\"streaming\",\"Service\":\"llm\"},"
        "{\"Name\":\"d\",\"Host\":\"h\",\"PathPrefix\":\"/d/\","
        "\"RouteType\":\"safe\",\"Service\":\"app\",\"Priority\":7}],"
        "\"Services\":[{\"Name\":\"llm\"},{\"Name\":\"app\"}],"
        "\"Tenants\":[{\"Name\":\"x\",\"ApiKeys\":[\"kx\"],\"Priority\":%s},"
        "{\"Name\":\"y\",\"ApiKeys\":[\"ky\"],\"Priority\":1}]}";
  char text[2048];
  el_err_t err;

  snprintf (text, sizeof text, form, priority, customer);
  return pf_rules_read (el_str (text), &err);
}

static unsigned
rank_in (const rt_rules_t *rules, const char *path, const char *key)
{
  return rt_rules_rank (rules, rt_rules_service (rules, EL_STR ("llm")),
                        rt_rules_match (rules, EL_STR ("h"), el_str (path)),
                        rt_rules_key (rules, el_str (key)));
}

/* The customer's priority goes before the rule's. */
START_TEST (test_ranks_follow_priorities)
{
  rt_rules_t *rules = rules_with ("0", "0");

  ck_assert_ptr_nonnull (rules);
  ck_assert (rt_service_has_ranks (rt_rules_service (rules, EL_STR ("llm"))));
  ck_assert (!rt_service_has_ranks (rt_rules_service (rules, EL_STR ("app"))));
  ck_assert_uint_eq (rank_in (rules, "/a/", "kx"), 0);
  ck_assert_uint_eq (rank_in (rules, "/b/", "kx"), 1);
  ck_assert_uint_eq (rank_in (rules, "/a/", "ky"), 2);
  ck_assert_uint_eq (rank_in (rules, "/c/", "ky"), 3);
  rt_rules_unref (rules);
}
END_TEST

/* Customers of different priority alone do not make requests wait. */
START_TEST (test_equal_rules_have_no_ranks)
{
  rt_rules_t *rules = rules_with ("1", "0");

  ck_assert_ptr_nonnull (rules);
  ck_assert (!rt_service_has_ranks (rt_rules_service (rules, EL_STR ("llm"))));
  rt_rules_unref (rules);
}
END_TEST

static const char *const bad_priorities[]
    = { "-1", "1.5", "\"high\"", "1001", "null", "99999999999999999999" };

START_TEST (test_bad_priority_is_refused)
{
  ck_assert_ptr_null (rules_with (bad_priorities[_i], "1"));
  ck_assert_ptr_null (rules_with ("1", bad_priorities[_i]));
}
END_TEST

Suite *
admit_suite (void)
{
  Suite *suite = suite_create ("admit");
  TCase *tcase = tcase_create ("admit");

  tcase_set_timeout (tcase, 120);
  tcase_add_checked_fixture (tcase, admit_setup, admit_teardown);
  ADD (tcase, test_queue_highest_rank_goes_first);
  ADD (tcase, test_queue_refused_goes_before_new);
  ADD (tcase, test_queue_customers_take_turns);
  ADD (tcase, test_queue_no_rank_starves);
  ADD (tcase, test_queue_full_displaces_newest_of_lowest_rank);
  ADD (tcase, test_admit_starts_with_room);
  ADD (tcase, test_admit_leaves_room_to_those_before);
  ADD (tcase, test_admit_refuses_what_has_no_time);
  ADD (tcase, test_admit_checks_the_estimate);
  ADD (tcase, test_admit_in_progress_does_not_wait);
  ADD (tcase, test_admit_full_queue_refuses_the_lowest_rank);
  ADD (tcase, test_return_follows_the_rate_of_room);
  ADD (tcase, test_replay_burst_of_a_low_rank);
  ADD (tcase, test_replay_burst_of_the_highest_rank);
  ADD (tcase, test_replay_even_load_starts_at_once);
  ADD (tcase, test_admit_drawn_courses);
  ADD (tcase, test_ranks_follow_priorities);
  ADD (tcase, test_equal_rules_have_no_ranks);
  ADD_LOOP (tcase, test_bad_priority_is_refused,
            sizeof bad_priorities / sizeof *bad_priorities);
  suite_add_tcase (suite, tcase);
  return suite;
}
