/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Store updates between the hosts of a hall: one or a few hosts poll the
 * store, the others request updates from the first of these. A request stays
 * pending until the host that received it gets the next answer of the store,
 * so that the reply is up to date.
 */
#include <stdlib.h>
#include <string.h>

#include "libpeer.h"

/* Several times the longest interval in which a host that polls the store gets
   no answer from it or from the engines of its hall. */
#define UPDATE_TIMEOUT (1300 * EL_MSEC)
/* No updates are requested for this long from a host whose updates failed. */
#define FAILED_SOURCE_HOLD (5 * EL_SEC)
/* Number of hosts of a hall that requests rotate through while updates are
   stale. */
#define SOURCES_MAX 3
/* Data that is newer than the requester's by less than this does not trigger
   an immediate reply: both may have it from the same host. */
#define NEWER_MIN (50 * EL_MSEC)
#define PERMILLE 1000
#define PERCENT 100

/* A request of another host, pending this host's reply. */
typedef struct peer_pending_request
{
  net_rpc_req_t *req;
  pr_store_position_t after;
  el_time_t received_at;
  struct peer_pending_request *next;
} peer_pending_request_t;

/* A request of this host, pending its reply. */
typedef struct peer_update_request
{
  pr_peers_t *peers;
  el_time_t sent;
  pr_store_update_cb done;
  void *arg;
} peer_update_request_t;

/** Returns a value below, equal to or above 0 when A is before, at or after B.
 */
int
pr_store_position_cmp (pr_store_position_t a, pr_store_position_t b)
{
  if (a.epoch != b.epoch)
    return a.epoch < b.epoch ? -1 : 1;
  return (a.revision > b.revision) - (a.revision < b.revision);
}

/* Encode this host's engine reports into a reply; returns the list that their
   strings point into, for the caller to free. */
static pr_engine_report_t *
engines_encode (const pr_peers_t *peers, peer_news_res *res)
{
  pr_engine_report_t *list = NULL;
  size_t n = peers->options.ops->engines (peers->options.arg, &list);
  size_t i;

  res->engines.engines_val = el_alloc ((n + 1) * sizeof (peer_engine));
  res->engines.engines_len = (u_int)n;
  for (i = 0; i < n; i++)
    {
      peer_engine *engine = &res->engines.engines_val[i];

      PEER_BYTES_SET (engine->id, id, list[i].id);
      engine->born = list[i].born;
      engine->fill_permille = (u_int)(list[i].fill * PERMILLE);
      engine->pace_percent = (u_int)(list[i].pace * PERCENT);
      engine->taken_permille = (u_int)(list[i].taken * PERMILLE);
      engine->age_ms = (u_int)(list[i].age / EL_MSEC);
      engine->silent = list[i].silent;
    }
  return list;
}

static void
engines_decode (const pr_peers_t *peers, const peer_news_res *res)
{
  pr_engine_report_t *list;
  u_int i;

  if (res->engines.engines_len == 0)
    return;
  list = el_alloc (res->engines.engines_len * sizeof *list);
  for (i = 0; i < res->engines.engines_len; i++)
    {
      const peer_engine *engine = &res->engines.engines_val[i];

      list[i] = (pr_engine_report_t){
        .id = PEER_BYTES_GET (engine->id, id),
        .born = engine->born,
        .fill = (double)engine->fill_permille / PERMILLE,
        .pace = (double)engine->pace_percent / PERCENT,
        .taken = (double)engine->taken_permille / PERMILLE,
        .age = engine->age_ms * EL_MSEC,
        .silent = engine->silent,
      };
    }
  peers->options.ops->receive_engine_reports (peers->options.arg, list,
                                              res->engines.engines_len);
  free (list);
}

static void
items_encode (const pr_store_update_t *update, peer_news_res *res)
{
  size_t i;

  res->items.items_val = el_alloc ((update->n + 1) * sizeof (peer_item));
  res->items.items_len = (u_int)update->n;
  for (i = 0; i < update->n; i++)
    {
      peer_item *item = &res->items.items_val[i];

      item->revision = update->items[i].revision;
      item->gone = update->items[i].gone;
      PEER_BYTES_SET (item->key, key, update->items[i].key);
      PEER_BYTES_SET (item->value, value, update->items[i].value);
    }
}

