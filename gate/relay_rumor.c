/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Publishing and receiving of rumors about requests and endpoints, which hosts
 * gossip without waiting for the store.
 */
#include "librelay.h"

/* Handlers of the facts received from other hosts. */
static void (*const handlers[RELAY_FACT_KINDS]) (gt_relays_t *relays,
                                                 const co_rumor_t *rumor,
                                                 const relay_fact_t *fact)
    = {
        [RELAY_FACT_CRASHED] = relay_blame_on_crash,
        [RELAY_FACT_COMPLETED] = relay_blame_on_completed,
        [RELAY_FACT_BLOCKED] = relay_block_on_blocked,
        [RELAY_FACT_CLEARED] = relay_block_on_cleared,
        [RELAY_FACT_LEAVING] = relay_backoff_on_leaving,
        [RELAY_FACT_RULES] = relay_epoch_on_rules,
        [RELAY_FACT_LIMIT] = relay_limit_on_rumor,
        [RELAY_FACT_UNLIMITED] = relay_limit_on_rumor,
        [RELAY_FACT_RAN_WELL] = relay_testimony_on_rumor,
      };

/** Publishes FACT as the rumor ID, which is gossiped for HOLD. */
void
relay_rumor_publish (gt_relays_t *relays, const relay_fact_t *fact,
                     uint64_t id, el_time_t hold)
{
  el_buf_t body = { NULL, 0, 0 };

  if (!relays->options.publish)
    return;
  relay_fact_encode (fact, &body);
  relays->options.publish (relays->options.arg, id, hold, el_buf_str (&body));
  el_buf_free (&body);
}

/** Handles a rumor from another host. */
void
gt_relays_receive_rumor (gt_relays_t *relays, const co_rumor_t *rumor)
{
  relay_fact_t fact;

  if (relay_fact_decode (rumor->body, rumor->at, &fact))
    handlers[fact.kind](relays, rumor, &fact);
  else
    EL_LOG (EL_LOG_ERROR, "rumor_refused", EL_FS ("body", rumor->body));
}
