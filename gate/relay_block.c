/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Requests, parts of prompts and layer placement orders that are blocked
 * because they crash endpoints. A block is decided on this host, or learned
 * from another host or the store. It is persisted in the store, and an
 * operator may clear it.
 */
#include "librelay.h"

static void
log_crash_of_blocked (void *arg, const rt_crash_report_t *report)
{
  const gt_relays_t *relays = arg;
  el_time_t now = net_clock_now (relays->options.clock);

  EL_LOG (EL_LOG_WARN, "blocked_for_end",
          EL_FC ("endpoint", report->instance.id),
          EL_FN ("age_us", now > report->at ? now - report->at : 0),
          EL_FN ("ran_us", report->ran), EL_FN ("first", report->first),
          EL_FN ("listed", report->host == 0));
}

static void
log_blocked (gt_relays_t *relays, const rt_block_t *block,
             const rt_blame_status_t *status, const char *by)
{
  el_time_t now = net_clock_now (relays->options.clock);
  char hex[RT_DIGEST_HEX + 1];
  size_t i;

  rt_digest_hex (block->id, hex);
  EL_LOG (EL_LOG_WARN, "request_blocked", EL_FC ("digest", hex),
          EL_FC ("kind", rt_cause_kind_name (block->kind)),
          EL_FN ("causes", block->n), EL_FC ("by", by),
          EL_FN ("ends", status->crashes),
          EL_FN ("odds", (uint64_t)status->odds),
          EL_FN ("holds", status->holds), EL_FN ("new", block->taken_for_new),
          EL_FN ("left_us", status->blocked_until - now));
  for (i = 0; i < block->n; i++)
    rt_blame_visit_crashes (relay_blame_table (relays), block->causes[i],
                            log_crash_of_blocked, relays);
}

/* Stores the block, so that it survives a restart of all hosts. */
static void
persist_block (const gt_relays_t *relays, const rt_block_t *block,
               unsigned holds, el_time_t remaining)
{
  if (relays->options.blocked)
    relays->options.blocked (relays->options.arg, block, holds, remaining);
}

static void
persist_if_blocked (void *arg, const rt_block_t *block,
                    const rt_blame_status_t *status)
{
  const gt_relays_t *relays = arg;

  if (status->state == RT_BLAME_BLOCKED)
    persist_block (relays, block, status->holds,
                   status->blocked_until
                       - net_clock_now (relays->options.clock));
}

/** Stores all current blocks again, after the store has lost them. */
void
gt_relays_persist_blocked (gt_relays_t *relays)
{
  rt_blame_visit_causes (relay_blame_table (relays),
                         net_clock_now (relays->options.clock),
                         persist_if_blocked, relays);
}

static void
publish_block (gt_relays_t *relays, const rt_block_t *block, unsigned holds)
{
  const relay_fact_t fact
      = { .kind = RELAY_FACT_BLOCKED, .block = *block, .holds = holds };

  relay_rumor_publish (relays, &fact, block->id + holds,
                       rt_blame_block_time (holds));
  persist_block (relays, block, holds, rt_blame_block_time (holds));
}

/** Handles that BLOCK took effect. It is published, since some hosts do not
    know of every crash, and stored for hosts that start later. */
void
relay_block_add (void *arg, const rt_block_t *block,
                 const rt_blame_status_t *status)
{
  gt_relays_t *relays = arg;

  relays->counts.blocked++;
  log_blocked (relays, block, status, "ends");
  publish_block (relays, block, status->holds);
  relay_suspect_cancel (relays, block);
}

/* Applies a block that began at AT and was reported by BY. Returns 0 if it was
   known already or is over. */
static int
apply_block (gt_relays_t *relays, const rt_block_t *block, uint64_t customer,
             el_time_t at, unsigned holds, const char *by)
{
  el_time_t now = net_clock_now (relays->options.clock);
  rt_blame_status_t status;

  if (!rt_blame_block (relay_blame_table (relays), block, customer, at, holds))
    return 0;
  relay_testimony_refute (relays, block);
  status = rt_blame_get_status (relay_blame_table (relays), now, block->id);
  if (status.state != RT_BLAME_BLOCKED)
    return 0;
  log_blocked (relays, block, &status, by);
  relay_suspect_cancel (relays, block);
  return 1;
}

/** Applies the HOLDS-th block of BLOCK's causes, read from the store. The
    stored entry does not tell how much of it remains, so its time starts
    now. */
void
gt_relays_block (gt_relays_t *relays, const rt_block_t *block, unsigned holds)
{
  rt_block_t read = *block;

  read.taken_for_new = block->kind != RT_CAUSE_REQUEST;
  apply_block (relays, &read, 0, net_clock_now (relays->options.clock), holds,
               "store");
}

