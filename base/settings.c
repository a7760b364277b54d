/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Settings from flags and environment variables, driven by a table: popt
 * parses the flags; an environment variable is used where the flag is not
 * given.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <popt.h>

#include "base.h"

#define ENV_NAME_MAX 128
#define FLAG_VERSION_NAME "version"

enum
{
  OPT_VERSION = 1,
  OPT_HELP,
  OPT_FIRST
};

static void
env_name (char *out, size_t size, const char *prefix, const char *name)
{
  size_t i;

  snprintf (out, size, "%s_%s", prefix, name);
  for (i = 0; out[i]; i++)
    if (out[i] == '-')
      out[i] = '_';
    else if (out[i] >= 'a' && out[i] <= 'z')
      out[i] = (char)(out[i] - 'a' + 'A');
}

static el_status_t
set_string (const el_setting_t *setting, const char *text, const char **field,
            el_err_t *err)
{
  size_t len = strlen (text);

  if (len < setting->min || (setting->max && len > setting->max))
    return el_err_set (err, EL_INVALID,
                       "--%s: takes %" PRIu64 " to %" PRIu64
                       " characters, not %zu",
                       setting->name, setting->min, setting->max, len);
  el_str_free (&(el_str_t){ *field, 0 });
  *field = el_str_dup (el_str (text)).ptr;
  return EL_OK;
}

static el_status_t
set_double (const el_setting_t *setting, const char *text, double *field,
            el_err_t *err)
{
  char *end;
  double number = strtod (text, &end);

  if (*text == '\0' || *end || !(number >= (double)setting->min)
      || !(number <= (double)setting->max))
    return el_err_set (err, EL_INVALID,
                       "--%s: takes a number from %" PRIu64 " to %" PRIu64
                       ", not '%.64s'",
                       setting->name, setting->min, setting->max, text);
  *field = number;
  return EL_OK;
}

static el_status_t
set_value (const el_setting_t *setting, const char *text, void *out,
           el_err_t *err)
{
  void *field = (char *)out + setting->offset;
  uint64_t number;

  if (setting->kind == EL_SETTING_STRING)
    return set_string (setting, text, field, err);
  if (setting->kind == EL_SETTING_DOUBLE)
    return set_double (setting, text, field, err);
  if (!el_str_to_u64 (el_str (text), &number) || number < setting->min
      || number > setting->max)
    return el_err_set (err, EL_INVALID,
                       "--%s: takes a whole number from %" PRIu64
                       " to %" PRIu64 ", not '%.64s'",
                       setting->name, setting->min, setting->max, text);
  if (setting->kind == EL_SETTING_FLAG)
    *(int *)field = (int)number;
  else
    *(uint64_t *)field = number;
  return EL_OK;
}

/* Defaults and environment variables are applied first, so that a flag
   overrides them. */
static el_status_t
apply_defaults (const el_settings_options_t *options, void *out, el_err_t *err)
{
  char name[ENV_NAME_MAX];
  const char *text;
  size_t i;

  for (i = 0; i < options->ntable; i++)
    {
      env_name (name, sizeof name, options->env_prefix,
                options->table[i].name);
      text = getenv (name);
      if (!text)
        text = options->table[i].def;
      if (text && set_value (&options->table[i], text, out, err))
        return err->status;
    }
  return EL_OK;
}

static el_status_t
check_required (const el_settings_options_t *options, const void *out,
                el_err_t *err)
{
  const el_setting_t *setting;
  size_t i;

  for (i = 0; i < options->ntable; i++)
    {
      setting = &options->table[i];
      if (!setting->required || setting->kind != EL_SETTING_STRING)
        continue;
      if (!*(const char *const *)(const void *)((const char *)out
                                                + setting->offset))
        return el_err_set (err, EL_INVALID, "--%s: is required: %s",
                           setting->name, setting->help);
    }
  return EL_OK;
}

static struct poptOption *
popt_table (const el_settings_options_t *options)
{
  struct poptOption *table = el_alloc ((options->ntable + 3) * sizeof *table);
  size_t i;

  table[0] = (struct poptOption){ "help", 'h',      POPT_ARG_NONE,
                                  NULL,   OPT_HELP, "show this help",
                                  NULL };
  table[1] = (struct poptOption){
    FLAG_VERSION_NAME,  'V', POPT_ARG_NONE, NULL, OPT_VERSION,
    "show the version", NULL
  };
  for (i = 0; i < options->ntable; i++)
    {
      const el_setting_t *setting = &options->table[i];

      table[i + 2] = (struct poptOption){ setting->name,
                                          '\0',
                                          setting->kind == EL_SETTING_FLAG
                                              ? POPT_ARG_NONE
                                              : POPT_ARG_STRING,
                                          NULL,
                                          (int)i + OPT_FIRST,
                                          setting->help,
                                          setting->arg };
    }
  return table;
}

/** Free the strings that el_settings_parse stored in OUT. */
void
el_settings_free (const el_settings_options_t *options, void *out)
{
  const char **field;
  size_t i;

  for (i = 0; i < options->ntable; i++)
    if (options->table[i].kind == EL_SETTING_STRING)
      {
        field = (void *)((char *)out + options->table[i].offset);
        el_str_free (&(el_str_t){ *field, 0 });
        *field = NULL;
      }
}

/** Parse flags and environment variables into OUT, a zeroed struct that the
    table describes. Release it with el_settings_free, also after a failure.
    REST, unless NULL, receives the remaining arguments, terminated by NULL. */
el_settings_result_t
el_settings_parse (const el_settings_options_t *options, int argc,
                   const char **argv, void *out, const char ***rest,
                   el_err_t *err)
{
  struct poptOption *table = popt_table (options);
  poptContext context
      = poptGetContext (options->program, argc, argv, table, 0);
  el_settings_result_t result = EL_SETTINGS_OK;
  const char **args;
  size_t nrest = 0;
  int opt;

  poptSetOtherOptionHelp (context, options->usage);
  if (apply_defaults (options, out, err))
    result = EL_SETTINGS_INVALID;
  while (result == EL_SETTINGS_OK && (opt = poptGetNextOpt (context)) != -1)
    {
      if (opt < -1)
        {
          el_err_set (err, EL_INVALID, "%s: %s",
                      poptBadOption (context, POPT_BADOPTION_NOALIAS),
                      poptStrerror (opt));
          result = EL_SETTINGS_INVALID;
        }
      else if (opt == OPT_HELP)
        {
          poptPrintHelp (context, stdout, 0);
          result = EL_SETTINGS_DONE;
        }
      else if (opt == OPT_VERSION)
        {
          printf ("%s %s\n", options->program, EL_VERSION);
          result = EL_SETTINGS_DONE;
        }
      else
        {
          char *text = poptGetOptArg (context);

          if (set_value (&options->table[opt - OPT_FIRST], text ? text : "1",
                         out, err))
            result = EL_SETTINGS_INVALID;
          free (text);
        }
    }
  if (result == EL_SETTINGS_OK && check_required (options, out, err))
    result = EL_SETTINGS_INVALID;
  if (rest)
    {
      *rest = el_alloc (sizeof **rest * ((size_t)argc + 1));
      args = poptGetArgs (context);
      while (result == EL_SETTINGS_OK && args && args[nrest])
        {
          (*rest)[nrest] = el_str_dup (el_str (args[nrest])).ptr;
          nrest++;
        }
    }
  poptFreeContext (context);
  free (table);
  if (rest && result != EL_SETTINGS_OK)
    {
      free ((void *)*rest);
      *rest = NULL;
    }
  return result;
}
