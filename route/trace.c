/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Traces: converts events and actions to JSON objects and events back, using
 * one table of fields for each. Fields that are zero are omitted.
 */
#include "librt.h"

typedef enum field_type
{
  FIELD_NUMBER,
  FIELD_INT,
  FIELD_STR,
  FIELD_CALL_ID,
  FIELD_TOKENS, /* a pointer, followed by the count */
  FIELD_ENUM    /* written as one of names */
} field_type_t;

typedef struct field
{
  const char *name;
  field_type_t type;
  size_t offset;
  const char *const *names;
  size_t nnames;
} field_t;

static const char *const event_names[RT_EVENTS] = {
  [RT_EV_REQUEST] = "request", [RT_EV_REPLY] = "reply",
  [RT_EV_FAILED] = "failed",   [RT_EV_CANCEL] = "cancel",
  [RT_EV_TICK] = "tick",       [RT_EV_LEAVING] = "leaving",
  [RT_EV_HOSTS] = "hosts",     [RT_EV_STOP] = "stop",
};
static const char *const action_names[RT_ACTIONS] = {
  [RT_ACT_CALL] = "call",
  [RT_ACT_ABANDON] = "abandon",
  [RT_ACT_TOKEN] = "token",
  [RT_ACT_END] = "end",
};
static const char *const request_type_names[RT_REQUEST_TYPES] = {
  [RT_CHAT] = "chat",
  [RT_CALL] = "call",
};
static const char *const verdict_names[] = {
  [EL_MAY_HAVE_RUN] = "may-have-run",
  [EL_NOT_RUN] = "not-run",
  [EL_RAN] = "ran",
};
static const char *const failure_names[RT_FAILS] = {
  [RT_FAIL_CONNECT] = "connect", [RT_FAIL_BROKEN] = "broken",
  [RT_FAIL_LEAVING] = "leaving", [RT_FAIL_BUSY] = "busy",
  [RT_FAIL_REFUSED] = "refused", [RT_FAIL_TIMEOUT] = "timeout",
  [RT_FAIL_CROSSED] = "crossed",
};

#define NAMES(list) (list), sizeof (list) / sizeof *(list)
#define EVENT_OFFSET(field) offsetof (rt_event_t, field)
#define ACTION_OFFSET(field) offsetof (rt_action_t, field)

static const field_t event_fields[] = {
  { "event", FIELD_ENUM, EVENT_OFFSET (kind), NAMES (event_names) },
  { "stream", FIELD_NUMBER, EVENT_OFFSET (stream), NULL, 0 },
  { "work", FIELD_ENUM, EVENT_OFFSET (work), NAMES (request_type_names) },
  { "customer", FIELD_STR, EVENT_OFFSET (customer), NULL, 0 },
  { "target", FIELD_STR, EVENT_OFFSET (target), NULL, 0 },
  { "prompt", FIELD_STR, EVENT_OFFSET (prompt), NULL, 0 },
  { "resume", FIELD_TOKENS, EVENT_OFFSET (resume), NULL, 0 },
  { "max_tokens", FIELD_NUMBER, EVENT_OFFSET (max_tokens), NULL, 0 },
  { "deadline", FIELD_NUMBER, EVENT_OFFSET (deadline), NULL, 0 },
  { "repeatable", FIELD_INT, EVENT_OFFSET (repeatable), NULL, 0 },
  { "call", FIELD_CALL_ID, EVENT_OFFSET (call), NULL, 0 },
  { "echo", FIELD_CALL_ID, EVENT_OFFSET (echo), NULL, 0 },
  { "hidden", FIELD_STR, EVENT_OFFSET (hidden), NULL, 0 },
  { "has_token", FIELD_INT, EVENT_OFFSET (has_token), NULL, 0 },
  { "token", FIELD_NUMBER, EVENT_OFFSET (token), NULL, 0 },
  { "text", FIELD_STR, EVENT_OFFSET (text), NULL, 0 },
  { "finish", FIELD_INT, EVENT_OFFSET (finish), NULL, 0 },
  { "verdict", FIELD_ENUM, EVENT_OFFSET (verdict), NAMES (verdict_names) },
  { "fail", FIELD_ENUM, EVENT_OFFSET (fail), NAMES (failure_names) },
  { "rest", FIELD_NUMBER, EVENT_OFFSET (rest), NULL, 0 },
  { "leaving", FIELD_INT, EVENT_OFFSET (leaving), NULL, 0 },
  { "hosts", FIELD_NUMBER, EVENT_OFFSET (hosts), NULL, 0 },
};