/* Reply to a pending request with store updates and engine reports. */
static void
update_reply (pr_peers_t *peers, const peer_pending_request_t *pending)
{
  pr_engine_report_t *engines;
  el_buf_t out = { NULL, 0, 0 };
  peer_news_res res;
  pr_store_update_t update = { 0 };

  memset (&res, 0, sizeof res);
  res.ready = peers->options.ops->store_update (peers->options.arg,
                                                pending->after, &update)
              && update.as_of != 0;
  res.whole = update.whole;
  res.epoch = update.at.epoch;
  res.revision = update.at.revision;
  res.known_after = (int64_t)update.as_of - (int64_t)pending->received_at;
  items_encode (&update, &res);
  engines = engines_encode (peers, &res);
  peer_xdr_encode ((xdrproc_t)xdr_peer_news_res, &res, &out);
  net_rpc_reply (pending->req, el_buf_str (&out));
  free (res.engines.engines_val);
  free (engines);
  free (res.items.items_val);
  free (update.items);
  el_buf_free (&out);
}

/* Whether a request is replied to at once: this host has newer data, or is in
   an earlier epoch than the requester and has nothing to offer. */
static int
update_reply_now (pr_peers_t *peers, const peer_pending_request_t *pending,
                  uint64_t known_ago)
{
  const pr_ops_t *ops = peers->options.ops;
  uint64_t epoch = ops->store_position (peers->options.arg).epoch;

  if (pending->after.epoch > epoch)
    ops->epoch (peers->options.arg, pending->after.epoch);
  return pending->after.epoch != epoch
         || ops->store_known_until (peers->options.arg) + known_ago
                > pending->received_at + NEWER_MIN;
}

/** Reply to a request for store updates, or leave it pending. */
void
peer_serve_news (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body)
{
  peer_news_args args = { 0 };
  peer_pending_request_t *pending;

  if (!peer_xdr_decode ((xdrproc_t)xdr_peer_news_args, body, &args))
    {
      net_rpc_reply (req, (el_str_t){ NULL, 0 });
      return;
    }
  pending = el_alloc (sizeof *pending);
  pending->req = req;
  pending->after = (pr_store_position_t){ args.epoch, args.after };
  pending->received_at = net_clock_now (peers->options.clock);
  if (update_reply_now (peers, pending, args.known_ago))
    {
      update_reply (peers, pending);
      free (pending);
      return;
    }
  LL_PREPEND (peers->pending_requests, pending);
}

/** Reply to all pending requests; called when this host got an answer of the
    store or has polled the engines. */
void
pr_peers_reply_pending (pr_peers_t *peers)
{
  peer_pending_request_t *pending;

  while ((pending = peers->pending_requests))
    {
      LL_DELETE (peers->pending_requests, pending);
      update_reply (peers, pending);
      free (pending);
    }
}

static void
update_decode (const peer_update_request_t *request, const peer_news_res *res)
{
  pr_store_update_t update
      = { .whole = res->whole,
          .at = { res->epoch, res->revision },
          .as_of = (el_time_t)((int64_t)request->sent + res->known_after) };
  u_int i;

  update.items = el_alloc ((res->items.items_len + 1) * sizeof *update.items);
  for (i = 0; i < res->items.items_len; i++)
    {
      const peer_item *item = &res->items.items_val[i];

      update.items[update.n++]
          = (pr_store_item_t){ .key = PEER_BYTES_GET (item->key, key),
                               .value = PEER_BYTES_GET (item->value, value),
                               .revision = item->revision,
                               .gone = item->gone };
    }
  engines_decode (request->peers, res);
  request->done (request->arg, &update);
  free (update.items);
}

