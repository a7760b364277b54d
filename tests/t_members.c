/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of the membership protocol in a simulated network, over many seeds.
 */
#include <stdlib.h>
#include <string.h>

#include "mbr_net.h"
#include "test.h"

#define SEEDS 12
#define HOSTS 9
#define SETTLE_TIME (20 * EL_SEC)
#define ISOLATED_HALL "hall-0"

static mbr_net_t *
new_converged_net (int seed)
{
  mbr_net_t *net = mbr_net_new ((uint64_t)seed + 1, HOSTS, 3);

  mbr_net_run (net, net->now + SETTLE_TIME);
  ck_assert_msg (mbr_net_is_converged (net, HOSTS), "seed %d: not converged",
                 seed);
  return net;
}

START_TEST (test_members_discover_each_other)
{
  mbr_net_free (new_converged_net (_i));
}
END_TEST

/* All hosts of a site start at once; each must know all others within 1.5 s.
 */
START_TEST (test_members_mass_start_converges_soon)
{
  mbr_net_t *net = mbr_net_new ((uint64_t)_i + 1, 64, 3);

  mbr_net_run (net, net->now + 1500 * EL_MSEC);
  ck_assert_msg (mbr_net_is_converged (net, 64), "seed %d", _i);
  mbr_net_free (net);
}
END_TEST

START_TEST (test_members_dead_host_is_detected_by_all)
{
  mbr_net_t *net = new_converged_net (_i);

  net->hosts[4].down = 1;
  mbr_net_run (net, net->now + SETTLE_TIME);
  ck_assert_msg (mbr_net_is_converged (net, HOSTS - 1), "seed %d", _i);
  mbr_net_free (net);
}
END_TEST

static int
link_one_way_loss (const mbr_net_host_t *a, const mbr_net_host_t *b)
{
  return !(a == &a->net->hosts[1] && b == &a->net->hosts[2]);
}

START_TEST (test_members_one_way_loss_declares_none_dead)
{
  mbr_net_t *net = new_converged_net (_i);
  el_time_t until = net->now + 3 * SETTLE_TIME;

  net->link = link_one_way_loss;
  while (net->now < until)
    {
      size_t i;

      mbr_net_run (net, net->now + EL_SEC);
      for (i = 0; i < HOSTS; i++)
        ck_assert_msg (mbr_net_count_state (net, i, CO_MBR_DEAD) == 0
                           && mbr_net_count_state (net, i, CO_MBR_SUSPECT)
                                  == 0,
                       "seed %d", _i);
    }
  mbr_net_free (net);
}
END_TEST

static int
link_hall_isolated (const mbr_net_host_t *a, const mbr_net_host_t *b)
{
  return (strcmp (a->hall, ISOLATED_HALL) == 0)
         == (strcmp (b->hall, ISOLATED_HALL) == 0);
}

START_TEST (test_members_isolated_hall_rejoins)
{
  mbr_net_t *net = new_converged_net (_i);

  net->link = link_hall_isolated;
  mbr_net_run (net, net->now + 2 * SETTLE_TIME);
  ck_assert_uint_eq (mbr_net_count_state (net, 0, CO_MBR_ALIVE), HOSTS / 3);
  ck_assert_uint_eq (mbr_net_count_state (net, 1, CO_MBR_ALIVE),
                     HOSTS - HOSTS / 3);
  net->link = NULL;
  mbr_net_run (net, net->now + 2 * SETTLE_TIME);
  ck_assert_msg (mbr_net_is_converged (net, HOSTS), "seed %d", _i);
  mbr_net_free (net);
}
END_TEST

