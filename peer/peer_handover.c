/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Handover at a planned stop: the sessions and their ledger entries move to
 * one successor. The ledger is sealed before the first message is sent, so a
 * request of unclear state runs at the successor or not at all. Once a message
 * may have arrived, no other successor is tried, since both could run the same
 * request.
 */
#include <stdlib.h>
#include <string.h>

#include "libpeer.h"

#define BATCH_BYTES (1U << 20)
#define HANDOVER_TIMEOUT (2 * EL_SEC)
#define HANDOVER_ATTEMPTS_MAX 5
#define HANDOVER_RETRY_DELAY (200 * EL_MSEC)

/* The sessions of one message. */
typedef struct batch
{
  el_buf_t body;
  co_session_t *keys;
  size_t nkeys;
  struct batch *next;
} batch_t;

struct peer_handover
{
  pr_peers_t *peers;
  batch_t *batches; /* not yet acknowledged */
  batch_t **tail;
  /* The batch being filled. */
  peer_session *sessions;
  co_session_t *keys;
  size_t nsessions;
  size_t bytes;
  int attempts;
  el_timer_t retry;
  pr_done_cb done;
  void *arg;
};

static void batch_send (void *arg, el_time_t now);

static void
session_clear (peer_session *session)
{
  u_int i;

  for (i = 0; i < session->entries.entries_len; i++)
    {
      peer_answer *answer = session->entries.entries_val[i].answer;

      if (!answer)
        continue;
      free (answer->tokens.tokens_val);
      free (answer->headers.headers_val);
      free (answer);
    }
  free (session->entries.entries_val);
}

/* Encode the batch being filled and queue it. */
static void
batch_close (peer_handover_t *handover)
{
  peer_handover_args args;
  batch_t *batch;
  size_t i;

  if (!handover->nsessions)
    return;
  batch = el_alloc (sizeof *batch);
  args.sessions.sessions_val = handover->sessions;
  args.sessions.sessions_len = (u_int)handover->nsessions;
  peer_xdr_encode ((xdrproc_t)xdr_peer_handover_args, &args, &batch->body);
  batch->keys = handover->keys;
  batch->nkeys = handover->nsessions;
  *handover->tail = batch;
  handover->tail = &batch->next;
  for (i = 0; i < handover->nsessions; i++)
    session_clear (&handover->sessions[i]);
  free (handover->sessions);
  handover->sessions = NULL;
  handover->keys = NULL;
  handover->nsessions = 0;
  handover->bytes = 0;
}

static void
session_export (void *arg, const co_led_session_t *from)
{
  peer_handover_t *handover = arg;
  const pr_options_t *o = &handover->peers->options;
  peer_session *to;
  size_t i;

  handover->sessions = el_grow (handover->sessions, handover->nsessions + 1,
                                sizeof *handover->sessions);
  handover->keys = el_grow (handover->keys, handover->nsessions + 1,
                            sizeof *handover->keys);
  handover->keys[handover->nsessions] = from->key;
  to = &handover->sessions[handover->nsessions++];
  memcpy (to->home, from->key.home.byte, CO_INCARNATION_BYTES);
  to->id = from->key.id;
  to->floor = from->floor;
  PEER_BYTES_SET (to->customer, customer, from->customer);
  to->entries.entries_val
      = el_alloc ((from->nentries + 1) * sizeof (peer_entry));
  to->entries.entries_len = (u_int)from->nentries;
  for (i = 0; i < from->nentries; i++)
    {
      peer_entry *entry = &to->entries.entries_val[i];

      entry->sequence = from->entries[i].sequence;
      entry->digest = from->entries[i].digest;
      if (!from->entries[i].ended)
        continue;
      entry->answer = el_alloc (sizeof *entry->answer);
      o->ops->encode_answer (o->arg, from->entries[i].answer, entry->answer);
      handover->bytes += from->entries[i].bytes;
    }
  if (handover->bytes > BATCH_BYTES
      || handover->nsessions == PEER_SESSIONS_MAX)
    batch_close (handover);
}

static void
batch_free (batch_t *batch)
{
  el_buf_free (&batch->body);
  free (batch->keys);
  free (batch);
}

