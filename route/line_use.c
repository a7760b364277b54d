/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Lines in use: what they pass, and what they put on their engines.
 */
#include "relay.h"

/** Whether the line passes TARGET. */
int
rt_line_has (const rt_line_t *line, const rt_target_t *target)
{
  size_t i;

  for (i = 0; i < line->n; i++)
    if (line->part[i].target == target)
      return 1;
  return 0;
}

/** The engine of LINE at ADDRESS; NULL without it. */
rt_target_t *
rt_line_engine (const rt_line_t *line, el_str_t address)
{
  size_t i;

  for (i = 0; i < line->n; i++)
    if (el_str_eq (line->part[i].target->facts.address, address))
      return line->part[i].target;
  return NULL;
}

/** The part of LINE by which TARGET runs the layers from FROM to TO; NULL
    without it. LINE may be NULL. */
const struct rt_part *
rt_line_part (const rt_line_t *line, const rt_target_t *target, unsigned from,
              unsigned to)
{
  size_t i;

  for (i = 0; line && i < line->n; i++)
    if (line->part[i].target == target && line->part[i].from == from
        && line->part[i].to == to)
      return &line->part[i];
  return NULL;
}

/** Whether the line leaves the hall of its first engine. */
int
rt_line_crosses (const rt_line_t *line)
{
  size_t i;

  for (i = 1; i < line->n; i++)
    if (!el_str_eq (line->part[i].target->facts.hall,
                    line->part[0].target->facts.hall))
      return 1;
  return 0;
}

static double
part_layers (const struct rt_part *part)
{
  return part->to - part->from;
}

/** The line is in use: its engines stay in memory and count as loaded. UNREAD
    tokens are to be read by each part, but for those that OLD has, too: they
    go on with what they have. OLD may be NULL. */
void
rt_line_hold (rt_line_t *line, const rt_line_t *old, double unread)
{
  size_t i;

  line->reading = 1;
  for (i = 0; i < line->n; i++)
    {
      struct rt_part *part = &line->part[i];
      const struct rt_part *kept
          = rt_line_part (old, part->target, part->from, part->to);

      part->unread = kept ? kept->unread : unread;
      rt_target_ref (part->target)->lines++;
      part->target->held += line->tokens * part_layers (part);
      part->target->unread += part->unread * part_layers (part);
    }
}

/* All parts have read what there was. */
static void
line_read (rt_line_t *line)
{
  size_t i;

  for (i = 0; line->reading && i < line->n; i++)
    {
      struct rt_part *part = &line->part[i];

      part->target->unread -= part->unread * part_layers (part);
      part->unread = 0;
    }
  line->reading = 0;
}

/** An event came at NOW: all parts live and have read what there was. */
void
rt_line_event (rt_line_t *line, el_time_t now)
{
  size_t i;

  line_read (line);
  for (i = 0; i < line->n; i++)
    line->part[i].target->alive = now;
}

/** The engine of LINE that this host gave most to hold, of those that are not
    in OLD; NULL without any. */
rt_target_t *
rt_line_fullest (const rt_line_t *line, const rt_line_t *old)
{
  rt_target_t *fullest = NULL;
  size_t i;

  for (i = 0; i < line->n; i++)
    {
      rt_target_t *target = line->part[i].target;

      if (!rt_line_has (old, target)
          && (!fullest || target->held > fullest->held))
        fullest = target;
    }
  return fullest;
}

/** The line is no longer in use. */
void
rt_line_release (rt_line_t *line)
{
  size_t i;

  line_read (line);
  for (i = 0; i < line->n; i++)
    {
      struct rt_part *part = &line->part[i];

      part->target->lines--;
      part->target->held -= line->tokens * part_layers (part);
      rt_target_unref (part->target);
    }
  line->n = 0;
}
