/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Membership probes between hosts: gossip messages in datagrams.
 */
#include <stdlib.h>
#include <string.h>

#include "libpeer.h"

#define PROBE_RPC_TIMEOUT EL_SEC

/* A probe sent by this host, pending its reply. */
typedef struct pending_probe
{
  pr_peers_t *peers;
  uint64_t id;
} pending_probe_t;

/* A probe sent on behalf of another host, pending its reply. */
typedef struct pending_relay
{
  pr_peers_t *peers;
  net_rpc_req_t *req;
} pending_relay_t;

/** Encode a member; its strings are not copied. */
void
peer_member_encode (const co_member_t *from, peer_member *to)
{
  memcpy (to->incarnation, from->incarnation.byte, CO_INCARNATION_BYTES);
  PEER_BYTES_SET (to->peer, peer, from->peer);
  PEER_BYTES_SET (to->http, http, from->http);
  PEER_BYTES_SET (to->hall, hall, from->hall);
  memcpy (to->successor, from->successor.byte, CO_INCARNATION_BYTES);
  to->capacity = from->capacity;
  to->counter = from->counter;
  to->revision = from->revision;
  to->state = from->state;
  to->offer = from->offer;
}

/** Decode a member; its strings point into FROM. Returns 0 when its state or
    offer is invalid. */
int
peer_member_decode (const peer_member *from, co_member_t *to)
{
  memcpy (to->incarnation.byte, from->incarnation, CO_INCARNATION_BYTES);
  to->peer = PEER_BYTES_GET (from->peer, peer);
  to->http = PEER_BYTES_GET (from->http, http);
  to->hall = PEER_BYTES_GET (from->hall, hall);
  memcpy (to->successor.byte, from->successor, CO_INCARNATION_BYTES);
  to->capacity = from->capacity;
  to->counter = from->counter;
  to->revision = from->revision;
  to->state = (co_mbr_state_t)from->state;
  to->offer = (co_mbr_offer_t)from->offer;
  return from->state >= CO_MBR_ALIVE && from->state <= CO_MBR_LEFT
         && from->offer >= CO_MBR_OFFERED && from->offer <= CO_MBR_DRAINING;
}

/** Encode a change of a member's state. */
void
peer_change_encode (const co_member_change_t *from, peer_member_change *to)
{
  memcpy (to->incarnation, from->incarnation.byte, CO_INCARNATION_BYTES);
  to->counter = from->counter;
  to->state = from->state;
  to->offer = from->offer;
}

/** Decode a change of a member's state. Returns 0 when its state or offer is
    invalid. */
int
peer_change_decode (const peer_member_change *from, co_member_change_t *to)
{
  memcpy (to->incarnation.byte, from->incarnation, CO_INCARNATION_BYTES);
  to->counter = from->counter;
  to->state = (co_mbr_state_t)from->state;
  to->offer = (co_mbr_offer_t)from->offer;
  return from->state >= CO_MBR_ALIVE && from->state <= CO_MBR_LEFT
         && from->offer >= CO_MBR_OFFERED && from->offer <= CO_MBR_DRAINING;
}

/** Append this host's gossip message for the member TO to OUT. TO is NULL when
    the receiver's incarnation is not known. */
void
peer_gossip_encode (pr_peers_t *peers, const co_incarnation_t *to,
                    el_buf_t *out)
{
  peer_member members[CO_GOSSIP_MEMBERS_MAX];
  peer_member_change changes[CO_GOSSIP_CHANGES_MAX];
  peer_leaving leaving[CO_GOSSIP_LEAVING_MAX];
  peer_gossip message;
  co_gossip_t gossip;
  size_t i;

  co_members_write_gossip (peers->members, to, &gossip);
  peer_member_encode (&gossip.self, &message.self);
  for (i = 0; i < gossip.nmembers; i++)
    peer_member_encode (&gossip.members[i], &members[i]);
  for (i = 0; i < gossip.nchanges; i++)
    peer_change_encode (&gossip.changes[i], &changes[i]);
  for (i = 0; i < gossip.nleaving; i++)
    {
      leaving[i].id = gossip.leaving[i].id;
      PEER_BYTES_SET (leaving[i].endpoint, endpoint,
                      gossip.leaving[i].endpoint);
    }
  message.members.members_val = members;
  message.members.members_len = (u_int)gossip.nmembers;
  message.digest = gossip.digest;
  message.rumors = co_rumors_digest (peers->rumors);
  message.changes.changes_val = changes;
  message.changes.changes_len = (u_int)gossip.nchanges;
  message.leaving.leaving_val = leaving;
  message.leaving.leaving_len = (u_int)gossip.nleaving;
  peer_xdr_encode ((xdrproc_t)xdr_peer_gossip, &message, out);
}

/* Decode a gossip message; the strings of OUT point into FROM. Returns 0 when
   it is invalid. */
static int
gossip_decode (const peer_gossip *from, co_gossip_t *out)
{
  size_t i;
  int ok = peer_member_decode (&from->self, &out->self);

  ok = ok && from->members.members_len <= CO_GOSSIP_MEMBERS_MAX
       && from->changes.changes_len <= CO_GOSSIP_CHANGES_MAX
       && from->leaving.leaving_len <= CO_GOSSIP_LEAVING_MAX;
  if (!ok)
    return 0;
  out->digest = from->digest;
  out->nchanges = from->changes.changes_len;
  for (i = 0; i < out->nchanges; i++)
    ok = ok
         && peer_change_decode (&from->changes.changes_val[i],
                                &out->changes[i]);
  out->nmembers = from->members.members_len;
  for (i = 0; i < out->nmembers; i++)
    ok = ok
         && peer_member_decode (&from->members.members_val[i],
                                &out->members[i]);
  out->nleaving = from->leaving.leaving_len;
  for (i = 0; i < out->nleaving; i++)
    {
      out->leaving[i].id = from->leaving.leaving_val[i].id;
      out->leaving[i].endpoint
          = PEER_BYTES_GET (from->leaving.leaving_val[i].endpoint, endpoint);
    }
  return ok;
}

