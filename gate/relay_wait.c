/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Streams that lost their endpoint and found no other to resume on. They wait
 * until their deadline or until the caller disconnects: a response that the
 * caller has partly received is worth more than a new request.
 */
#include "librelay.h"

/* Retry delay, doubled each time: streams end and free capacity every few
   milliseconds; other engines hold the layers of a crashed one after 0.4 s at
   the earliest. */
#define RETRY_DELAY_MIN (25 * EL_MSEC)
#define RETRY_DELAY_MAX (400 * EL_MSEC)

static void
wait_expired (void *arg, el_time_t now)
{
  gt_relay_t *relay = arg;

  (void)now;
  relay->tried.n = 0; /* endpoints that refused before may have capacity now */
  relay_attempt (relay);
}

/** Schedules another attempt, with a longer delay each time. Returns 0 if
    RELAY is not a stream in progress that may be resumed. */
int
relay_wait_endpoint (gt_relay_t *relay)
{
  gt_relays_t *relays = relay->relays;
  el_time_t wait = RETRY_DELAY_MAX;

  if (!relay->response_started || !relay->rule->resumable)
    return 0;
  if (relay->endpoint_waits == 0)
    {
      relays->counts.waits++;
      EL_LOG (EL_LOG_INFO, "stream_waits", EL_FS ("request", relay->id),
              EL_FN ("events", relay->nevents),
              EL_FN ("sent", relay->attempts.sent),
              EL_FC ("reason", "no endpoint to go on at"));
    }
  if (RETRY_DELAY_MIN << relay->endpoint_waits < RETRY_DELAY_MAX)
    wait = RETRY_DELAY_MIN << relay->endpoint_waits++;
  relay->retry_timer.cb = wait_expired;
  relay->retry_timer.arg = relay;
  net_clock_set (relays->options.clock, &relay->retry_timer, wait);
  return 1;
}
