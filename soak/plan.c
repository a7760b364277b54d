/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The schedule of faults that a seed makes.
 */
#include "soak.h"

/* Mean time between two faults; several overlap. */
#define EVERY (700 * EL_MSEC)
/* The first one: hosts have taken in their callers by then. */
#define FIRST (300 * EL_MSEC)
/* Half of the keys that are taken away are so while a host is cut from the
   store, for longer than hosts go on without it. */
#define UNHEARD_BEFORE (100 * EL_MSEC)
#define UNHEARD_LASTS (5 * EL_SEC)

/* What each kind strikes, for how long (milliseconds), and how often beside
   the others. */
static const struct
{
  const char *name;
  unsigned things;
  unsigned least;
  unsigned most;
  unsigned weight;
} kinds[SK_KINDS] = {
  [SK_HOST_TERM] = { "host_term", SK_HOSTS, 0, 0, 4 },
  [SK_HOST_KILL] = { "host_kill", SK_HOSTS, 100, 2000, 3 },
  [SK_HOST_PAUSE] = { "host_pause", SK_HOSTS, 100, 4000, 3 },
  [SK_HOSTS_KILL] = { "hosts_kill", 1, 100, 1000, 1 },
  [SK_MEMBER_KILL] = { "member_kill", SK_MEMBERS, 500, 3000, 5 },
  [SK_MEMBER_PAUSE] = { "member_pause", SK_MEMBERS, 100, 3000, 4 },
  [SK_MEMBER_LEAVE] = { "member_leave", SK_MEMBERS, 2500, 4000, 3 },
  [SK_MEMBER_ANSWER] = { "member_answer", SK_WORKERS, 300, 3000, 4 },
  [SK_STORE_PAUSE] = { "store_pause", 1, 200, 4000, 2 },
  [SK_STORE_FORGET] = { "store_forget", 1, 0, 0, 2 },
  [SK_LINK_DELAY] = { "link_delay", SK_LINKS, 500, 3000, 3 },
  [SK_LINK_RESET] = { "link_reset", SK_LINKS, 0, 0, 4 },
  [SK_LINK_CUT] = { "link_cut", SK_LINKS, 200, 4000, 4 },
  [SK_LINK_SILENT] = { "link_silent", SK_LINKS, 200, 4000, 3 },
  [SK_CONFIG] = { "config", 1, 0, 0, 3 },
  [SK_KEY] = { "key", SK_KEYS, 0, 0, 5 },
  [SK_MEMBER_REST] = { "member_rest", SK_MEMBERS, 500, 4000, 4 },
  [SK_MEMBER_SAYS] = { "member_says", SK_MEMBERS, 2000, 4000, 1 },
  [SK_STORE_COPY] = { "store_copy", 1, 1000, 2500, 0 },
};

/** The kind's name, as runs print it. */
const char *
sk_kind_name (sk_kind_t kind)
{
  return kinds[kind].name;
}

/* One of the kinds from FIRST to before END, by their weights. */
static sk_kind_t
kind_draw (uint64_t *random, sk_kind_t first, sk_kind_t end)
{
  unsigned all = 0;
  unsigned draw;
  unsigned k;

  for (k = first; k < end; k++)
    all += kinds[k].weight;
  draw = (unsigned)(el_random (random) % all);
  for (k = first; draw >= kinds[k].weight; k++)
    draw -= kinds[k].weight;
  return (sk_kind_t)k;
}

/* A fault of that kind: what it strikes, how, and for how long. */
static void
fault_draw (uint64_t *random, sk_kind_t kind, el_time_t at, sk_fault_t *out)
{
  unsigned span = kinds[kind].most - kinds[kind].least;

  *out = (sk_fault_t){ .kind = kind, .at = at };
  out->which = (unsigned)(el_random (random) % kinds[kind].things);
  out->how = (unsigned)(el_random (random) % 4);
  if (kind >= SK_LINK_DELAY && kind <= SK_LINK_SILENT && out->how >= 2)
    out->which %= SK_HOSTS; /* the store's links, as often as others */
  out->lasts = (kinds[kind].least + el_random (random) % (span + 1)) * EL_MSEC;
}