/* End the handover. COMPLETE says that all batches were acknowledged. */
static void
handover_finish (peer_handover_t *handover, int complete)
{
  pr_peers_t *peers = handover->peers;
  batch_t *batch;

  while ((batch = handover->batches))
    {
      handover->batches = batch->next;
      batch_free (batch);
    }
  if (complete && peers->successor.peer.len)
    co_members_set_successor (peers->members, &peers->successor.incarnation);
  EL_LOG (EL_LOG_INFO, "handed_over",
          EL_FS ("successor", peers->successor.peer),
          EL_FN ("whole", complete));
  peers->handover = NULL;
  handover->done (handover->arg);
  free (handover);
}

static int
successor_select (pr_peers_t *peers)
{
  const co_member_t *member = co_members_pick_available (peers->members);

  el_str_free (&peers->successor.peer);
  el_str_free (&peers->successor.http);
  if (!member)
    return 0;
  peers->successor.incarnation = member->incarnation;
  peers->successor.peer = el_str_dup (member->peer);
  peers->successor.http = el_str_dup (member->http);
  return 1;
}

/* Mark the sessions that the successor accepted as moved. Those that it
   refused, or all of them when RES is NULL as nothing was sent, stay sealed on
   this host. */
static void
batch_mark_moved (peer_handover_t *handover, const batch_t *batch,
                  const peer_handover_res *res)
{
  size_t i;

  for (i = 0; i < batch->nkeys; i++)
    co_ledger_set_moved (handover->peers->options.ledger, &batch->keys[i],
                         res && i < res->taken.taken_len
                             && res->taken.taken_val[i]);
}

static void
batch_done (void *arg, int ok, int sent, el_str_t body)
{
  peer_handover_t *handover = arg;
  pr_peers_t *peers = handover->peers;
  batch_t *batch = handover->batches;
  peer_handover_res res;

  memset (&res, 0, sizeof res);
  if (ok && peer_xdr_decode ((xdrproc_t)xdr_peer_handover_res, body, &res))
    {
      batch_mark_moved (handover, batch, &res);
      peers->handover_started = 1;
      handover->attempts = 0;
      handover->batches = batch->next;
      batch_free (batch);
      batch_send (handover, 0);
    }
  else if (++handover->attempts >= HANDOVER_ATTEMPTS_MAX)
    handover_finish (handover, 0);
  else
    {
      if (sent)
        peers->handover_started = 1;
      else if (!peers->handover_started)
        {
          batch_mark_moved (handover, batch, NULL);
          successor_select (peers);
        }
      net_clock_set (peers->options.clock, &handover->retry,
                     HANDOVER_RETRY_DELAY);
    }
  xdr_free ((xdrproc_t)xdr_peer_handover_res, (char *)&res);
}

static void
batch_send (void *arg, el_time_t now)
{
  peer_handover_t *handover = arg;
  batch_t *batch = handover->batches;
  size_t i;

  (void)now;
  if (!batch || !handover->peers->successor.peer.len)
    {
      handover_finish (handover, !batch);
      return;
    }
  for (i = 0; i < batch->nkeys; i++)
    co_ledger_set_moved (handover->peers->options.ledger, &batch->keys[i], 1);
  net_rpc_call (handover->peers->rpc, handover->peers->successor.peer,
                PEER_HANDOVER, el_buf_str (&batch->body), HANDOVER_TIMEOUT,
                batch_done, handover);
}

/** Hand the sessions over to another host. A second call updates the same host
    with the requests that have ended since. DONE is called once. The ledger
    must be sealed. */
void
pr_peers_hand_over (pr_peers_t *peers, pr_done_cb done, void *arg)
{
  peer_handover_t *handover = el_alloc (sizeof *handover);

  handover->peers = peers;
  handover->done = done;
  handover->arg = arg;
  handover->tail = &handover->batches;
  handover->retry.cb = batch_send;
  handover->retry.arg = handover;
  peers->handover = handover;
  co_ledger_export (peers->options.ledger, session_export, handover);
  batch_close (handover);
  if (!peers->handover_started)
    successor_select (peers);
  net_clock_set (peers->options.clock, &handover->retry, 0);
}

/* The last handover of a stopping host, after which it announces its
   successor. */
