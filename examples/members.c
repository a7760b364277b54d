/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Example of embedding the coordination library. Two hosts discover each
 * other, one is disconnected and detected as dead, and a request that arrives
 * twice runs once. The application provides the clock and the network.
 */
#include <coord.h>
#include <stdio.h>

static co_members_t *hosts[2];
static el_time_t now = EL_SEC;
static int disconnected;

/* Deliver a probe and its reply. */
static void
probe (void *arg, uint64_t id, el_str_t address, el_str_t via)
{
  int from = *(int *)arg;
  co_gossip_t gossip;

  if (disconnected || via.len || address.ptr[0] != "ab"[!from])
    return;
  co_members_write_gossip (hosts[from], NULL, &gossip);
  co_members_receive_gossip (hosts[!from], now, &gossip);
  co_members_write_gossip (hosts[!from], &gossip.self.incarnation, &gossip);
  co_members_probe_done (hosts[from], now, id, 1, &gossip);
}

static void
changed (void *arg, const co_member_t *m)
{
  printf ("host %c: %.*s is %s\n", "ab"[*(int *)arg], (int)m -> peer.len,
          m->peer.ptr, co_mbr_state_name (m->state));
}

int
main (void)
{
  static int index[] = { 0, 1 };
  co_ledger_options_t ledger_options = { .max_sessions = 1, .max_entries = 8 };
  co_ledger_t *ledger = co_ledger_new (&ledger_options);
  co_session_t session = { .id = 0 };
  void *answer;
  int i;

  for (i = 0; i < 2; i++)
    {
      co_members_options_t options = { .period = EL_SEC,
                                       .timeout = EL_SEC / 4,
                                       .forget = 60 * EL_SEC,
                                       .probe = probe,
                                       .changed = changed,
                                       .arg = &index[i],
                                       .seeds = EL_STR ("a:1,b:1") };

      options.self.incarnation.byte[0] = (unsigned char)(i + 1);
      options.self.peer = i ? EL_STR ("b:1") : EL_STR ("a:1");
      hosts[i] = co_members_new (&options);
    }
  for (; now<20 * EL_SEC; now += EL_SEC / 4, disconnected = now> 5 * EL_SEC)
    co_members_tick (hosts[0], now);
  co_ledger_open_session (ledger, now, EL_STR ("customer"), &session.id, NULL);
  for (i = 0; i < 2; i++)
    puts (co_led_result_name (
        co_ledger_begin_request (ledger, now, &session, 1, 7, NULL, &answer)));
  co_members_free (hosts[0]);
  co_members_free (hosts[1]);
  co_ledger_free (ledger);
  return 0;
}
