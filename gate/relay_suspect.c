/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Admission and routing of requests that were running where endpoints crashed.
 * A blocked request is refused. A suspect is sent to an endpoint of its own;
 * after several crashes it waits until there is one, and until the outcome at
 * its last endpoint is known.
 */
#include "librelay.h"

/* Time after the send of a suspect during which other requests avoid its
   endpoint. */
#define PROBATION_TIME (500 * EL_MSEC)
/* A suspect with this many crashes waits while no endpoint is available to it,
   for example because other suspects of this host are on probation at all of
   them. */
#define TURN_CRASHES_MIN 2
/* Such a suspect also waits until it is known whether its last endpoint
   crashed. That takes a few milliseconds if its port is closed and other hosts
   confirm it, otherwise three heartbeats. */
#define TURN_RETRY_INTERVAL (20 * EL_MSEC)
#define TURN_WAITS_MAX 250

/** Whether RELAY may be served. Returns 0 after an error response, which
    states that the request was not executed and may be retried when the block
    ends. */
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
  relays->counts.refused_blocked++;
  relay_respond_error (relay, 503, "ends endpoints",
                       status.blocked_until - now);
  return 0;
}

/* Picks an endpoint for a suspect, other than those on probation. */
static rt_target_t *
pick_isolated_target (gt_relay_t *relay, const rt_blame_status_t *status,
                      el_time_t now)
{
  return rt_fleet_pick_isolated (
      relay->relays->options.fleet, now, relay->service->name,
      relay_digest (relay) + status->crashes, &relay->tried);
}

/** Whether RELAY has to wait for its turn. If so, its next attempt has been
    scheduled, or it was refused with a retry-after if it was never sent. */
int
relay_suspect_must_wait (gt_relay_t *relay, el_time_t now)
{
  gt_relays_t *relays = relay->relays;
  rt_blame_status_t status = relay_blame_get_status (relay);

  if (status.state != RT_BLAME_SUSPECT || status.crashes < TURN_CRASHES_MIN
      || (!status.unconfirmed
          && !relay_blame_is_pending (relays, relay_digest (relay))
          && pick_isolated_target (relay, &status, now))
      || relay->turn_waits++ >= TURN_WAITS_MAX)
    return 0;
  relays->counts.turn_waits++;
  if (relay->attempts.sent == 0)
    {
      relays->counts.refused++;
      relay_respond_error (relay, 503, "waits for its turn", PROBATION_TIME);
      return 1;
    }
  relay_schedule_attempt (relay, TURN_RETRY_INTERVAL);
  return 1;
}

/** Returns the endpoint that a suspect is to be sent to; others avoid it until
    RELAY's probation is over. Returns NULL if there is no restriction. */
rt_target_t *
relay_suspect_pick_target (gt_relay_t *relay, el_time_t now)
{
  rt_blame_status_t status = relay_blame_get_status (relay);
  rt_target_t *target;

  if (status.state != RT_BLAME_SUSPECT
      || (status.crashes < TURN_CRASHES_MIN && !status.prime_suspect))
    return NULL;
  target = pick_isolated_target (relay, &status, now);
  if (!target)
    return NULL;
  relay->relays->counts.isolated++;
  rt_avail_suspect_sent (&target->avail, now, PROBATION_TIME);
  return target;
}

/** Aborts the requests with DIGEST, which was blocked, before they crash more
    endpoints. */
void
relay_suspect_cancel (gt_relays_t *relays, rt_digest_t digest)
{
  gt_relay_t *relay;
  gt_relay_t *next;

  DL_FOREACH_SAFE (relays->running, relay, next)
  if (!relay->ended && relay->service && relay_digest (relay) == digest)
    relay_abort (relay, "ends endpoints");
}