static void
update_done (void *arg, int ok, int sent, el_str_t body)
{
  peer_update_request_t *request = arg;
  peer_news_res res;

  (void)sent;
  memset (&res, 0, sizeof res);
  if (ok && peer_xdr_decode ((xdrproc_t)xdr_peer_news_res, body, &res)
      && res.ready)
    update_decode (request, &res);
  else
    request->done (request->arg, NULL);
  xdr_free ((xdrproc_t)xdr_peer_news_res, (char *)&res);
  free (request);
}

/* Whether the updates of a host failed within the last FAILED_SOURCE_HOLD. */
static int
source_failed_lately (void *arg, const co_member_t *member)
{
  const pr_peers_t *peers = arg;
  el_time_t now = net_clock_now (peers->options.clock);
  size_t i;

  for (i = 0; i < PEER_FAILED_SOURCES_MAX; i++)
    if (now < peers->failed_sources[i].until
        && co_incarnation_eq (&peers->failed_sources[i].incarnation,
                              &member->incarnation))
      return 1;
  return 0;
}

static int
source_skip_none (void *arg, const co_member_t *member)
{
  (void)arg;
  (void)member;
  return 0;
}

/** For a while, request no updates from the receiver of the last request: it
    had no usable updates although the store answers. */
void
pr_peers_avoid_last_source (pr_peers_t *peers)
{
  peer_failed_source_t *source
      = &peers->failed_sources[peers->next_failed_source++
                               % PEER_FAILED_SOURCES_MAX];

  source->incarnation = peers->last_source;
  source->until = net_clock_now (peers->options.clock) + FAILED_SOURCE_HOLD;
}

/** Whether this host is the first of its hall. */
int
pr_peers_is_first_in_hall (const pr_peers_t *peers)
{
  const co_member_t *first
      = co_members_next_ranked (peers->members, NULL, source_skip_none, NULL);

  return first
         && co_incarnation_eq (&first->incarnation,
                               &peers->options.incarnation);
}

/* The host of this hall to request updates from; NULL when this host should
   poll the store itself. The selected host need not poll the store: it passes
   on what it receives. After STALE_REPLIES consecutive stale replies, the next
   hosts are selected in turn, as they may have polled the store. */
static const co_member_t *
source_select (pr_peers_t *peers, unsigned stale_replies)
{
  const co_member_t *self
      = co_members_find (peers->members, &peers->options.incarnation);
  const co_member_t *first;
  const co_member_t *from;
  unsigned i;

  if (co_members_is_top_ranked (peers->members,
                                peers->options.store_followers))
    return NULL;
  first = co_members_next_ranked (peers->members, NULL, source_failed_lately,
                                  peers);
  if (!first || first == self)
    return NULL;
  from = first;
  for (i = 0; from && i < stale_replies % SOURCES_MAX; i++)
    from = co_members_next_ranked (peers->members, from, source_failed_lately,
                                   peers);
  return from && from != self ? from : first;
}

/** Request store updates from another host of this hall. STALE_REPLIES is the
    number of consecutive stale replies so far. Returns 0 when this host should
    poll the store itself or no other host is known. */
int
pr_peers_request_update (pr_peers_t *peers, pr_store_position_t after,
                         unsigned stale_replies, pr_store_update_cb done,
                         void *arg)
{
  peer_news_args args = { .epoch = after.epoch, .after = after.revision };
  el_time_t now = net_clock_now (peers->options.clock);
  el_buf_t body = { NULL, 0, 0 };
  peer_update_request_t *request;
  const co_member_t *from = source_select (peers, stale_replies);

  if (!from)
    return 0;
  peers->last_source = from->incarnation;
  request = el_alloc (sizeof *request);
  request->peers = peers;
  request->sent = now;
  args.known_ago
      = now - peers->options.ops->store_known_until (peers->options.arg);
  request->done = done;
  request->arg = arg;
  peer_xdr_encode ((xdrproc_t)xdr_peer_news_args, &args, &body);
  net_rpc_call (peers->rpc, from->peer, PEER_NEWS, el_buf_str (&body),
                UPDATE_TIMEOUT, update_done, request);
  el_buf_free (&body);
  return 1;
}
