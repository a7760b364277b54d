/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Requests, and orders, that are blocked as they end endpoints: found here,
 * told by other hosts or the store, kept in the store, let in by operators.
 */
#include "librelay.h"

static void
end_log (void *arg, const rt_ended_t *ended)
{
  const gt_relays_t *relays = arg;
  el_time_t now = net_clock_now (relays->options.clock);

  EL_LOG (EL_LOG_WARN, "blocked_for_end", EL_FC ("endpoint", ended->start.id),
          EL_FN ("age_us", now > ended->at ? now - ended->at : 0),
          EL_FN ("ran_us", ended->ran), EL_FN ("first", ended->first),
          EL_FN ("listed", ended->host == 0));
}

static void
block_log (gt_relays_t *relays, rt_digest_t digest,
           const rt_judgement_t *judgement, const char *by)
{
  el_time_t now = net_clock_now (relays->options.clock);
  char hex[RT_DIGEST_HEX + 1];

  rt_digest_hex (digest, hex);
  EL_LOG (EL_LOG_WARN, "request_blocked", EL_FC ("digest", hex),
          EL_FC ("by", by), EL_FN ("ends", judgement->ends),
          EL_FN ("odds", (uint64_t)judgement->odds),
          EL_FN ("holds", judgement->holds),
          EL_FN ("left_us", judgement->until - now));
  rt_blame_ends (relay_blame_book (relays), digest, end_log, relays);
}

/* That DIGEST is blocked should outlast all hosts. */
static void
block_keep (const gt_relays_t *relays, rt_digest_t digest, unsigned holds,
            el_time_t left)
{
  if (relays->options.blocked)
    relays->options.blocked (relays->options.arg, digest, holds, left);
}

static void
blocked_keep (void *arg, rt_digest_t digest, const rt_judgement_t *judgement)
{
  const gt_relays_t *relays = arg;

  if (judgement->state == RT_BLAME_BLOCKED)
    block_keep (relays, digest, judgement->holds,
                judgement->until - net_clock_now (relays->options.clock));
}

/** The store has lost what was kept there of requests that are blocked. */
void
gt_relays_blocked_keep (gt_relays_t *relays)
{
  rt_blame_visit (relay_blame_book (relays),
                  net_clock_now (relays->options.clock), blocked_keep, relays);
}

/** DIGEST is to blame: all hosts should know, also those that did not hear of
   every end, and those that start later. */
void
relay_block_found (void *arg, rt_digest_t digest,
                   const rt_judgement_t *judgement)
{
  gt_relays_t *relays = arg;
  const relay_fact_t fact = { .kind = RELAY_FACT_BLOCKED,
                              .digest = digest,
                              .holds = judgement->holds };

  relays->counts.blocked++;
  block_log (relays, digest, judgement, "ends");
  relay_rumor_tell (relays, &fact, digest + judgement->holds,
                    rt_blame_hold (judgement->holds));
  block_keep (relays, digest, judgement->holds,
              rt_blame_hold (judgement->holds));
  relay_suspect_stop (relays, digest);
}

/* Another host, or the store, tells that a request is blocked since AT; gives
   0 when that is known or over. */
static int
block_hear (gt_relays_t *relays, rt_digest_t digest, uint64_t customer,
            el_time_t at, unsigned holds, const char *by)
{
  el_time_t now = net_clock_now (relays->options.clock);
  rt_judgement_t judgement;

  if (!rt_blame_block (relay_blame_book (relays), digest, customer, at, holds))
    return 0;
  judgement = rt_blame_of (relay_blame_book (relays), now, digest);
  if (judgement.state != RT_BLAME_BLOCKED)
    return 0;
  block_log (relays, digest, &judgement, by);
  relay_suspect_stop (relays, digest);
  return 1;
}

/** The store says that DIGEST is blocked the HOLDS-th time: for how long, its
    entry does not tell, so that it counts from now on. */
void
gt_relays_block (gt_relays_t *relays, rt_digest_t digest, unsigned holds)
{
  block_hear (relays, digest, 0, net_clock_now (relays->options.clock), holds,
              "store");
}

/** Whether engines ended under such orders: no other one is given it until an
    operator lets it in again, or some time has passed. */
