/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * What is known of requests that ran where endpoints ended: bounded, fading,
 * the same whatever order it was learned in. The ways to judge are in
 * blame_rule.c.
 */
#include <stdlib.h>
#include <string.h>

#include "libblame.h"

/* Facts fade after this: an endpoint that ends by itself once in an hour, with
   one request of a hundred running there at each time, says nothing of it ten
   minutes later. A request that is to blame and waits for that long ends two
   endpoints in ten minutes and is not blocked; it ended ten in a minute. */
#define FADE (600 * EL_SEC)
/* It is blocked for so long, and twice as long each time that it ends another
   endpoint when it is let in again: one endpoint a hold is what waiting out
   costs it. */
#define HOLD_FIRST (600 * EL_SEC)
#define HOLD_DOUBLINGS 3
/* Ends remembered; a hall of a hundred engines may end at once. */
#define ENDS_MOST 512
/* Requests remembered under one end: an engine's slots, and its queue. */
#define RUNS_MOST 320
/* Hosts place what others tell in time by the age of a message: it may seem
   later than it was by this. */
#define PLACE_SLACK (50 * EL_MSEC)

/** Names a start of an endpoint. */
uint64_t
rt_start_key (const rt_start_t *start)
{
  return XXH3_64bits_withSeed (start->id, strlen (start->id), start->born);
}

/** The start that TARGET is. */
rt_start_t
rt_target_start (const rt_target_t *target)
{
  rt_start_t start = { .born = target->facts.born };
  size_t len = target->facts.id.len;

  if (len >= RT_START_MAX)
    len = RT_START_MAX - 1;
  memcpy (start.id, target->facts.id.ptr, len);
  return start;
}

/** How long a request is blocked for the HOLDS-th time. */
el_time_t
rt_blame_hold (unsigned holds)
{
  unsigned doublings = holds > 1 ? holds - 1 : 0;

  if (doublings > HOLD_DOUBLINGS)
    doublings = HOLD_DOUBLINGS;
  return HOLD_FIRST << doublings;
}

/** Nothing known. */
rt_blame_t *
rt_blame_new (const rt_blame_options_t *options)
{
  rt_blame_t *blame = el_alloc (sizeof *blame);

  blame->options = *options;
  return blame;
}

/* NULL when nothing is known of it. */
blame_request_t *
blame_request_find (const rt_blame_t *blame, rt_digest_t digest)
{
  blame_request_t *request;

  HASH_FIND (hh, blame->requests, &digest, sizeof digest, request);
  return request;
}

static void
run_drop (blame_run_t *run)
{
  DL_DELETE2 (run->end->runs, run, end_prev, end_next);
  DL_DELETE2 (run->request->runs, run, prev, next);
  run->end->nruns--;
  free (run);
}

static void
request_drop (rt_blame_t *blame, blame_request_t *request)
{
  blame_customer_t *customer = request->customer;

  while (request->runs)
    run_drop (request->runs);
  HASH_DEL (blame->requests, request);
  free (request);
  if (--customer->n)
    return;
  HASH_DEL (blame->customers, customer);
  free (customer);
}

static void
end_drop (rt_blame_t *blame, blame_end_t *end)
{
  while (end->runs)
    run_drop (end->runs);
  DL_DELETE (blame->order, end);
  HASH_DEL (blame->ends, end);
  free (end);
}

/** Forget all. */
void
rt_blame_free (rt_blame_t *blame)
{
  blame_request_t *request;
  blame_request_t *next;

  while (blame->order)
    end_drop (blame, blame->order);
  HASH_ITER (hh, blame->requests, request, next)
  request_drop (blame, request);
  free (blame);
}

/* Room for one more: of the customer's own requests when it has its part of
   the room, else of those of the customer that has most. So nobody pushes out
   what is known of others. What speaks least against a request, then what is
   oldest, goes first. */
static void
room_make (rt_blame_t *blame, blame_customer_t *owner)
{
  blame_request_t *victim = NULL;
  blame_request_t *request;
  blame_request_t *next;
  blame_customer_t *customer;
  blame_customer_t *other;

  if (owner->n <= blame->options.customer_most)
    {
      if (HASH_COUNT (blame->requests) < blame->options.most)
        return;
      HASH_ITER (hh, blame->customers, customer, other)
      if (customer->n > owner->n)
        owner = customer;
    }
  HASH_ITER (hh, blame->requests, request, next)
  if (request->customer == owner
      && (!victim || request->holds < victim->holds
          || (request->holds == victim->holds
              && request->last < victim->last)))
    victim = request;
  if (victim)
    request_drop (blame, victim);
}

static blame_customer_t *
customer_get (rt_blame_t *blame, uint64_t key)
{
  blame_customer_t *customer;

  HASH_FIND (hh, blame->customers, &key, sizeof key, customer);
  if (customer)
    return customer;
  customer = el_alloc (sizeof *customer);
  customer->key = key;
  HASH_ADD (hh, blame->customers, key, sizeof customer->key, customer);
  return customer;
}

