/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Derives the fault schedule of a run from its seed.
 */
#include "soak.h"

/* Mean time between the starts of two faults; faults may overlap. */
#define FAULT_INTERVAL (700 * EL_MSEC)
/* The first fault; hosts have accepted their callers by then. */
#define FIRST_FAULT_AT (300 * EL_MSEC)
/* Half of the key revocations happen while a host is partitioned from the
   store, for longer than hosts accept keys without it. */
#define REVOKE_PARTITION_LEAD (100 * EL_MSEC)
#define REVOKE_PARTITION_DURATION (5 * EL_SEC)

/* For each kind the number of targets, the range of durations, and the weight
   when one kind is drawn among others. */
static const struct
{
  const char *name;
  unsigned targets;
  unsigned min_ms;
  unsigned max_ms;
  unsigned weight;
} fault_kinds[SK_FAULT_KINDS] = {
  [SK_HOST_TERM] = { "host_term", SK_HOSTS, 0, 0, 4 },
  [SK_HOST_KILL] = { "host_kill", SK_HOSTS, 100, 2000, 3 },
  [SK_HOST_PAUSE] = { "host_pause", SK_HOSTS, 100, 4000, 3 },
  [SK_HOSTS_KILL] = { "hosts_kill", 1, 100, 1000, 1 },
  [SK_ENDPOINT_KILL] = { "member_kill", SK_ENDPOINTS, 500, 3000, 5 },
  [SK_ENDPOINT_PAUSE] = { "member_pause", SK_ENDPOINTS, 100, 3000, 4 },
  [SK_ENDPOINT_LEAVE] = { "member_leave", SK_ENDPOINTS, 2500, 4000, 3 },
  [SK_WORKER_FAULT] = { "member_answer", SK_WORKERS, 300, 3000, 4 },
  [SK_STORE_PAUSE] = { "store_pause", 1, 200, 4000, 2 },
  [SK_STORE_COMPACT] = { "store_forget", 1, 0, 0, 2 },
  [SK_LINK_DELAY] = { "link_delay", SK_LINKS, 500, 3000, 3 },
  [SK_LINK_RESET] = { "link_reset", SK_LINKS, 0, 0, 4 },
  [SK_LINK_PARTITION_ONE_WAY] = { "link_cut", SK_LINKS, 200, 4000, 4 },
  [SK_LINK_PARTITION] = { "link_silent", SK_LINKS, 200, 4000, 3 },
  [SK_CONFIG_WRITE] = { "config", 1, 0, 0, 3 },
  [SK_KEY_REVOKE] = { "key", SK_KEYS, 0, 0, 5 },
  [SK_ENDPOINT_BACKOFF] = { "member_rest", SK_ENDPOINTS, 500, 4000, 4 },
  [SK_ENDPOINT_LEAVE_NOTICE] = { "member_says", SK_ENDPOINTS, 2000, 4000, 1 },
  [SK_STORE_ROLLBACK] = { "store_copy", 1, 1000, 2500, 0 },
  [SK_ENDPOINT_LIMIT] = { "member_limit", SK_ENDPOINTS, 7000, 14000, 0 },
};

/** The name of a kind in the output of --plan. */
const char *
sk_fault_kind_name (sk_fault_kind_t kind)
{
  return fault_kinds[kind].name;
}

/* Draw one of the kinds from FIRST to before END by their weights. */
static sk_fault_kind_t
kind_draw (uint64_t *random, sk_fault_kind_t first, sk_fault_kind_t end)
{
  unsigned total_weight = 0;
  unsigned draw;
  unsigned k;

  for (k = first; k < end; k++)
    total_weight += fault_kinds[k].weight;
  draw = (unsigned)(el_random (random) % total_weight);
  for (k = first; draw >= fault_kinds[k].weight; k++)
    draw -= fault_kinds[k].weight;
  return (sk_fault_kind_t)k;
}

/* Draw target, variant and duration of a fault of KIND. */
static void
fault_draw (uint64_t *random, sk_fault_kind_t kind, el_time_t at,
            sk_fault_t *out)
{
  unsigned range_ms = fault_kinds[kind].max_ms - fault_kinds[kind].min_ms;

  *out = (sk_fault_t){ .kind = kind, .start_at = at };
  out->target = (unsigned)(el_random (random) % fault_kinds[kind].targets);
  out->variant = (unsigned)(el_random (random) % 4);
  if (kind >= SK_LINK_DELAY && kind <= SK_LINK_PARTITION && out->variant >= 2)
    out->target
        %= SK_HOSTS; /* half of the link faults are on links to the store */
  out->duration
      = (fault_kinds[kind].min_ms + el_random (random) % (range_ms + 1))
        * EL_MSEC;
}

/* A partition of a host from the store while KEY is revoked. */
static void
revoke_partition (const sk_fault_t *key, sk_fault_t *out)
{
  *out = (sk_fault_t){ .kind = SK_LINK_PARTITION,
                       .start_at = key->start_at - REVOKE_PARTITION_LEAD,
                       .duration = REVOKE_PARTITION_DURATION,
                       .target = key->target % SK_HOSTS };
}

/** Fill OUT with the faults of a run of LENGTH. Returns their number. */
size_t
sk_plan (uint64_t seed, el_time_t length, sk_fault_t *out)
{
  uint64_t random = seed * 2 + 1;
  el_time_t at = FIRST_FAULT_AT;
  size_t n = 0;

  while (at < length && n < SK_FAULTS_MAX)
    {
      sk_fault_t *fault = &out[n++];
      sk_fault_kind_t kind = kind_draw (&random, 0, SK_BASIC_KINDS_END);

      fault_draw (&random, kind, at, fault);
      if (kind == SK_KEY_REVOKE && fault->variant >= 2 && n < SK_FAULTS_MAX)
        revoke_partition (fault, &out[n++]);
      at += el_random (&random) % (2 * FAULT_INTERVAL);
    }
  return n;
}

