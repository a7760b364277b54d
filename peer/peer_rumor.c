/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Distribution of rumors between hosts. Rumors are sent at once in datagrams
 * of their own instead of with the next probe. A host that has just started or
 * has missed some fetches all rumors from another host.
 */
#include <stdlib.h>
#include <string.h>

#include "libpeer.h"

/* Number of hosts to which each host forwards a rumor. A host that was not
   reached notices by the digest in its next probe. */
#define RUMOR_FANOUT 6
/* A datagram that is not acknowledged in this time is sent a second time. */
#define RUMOR_SEND_TIMEOUT (200 * EL_MSEC)
#define RUMOR_ATTEMPTS_MAX 2
#define RUMOR_FETCH_TIMEOUT EL_SEC
/* Rumors that arrive within this time are forwarded in one message. */
#define RUMOR_BATCH_DELAY (5 * EL_MSEC)
/* Maximum number of rumors kept, each of at most CO_RUMOR_BODY_MAX bytes. */
#define RUMORS_MAX 1024

/* A datagram that may have to be retried. */
typedef struct rumor_send
{
  pr_peers_t *peers;
  el_str_t address;
  el_buf_t body;
  unsigned attempts;
} rumor_send_t;

static void rumor_send_attempt (rumor_send_t *send);

/* Rumors collected for a message. */
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
list_encode (rumor_list_t *rumors, int fetch, el_buf_t *out)
{
  peer_rumors message = { .ask = fetch };

  message.rumors.rumors_val = rumors->list;
  message.rumors.rumors_len = rumors->len;
  peer_xdr_encode ((xdrproc_t)xdr_peer_rumors, &message, out);
  free (rumors->list);
}

/* Store the rumors of a message; returns how many were new. */
static size_t
list_merge (pr_peers_t *peers, const peer_rumors *message)
{
  el_time_t now = net_clock_now (peers->options.clock);
  size_t added = 0;
  u_int i;

  for (i = 0; i < message->rumors.rumors_len; i++)
    {
      const peer_rumor *from = &message->rumors.rumors_val[i];
      const co_rumor_t rumor
          = { .id = from->id,
              .at = now > from->age_us ? now - from->age_us : 0,
              .until = now + from->left_us,
              .body = PEER_BYTES_GET (from->body, body) };

      added += (size_t)co_rumors_receive (peers->rumors, now, &rumor);
    }
  peer_rumors_schedule (peers);
  return added;
}

static void
rumors_timer_fired (void *arg, el_time_t now)
{
  pr_peers_t *peers = arg;

  co_rumors_tick (peers->rumors, now);
  peer_rumors_schedule (peers);
}

/** Arm the timer for the next rumors to be forwarded. */
void
peer_rumors_schedule (pr_peers_t *peers)
{
  el_time_t now = net_clock_now (peers->options.clock);
  el_time_t due = co_rumors_next_due (peers->rumors);

  if (due != EL_TIME_NEVER)
    net_clock_set (peers->options.clock, &peers->rumors_timer,
                   due > now ? due - now : 0);
}

static void
send_done (void *arg, int ok, int sent, el_str_t body)
{
  rumor_send_t *send = arg;

  (void)sent;
  (void)body;
  if (!ok && send->attempts < RUMOR_ATTEMPTS_MAX)
    {
      rumor_send_attempt (send);
      return;
    }
  el_str_free (&send->address);
  el_buf_free (&send->body);
  free (send);
}

static void
rumor_send_attempt (rumor_send_t *send)
{
  send->attempts++;
  net_rpc_call_udp (send->peers->rpc, send->address, PEER_RUMORS,
                    el_buf_str (&send->body), RUMOR_SEND_TIMEOUT, send_done,
                    send);
}

