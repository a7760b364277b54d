/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Rumors: small facts that all hosts should know sooner than news of
 * membership spread. Each host passes on what is new to it, once, to a few
 * others chosen by chance; who missed some notices by the digest that probes
 * carry, and asks for all. Bounded: the rumors that end first give way.
 */
#include <string.h>

#include "coord.h"
#include "map.h"

/* Digests differ for a moment while a rumor spreads. */
#define STRANGE_AFTER (300 * EL_MSEC)
/* Asking others for all that they know: soon again after an answer that held
   news, later each time after one that did not. */
#define ASK_FIRST (500 * EL_MSEC)
#define ASK_MOST (32 * EL_SEC)

typedef struct rumor
{
  co_rumor_t r;
  int fresh; /* to be passed on */
  struct rumor *prev;
  struct rumor *next;
  UT_hash_handle hh;
} rumor_t;

struct co_rumors
{
  co_rumors_options_t options;
  rumor_t *by_id;
  rumor_t *list; /* as they came */
  uint64_t digest;
  el_time_t changed;
  el_time_t due; /* fresh ones are passed on; EL_TIME_NEVER: there are none */
  el_time_t ask_due;
  el_time_t ask_wait;
};

static uint64_t
rumor_digest (uint64_t id)
{
  uint64_t z = id * 0x9e3779b97f4a7c15ULL;

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  return z ^ (z >> 27);
}

/** A host that knows none. */
co_rumors_t *
co_rumors_new (const co_rumors_options_t *options)
{
  co_rumors_t *rumors = el_alloc (sizeof *rumors);

  rumors->options = *options;
  rumors->due = EL_TIME_NEVER;
  return rumors;
}

static void
rumor_drop (co_rumors_t *rumors, rumor_t *rumor)
{
  rumors->digest ^= rumor_digest (rumor->r.id);
  DL_DELETE (rumors->list, rumor);
  HASH_DEL (rumors->by_id, rumor);
  el_str_free (&rumor->r.body);
  free (rumor);
}

void
co_rumors_free (co_rumors_t *rumors)
{
  while (rumors->list)
    rumor_drop (rumors, rumors->list);
  free (rumors);
}

static void
room_make (co_rumors_t *rumors)
{
  rumor_t *first = rumors->list;
  rumor_t *rumor;

  if (HASH_COUNT (rumors->by_id) < rumors->options.most)
    return;
  DL_FOREACH (rumors->list, rumor)
  if (rumor->r.until < first->r.until)
    first = rumor;
  rumor_drop (rumors, first);
}

/* Keep a rumor that is new here; NULL when it is known or over. */
static rumor_t *
rumor_add (co_rumors_t *rumors, el_time_t now, const co_rumor_t *from)
{
  rumor_t *rumor;

  HASH_FIND (hh, rumors->by_id, &from->id, sizeof from->id, rumor);
  if (rumor || from->until <= now || from->body.len > CO_RUMOR_BODY_MAX)
    return NULL;
  room_make (rumors);
  rumor = el_alloc (sizeof *rumor);
  rumor->r = *from;
  rumor->r.body = el_str_dup (from->body);
  rumor->fresh = 1;
  HASH_ADD (hh, rumors->by_id, r.id, sizeof rumor->r.id, rumor);
  DL_APPEND (rumors->list, rumor);
  rumors->digest ^= rumor_digest (from->id);
  rumors->changed = now;
  if (rumors->due == EL_TIME_NEVER)
    rumors->due = now + rumors->options.gather;
  return rumor;
}

/** All hosts should know of RUMOR, which is copied. */
void
co_rumors_tell (co_rumors_t *rumors, el_time_t now, const co_rumor_t *rumor)
{
  rumor_add (rumors, now, rumor);
}

/** Another host told of RUMOR; gives 0 when it was known. */
int
co_rumors_hear (co_rumors_t *rumors, el_time_t now, const co_rumor_t *rumor)
{
  const rumor_t *added = rumor_add (rumors, now, rumor);

  if (added)
    rumors->options.heard (rumors->options.arg, &added->r);
  return added != NULL;
}

/* Pass on what is new, as much in a message as a datagram holds. */
static void
rumors_send (co_rumors_t *rumors)
{
  co_rumor_t batch[CO_RUMORS_BATCH];
  rumor_t *rumor;
  size_t bytes = 0;
  size_t n = 0;

  DL_FOREACH (rumors->list, rumor)
  {
    if (!rumor->fresh)
      continue;
    rumor->fresh = 0;
    if (n == CO_RUMORS_BATCH
        || (n && bytes + rumor->r.body.len > CO_RUMORS_BYTES))
      {
        rumors->options.send (rumors->options.arg, batch, n);
        n = 0;
        bytes = 0;
      }
    batch[n++] = rumor->r;
    bytes += rumor->r.body.len;
  }
  if (n)
    rumors->options.send (rumors->options.arg, batch, n);
}

/** Pass on and forget what is due; call it when co_rumors_next says so. */
void
co_rumors_tick (co_rumors_t *rumors, el_time_t now)
{
  rumor_t *rumor;
  rumor_t *next;

  if (now >= rumors->due)
    {
      rumors->due = EL_TIME_NEVER;
      rumors_send (rumors);
    }
  DL_FOREACH_SAFE (rumors->list, rumor, next)
  if (rumor->r.until <= now)
    rumor_drop (rumors, rumor);
}

/** When co_rumors_tick wants to be called. */
el_time_t
co_rumors_next (const co_rumors_t *rumors)
{
  return rumors->due;
}

/** Names the set of rumors that this host knows. */
uint64_t
co_rumors_digest (const co_rumors_t *rumors)
{
  return rumors->digest;
}

/** Another host knows the rumors that DIGEST names: whether to ask it for all
    of them. */
int
co_rumors_behind (co_rumors_t *rumors, el_time_t now, uint64_t digest)
{
  if (digest == rumors->digest)
    {
      rumors->ask_wait = 0;
      return 0;
    }
  if (now < rumors->changed + STRANGE_AFTER || now < rumors->ask_due)
    return 0;
  rumors->ask_wait = rumors->ask_wait ? 2 * rumors->ask_wait : ASK_FIRST;
  if (rumors->ask_wait > ASK_MOST)
    rumors->ask_wait = ASK_MOST;
  rumors->ask_due = now + rumors->ask_wait;
  return 1;
}

/** What another host was asked for came; NEWS of it were new. */
void
co_rumors_asked (co_rumors_t *rumors, size_t news)
{
  if (news)
    rumors->ask_wait = 0;
}

/** Visit all rumors, the newest last. */
void
co_rumors_visit (const co_rumors_t *rumors, co_rumor_visit_cb visit, void *arg)
{
  const rumor_t *rumor;

  DL_FOREACH (rumors->list, rumor)
  visit (arg, &rumor->r);
}
