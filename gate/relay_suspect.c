/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Requests that ran where endpoints ended, on their way: one that is to blame
 * is refused, one that may be is sent apart from others and waits for its
 * turn.
 */
#include "librelay.h"

/* A suspect that has not ended its endpoint so long after it was sent does not
   keep others waiting. */
#define PROOF (500 * EL_MSEC)
/* Who ran under so many ends waits until no other suspect of this host is
   under proof where it would be sent. */
#define TURN_ENDS 2
/* It waits, too, until it is known whether its last endpoint has ended: a few
   milliseconds where its port is closed and other hosts look, three heartbeats
   where not. */
#define TURN_WAIT (20 * EL_MSEC)
#define TURNS_MOST 250

/** Whether RELAY may be served; if not, it was answered. What it says is true:
    this arrival has not run. When to come back is when it is let in again. */
int
relay_suspect_admit (gt_relay_t *relay)
{
  gt_relays_t *relays = relay->relays;
  rt_judgement_t judgement = relay_blame_of (relay);
  el_time_t now = net_clock_now (relays->options.clock);
  char digest[RT_DIGEST_HEX + 1];

  if (judgement.state != RT_BLAME_BLOCKED)
    return 1;
  rt_digest_hex (relay_digest (relay), digest);
  EL_LOG (EL_LOG_INFO, "request_barred", EL_FS ("request", relay->id),
          EL_FC ("digest", digest), EL_FN ("ends", judgement.ends),
          EL_FN ("holds", judgement.holds),
          EL_FN ("left_us", judgement.until - now));
  relays->counts.barred++;
  relay_respond_error (relay, 503, "ends endpoints", judgement.until - now);
  return 0;
}

static void
turn_over (void *arg, el_time_t now)
{
  (void)now;
  relay_attempt (arg);
}

/* Where a suspect would be sent. */
static rt_target_t *
suspect_choose (gt_relay_t *relay, const rt_judgement_t *judgement,
                el_time_t now)
{
  return rt_fleet_apart (
      relay->relays->options.fleet, now, relay->service->name,
      relay_digest (relay) + judgement->ends, &relay->tried);
}

/** Whether RELAY has to wait for its turn; it is sent then, or told when to
    come back if it has not been sent yet. */
int
relay_suspect_waits (gt_relay_t *relay, el_time_t now)
{
  gt_relays_t *relays = relay->relays;
  rt_judgement_t judgement = relay_blame_of (relay);

  if (judgement.state != RT_BLAME_SUSPECT || judgement.ends < TURN_ENDS
      || (!judgement.unsure
          && !relay_blame_awaits (relays, relay_digest (relay))
          && suspect_choose (relay, &judgement, now))
      || relay->turns++ >= TURNS_MOST)
    return 0;
  relays->counts.turns++;
  if (relay->course.sent == 0)
    {
      relays->counts.refused++;
      relay_respond_error (relay, 503, "waits for its turn", PROOF);
      return 1;
    }
  relay->retry_timer.cb = turn_over;
  relay->retry_timer.arg = relay;
  net_clock_set (relays->options.clock, &relay->retry_timer, TURN_WAIT);
  return 1;
}

/** The endpoint where RELAY is to be sent first, if it is a suspect: others
    avoid it until RELAY has proved itself. NULL: any. */
rt_target_t *
relay_suspect_target (gt_relay_t *relay, el_time_t now)
{
  rt_judgement_t judgement = relay_blame_of (relay);
  rt_target_t *target;

  if (judgement.state != RT_BLAME_SUSPECT
      || (judgement.ends < TURN_ENDS && !judgement.foremost))
    return NULL;
  target = suspect_choose (relay, &judgement, now);
  if (!target)
    return NULL;
  relay->relays->counts.apart++;
  rt_access_proof (&target->access, now, PROOF);
  return target;
}

/** DIGEST is to blame: what runs of it is ended, before it ends more. */
void
relay_suspect_stop (gt_relays_t *relays, rt_digest_t digest)
{
  gt_relay_t *relay;
  gt_relay_t *next;

  DL_FOREACH_SAFE (relays->running, relay, next)
  if (!relay->ended && relay->service && relay_digest (relay) == digest)
    relay_abort (relay, "ends endpoints");
}
