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
/* Changes for which a reply has memory at first. */
#define CHANGES_FIRST 64

/* Changes collected for a reply. */
typedef struct fetch_list
{
  peer_change *list;
  size_t len;
  size_t size; /* allocated */
  int cut;     /* there are more than a reply may have */
} fetch_list_t;

static void
change_add (void *arg, co_kind_t kind, el_str_t name, uint64_t revision,
            const co_resource_t *res)
{
  fetch_list_t *changes = arg;
  el_str_t kind_name = el_str (co_kind_name (kind));
  el_str_t spec = { NULL, 0 };
  peer_change *change;

  changes->cut = changes->len == PEER_CHANGES_MAX;
  if (changes->cut)
    return;
  if (changes->len == changes->size)
    {
      changes->size = changes->size ? 2 * changes->size : CHANGES_FIRST;
      changes->list
          = el_grow (changes->list, changes->size, sizeof *changes->list);
    }
  change = &changes->list[changes->len++];
  if (res)
    spec = el_str (json_dumps (res->json, JSON_COMPACT));
  change->revision = revision;
  PEER_BYTES_SET (change->kind, kind, kind_name);
  PEER_BYTES_SET (change->name, name, name);
  PEER_BYTES_SET (change->spec, spec, spec);
}

/** Fills RES with the changes after AFTER, or with the complete configuration.
    It states no revision if it cannot have all changes up to it; free it with
    peer_fetch_free. */
void
peer_fetch_fill (const pr_config_t *config, uint64_t after,
                 peer_fetch_res *res)
{
  fetch_list_t changes = { NULL, 0, 0, 0 };

  *res = (peer_fetch_res){ 0 };
  if (!config->ready)
    return;
  res->whole = after < config->complete_since;
  res->revision = co_config_revision (config->config);
  co_config_visit_since (config->config, res->whole ? 0 : after, change_add,
                         &changes);
  res->changes.changes_val = changes.list;
  res->changes.changes_len = (u_int)changes.len;
  res->ready = !changes.cut;
  if (!changes.cut)
    return;
  EL_LOG (EL_LOG_ERROR, "config_too_large", EL_FN ("after", after),
          EL_FN ("changes", changes.len));
  peer_fetch_free (res);
}

/** Frees what peer_fetch_fill allocated. */
void
peer_fetch_free (peer_fetch_res *res)
{
  u_int i;

  for (i = 0; i < res->changes.changes_len; i++)
    free (res->changes.changes_val[i].spec.spec_val);
  free (res->changes.changes_val);
  *res = (peer_fetch_res){ 0 };
}

/** Reply with the configuration changes that the other host has not seen. */
void
peer_serve_fetch (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body)
{
  el_buf_t out = { NULL, 0, 0 };
  peer_fetch_args args = { 0 };
  peer_fetch_res res = { 0 };

  if (peer_xdr_decode ((xdrproc_t)xdr_peer_fetch_args, body, &args))
    peer_fetch_fill (peers->options.config, args.after, &res);
  peer_xdr_encode ((xdrproc_t)xdr_peer_fetch_res, &res, &out);
  net_rpc_reply (req, el_buf_str (&out));
  peer_fetch_free (&res);
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
