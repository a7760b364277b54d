/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Admission and routing of requests that were running where endpoints crashed:
 * a blocked request is refused; a suspect is sent to an endpoint of its own
 * and, after several crashes, one at a time.
 */
#include "librelay.h"

/* A suspect whose endpoint has not crashed this long after the send no longer
   keeps others waiting. */
#define PROBATION_TIME (500 * EL_MSEC)
/* A suspect with this many crashes waits while no endpoint is open to it, as
   when other suspects of this host are on probation at all of them. */
#define TURN_MIN_CRASHES 2
/* Such a suspect also waits until it is known whether its last endpoint
   crashed: a few milliseconds if the port is closed and other hosts check,
   three heartbeats if not. */
#define TURN_RETRY_INTERVAL (20 * EL_MSEC)
#define TURNS_MAX 250

/** Whether RELAY may be served; if not, it has been answered. The refusal
    states that this arrival did not run, which is true, and asks to retry when
    the block ends. */
int
relay_suspect_admit (gt_relay_t *relay)
{
  gt_relays_t *relays = relay->relays;
  rt_blame_status_t status = relay_blame_get_status (relay);
  el_time_t now = net_clock_now (relays->options.clock);
  char digest[RT_DIGEST_HEX + 1];

  if (status.state != RT_BLAME_BLOCKED)
    return 1;
  rt_digest_hex (relay_digest (relay), digest);
  EL_LOG (EL_LOG_INFO, "request_barred", EL_FS ("request", relay->id),
          EL_FC ("digest", digest), EL_FN ("ends", status.crashes),
          EL_FN ("holds", status.holds),
          EL_FN ("left_us", status.blocked_until - now));
  relays->counts.barred++;
  relay_respond_error (relay, 503, "ends endpoints",
                       status.blocked_until - now);
  return 0;
}

static void
turn_timeout (void *arg, el_time_t now)
{
  (void)now;
  relay_attempt (arg);
}

/* Pick the endpoint for a suspect. */
static rt_target_t *
pick_isolated_target (gt_relay_t *relay, const rt_blame_status_t *status,
                      el_time_t now)
{
  return rt_fleet_pick_isolated (
      relay->relays->options.fleet, now, relay->service->name,
      relay_digest (relay) + status->crashes, &relay->tried);
}

/** Whether RELAY has to wait for its turn. It is retried later, or refused
    with a time to retry if it has not been sent yet. */
int
relay_suspect_must_wait (gt_relay_t *relay, el_time_t now)
{
  gt_relays_t *relays = relay->relays;
  rt_blame_status_t status = relay_blame_get_status (relay);

  if (status.state != RT_BLAME_SUSPECT || status.crashes < TURN_MIN_CRASHES
      || (!status.unconfirmed
          && !relay_blame_is_pending (relays, relay_digest (relay))
          && pick_isolated_target (relay, &status, now))
      || relay->turns++ >= TURNS_MAX)
    return 0;
  relays->counts.turns++;
  if (relay->course.sent == 0)
    {
      relays->counts.refused++;
      relay_respond_error (relay, 503, "waits for its turn", PROBATION_TIME);
      return 1;
    }
  relay->retry_timer.cb = turn_timeout;
  relay->retry_timer.arg = relay;
  net_clock_set (relays->options.clock, &relay->retry_timer,
                 TURN_RETRY_INTERVAL);
  return 1;
}

/** Return the endpoint where a suspect is to be sent first; others avoid it
    until RELAY's probation is over. NULL: no restriction. */
rt_target_t *
relay_suspect_pick_target (gt_relay_t *relay, el_time_t now)
{
  rt_blame_status_t status = relay_blame_get_status (relay);
  rt_target_t *target;

  if (status.state != RT_BLAME_SUSPECT
      || (status.crashes < TURN_MIN_CRASHES && !status.prime_suspect))
    return NULL;
  target = pick_isolated_target (relay, &status, now);
  if (!target)
    return NULL;
  relay->relays->counts.apart++;
  rt_avail_suspect_sent (&target->avail, now, PROBATION_TIME);
  return target;
}

/** DIGEST is the culprit: stop its runs before they crash more endpoints. */
void
relay_suspect_cancel (gt_relays_t *relays, rt_digest_t digest)
{
  gt_relay_t *relay;
  gt_relay_t *next;

  DL_FOREACH_SAFE (relays->running, relay, next)
  if (!relay->ended && relay->service && relay_digest (relay) == digest)
    relay_abort (relay, "ends endpoints");
}
