/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Rumors between hosts: passed on in datagrams of their own, ahead of what
 * waits for the next probe; a host that has just started, or missed some, asks
 * another one for all that it knows.
 */
#include <stdlib.h>
#include <string.h>

#include "libpeer.h"

/* Hosts that each host passes a rumor on to; one that nobody passed it on to
   learns it by its next probe. */
#define FANOUT 6
/* A datagram that was not answered is sent once more. */
#define RUMOR_WAIT (200 * EL_MSEC)
#define RUMOR_TRIES 2
#define ASK_WAIT EL_SEC
/* Rumors that come within this are passed on together. */
#define RUMOR_GATHER (5 * EL_MSEC)
/* Rumors remembered, of at most CO_RUMOR_BODY_MAX bytes. */
#define RUMORS_MOST 1024

/* A message that may have to be sent again. */
typedef struct rumor_send
{
  pr_peers_t *peers;
  el_str_t address;
  el_buf_t body;
  unsigned tries;
} rumor_send_t;

static void rumor_send_on (rumor_send_t *send);

/* Rumors on their way into a message. */
typedef struct rumor_list
{
  el_time_t now;
  peer_rumor *list;
  u_int len;
} rumor_list_t;

static void
list_add (void *arg, const co_rumor_t *rumor)
{
  rumor_list_t *rumors = arg;
  peer_rumor *to;

  if (rumor->until <= rumors->now || rumors->len == PEER_RUMORS_MAX)
    return;
  rumors->list = el_grow (rumors->list, rumors->len + 1, sizeof *rumors->list);
  to = &rumors->list[rumors->len++];
  to->id = rumor->id;
  to->age_us = rumors->now > rumor->at ? rumors->now - rumor->at : 0;
  to->left_us = rumor->until - rumors->now;
  PEER_BYTES_SET (to->body, body, rumor->body);
}

static void
list_write (rumor_list_t *rumors, int ask, el_buf_t *out)
{
  peer_rumors message = { .ask = ask };

  message.rumors.rumors_val = rumors->list;
  message.rumors.rumors_len = rumors->len;
  peer_xdr_write ((xdrproc_t)xdr_peer_rumors, &message, out);
  free (rumors->list);
}

/* Take in a message's rumors; gives how many were new. */
static size_t
list_take (pr_peers_t *peers, const peer_rumors *message)
{
  el_time_t now = net_clock_now (peers->options.clock);
  size_t news = 0;
  u_int i;

  for (i = 0; i < message->rumors.rumors_len; i++)
    {
      const peer_rumor *from = &message->rumors.rumors_val[i];
      const co_rumor_t rumor
          = { .id = from->id,
              .at = now > from->age_us ? now - from->age_us : 0,
              .until = now + from->left_us,
              .body = PEER_BYTES_GET (from->body, body) };

      news += (size_t)co_rumors_hear (peers->rumors, now, &rumor);
    }
  peer_rumors_armed (peers);
  return news;
}

static void
rumors_tick (void *arg, el_time_t now)
{
  pr_peers_t *peers = arg;

  co_rumors_tick (peers->rumors, now);
  peer_rumors_armed (peers);
}

/** Have the clock call when rumors are to be passed on. */
void
peer_rumors_armed (pr_peers_t *peers)
{
  el_time_t now = net_clock_now (peers->options.clock);
  el_time_t due = co_rumors_next (peers->rumors);

  if (due != EL_TIME_NEVER)
    net_clock_set (peers->options.clock, &peers->rumors_tick,
                   due > now ? due - now : 0);
}

static void
send_done (void *arg, int ok, int sent, el_str_t body)
{
  rumor_send_t *send = arg;

  (void)sent;
  (void)body;
  if (!ok && send->tries < RUMOR_TRIES)
    {
      rumor_send_on (send);
      return;
    }
  el_str_free (&send->address);
  el_buf_free (&send->body);
  free (send);
}

static void
rumor_send_on (rumor_send_t *send)
{
  send->tries++;
  net_rpc_send (send->peers->rpc, send->address, PEER_RUMORS,
                el_buf_str (&send->body), RUMOR_WAIT, send_done, send);
}