START_TEST (test_members_host_paused_for_a_minute_returns)
{
  mbr_net_t *net = new_converged_net (_i);
  size_t i;

  net->hosts[3].paused = 1;
  mbr_net_run (net, net->now + 60 * EL_SEC);
  ck_assert (mbr_net_is_converged (net, HOSTS - 1));
  net->hosts[3].paused = 0;
  mbr_net_run (net, net->now + SETTLE_TIME);
  ck_assert_msg (mbr_net_is_converged (net, HOSTS), "seed %d", _i);
  for (i = 0; i < HOSTS; i++) /* it declared no other host dead */
    ck_assert_uint_eq (mbr_net_count_state (net, i, CO_MBR_DEAD), 0);
  mbr_net_free (net);
}
END_TEST

START_TEST (test_members_replaced_host_is_another_member)
{
  mbr_net_t *net = new_converged_net (_i);

  mbr_net_replace_host (net, 5);
  mbr_net_run (net, net->now + SETTLE_TIME);
  ck_assert_msg (mbr_net_is_converged (net, HOSTS), "seed %d", _i);
  ck_assert_uint_eq (mbr_net_count_state (net, 0, CO_MBR_DEAD), 1);
  mbr_net_free (net);
}
END_TEST

START_TEST (test_members_leaving_notice_reaches_all)
{
  mbr_net_t *net = new_converged_net (_i);
  size_t i;

  co_members_report_leaving (net->hosts[2].members, net->now,
                             EL_STR ("an-endpoint"));
  mbr_net_run (net, net->now + 2 * EL_SEC);
  for (i = 0; i < HOSTS; i++)
    ck_assert_msg (net->hosts[i].leaving_notices == (i != 2),
                   "seed %d host %zu: %u", _i, i,
                   net->hosts[i].leaving_notices);
  mbr_net_free (net);
}
END_TEST

static void
draining_visit (void *arg, const co_member_t *member)
{
  *(unsigned *)arg += (unsigned)(member->offer == CO_MBR_DRAINING);
}

START_TEST (test_members_draining_and_left_are_announced)
{
  mbr_net_t *net = new_converged_net (_i);
  unsigned draining = 0;

  co_members_drain (net->hosts[6].members, CO_MBR_ALIVE);
  mbr_net_run (net, net->now + 3 * EL_SEC);
  co_members_visit (net->hosts[1].members, draining_visit, &draining);
  ck_assert_uint_eq (draining, 1);

  co_members_drain (net->hosts[6].members, CO_MBR_LEFT);
  mbr_net_run (net, net->now + 3 * EL_SEC);
  net->hosts[6].down = 1;
  mbr_net_run (net, net->now + 2 * EL_SEC);
  ck_assert_uint_eq (mbr_net_count_state (net, 0, CO_MBR_LEFT), 1);
  ck_assert (mbr_net_is_converged (net, HOSTS - 1));
  mbr_net_free (net);
}
END_TEST

/* The number of messages that a host sends does not grow with the number of
   hosts. */
START_TEST (test_members_messages_per_host_are_constant)
{
  static const size_t sizes[] = { 9, 81 };
  uint64_t sent[2];
  size_t k;

  for (k = 0; k < 2; k++)
    {
      mbr_net_t *net = mbr_net_new (7, sizes[k], 3);
      uint64_t before = 0;
      size_t i;

      mbr_net_run (net, net->now + 3 * SETTLE_TIME);
      ck_assert (mbr_net_is_converged (net, sizes[k]));
      for (i = 0; i < sizes[k]; i++)
        before += net->hosts[i].sent;
      mbr_net_run (net, net->now + SETTLE_TIME);
      sent[k] = 0;
      for (i = 0; i < sizes[k]; i++)
        sent[k] += net->hosts[i].sent;
      sent[k] = (sent[k] - before) / sizes[k];
      mbr_net_free (net);
    }
  ck_assert_uint_le (sent[1], sent[0] + sent[0] / 10);
}
END_TEST

/* A large fleet. Its hosts start withdrawn, as hosts are until they have a
   configuration, so that their starts cause many changes to gossip. */
