/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Streams that have lost their endpoint and find none to go on at: they wait,
 * since what their callers have is worth more than a new request, until the
 * request's time is over or its caller leaves.
 */
#include "librelay.h"

/* Until it looks for an endpoint again, at first and at the most: streams end
   and make room every few milliseconds; other engines hold the layers of one
   that ended after 0.4 s at the soonest. */
#define WAIT_LEAST (25 * EL_MSEC)
#define WAIT_MOST (400 * EL_MSEC)

static void
wait_over (void *arg, el_time_t now)
{
  gt_relay_t *relay = arg;

  (void)now;
  relay->tried.n = 0; /* who refused before may have room now */
  relay_try (relay);
}

/** Let RELAY look for an endpoint again in a while, each time later; gives 0
    if it is not a stream that may go on. */
int
relay_wait_endpoint (gt_relay_t *relay)
{
  gt_relays_t *relays = relay->relays;
  el_time_t wait = WAIT_MOST;

  if (!relay->begun || !relay->rule->resumable)
    return 0;
  if (relay->waits == 0)
    {
      relays->counts.waits++;
      EL_LOG (EL_LOG_INFO, "stream_waits", EL_FS ("request", relay->id),
              EL_FN ("events", relay->nevents),
              EL_FN ("sent", relay->course.sent),
              EL_FC ("reason", "no endpoint to go on at"));
    }
  if (WAIT_LEAST << relay->waits < WAIT_MOST)
    wait = WAIT_LEAST << relay->waits++;
  relay->turn.cb = wait_over;
  relay->turn.arg = relay;
  net_clock_set (relays->options.clock, &relay->turn, wait);
  return 1;
}