static const field_t action_fields[] = {
  { "action", FIELD_ENUM, ACTION_OFFSET (kind), NAMES (action_names) },
  { "stream", FIELD_NUMBER, ACTION_OFFSET (stream), NULL, 0 },
  { "work", FIELD_ENUM, ACTION_OFFSET (work), NAMES (request_type_names) },
  { "endpoint", FIELD_STR, ACTION_OFFSET (endpoint), NULL, 0 },
  { "call", FIELD_CALL_ID, ACTION_OFFSET (call), NULL, 0 },
  { "prompt", FIELD_STR, ACTION_OFFSET (prompt), NULL, 0 },
  { "hidden", FIELD_STR, ACTION_OFFSET (hidden), NULL, 0 },
  { "feed", FIELD_TOKENS, ACTION_OFFSET (feed), NULL, 0 },
  { "final", FIELD_INT, ACTION_OFFSET (final), NULL, 0 },
  { "due", FIELD_NUMBER, ACTION_OFFSET (due), NULL, 0 },
  { "token", FIELD_NUMBER, ACTION_OFFSET (token), NULL, 0 },
  { "text", FIELD_STR, ACTION_OFFSET (text), NULL, 0 },
  { "tokens", FIELD_NUMBER, ACTION_OFFSET (tokens), NULL, 0 },
  { "verdict", FIELD_ENUM, ACTION_OFFSET (verdict), NAMES (verdict_names) },
  { "retry_after_ms", FIELD_NUMBER, ACTION_OFFSET (retry_after_ms), NULL, 0 },
};

#define NFIELDS(list) (sizeof (list) / sizeof *(list))
#define CALL_ID_NUMBERS 6

/* Layout of a FIELD_TOKENS field: the pointer and the count are adjacent
   members of the event or action. */
typedef struct token_list
{
  const uint64_t *list;
  size_t len;
} token_list_t;

static json_t *
call_id_write (const rt_call_id_t *p)
{
  if (!p->stream)
    return NULL;
  return json_pack ("[I,I,I,I,I,I]", (json_int_t)p->stream,
                    (json_int_t)p->attempt, (json_int_t)p->step,
                    (json_int_t)p->first, (json_int_t)p->last,
                    (json_int_t)p->generation);
}

static json_t *
tokens_write (const token_list_t *tokens)
{
  json_t *list;
  size_t i;

  if (!tokens->len)
    return NULL;
  list = json_array ();
  for (i = 0; i < tokens->len; i++)
    json_array_append_new (list, json_integer ((json_int_t)tokens->list[i]));
  return list;
}

static json_t *
number_write (uint64_t number)
{
  return number ? json_integer ((json_int_t)number) : NULL;
}

static json_t *
field_write (const field_t *field, const void *value_ptr)
{
  const el_str_t *str = value_ptr;

  switch (field->type)
    {
    case FIELD_NUMBER:
      return number_write (*(const uint64_t *)value_ptr);
    case FIELD_INT:
      return number_write ((uint64_t) * (const int *)value_ptr);
    case FIELD_STR:
      return str->len ? json_stringn (str->ptr, str->len) : NULL;
    case FIELD_CALL_ID:
      return call_id_write (value_ptr);
    case FIELD_TOKENS:
      return tokens_write (value_ptr);
    case FIELD_ENUM:
      return json_string (field->names[*(const int *)value_ptr]);
    }
  return NULL;
}

static void
fields_write (json_t *out, const field_t *fields, size_t n, const void *from)
{
  json_t *value;
  size_t i;

  for (i = 0; i < n; i++)
    {
      value = field_write (&fields[i], (const char *)from + fields[i].offset);
      if (value)
        json_object_set_new (out, fields[i].name, value);
    }
}

