/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Common code of all packages: counted strings, random numbers, status and
 * verdict types, timers, metrics, logs and settings.
 */
#ifndef ELMARCH_BASE_H
#define ELMARCH_BASE_H

#include <stddef.h>
#include <stdint.h>

/* Counted strings. */

/** A byte string that does not own its memory; it need not end in NUL. */
typedef struct el_str
{
  const char *ptr; /**< first byte, NULL when len is 0 */
  size_t len;      /**< bytes */
} el_str_t;

/** A growable byte buffer that owns its memory. */
typedef struct el_buf
{
  char *ptr;  /**< first byte; NUL-terminated unless NULL */
  size_t len; /**< bytes in use */
  size_t cap; /**< bytes allocated */
} el_buf_t;

/** A counted string from a string literal. */
#define EL_STR(lit) ((el_str_t){ (lit), sizeof (lit) - 1 })

el_str_t el_str (const char *cstr);
int el_str_eq (el_str_t a, el_str_t b);
int el_str_starts_with (el_str_t s, el_str_t prefix);
el_str_t el_str_after (el_str_t s, size_t n);
el_str_t el_str_cut (el_str_t *rest, char sep);
int el_str_to_u64 (el_str_t s, uint64_t *out);
uint64_t el_str_hash (el_str_t s);
el_str_t el_str_dup (el_str_t s);
void el_str_free (el_str_t *s);