/* Faults between the snapshot and the rollback, which undoes the writes of
   these. */
static const sk_fault_kind_t after_snapshot[]
    = { SK_CONFIG_WRITE, SK_KEY_REVOKE, SK_ENDPOINT_KILL, SK_CONFIG_WRITE };
/* In some rounds one of these starts shortly before the rollback. */
static const sk_fault_kind_t around_rollback[]
    = { SK_HOST_TERM, SK_HOST_KILL, SK_LINK_PARTITION, SK_LINK_RESET,
        SK_STORE_PAUSE };
/* A round is a snapshot, the rollback to it, and an endpoint that leaves
   shortly after. */
#define ROUND_PAUSE (5 * EL_SEC)
#define AFTER_SNAPSHOT_INTERVAL (200 * EL_MSEC)
#define ROLLBACK_JITTER (400 * EL_MSEC)
/* One round in this many has no additional fault. */
#define QUIET_ROUND_ONE_IN 2

/** The same with rollbacks of the store in place of most other faults: the
   time limit of leaves is checked only where few other faults are active. */
size_t
sk_plan_rollbacks (uint64_t seed, el_time_t length, sk_fault_t *out)
{
  uint64_t random = (seed << 1) ^ 0x5bd1e995;
  el_time_t at = FIRST_FAULT_AT;
  el_time_t rollback_at;
  size_t n = 0;
  size_t i;

  while (at < length && n + 8 < SK_FAULTS_MAX)
    {
      fault_draw (&random, SK_STORE_ROLLBACK, at, &out[n]);
      rollback_at = at + out[n++].duration;
      for (i = 0; i < sizeof after_snapshot / sizeof *after_snapshot; i++)
        fault_draw (&random, after_snapshot[i],
                    at + (i + 1) * AFTER_SNAPSHOT_INTERVAL, &out[n++]);
      if (el_random (&random) % QUIET_ROUND_ONE_IN)
        {
          i = el_random (&random)
              % (sizeof around_rollback / sizeof *around_rollback);
          fault_draw (&random, around_rollback[i],
                      rollback_at - el_random (&random) % ROLLBACK_JITTER,
                      &out[n]);
          out[n++].target %= SK_HOSTS;
        }
      fault_draw (&random, SK_ENDPOINT_LEAVE,
                  rollback_at + el_random (&random) % ROLLBACK_JITTER,
                  &out[n++]);
      at = rollback_at + ROUND_PAUSE;
    }
  return n;
}

/** The same for endpoints that ask hosts to back off or announce that they
    leave. The schedule is separate, so that the other faults of a seed are the
    same with and without it. */
size_t
sk_plan_notices (uint64_t seed, el_time_t length, sk_fault_t *out)
{
  uint64_t random = ~seed;
  el_time_t at = FIRST_FAULT_AT;
  size_t n = 0;

  while (at < length && n < SK_FAULTS_MAX)
    {
      fault_draw (&random,
                  kind_draw (&random, SK_BASIC_KINDS_END, SK_NOTICE_KINDS_END),
                  at, &out[n++]);
      at += el_random (&random) % (2 * FAULT_INTERVAL);
    }
  return n;
}

/* While all endpoints name limits, or prompts crash engines, other faults
   start this far apart on average, so that some time remains in which no fault
   excuses a host. */
#define FAULT_BESIDE_LIMITS_INTERVAL (4 * EL_SEC)
/* Time without a limit between two of the same endpoint. */
#define LIMIT_PAUSE (300 * EL_MSEC)

static const sk_fault_kind_t beside_limits[]
    = { SK_HOST_TERM,     SK_HOST_KILL,   SK_HOST_PAUSE,
        SK_ENDPOINT_KILL, SK_STORE_PAUSE, SK_LINK_RESET };

/* Add faults beside what the endpoints do, to the N that are planned. Returns
   their number. */
static size_t
plan_beside (uint64_t *random, el_time_t length, sk_fault_t *out, size_t n)
{
  sk_fault_kind_t kind;
  el_time_t at;

  for (at = FIRST_FAULT_AT; at < length && n < SK_FAULTS_MAX; n++)
    {
      at += el_random (random) % (2 * FAULT_BESIDE_LIMITS_INTERVAL);
      kind = beside_limits[el_random (random)
                           % (sizeof beside_limits / sizeof *beside_limits)];
      fault_draw (random, kind, at, &out[n]);
    }
  return n;
}

/** The same with rate limits that all endpoints name, in place of most other
    faults. */
size_t
sk_plan_limits (uint64_t seed, el_time_t length, sk_fault_t *out)
{
  uint64_t random = (seed << 2) ^ 0x27d4eb2d;
  size_t n = 0;
  unsigned i;
  el_time_t at;

  for (i = 0; i < SK_ENDPOINTS; i++)
    for (at = FIRST_FAULT_AT; at < length && n < SK_FAULTS_MAX;
         at += out[n++].duration + LIMIT_PAUSE)
      {
        fault_draw (&random, SK_ENDPOINT_LIMIT, at, &out[n]);
        out[n].target = i;
      }
  return plan_beside (&random, length, out, n);
}

/** The same with requests that crash endpoints, in place of most other
    faults. */
size_t
sk_plan_crashes (uint64_t seed, el_time_t length, sk_fault_t *out)
{
  uint64_t random = (seed << 2) ^ 0x165667b1;

  return plan_beside (&random, length, out, 0);
}
