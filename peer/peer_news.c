/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * News of the store between hosts of a hall: one or a few follow the store,
 * the others ask the first of them. A question waits until the host that is
 * asked has heard of the store again, so that the news are fresh.
 */
#include <stdlib.h>
#include <string.h>

#include "libpeer.h"

/* A host that follows the store hears of it, or of its hall's engines, several
   times in this. */
#define NEWS_TIMEOUT (1300 * EL_MSEC)
/* A host is not asked for this long after its news failed. */
#define BLAME_HOLD (5 * EL_SEC)
/* So many hosts of a hall are asked by turns while news are old. */
#define NEWS_SOURCES 3
/* What is newer than the asker's by less than this is not told at once: both
   may have it from the same host. */
#define NEWER_LEAST (50 * EL_MSEC)
#define PERMILLE 1000
#define PERCENT 100

/* A question that waits. */
typedef struct peer_asker
{
  net_rpc_req_t *req;
  pr_position_t after;
  el_time_t came;
  struct peer_asker *next;
} peer_asker_t;

/* A question of this host's own. */
typedef struct peer_question
{
  pr_peers_t *peers;
  el_time_t sent;
  pr_news_cb done;
  void *arg;
} peer_question_t;

/** Below, at or above 0 where A lies before, at or behind B. */
int
pr_position_cmp (pr_position_t a, pr_position_t b)
{
  if (a.epoch != b.epoch)
    return a.epoch < b.epoch ? -1 : 1;
  return (a.revision > b.revision) - (a.revision < b.revision);
}