static blame_request_t *
request_get (rt_blame_t *blame, rt_digest_t digest, uint64_t key)
{
  blame_request_t *request = blame_request_find (blame, digest);
  blame_customer_t *customer;

  if (request)
    return request;
  customer = customer_get (blame, key);
  customer->n++; /* stays while room is made */
  room_make (blame, customer);
  request = el_alloc (sizeof *request);
  request->digest = digest;
  request->customer = customer;
  HASH_ADD (hh, blame->requests, digest, sizeof request->digest, request);
  return request;
}

/* Ends stand in the order of their times. */
static void
end_order (rt_blame_t *blame, blame_end_t *end)
{
  blame_end_t *after = blame->order ? blame->order->prev : NULL;

  while (after && after->at > end->at)
    after = after == blame->order ? NULL : after->prev;
  if (after)
    DL_APPEND_ELEM (blame->order, after, end);
  else
    DL_PREPEND (blame->order, end);
}

static blame_end_t *
end_get (rt_blame_t *blame, const rt_ended_t *ended)
{
  uint64_t key = rt_start_key (&ended->start);
  blame_end_t *end;

  HASH_FIND (hh, blame->ends, &key, sizeof key, end);
  if (end)
    return end;
  if (HASH_COUNT (blame->ends) >= ENDS_MOST)
    end_drop (blame, blame->order);
  end = el_alloc (sizeof *end);
  end->key = key;
  end->start = ended->start;
  end->at = ended->at;
  end->found = EL_TIME_NEVER;
  HASH_ADD (hh, blame->ends, key, sizeof end->key, end);
  end_order (blame, end);
  return end;
}

/* Note who saw the end; gives 0 when that is known. Two hosts, or the store,
   make it sure: one host alone may have lost its way there. */
static int
end_seen (blame_end_t *end, uint64_t host)
{
  size_t i;

  if (host == 0)
    {
      int news = !end->listed;

      end->listed = 1;
      return news;
    }
  for (i = 0; i < end->nhosts; i++)
    if (end->hosts[i] == host)
      return 0;
  if (end->nhosts == BLAME_HOSTS)
    return 0;
  end->hosts[end->nhosts++] = host;
  return 1;
}

static blame_run_t *
run_find (const blame_end_t *end, rt_digest_t digest)
{
  blame_run_t *run;

  DL_FOREACH2 (end->runs, run, end_next)
  if (run->request->digest == digest)
    return run;
  return NULL;
}

/* Whether what began at that time came to an endpoint that was known to have
   ended: it did not run there. */
static int
end_before (const blame_end_t *end, el_time_t began)
{
  return end->found < EL_TIME_NEVER && began > end->found + PLACE_SLACK;
}

/* Some host knew at FOUND that the endpoint had ended. */
static void
end_found (blame_end_t *end, el_time_t found)
{
  blame_run_t *run;
  blame_run_t *next;

  if (found >= end->found)
    return;
  end->found = found;
  DL_FOREACH_SAFE2 (end->runs, run, next, end_next)
  if (end_before (end, run->began))
    run_drop (run);
}

/* Gives 0 where the request came after the end, or has run to its end since.
 */
static int
run_add (rt_blame_t *blame, blame_end_t *end, const rt_ended_t *ended)
{
  blame_request_t *request;
  blame_run_t *run;

  if (end_before (end, ended->at - ended->ran))
    return 0;
  request = request_get (blame, ended->digest, ended->customer);
  if (end->at <= request->cleared)
    return 0;
  run = el_alloc (sizeof *run);
  run->end = end;
  run->request = request;
  run->began = ended->at - ended->ran;
  run->ran = ended->ran;
  run->first = ended->first;
  if (request->last < end->at)
    request->last = end->at;
  DL_APPEND2 (end->runs, run, end_prev, end_next);
  DL_APPEND (request->runs, run);
  end->nruns++;
  return 1;
}

/* It ran there more than once at the same time: what began last counts. Gives
   0 where that is known. */
static int
run_again (blame_run_t *run, const rt_ended_t *ended)
{
  if (ended->ran >= run->ran || end_before (run->end, ended->at - ended->ran))
    return 0;
  run->began = ended->at - ended->ran;
  run->ran = ended->ran;
  run->first |= ended->first;
  return 1;
}

/** Take in what was seen, here or by another host; gives 0 when it was known
    or is too old. */
int
rt_blame_ended (rt_blame_t *blame, el_time_t now, const rt_ended_t *ended)
{
  blame_end_t *end;
  blame_run_t *run;
  int news;

  if (ended->at + FADE < now)
    return 0;
  end = end_get (blame, ended);
  news = end_seen (end, ended->host);
  end_found (end, ended->found ? ended->found : ended->at);
  if (!ended->digest)
    return news;
  run = run_find (end, ended->digest);
  if (run)
    return run_again (run, ended) || news;
  return (end->nruns < RUNS_MOST && run_add (blame, end, ended)) || news;
}

