/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Responses that end with their connection, as they have neither a length nor
 * chunks. A crash of the endpoint closes the connection, too. Such a response
 * is complete only if its endpoint is still there: an engine has to respond, a
 * plain endpoint to take a connection. A stream must have had events and end
 * behind one, besides.
 */
#include "librelay.h"

/* A plain endpoint is connected to after this time: a crashed process closes
   its connections in any order, and the one on which it listens may be the
   last. */
#define CRASH_SETTLED (10 * EL_MSEC)

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

static void
close_checked (void *arg, gt_check_result_t result, const rt_load_t *load,
               const rt_hints_t *hints)
{
  gt_relay_t *relay = arg;
  uint64_t born = relay->target->attrs.born;

  (void)hints;
  relay->query = NULL;
  relay_enter (relay, RELAY_DECIDING);
  if (result != GT_CHECK_OK)
    close_is_break (relay, "engine does not respond");
  else if (load && load->born && born && load->born != born)
    close_is_break (relay, "engine has restarted");
  else
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
      relay->query
          = o->dialect->check (o->client, relay->target, close_checked, relay);
      return;
    }
  relay->watch_timer.cb = close_connect;
  relay->watch_timer.arg = relay;
  net_clock_set (o->clock, &relay->watch_timer, CRASH_SETTLED);
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
  else if (relay->refused)
    close_is_end (relay);
  else
    close_check (relay);
}
