/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Rate limits that endpoints name in their responses.
 */
#include "librelay.h"

/** Returns the rate of LIMIT in thousandths of a request per second, as logs
    and rumors have it; 0 if none is named. */
uint64_t
relay_limit_milli (const rt_limit_t *limit)
{
  return limit->named ? (uint64_t)(limit->rate * 1000 + 0.5) : 0;
}

/** Records that TARGET named RATE in a response to BY. */
void
relay_limit_named (gt_relays_t *relays, rt_target_t *target, double rate,
                   el_str_t by)
{
  el_time_t now = net_clock_now (relays->options.clock);
  uint64_t former = relay_limit_milli (&target->limit);
  int begins = !target->limit.named;

  if (!rt_limit_hear (&target->limit, now, rate))
    return;
  relays->counts.limits += (uint64_t)begins;
  EL_LOG (EL_LOG_INFO, "limit_named", EL_FS ("endpoint", target->attrs.id),
          EL_FN ("born", target->attrs.born),
          EL_FS ("service", target->attrs.service), EL_FS ("by", by),
          EL_FN ("limit_milli", relay_limit_milli (&target->limit)),
          EL_FN ("former_milli", former), EL_FN ("running", target->running));
}

static void
limit_lifted (gt_relays_t *relays, rt_target_t *target, el_str_t by)
{
  const rt_limit_t former = target->limit;

  if (!rt_limit_lift (&target->limit))
    return;
  EL_LOG (EL_LOG_INFO, "limit_lifted", EL_FS ("endpoint", target->attrs.id),
          EL_FN ("born", target->attrs.born), EL_FS ("by", by),
          EL_FN ("limit_milli", relay_limit_milli (&former)),
          EL_FN ("us", net_clock_now (relays->options.clock) - former.since),
          EL_FN ("sent", former.sent));
}

/** Lifts the limit of RELAY's target if its response names none. A response to
    a request from before the limit was last named proves nothing, nor does a
    refusal or another request's response. */
void
relay_limit_read_head (gt_relay_t *relay)
{
  if (relay->hints.limited == RT_LIMIT_NONE && !relay->refused
      && !relay->wrong_id && relay->sent > relay->target->limit.heard_at)
    limit_lifted (relay->relays, relay->target, relay->id);
}
