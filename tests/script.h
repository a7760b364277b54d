/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A scripted HTTP endpoint that replies with prepared bytes, and the loop,
 * clock and client of the test that talks to it.
 */
#ifndef ELMARCH_SCRIPT_H
#define ELMARCH_SCRIPT_H

#include <pthread.h>

#include "net.h"

/* What the endpoint does with the connection after an answer. */
typedef enum after_answer
{
  KEEP_ALIVE,
  CLOSE,
  RESET
} after_answer_t;

typedef struct answer
{
  const char *bytes;
  after_answer_t after_answer;
} answer_t;

/* The endpoint: it sends one answer per request and serves one connection at a
   time. */
typedef struct script
{
  int listener;
  char address[32];
  const answer_t *answers;
  size_t n;
  size_t connections; /* accepted */
  el_buf_t requests;  /* heads of all requests received */
  pthread_t thread;
} script_t;

extern script_t script;
extern uv_loop_t loop;
extern net_clock_t test_clock;
extern net_client_t *client;

void script_start (const answer_t *answers, size_t n);
void loop_setup (void);
void loop_run_for (el_time_t span);

#define SCRIPT(...)                                                           \
  do                                                                          \
    {                                                                         \
      static const answer_t answers[] = { __VA_ARGS__ };                      \
      script_start (answers, sizeof answers / sizeof *answers);               \
    }                                                                         \
  while (0)

#endif
