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
#define DISCOVER_TIMEOUT (200 * EL_MSEC)
/* Number of members that a host which has just started is told of. */
#define INTRODUCED_MAX 16

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

/* Collect the members that a host of HALL which has just started is told
   of. */
static void
introduce (const pr_peers_t *peers, el_str_t hall, sync_list_t *members)
{
  const co_member_t *list[INTRODUCED_MAX];
  size_t n = co_members_introduce (peers->members, hall, list, INTRODUCED_MAX);
  size_t i;

  for (i = 0; i < n; i++)
    sync_add (members, list[i]);
}

/** Reply with all members that this host knows: those alive or suspect in
    full, the others as state changes; or with a few of them, if the body names
    the hall of a host that has just started. */
void
peer_serve_members (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body)
{
  sync_list_t members = { NULL, 0, NULL, 0 };
  el_buf_t out = { NULL, 0, 0 };
  peer_members_args args;
  peer_members res;

  memset (&args, 0, sizeof args);
  if (body.len == 0)
    co_members_visit (peers->members, sync_add, &members);
  else if (peer_xdr_decode ((xdrproc_t)xdr_peer_members_args, body, &args))
    introduce (peers, PEER_BYTES_GET (args.hall, hall), &members);
  else
    peers->counts.refused++;
  xdr_free ((xdrproc_t)xdr_peer_members_args, (char *)&args);
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

static int
reply_merge (pr_peers_t *peers, int ok, el_str_t body)
{
  peer_members res;

  memset (&res, 0, sizeof res);
  ok = ok && peer_xdr_decode ((xdrproc_t)xdr_peer_members, body, &res);
  if (ok)
    sync_merge (peers, &res);
  xdr_free ((xdrproc_t)xdr_peer_members, (char *)&res);
  return ok;
}

static void
sync_done (void *arg, int ok, int sent, el_str_t body)
{
  pr_peers_t *peers = arg;

  (void)sent;
  reply_merge (peers, ok, body);
  peer_members_refresh (peers);
}

static void
discover_done (void *arg, int ok, int sent, el_str_t body)
{
  pr_peers_t *peers = arg;

  (void)sent;
  if (reply_merge (peers, ok, body))
    co_members_set_discovered (peers->members);
  peer_members_refresh (peers);
}

/** Request a few members from the host at ADDRESS, a seed. */
void
peer_discover (void *arg, el_str_t address)
{
  pr_peers_t *peers = arg;
  peer_members_args args;
  el_buf_t body = { NULL, 0, 0 };

  PEER_BYTES_SET (args.hall, hall, peers->options.hall);
  peer_xdr_encode ((xdrproc_t)xdr_peer_members_args, &args, &body);
  net_rpc_call (peers->rpc, address, PEER_MEMBERS, el_buf_str (&body),
                DISCOVER_TIMEOUT, discover_done, peers);
  el_buf_free (&body);
}

/** Request all members known to the host at ADDRESS. */
void
peer_sync_members (void *arg, el_str_t address)
{
  pr_peers_t *peers = arg;

  net_rpc_call (peers->rpc, address, PEER_MEMBERS, (el_str_t){ NULL, 0 },
                SYNC_TIMEOUT, sync_done, peers);
}
