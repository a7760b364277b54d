/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Responses to callers, complete or as server-sent events. Each gives its
 * verdict: in a header, or for a stream in the last event.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "libgate.h"

#define MSEC_PER_SEC 1000

typedef struct caller
{
  gt_reader_t reader;
  h2o_generator_t generator;
  gt_gate_t *gate;
  h2o_req_t *req;
  int stream;
  int started;
  int sending;
  int finished;
  size_t position; /* tokens sent, counting those the caller already had */
  el_buf_t chunk;
} caller_t;

/* The error reply for each reason. */
static const struct
{
  int status; /* used if nothing of the answer was sent */
  const char *message;
} reason_replies[RT_REASONS] = {
  [RT_CANCELLED] = { 503, "the request was cancelled" },
  [RT_NOT_FOUND] = { 404, "no such model, service or customer" },
  [RT_NO_ROUTE] = { 503, "no endpoints can serve this now" },
  [RT_QUEUE_FULL] = { 503, "too many requests wait" },
  [RT_CUSTOMER_LIMIT] = { 429, "too many of the customer's requests run" },
  [RT_DEADLINE] = { 504, "the request's time is over" },
  [RT_RETRIES_USED_UP] = { 503, "failed, and no further retry is allowed" },
  [RT_ENDPOINT_FAILED] = { 502, "the endpoint failed" },
  [RT_STOPPING] = { 503, "this host is stopping; use another" },
};

/** Builds the verdict header, and the retry headers unless RETRY_AFTER_MS is
    0. */
void
gt_verdict_headers (el_verdict_t verdict, uint64_t retry_after_ms,
                    gt_verdict_header_set_t *out)
{
  out->n = 0;
  out->headers[out->n++]
      = (net_header_t){ EL_STR ("x-elmarch-verdict"),
                        el_str (el_verdict_name (verdict)) };
  if (!retry_after_ms)
    return;
  snprintf (out->seconds, sizeof out->seconds, "%" PRIu64,
            (retry_after_ms + MSEC_PER_SEC - 1) / MSEC_PER_SEC);
  snprintf (out->ms, sizeof out->ms, "%" PRIu64, retry_after_ms);
  out->headers[out->n++]
      = (net_header_t){ EL_STR ("retry-after"), el_str (out->seconds) };
  out->headers[out->n++] = (net_header_t){ EL_STR ("x-elmarch-retry-after-ms"),
                                           el_str (out->ms) };
}

static void
verdict_headers (h2o_req_t *req, el_verdict_t verdict, uint64_t retry_after_ms)
{
  gt_verdict_header_set_t head;
  size_t i;

  gt_verdict_headers (verdict, retry_after_ms, &head);
  for (i = 0; i < head.n; i++)
    net_req_add_header (req, head.headers[i].name, head.headers[i].value);
}

/** The JSON body of an error reply. */
json_t *
gt_refusal_json (const gt_refusal_t *refusal)
{
  json_t *json = json_pack ("{s:{s:s,s:s,s:s},s:{s:s}}", "error", "message",
                            refusal->message, "type", "elmarch_error", "code",
                            refusal->code, "elmarch", "verdict",
                            el_verdict_name (refusal->verdict));

  if (refusal->retry_after_ms)
    json_object_set_new (json_object_get (json, "elmarch"), "retry_after_ms",
                         json_integer ((json_int_t)refusal->retry_after_ms));
  return json;
}

/** Sends an error reply. */
void
gt_caller_refuse (h2o_req_t *req, const gt_refusal_t *refusal)
{
  json_t *json = gt_refusal_json (refusal);
  char *text = json_dumps (json, JSON_COMPACT);

  verdict_headers (req, refusal->verdict, refusal->retry_after_ms);
  net_req_reply (req, refusal->status, GT_JSON, el_str (text));
  free (text);
  json_decref (json);
}

/** The error reply for an OUTCOME without a complete answer. */
void
gt_refusal_from_outcome (const gt_outcome_t *outcome, gt_refusal_t *out)
{
  out->status = reason_replies[outcome->reason].status;
  out->verdict = outcome->verdict;
  out->code = rt_reason_name (outcome->reason);
  out->message = reason_replies[outcome->reason].message;
  out->retry_after_ms = outcome->retry_after_ms;
}