typedef struct final_handover
{
  pr_peers_t *peers;
  pr_done_cb done;
  void *arg;
} final_handover_t;

static void
final_gossip_done (void *arg, int ok, int sent, el_str_t body)
{
  final_handover_t *final_handover = arg;

  (void)ok;
  (void)sent;
  (void)body;
  final_handover->done (final_handover->arg);
  free (final_handover);
}

/* Announce the successor to the successor itself, which gossips it to the
   other hosts. */
static void
final_gossip_send (void *arg)
{
  final_handover_t *final_handover = arg;
  pr_peers_t *peers = final_handover->peers;
  el_buf_t body = { NULL, 0, 0 };

  peer_gossip_encode (peers, &peers->successor.incarnation, &body);
  net_rpc_call (peers->rpc, peers->successor.peer, PEER_GOSSIP,
                el_buf_str (&body), HANDOVER_TIMEOUT, final_gossip_done,
                final_handover);
  el_buf_free (&body);
}

/** Send the successor the requests that have ended since the sessions were
    handed over, then call DONE. Called when no request runs on this host any
    more. */
void
pr_peers_final_handover (pr_peers_t *peers, pr_done_cb done, void *arg)
{
  final_handover_t *final_handover;

  if (!peers->handover_started)
    {
      done (arg);
      return;
    }
  final_handover = el_alloc (sizeof *final_handover);
  final_handover->peers = peers;
  final_handover->done = done;
  final_handover->arg = arg;
  pr_peers_hand_over (peers, final_gossip_send, final_handover);
}

/** The host to which this host's sessions were handed over. */
const pr_session_home_t *
pr_peers_successor (const pr_peers_t *peers)
{
  return &peers->successor;
}

static int
session_import (pr_peers_t *peers, const peer_session *from)
{
  const pr_options_t *o = &peers->options;
  co_led_session_t session;
  el_status_t status;
  u_int i;

  memcpy (session.key.home.byte, from->home, CO_INCARNATION_BYTES);
  session.key.id = from->id;
  session.floor = from->floor;
  session.customer = PEER_BYTES_GET (from->customer, customer);
  session.nentries = from->entries.entries_len;
  session.entries
      = el_alloc ((session.nentries + 1) * sizeof *session.entries);
  for (i = 0; i < from->entries.entries_len; i++)
    {
      const peer_entry *entry = &from->entries.entries_val[i];
      size_t bytes = 0;
      void *answer = NULL;

      if (entry->answer)
        answer = o->ops->decode_answer (o->arg, entry->answer, &bytes);

      session.entries[i] = (co_led_entry_t){
        .sequence = entry->sequence,
        .digest = entry->digest,
        .ended = answer != NULL,
        .answer = answer,
        .bytes = bytes,
      };
    }
  status = co_ledger_import (o->ledger, net_clock_now (o->clock), &session);
  free (session.entries);
  return status == EL_OK;
}

/** Accept the sessions of a stopping host. */
void
peer_serve_handover (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body)
{
  el_buf_t out = { NULL, 0, 0 };
  peer_handover_args args;
  peer_handover_res res;
  u_int i;

  memset (&args, 0, sizeof args);
  memset (&res, 0, sizeof res);
  if (peer_xdr_decode ((xdrproc_t)xdr_peer_handover_args, body, &args))
    {
      res.taken.taken_len = args.sessions.sessions_len;
      res.taken.taken_val
          = el_alloc ((args.sessions.sessions_len + 1) * sizeof (bool_t));
      for (i = 0; i < args.sessions.sessions_len; i++)
        res.taken.taken_val[i]
            = session_import (peers, &args.sessions.sessions_val[i]);
      EL_LOG (EL_LOG_INFO, "taken_over",
              EL_FN ("sessions", args.sessions.sessions_len));
      peer_xdr_encode ((xdrproc_t)xdr_peer_handover_res, &res, &out);
    }
  else
    peers->counts.refused++;
  peers->options.ops->handover_received (peers->options.arg);
  net_rpc_reply (req, el_buf_str (&out));
  free (res.taken.taken_val);
  xdr_free ((xdrproc_t)xdr_peer_handover_args, (char *)&args);
  el_buf_free (&out);
}