void el_buf_reserve (el_buf_t *buf, size_t more);
void el_buf_add (el_buf_t *buf, el_str_t s);
void el_buf_printf (el_buf_t *buf, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
void el_buf_reset (el_buf_t *buf);
void el_buf_free (el_buf_t *buf);
el_str_t el_buf_str (const el_buf_t *buf);

void *el_alloc (size_t size);
void *el_grow (void *ptr, size_t count, size_t size);

/* Random numbers. */

uint64_t el_random (uint64_t *state);

/* Status: whether a function call succeeded, and why not. */

typedef enum el_status
{
  EL_OK = 0,
  EL_INVALID,     /**< the input breaks a rule that the message names */
  EL_NOT_FOUND,   /**< no such object */
  EL_CONFLICT,    /**< conflicts with an earlier change or the state */
  EL_LIMIT,       /**< a limit would be exceeded */
  EL_DENIED,      /**< not authenticated */
  EL_UNREACHABLE, /**< the remote side is unreachable */
  EL_SYSTEM       /**< the operating system reported an error */
} el_status_t;

/** Maximum length of an error message, with the final NUL. */
#define EL_ERR_MAX 256

/** A status and its error message. */
typedef struct el_err
{
  el_status_t status;
  char msg[EL_ERR_MAX];
} el_err_t;

el_status_t el_err_set (el_err_t *err, el_status_t status, const char *fmt,
                        ...) __attribute__ ((format (printf, 3, 4)));
const char *el_status_name (el_status_t status);

/* Verdict: whether a request may have run. */

/** The zero value is the safe one: a verdict that was never set does not claim
    that the request did not run. */
typedef enum el_verdict
{
  EL_MAY_HAVE_RUN = 0, /**< unknown */
  EL_NOT_RUN,          /**< proven: nothing that starts it was accepted */
  EL_RAN               /**< proven: an answer arrived */
} el_verdict_t;

el_verdict_t el_verdict_join (el_verdict_t a, el_verdict_t b);
const char *el_verdict_name (el_verdict_t verdict);
int el_verdict_parse (el_str_t name, el_verdict_t *out);

/* Timers. */

/** Microseconds on a clock that never goes backward. */
typedef uint64_t el_time_t;
#define EL_TIME_NEVER UINT64_MAX
#define EL_MSEC ((el_time_t)1000)
#define EL_SEC ((el_time_t)1000000)

int el_str_to_time (el_str_t s, el_time_t max, el_time_t *out);

typedef struct el_timer el_timer_t;
typedef void (*el_timer_cb) (void *arg, el_time_t now);

/** A timer; the caller owns the memory. Zero it before first use. */
struct el_timer
{
  el_time_t due;     /**< time at which it fires */
  el_timer_cb cb;    /**< called when it fires */
  void *arg;         /**< passed to cb */
  size_t heap_index; /**< index in the heap plus one; 0 when not set */
};

/** A set of timers; it has no clock of its own. */
typedef struct el_timers
{
  el_timer_t **heap;
  size_t len;
  size_t cap;
} el_timers_t;

void el_timers_set (el_timers_t *timers, el_timer_t *timer, el_time_t due);
void el_timers_cancel (el_timers_t *timers, el_timer_t *timer);
el_time_t el_timers_next_due (const el_timers_t *timers);
void el_timers_run (el_timers_t *timers, el_time_t now);
void el_timers_free (el_timers_t *timers);

/* Metrics. */

typedef enum el_metric_kind
{
  EL_COUNTER,
  EL_GAUGE,
  EL_HISTOGRAM
} el_metric_kind_t;

/** Number of buckets of a histogram: 4 per power of two, for 64-bit values. */
#define EL_HIST_BUCKETS 256

typedef struct el_hist
{
  uint64_t bucket[EL_HIST_BUCKETS];
  uint64_t count;
  uint64_t sum;
} el_hist_t;

/** A named metric; the value is owned by the code that updates it. */
typedef struct el_metric
{
  const char *name;
  const char *help;
  el_metric_kind_t kind;
  const void *value; /**< uint64_t, or el_hist_t for EL_HISTOGRAM */
} el_metric_t;

typedef struct el_metrics
{
  el_metric_t *list;
  size_t len;
} el_metrics_t;

void el_metrics_add (el_metrics_t *metrics, const char *name, const char *help,
                     el_metric_kind_t kind, const void *value);
void el_metrics_print (const el_metrics_t *metrics, el_buf_t *out);
void el_metrics_free (el_metrics_t *metrics);
void el_hist_add (el_hist_t *hist, uint64_t value);
uint64_t el_hist_quantile (const el_hist_t *hist, double q);

/* Account: the bytes and connections that a process holds for others. */

/** Kinds of bytes that are held. */
typedef enum el_hold
{
  EL_HOLD_SHORT,  /**< heads and short bodies of requests */
  EL_HOLD_LONG,   /**< long bodies of requests, with their copies */
  EL_HOLD_ANSWER, /**< responses that are not sent yet */
  EL_HOLD_PEER,   /**< messages of other hosts */
  EL_HOLD_KINDS
} el_hold_t;

/** Kinds of connections. */
typedef enum el_conn_kind
{
  EL_CONN_CALLER,   /**< from callers */
  EL_CONN_OPERATOR, /**< from operators, where callers have another address */
  EL_CONN_CONTROL,  /**< from readiness checks and look-ups */
  EL_CONN_PEER,     /**< from other hosts */
  EL_CONN_OWN,      /**< opened by this process */
  EL_CONN_KINDS
} el_conn_kind_t;

typedef struct el_account
{
  uint64_t bytes_max;
  uint64_t bytes; /**< held in all */
  uint64_t bytes_peak;
  uint64_t held[EL_HOLD_KINDS];
  /** A kind is taken while all kinds together stay below this. */
  uint64_t hold_max[EL_HOLD_KINDS];
  uint64_t short_of_room[EL_HOLD_KINDS]; /**< times that there was no room */
  uint64_t conns_max;
  uint64_t conns; /**< open in all */
  uint64_t conn[EL_CONN_KINDS];
  uint64_t conn_max[EL_CONN_KINDS];
} el_account_t;

void el_account_init (el_account_t *account, uint64_t memory,
                      uint64_t descriptors);
uint64_t el_account_room (const el_account_t *account, el_hold_t kind);
int el_account_take (el_account_t *account, el_hold_t kind, uint64_t n);
int el_account_is_full (const el_account_t *account);
void el_account_add (el_account_t *account, el_hold_t kind, uint64_t n);
void el_account_give (el_account_t *account, el_hold_t kind, uint64_t n);
int el_account_conn_fits (const el_account_t *account, el_conn_kind_t kind);
void el_account_conn_add (el_account_t *account, el_conn_kind_t kind);
void el_account_conn_give (el_account_t *account, el_conn_kind_t kind);

/* Logs. */

typedef enum el_log_level
{
  EL_LOG_ERROR,
  EL_LOG_WARN,
  EL_LOG_INFO,
  EL_LOG_DEBUG
} el_log_level_t;

/** A field of a log line: a string, or a number if is_num is set. */
typedef struct el_field
{
  const char *key;
  el_str_t str;
  uint64_t num;
  int is_num;
} el_field_t;

#define EL_FS(key, s) ((el_field_t){ (key), (s), 0, 0 })
#define EL_FC(key, c) ((el_field_t){ (key), el_str (c), 0, 0 })
#define EL_FN(key, n) ((el_field_t){ (key), { NULL, 0 }, (uint64_t)(n), 1 })
#define EL_LOG(level, event, ...)                                             \
  el_log_event ((level), (event), (const el_field_t[]){ __VA_ARGS__ },        \
                sizeof ((const el_field_t[]){ __VA_ARGS__ })                  \
                    / sizeof (el_field_t))

int el_log_open (const char *program, el_log_level_t level);
void el_log_close (void);
const uint64_t *el_log_dropped (void);
void el_log_event (el_log_level_t level, const char *event,
                   const el_field_t *fields, size_t nfields);
void el_log_format (el_buf_t *out, const char *event, const el_field_t *fields,
                    size_t nfields);
int el_log_level_parse (const char *name, el_log_level_t *out);

/* Settings. */

typedef enum el_setting_kind
{
  EL_SETTING_STRING, /**< const char * */
  EL_SETTING_U64,    /**< uint64_t within min and max */
  EL_SETTING_DOUBLE, /**< double within min and max, may have a fraction */
  EL_SETTING_FLAG    /**< int */
} el_setting_kind_t;

/** One entry of a program's table of settings. */
typedef struct el_setting
{
  const char *name; /**< name of the flag without dashes; the name of the
                       environment variable is derived from it */
  el_setting_kind_t kind;
  size_t offset;   /**< offset of the field in the program's struct */
  const char *def; /**< default, as text; NULL: none */
  uint64_t min;    /**< lowest value, or shortest length of a string */
  uint64_t max; /**< highest value, or longest length of a string; 0: a string
                   of any length */
  int required; /**< a string that has no default and must be set */
  const char *arg;  /**< name of the value in the help text */
  const char *help; /**< description in the help text */
} el_setting_t;

typedef struct el_settings_options
{
  const char *program;
  const char *env_prefix; /**< prefix of environment variables: with ELMARCHD,
                             log-level is ELMARCHD_LOG_LEVEL */
  const char *usage;
  const el_setting_t *table;
  size_t ntable;
} el_settings_options_t;

/** Exit status for invalid settings. */
#define EL_EXIT_USAGE 2

typedef enum el_settings_result
{
  EL_SETTINGS_OK,      /**< continue */
  EL_SETTINGS_DONE,    /**< help or version was printed: exit with 0 */
  EL_SETTINGS_INVALID, /**< err names the setting and its range: exit with 2 */
} el_settings_result_t;

el_settings_result_t el_settings_parse (const el_settings_options_t *options,
                                        int argc, const char **argv, void *out,
                                        const char ***rest, el_err_t *err);

void el_settings_free (const el_settings_options_t *options, void *out);

#define EL_VERSION "0.1.0"

#endif