/* A host that can't hear of the store while a key is taken away. */
static void
key_unheard (const sk_fault_t *key, sk_fault_t *out)
{
  *out = (sk_fault_t){ .kind = SK_LINK_SILENT,
                       .at = key->at - UNHEARD_BEFORE,
                       .lasts = UNHEARD_LASTS,
                       .which = key->which % SK_HOSTS };
}

/** Fill OUT with the faults of a run of that length; gives their number. */
size_t
sk_plan (uint64_t seed, el_time_t length, sk_fault_t *out)
{
  uint64_t random = seed * 2 + 1;
  el_time_t at = FIRST;
  size_t n = 0;

  while (at < length && n < SK_FAULTS_MAX)
    {
      sk_fault_t *fault = &out[n++];
      sk_kind_t kind = kind_draw (&random, 0, SK_DRAWN);

      fault_draw (&random, kind, at, fault);
      if (kind == SK_KEY && fault->how >= 2 && n < SK_FAULTS_MAX)
        key_unheard (fault, &out[n++]);
      at += el_random (&random) % (2 * EVERY);
    }
  return n;
}

/* What strikes while the store is ahead of its copy, so that it goes back. */
static const sk_kind_t ahead[]
    = { SK_CONFIG, SK_KEY, SK_MEMBER_KILL, SK_CONFIG };
/* What strikes, in some rounds, around its return. */
static const sk_kind_t beside[] = { SK_HOST_TERM, SK_HOST_KILL, SK_LINK_SILENT,
                                    SK_LINK_RESET, SK_STORE_PAUSE };
/* A round is a copy, the return to it, and a member that leaves then. */
#define ROUND_QUIET (5 * EL_SEC)
#define AHEAD_EVERY (200 * EL_MSEC)
#define RETURN_SPREAD (400 * EL_MSEC)
/* One in so many rounds has nothing else strike. */
#define ROUNDS_CALM 2

/** The same for a store that goes on from copies of itself, in place of the
    other faults: leaves are held to their bound only where little else
   strikes.
 */
size_t
sk_plan_copies (uint64_t seed, el_time_t length, sk_fault_t *out)
{
  uint64_t random = (seed << 1) ^ 0x5bd1e995;
  el_time_t at = FIRST;
  el_time_t back;
  size_t n = 0;
  size_t i;

  while (at < length && n + 8 < SK_FAULTS_MAX)
    {
      fault_draw (&random, SK_STORE_COPY, at, &out[n]);
      back = at + out[n++].lasts;
      for (i = 0; i < sizeof ahead / sizeof *ahead; i++)
        fault_draw (&random, ahead[i], at + (i + 1) * AHEAD_EVERY, &out[n++]);
      if (el_random (&random) % ROUNDS_CALM)
        {
          i = el_random (&random) % (sizeof beside / sizeof *beside);
          fault_draw (&random, beside[i],
                      back - el_random (&random) % RETURN_SPREAD, &out[n]);
          out[n++].which %= SK_HOSTS;
        }
      fault_draw (&random, SK_MEMBER_LEAVE,
                  back + el_random (&random) % RETURN_SPREAD, &out[n++]);
      at = back + ROUND_QUIET;
    }
  return n;
}

/** The same for members that ask something of hosts: a schedule of its own, so
    that a seed's other faults are the same with and without it. */
size_t
sk_plan_asks (uint64_t seed, el_time_t length, sk_fault_t *out)
{
  uint64_t random = ~seed;
  el_time_t at = FIRST;
  size_t n = 0;

  while (at < length && n < SK_FAULTS_MAX)
    {
      fault_draw (&random, kind_draw (&random, SK_DRAWN, SK_ASKS_END), at,
                  &out[n++]);
      at += el_random (&random) % (2 * EVERY);
    }
  return n;
}
