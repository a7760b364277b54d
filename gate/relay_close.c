/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Streams that end with their connection, as the response has neither a length
 * nor chunks. A crash of the engine closes the connection, too. The stream is
 * complete only if it had events, ends behind one, and its engine still
 * responds.
 */
#include "librelay.h"

static void
close_is_end (gt_relay_t *relay)
{
  const net_result_t complete = { .net = NET_OK,
                                  .verdict = EL_RAN,
                                  .status = relay->req->res.status,
                                  .by_close = 1 };

  relay_attempt_settled (relay, &complete);
}

static void
close_is_break (gt_relay_t *relay, const char *evidence)
{
  const net_result_t broken = { .net = NET_CONNECTION_LOST,
                                .verdict = EL_MAY_HAVE_RUN,
                                .status = relay->req->res.status,
                                .by_close = 1 };

  EL_LOG (EL_LOG_INFO, "stream_cut", EL_FS ("request", relay->id),
          EL_FS ("endpoint", relay->target->attrs.id),
          EL_FC ("evidence", evidence), EL_FN ("events", relay->nevents));
  relay_attempt_settled (relay, &broken);
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

/** Handles that a clean close of the connection ended the response to a
    stream. */
void
relay_close_settle (gt_relay_t *relay)
{
  const gt_relay_options_t *o = &relay->relays->options;

  if (!relay->writing)
    close_is_break (relay, "no event");
  else if (relay->events.part.len)
    close_is_break (relay, "inside an event");
  else if (relay->chain.n && o->dialect->check)
    {
      relay_enter (relay, RELAY_SETTLING);
      relay->query
          = o->dialect->check (o->client, relay->target, close_checked, relay);
    }
  else
    close_is_end (relay);
}
