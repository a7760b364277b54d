/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Answers: the result of a request so far, and the readers that wait for the
 * rest. Readers are woken after the router has returned, never from within
 * one of its actions.
 */
#include <string.h>

#include "libgate.h"

#define TOKENS_INITIAL_CAP 32

static void unread_expired (void *arg, el_time_t now);

/* Hop-by-hop headers, and headers that the gateway sets or consumes itself. */
static const char *const unforwarded_headers[] = {
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "content-length",
  "host",
  "authorization",
  "expect",
  "date",
  "server",
  "x-elmarch-session",
  "x-elmarch-sequence",
};

/** Whether a header is passed on between caller and endpoint. */
int
gt_header_is_forwarded (el_str_t name)
{
  size_t i;

  for (i = 0; i < sizeof unforwarded_headers / sizeof *unforwarded_headers;
       i++)
    if (h2o_lcstris (name.ptr, name.len, unforwarded_headers[i],
                     strlen (unforwarded_headers[i])))
      return 0;
  return 1;
}

gt_answer_t *
gt_answer_new (gt_gate_t *gate, const gt_request_t *request)
{
  gt_answer_t *answer = el_alloc (sizeof *answer);

  answer->refs = 1;
  answer->gate = gate;
  answer->type = request->type;
  answer->target = el_str_dup (request->target);
  answer->in_session = request->in_session;
  answer->keep_running = !request->repeatable;
  answer->nresumed = request->nresume;
  answer->unread_timer.cb = unread_expired;
  answer->unread_timer.arg = answer;
  return answer;
}

gt_answer_t *
gt_answer_ref (gt_answer_t *answer)
{
  answer->refs++;
  return answer;
}

void
gt_answer_unref (gt_answer_t *answer)
{
  size_t i;

  if (--answer->refs)
    return;
  net_clock_cancel (&answer->gate->clock, &answer->unread_timer);
  for (i = 0; i < answer->nheaders; i++)
    {
      el_str_free (&answer->headers[i].name);
      el_str_free (&answer->headers[i].value);
    }
  free (answer->headers);
  free (answer->tokens);
  el_buf_free (&answer->text);
  el_buf_free (&answer->body);
  el_str_free (&answer->target);
  free (answer);
}

/* Schedules the readers to be woken once the router has returned. */
static void
answer_mark_dirty (gt_answer_t *answer)
{
  if (answer->dirty)
    return;
  answer->dirty = 1;
  gt_answer_ref (answer);
  answer->dirty_next = answer->gate->dirty;
  answer->gate->dirty = answer;
}

/** Wakes the readers of all answers that changed. */
void
gt_answer_flush (gt_gate_t *gate)
{
  gt_answer_t *answer;
  gt_reader_t *reader;
  gt_reader_t *next;

  while ((answer = gate->dirty))
    {
      gate->dirty = answer->dirty_next;
      answer->dirty = 0;
      DL_FOREACH_SAFE (answer->readers, reader, next)
      reader->wake (reader);
      gt_answer_unref (answer);
    }
}

/** Adds READER to the readers of ANSWER and wakes it once for the content
    that is already there. */
void
gt_answer_attach (gt_answer_t *answer, gt_reader_t *reader)
{
  reader->answer = gt_answer_ref (answer);
  DL_APPEND (answer->readers, reader);
  net_clock_cancel (&answer->gate->clock, &answer->unread_timer);
  reader->wake (reader);
}

static void
answer_cancel (gt_answer_t *answer)
{
  rt_event_t event = { .kind = RT_EV_CANCEL, .stream = answer->stream };

  gt_router_event (answer->gate, &event);
}

static void
unread_expired (void *arg, el_time_t now)
{
  gt_answer_t *answer = arg;

  (void)now;
  if (!answer->ended && !answer->readers)
    answer_cancel (answer);
}

/** Removes READER. A repeatable request without readers is cancelled: in a
    session after options.session_hold, so that the caller can resume the
    stream; otherwise at once. */
void
gt_answer_detach (gt_reader_t *reader)
{
  gt_answer_t *answer = reader->answer;

  if (!answer)
    return;
  reader->answer = NULL;
  DL_DELETE (answer->readers, reader);
  if (!answer->readers && !answer->ended && !answer->keep_running)
    {
      if (answer->in_session)
        net_clock_set (&answer->gate->clock, &answer->unread_timer,
                       answer->gate->options.session_hold);
      else
        answer_cancel (answer);
    }
  gt_answer_unref (answer);
}

/** Appends a token to the answer of a chat. */
void
gt_answer_token (gt_answer_t *answer, uint64_t id, el_str_t text)
{
  gt_token_t *token;

  if (answer->ntokens == answer->cap_tokens)
    {
      answer->cap_tokens
          = answer->cap_tokens ? 2 * answer->cap_tokens : TOKENS_INITIAL_CAP;
      answer->tokens = el_grow (answer->tokens, answer->cap_tokens,
                                sizeof *answer->tokens);
    }
  token = &answer->tokens[answer->ntokens++];
  token->id = id;
  token->offset = answer->text.len;
  token->len = text.len;
  el_buf_add (&answer->text, text);
  answer_mark_dirty (answer);
}

/** Stores the endpoint's response to a call. */
void
gt_answer_result (gt_answer_t *answer, const net_result_t *result)
{
  size_t i;

  answer->status = result->status;
  answer->headers
      = el_alloc ((result->nheaders + 1) * sizeof *answer->headers);
  for (i = 0; i < result->nheaders; i++)
    if (gt_header_is_forwarded (result->headers[i].name))
      {
        net_header_t *header = &answer->headers[answer->nheaders++];

        header->name = el_str_dup (result->headers[i].name);
        header->value = el_str_dup (result->headers[i].value);
      }
  el_buf_add (&answer->body, result->body);
}

void
gt_answer_finish (gt_answer_t *answer, const gt_outcome_t *outcome)
{
  answer->ended = 1;
  answer->outcome = *outcome;
  answer_mark_dirty (answer);
}

/** Memory used by an answer, in bytes. */
size_t
gt_answer_bytes (const gt_answer_t *answer)
{
  size_t bytes = sizeof *answer + answer->text.cap + answer->body.cap
                 + answer->cap_tokens * sizeof *answer->tokens;
  size_t i;

  for (i = 0; i < answer->nheaders; i++)
    bytes += sizeof *answer->headers + answer->headers[i].name.len
             + answer->headers[i].value.len;
  return bytes;
}
