/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Store updates between the hosts of a hall. A request stays pending until the
 * host that received it has something to reply: further keys or changes, or
 * the next answer of the store, so that the reply is up to date.
 */
#include <stdlib.h>
#include <string.h>

#include "libpeer.h"

/* A request that stays pending is replied to after this time, with what there
   is, to show that the host is alive. */
#define PENDING_MAX (500 * EL_MSEC)
#define UPDATE_TIMEOUT (1000 * EL_MSEC)
/* Longest wait for members after the start. */
#define DISCOVERY_MAX (400 * EL_MSEC)
/* Data that is newer than the requester's by less than this does not trigger
   an immediate reply: both may have it from the same host. */
#define NEWER_MIN (50 * EL_MSEC)
#define PERMILLE 1000
#define PERCENT 100

/* A request of another host, pending this host's reply. */
typedef struct peer_pending_request
{
  net_rpc_req_t *req;
  pr_store_query_t query; /* owns its cursor */
  el_time_t reports_after;
  el_time_t received_at;
  struct peer_pending_request *next;
} peer_pending_request_t;

/* A request of this host, pending its reply. */
typedef struct peer_update_request
{
  pr_peers_t *peers;
  co_incarnation_t host;
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
engines_encode (const pr_peers_t *peers, el_time_t after, peer_news_res *res)
{
  pr_engine_report_t *list = NULL;
  size_t n = peers->options.ops->engines (peers->options.arg, after, &list);
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

static void
pending_free (peer_pending_request_t *pending)
{
  el_str_free (&pending->query.cursor);
  free (pending);
}

/* Reply to a pending request with UPDATE and engine reports, and free it. A
   host that reads all keys needs the reports once it has them. */
static void
update_reply (pr_peers_t *peers, peer_pending_request_t *pending,
              const pr_store_update_t *update)
{
  pr_engine_report_t *engines = NULL;
  el_buf_t out = { NULL, 0, 0 };
  peer_news_res res;

  memset (&res, 0, sizeof res);
  res.state = (int)update->state;
  res.more = update->more;
  res.epoch = update->at.epoch;
  res.revision = update->at.revision;
  res.sequence = update->sequence;
  res.gap_from = update->gap.from;
  res.gap_to = update->gap.to;
  res.newest_page = update->newest_page;
  res.known = update->as_of != 0;
  res.known_after = (int64_t)update->as_of - (int64_t)pending->received_at;
  items_encode (update, &res);
  if (!pending->query.read)
    {
      engines = engines_encode (peers, pending->reports_after, &res);
      res.reports_at = net_clock_now (peers->options.clock);
    }
  peer_xdr_encode ((xdrproc_t)xdr_peer_news_res, &res, &out);
  net_rpc_reply (pending->req, el_buf_str (&out));
  free (res.engines.engines_val);
  free (engines);
  free (res.items.items_val);
  el_buf_free (&out);
  pending_free (pending);
}

/* Whether UPDATE, for a request just received, is replied at once: this host
   has newer data or further keys, or the requester has to read all keys. */
static int
update_is_news (pr_peers_t *peers, const peer_pending_request_t *pending,
                const pr_store_update_t *update, uint64_t known_ago)
{
  if (update->state != PR_UPDATE_CHANGES)
    return update->state != PR_UPDATE_NONE;
  return update->more
         || peers->options.ops->store_known_until (peers->options.arg)
                    + known_ago
                > pending->received_at + NEWER_MIN;
}

static void
pending_schedule (pr_peers_t *peers)
{
  const peer_pending_request_t *pending;
  el_time_t now = net_clock_now (peers->options.clock);
  el_time_t due = EL_TIME_NEVER;

  LL_FOREACH (peers->pending_requests, pending)
  if (pending->received_at + PENDING_MAX < due)
    due = pending->received_at + PENDING_MAX;
  if (due != EL_TIME_NEVER)
    net_clock_set (peers->options.clock, &peers->pending_timer,
                   due > now ? due - now : 0);
}

/** Reply to a request for store updates, or leave it pending. */
void
peer_serve_news (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body)
{
  const pr_ops_t *ops = peers->options.ops;
  peer_news_args args;
  peer_pending_request_t *pending;
  pr_store_update_t update = { 0 };

  memset (&args, 0, sizeof args);
  if (!peer_xdr_decode ((xdrproc_t)xdr_peer_news_args, body, &args))
    {
      peers->counts.refused++;
      net_rpc_reply (req, (el_str_t){ NULL, 0 });
      xdr_free ((xdrproc_t)xdr_peer_news_args, (char *)&args);
      return;
    }
  pending = el_alloc (sizeof *pending);
  pending->req = req;
  pending->query = (pr_store_query_t){
    .after = { args.epoch, args.after },
    .read = args.read,
    .cursor = el_str_dup (PEER_BYTES_GET (args.cursor, cursor)),
    .sequence = args.sequence,
  };
  pending->reports_after = args.reports_after;
  pending->received_at = net_clock_now (peers->options.clock);
  if (args.epoch > ops->store_position (peers->options.arg).epoch)
    ops->epoch (peers->options.arg, args.epoch);
  if (args.stand_in)
    ops->stand_in (peers->options.arg);
  ops->store_update (peers->options.arg, &pending->query, &update);
  if (update_is_news (peers, pending, &update, args.known_ago))
    update_reply (peers, pending, &update);
  else
    {
      LL_PREPEND (peers->pending_requests, pending);
      pending_schedule (peers);
    }
  free (update.items);
  xdr_free ((xdrproc_t)xdr_peer_news_args, (char *)&args);
}

/** Reply to the pending requests for which there is something; called when
    this host got an answer of the store or has polled the engines. */
void
pr_peers_reply_pending (pr_peers_t *peers)
{
  peer_pending_request_t *pending;
  peer_pending_request_t *next;

  LL_FOREACH_SAFE (peers->pending_requests, pending, next)
  {
    pr_store_update_t update = { 0 };

    peers->options.ops->store_update (peers->options.arg, &pending->query,
                                      &update);
    if (update.state != PR_UPDATE_NONE)
      {
        LL_DELETE (peers->pending_requests, pending);
        update_reply (peers, pending, &update);
      }
    free (update.items);
  }
}

static void
pending_timer_fired (void *arg, el_time_t now)
{
  pr_peers_t *peers = arg;
  peer_pending_request_t *pending;
  peer_pending_request_t *next;

  LL_FOREACH_SAFE (peers->pending_requests, pending, next)
  {
    pr_store_update_t update = { 0 };

    if (now < pending->received_at + PENDING_MAX)
      continue;
    LL_DELETE (peers->pending_requests, pending);
    peers->options.ops->store_update (peers->options.arg, &pending->query,
                                      &update);
    update_reply (peers, pending, &update);
    free (update.items);
  }
  pending_schedule (peers);
}

static void
update_decode (const peer_update_request_t *request, const peer_news_res *res)
{
  pr_store_update_t update
      = { .state = (pr_update_state_t)res->state,
          .more = res->more,
          .at = { res->epoch, res->revision },
          .sequence = res->sequence,
          .gap = { res->gap_from, res->gap_to },
          .newest_page = res->newest_page,
          .as_of = res->known
                       ? (el_time_t)((int64_t)request->sent + res->known_after)
                       : 0 };
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
  if (res->reports_at)
    {
      request->peers->reports_from = request->host;
      request->peers->reports_at = res->reports_at;
    }
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
      && res.state >= PR_UPDATE_NONE && res.state <= PR_UPDATE_READ_ALL)
    update_decode (request, &res);
  else
    request->done (request->arg, NULL);
  xdr_free ((xdrproc_t)xdr_peer_news_res, (char *)&res);
  free (request);
}

/** Whether this host is the first of its hall. */
int
pr_peers_is_first_in_hall (const pr_peers_t *peers)
{
  return co_members_is_top_ranked (peers->members, 1);
}

/** The feed that decides whom this host asks for store updates. */
co_feed_t *
pr_peers_feed (const pr_peers_t *peers)
{
  return peers->feed;
}

/** Create the feed. */
void
peer_news_init (pr_peers_t *peers)
{
  const co_feed_options_t options
      = { .members = peers->members,
          .readers = peers->options.store_followers,
          .discovery = DISCOVERY_MAX,
          .born = net_clock_now (peers->options.clock),
          .seed = peers->options.seed };

  peers->feed = co_feed_new (&options);
  peers->pending_timer.cb = pending_timer_fired;
  peers->pending_timer.arg = peers;
}

/** Request store updates from HOST. With STAND_IN set it is to ask the store
    in this host's place. */
void
pr_peers_request_update (pr_peers_t *peers, const co_member_t *host,
                         const pr_store_query_t *query, int stand_in,
                         pr_store_update_cb done, void *arg)
{
  el_time_t now = net_clock_now (peers->options.clock);
  peer_news_args args
      = { .epoch = query->after.epoch,
          .after = query->after.revision,
          .known_ago
          = now - peers->options.ops->store_known_until (peers->options.arg),
          .read = query->read,
          .stand_in = stand_in,
          .sequence = query->sequence };
  el_buf_t body = { NULL, 0, 0 };
  peer_update_request_t *request = el_alloc (sizeof *request);

  request->peers = peers;
  request->host = host->incarnation;
  request->sent = now;
  if (co_incarnation_eq (&peers->reports_from, &host->incarnation))
    args.reports_after = peers->reports_at;
  request->done = done;
  request->arg = arg;
  PEER_BYTES_SET (args.cursor, cursor, query->cursor);
  peer_xdr_encode ((xdrproc_t)xdr_peer_news_args, &args, &body);
  net_rpc_call (peers->rpc, host->peer, PEER_NEWS, el_buf_str (&body),
                UPDATE_TIMEOUT, update_done, request);
  el_buf_free (&body);
}
