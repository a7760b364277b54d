/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Stand-ins for systems outside this project: the platform, its store, model
 * engines and plain services. Used by the demo, the tests, the soak test and
 * the benchmarks; never installed.
 */
#ifndef ELMARCH_STANDIN_H
#define ELMARCH_STANDIN_H

#include "net.h"

#include <jansson.h>

/** Faults that can be injected into a stand-in. */
typedef enum sn_fault
{
  SN_NONE,
  SN_LEAVING,    /**< reject new work: leaving */
  SN_BUSY,       /**< reject: no capacity */
  SN_DIE_BEFORE, /**< exit on a call, before running it */
  SN_DIE_AFTER,  /**< exit after running a call, without an answer */
  SN_LOSE,       /**< run the call but drop its answer */
  SN_HANG,       /**< never answer */
  SN_CROSS,      /**< answer with the identity of another call */
  SN_DOWN, /**< fail: engines and services answer 500 without running the call,
              a member runs it and answers 500, the platform drops the
              connection */
  SN_SLOW, /**< answer after delay_ms */
  SN_UNSEALED, /**< a member runs the call and answers 404 without a seal */
  SN_FAULT_COUNT
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
  uint64_t max_layers;
} sn_settings_t;

typedef struct sn_process
{
  sn_settings_t settings;
  uv_loop_t loop;
  net_clock_t clock;
  net_server_t *server;
  sn_fault_t fault;
  uint64_t after;    /**< calls to serve before the fault applies */
  uint64_t times;    /**< calls that it applies to; 0: all */
  uint64_t delay_ms; /**< delay of a slow answer; Retry-After of a rejection,
                        0: none */
  void *state;
} sn_process_t;

/** Callbacks of a role. */
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

sn_fault_t sn_fault_next (sn_process_t *process);
void sn_drop_connection (h2o_req_t *req);
void sn_refuse (const sn_process_t *process, h2o_req_t *req,
                const char *reason);
void sn_reply_json (h2o_req_t *req, int status, json_t *json);
json_t *sn_parse_body (const h2o_req_t *req);

/** Calls SEND with the request and ANSWER after WAIT; releases ANSWER if the
    caller has disconnected by then. */
typedef void (*sn_reply_fn) (h2o_req_t *req, json_t *answer);
void sn_reply_later (sn_process_t *process, h2o_req_t *req, json_t *answer,
                     el_time_t wait, sn_reply_fn send);

#endif
