/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Status codes with their messages, and verdicts on requests.
 */
#include <stdarg.h>
#include <stdio.h>

#include "base.h"

static const char *const status_names[] = {
  [EL_OK] = "ok",
  [EL_INVALID] = "invalid",
  [EL_NOT_FOUND] = "not-found",
  [EL_CONFLICT] = "conflict",
  [EL_LIMIT] = "limit",
  [EL_DENIED] = "denied",
  [EL_UNREACHABLE] = "away",
  [EL_SYSTEM] = "system",
};

static const char *const verdict_names[] = {
  [EL_MAY_HAVE_RUN] = "may-have-run",
  [EL_NOT_RUN] = "not-run",
  [EL_RAN] = "ran",
};

/* Rank of the verdicts: not run, may have run, ran. */
static const int verdict_rank[] = {
  [EL_NOT_RUN] = 0,
  [EL_MAY_HAVE_RUN] = 1,
  [EL_RAN] = 2,
};

/** Store STATUS and the message in ERR, unless it is NULL, and return
    STATUS. */
el_status_t
el_err_set (el_err_t *err, el_status_t status, const char *fmt, ...)
{
  va_list ap;

  if (!err)
    return status;
  err->status = status;
  va_start (ap, fmt);
  vsnprintf (err->msg, sizeof err->msg, fmt, ap);
  va_end (ap);
  return status;
}

const char *
el_status_name (el_status_t status)
{
  return status_names[status];
}

/** Combine the verdicts on two parts of a request: the higher rank wins. */
el_verdict_t
el_verdict_join (el_verdict_t a, el_verdict_t b)
{
  return verdict_rank[a] >= verdict_rank[b] ? a : b;
}

const char *
el_verdict_name (el_verdict_t verdict)
{
  return verdict_names[verdict];
}

/** Parse the name of a verdict; on any other text, return 0 and store the safe
    value EL_MAY_HAVE_RUN. */
int
el_verdict_parse (el_str_t name, el_verdict_t *out)
{
  size_t i;

  *out = EL_MAY_HAVE_RUN;
  for (i = 0; i < sizeof verdict_names / sizeof *verdict_names; i++)
    if (el_str_eq (name, el_str (verdict_names[i])))
      {
        *out = (el_verdict_t)i;
        return 1;
      }
  return 0;
}
