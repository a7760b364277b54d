/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Parts of prompts that ran well. A host that has taken few requests has not
 * seen most of them. When a crash names parts, the hosts that saw them run
 * well say so to all others.
 */
#include <stdlib.h>

#include "libblame.h"

/* Time in which a host that has started learns which parts run well. */
#define LEARNING_TIME (5 * EL_SEC)
/* For how long it matters that a part ran well. */
#define PROVEN_TIME (600 * EL_SEC)

static void
proven_forget (rt_blame_t *blame, blame_proven_t *proven)
{
  HASH_DEL (blame->proven, proven);
  free (proven);
}

static blame_proven_t *
proven_find (const rt_blame_t *blame, rt_digest_t digest)
{
  blame_proven_t *proven;

  HASH_FIND (hh, blame->proven, &digest, sizeof digest, proven);
  return proven;
}

/* Whether this host has not seen requests for long enough to know which parts
   ran well. */
int
blame_is_learning (const rt_blame_t *blame)
{
  return !blame->first_proven_at
         || blame->updated_at < blame->first_proven_at + LEARNING_TIME;
}

/* Whether the part is known to have run well. */
int
blame_ran_well (const rt_blame_t *blame, rt_digest_t digest)
{
  return proven_find (blame, digest) != NULL;
}

/* Whether the part ran well before, or may have. */
int
blame_is_proven (const rt_blame_t *blame, rt_digest_t digest)
{
  return blame_is_learning (blame) || proven_find (blame, digest);
}

/* Record that PART ran well at AT, as seen here or by another host. */
blame_proven_t *
blame_proven_add (rt_blame_t *blame, rt_digest_t part, el_time_t at)
{
  blame_proven_t *proven = proven_find (blame, part);

  if (proven)
    HASH_DEL (blame->proven, proven);
  else
    {
      if (HASH_COUNT (blame->proven) >= blame->options.max_proven)
        proven_forget (blame, blame->proven);
      proven = el_alloc (sizeof *proven);
      proven->digest = part;
    }
  HASH_ADD (hh, blame->proven, digest, sizeof proven->digest, proven);
  if (proven->at < at)
    proven->at = at;
  return proven;
}

/** Record that the response to a request with PART began at AT. A part that
    ran well is a less likely culprit than a new one. */
void
rt_blame_prove (rt_blame_t *blame, rt_digest_t part, el_time_t at)
{
  if (!blame->options.max_proven)
    return;
  if (!blame->first_proven_at)
    blame->first_proven_at = at;
  blame_proven_add (blame, part, at);
}

/** Return when PART last ran well, as far as this host knows; 0: not in the
    last ten minutes. */
el_time_t
rt_blame_ran_well_at (const rt_blame_t *blame, rt_digest_t part, el_time_t now)
{
  const blame_proven_t *proven = proven_find (blame, part);

  return proven && now < proven->at + PROVEN_TIME ? proven->at : 0;
}

/** Whether to tell the other hosts at NOW that PART ran well, which counts as
    done from then on. They have been told before, and remember, until
    UNTIL. */
int
rt_blame_should_testify (rt_blame_t *blame, rt_digest_t part, el_time_t now,
                         el_time_t until)
{
  blame_proven_t *proven = proven_find (blame, part);

  if (!proven || now >= proven->at + PROVEN_TIME || now < proven->told_until)
    return 0;
  proven->told_until = until;
  return 1;
}

/** Another host testifies that PART ran well at AT; all hosts know until
    UNTIL. Earlier crashes no longer count against it, and a block that took it
    for new is lifted. Return 0 if there was no such block. */
int
rt_blame_testify (rt_blame_t *blame, rt_digest_t part, el_time_t at,
                  el_time_t until)
{
  blame_proven_t *proven;

  if (!blame->options.max_proven)
    return 0;
  proven = blame_proven_add (blame, part, at);
  if (proven->told_until < until)
    proven->told_until = until;
  rt_blame_completed (blame, part, at);
  return blame_unblock_new (blame, part);
}

/* Forget all of them. */
void
blame_proven_free (rt_blame_t *blame)
{
  while (blame->proven)
    proven_forget (blame, blame->proven);
}