/* Put what is known of engines into an answer; gives the list to free. */
static pr_engine_t *
engines_write (const pr_peers_t *peers, peer_news_res *res)
{
  pr_engine_t *list = NULL;
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
engines_read (const pr_peers_t *peers, const peer_news_res *res)
{
  pr_engine_t *list;
  u_int i;

  if (res->engines.engines_len == 0)
    return;
  list = el_alloc (res->engines.engines_len * sizeof *list);
  for (i = 0; i < res->engines.engines_len; i++)
    {
      const peer_engine *engine = &res->engines.engines_val[i];

      list[i] = (pr_engine_t){
        .id = PEER_BYTES_GET (engine->id, id),
        .born = engine->born,
        .fill = (double)engine->fill_permille / PERMILLE,
        .pace = (double)engine->pace_percent / PERCENT,
        .taken = (double)engine->taken_permille / PERMILLE,
        .age = engine->age_ms * EL_MSEC,
        .silent = engine->silent,
      };
    }
  peers->options.ops->engines_heard (peers->options.arg, list,
                                     res->engines.engines_len);
  free (list);
}

static void
items_write (const pr_news_t *news, peer_news_res *res)
{
  size_t i;

  res->items.items_val = el_alloc ((news->n + 1) * sizeof (peer_item));
  res->items.items_len = (u_int)news->n;
  for (i = 0; i < news->n; i++)
    {
      peer_item *item = &res->items.items_val[i];

      item->revision = news->items[i].revision;
      item->gone = news->items[i].gone;
      PEER_BYTES_SET (item->key, key, news->items[i].key);
      PEER_BYTES_SET (item->value, value, news->items[i].value);
    }
}

/* Tell a host that waits what this one has seen of the store, and its engines.
 */
static void
news_answer (pr_peers_t *peers, const peer_asker_t *asker)
{
  pr_engine_t *engines;
  el_buf_t out = { NULL, 0, 0 };
  peer_news_res res;
  pr_news_t news = { 0 };

  memset (&res, 0, sizeof res);
  res.ready
      = peers->options.ops->news (peers->options.arg, asker->after, &news)
        && news.as_of != 0;
  res.whole = news.whole;
  res.epoch = news.at.epoch;
  res.revision = news.at.revision;
  res.known_after = (int64_t)news.as_of - (int64_t)asker->came;
  items_write (&news, &res);
  engines = engines_write (peers, &res);
  peer_xdr_write ((xdrproc_t)xdr_peer_news_res, &res, &out);
  net_rpc_reply (asker->req, el_buf_str (&out));
  free (res.engines.engines_val);
  free (engines);
  free (res.items.items_val);
  free (news.items);
  el_buf_free (&out);
}

/* Whether a question is answered at once: this host knows something newer, or
   lags behind the asker's epoch and has nothing to tell. */
static int
news_due (pr_peers_t *peers, const peer_asker_t *asker, uint64_t known_ago)
{
  const pr_ops_t *ops = peers->options.ops;
  uint64_t epoch = ops->position (peers->options.arg).epoch;

  if (asker->after.epoch > epoch)
    ops->epoch (peers->options.arg, asker->after.epoch);
  return asker->after.epoch != epoch
         || ops->known (peers->options.arg) + known_ago
                > asker->came + NEWER_LEAST;
}

/** Another host asks for news. */
void
peer_serve_news (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body)
{
  peer_news_args args = { 0 };
  peer_asker_t *asker;

  if (!peer_xdr_read ((xdrproc_t)xdr_peer_news_args, body, &args))
    {
      net_rpc_reply (req, (el_str_t){ NULL, 0 });
      return;
    }
  asker = el_alloc (sizeof *asker);
  asker->req = req;
  asker->after = (pr_position_t){ args.epoch, args.after };
  asker->came = net_clock_now (peers->options.clock);
  if (news_due (peers, asker, args.known_ago))
    {
      news_answer (peers, asker);
      free (asker);
      return;
    }
  LL_PREPEND (peers->askers, asker);
}

/** This host has heard of the store: answer those who wait. */
void
pr_peers_heard (pr_peers_t *peers)
{
  peer_asker_t *asker;

  while ((asker = peers->askers))
    {
      LL_DELETE (peers->askers, asker);
      news_answer (peers, asker);
      free (asker);
    }
}

static void
news_read (const peer_question_t *question, const peer_news_res *res)
{
  pr_news_t news
      = { .whole = res->whole,
          .at = { res->epoch, res->revision },
          .as_of = (el_time_t)((int64_t)question->sent + res->known_after) };
  u_int i;

  news.items = el_alloc ((res->items.items_len + 1) * sizeof *news.items);
  for (i = 0; i < res->items.items_len; i++)
    {
      const peer_item *item = &res->items.items_val[i];

      news.items[news.n++]
          = (pr_item_t){ .key = PEER_BYTES_GET (item->key, key),
                         .value = PEER_BYTES_GET (item->value, value),
                         .revision = item->revision,
                         .gone = item->gone };
    }
  engines_read (question->peers, res);
  question->done (question->arg, &news);
  free (news.items);
}

static void
news_done (void *arg, int ok, int sent, el_str_t body)
{
  peer_question_t *question = arg;
  peer_news_res res;

  (void)sent;
  memset (&res, 0, sizeof res);
  if (ok && peer_xdr_read ((xdrproc_t)xdr_peer_news_res, body, &res)
      && res.ready)
    news_read (question, &res);
  else
    question->done (question->arg, NULL);
  xdr_free ((xdrproc_t)xdr_peer_news_res, (char *)&res);
  free (question);
}

/* Whether the news of a host failed lately. */
static int
news_blamed (void *arg, const co_member_t *member)
{
  const pr_peers_t *peers = arg;
  el_time_t now = net_clock_now (peers->options.clock);
  size_t i;

  for (i = 0; i < PEER_BLAMES; i++)
    if (now < peers->blames[i].until
        && co_incarnation_eq (&peers->blames[i].incarnation,
                              &member->incarnation))
      return 1;
  return 0;
}

static int
news_skip_none (void *arg, const co_member_t *member)
{
  (void)arg;
  (void)member;
  return 0;
}

/** The host that was asked last could not tell, though the store answers. */
void
pr_peers_blame_news (pr_peers_t *peers)
{
  peer_blame_t *blame = &peers->blames[peers->next_blame++ % PEER_BLAMES];

  blame->incarnation = peers->asked;
  blame->until = net_clock_now (peers->options.clock) + BLAME_HOLD;
}

/** Whether this host comes first in its hall. */
int
pr_peers_leads (const pr_peers_t *peers)
{
  const co_member_t *first
      = co_members_first (peers->members, NULL, news_skip_none, NULL);

  return first
         && co_incarnation_eq (&first->incarnation,
                               &peers->options.incarnation);
}

/* The host of this hall to ask; NULL when this one should ask the store. One
   that is asked need not follow the store: it passes on what it is told. Where
   news were OLD so many times in a row, the next ones are asked by turns: they
   may have asked the store. */
static const co_member_t *
news_source (pr_peers_t *peers, unsigned old)
{
  const co_member_t *self
      = co_members_find (peers->members, &peers->options.incarnation);
  const co_member_t *first;
  const co_member_t *from;
  unsigned i;

  if (co_members_chosen (peers->members, peers->options.store_followers))
    return NULL;
  first = co_members_first (peers->members, NULL, news_blamed, peers);
  if (!first || first == self)
    return NULL;
  from = first;
  for (i = 0; from && i < old % NEWS_SOURCES; i++)
    from = co_members_first (peers->members, from, news_blamed, peers);
  return from && from != self ? from : first;
}

/** Ask a host of this hall that follows the store, where OLD such questions in
    a row had old answers; gives 0 when this host follows it itself, or knows
    none. */
int
pr_peers_ask_news (pr_peers_t *peers, pr_position_t after, unsigned old,
                   pr_news_cb done, void *arg)
{
  peer_news_args args = { .epoch = after.epoch, .after = after.revision };
  el_time_t now = net_clock_now (peers->options.clock);
  el_buf_t body = { NULL, 0, 0 };
  peer_question_t *question;
  const co_member_t *from = news_source (peers, old);

  if (!from)
    return 0;
  peers->asked = from->incarnation;
  question = el_alloc (sizeof *question);
  question->peers = peers;
  question->sent = now;
  args.known_ago = now - peers->options.ops->known (peers->options.arg);
  question->done = done;
  question->arg = arg;
  peer_xdr_write ((xdrproc_t)xdr_peer_news_args, &args, &body);
  net_rpc_call (peers->rpc, from->peer, PEER_NEWS, el_buf_str (&body),
                NEWS_TIMEOUT, news_done, question);
  el_buf_free (&body);
  return 1;
}
