/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * News of membership: what waits to be passed on, and what messages carry.
 * Members that should be sent nothing any more go first: where many hosts have
 * just started, the news of their starts fill the messages for minutes.
 */
#include <string.h>

#include "libcoord.h"

/* News is passed on this many times the logarithm of the number of members. */
#define NEWS_FACTOR 3
#define NEWS_MIN 4
/* Changes of a message that are left to others than bad ones. */
#define CHANGES_GOOD 2
/* While bad news, or a member that others may not know, were passed on fewer
   times than this, probes come sooner. */
#define SENDS_URGENT 4
/* Messages in a row with another digest than this host's, and none that agrees
   between them, tell that this host missed news. */
#define STRANGE_MOST 6
/* Digests differ for a moment after each change. */
#define STRANGE_AFTER_PERIODS 2
/* All members are not asked for again sooner. */
#define SYNC_GAP_PERIODS 8
/* A host that heard nobody for this long has missed news. It asks several, as
   the first one may have missed them, too. */
#define ALONE_PERIODS 4
#define ALONE_SYNCS 3

static unsigned
news_most (const co_members_t *members)
{
  unsigned most = NEWS_MIN + NEWS_FACTOR * mbr_log2 (members->live + 1);

  return most < MBR_SENDS_MAX ? most : MBR_SENDS_MAX;
}

static void
news_leave (mbr_queue_t *queue, mbr_news_t *news)
{
  if (!news->waits)
    return;
  DL_DELETE (queue->sent[news->sent], news);
  news->waits = 0;
}

static void
news_wait (mbr_queue_t *queue, mbr_news_t *news, mbr_entry_t *entry,
           unsigned sent)
{
  news->entry = entry;
  news->sent = sent;
  news->waits = 1;
  DL_APPEND (queue->sent[sent], news);
}

/** All should learn of a member that they may not know. */
void
mbr_news_whole (mbr_entry_t *entry)
{
  mbr_queue_t *queue = &entry->members->whole;

  news_leave (queue, &entry->whole);
  news_wait (queue, &entry->whole, entry, 0);
}

/** A member changed: all who know it should learn how it is. */
void
mbr_news_change (mbr_entry_t *entry)
{
  co_members_t *members = entry->members;

  news_leave (entry->queue, &entry->change);
  entry->queue = mbr_is_bad (&entry->m) ? &members->bad : &members->good;
  news_wait (entry->queue, &entry->change, entry, 0);
}

/** Tell nothing more of a member. */
void
mbr_news_drop (mbr_entry_t *entry)
{
  news_leave (&entry->members->whole, &entry->whole);
  news_leave (entry->queue, &entry->change);
}

/** Whether there are news that should not wait for the next probe. */
int
mbr_news_urgent (const co_members_t *members)
{
  unsigned i;

  for (i = 0; i < SENDS_URGENT; i++)
    if (members->bad.sent[i] || members->whole.sent[i])
      return 1;
  return 0;
}

/* Take the next of a queue, the least often sent first, into LIST, as far as
   it has room for MOST. */
static size_t
queue_take (mbr_queue_t *queue, unsigned sends, mbr_news_t **list, size_t n,
            size_t most)
{
  mbr_news_t *news;
  unsigned i;

  for (i = 0; i < sends && n < most; i++)
    DL_FOREACH (queue->sent[i], news)
    {
      if (n == most)
        break;
      list[n++] = news;
    }
  return n;
}

/* NEWS was put into a message. */
static void
news_sent (mbr_queue_t *queue, mbr_news_t *news, unsigned sends)
{
  unsigned sent = news->sent + 1;

  news_leave (queue, news);
  if (sent < sends)
    news_wait (queue, news, news->entry, sent);
}

static void
change_write (const mbr_entry_t *entry, co_gossip_t *out)
{
  out->changes[out->nchanges++]
      = (co_change_t){ .incarnation = entry->m.incarnation,
                       .counter = entry->m.counter,
                       .state = entry->m.state,
                       .offer = entry->m.offer };
}

static void
speak_changes (co_members_t *members, const co_incarnation_t *to,
               co_gossip_t *out, unsigned sends)
{
  mbr_news_t *list[CO_NEWS_CHANGES];
  const mbr_entry_t *entry = to ? mbr_entry_find (members, to) : NULL;
  size_t n;
  size_t i;

  /* A host that is doubted here is told, so that it can refute. */
  if (entry && entry->m.state != CO_MBR_ALIVE)
    change_write (entry, out);
  n = queue_take (&members->bad, sends, list, 0,
                  CO_NEWS_CHANGES - CHANGES_GOOD - out->nchanges);
  n = queue_take (&members->good, sends, list, n,
                  CO_NEWS_CHANGES - out->nchanges);
  for (i = 0; i < n; i++)
    {
      change_write (list[i]->entry, out);
      news_sent (list[i]->entry->queue, list[i], sends);
    }
}

static void
speak_members (co_members_t *members, co_gossip_t *out, unsigned sends)
{
  mbr_news_t *list[CO_NEWS_MEMBERS];
  size_t n = queue_take (&members->whole, sends, list, 0, CO_NEWS_MEMBERS);
  size_t i;

  for (i = 0; i < n; i++)
    {
      out->members[out->nmembers++] = list[i]->entry->m;
      news_sent (&members->whole, list[i], sends);
    }
}

