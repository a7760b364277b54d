/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Event streams: split into whole events with their ids.
 */
#include "librelay.h"

/* A part of an event that grows past this is no event. */
#define EVENT_MAX ((size_t)1 << 20)

/* The value of the event's "id" line; gives 0 without one. */
static int
event_id (el_str_t event, uint64_t *id)
{
  el_str_t line;
  el_str_t name;

  while (event.len)
    {
      line = el_str_cut (&event, '\n');
      name = el_str_cut (&line, ':');
      if (!el_str_eq (name, EL_STR ("id")))
        continue;
      while (line.len && *line.ptr == ' ')
        line = el_str_after (line, 1);
      if (line.len && line.ptr[line.len - 1] == '\r')
        line.len--;
      return el_str_to_u64 (line, id);
    }
  return 0;
}

/* The length of the first whole event of BYTES, its blank line included; 0
   when it is not whole. */
static size_t
event_end (el_str_t bytes)
{
  size_t i;

  for (i = 1; i < bytes.len; i++)
    if (bytes.ptr[i] == '\n'
        && (bytes.ptr[i - 1] == '\n'
            || (i > 2 && bytes.ptr[i - 1] == '\r'
                && bytes.ptr[i - 2] == '\n')))
      return i + 1;
  return 0;
}

static el_str_t
events_each (el_str_t bytes, relay_event_cb each, void *arg)
{
  size_t len;

  while ((len = event_end (bytes)))
    {
      el_str_t event = { bytes.ptr, len };
      uint64_t id = 0;
      int has_id = event_id (event, &id);

      each (arg, event, has_id, id);
      bytes = el_str_after (bytes, len);
    }
  return bytes;
}

/** Hand each event that BYTES complete to EACH. */
void
relay_events_add (relay_events_t *events, el_str_t bytes, relay_event_cb each,
                  void *arg)
{
  el_buf_t held = events->part;

  if (held.len == 0)
    {
      bytes = events_each (bytes, each, arg);
      if (bytes.len)
        el_buf_add (&events->part, bytes);
      return;
    }
  el_buf_add (&held, bytes);
  events->part = (el_buf_t){ NULL, 0, 0 };
  bytes = events_each (el_buf_str (&held), each, arg);
  if (bytes.len && bytes.len < EVENT_MAX)
    el_buf_add (&events->part, bytes);
  el_buf_free (&held);
}

/** Drop a part of an event. */
void
relay_events_reset (relay_events_t *events)
{
  el_buf_free (&events->part);
}
