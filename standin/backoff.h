/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Back-off: a member rejects calls and asks hosts to back off, or announces
 * that it is leaving, and counts the calls that arrive nevertheless.
 */
#ifndef ELMARCH_STANDIN_BACKOFF_H
#define ELMARCH_STANDIN_BACKOFF_H

#include "standin.h"

/** Types of calls that hosts make to a member. */
typedef enum sn_call_type
{
  SN_CALL_REQUEST,
  SN_CALL_REPORT,
  SN_CALL_ORDER,
  SN_CALL_TYPES
} sn_call_type_t;

typedef struct sn_backoff sn_backoff_t;

sn_backoff_t *sn_backoff_new (net_clock_t *clock, const char *member,
                              const char *record);
void sn_backoff_configure (sn_backoff_t *backoff, const json_t *json);
json_t *sn_backoff_stats (const sn_backoff_t *backoff);
void sn_backoff_count (sn_backoff_t *backoff, h2o_req_t *req,
                       sn_call_type_t kind);
void sn_backoff_unanswered (sn_backoff_t *backoff, const h2o_req_t *req);
int sn_backoff_reject (sn_backoff_t *backoff, h2o_req_t *req,
                       sn_call_type_t kind);

#endif
