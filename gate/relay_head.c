/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Headers of requests: what the caller's say of a stream's size, and those of
 * an attempt, which are the caller's and those that this host sets.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libgate.h"
#include "librelay.h"

/* Number of headers that this host sets, at most. */
#define OWN_HEADERS_MAX 6

/* Whether a caller's header is forwarded; those that this host sets are
   not. */
static int
header_forwarded (const gt_relay_t *relay, el_str_t name)
{
  const gt_relay_headers_t *names = &relay->relays->options.dialect->names;
  const char *own[] = { names->time_left, names->expect, names->customer,
                        names->priority, names->chain };
  size_t i;

  for (i = 0; i < sizeof own / sizeof *own; i++)
    if (h2o_lcstris (name.ptr, name.len, own[i], strlen (own[i])))
      return 0;
  if (relay->has_id
      && h2o_lcstris (name.ptr, name.len, names->resume,
                      strlen (names->resume)))
    return 0;
  return gt_header_is_forwarded (name) && !relay_forward_is_own_header (name);
}

static void
head_add (relay_head_t *head, const char *name, el_str_t value)
{
  if (value.len)
    head->list[head->n++] = (net_header_t){ el_str (name), value };
}

static void
head_add_forwarded (gt_relay_t *relay, relay_head_t *head)
{
  const h2o_headers_t *from = &relay->req->headers;
  size_t i;

  for (i = 0; i < from->size; i++)
    {
      const h2o_header_t *h = &from->entries[i];
      el_str_t name = { h->name->base, h->name->len };

      if (header_forwarded (relay, name))
        head->list[head->n++]
            = (net_header_t){ name, { h->value.base, h->value.len } };
    }
}

/* The priority of the prompt of RELAY at the engines. */
static const char *
head_priority (const gt_relay_t *relay)
{
  const gt_relay_dialect_t *dialect = relay->relays->options.dialect;

  if (relay->nevents)
    return dialect->priorities[GT_PRIORITY_ACTIVE];
  return rt_service_has_ranks (relay->service)
             ? dialect->ranked[relay->entry.rank]
             : dialect->priorities[GT_PRIORITY_NEW];
}

/** Estimates a stream's tokens: the prompt, and the caller's estimate of the
    response or half of the response limit. */
void
relay_estimate_tokens (gt_relay_t *relay)
{
  const gt_relay_headers_t *names = &relay->relays->options.dialect->names;
  el_str_t rest = net_req_header (relay->req, names->tokens);
  uint64_t prompt = 0;
  uint64_t response = 0;
  uint64_t expected_tokens;

  relay->prompt = relay->service->model.typical_tokens;
  relay->tokens = relay->prompt;
  if (!el_str_to_u64 (el_str_cut (&rest, ','), &prompt))
    return;
  if (el_str_to_u64 (net_req_header (relay->req, names->expected_tokens),
                     &expected_tokens))
    response = expected_tokens;
  else if (el_str_to_u64 (rest, &response))
    response /= 2;
  relay->prompt = (double)prompt;
  relay->tokens = (double)(prompt + response);
}

/** Builds the headers of an attempt at the current target. They point into the
    request, the target and HEAD itself. */
void
relay_head_build (gt_relay_t *relay, el_time_t now, relay_head_t *head)
{
  const gt_relay_dialect_t *dialect = relay->relays->options.dialect;
  size_t max = relay->req->headers.size + OWN_HEADERS_MAX;

  memset (head, 0, sizeof *head);
  head->list = el_alloc (max * sizeof *head->list);
  head_add_forwarded (relay, head);
  snprintf (head->time_left, sizeof head->time_left, "%" PRIu64,
            (relay->deadline - now) / EL_MSEC);
  head_add (head, dialect->names.time_left, el_str (head->time_left));
  head_add (head, dialect->names.expect, relay->target->attrs.id);
  head_add (head, dialect->names.customer, relay->customer);
  if (relay->has_id)
    {
      snprintf (head->resume, sizeof head->resume, "%" PRIu64,
                relay->last_event_id);
      head_add (head, dialect->names.resume, el_str (head->resume));
    }
  if (relay->chain.n)
    {
      head_add (head, dialect->names.priority, el_str (head_priority (relay)));
      dialect->write_chain (&relay->chain, &head->chain);
      head_add (head, dialect->names.chain, el_buf_str (&head->chain));
    }
}

/** Frees the headers. */
void
relay_head_free (relay_head_t *head)
{
  free (head->list);
  el_buf_free (&head->chain);
}