/** Whether ORDER is blocked because engines crashed on the same order: no
    other engine is sent it until an operator clears the block or it ends. */
int
gt_relays_order_blocked (gt_relays_t *relays, const rt_order_t *order)
{
  if (rt_blame_is_empty (relay_blame_table (relays)))
    return 0;
  return rt_blame_get_status (relay_blame_table (relays),
                              net_clock_now (relays->options.clock),
                              rt_order_digest (relays->options.key, order))
             .state
         == RT_BLAME_BLOCKED;
}

/** Records that ORDER's engine crashed while executing it. A resulting block
    is published, so that the next planner knows of it. */
void
gt_relays_order_crashed (gt_relays_t *relays, rt_order_failures_t *failures,
                         const rt_order_t *order)
{
  const rt_digest_t digest = rt_order_digest (relays->options.key, order);
  const rt_block_t block = rt_block_single (RT_CAUSE_REQUEST, digest);
  const rt_blame_status_t before
      = rt_blame_get_status (relay_blame_table (relays),
                             net_clock_now (relays->options.clock), digest);
  unsigned holds = before.holds + 1;

  EL_LOG (EL_LOG_WARN, "engine_fell",
          EL_FS ("engine", order->target->attrs.id),
          EL_FS ("card", order->target->attrs.card),
          EL_FN ("layers", order->end - order->first));
  if (rt_order_failures_add (failures, digest)
      && apply_block (relays, &block, 0, net_clock_now (relays->options.clock),
                      holds, "orders"))
    publish_block (relays, &block, holds);
}

/** Records that ORDER's engine holds the ordered layers. */
void
gt_relays_order_done (const gt_relays_t *relays, rt_order_failures_t *failures,
                      const rt_order_t *order)
{
  rt_order_failures_clear (failures,
                           rt_order_digest (relays->options.key, order));
}

static void
log_cleared (rt_digest_t digest, const char *by)
{
  char hex[RT_DIGEST_HEX + 1];

  rt_digest_hex (digest, hex);
  EL_LOG (EL_LOG_INFO, "request_cleared", EL_FC ("digest", hex),
          EL_FC ("by", by));
}

/** Unblocks DIGEST on all hosts, for an operator. Returns 0 if it is
    unknown. */
int
gt_relays_unblock (gt_relays_t *relays, rt_digest_t digest)
{
  el_time_t now = net_clock_now (relays->options.clock);
  const relay_fact_t fact = { .kind = RELAY_FACT_CLEARED, .digest = digest };

  if (!rt_blame_clear (relay_blame_table (relays), digest, now))
    return 0;
  log_cleared (digest, "operator");
  relay_rumor_publish (relays, &fact, el_random (&relays->random),
                       RELAY_FACT_GOSSIP_TIME);
  return 1;
}

/** Handles a rumor of a block. */
void
relay_block_on_blocked (gt_relays_t *relays, const co_rumor_t *rumor,
                        const relay_fact_t *fact)
{
  if (apply_block (relays, &fact->block, fact->customer, rumor->at,
                   fact->holds, "another host"))
    persist_block (relays, &fact->block, fact->holds,
                   rt_blame_block_time (fact->holds));
}

/** Handles a rumor that an operator cleared a request on another host. */
void
relay_block_on_cleared (gt_relays_t *relays, const co_rumor_t *rumor,
                        const relay_fact_t *fact)
{
  if (rt_blame_clear (relay_blame_table (relays), fact->digest, rumor->at))
    log_cleared (fact->digest, "another host");
}

static void
dump_suspect (void *arg, const rt_block_t *block,
              const rt_blame_status_t *status)
{
  static const char *const states[] = { [RT_BLAME_NONE] = "none",
                                        [RT_BLAME_SUSPECT] = "suspect",
                                        [RT_BLAME_BLOCKED] = "blocked" };
  char hex[RT_DIGEST_HEX + 1];

  rt_digest_hex (block->id, hex);
  json_array_append_new (
      arg,
      json_pack ("{s:s,s:s,s:i,s:s,s:i,s:f,s:i,s:I}", "digest", hex, "kind",
                 rt_cause_kind_name (block->kind), "causes", (int)block->n,
                 "state", states[status->state], "ends", (int)status->crashes,
                 "odds", status->odds, "holds", (int)status->holds, "untilUs",
                 (json_int_t)status->blocked_until));
}

/** Returns the causes that are suspect or blocked, as a JSON array. */
json_t *
gt_relays_suspects (gt_relays_t *relays)
{
  json_t *list = json_array ();

  rt_blame_visit_causes (relay_blame_table (relays),
                         net_clock_now (relays->options.clock), dump_suspect,
                         list);
  return list;
}
