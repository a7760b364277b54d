/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Stand-ins for what is outside the project: the platform, a model engine, a
 * plain service. Used by the demo, the tests and the bench; never installed.
 */
#ifndef ELMARCH_STANDIN_H
#define ELMARCH_STANDIN_H

#include "net.h"

#include <jansson.h>

/** What a stand-in does wrong when it is told to. */
typedef enum sn_fault
{
  SN_NONE,
  SN_LEAVING,    /**< refuse new work: leaving */
  SN_BUSY,       /**< refuse: no room */
  SN_DIE_BEFORE, /**< end the process on a call, before it runs */
  SN_DIE_AFTER,  /**< end the process after the call ran, unanswered */
  SN_LOSE,       /**< run the call and lose its answer */
  SN_HANG,       /**< never answer */
  SN_CROSS,      /**< answer with another call's place */
  SN_DOWN,       /**< answer 500 without running anything */
  SN_SLOW,       /**< answer after DELAY */
  SN_FAULTS
} sn_fault_t;

typedef struct sn_settings
{
  const char *role;
  const char *listen;
  uint64_t step_us;
  uint64_t layers_first;
  uint64_t layers_last;
  uint64_t generation;
  const char *store;
  const char *name;
  const char *service;
  const char *hall;
  const char *card;
  const char *announce;
  const char *record;
  int same_id;
  uint64_t layers_most;
} sn_settings_t;

typedef struct sn_process
{
  sn_settings_t set;
  uv_loop_t loop;
  net_clock_t clock;
  net_server_t *server;
  sn_fault_t fault;
  uint64_t after;    /**< calls to let pass before the fault */
  uint64_t times;    /**< calls that it hits; 0 is all */
  uint64_t delay_ms; /**< of a slow answer; of the rest that a refusal asks
                          for, 0: none */
  void *state;
} sn_process_t;

/** One role's functions. */
typedef struct sn_role
{
  const char *name;
  void (*open) (sn_process_t *process);
  void (*serve) (sn_process_t *process, h2o_req_t *req);
} sn_role_t;

extern const sn_role_t sn_platform;
extern const sn_role_t sn_engine;
extern const sn_role_t sn_service;
extern const sn_role_t sn_store;
extern const sn_role_t sn_member;

sn_fault_t sn_fault_take (sn_process_t *process);
void sn_lose (h2o_req_t *req);
void sn_refuse (const sn_process_t *process, h2o_req_t *req, const char *word);
void sn_json (h2o_req_t *req, int status, json_t *json);
json_t *sn_body (const h2o_req_t *req);

/** Call FN with ARG, a copy of the request's hold, after WAIT. */
typedef void (*sn_later_fn) (h2o_req_t *req, json_t *answer);
void sn_later (sn_process_t *process, h2o_req_t *req, json_t *answer,
               el_time_t wait, sn_later_fn fn);

#endif