/** Whether only one host, which is not HOST, saw that START has ended. */
int
rt_blame_unsure (const rt_blame_t *blame, const rt_start_t *start,
                 uint64_t host)
{
  uint64_t key = rt_start_key (start);
  const blame_end_t *end;

  HASH_FIND (hh, blame->ends, &key, sizeof key, end);
  return end && !blame_end_sure (end)
         && (!end->nhosts || end->hosts[0] != host);
}

/* What was seen up to AT says nothing of the request. */
static void
request_acquit (blame_request_t *request, el_time_t at)
{
  blame_run_t *run;
  blame_run_t *next;

  request->cleared = at;
  request->odds = 0;
  DL_FOREACH_SAFE (request->runs, run, next)
  if (run->end->at <= at)
    run_drop (run);
}

/** Whether other hosts are to know of a run: it was young, or a suspect
    before. */
int
rt_blame_told (const rt_blame_t *blame, const rt_ended_t *ended)
{
  return ended->ran < RT_BLAME_YOUNG
         || rt_blame_of (blame, ended->at, ended->digest).state;
}

/* The newest end under which it ran as far as other hosts know, or that it was
   blocked, by name. */
static uint64_t
request_news (const blame_request_t *request)
{
  const blame_run_t *run;
  const blame_end_t *newest = NULL;

  DL_FOREACH (request->runs, run)
  if ((run->ran < RT_BLAME_YOUNG || request->runs->next)
      && (!newest || run->end->at > newest->at))
    newest = run->end;
  return newest ? newest->key : request->until;
}

/** The request ran to its end at AT and its endpoint lives: what was seen
    before says nothing. Gives a name for what other hosts are to know that it
    is cleared of, the same at all hosts; 0 when they know nothing of it. */
uint64_t
rt_blame_survived (rt_blame_t *blame, rt_digest_t digest, el_time_t at)
{
  blame_request_t *request = blame_request_find (blame, digest);
  uint64_t news;

  if (!request || at <= request->cleared)
    return 0;
  news = request_news (request);
  request_acquit (request, at);
  if (request->until && at + rt_blame_hold (request->holds) > request->until)
    request->until = 0;
  return news;
}

/** The request was blocked at AT for the HOLDS-th time, as another host or the
    store tells; gives 0 when that is known. */
int
rt_blame_block (rt_blame_t *blame, rt_digest_t digest, uint64_t customer,
                el_time_t at, unsigned holds)
{
  blame_request_t *request = request_get (blame, digest, customer);

  if (holds <= request->holds || at <= request->cleared)
    return 0;
  request->holds = holds;
  request->until = at + rt_blame_hold (holds);
  if (request->last < at)
    request->last = at;
  return 1;
}

/** An operator lets the request in again; gives 0 when it is not known. */
int
rt_blame_clear (rt_blame_t *blame, rt_digest_t digest, el_time_t at)
{
  blame_request_t *request = blame_request_find (blame, digest);

  if (!request || at <= request->cleared)
    return 0;
  request_acquit (request, at);
  request->until = 0;
  request->holds = 0;
  return 1;
}

/* A request that was blocked is remembered as long again, one that ran to its
   end until older facts of it have faded. */
static int
request_forgotten (const blame_request_t *request, el_time_t now)
{
  return (!request->until
          || request->until + rt_blame_hold (request->holds) < now)
         && request->cleared + FADE < now;
}

/* Facts fade. */
void
blame_fade (rt_blame_t *blame, el_time_t now)
{
  blame_request_t *request;
  blame_request_t *next;

  while (blame->order && blame->order->at + FADE < now)
    end_drop (blame, blame->order);
  HASH_ITER (hh, blame->requests, request, next)
  if (!request->runs && request_forgotten (request, now))
    request_drop (blame, request);
}

/** Whether no request is known to have run where an endpoint ended. */
int
rt_blame_empty (const rt_blame_t *blame)
{
  return !blame->requests;
}

/** Visit all requests that are remembered. */
void
rt_blame_visit (const rt_blame_t *blame, el_time_t now,
                rt_blame_visit_cb visit, void *arg)
{
  blame_request_t *request;
  blame_request_t *next;
  rt_judgement_t judgement;

  HASH_ITER (hh, blame->requests, request, next)
  {
    judgement = blame_judgement (request, now);
    if (judgement.state)
      visit (arg, request->digest, &judgement);
  }
}

/** Visit the ends that a request ran under. */
void
rt_blame_ends (const rt_blame_t *blame, rt_digest_t digest,
               rt_blame_end_cb visit, void *arg)
{
  const blame_request_t *request = blame_request_find (blame, digest);
  const blame_run_t *run;

  DL_FOREACH (request ? request->runs : NULL, run)
  {
    const rt_ended_t ended
        = { .start = run->end->start,
            .digest = digest,
            .customer = request->customer->key,
            .host = run->end->listed ? 0 : run->end->hosts[0],
            .at = run->end->at,
            .ran = run->ran,
            .first = run->first };

    visit (arg, &ended);
  }
}
