/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A model engine that holds a range of layers. POST /v1/stage runs them over
 * the positions of a step, POST /v1/abandon drops an attempt's cache, GET
 * /stats returns counters.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libgate.h"
#include "model.h"
#include "standin.h"

#define KEY_MAX 128
#define PROMPT_CHUNK 16
#define HEX_DIGITS 16
#define HEX_BASE 16
#define TEXT_MAX 32

/* The state of the layers for one attempt. */
typedef struct cache
{
  char key[KEY_MAX];
  uint64_t next_step;
  int fresh; /* no step has run yet */
  uint64_t *states;
  UT_hash_handle hh;
} cache_t;

typedef struct engine
{
  cache_t *caches;
  uint64_t calls;
  uint64_t refused;
  uint64_t abandoned;
} engine_t;

typedef struct positions
{
  uint64_t *list;
  size_t len;
} positions_t;

static void
engine_open (sn_process_t *process)
{
  process->state = el_alloc (sizeof (engine_t));
}

static void
positions_add (positions_t *p, uint64_t value)
{
  p->list = el_grow (p->list, p->len + 1, sizeof *p->list);
  p->list[p->len++] = value;
}

/* Converts a prompt to positions, one for each PROMPT_CHUNK bytes of its JSON.
 */
static void
prompt_embed (json_t *prompt, positions_t *out)
{
  char *text = json_dumps (prompt, JSON_COMPACT | JSON_SORT_KEYS);
  el_str_t rest = el_str (text);
  size_t n;

  while (rest.len)
    {
      n = rest.len < PROMPT_CHUNK ? rest.len : PROMPT_CHUNK;
      positions_add (out,
                     model_embed (el_str_hash ((el_str_t){ rest.ptr, n })));
      rest = el_str_after (rest, n);
    }
  free (text);
}

static void
input_read (json_t *json, positions_t *out)
{
  json_t *prompt = json_object_get (json, "prompt");
  json_t *feed = json_object_get (json, "feed");
  const char *hidden = json_string_value (json_object_get (json, "hidden"));
  char part[HEX_DIGITS + 1] = "";
  json_t *token;
  size_t i;

  if (prompt)
    prompt_embed (prompt, out);
  json_array_foreach (feed, i, token)
      positions_add (out, model_embed ((uint64_t)json_integer_value (token)));
  for (; hidden && strlen (hidden) >= HEX_DIGITS; hidden += HEX_DIGITS)
    {
      memcpy (part, hidden, HEX_DIGITS);
      positions_add (out, strtoull (part, NULL, HEX_BASE));
    }
}

static void
layers_run (const sn_process_t *process, cache_t *cache, positions_t *p)
{
  uint64_t layer;
  size_t i;

  for (i = 0; i < p->len; i++)
    for (layer = process->settings.layers_first;
         layer <= process->settings.layers_last; layer++)
      p->list[i] = model_layer (
          layer, &cache->states[layer - process->settings.layers_first],
          p->list[i]);
}

static json_t *
output_write (json_t *json, const positions_t *p, uint64_t step,
              sn_fault_t fault)
{
  json_t *out = json_object ();
  static const char *const echoed[]
      = { "session", "attempt", "step", "first", "last", "generation" };
  uint64_t token = p->list[p->len - 1] % MODEL_VOCABULARY_SIZE;
  el_buf_t hidden = { NULL, 0, 0 };
  char text[TEXT_MAX];
  size_t i;

  for (i = 0; i < sizeof echoed / sizeof *echoed; i++)
    json_object_set (out, echoed[i], json_object_get (json, echoed[i]));
  if (fault == SN_CROSS)
    json_object_set_new (out, "step", json_integer ((json_int_t)step + 1));
  if (json_is_true (json_object_get (json, "final")))
    {
      snprintf (text, sizeof text, " w%" PRIu64, token);
      json_object_set_new (out, "token", json_integer ((json_int_t)token));
      json_object_set_new (out, "text", json_string (text));
      json_object_set_new (out, "finish",
                           json_boolean (token % MODEL_STOP_EVERY == 0));
      return out;
    }
  for (i = 0; i < p->len; i++)
    el_buf_printf (&hidden, "%016" PRIx64, p->list[i]);
  json_object_set_new (out, "hidden", json_stringn (hidden.ptr, hidden.len));
  el_buf_free (&hidden);
  return out;
}

