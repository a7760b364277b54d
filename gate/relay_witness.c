/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Witnesses of crashes. An endpoint that refuses this host's connections may
 * have crashed, or the path to it is cut, even if other endpoints are reached.
 * A few other hosts are asked whether they reach it: one that does shows that
 * it is alive.
 */
#include <stdlib.h>

#include "librelay.h"

/* After an answer that an endpoint is alive, others are not asked about it
   again for this long. */
#define WITNESS_INTERVAL (100 * EL_MSEC)

/* A question that is outstanding. */
typedef struct witness_call
{
  gt_relays_t *relays;
  rt_target_t *target;
  el_time_t asked_at;
  unsigned replies;
  unsigned unreached;
  int reached;
} witness_call_t;

static void
witness_log (const witness_call_t *call)
{
  EL_LOG (EL_LOG_INFO, "refusal_witnessed",
          EL_FS ("endpoint", call->target->attrs.id),
          EL_FN ("asked", call->replies), EL_FN ("reached", call->reached),
          EL_FN ("unreached", call->unreached),
          EL_FN ("took_us", net_clock_now (call->relays->options.clock)
                                - call->asked_at));
}

static void
witness_replied (void *arg, unsigned hosts, const pr_reach_answer_t *answer)
{
  witness_call_t *call = arg;
  gt_relays_t *relays = call->relays;
  rt_target_t *target = call->target;

  if (answer && answer->n && answer->reached[0])
    call->reached++;
  else if (answer)
    call->unreached++;
  if (++call->replies < hosts)
    return;
  target->witnessing = 0;
  witness_log (call);
  if (call->reached)
    {
      target->alive_at = net_clock_now (relays->options.clock);
      relay_runs_refusal_refuted (relays, target, call->asked_at);
    }
  else
    relay_runs_crashed (relays, target);
  rt_target_unref (target);
  free (call);
}

/** Asks other hosts whether they reach TARGET, which refuses connections.
    Without another host that tells, this one's word counts. */
void
relay_witness_ask (gt_relays_t *relays, rt_target_t *target)
{
  const rt_instance_t instance = rt_target_instance (target);
  const pr_reach_query_t query
      = { .instances
          = { { .endpoint = el_str (instance.id), .born = instance.born } },
          .n = 1 };
  el_time_t now = net_clock_now (relays->options.clock);
  witness_call_t *call;

  if (target->witnessing
      || (target->alive_at && now < target->alive_at + WITNESS_INTERVAL))
    return;
  call = el_alloc (sizeof *call);
  call->relays = relays;
  call->target = rt_target_ref (target);
  call->asked_at = now;
  target->witnessing = 1;
  relays->counts.witness_calls++;
  if (relays->options.ask_reach
      && relays->options.ask_reach (relays->options.arg, &query,
                                    witness_replied, call))
    return;
  target->witnessing = 0;
  relay_runs_crashed (relays, target);
  rt_target_unref (target);
  free (call);
}
