/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Exchange of the complete member list, for hosts that have just started or
 * have missed gossip.
 */
#include <stdlib.h>
#include <string.h>

#include "libpeer.h"

#define SYNC_TIMEOUT (1 * EL_SEC)

/* Members collected for a reply. */
typedef struct sync_list
{
  peer_member *list; /* alive or suspect */
  u_int len;
  peer_member_change *others; /* dead or left */
  u_int nothers;
} sync_list_t;

static void
sync_add_other (sync_list_t *members, const co_member_t *member)
{
  const co_member_change_t change = { .incarnation = member->incarnation,
                                      .counter = member->counter,
                                      .state = member->state,
                                      .offer = member->offer };

  if (members->nothers == PEER_MEMBERS_MAX)
    return;
  members->others = el_grow (members->others, members->nothers + 1,
                             sizeof *members->others);
  peer_change_encode (&change, &members->others[members->nothers++]);
}

static void
sync_add (void *arg, const co_member_t *member)
{
  sync_list_t *members = arg;

  if (member->state > CO_MBR_SUSPECT)
    {
      sync_add_other (members, member);
      return;
    }
  if (members->len == PEER_MEMBERS_MAX)
    return;
  members->list
      = el_grow (members->list, members->len + 1, sizeof *members->list);
  peer_member_encode (member, &members->list[members->len++]);
}

/** Reply with all members that this host knows: those alive or suspect in
    full, the others as state changes. */
void
peer_serve_members (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body)
{
  sync_list_t members = { NULL, 0, NULL, 0 };
  el_buf_t out = { NULL, 0, 0 };
  peer_members res;

  (void)body;
  co_members_visit (peers->members, sync_add, &members);
  res.members.members_val = members.list;
  res.members.members_len = members.len;
  res.changes.changes_val = members.others;
  res.changes.changes_len = members.nothers;
  peer_xdr_encode ((xdrproc_t)xdr_peer_members, &res, &out);
  net_rpc_reply (req, el_buf_str (&out));
  free (members.list);
  free (members.others);
  el_buf_free (&out);
}

static void
sync_merge (pr_peers_t *peers, const peer_members *res)
{
  el_time_t now = net_clock_now (peers->options.clock);
  co_member_t member;
  co_member_change_t change;
  u_int i;

  for (i = 0; i < res->members.members_len; i++)
    if (peer_member_decode (&res->members.members_val[i], &member))
      co_members_apply_member (peers->members, now, &member);
  for (i = 0; i < res->changes.changes_len; i++)
    if (peer_change_decode (&res->changes.changes_val[i], &change))
      co_members_apply_change (peers->members, now, &change);
}

static void
sync_done (void *arg, int ok, int sent, el_str_t body)
{
  pr_peers_t *peers = arg;
  peer_members res;

  (void)sent;
  memset (&res, 0, sizeof res);
  if (ok && peer_xdr_decode ((xdrproc_t)xdr_peer_members, body, &res))
    sync_merge (peers, &res);
  xdr_free ((xdrproc_t)xdr_peer_members, (char *)&res);
  peer_members_refresh (peers);
}

/** Request all members known to the host at ADDRESS. */
void
peer_sync_members (void *arg, el_str_t address)
{
  pr_peers_t *peers = arg;

  net_rpc_call (peers->rpc, address, PEER_MEMBERS, (el_str_t){ NULL, 0 },
                SYNC_TIMEOUT, sync_done, peers);
}
