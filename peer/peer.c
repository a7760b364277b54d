/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Set-up of the peer library, dispatch of messages from other hosts, and
 * queries of the membership.
 */
#include <stdlib.h>
#include <string.h>

#include "libpeer.h"

#define PROBE_INTERVAL (500 * EL_MSEC)
#define PROBE_TIMEOUT (200 * EL_MSEC)
#define MEMBER_FORGET_DELAY (600 * EL_SEC)
#define NO_DELAY 0
/* Least time between two lines that say how many hosts are live; a line for
   each host of a large fleet would take more than the change itself. */
#define LIVE_LOG_INTERVAL EL_SEC

static const struct
{
  uint32_t proc;
  peer_serve_fn serve;
} procedures[] = {
  { PEER_GOSSIP, peer_serve_gossip },     { PEER_FORWARD, peer_serve_forward },
  { PEER_RELAY, peer_serve_relay },       { PEER_FETCH, peer_serve_fetch },
  { PEER_HANDOVER, peer_serve_handover }, { PEER_NEWS, peer_serve_news },
  { PEER_MEMBERS, peer_serve_members },   { PEER_RUMORS, peer_serve_rumors },
  { PEER_LOAN, peer_serve_loan },         { PEER_REACH, peer_serve_reach },
  { PEER_LOAD, peer_serve_load },
};

/** Encode a value and append it to OUT. */
void
peer_xdr_encode (xdrproc_t proc, void *value, el_buf_t *out)
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

/** Decode a value that takes up all of BODY. The caller releases it with
    xdr_free, also after a failure. */
