/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * News of the store between hosts of a hall: a few follow the store, the
 * others ask one of them. A question waits until the host that is asked has
 * heard of the store again, so that the news are fresh.
 */
#include <stdlib.h>
#include <string.h>

#include "libpeer.h"

/* A host that follows the store hears of it about every second. */
#define NEWS_TIMEOUT (2500 * EL_MSEC)

/* A question that waits. */
typedef struct peer_asker
{
  net_rpc_req_t *req;
  uint64_t after;
  el_time_t came;
  struct peer_asker *next;
} peer_asker_t;

/* A question of this host's own. */
typedef struct peer_question
{
  gt_peers_t *peers;
  el_time_t sent;
  gt_news_cb done;
  void *arg;
} peer_question_t;

/** Where news for other hosts come from. */
void
gt_peers_follow (gt_peers_t *peers, gt_follow_t *follow)
{
  peers->follow = follow;
}

static void
news_answer (gt_peers_t *peers, const peer_asker_t *asker)
{
  el_buf_t out = { NULL, 0, 0 };
  peer_news_res res;
  gt_news_t news;
  size_t i;

  memset (&res, 0, sizeof res);
  gt_follow_tell (peers->follow, asker->after, &news);
  res.ready = news.as_of != 0;
  res.whole = news.whole;
  res.revision = news.revision;
  res.known_after = (int64_t)news.as_of - (int64_t)asker->came;
  res.items.items_val = el_alloc ((news.n + 1) * sizeof (peer_item));
  res.items.items_len = (u_int)news.n;
  for (i = 0; i < news.n; i++)
    {
      peer_item *item = &res.items.items_val[i];

      item->revision = news.items[i].revision;
      item->gone = news.items[i].gone;
      PEER_BYTES_SET (item->key, key, news.items[i].key);
      PEER_BYTES_SET (item->value, value, news.items[i].value);
    }
  peer_xdr_write ((xdrproc_t)xdr_peer_news_res, &res, &out);
  net_rpc_reply (asker->req, el_buf_str (&out));
  free (res.items.items_val);
  free (news.items);
  el_buf_free (&out);
}

/** Another host asks for news. */
void
peer_serve_news (gt_peers_t *peers, net_rpc_req_t *req, el_str_t body)
{
  peer_news_args args = { 0 };
  peer_asker_t *asker;

  if (!peers->follow
      || !peer_xdr_read ((xdrproc_t)xdr_peer_news_args, body, &args))
    {
      net_rpc_reply (req, (el_str_t){ NULL, 0 });
      return;
    }
  asker = el_alloc (sizeof *asker);
  asker->req = req;
  asker->after = args.after;
  asker->came = net_clock_now (&peers->gate->clock);
  LL_PREPEND (peers->askers, asker);
}

/** This host has heard of the store: answer those who wait. */
void
gt_peers_heard (gt_peers_t *peers)
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
  gt_news_t news
      = { .whole = res->whole,
          .revision = res->revision,
          .as_of = (el_time_t)((int64_t)question->sent + res->known_after) };
  u_int i;

  news.items = el_alloc ((res->items.items_len + 1) * sizeof *news.items);
  for (i = 0; i < res->items.items_len; i++)
    {
      const peer_item *item = &res->items.items_val[i];

      news.items[news.n++]
          = (gt_store_item_t){ .key = PEER_BYTES_GET (item->key, key),
                               .value = PEER_BYTES_GET (item->value, value),
                               .revision = item->revision,
                               .gone = item->gone };
    }
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

/** Ask a host of this hall that follows the store; gives 0 when this host is
    one of those, or knows none. */
int
gt_peers_ask_news (gt_peers_t *peers, uint64_t after, gt_news_cb done,
                   void *arg)
{
  peer_news_args args = { .after = after };
  el_buf_t body = { NULL, 0, 0 };
  peer_question_t *question;
  const co_member_t *from;
  size_t most = peers->gate->options.store_followers;

  if (co_members_chosen (peers->members, most))
    return 0;
  from = co_members_source (peers->members, most);
  if (!from)
    return 0;
  question = el_alloc (sizeof *question);
  question->peers = peers;
  question->sent = net_clock_now (&peers->gate->clock);
  question->done = done;
  question->arg = arg;
  peer_xdr_write ((xdrproc_t)xdr_peer_news_args, &args, &body);
  net_rpc_call (peers->rpc, from->peer, PEER_NEWS, el_buf_str (&body),
                NEWS_TIMEOUT, news_done, question);
  el_buf_free (&body);
  return 1;
}