#define FLEET_HOSTS 300
#define FLEET_SEEDS 3
#define FLEET_HALLS 5
#define FLEET_START_TIME (17 * EL_SEC)
#define FLEET_WITHDRAWN_TIME (500 * EL_MSEC)
/* All hosts must know of a death within this time. The platform counts an
   entry address as wrong after 8 s. */
#define DEATH_KNOWN_WITHIN (4 * EL_SEC)
#define JOIN_KNOWN_WITHIN (4 * EL_SEC)
#define ISOLATION_TIME (8 * EL_SEC)
/* A host that was isolated counts as reconnected after this time. */
#define RECONNECT_TIME (5 * EL_SEC)

static mbr_net_t *
new_fleet_net (int seed, size_t hosts)
{
  mbr_net_t *net = mbr_net_new ((uint64_t)seed + 1, hosts, FLEET_HALLS);
  size_t i;

  for (i = 0; i < hosts; i++)
    co_members_set_withdrawn (net->hosts[i].members, 1);
  mbr_net_run (net, net->now + FLEET_WITHDRAWN_TIME);
  for (i = 0; i < hosts; i++)
    co_members_set_withdrawn (net->hosts[i].members, 0);
  mbr_net_run (net, net->now + FLEET_START_TIME);
  return net;
}

/* Guards against a death queued behind the gossip about hosts that started:
   90 % of the hosts then knew of it only after 11 s. */
START_TEST (test_members_death_in_large_fleet_is_known_soon)
{
  mbr_net_t *net = new_fleet_net (_i, FLEET_HOSTS);

  net->hosts[4 + _i].down = 1;
  mbr_net_run (net, net->now + DEATH_KNOWN_WITHIN);
  ck_assert_uint_eq (mbr_net_count_dead_offered (net), 0);
  mbr_net_free (net);
}
END_TEST

START_TEST (test_members_thirty_deaths_at_the_full_size_are_known_soon)
{
  mbr_net_t *net = new_fleet_net (_i, 570);
  size_t i;

  for (i = 0; i < 30; i++)
    net->hosts[i * 19 + 3].down = 1;
  mbr_net_run (net, net->now + DEATH_KNOWN_WITHIN + 2 * EL_SEC);
  ck_assert_uint_eq (mbr_net_count_dead_offered (net), 0);
  mbr_net_free (net);
}
END_TEST

static int
link_isolated (const mbr_net_host_t *a, const mbr_net_host_t *b)
{
  return !a->isolated && !b->isolated;
}

/* A third of the hosts is isolated, each on its own; meanwhile other hosts die
   and one starts. */
START_TEST (test_members_isolated_hosts_catch_up)
{
  mbr_net_t *net = new_fleet_net (_i, FLEET_HOSTS);
  mbr_net_host_t *replacement;
  size_t i;

  net->link = link_isolated;
  for (i = 0; i < FLEET_HOSTS; i += 3)
    net->hosts[i].isolated = 1;
  mbr_net_run (net, net->now + EL_SEC);
  net->hosts[7 + 3 * _i].down = 1;
  net->hosts[100].down = 1;
  replacement = mbr_net_replace_host (net, 11);
  mbr_net_run (net, net->now + ISOLATION_TIME);
  for (i = 0; i < FLEET_HOSTS; i += 3)
    net->hosts[i].isolated = 0;
  mbr_net_run (net, net->now + RECONNECT_TIME);
  ck_assert_uint_eq (mbr_net_count_dead_offered (net), 0);
  ck_assert_uint_eq (
      mbr_net_count_not_offering (net, (size_t)(replacement - net->hosts)), 0);
  mbr_net_free (net);
}
END_TEST

/* A host that starts in a large fleet is soon offered to callers by all. */
START_TEST (test_members_join_in_large_fleet_is_known_soon)
{
  mbr_net_t *net = new_fleet_net (_i, FLEET_HOSTS);
  mbr_net_host_t *replacement = mbr_net_replace_host (net, 11);

  mbr_net_run (net, net->now + JOIN_KNOWN_WITHIN);
  ck_assert_uint_eq (
      mbr_net_count_not_offering (net, (size_t)(replacement - net->hosts)), 0);
  ck_assert_uint_eq (mbr_net_count_dead_offered (net), 0);
  mbr_net_free (net);
}
END_TEST