static int
outcome_is_complete (const gt_outcome_t *outcome)
{
  return outcome->reason == RT_DONE || outcome->reason == RT_LENGTH;
}

static void
reply_call (caller_t *caller)
{
  gt_answer_t *answer = caller->reader.answer;
  h2o_req_t *req = caller->req;
  size_t i;

  verdict_headers (req, answer->outcome.verdict, 0);
  for (i = 0; i < answer->nheaders; i++)
    net_req_add_header (req, answer->headers[i].name,
                        answer->headers[i].value);
  net_req_reply (req, answer->status, (el_str_t){ NULL, 0 },
                 el_buf_str (&answer->body));
}

static void
reply_chat (caller_t *caller)
{
  gt_answer_t *answer = caller->reader.answer;
  size_t skip = caller->position - answer->nresumed;
  size_t offset = skip < answer->ntokens ? answer->tokens[skip].offset
                                         : answer->text.len;
  el_str_t text = el_str_after (el_buf_str (&answer->text), offset);
  char id[GT_NUMBER_MAX + 16];
  json_t *json;
  char *dump;

  snprintf (id, sizeof id, "chatcmpl-%" PRIu64, answer->stream);
  json = json_pack (
      "{s:s,s:s,s:s%,s:[{s:i,s:{s:s,s:s%},s:s}],s:{s:I},s:{s:s}}", "id", id,
      "object", "chat.completion", "model", answer->target.ptr,
      answer->target.len, "choices", "index", 0, "message", "role",
      "assistant", "content", text.len ? text.ptr : "", text.len,
      "finish_reason", rt_reason_name (answer->outcome.reason), "usage",
      "completion_tokens", (json_int_t)(answer->nresumed + answer->ntokens),
      "elmarch", "verdict", el_verdict_name (answer->outcome.verdict));
  dump = json_dumps (json, JSON_COMPACT);
  verdict_headers (caller->req, answer->outcome.verdict, 0);
  net_req_reply (caller->req, 200, GT_JSON, el_str (dump));
  free (dump);
  json_decref (json);
}

static void
caller_send_complete (caller_t *caller)
{
  gt_answer_t *answer = caller->reader.answer;
  gt_refusal_t refusal;

  if (!answer->ended || caller->finished)
    return;
  caller->finished = 1;
  if (!outcome_is_complete (&answer->outcome))
    {
      gt_refusal_from_outcome (&answer->outcome, &refusal);
      gt_caller_refuse (caller->req, &refusal);
    }
  else if (answer->type == RT_CALL)
    reply_call (caller);
  else
    reply_chat (caller);
}

static void
write_event (el_buf_t *out, json_t *json)
{
  char *dump = json_dumps (json, JSON_COMPACT);

  el_buf_add (out, EL_STR ("data: "));
  el_buf_add (out, el_str (dump));
  el_buf_add (out, EL_STR ("\n\n"));
  free (dump);
  json_decref (json);
}

static void
write_token_event (caller_t *caller, size_t i)
{
  gt_answer_t *answer = caller->reader.answer;
  const gt_token_t *token = &answer->tokens[i];
  char id[GT_NUMBER_MAX + 16];

  snprintf (id, sizeof id, "chatcmpl-%" PRIu64, answer->stream);
  write_event (&caller->chunk,
               json_pack ("{s:s,s:s,s:s%,s:[{s:i,s:{s:s%},s:n}],s:{s:I,s:I}}",
                          "id", id, "object", "chat.completion.chunk", "model",
                          answer->target.ptr, answer->target.len, "choices",
                          "index", 0, "delta", "content",
                          token->len ? answer->text.ptr + token->offset : "",
                          token->len, "finish_reason", "elmarch", "index",
                          (json_int_t)(answer->nresumed + i), "token",
                          (json_int_t)token->id));
}

/* The last event of a stream, followed by [DONE] only if the answer is
   complete. */
