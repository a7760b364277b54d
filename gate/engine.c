/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Protocol of engines and workers: JSON over HTTP. To support another
 * protocol, only this file needs to change.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "avail.h"
#include "libgate.h"

#define SESSION_NAME_MAX 64
#define INCARNATION_DIGITS 16

static void engine_write_call (const gt_gate_t *, const rt_action_t *,
                               el_buf_t *);
static void engine_write_abandon (const gt_gate_t *, const rt_action_t *,
                                  el_buf_t *);
static void engine_read_reply (const gt_gate_t *, const net_result_t *,
                               rt_event_t *, json_t **);

const gt_engine_protocol_t gt_engine_http = {
  .call_path = EL_STR ("/v1/stage"),
  .abandon_path = EL_STR ("/v1/abandon"),
  .write_call = engine_write_call,
  .write_abandon = engine_write_abandon,
  .read_reply = engine_read_reply,
};

/* Values of the x-refused header, by which an endpoint states that it did not
   start a request. */
static const struct
{
  const char *code;
  rt_failure_t fail;
} refusals[] = {
  { "leaving", RT_FAIL_LEAVING },
  { "busy", RT_FAIL_BUSY },
  { "no-cache", RT_FAIL_BUSY },
  { "invalid", RT_FAIL_REFUSED },
};

static const rt_failure_t net_failures[] = {
  [NET_CONNECT_FAILED] = RT_FAIL_CONNECT,
  [NET_CONNECT_REFUSED] = RT_FAIL_CONNECT,
  [NET_CONNECTION_LOST] = RT_FAIL_BROKEN,
  [NET_TIMEOUT] = RT_FAIL_TIMEOUT,
  [NET_TOO_BIG] = RT_FAIL_BROKEN,
  [NET_WITHHELD] = RT_FAIL_BUSY,
  [NET_CROSSED] = RT_FAIL_BROKEN,
};

rt_failure_t
gt_net_failure (net_outcome_t net)
{
  return net_failures[net];
}

/** Whether the endpoint states, in its x-refused header, that it refused the
    request before it started. Sets EVENT's failure and the backoff that the
    endpoint requests in retry-after. */
int
gt_endpoint_refused (const net_result_t *result, rt_event_t *event)
{
  el_str_t code = net_result_header (result, "x-refused");
  el_str_t retry_after = net_result_header (result, "retry-after");
  size_t i;

  for (i = 0; i < sizeof refusals / sizeof *refusals; i++)
    if (el_str_eq (code, el_str (refusals[i].code)))
      {
        event->fail = refusals[i].fail;
        if (retry_after.len
            && !el_str_to_time (retry_after, RT_BACKOFF_MAX, &event->rest))
          EL_LOG (EL_LOG_WARN, "rest_unread", EL_FS ("value", retry_after));
        return 1;
      }
  return 0;
}

/* Formats the name of a stream's session at engines, unique across hosts and
   their incarnations. */
static void
session_name (const gt_gate_t *gate, uint64_t stream,
              char out[SESSION_NAME_MAX])
{
  snprintf (out, SESSION_NAME_MAX, "%.*s-%" PRIu64, INCARNATION_DIGITS,
            gate->incarnation_hex, stream);
}

static void
json_append (json_t *json, el_buf_t *out)
{
  char *text = json_dumps (json, JSON_COMPACT);

  el_buf_add (out, el_str (text));
  free (text);
  json_decref (json);
}

static json_t *
feed_json (const rt_action_t *action)
{
  json_t *feed = json_array ();
  size_t i;

  for (i = 0; i < action->nfeed; i++)
    json_array_append_new (feed, json_integer ((json_int_t)action->feed[i]));
  return feed;
}

static void
engine_write_call (const gt_gate_t *gate, const rt_action_t *action,
                   el_buf_t *body)
{
  char session[SESSION_NAME_MAX];
  json_t *json;

  session_name (gate, action->stream, session);
  json = json_pack ("{s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:b}", "session", session,
                    "attempt", (json_int_t)action->call.attempt, "step",
                    (json_int_t)action->call.step, "first",
                    (json_int_t)action->call.first, "last",
                    (json_int_t)action->call.last, "generation",
                    (json_int_t)action->call.generation, "priority",
                    (json_int_t)action->priority, "final", action->final);
  if (action->prompt.len)
    json_object_set_new (
        json, "prompt",
        json_loadb (action->prompt.ptr, action->prompt.len, 0, NULL));
  if (action->nfeed)
    json_object_set_new (json, "feed", feed_json (action));
  if (action->hidden.len)
    json_object_set_new (
        json, "hidden", json_stringn (action->hidden.ptr, action->hidden.len));
  json_append (json, body);
}

static void
engine_write_abandon (const gt_gate_t *gate, const rt_action_t *action,
                      el_buf_t *body)
{
  char session[SESSION_NAME_MAX];

  session_name (gate, action->stream, session);
  json_append (json_pack ("{s:s,s:I}", "session", session, "attempt",
                          (json_int_t)action->call.attempt),
               body);
}

static el_str_t
json_str (const json_t *value)
{
  return (el_str_t){ json_string_value (value), json_string_length (value) };
}

static uint64_t
json_u64 (const json_t *object, const char *name)
{
  return (uint64_t)json_integer_value (json_object_get (object, name));
}

/* Fills EVENT for a response that is not a valid answer to a stage call: it is
   not known whether the call ran. */
static void
reply_invalid (rt_event_t *event)
{
  event->kind = RT_EV_FAILED;
  event->verdict = EL_MAY_HAVE_RUN;
  event->fail = RT_FAIL_BROKEN;
}

static void
engine_read_reply (const gt_gate_t *gate, const net_result_t *result,
                   rt_event_t *event, json_t **backing)
{
  char session[SESSION_NAME_MAX];
  json_t *json;
  json_t *token;

  if (gt_endpoint_refused (result, event))
    {
      event->kind = RT_EV_FAILED;
      event->verdict = EL_NOT_RUN;
      return;
    }
  json = json_loadb (result->body.ptr, result->body.len, 0, NULL);
  *backing = json;
  if (result->status != 200 || !json_is_object (json))
    {
      reply_invalid (event);
      return;
    }
  session_name (gate, event->stream, session);
  event->kind = RT_EV_REPLY;
  event->echo.stream = el_str_eq (json_str (json_object_get (json, "session")),
                                  el_str (session))
                           ? event->stream
                           : 0;
  event->echo.attempt = json_u64 (json, "attempt");
  event->echo.step = json_u64 (json, "step");
  event->echo.first = json_u64 (json, "first");
  event->echo.last = json_u64 (json, "last");
  event->echo.generation = json_u64 (json, "generation");
  event->hidden = json_str (json_object_get (json, "hidden"));
  token = json_object_get (json, "token");
  event->has_token = json_is_integer (token);
  event->token = (uint64_t)json_integer_value (token);
  event->text = json_str (json_object_get (json, "text"));
  event->finish = json_is_true (json_object_get (json, "finish"));
}