static int
skip_if_same (void *arg, const co_member_t *member)
{
  return arg && co_incarnation_eq (arg, &member->incarnation);
}

/* All hosts of a hall find the same first host, the one with the largest
   capacity; where that one is skipped, they find one that comes after it. */
START_TEST (test_members_first_of_a_hall_is_the_largest)
{
  mbr_net_t *net = new_converged_net (_i);
  const co_member_t *first;
  const co_member_t *next;
  size_t i;

  for (i = 3; i < HOSTS; i += 3)
    {
      first = co_members_next_ranked (net->hosts[i].members, NULL,
                                      skip_if_same, NULL);
      ck_assert (
          co_incarnation_eq (&first->incarnation,
                             &co_members_next_ranked (net->hosts[0].members,
                                                      NULL, skip_if_same, NULL)
                                  ->incarnation));
      next = co_members_next_ranked (net->hosts[i].members, NULL, skip_if_same,
                                     (void *)(uintptr_t)&first->incarnation);
      ck_assert (!co_incarnation_eq (&first->incarnation, &next->incarnation));
      ck_assert (co_member_ranks_before (first, next));
    }
  ck_assert_uint_eq (first->capacity, 8); /* the last host of the hall */
  /* A withdrawn host stays first, as all hosts may be withdrawn at once. */
  co_members_set_withdrawn (net->hosts[6].members, 1);
  mbr_net_run (net, net->now + 2 * EL_SEC);
  next = co_members_next_ranked (net->hosts[3].members, NULL, skip_if_same,
                                 NULL);
  ck_assert_uint_eq (next->capacity, 8);
  ck_assert_int_eq (next->offer, CO_MBR_WITHDRAWN);
  mbr_net_free (net);
}
END_TEST

START_TEST (test_members_few_are_chosen_in_each_hall)
{
  mbr_net_t *net = new_converged_net (_i);
  unsigned chosen = 0;
  size_t i;

  for (i = 0; i < HOSTS; i++)
    chosen += (unsigned)co_members_is_top_ranked (net->hosts[i].members, 2);
  ck_assert_uint_eq (chosen, 3 * 2);
  mbr_net_free (net);
}
END_TEST

/* While hosts are replaced in turn, probes are more frequent; those added stay
   mostly in the hall. Four fifths of the messages would leave it if they went
   to hosts at random. */
START_TEST (test_members_churn_stays_mostly_in_the_hall)
{
  mbr_net_t *net = mbr_net_new ((uint64_t)_i + 1, 100, 5);
  uint64_t sent = 0;
  uint64_t far = 0;
  size_t i;

  mbr_net_run (net, net->now + 3 * SETTLE_TIME);
  for (i = 0; i < 100; i++)
    {
      sent -= net->hosts[i].sent;
      far -= net->hosts[i].sent_far;
    }
  for (i = 0; i < 20; i++)
    {
      mbr_net_replace_host (net, 40 + i);
      mbr_net_run (net, net->now + EL_SEC);
    }
  for (i = 0; i < 100; i++)
    {
      sent += net->hosts[i].sent;
      far += net->hosts[i].sent_far;
    }
  ck_assert_uint_le (far, sent / 2);
  mbr_net_run (net, net->now + SETTLE_TIME);
  ck_assert (mbr_net_is_converged (net, 100));
  mbr_net_free (net);
}
END_TEST

/* Hosts that agree on the members agree on the order in which one of them all
   is chosen; a withdrawn host keeps its place. */