/* Pass rumors on to a few hosts. */
static void
rumors_send (void *arg, const co_rumor_t *list, size_t n)
{
  pr_peers_t *peers = arg;
  const co_member_t *to[FANOUT];
  size_t hosts = co_members_some (peers->members, to, FANOUT);
  rumor_list_t rumors = { .now = net_clock_now (peers->options.clock) };
  el_buf_t body = { NULL, 0, 0 };
  rumor_send_t *send;
  size_t i;

  for (i = 0; i < n; i++)
    list_add (&rumors, &list[i]);
  list_write (&rumors, 0, &body);
  for (i = 0; i < hosts; i++)
    {
      send = el_alloc (sizeof *send);
      send->peers = peers;
      send->address = el_str_dup (to[i]->peer);
      el_buf_add (&send->body, el_buf_str (&body));
      rumor_send_on (send);
    }
  el_buf_free (&body);
}

static void
rumor_heard (void *arg, const co_rumor_t *rumor)
{
  const pr_peers_t *peers = arg;

  peers->options.ops->rumor (peers->options.arg, rumor);
}

/** Another host passes rumors on, or asks for all. */
void
peer_serve_rumors (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body)
{
  rumor_list_t rumors = { .now = net_clock_now (peers->options.clock) };
  el_buf_t out = { NULL, 0, 0 };
  peer_rumors message;

  memset (&message, 0, sizeof message);
  if (peer_xdr_read ((xdrproc_t)xdr_peer_rumors, body, &message))
    {
      if (message.ask)
        co_rumors_visit (peers->rumors, list_add, &rumors);
      list_write (&rumors, 0, &out);
      list_take (peers, &message);
    }
  else
    peers->counts.refused++;
  net_rpc_reply (req, el_buf_str (&out));
  xdr_free ((xdrproc_t)xdr_peer_rumors, (char *)&message);
  el_buf_free (&out);
}

static void
ask_done (void *arg, int ok, int sent, el_str_t body)
{
  pr_peers_t *peers = arg;
  peer_rumors message;

  (void)sent;
  memset (&message, 0, sizeof message);
  if (ok && peer_xdr_read ((xdrproc_t)xdr_peer_rumors, body, &message))
    {
      co_rumors_asked (peers->rumors, list_take (peers, &message));
      peers->rumors_known = 1;
    }
  xdr_free ((xdrproc_t)xdr_peer_rumors, (char *)&message);
}

/** The host at ADDRESS knows the rumors that DIGEST names. */
void
peer_rumors_compare (pr_peers_t *peers, el_str_t address, uint64_t digest)
{
  el_time_t now = net_clock_now (peers->options.clock);
  rumor_list_t none = { .now = now };
  el_buf_t body = { NULL, 0, 0 };

  if (digest == co_rumors_digest (peers->rumors))
    peers->rumors_known = 1;
  if (!co_rumors_behind (peers->rumors, now, digest))
    return;
  list_write (&none, 1, &body);
  net_rpc_call (peers->rpc, address, PEER_RUMORS, el_buf_str (&body), ASK_WAIT,
                ask_done, peers);
  el_buf_free (&body);
}

/** Know no rumors yet. */
void
peer_rumors_open (pr_peers_t *peers)
{
  const co_rumors_options_t options = { .most = RUMORS_MOST,
                                        .gather = RUMOR_GATHER,
                                        .send = rumors_send,
                                        .heard = rumor_heard,
                                        .arg = peers };

  peers->rumors = co_rumors_new (&options);
  peers->rumors_tick.cb = rumors_tick;
  peers->rumors_tick.arg = peers;
}

/** Have all hosts know BODY, named by ID, and remember it for HOLD. */
void
pr_peers_tell (pr_peers_t *peers, uint64_t id, el_time_t hold, el_str_t body)
{
  el_time_t now = net_clock_now (peers->options.clock);
  const co_rumor_t rumor
      = { .id = id, .at = now, .until = now + hold, .body = body };

  co_rumors_tell (peers->rumors, now, &rumor);
  peer_rumors_armed (peers);
}

/** Whether another host has told this one the rumors that it knows. */
int
pr_peers_rumors_known (const pr_peers_t *peers)
{
  return peers->rumors_known;
}
