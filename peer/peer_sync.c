/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * All members at once, for hosts that have just started.
 */
#include <stdlib.h>
#include <string.h>

#include "libpeer.h"

#define SYNC_TIMEOUT (1 * EL_SEC)

/* Members on their way into a message. */
typedef struct sync_list
{
  peer_member *list;
  u_int len;
} sync_list_t;

static void
sync_add (void *arg, const co_member_t *member)
{
  sync_list_t *members = arg;

  if (members->len == PEER_MEMBERS_MAX || member->state > CO_MBR_SUSPECT)
    return;
  members->list
      = el_grow (members->list, members->len + 1, sizeof *members->list);
  peer_member_write (member, &members->list[members->len++]);
}

/** Tell another host all members that this one knows. */
void
peer_serve_members (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body)
{
  sync_list_t members = { NULL, 0 };
  el_buf_t out = { NULL, 0, 0 };
  peer_members res;

  (void)body;
  co_members_visit (peers->members, sync_add, &members);
  res.members.members_val = members.list;
  res.members.members_len = members.len;
  peer_xdr_write ((xdrproc_t)xdr_peer_members, &res, &out);
  net_rpc_reply (req, el_buf_str (&out));
  free (members.list);
  el_buf_free (&out);
}

static void
sync_done (void *arg, int ok, int sent, el_str_t body)
{
  pr_peers_t *peers = arg;
  el_time_t now = net_clock_now (peers->options.clock);
  co_member_t member;
  peer_members res;
  u_int i;

  (void)sent;
  memset (&res, 0, sizeof res);
  if (ok && peer_xdr_read ((xdrproc_t)xdr_peer_members, body, &res))
    for (i = 0; i < res.members.members_len; i++)
      if (peer_member_read (&res.members.members_val[i], &member))
        co_members_take (peers->members, now, &member);
  xdr_free ((xdrproc_t)xdr_peer_members, (char *)&res);
  peer_ticked (peers);
}

/** Ask the host at ADDRESS for all members that it knows. */
void
peer_sync (void *arg, el_str_t address)
{
  pr_peers_t *peers = arg;

  net_rpc_call (peers->rpc, address, PEER_MEMBERS, (el_str_t){ NULL, 0 },
                SYNC_TIMEOUT, sync_done, peers);
}
