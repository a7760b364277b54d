/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Facts that the store may have lost when it was restored from an older copy
 * of itself. Other hosts, and those that start before the facts are stored
 * again, learn them by gossip.
 */
#include <string.h>

#include "librelay.h"

/* How long a host waits for a version of the rules that is in force on another
   host, and how long that version is gossiped: the operator stores it again
   within about two seconds. */
#define RULES_WAIT_MAX (5 * EL_SEC)
#define RULES_GOSSIP_TIME (30 * EL_SEC)
/* Limit for the endpoints published as leaving that are no longer listed. The
   store's copy is only seconds old, so that the newest suffice. */
#define LEAVING_MAX 256

static void
leaving_announce (void *arg, el_str_t id, uint64_t born)
{
  rt_instance_t instance = { .born = born };
  size_t len = id.len < RT_INSTANCE_ID_SIZE ? id.len : RT_INSTANCE_ID_SIZE - 1;

  memcpy (instance.id, id.ptr, len);
  relay_backoff_announce_leaving (arg, &instance);
}

static void
rules_announce (gt_relays_t *relays)
{
  const relay_fact_t fact
      = { .kind = RELAY_FACT_RULES, .version = relays->rules->version };

  relay_rumor_publish (relays, &fact,
                       XXH3_64bits_withSeed (&fact.version,
                                             sizeof fact.version,
                                             RELAY_FACT_RULES),
                       RULES_GOSSIP_TIME);
}

/** Handles a rumor that another host has rules in force that the store may not
    have yet. */
void
relay_epoch_on_rules (gt_relays_t *relays, const co_rumor_t *rumor,
                      const relay_fact_t *fact)
{
  (void)rumor;
  if (fact->version <= relays->peer_rules_version)
    return;
  relays->peer_rules_version = fact->version;
  relays->peer_rules_deadline
      = net_clock_now (relays->options.clock) + RULES_WAIT_MAX;
  EL_LOG (EL_LOG_INFO, "config_due", EL_FN ("version", fact->version),
          EL_FN ("in_force", relays->rules ? relays->rules->version : 0));
}

/** Whether another host has newer rules in force, in which keys may have been
    revoked. After RULES_WAIT_MAX this host no longer waits for them. */
int
gt_relays_rules_outdated (const gt_relays_t *relays)
{
  return relays->rules && relays->rules->version < relays->peer_rules_version
         && net_clock_now (relays->options.clock)
                < relays->peer_rules_deadline;
}

/** Publishes what the store may have lost, after it began a new epoch. */
void
gt_relays_store_epoch_began (gt_relays_t *relays)
{
  if (relays->rules)
    rules_announce (relays);
  rt_fleet_visit_leaving (relays->options.fleet, LEAVING_MAX, leaving_announce,
                          relays);
}
