/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The drain of a host that stops: it accepts no new chats and calls, hands its
 * sessions over and waits for what is running.
 */
#include "libgate.h"

#define DRAIN_POLL_INTERVAL (50 * EL_MSEC)

static void
drain_finish (gt_gate_t *gate)
{
  EL_LOG (EL_LOG_INFO, "drained",
          EL_FN ("sessions", co_ledger_sessions (gate->ledger)));
  net_server_stop (gate->server);
  if (gate->platform)
    gt_platform_stop (gate->platform);
  pr_peers_stop (gate->peers);
  net_clock_cancel (&gate->clock, &gate->expire);
  gate->drained (gate->drained_arg);
}

/* The successor now has the complete state, including requests that ended
   after the handover, and announces to the other hosts whose sessions it
   has. */
static void
final_handover_sent (void *arg)
{
  drain_finish (arg);
}

/* Ends the requests that have been sent to an endpoint, or those that have
   not. */
static void
drain_end (gt_gate_t *gate, int sent)
{
  gt_inflight_t *inflight;
  gt_inflight_t *next;

  HASH_ITER (hh, gate->inflight, inflight, next)
  {
    rt_event_t event = { .kind = RT_EV_CANCEL, .stream = inflight->id };

    if ((inflight->exchange != NULL) == sent)
      gt_router_event (gate, &event);
  }
}

/* Ends the requests that outlast the drain, so that their callers get a
   response; those that wait go first, so that none is sent in the room of
   another one. */
static void
drain_end_requests (gt_gate_t *gate)
{
  EL_LOG (EL_LOG_WARN, "drain_over",
          EL_FN ("running", HASH_COUNT (gate->inflight)));
  drain_end (gate, 0);
  drain_end (gate, 1);
}

static void
drain_poll (void *arg, el_time_t now)
{
  gt_gate_t *gate = arg;
  int idle = HASH_COUNT (gate->inflight) == 0 && gate->open_responses == 0;

  if (now >= gate->drain_deadline && HASH_COUNT (gate->inflight)
      && !gate->drain_over)
    {
      gate->drain_over = 1;
      drain_end_requests (gate);
      net_clock_set (&gate->clock, &gate->expire, DRAIN_POLL_INTERVAL);
    }
  else if (now >= gate->drain_deadline)
    drain_finish (gate);
  else if (!idle || gate->handing_over)
    net_clock_set (&gate->clock, &gate->expire, DRAIN_POLL_INTERVAL);
  else
    pr_peers_final_handover (gate->peers, final_handover_sent, gate);
}

static void
handover_done (void *arg)
{
  gt_gate_t *gate = arg;

  gate->handing_over = 0;
}

/** Accepts no new requests, hands the sessions over, and calls DONE once all
    running requests have ended and their answers are sent, or after
    options.drain_limit. */
void
gt_gate_drain (gt_gate_t *gate, gt_drained_cb done, void *arg)
{
  rt_event_t event = { .kind = RT_EV_STOP };

  if (gate->draining)
    return;
  gate->draining = 1;
  gate->drain_deadline
      = net_clock_now (&gate->clock) + gate->options.drain_limit;
  gate->drained = done;
  gate->drained_arg = arg;
  EL_LOG (EL_LOG_INFO, "draining",
          EL_FN ("running", HASH_COUNT (gate->inflight)));
  co_ledger_seal (gate->ledger);
  pr_peers_drain (gate->peers);
  gt_router_event (gate, &event);
  gate->handing_over = 1;
  pr_peers_hand_over (gate->peers, handover_done, gate);
  gate->expire.cb = drain_poll;
  net_clock_set (&gate->clock, &gate->expire, 0);
}
