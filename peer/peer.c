/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The other hosts: the members, and which procedure serves which message.
 */
#include <stdlib.h>
#include <string.h>

#include "libpeer.h"

#define PROBE_EVERY (500 * EL_MSEC)
#define PROBE_TIMEOUT (200 * EL_MSEC)
#define FORGET_AFTER (600 * EL_SEC)
#define NO_DELAY 0

static const struct
{
  uint32_t proc;
  peer_serve_fn serve;
} procs[] = {
  { PEER_GOSSIP, peer_serve_gossip },     { PEER_FORWARD, peer_serve_forward },
  { PEER_RELAY, peer_serve_relay },       { PEER_FETCH, peer_serve_fetch },
  { PEER_HANDOVER, peer_serve_handover }, { PEER_NEWS, peer_serve_news },
  { PEER_MEMBERS, peer_serve_members },   { PEER_RUMORS, peer_serve_rumors },
};

void
peer_xdr_write (xdrproc_t proc, void *value, el_buf_t *out)
{
  u_int size = (u_int)xdr_sizeof (proc, value);
  char *bytes = el_alloc (size);
  XDR xdr;

  xdrmem_create (&xdr, bytes, size, XDR_ENCODE);
  if (proc (&xdr, value))
    el_buf_add (out, (el_str_t){ bytes, xdr_getpos (&xdr) });
  xdr_destroy (&xdr);
  free (bytes);
}

/** Read a value that fills BODY to its end. What was allocated for it is
    released by xdr_free, also after a failure. */
int
peer_xdr_read (xdrproc_t proc, el_str_t body, void *value)
{
  XDR xdr;
  int ok;

  xdrmem_create (&xdr, (char *)(uintptr_t)body.ptr, (u_int)body.len,
                 XDR_DECODE);
  ok = proc (&xdr, value) && xdr_getpos (&xdr) == body.len;
  xdr_destroy (&xdr);
  return ok;
}

static void
peers_serve (void *arg, net_rpc_req_t *req, uint32_t proc, el_str_t body)
{
  pr_peers_t *peers = arg;
  size_t i;

  for (i = 0; i < sizeof procs / sizeof *procs; i++)
    if (procs[i].proc == proc)
      {
        procs[i].serve (peers, req, body);
        return;
      }
  peers->counts.refused++;
  net_rpc_reply (req, (el_str_t){ NULL, 0 });
}

static void
member_changed (void *arg, const co_member_t *member)
{
  pr_peers_t *peers = arg;
  char inc[CO_INCARNATION_HEX + 1];
  int here = el_str_eq (member->hall, peers->options.hall);

  co_incarnation_hex (&member->incarnation, inc);
  EL_LOG (here || member->state != CO_MBR_ALIVE ? EL_LOG_INFO : EL_LOG_DEBUG,
          "member", EL_FS ("peer", member->peer), EL_FS ("hall", member->hall),
          EL_FC ("incarnation", inc),
          EL_FC ("state", co_mbr_state_name (member->state)),
          EL_FC ("offer", co_mbr_offer_name (member->offer)),
          EL_FN ("live", co_members_live (peers->members)));
}

/* Another host saw that an endpoint leaves. */
static void
member_leaving (void *arg, el_str_t endpoint)
{
  pr_peers_t *peers = arg;

  EL_LOG (EL_LOG_INFO, "endpoint_leaves", EL_FS ("endpoint", endpoint),
          EL_FC ("sign", "another host"));
  peers->options.ops->leaving (peers->options.arg, endpoint);
}

/** Tell the holder how many hosts are live, and have the clock ask again. */
void
peer_ticked (pr_peers_t *peers)
{
  el_time_t now = net_clock_now (peers->options.clock);
  el_time_t due = co_members_next (peers->members);
  size_t live = co_members_live (peers->members);

  net_clock_set (peers->options.clock, &peers->tick,
                 due > now ? due - now : NO_DELAY);
  if (live == peers->live)
    return;
  peers->live = live;
  peers->options.ops->hosts (peers->options.arg, live);
}

static void
peers_tick (void *arg, el_time_t now)
{
  pr_peers_t *peers = arg;

  co_members_tick (peers->members, now);
  peer_ticked (peers);
}

/* The member that this host is. */
static void
member_self (const pr_options_t *o, co_member_t *out)
{
  out->incarnation = o->incarnation;
  out->peer = o->listen;
  out->http = o->http;
  out->hall = o->hall;
  out->capacity = o->capacity;
}

/** Listen for other hosts and find them; NULL, with the reason in ERR, when
    the address can't be had. */
pr_peers_t *
pr_peers_new (const pr_options_t *options, el_err_t *err)
{
  pr_peers_t *peers = el_alloc (sizeof *peers);
  net_rpc_options_t rpc = { .clock = options->clock,
                            .listen = options->listen,
                            .key = options->key,
                            .serve = peers_serve,
                            .arg = peers,
                            .refused = &peers->counts.refused,
                            .messages = &peers->counts.messages,
                            .bytes = &peers->counts.bytes };
  co_members_options_t members = { .seeds = options->seeds,
                                   .seed = options->seed,
                                   .period = PROBE_EVERY,
                                   .timeout = PROBE_TIMEOUT,
                                   .forget = FORGET_AFTER,
                                   .leaving_hold = options->leave_hold,
                                   .probe = peer_probe,
                                   .sync = peer_sync,
                                   .changed = member_changed,
                                   .leaving = member_leaving,
                                   .arg = peers };

  peers->options = *options;
  peers->random = options->seed | 1;
  peers->rpc = net_rpc_new (&rpc, err);
  if (!peers->rpc)
    {
      free (peers);
      return NULL;
    }
  member_self (options, &members.self);
  peers->members = co_members_new (&members);
  peer_rumors_open (peers);
  options->config->peers = peers;
  peers->tick.cb = peers_tick;
  peers->tick.arg = peers;
  net_clock_set (options->clock, &peers->tick, NO_DELAY);
  return peers;
}