static cache_t *
cache_get (sn_process_t *process, json_t *json, int create)
{
  engine_t *engine = process->state;
  char key[KEY_MAX];
  cache_t *cache;

  snprintf (key, sizeof key, "%s/%" JSON_INTEGER_FORMAT,
            json_string_value (json_object_get (json, "session")),
            json_integer_value (json_object_get (json, "attempt")));
  HASH_FIND_STR (engine->caches, key, cache);
  if (cache || !create)
    return cache;
  cache = el_alloc (sizeof *cache);
  snprintf (cache->key, sizeof cache->key, "%s", key);
  cache->fresh = 1;
  cache->states = el_alloc (
      (process->settings.layers_last - process->settings.layers_first + 1)
      * sizeof *cache->states);
  HASH_ADD_STR (engine->caches, key, cache);
  return cache;
}

static void
cache_drop (engine_t *engine, cache_t *cache)
{
  HASH_DEL (engine->caches, cache);
  free (cache->states);
  free (cache);
}

static void
stage_answer (h2o_req_t *req, json_t *answer)
{
  sn_reply_json (req, 200, answer);
}

/* Whether the call is for the layers and the generation of weights held here.
 */
static int
stage_matches (const sn_process_t *process, json_t *json)
{
  return json_integer_value (json_object_get (json, "first"))
             == (json_int_t)process->settings.layers_first
         && json_integer_value (json_object_get (json, "last"))
                == (json_int_t)process->settings.layers_last
         && json_integer_value (json_object_get (json, "generation"))
                == (json_int_t)process->settings.generation;
}

static void
stage_serve (sn_process_t *process, h2o_req_t *req, json_t *json,
             sn_fault_t fault)
{
  engine_t *engine = process->state;
  uint64_t step
      = (uint64_t)json_integer_value (json_object_get (json, "step"));
  positions_t p = { NULL, 0 };
  cache_t *cache;
  json_t *answer;

  input_read (json, &p);
  cache = p.len && stage_matches (process, json) ? cache_get (process, json, 1)
                                                 : NULL;
  if (!cache || (!cache->fresh && cache->next_step != step))
    {
      engine->refused++;
      free (p.list);
      sn_refuse (process, req, "invalid");
      return;
    }
  engine->calls++;
  cache->fresh = 0;
  cache->next_step = step + 1;
  layers_run (process, cache, &p);
  if (fault == SN_DIE_AFTER)
    exit (EXIT_FAILURE);
  answer = output_write (json, &p, step, fault);
  free (p.list);
  if (fault == SN_LOSE || fault == SN_HANG)
    {
      json_decref (answer);
      if (fault == SN_LOSE)
        sn_drop_connection (req);
      return;
    }
  if (process->settings.step_us || fault == SN_SLOW)
    sn_reply_later (process, req, answer,
                    process->settings.step_us
                        + (fault == SN_SLOW ? process->delay_ms * EL_MSEC : 0),
                    stage_answer);
  else
    stage_answer (req, answer);
}

static void
abandon_serve (sn_process_t *process, h2o_req_t *req, json_t *json)
{
  engine_t *engine = process->state;
  cache_t *cache = cache_get (process, json, 0);

  if (cache)
    {
      engine->abandoned++;
      cache_drop (engine, cache);
    }
  sn_reply_json (req, 200, json_object ());
}

static void
engine_serve (sn_process_t *process, h2o_req_t *req)
{
  engine_t *engine = process->state;
  json_t *json = sn_parse_body (req);
  sn_fault_t fault;

  if (el_str_eq (net_req_path (req), EL_STR ("/stats")))
    sn_reply_json (req, 200,
                   json_pack ("{s:I,s:I,s:I,s:I}", "calls",
                              (json_int_t)engine->calls, "refused",
                              (json_int_t)engine->refused, "abandoned",
                              (json_int_t)engine->abandoned, "caches",
                              (json_int_t)HASH_COUNT (engine->caches)));
  else if (el_str_eq (net_req_path (req), EL_STR ("/v1/abandon")))
    abandon_serve (process, req, json);
  else
    {
      fault = sn_fault_next (process);
      if (fault == SN_DIE_BEFORE)
        exit (EXIT_FAILURE);
      if (fault == SN_DOWN)
        sn_reply_json (req, 500, json_object ());
      else if (fault == SN_LEAVING
               && json_integer_value (json_object_get (json, "step")) == 0)
        sn_refuse (process, req, "leaving");
      else if (fault == SN_BUSY)
        sn_refuse (process, req, "busy");
      else
        stage_serve (process, req, json, fault);
    }
  json_decref (json);
}

const sn_role_t sn_engine = { "engine", engine_open, engine_serve };
