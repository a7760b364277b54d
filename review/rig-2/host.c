/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Hosts: the program of the deploy file, with its arguments and variables,
 * filled in with the settings of a small deployment.
 */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "rig.h"

#define DEPLOY_FILE "deploy/system.toml"
#define LINE_MAX_BYTES 4096
#define ARGS_MAX 96
#define VARIABLES_MAX 8
#define READY_TIMEOUT_MS 15000

#define PORT_INTERNAL 7340
#define PORT_CONTROL 7229
#define PORT_FRONT 7227
#define PORT_READY 7220
#define PORT_DIRECTORY 7224
/* Last octet of the address of host 0. */
#define FIRST_OCTET 40

typedef struct setting
{
  const char *name;
  char value[256];
} setting_t;

static pid_t hosts[RG_HOSTS_MAX];
static size_t nhosts;

/** Write the address for other hosts of a host. */
void
rg_host_seed (char *out, unsigned number)
{
  rg_address (out, FIRST_OCTET + number, PORT_CONTROL);
}

static void
deploy_line (const char *name, char *out)
{
  FILE *file = fopen (DEPLOY_FILE, "r");
  int found = 0;

  while (file && !found && fgets (out, LINE_MAX_BYTES, file))
    found
        = strncmp (out, name, strlen (name)) == 0 && out[strlen (name)] == ' ';
  if (file)
    fclose (file);
  if (!found)
    rg_unusable ("%s: no %s", DEPLOY_FILE, name);
}

/* Replaces the names in double braces. */
static void
settings_fill (const char *from, const setting_t *settings, size_t n,
               char *out)
{
  size_t len;
  size_t i;

  while (*from)
    {
      if (strncmp (from, "{{", 2) != 0)
        {
          *out++ = *from++;
          continue;
        }
      len = strcspn (from + 2, "}");
      for (i = 0; i < n; i++)
        if (strlen (settings[i].name) == len
            && strncmp (from + 2, settings[i].name, len) == 0)
          break;
      if (i == n)
        rg_unusable ("no setting %.*s", (int)len, from + 2);
      out += sprintf (out, "%s", settings[i].value);
      from += len + 4;
    }
  *out = '\0';
}

/* Splits the program and its arguments at spaces. */
static void
args_split (char *text, char **args)
{
  size_t n = 0;
  char *rest = NULL;

  for (args[n] = strtok_r (text, " ", &rest); args[n] && n + 1 < ARGS_MAX;
       args[n] = strtok_r (NULL, " ", &rest))
    n++;
  args[n] = NULL;
}

/* Reads NAME = "text" pairs between braces. */
static void
variables_set (char *line)
{
  char *at = strchr (line, '{');
  char *name;
  char *value;

  while (at && (value = strchr (at, '"')))
    {
      name = at + strspn (at, "{, ");
      name[strcspn (name, " =")] = '\0';
      at = strchr (value + 1, '"');
      *at++ = '\0';
      setenv (name, value + 1, 1);
    }
}

static void
host_exec (const setting_t *settings, size_t n)
{
  char line[LINE_MAX_BYTES];
  char run[2 * LINE_MAX_BYTES];
  char *args[ARGS_MAX];
  char *end;
  int null = open ("/dev/null", O_RDWR);

  rg_die_with_parent ();
  deploy_line ("env", line);
  variables_set (line);
  deploy_line ("run", line);
  end = strrchr (line, '"');
  *end = '\0';
  settings_fill (strchr (line, '"') + 1, settings, n, run);
  args_split (run, args);
  dup2 (null, STDOUT_FILENO);
  dup2 (null, STDERR_FILENO);
  if (args[0])
    execv (args[0], args);
  _exit (127);
}

/** Start a host. Its settings are those of the users' pages for nine hosts. */
void
rg_host_start (rg_host_t *host, unsigned number, const char *hall,
               const char *store, const char *seeds)
{
  setting_t settings[] = {
    { "Ip", "" },
    { "InternalPorts.0", "" },
    { "Listen.Control", "" },
    { "Seeds", "" },
    { "Zone", "" },
    { "NodeName", "" },
    { "Listen.Front", "" },
    { "Listen.Ready", "" },
    { "Listen.Directory", "" },
    { "Platform.Address", "" },
    { "Limits.LinkMbps", "1000.0" },
    { "Bounds.RetryBudgetRatio", "0.2" },
    { "Bounds.BudgetSlack", "202" },
    { "Bounds.BudgetWindowS", "10" },
    { "Bounds.RevokeMs", "5000" },
    { "Bounds.ConfigApplyMs", "2000" },
    { "Limits.MemoryMb", "260" },
    { "Limits.MaxFds", "4100" },
  };

  snprintf (host->name, sizeof host->name, "front-%s-%u", hall, number);
  rg_address (host->ip, FIRST_OCTET + number, PORT_INTERNAL);
  *strchr (host->ip, ':') = '\0';
  rg_address (host->front, FIRST_OCTET + number, PORT_FRONT);
  rg_address (host->ready, FIRST_OCTET + number, PORT_READY);
  snprintf (settings[0].value, sizeof settings[0].value, "%s", host->ip);
  snprintf (settings[1].value, sizeof settings[1].value, "%d", PORT_INTERNAL);
  rg_host_seed (settings[2].value, number);
  snprintf (settings[3].value, sizeof settings[3].value, "%s", seeds);
  snprintf (settings[4].value, sizeof settings[4].value, "%s", hall);
  snprintf (settings[5].value, sizeof settings[5].value, "%s", host->name);
  snprintf (settings[6].value, sizeof settings[6].value, "%s", host->front);
  snprintf (settings[7].value, sizeof settings[7].value, "%s", host->ready);
  rg_address (settings[8].value, FIRST_OCTET + number, PORT_DIRECTORY);
  snprintf (settings[9].value, sizeof settings[9].value, "%s", store);
  host->pid = fork ();
  if (host->pid == 0)
    host_exec (settings, sizeof settings / sizeof *settings);
  if (host->pid < 0 || nhosts == RG_HOSTS_MAX)
    rg_unusable ("%s can't be started", host->name);
  hosts[nhosts++] = host->pid;
}

/** Wait until a host says that it is ready. */
void
rg_host_wait_ready (const rg_host_t *host)
{
  uint64_t until = rg_now () + READY_TIMEOUT_MS;

  while (rg_get (host->ready, "/elmarch/ready", "") != 200)
    {
      if (rg_now () > until)
        rg_unusable ("%s is not ready", host->name);
      rg_sleep (50);
    }
}

/** End all hosts. */
void
rg_hosts_end (void)
{
  size_t i;

  for (i = 0; i < nhosts; i++)
    kill (hosts[i], SIGKILL);
  for (i = 0; i < nhosts; i++)
    waitpid (hosts[i], NULL, 0);
  nhosts = 0;
}