static void
write_final_event (caller_t *caller)
{
  gt_answer_t *answer = caller->reader.answer;
  gt_refusal_t refusal;
  json_t *json;

  if (!outcome_is_complete (&answer->outcome))
    {
      gt_refusal_from_outcome (&answer->outcome, &refusal);
      json = gt_refusal_json (&refusal);
      json_object_set_new (
          json_object_get (json, "elmarch"), "tokens",
          json_integer ((json_int_t)(answer->nresumed + answer->ntokens)));
      write_event (&caller->chunk, json);
      return;
    }
  write_event (&caller->chunk,
               json_pack ("{s:s,s:s%,s:[{s:i,s:{},s:s}],s:{s:s,s:I}}",
                          "object", "chat.completion.chunk", "model",
                          answer->target.ptr, answer->target.len, "choices",
                          "index", 0, "delta", "finish_reason",
                          rt_reason_name (answer->outcome.reason), "elmarch",
                          "verdict", el_verdict_name (answer->outcome.verdict),
                          "tokens",
                          (json_int_t)(answer->nresumed + answer->ntokens)));
  el_buf_add (&caller->chunk, EL_STR ("data: [DONE]\n\n"));
}

static void
stream_start (caller_t *caller)
{
  h2o_req_t *req = caller->req;

  caller->started = 1;
  req->res.status = 200;
  req->res.reason = "OK";
  net_req_add_header (req, EL_STR ("content-type"),
                      EL_STR ("text/event-stream"));
  net_req_add_header (req, EL_STR ("cache-control"), EL_STR ("no-store"));
  h2o_start_response (req, &caller->generator);
}

/* Sends the tokens not sent yet. Only one chunk is in flight at a time, so a
   slow caller delays nobody else: further tokens are buffered in the
   answer. */
static void
caller_send_stream (caller_t *caller)
{
  gt_answer_t *answer = caller->reader.answer;
  h2o_iovec_t iov;
  int ended = answer->ended;

  if (caller->sending || caller->finished)
    return;
  if (!caller->started)
    {
      if (ended && !outcome_is_complete (&answer->outcome)
          && answer->ntokens == 0)
        {
          caller_send_complete (caller);
          return;
        }
      if (!ended && answer->nresumed + answer->ntokens <= caller->position)
        return;
      stream_start (caller);
    }
  el_buf_reset (&caller->chunk);
  while (caller->position < answer->nresumed + answer->ntokens)
    write_token_event (caller, caller->position++ - answer->nresumed);
  if (ended)
    write_final_event (caller);
  if (caller->chunk.len == 0)
    return;
  caller->sending = 1;
  caller->finished = ended;
  iov = h2o_iovec_init (caller->chunk.ptr, caller->chunk.len);
  h2o_send (caller->req, &iov, 1,
            ended ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

static void
caller_wake (gt_reader_t *reader)
{
  caller_t *caller = H2O_STRUCT_FROM_MEMBER (caller_t, reader, reader);

  if (caller->stream)
    caller_send_stream (caller);
  else
    caller_send_complete (caller);
}

static void
caller_proceed (h2o_generator_t *generator, h2o_req_t *req)
{
  caller_t *caller = H2O_STRUCT_FROM_MEMBER (caller_t, generator, generator);

  (void)req;
  caller->sending = 0;
  caller_send_stream (caller);
}

static void
caller_stop (h2o_generator_t *generator, h2o_req_t *req)
{
  caller_t *caller = H2O_STRUCT_FROM_MEMBER (caller_t, generator, generator);

  (void)req;
  caller->finished = 1;
}

/* Called when h2o frees the request: it was answered, or the caller
   disconnected. */
static void
caller_dispose (void *arg)
{
  caller_t *caller = arg;

  caller->finished = 1;
  caller->gate->open_responses--;
  gt_answer_detach (&caller->reader);
  el_buf_free (&caller->chunk);
}

/** Answers REQ with ANSWER, starting at token POSITION. Takes over the
    reference to ANSWER. */
void
gt_caller_serve (gt_gate_t *gate, h2o_req_t *req, gt_answer_t *answer,
                 int stream, size_t position)
{
  caller_t *caller
      = h2o_mem_alloc_shared (&req->pool, sizeof *caller, caller_dispose);

  memset (caller, 0, sizeof *caller);
  caller->gate = gate;
  gate->open_responses++;
  caller->reader.wake = caller_wake;
  caller->generator.proceed = caller_proceed;
  caller->generator.stop = caller_stop;
  caller->req = req;
  caller->stream = stream;
  caller->position = position > answer->nresumed ? position : answer->nresumed;
  if (caller->position > answer->nresumed + answer->ntokens && answer->ended)
    caller->position = answer->nresumed + answer->ntokens;
  gt_answer_attach (answer, &caller->reader);
  gt_answer_unref (answer);
}
