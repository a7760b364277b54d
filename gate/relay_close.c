/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Responses that end with their connection, as they have neither a length nor
 * chunks. A crash of the endpoint closes the connection, too. Such a response
 * is complete only if its endpoint is still there: a plain endpoint has to
 * take a connection, and all engines of a chain to respond, as the first one
 * ends a stream in the same way if another is gone. A stream must have had
 * events and end right behind one, besides. What is there after a stall of
 * this process does not show what was there when the response ended.
 */
#include "librelay.h"

/* A plain endpoint is connected to after this time: a crashed process closes
   its connections in any order, and the one on which it listens may be the
   last. */
#define CRASH_SETTLED (10 * EL_MSEC)
/* A stream that ends this long after its last event was cut: engines wait for
   others that do not respond, which may be back by then. */
#define STANDSTILL_MIN (1000 * EL_MSEC)
/* During a stall of this process that is as long, a plain endpoint may have
   ended and be back. A response that ended then is settled soon after it. */
#define RESTART_MIN (200 * EL_MSEC)
#define RESTART_SETTLED (200 * EL_MSEC)
/* Interval between checks of an engine that does not respond. */
#define SILENT_RECHECK (100 * EL_MSEC)

/* Takes the response that was kept while its endpoint was checked. */
static net_result_t
close_take (gt_relay_t *relay)
{
  net_result_t response = relay->kept;

  relay->kept = (net_result_t){ 0 };
  return response;
}

static void
close_is_end (gt_relay_t *relay)
{
  net_result_t response = close_take (relay);

  relay_attempt_settled (relay, &response);
  net_result_free (&response);
}

static void
close_is_break (gt_relay_t *relay, const char *evidence)
{
  net_result_t response = close_take (relay);

  response.net = NET_CONNECTION_LOST;
  response.verdict = EL_MAY_HAVE_RUN;
  EL_LOG (EL_LOG_INFO, "answer_cut", EL_FS ("request", relay->id),
          EL_FS ("endpoint", relay->target->attrs.id),
          EL_FC ("evidence", evidence), EL_FN ("events", relay->nevents),
          EL_FN ("checked_us", net_clock_now (relay->relays->options.clock)
                                   - relay->close_at));
  relay_attempt_settled (relay, &response);
  net_result_free (&response);
}

static rt_target_t *
close_engine (const gt_relay_t *relay)
{
  return relay->chain.part[relay->close_part].target;
}

/* An engine of the chain is gone. */
static void
close_engine_gone (gt_relay_t *relay, const char *evidence)
{
  rt_target_t *engine = close_engine (relay);

  relay_enter (relay, RELAY_DECIDING);
  if (engine != relay->target)
    {
      rt_tried_add (&relay->tried, engine);
      relay_runs_interrupted (relay, engine);
      relay_check (relay->relays, engine);
    }
  close_is_break (relay, evidence);
}

static void close_check_engine (gt_relay_t *relay);

static void
close_check_due (void *arg, el_time_t now)
{
  (void)now;
  close_check_engine (arg);
}

/* A silent engine may be there. Unless the stream can be resumed, it is
   checked until it responds, refuses connections or is no longer listed. */
static int
close_must_wait (gt_relay_t *relay, gt_check_result_t result)
{
  return result == GT_CHECK_NONE && !close_engine (relay)->avail.gone
         && !relay_may_resume (relay);
}

static void
close_checked (void *arg, gt_check_result_t result, const rt_load_t *load,
               const rt_hints_t *hints)
{
  gt_relay_t *relay = arg;
  uint64_t born = close_engine (relay)->attrs.born;

  (void)hints;
  relay->query = NULL;
  if (close_must_wait (relay, result))
    {
      relay->watch_timer.cb = close_check_due;
      relay->watch_timer.arg = relay;
      net_clock_set (relay->relays->options.clock, &relay->watch_timer,
                     SILENT_RECHECK);
    }
  else if (result != GT_CHECK_OK)
    close_engine_gone (relay, "engine does not respond");
  else if (load && load->born && born && load->born != born)
    close_engine_gone (relay, "engine has restarted");
  else
    {
      relay->close_part++;
      close_check_engine (relay);
    }
}

