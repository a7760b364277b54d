/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Kinds of endpoints: those of one service, hall and accelerator type.
 */
#include "libfleet.h"

static int
kind_matches (const rt_kind_t *kind, const rt_attrs_t *attrs)
{
  return el_str_eq (kind->service, attrs->service)
         && el_str_eq (kind->hall, attrs->hall)
         && el_str_eq (kind->card, attrs->card);
}

/** Counts TARGET among the endpoints of its kind. */
void
fleet_kind_join (rt_fleet_t *fleet, rt_target_t *target)
{
  rt_kind_t *kind;
  size_t i;

  for (i = 0; i < fleet->nkinds; i++)
    if (kind_matches (fleet->kinds[i], &target->attrs))
      break;
  if (i == fleet->nkinds)
    {
      kind = el_alloc (sizeof *kind);
      kind->service = el_str_dup (target->attrs.service);
      kind->hall = el_str_dup (target->attrs.hall);
      kind->card = el_str_dup (target->attrs.card);
      kind->index = i;
      fleet->kinds
          = el_grow (fleet->kinds, fleet->nkinds + 1, sizeof *fleet->kinds);
      fleet->kinds[fleet->nkinds++] = kind;
    }
  target->kind = fleet->kinds[i];
  target->kind->endpoints++;
}

/** Ends the membership of TARGET, which is not listed any more. */
void
fleet_kind_leave (rt_fleet_t *fleet, rt_target_t *target)
{
  rt_kind_t *kind = target->kind;

  target->kind = NULL;
  if (--kind->endpoints)
    return;
  fleet->kinds[kind->index] = fleet->kinds[--fleet->nkinds];
  fleet->kinds[kind->index]->index = kind->index;
  el_str_free (&kind->service);
  el_str_free (&kind->hall);
  el_str_free (&kind->card);
  free (kind);
}

/** Returns the number of kinds of the listed endpoints, and the kinds in
    OUT. */
size_t
rt_fleet_kinds (const rt_fleet_t *fleet, rt_kind_t *const **out)
{
  *out = fleet->kinds;
  return fleet->nkinds;
}
