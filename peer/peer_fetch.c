/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Fetches configuration from another host: the changes after the revision seen
 * here, or the complete configuration when the other host does not know all
 * removals since that revision.
 */
#include <stdlib.h>
#include <string.h>

#include "libpeer.h"

#define FETCH_TIMEOUT (5 * EL_SEC)

/* Changes collected for a reply. */
typedef struct fetch_list
{
  peer_change *list;
  size_t len;
} fetch_list_t;

static void
change_add (void *arg, co_kind_t kind, el_str_t name, uint64_t revision,
            const co_resource_t *res)
{
  fetch_list_t *changes = arg;
  el_str_t kind_name = el_str (co_kind_name (kind));
  el_str_t spec = { NULL, 0 };
  peer_change *change;

  if (changes->len == PEER_CHANGES_MAX)
    return;
  changes->list
      = el_grow (changes->list, changes->len + 1, sizeof *changes->list);
  change = &changes->list[changes->len++];
  if (res)
    spec = el_str (json_dumps (res->json, JSON_COMPACT));
  change->revision = revision;
  PEER_BYTES_SET (change->kind, kind, kind_name);
  PEER_BYTES_SET (change->name, name, name);
  PEER_BYTES_SET (change->spec, spec, spec);
}

/** Reply with the configuration changes that the other host has not seen. */
void
peer_serve_fetch (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body)
{
  const pr_config_t *config = peers->options.config;
  fetch_list_t changes = { NULL, 0 };
  el_buf_t out = { NULL, 0, 0 };
  peer_fetch_args args = { 0 };
  peer_fetch_res res;
  size_t i;

  memset (&res, 0, sizeof res);
  if (peer_xdr_decode ((xdrproc_t)xdr_peer_fetch_args, body, &args)
      && config->ready)
    {
      res.ready = 1;
      res.whole = args.after < config->complete_since;
      res.revision = co_config_revision (config->config);
      co_config_visit_since (config->config, res.whole ? 0 : args.after,
                             change_add, &changes);
    }
  res.changes.changes_val = changes.list;
  res.changes.changes_len = (u_int)changes.len;
  peer_xdr_encode ((xdrproc_t)xdr_peer_fetch_res, &res, &out);
  net_rpc_reply (req, el_buf_str (&out));
  for (i = 0; i < changes.len; i++)
    free (changes.list[i].spec.spec_val);
  free (changes.list);
  el_buf_free (&out);
}

static void
fetch_apply (pr_peers_t *peers, const peer_fetch_res *res)
{
  pr_config_update_t *update = pr_config_update_begin (peers->options.config);
  u_int i;

  for (i = 0; i < res->changes.changes_len; i++)
    {
      const peer_change *change = &res->changes.changes_val[i];
      json_t *spec = change->spec.spec_len ? json_loadb (
                         change->spec.spec_val, change->spec.spec_len, 0, NULL)
                                           : NULL;
      co_kind_t kind;

      if (co_kind_parse (PEER_BYTES_GET (change->kind, kind), &kind))
        pr_config_update_apply (update, kind,
                                PEER_BYTES_GET (change->name, name),
                                change->revision, spec);
      json_decref (spec);
    }
  pr_config_update_finish (update, res->revision, res->whole);
}

static void
fetch_done (void *arg, int ok, int sent, el_str_t body)
{
  pr_peers_t *peers = arg;
  peer_fetch_res res;

  (void)sent;
  peers->fetching = 0;
  memset (&res, 0, sizeof res);
  if (ok && peer_xdr_decode ((xdrproc_t)xdr_peer_fetch_res, body, &res)
      && res.ready)
    fetch_apply (peers, &res);
  xdr_free ((xdrproc_t)xdr_peer_fetch_res, (char *)&res);
}

/** Request the configuration changes that this host has not seen from FROM;
    does nothing while another such request is pending. */
void
peer_fetch (pr_peers_t *peers, const co_member_t *from)
{
  el_buf_t body = { NULL, 0, 0 };
  peer_fetch_args args
      = { .after = co_config_revision (peers->options.config->config) };

  if (peers->fetching)
    return;
  peers->fetching = 1;
  peer_xdr_encode ((xdrproc_t)xdr_peer_fetch_args, &args, &body);
  net_rpc_call (peers->rpc, from->peer, PEER_FETCH, el_buf_str (&body),
                FETCH_TIMEOUT, fetch_done, peers);
  el_buf_free (&body);
}