/* Checks the next engine of the chain. Those behind the first that have had an
   event of another stream meanwhile are there. */
static void
close_check_engine (gt_relay_t *relay)
{
  const gt_relay_options_t *o = &relay->relays->options;

  while (relay->close_part > 0 && relay->close_part < relay->chain.n
         && close_engine (relay)->last_event_at > relay->close_at)
    relay->close_part++;
  if (relay->close_part < relay->chain.n)
    {
      relay->query = o->dialect->check (o->client, close_engine (relay),
                                        close_checked, relay);
      return;
    }
  relay_enter (relay, RELAY_DECIDING);
  close_is_end (relay);
}

/* The connection suffices, and stays open for the next request. */
static int
close_withhold (void *arg)
{
  (void)arg;
  return 0;
}

static void
close_connected (void *arg, const net_result_t *result)
{
  gt_relay_t *relay = arg;

  relay->query = NULL;
  relay_enter (relay, RELAY_DECIDING);
  if (result->net == NET_WITHHELD)
    {
      relay_reach_connected (relay->relays, relay->target, relay->connect_at);
      close_is_end (relay);
    }
  else
    close_is_break (relay, result->net == NET_CONNECT_REFUSED
                               ? "endpoint refuses connections"
                               : "endpoint is not reached");
}

static void
close_connect (void *arg, el_time_t now)
{
  gt_relay_t *relay = arg;
  const net_request_t request = { .address = relay->target->attrs.address,
                                  .method = EL_STR ("GET"),
                                  .path = EL_STR ("/"),
                                  .new_connection = 1,
                                  .allow = close_withhold,
                                  .done = close_connected,
                                  .arg = relay };

  relay->connect_at = now;
  relay->query = net_client_send (relay->relays->options.client, &request);
}

/* Finds out whether the endpoint is still there. */
static void
close_check (gt_relay_t *relay)
{
  const gt_relay_options_t *o = &relay->relays->options;

  relay_enter (relay, RELAY_SETTLING);
  if (relay->chain.n && o->dialect->check)
    {
      relay->close_part = 0;
      close_check_engine (relay);
      return;
    }
  relay->watch_timer.cb = close_connect;
  relay->watch_timer.arg = relay;
  net_clock_set (o->clock, &relay->watch_timer, CRASH_SETTLED);
}

/* Whether the response may have ended during a stall of this process, so that
   the times at which it was read tell nothing of the endpoint. */
static int
close_is_uncertain (const gt_relay_t *relay)
{
  net_clock_t *clock = relay->relays->options.clock;

  if (relay->stream && relay->chain.n)
    return net_clock_has_stalled (clock, STANDSTILL_MIN, STANDSTILL_MIN);
  return net_clock_has_stalled (clock, RESTART_MIN, RESTART_SETTLED);
}

/** Handles that a clean close of the connection ended RESPONSE. */
void
relay_close_settle (gt_relay_t *relay, const net_result_t *response)
{
  net_result_copy (response, &relay->kept);
  relay->close_at = net_clock_now (relay->relays->options.clock);
  if (relay->stream && !relay->writing)
    close_is_break (relay, "no event");
  else if (relay->stream && relay->events.part.len)
    close_is_break (relay, "inside an event");
  else if (relay->stream && relay->chain.n
           && relay->close_at >= relay->last_progress + STANDSTILL_MIN)
    close_is_break (relay, "stood still before its end");
  else if (relay->refused)
    close_is_end (relay);
  else if (close_is_uncertain (relay))
    close_is_break (relay, "this host stalled");
  else
    close_check (relay);
}
