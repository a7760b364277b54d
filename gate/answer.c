/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Answers: what came of a request so far, and who waits for the rest. Readers
 * are woken after the router has returned, never from within one of its
 * actions.
 */
#include <string.h>

#include "libgate.h"

#define TOKENS_FIRST_CAP 32

static void answer_hold_over (void *arg, el_time_t now);

/* Headers that belong to one connection, and those that the gate sets. */
static const char *const hop_headers[] = {
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

/** Whether a header is handed through between caller and endpoint. */
int
gt_header_passes (el_str_t name)
{
  size_t i;

  for (i = 0; i < sizeof hop_headers / sizeof *hop_headers; i++)
    if (h2o_lcstris (name.ptr, name.len, hop_headers[i],
                     strlen (hop_headers[i])))
      return 0;
  return 1;
}

gt_answer_t *
gt_answer_new (gt_gate_t *gate, const gt_ask_t *ask)
{
  gt_answer_t *answer = el_alloc (sizeof *answer);

  answer->refs = 1;
  answer->gate = gate;
  answer->work = ask->work;
  answer->target = el_str_dup (ask->target);
  answer->in_session = ask->in_session;
  answer->keep = !ask->repeatable;
  answer->base = ask->nresume;
  answer->hold.cb = answer_hold_over;
  answer->hold.arg = answer;
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
  net_clock_cancel (&answer->gate->clock, &answer->hold);
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

/* Have the readers woken once the router has returned. */
static void
answer_touch (gt_answer_t *answer)
{
  if (answer->dirty)
    return;
  answer->dirty = 1;
  gt_answer_ref (answer);
  answer->dirty_next = answer->gate->dirty;
  answer->gate->dirty = answer;
}

/** Wake the readers of all answers that have news. */
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

/** READER waits for ANSWER from now on, and is woken once for what is
    already there. */
void
gt_answer_attach (gt_answer_t *answer, gt_reader_t *reader)
{
  reader->answer = gt_answer_ref (answer);
  DL_APPEND (answer->readers, reader);
  net_clock_cancel (&answer->gate->clock, &answer->hold);
  reader->wake (reader);
}

static void
answer_cancel (gt_answer_t *answer)
{
  rt_event_t event = { .kind = RT_EV_CANCEL, .stream = answer->stream };

  gt_router_event (answer->gate, &event);
}

static void
answer_hold_over (void *arg, el_time_t now)
{
  gt_answer_t *answer = arg;

  (void)now;
  if (!answer->ended && !answer->readers)
    answer_cancel (answer);
}

/** READER has gone. A request that may be repeated and that nobody waits for
    is cancelled: in a session after a while, so that the caller can take the
    stream up again; without one at once. */
void
gt_answer_detach (gt_reader_t *reader)
{
  gt_answer_t *answer = reader->answer;

  if (!answer)
    return;
  reader->answer = NULL;
  DL_DELETE (answer->readers, reader);
  if (!answer->readers && !answer->ended && !answer->keep)
    {
      if (answer->in_session)
        net_clock_set (&answer->gate->clock, &answer->hold,
                       answer->gate->options.session_hold);
      else
        answer_cancel (answer);
    }
  gt_answer_unref (answer);
}

/** The next token of a chat. */
void
gt_answer_token (gt_answer_t *answer, uint64_t id, el_str_t text)
{
  gt_token_t *token;

  if (answer->ntokens == answer->cap_tokens)
    {
      answer->cap_tokens
          = answer->cap_tokens ? 2 * answer->cap_tokens : TOKENS_FIRST_CAP;
      answer->tokens = el_grow (answer->tokens, answer->cap_tokens,
                                sizeof *answer->tokens);
    }
  token = &answer->tokens[answer->ntokens++];
  token->id = id;
  token->offset = answer->text.len;
  token->len = text.len;
  el_buf_add (&answer->text, text);
  answer_touch (answer);
}

/** The endpoint's answer to a call. */
void
gt_answer_result (gt_answer_t *answer, const net_result_t *result)
{
  size_t i;

  answer->status = result->status;
  answer->headers
      = el_alloc ((result->nheaders + 1) * sizeof *answer->headers);
  for (i = 0; i < result->nheaders; i++)
    if (gt_header_passes (result->headers[i].name))
      {
        net_header_t *header = &answer->headers[answer->nheaders++];

        header->name = el_str_dup (result->headers[i].name);
        header->value = el_str_dup (result->headers[i].value);
      }
  el_buf_add (&answer->body, result->body);
}

void
gt_answer_end (gt_answer_t *answer, const gt_end_t *end)
{
  answer->ended = 1;
  answer->end = *end;
  answer_touch (answer);
}

/** The memory that an answer takes. */
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