START_TEST (test_members_agree_on_one_order_of_all)
{
  mbr_net_t *net = new_converged_net (_i);
  unsigned seen = 0;
  size_t i;

  ck_assert_uint_lt (co_members_count_preferred (net->hosts[8].members), 3);
  co_members_set_withdrawn (net->hosts[8].members, 1);
  mbr_net_run (net, net->now + 3 * EL_SEC);
  for (i = 0; i < HOSTS; i++)
    seen |= 1U << co_members_count_preferred (net->hosts[i].members);
  ck_assert_uint_eq (seen, (1U << HOSTS) - 1);
  ck_assert_uint_lt (co_members_count_preferred (net->hosts[8].members), 3);
  mbr_net_free (net);
}
END_TEST

/* Hosts that agree on the members agree on which of them performs a task;
   tasks are spread over all hosts, and a draining host gets none. */
START_TEST (test_members_agree_on_the_host_of_a_task)
{
  mbr_net_t *net = new_converged_net (_i);
  const co_member_t *picked;
  unsigned seen = 0;
  uint64_t draw;
  size_t i;

  co_members_drain (net->hosts[8].members, CO_MBR_ALIVE);
  mbr_net_run (net, net->now + 3 * EL_SEC);
  for (draw = 0; draw < 200; draw++)
    {
      picked = co_members_pick_by_draw (net->hosts[0].members, draw);
      for (i = 0; i < HOSTS; i++)
        {
          const co_member_t *other
              = co_members_pick_by_draw (net->hosts[i].members, draw);

          ck_assert_mem_eq (other->incarnation.byte, picked->incarnation.byte,
                            CO_INCARNATION_BYTES);
          if (memcmp (picked->incarnation.byte, net->hosts[i].incarnation.byte,
                      CO_INCARNATION_BYTES)
              == 0)
            seen |= 1U << i;
        }
    }
  ck_assert_uint_eq (seen, (1U << 8) - 1);
  mbr_net_free (net);
}
END_TEST

Suite *
members_suite (void)
{
  Suite *suite = suite_create ("members");
  TCase *tcase = tcase_create ("members");

  tcase_set_timeout (tcase, 60);
  ADD_LOOP (tcase, test_members_discover_each_other, SEEDS);
  ADD_LOOP (tcase, test_members_mass_start_converges_soon, SEEDS);
  ADD_LOOP (tcase, test_members_dead_host_is_detected_by_all, SEEDS);
  ADD_LOOP (tcase, test_members_one_way_loss_declares_none_dead, SEEDS);
  ADD_LOOP (tcase, test_members_isolated_hall_rejoins, SEEDS);
  ADD_LOOP (tcase, test_members_host_paused_for_a_minute_returns, SEEDS);
  ADD_LOOP (tcase, test_members_replaced_host_is_another_member, SEEDS);
  ADD_LOOP (tcase, test_members_leaving_notice_reaches_all, SEEDS);
  ADD_LOOP (tcase, test_members_draining_and_left_are_announced, SEEDS);
  ADD (tcase, test_members_messages_per_host_are_constant);
  ADD_LOOP (tcase, test_members_first_of_a_hall_is_the_largest, SEEDS);
  ADD_LOOP (tcase, test_members_few_are_chosen_in_each_hall, SEEDS);
  ADD_LOOP (tcase, test_members_churn_stays_mostly_in_the_hall, 2);
  ADD_LOOP (tcase, test_members_agree_on_one_order_of_all, SEEDS);
  ADD_LOOP (tcase, test_members_agree_on_the_host_of_a_task, SEEDS);
  ADD_LOOP (tcase, test_members_death_in_large_fleet_is_known_soon,
            FLEET_SEEDS);
  ADD_LOOP (tcase, test_members_isolated_hosts_catch_up, FLEET_SEEDS);
  ADD_LOOP (tcase, test_members_join_in_large_fleet_is_known_soon,
            FLEET_SEEDS);
  ADD (tcase, test_members_thirty_deaths_at_the_full_size_are_known_soon);
  suite_add_tcase (suite, tcase);
  return suite;
}
