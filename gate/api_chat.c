/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * POST /v1/chat/completions: validates the JSON body against a table of
 * fields and runs the chat.
 */
#include <stdio.h>
#include <string.h>

#include "libgate.h"

#define MESSAGES_MAX 1024
#define RESUME_TOKENS_MAX 131072

typedef enum chat_type
{
  CHAT_STRING,
  CHAT_BOOL,
  CHAT_COUNT,
  CHAT_NUMBER,
  CHAT_MESSAGES,
  CHAT_TOKENS,
  CHAT_ANY
} chat_type_t;

/* Fields with is_param set are passed on to the engines unchanged. */
static const struct
{
  const char *name;
  chat_type_t type;
  int is_param;
} fields[] = {
  { "model", CHAT_STRING, 0 },
  { "messages", CHAT_MESSAGES, 0 },
  { "stream", CHAT_BOOL, 0 },
  { "max_tokens", CHAT_COUNT, 0 },
  { "max_completion_tokens", CHAT_COUNT, 0 },
  { "resume_tokens", CHAT_TOKENS, 0 },
  { "temperature", CHAT_NUMBER, 1 },
  { "top_p", CHAT_NUMBER, 1 },
  { "frequency_penalty", CHAT_NUMBER, 1 },
  { "presence_penalty", CHAT_NUMBER, 1 },
  { "seed", CHAT_NUMBER, 1 },
  { "stop", CHAT_ANY, 1 },
  { "user", CHAT_STRING, 1 },
  { "response_format", CHAT_ANY, 1 },
};

static const char *const type_descriptions[] = {
  [CHAT_STRING] = "a string",
  [CHAT_BOOL] = "true or false",
  [CHAT_COUNT] = "a whole number from 1",
  [CHAT_NUMBER] = "a number",
  [CHAT_MESSAGES] = "a list of 1 to 1024 objects with role and content",
  [CHAT_TOKENS] = "a list of token numbers",
  [CHAT_ANY] = "any value",
};

/* A request that waits until its session's home has been asked whether it is
   alive. */
typedef struct home_query
{
  gt_gate_t *gate;
  gt_deferred_t *deferred;
  gt_request_t request;
} home_query_t;

static int
messages_valid (const json_t *messages)
{
  size_t n = json_array_size (messages);
  size_t i;

  if (n == 0 || n > MESSAGES_MAX)
    return 0;
  for (i = 0; i < n; i++)
    {
      json_t *message = json_array_get (messages, i);

      if (!json_is_string (json_object_get (message, "role"))
          || !json_is_string (json_object_get (message, "content")))
        return 0;
    }
  return 1;
}

static int
tokens_valid (const json_t *tokens)
{
  size_t n = json_array_size (tokens);
  size_t i;

  if (!json_is_array (tokens) || n > RESUME_TOKENS_MAX)
    return 0;
  for (i = 0; i < n; i++)
    if (!json_is_integer (json_array_get (tokens, i))
        || json_integer_value (json_array_get (tokens, i)) < 0)
      return 0;
  return 1;
}

static int
field_valid (chat_type_t type, const json_t *value)
{
  switch (type)
    {
    case CHAT_STRING:
      return json_is_string (value);
    case CHAT_BOOL:
      return json_is_boolean (value);
    case CHAT_COUNT:
      return json_is_integer (value) && json_integer_value (value) >= 1;
    case CHAT_NUMBER:
      return json_is_number (value);
    case CHAT_MESSAGES:
      return messages_valid (value);
    case CHAT_TOKENS:
      return tokens_valid (value);
    case CHAT_ANY:
      return 1;
    }
  return 0;
}

/* Whether all fields are known and have the right type; otherwise MESSAGE
   describes the first invalid one. Collects the parameters in PARAMS. */
static int
chat_validate (json_t *json, json_t *params, char *message, size_t size)
{
  const char *name;
  json_t *value;
  size_t i;

  json_object_foreach (json, name, value)
  {
    for (i = 0; i < sizeof fields / sizeof *fields; i++)
      if (strcmp (fields[i].name, name) == 0)
        break;
    if (i == sizeof fields / sizeof *fields)
      {
        snprintf (message, size, "%.64s: unknown field", name);
        return 0;
      }
    if (!field_valid (fields[i].type, value))
      {
        snprintf (message, size, "%s: takes %s", name,
                  type_descriptions[fields[i].type]);
        return 0;
      }
    if (fields[i].is_param)
      json_object_set (params, name, value);
  }
  if (!json_object_get (json, "model") || !json_object_get (json, "messages"))
    {
      snprintf (message, size, "model and messages are required");
      return 0;
    }
  return 1;
}

static el_str_t
pool_str (h2o_req_t *req, el_str_t s)
{
  h2o_iovec_t copy = h2o_strdup (&req->pool, s.ptr, s.len);

  return (el_str_t){ copy.base, copy.len };
}

static void
chat_resume (h2o_req_t *req, const json_t *tokens, gt_request_t *request)
{
  size_t n = json_array_size (tokens);
  uint64_t *list;
  size_t i;

  if (!n)
    return;
  list = h2o_mem_alloc_pool (&req->pool, n * sizeof *list);
  for (i = 0; i < n; i++)
    list[i] = (uint64_t)json_integer_value (json_array_get (tokens, i));
  request->resume = list;
  request->nresume = n;
}

