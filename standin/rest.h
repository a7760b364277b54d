/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * What a member asks of hosts beside its answers, rest and that it leaves, and
 * what comes from them in spite of it.
 */
#ifndef ELMARCH_STANDIN_REST_H
#define ELMARCH_STANDIN_REST_H

#include "standin.h"

/** What arrives at a member. */
typedef enum sn_arrival
{
  SN_REQUEST,
  SN_REPORT,
  SN_ORDER,
  SN_ARRIVALS
} sn_arrival_t;

typedef struct sn_rest sn_rest_t;

sn_rest_t *sn_rest_new (net_clock_t *clock, const char *member,
                        const char *record);
void sn_rest_set (sn_rest_t *rest, const json_t *json);
json_t *sn_rest_json (const sn_rest_t *rest);
void sn_rest_arrives (sn_rest_t *rest, h2o_req_t *req, sn_arrival_t kind);
void sn_rest_held (sn_rest_t *rest, const h2o_req_t *req);
int sn_rest_refuses (sn_rest_t *rest, h2o_req_t *req, sn_arrival_t kind);

#endif
