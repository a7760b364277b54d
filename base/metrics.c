/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Counters, gauges and log-linear histograms, and their output in the
 * Prometheus text format.
 */
#include <inttypes.h>
#include <stdlib.h>

#include "base.h"

#define HIST_SUB_BITS 2
#define HIST_SUB (1U << HIST_SUB_BITS)

static const char *const kind_names[] = {
  [EL_COUNTER] = "counter",
  [EL_GAUGE] = "gauge",
  [EL_HISTOGRAM] = "summary",
};

static const double quantiles[] = { 0.5, 0.95, 0.99 };

void
el_metrics_add (el_metrics_t *metrics, const char *name, const char *help,
                el_metric_kind_t kind, const void *value)
{
  metrics->list
      = el_grow (metrics->list, metrics->len + 1, sizeof *metrics->list);
  metrics->list[metrics->len++] = (el_metric_t){ name, help, kind, value };
}

static unsigned
hist_index (uint64_t value)
{
  unsigned log2;

  if (value < HIST_SUB)
    return (unsigned)value;
  log2 = 63U - (unsigned)__builtin_clzll (value);
  return (log2 - HIST_SUB_BITS + 1) * HIST_SUB
         + (unsigned)((value >> (log2 - HIST_SUB_BITS)) & (HIST_SUB - 1));
}

/* The highest value that falls into bucket I. */
static uint64_t
hist_bound (unsigned i)
{
  unsigned shift;

  if (i < HIST_SUB)
    return i;
  shift = i / HIST_SUB - 1;
  return ((uint64_t)(HIST_SUB + i % HIST_SUB + 1) << shift) - 1;
}

void
el_hist_add (el_hist_t *hist, uint64_t value)
{
  hist->bucket[hist_index (value)]++;
  hist->count++;
  hist->sum += value;
}

/** Return the upper bound of the bucket that holds quantile Q (0 to 1), or 0
    for an empty histogram. */
uint64_t
el_hist_quantile (const el_hist_t *hist, double q)
{
  uint64_t rank = (uint64_t)(q * (double)hist->count);
  uint64_t seen = 0;
  unsigned i;

  if (hist->count == 0)
    return 0;
  for (i = 0; i < EL_HIST_BUCKETS; i++)
    {
      seen += hist->bucket[i];
      if (seen > rank || seen == hist->count)
        return hist_bound (i);
    }
  return 0;
}

static void
hist_print (const el_metric_t *m, el_buf_t *out)
{
  const el_hist_t *hist = m->value;
  size_t i;

  for (i = 0; i < sizeof quantiles / sizeof *quantiles; i++)
    el_buf_printf (out, "%s{quantile=\"%g\"} %" PRIu64 "\n", m->name,
                   quantiles[i], el_hist_quantile (hist, quantiles[i]));
  el_buf_printf (out, "%s_sum %" PRIu64 "\n%s_count %" PRIu64 "\n", m->name,
                 hist->sum, m->name, hist->count);
}

/** Append all metrics to OUT. */
void
el_metrics_print (const el_metrics_t *metrics, el_buf_t *out)
{
  const el_metric_t *m;
  size_t i;

  for (i = 0; i < metrics->len; i++)
    {
      m = &metrics->list[i];
      el_buf_printf (out, "# HELP %s %s\n# TYPE %s %s\n", m->name, m->help,
                     m->name, kind_names[m->kind]);
      if (m->kind == EL_HISTOGRAM)
        hist_print (m, out);
      else
        el_buf_printf (out, "%s %" PRIu64 "\n", m->name,
                       *(const uint64_t *)m->value);
    }
}

void
el_metrics_free (el_metrics_t *metrics)
{
  free (metrics->list);
  *metrics = (el_metrics_t){ NULL, 0 };
}