/* Fetch from the sender what this host lacks: newer configuration, and rumors
   if the digests of the two hosts differ. */
static void
gossip_received (pr_peers_t *peers, const co_gossip_t *gossip, uint64_t rumors)
{
  peer_rumors_compare (peers, gossip->self.peer, rumors);
  if (gossip->self.revision
      > co_config_revision (peers->options.config->config))
    peer_fetch (peers, &gossip->self);
  peer_members_refresh (peers);
}

static void
probe_done (void *arg, int ok, int sent, el_str_t body)
{
  pending_probe_t *pending = arg;
  pr_peers_t *peers = pending->peers;
  peer_gossip message;
  co_gossip_t gossip;

  (void)sent;
  memset (&message, 0, sizeof message);
  ok = ok && peer_xdr_decode ((xdrproc_t)xdr_peer_gossip, body, &message)
       && gossip_decode (&message, &gossip);
  co_members_probe_done (peers->members, net_clock_now (peers->options.clock),
                         pending->id, ok, &gossip);
  if (ok)
    gossip_received (peers, &gossip, message.rumors);
  xdr_free ((xdrproc_t)xdr_peer_gossip, (char *)&message);
  free (pending);
}

/** Probe a host, directly or through the host VIA. */
void
peer_probe (void *arg, uint64_t id, el_str_t address, el_str_t via)
{
  pr_peers_t *peers = arg;
  pending_probe_t *pending = el_alloc (sizeof *pending);
  el_buf_t body = { NULL, 0, 0 };
  el_buf_t relayed = { NULL, 0, 0 };
  peer_relay relay;

  pending->peers = peers;
  pending->id = id;
  peer_gossip_encode (peers, NULL, &body);
  if (via.len == 0)
    net_rpc_call_udp (peers->rpc, address, PEER_GOSSIP, el_buf_str (&body),
                      PROBE_RPC_TIMEOUT, probe_done, pending);
  else
    {
      memset (&relay, 0, sizeof relay);
      PEER_BYTES_SET (relay.target, target, address);
      if (peer_xdr_decode ((xdrproc_t)xdr_peer_gossip, el_buf_str (&body),
                           &relay.gossip))
        peer_xdr_encode ((xdrproc_t)xdr_peer_relay, &relay, &relayed);
      xdr_free ((xdrproc_t)xdr_peer_gossip, (char *)&relay.gossip);
      net_rpc_call_udp (peers->rpc, via, PEER_RELAY, el_buf_str (&relayed),
                        PROBE_RPC_TIMEOUT, probe_done, pending);
      el_buf_free (&relayed);
    }
  el_buf_free (&body);
}

/** Reply to a probe. */
void
peer_serve_gossip (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body)
{
  el_buf_t out = { NULL, 0, 0 };
  peer_gossip message;
  co_gossip_t gossip;

  memset (&message, 0, sizeof message);
  if (peer_xdr_decode ((xdrproc_t)xdr_peer_gossip, body, &message)
      && gossip_decode (&message, &gossip))
    {
      co_members_receive_gossip (
          peers->members, net_clock_now (peers->options.clock), &gossip);
      gossip_received (peers, &gossip, message.rumors);
      peer_gossip_encode (peers, &gossip.self.incarnation, &out);
    }
  else
    peers->counts.refused++;
  net_rpc_reply (req, el_buf_str (&out));
  xdr_free ((xdrproc_t)xdr_peer_gossip, (char *)&message);
  el_buf_free (&out);
}

/* Pass on the target's reply. If there was none, the requester ignores the
   empty reply, so its probe times out as a direct one would. */
static void
relay_done (void *arg, int ok, int sent, el_str_t body)
{
  pending_relay_t *pending = arg;

  (void)sent;
  net_rpc_reply (pending->req, ok ? body : (el_str_t){ NULL, 0 });
  free (pending);
}

/** Probe another host on behalf of the requester. */
void
peer_serve_relay (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body)
{
  pending_relay_t *pending;
  el_buf_t out = { NULL, 0, 0 };
  peer_relay relay;

  memset (&relay, 0, sizeof relay);
  if (!peer_xdr_decode ((xdrproc_t)xdr_peer_relay, body, &relay))
    {
      peers->counts.refused++;
      net_rpc_reply (req, (el_str_t){ NULL, 0 });
    }
  else
    {
      pending = el_alloc (sizeof *pending);
      pending->peers = peers;
      pending->req = req;
      peer_xdr_encode ((xdrproc_t)xdr_peer_gossip, &relay.gossip, &out);
      net_rpc_call_udp (peers->rpc, PEER_BYTES_GET (relay.target, target),
                        PEER_GOSSIP, el_buf_str (&out), PROBE_RPC_TIMEOUT,
                        relay_done, pending);
    }
  xdr_free ((xdrproc_t)xdr_peer_relay, (char *)&relay);
  el_buf_free (&out);
}