static void
speak_leaving (co_members_t *members, co_gossip_t *out, unsigned sends)
{
  mbr_leaving_t *news;
  mbr_leaving_t *next;

  HASH_ITER (hh, members->leaving, news, next)
  if (news->sent < sends && out->nleaving < CO_NEWS_LEAVING)
    {
      news->sent++;
      out->leaving[out->nleaving++] = news->l;
    }
}

/** Fill OUT with what this host has to say, to the member TO when it is known.
    Strings stay valid until the members change. */
void
co_members_speak (co_members_t *members, const co_incarnation_t *to,
                  co_gossip_t *out)
{
  unsigned sends = news_most (members);

  out->self = members->self;
  out->digest = members->digest ^ mbr_digest (&members->self);
  out->nmembers = 0;
  out->nchanges = 0;
  out->nleaving = 0;
  speak_changes (members, to, out, sends);
  speak_members (members, out, sends);
  speak_leaving (members, out, sends);
}

/** What a member adds to the digest of those that a host holds for alive. */
uint64_t
mbr_digest (const co_member_t *member)
{
  uint64_t z;

  if (mbr_is_bad (member))
    return 0;
  memcpy (&z, member->incarnation.byte, sizeof z);
  z ^= member->counter * 0x9e3779b97f4a7c15ULL;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  return z ^ (z >> 27);
}

static void
leaving_over (void *arg, el_time_t now)
{
  mbr_leaving_t *news = arg;

  (void)now;
  HASH_DEL (news->members->leaving, news);
  el_str_free (&news->l.endpoint);
  free (news);
}

static void
leaving_add (co_members_t *members, el_time_t now, uint64_t id,
             el_str_t endpoint)
{
  mbr_leaving_t *news = el_alloc (sizeof *news);

  news->members = members;
  news->l.id = id;
  news->l.endpoint = el_str_dup (endpoint);
  news->timer.cb = leaving_over;
  news->timer.arg = news;
  HASH_ADD (hh, members->leaving, l.id, sizeof news->l.id, news);
  el_timers_set (&members->timers, &news->timer,
                 now + members->options.leaving_hold);
}

static void
leaving_hear (co_members_t *members, el_time_t now,
              const co_leaving_t *leaving)
{
  mbr_leaving_t *news;

  HASH_FIND (hh, members->leaving, &leaving->id, sizeof leaving->id, news);
  if (news)
    return;
  leaving_add (members, now, leaving->id, leaving->endpoint);
  members->options.leaving (members->options.arg, leaving->endpoint);
}

/** Forget all signs. */
void
mbr_leaving_free (co_members_t *members)
{
  mbr_leaving_t *news;
  mbr_leaving_t *next;

  HASH_ITER (hh, members->leaving, news, next)
  leaving_over (news, 0);
}

/** This host saw a sign that ENDPOINT leaves: pass it on. */
void
co_members_endpoint (co_members_t *members, el_time_t now, el_str_t endpoint)
{
  leaving_add (members, now, mbr_random (members), endpoint);
}

/* Ask FROM for all members, unless that was done less than GAP ago; gives 0
   then. */
static int
news_sync (co_members_t *members, el_time_t now, const co_member_t *from,
           el_time_t gap)
{
  if (!members->options.sync || now < members->synced + gap)
    return 0;
  members->synced = now;
  members->strange = 0;
  members->options.sync (members->options.arg, from->peer);
  return 1;
}

/* Whether this host heard nobody until now. */
static int
news_alone (const co_members_t *members, el_time_t now)
{
  return members->heard
         && now > members->heard + ALONE_PERIODS * members->options.period;
}

/* Compare what the sender of a message holds for alive with this host's own.
   News are passed on for a while only: who could not hear them asks for all.
 */
static void
digest_hear (co_members_t *members, el_time_t now, const co_gossip_t *gossip)
{
  el_time_t period = members->options.period;
  uint64_t own = members->digest ^ mbr_digest (&members->self);

  if (news_alone (members, now))
    members->behind = ALONE_SYNCS;
  members->heard = now;
  if (gossip->digest == own)
    members->strange = 0;
  else if (now > members->changed + STRANGE_AFTER_PERIODS * period)
    members->strange++;
  if (members->behind)
    members->behind
        -= (unsigned)news_sync (members, now, &gossip->self, period);
  else if (members->strange >= STRANGE_MOST)
    news_sync (members, now, &gossip->self, SYNC_GAP_PERIODS * period);
}

/** Take in a message of another host. */
void
co_members_hear (co_members_t *members, el_time_t now,
                 const co_gossip_t *gossip)
{
  size_t i;

  mbr_member_hear (members, now, &gossip->self, 0);
  for (i = 0; i < gossip->nmembers; i++)
    mbr_member_hear (members, now, &gossip->members[i], 0);
  for (i = 0; i < gossip->nchanges; i++)
    mbr_change_hear (members, now, &gossip->changes[i]);
  for (i = 0; i < gossip->nleaving; i++)
    leaving_hear (members, now, &gossip->leaving[i]);
  digest_hear (members, now, gossip);
}

/** Take in what a host that was asked for all members knows of one. */
void
co_members_take (co_members_t *members, el_time_t now,
                 const co_member_t *member)
{
  mbr_member_hear (members, now, member, 1);
}

/** Take in how a member is that this host may know. */
void
co_members_take_change (co_members_t *members, el_time_t now,
                        const co_change_t *change)
{
  mbr_change_hear (members, now, change);
}
