/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Testimony for parts of prompts. When a crash names parts, each host that saw
 * them run well before says so; all give the rumor the same id, so that it
 * spreads once. A block that took a part for new is refuted in the same way.
 */
#include "librelay.h"

/* How long a testimony is gossiped, and not repeated. */
#define TESTIMONY_GOSSIP_TIME (60 * EL_SEC)
/* Distinguishes the ids of these rumors from those of others on the same
   cause. */
#define TESTIMONY_ID 0x7e57
#define REFUTATION_ID 0xdefe

static void
testimony_publish (gt_relays_t *relays, rt_digest_t cause, uint64_t salt,
                   el_time_t hold)
{
  el_time_t now = net_clock_now (relays->options.clock);
  const relay_fact_t fact = {
    .kind = RELAY_FACT_RAN_WELL,
    .digest = cause,
    .ago = now - rt_blame_ran_well_at (relay_blame_table (relays), cause, now)
  };
  const uint64_t id[] = { cause, salt };

  relays->counts.testimonies++;
  relay_rumor_publish (relays, &fact, XXH3_64bits (id, sizeof id), hold);
}

static void
testify (gt_relays_t *relays, rt_digest_t cause)
{
  el_time_t now = net_clock_now (relays->options.clock);

  if (rt_blame_should_testify (relay_blame_table (relays), cause, now,
                               now + TESTIMONY_GOSSIP_TIME))
    testimony_publish (relays, cause, TESTIMONY_ID, TESTIMONY_GOSSIP_TIME);
}

/** Testifies for the parts that RUN names, at an endpoint that crashed. */
void
relay_testimony_give (gt_relays_t *relays, const rt_crash_report_t *run)
{
  size_t i;

  for (i = 0; i < run->nparts && !run->writing; i++)
    {
      testify (relays, run->parts[i]);
      testify (relays, rt_customer_part (run->customer, run->parts[i]));
    }
}

static void
log_refuted (rt_digest_t cause, const char *by)
{
  char hex[RT_DIGEST_HEX + 1];

  rt_digest_hex (cause, hex);
  EL_LOG (EL_LOG_WARN, "block_refuted", EL_FC ("digest", hex),
          EL_FC ("by", by));
}

/** BLOCK is in force and took its causes for new: refutes it as far as this
    host knows that they ran well. */
void
relay_testimony_refute (gt_relays_t *relays, const rt_block_t *block)
{
  rt_blame_t *table = relay_blame_table (relays);
  el_time_t now = net_clock_now (relays->options.clock);
  el_time_t at;
  size_t i;

  for (i = 0; block->taken_for_new && i < block->n; i++)
    {
      at = rt_blame_ran_well_at (table, block->causes[i], now);
      if (!at || !rt_blame_testify (table, block->causes[i], at, now))
        continue;
      relays->counts.blocks_refuted++;
      log_refuted (block->causes[i], "this host");
      testimony_publish (relays, block->causes[i], REFUTATION_ID ^ block->id,
                         RELAY_FACT_GOSSIP_TIME);
    }
}

/** Handles a testimony of another host. */
void
relay_testimony_on_rumor (gt_relays_t *relays, const co_rumor_t *rumor,
                          const relay_fact_t *fact)
{
  el_time_t now = net_clock_now (relays->options.clock);

  if (rt_blame_testify (relay_blame_table (relays), fact->digest,
                        rumor->at - fact->ago, now + TESTIMONY_GOSSIP_TIME))
    log_refuted (fact->digest, "another host");
  if (!rt_blame_is_empty (relay_blame_table (relays)))
    relay_blame_schedule_update (relays);
}