/** What was exchanged so far. */
const pr_counts_t *
pr_peers_counts (const pr_peers_t *peers)
{
  return &peers->counts;
}

/** This host takes no new work. */
void
pr_peers_drain (pr_peers_t *peers)
{
  co_members_drain (peers->members, CO_MBR_ALIVE);
}

/** Callers should not be sent here for now, or may be again. */
void
pr_peers_withdraw (pr_peers_t *peers, int withdrawn)
{
  co_members_withdraw (peers->members, withdrawn);
}

void
pr_peers_stop (pr_peers_t *peers)
{
  net_clock_cancel (peers->options.clock, &peers->tick);
  net_clock_cancel (peers->options.clock, &peers->rumors_tick);
  net_rpc_stop (peers->rpc);
}

/** This host has seen all changes of configuration up to REVISION. */
void
peer_seen (pr_peers_t *peers, uint64_t revision)
{
  co_members_seen (peers->members, revision);
}

/** Whether this host is one of the few of its hall that ask the platform. */
int
pr_peers_chosen (const pr_peers_t *peers, size_t most)
{
  return co_members_chosen (peers->members, most);
}

/** A sign that an endpoint leaves was seen here: tell the other hosts, not
    more often than half the time for which it counts. */
void
pr_peers_endpoint_leaves (pr_peers_t *peers, el_str_t endpoint)
{
  el_time_t now = net_clock_now (peers->options.clock);
  peer_sign_t *sign;

  if (endpoint.len > CO_NAME_MAX)
    return;
  HASH_FIND (hh, peers->signs, endpoint.ptr, (unsigned)endpoint.len, sign);
  if (sign && now < sign->at + peers->options.leave_hold / 2)
    return;
  if (!sign)
    {
      sign = el_alloc (sizeof *sign);
      memcpy (sign->endpoint, endpoint.ptr, endpoint.len);
      HASH_ADD_KEYPTR (hh, peers->signs, sign->endpoint,
                       (unsigned)endpoint.len, sign);
    }
  sign->at = now;
  co_members_endpoint (peers->members, now, endpoint);
}

/** Live hosts, this one included. */
size_t
pr_peers_live (const pr_peers_t *peers)
{
  return co_members_live (peers->members);
}

typedef struct force_arg
{
  uint64_t revision;
  size_t n;
} force_arg_t;

static void
force_visit (void *arg, const co_member_t *member)
{
  force_arg_t *force = arg;

  force->n += member->state <= CO_MBR_SUSPECT
              && member->revision >= force->revision;
}

/** Live hosts that have seen all changes up to REVISION, as far as this host
    knows. */
size_t
pr_peers_in_force (const pr_peers_t *peers, uint64_t revision)
{
  force_arg_t force = { revision, 0 };

  co_members_visit (peers->members, force_visit, &force);
  return force.n;
}

typedef struct prefer_arg
{
  const co_member_t *self;
  int first;
} prefer_arg_t;

static void
prefer_visit (void *arg, const co_member_t *member)
{
  prefer_arg_t *prefer = arg;

  if (member->state != CO_MBR_ALIVE || member->offer == CO_MBR_DRAINING)
    return;
  if (member->offer < prefer->self->offer
      || (member->offer == prefer->self->offer
          && co_member_before (member, prefer->self)))
    prefer->first = 0;
}

/** Whether no live host that stays comes before this one; those that are
    withdrawn come after those that are not. */
int
pr_peers_preferred (const pr_peers_t *peers)
{
  prefer_arg_t prefer
      = { co_members_find (peers->members, &peers->options.incarnation), 1 };

  co_members_visit (peers->members, prefer_visit, &prefer);
  return prefer.first;
}

typedef struct hall_arg
{
  el_str_t hall;
  size_t n;
} hall_arg_t;

static void
hall_visit (void *arg, const co_member_t *member)
{
  hall_arg_t *hall = arg;

  hall->n
      += member->state == CO_MBR_ALIVE && el_str_eq (member->hall, hall->hall);
}

/** Live hosts of this host's hall, this one included. */
size_t
pr_peers_hall_live (const pr_peers_t *peers)
{
  hall_arg_t hall = { peers->options.hall, 0 };

  co_members_visit (peers->members, hall_visit, &hall);
  return hall.n;
}

static void
dump_visit (void *arg, const co_member_t *member)
{
  char inc[CO_INCARNATION_HEX + 1];

  co_incarnation_hex (&member->incarnation, inc);
  json_object_set_new (arg, inc,
                       json_pack ("{s:s%,s:s%,s:s,s:s,s:I,s:I}", "peer",
                                  member->peer.ptr, member->peer.len, "hall",
                                  member->hall.ptr, member->hall.len, "state",
                                  co_mbr_state_name (member->state), "offer",
                                  co_mbr_offer_name (member->offer),
                                  "revision", (json_int_t)member->revision,
                                  "counter", (json_int_t)member->counter));
}

json_t *
pr_peers_dump (const pr_peers_t *peers)
{
  json_t *out = json_object ();

  co_members_visit (peers->members, dump_visit, out);
  return out;
}