/* Forward rumors to RUMOR_FANOUT hosts. */
static void
rumors_send (void *arg, const co_rumor_t *list, size_t n)
{
  pr_peers_t *peers = arg;
  const co_member_t *to[RUMOR_FANOUT];
  size_t hosts = co_members_sample (peers->members, to, RUMOR_FANOUT);
  rumor_list_t rumors = { .now = net_clock_now (peers->options.clock) };
  el_buf_t body = { NULL, 0, 0 };
  rumor_send_t *send;
  size_t i;

  for (i = 0; i < n; i++)
    list_add (&rumors, &list[i]);
  list_encode (&rumors, 0, &body);
  for (i = 0; i < hosts; i++)
    {
      send = el_alloc (sizeof *send);
      send->peers = peers;
      send->address = el_str_dup (to[i]->peer);
      el_buf_add (&send->body, el_buf_str (&body));
      rumor_send_attempt (send);
    }
  el_buf_free (&body);
}

static void
rumor_received (void *arg, const co_rumor_t *rumor)
{
  const pr_peers_t *peers = arg;

  peers->options.ops->rumor (peers->options.arg, rumor);
}

/** Process rumors sent by another host, and reply with all known rumors if
    it requests them. */
void
peer_serve_rumors (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body)
{
  rumor_list_t rumors = { .now = net_clock_now (peers->options.clock) };
  el_buf_t out = { NULL, 0, 0 };
  peer_rumors message;

  memset (&message, 0, sizeof message);
  if (peer_xdr_decode ((xdrproc_t)xdr_peer_rumors, body, &message))
    {
      if (message.ask)
        co_rumors_visit (peers->rumors, list_add, &rumors);
      list_encode (&rumors, 0, &out);
      list_merge (peers, &message);
    }
  else
    peers->counts.refused++;
  net_rpc_reply (req, el_buf_str (&out));
  xdr_free ((xdrproc_t)xdr_peer_rumors, (char *)&message);
  el_buf_free (&out);
}

static void
rumors_fetch_done (void *arg, int ok, int sent, el_str_t body)
{
  pr_peers_t *peers = arg;
  peer_rumors message;

  (void)sent;
  memset (&message, 0, sizeof message);
  if (ok && peer_xdr_decode ((xdrproc_t)xdr_peer_rumors, body, &message))
    {
      co_rumors_sync_done (peers->rumors, list_merge (peers, &message));
      peers->rumors_known = 1;
    }
  xdr_free ((xdrproc_t)xdr_peer_rumors, (char *)&message);
}

/** Compare the digest of the rumors known to the host at ADDRESS with this
    host's, and fetch its rumors if this host lacks some. */
void
peer_rumors_compare (pr_peers_t *peers, el_str_t address, uint64_t digest)
{
  el_time_t now = net_clock_now (peers->options.clock);
  rumor_list_t none = { .now = now };
  el_buf_t body = { NULL, 0, 0 };

  if (digest == co_rumors_digest (peers->rumors))
    peers->rumors_known = 1;
  if (!co_rumors_needs_sync (peers->rumors, now, digest))
    return;
  list_encode (&none, 1, &body);
  net_rpc_call (peers->rpc, address, PEER_RUMORS, el_buf_str (&body),
                RUMOR_FETCH_TIMEOUT, rumors_fetch_done, peers);
  el_buf_free (&body);
}

/** Create this host's set of rumors, empty. */
void
peer_rumors_init (pr_peers_t *peers)
{
  const co_rumors_options_t options = { .max_rumors = RUMORS_MAX,
                                        .batch_delay = RUMOR_BATCH_DELAY,
                                        .send = rumors_send,
                                        .received = rumor_received,
                                        .arg = peers };

  peers->rumors = co_rumors_new (&options);
  peers->rumors_timer.cb = rumors_timer_fired;
  peers->rumors_timer.arg = peers;
}

/** Distribute a rumor with the given ID and BODY to all hosts, which keep it
    for HOLD. */
void
pr_peers_publish_rumor (pr_peers_t *peers, uint64_t id, el_time_t hold,
                        el_str_t body)
{
  el_time_t now = net_clock_now (peers->options.clock);
  const co_rumor_t rumor
      = { .id = id, .at = now, .until = now + hold, .body = body };

  co_rumors_publish (peers->rumors, now, &rumor);
  peer_rumors_schedule (peers);
}

/** Whether this host's rumors were fetched from, or are the same as, those of
    another host. */
int
pr_peers_rumors_known (const pr_peers_t *peers)
{
  return peers->rumors_known;
}
