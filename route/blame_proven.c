/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Parts of prompts that ran well.
 */
#include <stdlib.h>

#include "libblame.h"

/* Time in which a host that has started learns which parts run well. */
#define LEARNING_TIME (5 * EL_SEC)

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

/* Whether the part ran well before, or may have, as this host has not seen
   requests for long enough to know. */
int
blame_is_proven (const rt_blame_t *blame, rt_digest_t digest)
{
  return !blame->first_proven_at
         || blame->updated_at < blame->first_proven_at + LEARNING_TIME
         || proven_find (blame, digest);
}

/** Record that the response to a request with PART began at AT. A part that
    ran well is a less likely culprit than a new one. */
void
rt_blame_prove (rt_blame_t *blame, rt_digest_t part, el_time_t at)
{
  blame_proven_t *proven = proven_find (blame, part);

  if (!blame->options.max_proven)
    return;
  if (!blame->first_proven_at)
    blame->first_proven_at = at;
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
}

/* Forget all of them. */
void
blame_proven_free (rt_blame_t *blame)
{
  while (blame->proven)
    proven_forget (blame, blame->proven);
}