int
peer_xdr_decode (xdrproc_t proc, el_str_t body, void *value)
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
request_serve (void *arg, net_rpc_req_t *req, uint32_t proc, el_str_t body)
{
  pr_peers_t *peers = arg;
  size_t i;

  for (i = 0; i < sizeof procedures / sizeof *procedures; i++)
    if (procedures[i].proc == proc)
      {
        procedures[i].serve (peers, req, body);
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
  EL_LOG (here && member->state != CO_MBR_ALIVE ? EL_LOG_INFO : EL_LOG_DEBUG,
          "member", EL_FS ("peer", member->peer), EL_FS ("hall", member->hall),
          EL_FC ("incarnation", inc),
          EL_FC ("state", co_mbr_state_name (member->state)),
          EL_FC ("offer", co_mbr_offer_name (member->offer)),
          EL_FN ("live", co_members_live_count (peers->members)));
}

/* Another host reported that an endpoint is leaving. */
static void
endpoint_leaving (void *arg, el_str_t endpoint)
{
  pr_peers_t *peers = arg;

  EL_LOG (EL_LOG_INFO, "endpoint_leaves", EL_FS ("endpoint", endpoint),
          EL_FC ("sign", "another host"));
  peers->options.ops->leaving (peers->options.arg, endpoint);
}

/** Re-arm the membership timer, and report the number of live hosts if it
    changed. */
void
peer_members_refresh (pr_peers_t *peers)
{
  el_time_t now = net_clock_now (peers->options.clock);
  el_time_t due = co_members_next_due (peers->members);
  size_t live = co_members_live_count (peers->members);

  net_clock_set (peers->options.clock, &peers->members_timer,
                 due > now ? due - now : NO_DELAY);
  if (live != peers->live_logged
      && now >= peers->live_logged_at + LIVE_LOG_INTERVAL)
    {
      EL_LOG (EL_LOG_INFO, "members", EL_FN ("live", live),
              EL_FN ("before", peers->live_logged));
      peers->live_logged = live;
      peers->live_logged_at = now;
    }
  if (live == peers->live_reported)
    return;
  peers->live_reported = live;
  peers->options.ops->hosts (peers->options.arg, live);
}

static void
members_timer_fired (void *arg, el_time_t now)
{
  pr_peers_t *peers = arg;

  co_members_tick (peers->members, now);
  peer_members_refresh (peers);
}

/* Fill in what this host announces of itself. */
static void
self_describe (const pr_options_t *o, co_member_t *out)
{
  out->incarnation = o->incarnation;
  out->peer = o->listen;
  out->http = o->http;
  out->hall = o->hall;
  out->capacity = o->capacity;
}

/** Listen for other hosts and start to probe them. Returns NULL with the
    reason in ERR when the listen address can't be bound. */
pr_peers_t *
pr_peers_new (const pr_options_t *options, el_err_t *err)
{
  pr_peers_t *peers = el_alloc (sizeof *peers);
  net_rpc_options_t rpc = { .clock = options->clock,
                            .listen = options->listen,
                            .key = options->key,
                            .account = options->account,
                            .serve = request_serve,
                            .arg = peers,
                            .refused = &peers->counts.refused,
                            .messages = &peers->counts.messages,
                            .bytes = &peers->counts.bytes };
  co_members_options_t members = { .seeds = options->seeds,
                                   .seed = options->seed,
                                   .period = PROBE_INTERVAL,
                                   .timeout = PROBE_TIMEOUT,
                                   .forget = MEMBER_FORGET_DELAY,
                                   .leaving_hold = options->leave_hold,
                                   .probe = peer_probe,
                                   .sync = peer_sync_members,
                                   .discover = peer_discover,
                                   .changed = member_changed,
                                   .leaving = endpoint_leaving,
                                   .arg = peers };

  peers->options = *options;
  peers->random = options->seed | 1;
  peers->rpc = net_rpc_new (&rpc, err);
  if (!peers->rpc)
    {
      free (peers);
      return NULL;
    }
  self_describe (options, &members.self);
  peers->members = co_members_new (&members);
  peer_rumors_init (peers);
  peer_news_init (peers);
  options->config->peers = peers;
  peers->members_timer.cb = members_timer_fired;
  peers->members_timer.arg = peers;
  net_clock_set (options->clock, &peers->members_timer, NO_DELAY);
  return peers;
}

/** Counters of messages exchanged with other hosts. */
const pr_counts_t *
pr_peers_counts (const pr_peers_t *peers)
{
  return &peers->counts;
}

/** Announce that this host is draining and takes no new work. */
void
pr_peers_drain (pr_peers_t *peers)
{
  co_members_drain (peers->members, CO_MBR_ALIVE);
}

/** Announce that callers should not be directed to this host, or that they may
    be again. */
void
pr_peers_set_withdrawn (pr_peers_t *peers, int withdrawn)
{
  co_members_set_withdrawn (peers->members, withdrawn);
}

void
pr_peers_stop (pr_peers_t *peers)
{
  net_clock_cancel (peers->options.clock, &peers->members_timer);
  net_clock_cancel (peers->options.clock, &peers->rumors_timer);
  net_clock_cancel (peers->options.clock, &peers->pending_timer);
  net_rpc_stop (peers->rpc);
}

/** Announce that this host has seen all configuration changes up to REVISION.
 */
void
peer_set_config_revision (pr_peers_t *peers, uint64_t revision)
{
  co_members_set_revision (peers->members, revision);
}

/** Whether this host is among the first MAX hosts of its hall; only these poll
    the platform. */
int
pr_peers_is_top_ranked (const pr_peers_t *peers, size_t max)
{
  return co_members_is_top_ranked (peers->members, max);
}

/** Report to the other hosts that an endpoint is leaving, at most once per
    half of the lifetime of such a report. */
void
pr_peers_announce_leaving (pr_peers_t *peers, el_str_t endpoint)
{
  el_time_t now = net_clock_now (peers->options.clock);
  peer_leaving_notice_t *notice;

  if (endpoint.len > CO_NAME_MAX)
    return;
  HASH_FIND (hh, peers->leaving_notices, endpoint.ptr, (unsigned)endpoint.len,
             notice);
  if (notice && now < notice->at + peers->options.leave_hold / 2)
    return;
  if (!notice)
    {
      notice = el_alloc (sizeof *notice);
      memcpy (notice->endpoint, endpoint.ptr, endpoint.len);
      HASH_ADD_KEYPTR (hh, peers->leaving_notices, notice->endpoint,
                       (unsigned)endpoint.len, notice);
    }
  notice->at = now;
  co_members_report_leaving (peers->members, now, endpoint);
}

/** Number of live hosts, including this one. */
size_t
pr_peers_count_live (const pr_peers_t *peers)
{
  return co_members_live_count (peers->members);
}

typedef struct in_force_arg
{
  uint64_t revision;
  size_t n;
} in_force_arg_t;

static void
in_force_visit (void *arg, const co_member_t *member)
{
  in_force_arg_t *in_force = arg;

  in_force->n += member->state <= CO_MBR_SUSPECT
                 && member->revision >= in_force->revision;
}

/** Number of hosts, alive or suspect, known to have seen all configuration
    changes up to REVISION. */
size_t
pr_peers_count_in_force (const pr_peers_t *peers, uint64_t revision)
{
  in_force_arg_t in_force = { revision, 0 };

  co_members_visit (peers->members, in_force_visit, &in_force);
  return in_force.n;
}

/** Number of live hosts, not draining, that come before this one where a
   single host is chosen. */
size_t
pr_peers_count_preferred (const pr_peers_t *peers)
{
  return co_members_count_preferred (peers->members);
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

/** Number of live hosts in this host's hall, including this one. */
size_t
pr_peers_count_hall_live (const pr_peers_t *peers)
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
