/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Logging through log4c: one line of key=value pairs per event. Values are
 * quoted where needed, so that data from callers can't forge a line or a
 * field.
 */
#include <fcntl.h>
#include <inttypes.h>
#include <string.h>
#include <stdio.h>
#include <unistd.h>

#include <log4c.h>

#include "base.h"

#define LOG_CATEGORY "elmarch"
#define LOG_LINE_MAX 4096

static const struct
{
  const char *name;
  int priority;
} levels[] = {
  [EL_LOG_ERROR] = { "error", LOG4C_PRIORITY_ERROR },
  [EL_LOG_WARN] = { "warn", LOG4C_PRIORITY_WARN },
  [EL_LOG_INFO] = { "info", LOG4C_PRIORITY_INFO },
  [EL_LOG_DEBUG] = { "debug", LOG4C_PRIORITY_DEBUG },
};

/* Maximum number of lines per second. Further lines are dropped and counted,
   so that a burst of events neither fills the disk nor saturates the CPU. */
#define LINES_PER_SEC_MAX 5000

static const char *log_layout (const log4c_layout_t *layout,
                               const log4c_logging_event_t *event);

static int log_open (log4c_appender_t *appender);
static int log_append (log4c_appender_t *appender,
                       const log4c_logging_event_t *event);

static const log4c_appender_type_t appender_type
    = { .name = "elmarch_stdout", .open = log_open, .append = log_append };
static const log4c_layout_type_t layout_type
    = { .name = "elmarch_kv", .format = log_layout };

/* log4c owns its categories for the life of the process, so this handle is a
   global variable. */
static log4c_category_t *category;
static const char *program_name;

/* State of standard output; global, as a process has only one. */
static struct
{
  long second;    /* second for which lines are counted */
  unsigned lines; /* lines in that second */
  int partial;    /* the last line was written in part */
  uint64_t dropped;
} output;

static const char *
log_layout (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  static __thread char line[LOG_LINE_MAX];
  char level[16];
  size_t i;

  (void)layout;
  snprintf (level, sizeof level, "%s",
            log4c_priority_to_string (event->evt_priority));
  for (i = 0; level[i]; i++)
    if (level[i] >= 'A' && level[i] <= 'Z')
      level[i] = (char)(level[i] - 'A' + 'a');
    else if (level[i] == ' ')
      level[i] = '\0';
  snprintf (line, sizeof line, "ts=%ld.%06ld level=%s program=%s %s\n",
            (long)event->evt_timestamp.tv_sec,
            (long)event->evt_timestamp.tv_usec, level, program_name,
            event->evt_msg);
  return line;
}

int
el_log_level_parse (const char *name, el_log_level_t *out)
{
  size_t i;

  for (i = 0; i < sizeof levels / sizeof *levels; i++)
    if (strcmp (name, levels[i].name) == 0)
      {
        *out = (el_log_level_t)i;
        return 1;
      }
  return 0;
}

static int
log_open (log4c_appender_t *appender)
{
  (void)appender;
  fcntl (STDOUT_FILENO, F_SETFL, fcntl (STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  return 0;
}

/* Whether the limit of this second allows one more line. */
static int
log_within_limit (long second)
{
  if (second != output.second)
    {
      output.second = second;
      output.lines = 0;
    }
  return output.lines++ < LINES_PER_SEC_MAX;
}

/* Standard output may be a pipe with a slow reader: what can't be written at
   once is dropped. A line that was written in part is terminated before the
   next one. */
static int
log_append (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  size_t len = strlen (event->evt_rendered_msg);
  ssize_t n;

  (void)appender;
  if (!log_within_limit ((long)event->evt_timestamp.tv_sec))
    {
      output.dropped++;
      return 0;
    }
  if (output.partial && write (STDOUT_FILENO, "\n", 1) == 1)
    output.partial = 0;
  n = write (STDOUT_FILENO, event->evt_rendered_msg, len);
  if (n != (ssize_t)len)
    output.dropped++;
  if (n > 0)
    output.partial = n != (ssize_t)len;
  return 0;
}

/** Number of lines that were dropped or written only in part. */
const uint64_t *
el_log_dropped (void)
{
  return &output.dropped;
}

/** Log to standard output at LEVEL and above; returns 0 on success. */
int
el_log_open (const char *program, el_log_level_t level)
{
  log4c_appender_t *appender;
  log4c_layout_t *layout;

  program_name = program;
  if (log4c_init ())
    return -1;
  log4c_layout_type_set (&layout_type);
  layout = log4c_layout_get ("elmarch_kv");
  log4c_layout_set_type (layout, &layout_type);
  log4c_appender_type_set (&appender_type);
  appender = log4c_appender_get ("elmarch_stdout");
  log4c_appender_set_type (appender, &appender_type);
  log4c_appender_set_layout (appender, layout);
  category = log4c_category_get (LOG_CATEGORY);
  log4c_category_set_appender (category, appender);
  log4c_category_set_additivity (category, 0);
  log4c_category_set_priority (category, levels[level].priority);
  return 0;
}

void
el_log_close (void)
{
  category = NULL;
  log4c_fini ();
}

static int
value_is_plain (el_str_t s)
{
  size_t i;

  for (i = 0; i < s.len; i++)
    if (s.ptr[i] <= ' ' || s.ptr[i] > '~' || strchr ("\"=\\%", s.ptr[i]))
      return 0;
  return s.len > 0;
}

static void
value_quote (el_buf_t *out, el_str_t s)
{
  size_t i;
  unsigned char c;

  el_buf_add (out, EL_STR ("\""));
  for (i = 0; i < s.len; i++)
    {
      c = (unsigned char)s.ptr[i];
      if (c < ' ' || c > '~')
        el_buf_printf (out, "\\x%02x", c);
      else if (c == '"' || c == '\\')
        el_buf_printf (out, "\\%c", c);
      else
        el_buf_printf (out, "%c", c);
    }
  el_buf_add (out, EL_STR ("\""));
}

/** Format an event and its fields as they appear in a log line. */
void
el_log_format (el_buf_t *out, const char *event, const el_field_t *fields,
               size_t nfields)
{
  size_t i;

  el_buf_printf (out, "event=%s", event);
  for (i = 0; i < nfields; i++)
    {
      el_buf_printf (out, " %s=", fields[i].key);
      if (fields[i].is_num)
        el_buf_printf (out, "%" PRIu64, fields[i].num);
      else if (value_is_plain (fields[i].str))
        el_buf_add (out, fields[i].str);
      else
        value_quote (out, fields[i].str);
    }
}

/** Log an event; does nothing before el_log_open. */
void
el_log_event (el_log_level_t level, const char *event,
              const el_field_t *fields, size_t nfields)
{
  el_buf_t text = { NULL, 0, 0 };

  if (!category
      || !log4c_category_is_priority_enabled (category,
                                              levels[level].priority))
    return;
  el_log_format (&text, event, fields, nfields);
  log4c_category_log (category, levels[level].priority, "%s", text.ptr);
  el_buf_free (&text);
}