int
gt_relays_order_blocked (gt_relays_t *relays, const rt_order_t *order)
{
  if (rt_blame_empty (relay_blame_book (relays)))
    return 0;
  return rt_blame_of (relay_blame_book (relays),
                      net_clock_now (relays->options.clock),
                      rt_order_digest (relays->options.key, order))
             .state
         == RT_BLAME_BLOCKED;
}

/** ORDER's engine ended under it. The host that plans next knows
    what came of it, too. */
void
gt_relays_order_ended (gt_relays_t *relays, rt_falls_t *falls,
                       const rt_order_t *order)
{
  const rt_digest_t digest = rt_order_digest (relays->options.key, order);
  const rt_judgement_t before
      = rt_blame_of (relay_blame_book (relays),
                     net_clock_now (relays->options.clock), digest);
  const relay_fact_t fact = { .kind = RELAY_FACT_BLOCKED,
                              .digest = digest,
                              .holds = before.holds + 1 };

  EL_LOG (EL_LOG_WARN, "engine_fell",
          EL_FS ("engine", order->target->facts.id),
          EL_FS ("card", order->target->facts.card),
          EL_FN ("layers", order->end - order->first));
  if (!rt_falls_ended (falls, digest)
      || !block_hear (relays, digest, 0, net_clock_now (relays->options.clock),
                      fact.holds, "orders"))
    return;
  relay_rumor_tell (relays, &fact, digest + fact.holds,
                    rt_blame_hold (fact.holds));
  block_keep (relays, digest, fact.holds, rt_blame_hold (fact.holds));
}

/** ORDER's engine shows it. */
void
gt_relays_order_done (const gt_relays_t *relays, rt_falls_t *falls,
                      const rt_order_t *order)
{
  rt_falls_done (falls, rt_order_digest (relays->options.key, order));
}

static void
clear_log (rt_digest_t digest, const char *by)
{
  char hex[RT_DIGEST_HEX + 1];

  rt_digest_hex (digest, hex);
  EL_LOG (EL_LOG_INFO, "request_cleared", EL_FC ("digest", hex),
          EL_FC ("by", by));
}

/** An operator lets DIGEST in again, at all hosts; gives 0 when nothing is
    known of it. */
int
gt_relays_unblock (gt_relays_t *relays, rt_digest_t digest)
{
  el_time_t now = net_clock_now (relays->options.clock);
  const relay_fact_t fact = { .kind = RELAY_FACT_CLEARED, .digest = digest };

  if (!rt_blame_clear (relay_blame_book (relays), digest, now))
    return 0;
  clear_log (digest, "operator");
  relay_rumor_tell (relays, &fact, el_random (&relays->random),
                    RELAY_FACT_GOSSIP_HOLD);
  return 1;
}

/** Another host found a request to be to blame. */
void
relay_block_hear (gt_relays_t *relays, const co_rumor_t *rumor,
                  const relay_fact_t *fact)
{
  if (block_hear (relays, fact->digest, fact->customer, rumor->at, fact->holds,
                  "another host"))
    block_keep (relays, fact->digest, fact->holds,
                rt_blame_hold (fact->holds));
}

/** An operator lets a request in again, at another host. */
void
relay_block_hear_cleared (gt_relays_t *relays, const co_rumor_t *rumor,
                          const relay_fact_t *fact)
{
  if (rt_blame_clear (relay_blame_book (relays), fact->digest, rumor->at))
    clear_log (fact->digest, "another host");
}

static void
suspect_dump (void *arg, rt_digest_t digest, const rt_judgement_t *judgement)
{
  static const char *const states[] = { [RT_BLAME_NONE] = "none",
                                        [RT_BLAME_SUSPECT] = "suspect",
                                        [RT_BLAME_BLOCKED] = "blocked" };
  char hex[RT_DIGEST_HEX + 1];

  rt_digest_hex (digest, hex);
  json_array_append_new (
      arg, json_pack ("{s:s,s:s,s:i,s:f,s:i,s:I}", "digest", hex, "state",
                      states[judgement->state], "ends", (int)judgement->ends,
                      "odds", judgement->odds, "holds", (int)judgement->holds,
                      "untilUs", (json_int_t)judgement->until));
}

/** The requests that are suspect or blocked. */
json_t *
gt_relays_suspects (gt_relays_t *relays)
{
  json_t *list = json_array ();

  rt_blame_visit (relay_blame_book (relays),
                  net_clock_now (relays->options.clock), suspect_dump, list);
  return list;
}