/** Convert an event to a JSON object. */
json_t *
rt_trace_event (el_time_t now, const rt_event_t *event)
{
  json_t *out = json_pack ("{s:I}", "now", (json_int_t)now);

  fields_write (out, event_fields, NFIELDS (event_fields), event);
  return out;
}

/** Convert an action to a JSON object. */
json_t *
rt_trace_action (const rt_action_t *action)
{
  json_t *out = json_object ();

  fields_write (out, action_fields, NFIELDS (action_fields), action);
  if (action->kind == RT_ACT_END)
    json_object_set_new (out, "reason",
                         json_string (rt_reason_name (action->reason)));
  else
    json_object_del (out, "verdict");
  return out;
}

/** Convert a configuration change to a JSON object. */
json_t *
rt_trace_config (const co_resource_t *prev, const co_resource_t *next)
{
  const co_resource_t *res = next ? next : prev;

  return json_pack ("{s:s,s:s,s:s%,s:I,s:O?}", "event", "config", "kind",
                    co_kind_name (res->kind), "name", res->name.ptr,
                    res->name.len, "revision", (json_int_t)res->revision,
                    "spec", next ? next->json : NULL);
}

static int
call_id_read (const json_t *value, rt_call_id_t *out)
{
  uint64_t numbers[CALL_ID_NUMBERS];
  size_t i;

  if (json_array_size (value) != CALL_ID_NUMBERS)
    return 0;
  for (i = 0; i < CALL_ID_NUMBERS; i++)
    numbers[i] = (uint64_t)json_integer_value (json_array_get (value, i));
  *out = (rt_call_id_t){ numbers[0], numbers[1], numbers[2],
                         numbers[3], numbers[4], numbers[5] };
  return 1;
}

static int
tokens_read (const json_t *value, token_list_t *out)
{
  size_t n = json_array_size (value);
  uint64_t *list = el_alloc (n * sizeof *list);
  size_t i;

  for (i = 0; i < n; i++)
    list[i] = (uint64_t)json_integer_value (json_array_get (value, i));
  *out = (token_list_t){ list, n };
  return 1;
}

static int
enum_read (const field_t *field, const json_t *value, int *out)
{
  el_str_t wanted = { json_string_value (value), json_string_length (value) };
  size_t i;

  for (i = 0; i < field->nnames; i++)
    if (el_str_eq (wanted, el_str (field->names[i])))
      {
        *out = (int)i;
        return 1;
      }
  return 0;
}

static int
field_read (const field_t *field, const json_t *value, void *value_ptr)
{
  switch (field->type)
    {
    case FIELD_NUMBER:
      *(uint64_t *)value_ptr = (uint64_t)json_integer_value (value);
      return json_is_integer (value);
    case FIELD_INT:
      *(int *)value_ptr = (int)json_integer_value (value);
      return json_is_integer (value);
    case FIELD_STR:
      *(el_str_t *)value_ptr = (el_str_t){ json_string_value (value),
                                           json_string_length (value) };
      return json_is_string (value);
    case FIELD_CALL_ID:
      return call_id_read (value, value_ptr);
    case FIELD_TOKENS:
      return tokens_read (value, value_ptr);
    case FIELD_ENUM:
      return enum_read (field, value, value_ptr);
    }
  return 0;
}

/** Read an event from a line of a trace. Its strings point into LINE;
    rt_trace_release frees what else it owns. */
el_status_t
rt_trace_read (json_t *line, el_time_t *now, rt_event_t *event, el_err_t *err)
{
  json_t *value;
  size_t i;

  *event = (rt_event_t){ 0 };
  *now = (el_time_t)json_integer_value (json_object_get (line, "now"));
  for (i = 0; i < NFIELDS (event_fields); i++)
    {
      value = json_object_get (line, event_fields[i].name);
      if (value
          && !field_read (&event_fields[i], value,
                          (char *)event + event_fields[i].offset))
        return el_err_set (err, EL_INVALID, "%s: wrong type or unknown value",
                           event_fields[i].name);
    }
  return EL_OK;
}

void
rt_trace_release (rt_event_t *event)
{
  free ((void *)(uintptr_t)event->resume);
  event->resume = NULL;
  event->nresume = 0;
}
