/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * What this host knows and the store has lost, as it went on from an older
 * copy: other hosts, also those that start before it is written again, should
 * know.
 */
#include <string.h>

#include "librelay.h"

/* For so long a host does without a version of the rules that others have in
   force, and other hosts are told of it: the operator writes it again within
   about two seconds. */
#define RULES_WAIT (5 * EL_SEC)
#define RULES_HOLD (30 * EL_SEC)
/* Of the endpoints that left and are listed no more, so many are told of: the
   copy is some seconds old. */
#define LEFT_MOST 256

static void
left_tell (void *arg, el_str_t id, uint64_t born)
{
  rt_start_t start = { .born = born };
  size_t len = id.len < RT_START_MAX ? id.len : RT_START_MAX - 1;

  memcpy (start.id, id.ptr, len);
  relay_rest_leaves_tell (arg, &start);
}

static void
rules_tell (gt_relays_t *relays)
{
  const relay_fact_t fact
      = { .kind = RELAY_FACT_RULES, .version = relays->rules->version };

  relay_rumor_tell (relays, &fact,
                    XXH3_64bits_withSeed (&fact.version, sizeof fact.version,
                                          RELAY_FACT_RULES),
                    RULES_HOLD);
}

/** Another host has rules in force that the store may not show yet. */
void
relay_epoch_hear_rules (gt_relays_t *relays, const co_rumor_t *rumor,
                        const relay_fact_t *fact)
{
  (void)rumor;
  if (fact->version <= relays->rules_due)
    return;
  relays->rules_due = fact->version;
  relays->rules_due_until = net_clock_now (relays->options.clock) + RULES_WAIT;
  EL_LOG (EL_LOG_INFO, "config_due", EL_FN ("version", fact->version),
          EL_FN ("in_force", relays->rules ? relays->rules->version : 0));
}

/** Whether other hosts have newer rules in force than this one: keys may have
    been taken away since. */
int
gt_relays_behind (const gt_relays_t *relays)
{
  return relays->rules && relays->rules->version < relays->rules_due
         && net_clock_now (relays->options.clock) < relays->rules_due_until;
}

/** The store has begun an epoch. */
void
gt_relays_epoch (gt_relays_t *relays)
{
  if (relays->rules)
    rules_tell (relays);
  rt_fleet_left (relays->options.fleet, LEFT_MOST, left_tell, relays);
}
