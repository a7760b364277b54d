/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * What a request has that may crash endpoints: its content as a whole, and the
 * parts of its prompt that others share. Both are computed on first use.
 */
#include <stdlib.h>

#include "librelay.h"

/** Returns the host that REQ names, without the port. */
el_str_t
relay_host_name (const h2o_req_t *req)
{
  el_str_t rest = { req->authority.base, req->authority.len };

  return el_str_cut (&rest, ':');
}

/** Returns the digest that identifies RELAY's request when it is retried. */
rt_digest_t
relay_digest (gt_relay_t *relay)
{
  const h2o_req_t *req = relay->req;
  rt_digest_input_t input = { .customer = relay->customer,
                              .method = net_req_method (req),
                              .host = relay_host_name (req),
                              .path = { req->path.base, req->path.len },
                              .body = net_req_body (req) };

  if (!relay->digest)
    relay->digest = rt_digest (relay->relays->options.key, &input);
  return relay->digest;
}

/* Reads the parts of the prompt that others may share. */
static void
parts_read (gt_relay_t *relay)
{
  gt_relays_t *relays = relay->relays;
  const gt_relay_dialect_t *dialect = relays->options.dialect;
  el_str_t value = net_req_header (relay->req, dialect->names.prompt_parts);
  el_str_t model = net_req_header (relay->req, dialect->names.model);
  el_str_t ids[RT_PARTS_MAX];
  size_t n;
  size_t i;

  relay->parts_known = 1;
  if (!value.len)
    return;
  n = dialect->read_parts (value, ids, RT_PARTS_MAX);
  if (n > RT_PARTS_MAX)
    {
      relays->counts.parts_ignored++;
      EL_LOG (EL_LOG_INFO, "parts_ignored", EL_FS ("request", relay->id),
              EL_FN ("parts", n), EL_FN ("judged", RT_PARTS_MAX));
      n = RT_PARTS_MAX;
    }
  if (!n)
    return;
  relay->parts = el_alloc (n * sizeof *relay->parts);
  relay->nparts = n;
  for (i = 0; i < n; i++)
    relay->parts[i] = rt_part_digest (relays->options.key, model, ids[i]);
}

/** Returns the traits of RELAY's request but its digest. */
rt_traits_t
relay_shared_traits (gt_relay_t *relay)
{
  if (!relay->parts_known)
    parts_read (relay);
  return (rt_traits_t){ .customer = XXH3_64bits (relay->customer.ptr,
                                                 relay->customer.len),
                        .parts = relay->parts,
                        .nparts = relay->nparts };
}

/** Returns the traits of RELAY's request, which owns the list of parts. */
rt_traits_t
relay_traits (gt_relay_t *relay)
{
  rt_traits_t traits = relay_shared_traits (relay);

  traits.digest = relay_digest (relay);
  return traits;
}