/* Fills REQUEST; its strings are allocated in the pool of REQ. */
static void
request_fill (h2o_req_t *req, json_t *json, json_t *params,
              gt_request_t *request)
{
  json_t *count = json_object_get (json, "max_completion_tokens");
  json_t *model = json_object_get (json, "model");
  json_t *prompt
      = json_pack ("{s:O,s:O}", "messages", json_object_get (json, "messages"),
                   "params", params);
  char *text = json_dumps (prompt, JSON_COMPACT | JSON_SORT_KEYS);

  if (!count)
    count = json_object_get (json, "max_tokens");
  request->type = RT_CHAT;
  request->target = pool_str (req, (el_str_t){ json_string_value (model),
                                               json_string_length (model) });
  request->prompt = pool_str (req, el_str (text));
  request->max_tokens = (uint64_t)json_integer_value (count);
  request->stream = json_is_true (json_object_get (json, "stream"));
  chat_resume (req, json_object_get (json, "resume_tokens"), request);
  request->digest = el_str_hash (request->prompt)
                    ^ el_str_hash (request->target) ^ request->max_tokens;
  free (text);
  json_decref (prompt);
}

static int
chat_parse (gt_gate_t *gate, h2o_req_t *req, gt_request_t *request)
{
  el_str_t body = net_req_body (req);
  char message[EL_ERR_MAX] = "";
  json_error_t error;
  json_t *params;
  json_t *json;
  int valid;

  json = json_loadb (body.ptr ? body.ptr : "", body.len,
                     JSON_REJECT_DUPLICATES, &error);
  if (!json_is_object (json))
    {
      snprintf (message, sizeof message, "body: takes a JSON object: %.160s",
                json ? "got another type" : error.text);
      gt_api_error (gate, req, 400, "bad-json", message);
      json_decref (json);
      return 0;
    }
  params = json_object ();
  valid = chat_validate (json, params, message, sizeof message);
  if (valid)
    request_fill (req, json, params, request);
  else
    gt_api_error (gate, req, 400, "bad-field", message);
  json_decref (params);
  json_decref (json);
  return valid;
}

static void
chat_redirect (h2o_req_t *req, el_str_t http)
{
  el_buf_t location = { NULL, 0, 0 };

  el_buf_printf (&location, "http://%.*s/v1/chat/completions", (int)http.len,
                 http.ptr);
  net_req_add_header (req, EL_STR ("location"), el_buf_str (&location));
  net_req_add_header (req, EL_STR ("x-elmarch-verdict"),
                      EL_STR ("may-have-run"));
  net_req_reply (req, 307, (el_str_t){ NULL, 0 }, EL_STR (""));
  el_buf_free (&location);
}

static void
chat_run (gt_gate_t *gate, h2o_req_t *req, const gt_request_t *request)
{
  gt_refusal_t refusal;
  gt_answer_t *answer = gt_request_submit (gate, request, &refusal);

  if (answer)
    gt_caller_serve (gate, req, answer, request->stream, request->nresume);
  else if (refusal.redirect)
    chat_redirect (req, refusal.owner.http);
  else
    gt_caller_refuse (req, &refusal);
}

/* Called when the session's home has been asked. If it is alive, the caller is
   redirected to it. Otherwise a repeatable request runs here without the
   session, resuming after the tokens that the caller has; any other request
   may have run there and is refused. */
static void
home_answered (void *arg, pr_home_state_t state)
{
  home_query_t *query = arg;
  gt_gate_t *gate = query->gate;
  h2o_req_t *req = gt_deferred_finish (query->deferred);
  gt_refusal_t refusal
      = { .status = 409,
          .verdict = EL_MAY_HAVE_RUN,
          .code = "home-gone",
          .message
          = "the session's home does not answer; open a new session for new "
            "requests" };

  if (req && state == PR_HOME_LIVE)
    {
      gate->counts.forwarded++;
      chat_redirect (req, query->request.owner.http);
    }
  else if (req && query->request.repeatable)
    {
      gate->counts.home_gone++;
      query->request.in_session = 0;
      net_req_add_header (req, EL_STR ("x-elmarch-session-lost"),
                          EL_STR ("1"));
      chat_run (gate, req, &query->request);
    }
  else if (req)
    {
      gate->counts.home_gone++;
      gt_caller_refuse (req, &refusal);
    }
  free (query);
}

/** Serves POST /v1/chat/completions. */
void
gt_api_chat (gt_gate_t *gate, h2o_req_t *req, el_str_t rest)
{
  gt_request_t request = { 0 };

  (void)rest;
  if (!gt_api_authenticate (gate, req, &request)
      || !gt_api_deadline (gate, req, &request.deadline)
      || !chat_parse (gate, req, &request))
    return;
  request.repeatable = !el_str_eq (
      net_req_header (req, "x-elmarch-repeatable"), EL_STR ("no"));
  if (request.in_session
      && pr_peers_find_home (gate->peers, &request.token, &request.owner))
    {
      home_query_t *query = el_alloc (sizeof *query);

      query->gate = gate;
      query->deferred = gt_deferred_new (req);
      request.owner.http = pool_str (req, request.owner.http);
      query->request = request;
      pr_peers_check_home (gate->peers, &request.owner, home_answered, query);
      return;
    }
  chat_run (gate, req, &request);
}
