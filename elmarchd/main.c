/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Main program of elmarchd: settings, start-up and signals.
 */
#include <inttypes.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "frontend.h"

#define KEY_MIN 16
#define KEY_MAX 256
/* --capacity is a decimal number; hosts compare it as an integer in
   thousandths. */
#define CAPACITY_SCALE 1000

/* Stored answers take at most this part of the memory. */
#define ANSWERS_SHARE 8
/* Descriptors if neither a setting nor the system limits them. */
#define DESCRIPTORS_MAX ((uint64_t)1 << 20)
/* Blocks of at least this size return to the system once they are freed. */
#define RETURNED_BLOCK_BYTES 131072

/* Memory that a request takes while it waits: its head, a short body and the
   buffers of its connection. */
#define WAITING_BYTES 16384

/** Settings from options and environment variables; see elmarchd(8). */
typedef struct daemon_settings
{
  const char *listen;
  const char *peer_listen;
  const char *peers;
  const char *hall;
  const char *platform;
  const char *cluster_key;
  const char *operator_key;
  const char *log_level;
  uint64_t max_active;
  uint64_t max_queue;
  uint64_t max_body;
  uint64_t memory_mb;
  uint64_t descriptors;
  uint64_t max_sessions;
  uint64_t max_entries;
  uint64_t max_answers_mb;
  uint64_t deadline_ms;
  uint64_t call_limit_ms;
  uint64_t session_idle_s;
  uint64_t session_hold_s;
  uint64_t leave_hold_s;
  uint64_t drain_limit_s;
  uint64_t trace_fd;
  const char *entry;
  const char *ready;
  const char *directory;
  const char *store;
  uint64_t store_followers;
  double capacity;
  const char *name;
  uint64_t entry_ttl_s;
  double retry_ratio;
  double retry_slack;
  double retry_window_s;
  double keys_limit_ms;
  double change_limit_ms;
  uint64_t lease_ms;
  const char *tell_load;
  uint64_t load_interval_ms;
  uint64_t max_waiting;
  uint64_t stop_least_ms;
  uint64_t stop_most_ms;
  int trace;
  int check;
} daemon_settings_t;

typedef struct daemon_process
{
  uv_loop_t loop;
  gt_gate_t *gate;
  frontend_t *frontend; /* NULL when --entry is not set */
  unsigned stopping;    /* components that have yet to stop */
  uv_signal_t term;
  uv_signal_t interrupt;
  uv_signal_t dump;
  uv_signal_t reload;
} daemon_process_t;

#define AT(field) offsetof (daemon_settings_t, field)

static const el_setting_t table[] = {
  { "listen", EL_SETTING_STRING, AT (listen), "127.0.0.1:8080", 9, 21, 0,
    "IP:PORT", "address for callers and operators" },
  { "peer-listen", EL_SETTING_STRING, AT (peer_listen), "127.0.0.1:8081", 9,
    21, 0, "IP:PORT", "address for other hosts" },
  { "peers", EL_SETTING_STRING, AT (peers), "", 0, 32768, 0, "IP:PORT,...",
    "peer addresses of other hosts" },
  { "hall", EL_SETTING_STRING, AT (hall), NULL, 1, 63, 1, "NAME",
    "hall of this host" },
  { "platform", EL_SETTING_STRING, AT (platform), "", 0, 21, 0, "IP:PORT",
    "the platform's key-value service; required without --entry" },
  { "entry", EL_SETTING_STRING, AT (entry), "", 0, 21, 0, "IP:PORT",
    "address for callers of relayed requests; empty: disabled" },
  { "ready", EL_SETTING_STRING, AT (ready), "127.0.0.1:8082", 9, 21, 0,
    "IP:PORT", "address for readiness checks of relayed requests" },
  { "directory", EL_SETTING_STRING, AT (directory), "", 0, 21, 0, "IP:PORT",
    "address for look-ups of entry addresses; empty: disabled" },
  { "store", EL_SETTING_STRING, AT (store), "", 0, 21, 0, "IP:PORT",
    "the store of rules and endpoints for relayed requests" },
  { "store-followers", EL_SETTING_U64, AT (store_followers), "1", 1, 1000, 0,
    "N", "hosts per hall that poll the store; the others ask them" },
  { "capacity", EL_SETTING_DOUBLE, AT (capacity), "0", 0, 1000000000, 0,
    "NUMBER",
    "capacity relative to other hosts; the host with the largest does the "
    "work that one host of a hall does for all" },
  { "name", EL_SETTING_STRING, AT (name), "elmarchd", 1, 200, 0, "NAME",
    "name of this host in leases" },
  { "entry-ttl-s", EL_SETTING_U64, AT (entry_ttl_s), "2", 1, 3600, 0, "S",
    "time for which callers cache entry addresses" },
  { "repeat-ratio", EL_SETTING_DOUBLE, AT (retry_ratio), "0.2", 0, 1000, 0,
    "RATIO", "retries allowed per relayed request, over all hosts" },
  { "repeat-slack", EL_SETTING_DOUBLE, AT (retry_slack), "20", 0, 1000000, 0,
    "N", "additional retries allowed per window, over all hosts" },
  { "repeat-window-s", EL_SETTING_DOUBLE, AT (retry_window_s), "10", 1, 3600,
    0, "S", "window in which retries are counted" },
  { "keys-limit-ms", EL_SETTING_DOUBLE, AT (keys_limit_ms), "5000", 0, 3600000,
    0, "MS", "refuse keys when the rules are older than this" },
  { "change-limit-ms", EL_SETTING_DOUBLE, AT (change_limit_ms), "2000", 100,
    3600000, 0, "MS", "time within which a rule change must be in force" },
  { "lease-ms", EL_SETTING_U64, AT (lease_ms), "2000", 1000, 600000, 0, "MS",
    "time to live of the planner lease" },
  { "tell-load", EL_SETTING_STRING, AT (tell_load), "off", 2, 6, 0, "WHEN",
    "whether the hosts of a hall tell each other their load: on, off, or if "
    "they differ in capacity: uneven" },
  { "load-interval-ms", EL_SETTING_U64, AT (load_interval_ms), "200", 20, 1000,
    0, "MS", "time between two reports of a host's load" },
  { "max-waiting", EL_SETTING_U64, AT (max_waiting), "1024", 1, 100000, 0, "N",
    "maximum number of relayed requests of a service that wait for room" },
  { "stop-least-ms", EL_SETTING_U64, AT (stop_least_ms), "2500", 0, 3600000, 0,
    "MS", "a stopping host still accepts relayed requests for this long" },
  { "stop-most-ms", EL_SETTING_U64, AT (stop_most_ms), "7500", 0, 3600000, 0,
    "MS", "longest time that a stop waits for relayed requests" },
  { "cluster-key", EL_SETTING_STRING, AT (cluster_key), NULL, KEY_MIN, KEY_MAX,
    1, "KEY", "key shared by all hosts; best set as a variable" },
  { "operator-key", EL_SETTING_STRING, AT (operator_key), NULL, KEY_MIN,
    KEY_MAX, 1, "KEY",
    "key that authenticates operators; best set as a variable" },
  { "log-level", EL_SETTING_STRING, AT (log_level), "info", 4, 5, 0, "LEVEL",
    "error, warn, info or debug" },
  { "max-active", EL_SETTING_U64, AT (max_active), "512", 1, 100000, 0, "N",
    "maximum number of running requests" },
  { "max-queue", EL_SETTING_U64, AT (max_queue), "1024", 0, 100000, 0, "N",
    "maximum number of queued requests" },
  { "max-body", EL_SETTING_U64, AT (max_body), "1048576", 1024, 8388608, 0,
    "BYTES", "maximum size of a request body" },
  { "memory-mb", EL_SETTING_U64, AT (memory_mb), "256", 0, 1048576, 0, "MB",
    "memory of the process, of which limits on what callers make it hold are "
    "derived, at most that of the machine; 0: that of the machine" },
  { "descriptors", EL_SETTING_U64, AT (descriptors), "0", 0, 1048576, 0, "N",
    "files and connections that the process may have open, of which limits on "
    "connections are derived; 0: its resource limit" },
  { "max-sessions", EL_SETTING_U64, AT (max_sessions), "8192", 1, 1000000, 0,
    "N", "sessions at home here" },
  { "max-entries", EL_SETTING_U64, AT (max_entries), "64", 1, 4096, 0, "N",
    "requests remembered per session" },
  { "max-answers-mb", EL_SETTING_U64, AT (max_answers_mb), "24", 1, 65536, 0,
    "MB", "memory for stored answers of session requests" },
  { "deadline-ms", EL_SETTING_U64, AT (deadline_ms), "60000", 1, 3600000, 0,
    "MS", "deadline of requests that set none" },
  { "call-limit-ms", EL_SETTING_U64, AT (call_limit_ms), "5000", 10, 600000, 0,
    "MS", "timeout of a call to one stage" },
  { "session-idle-s", EL_SETTING_U64, AT (session_idle_s), "3600", 1, 604800,
    0, "S", "unused sessions are closed after this" },
  { "session-hold-s", EL_SETTING_U64, AT (session_hold_s), "30", 0, 3600, 0,
    "S", "a session's stream continues without a reader for this long" },
  { "leave-hold-s", EL_SETTING_U64, AT (leave_hold_s), "10", 1, 3600, 0, "S",
    "an endpoint's notice that it is leaving is valid for this long" },
  { "drain-limit-s", EL_SETTING_U64, AT (drain_limit_s), "3600", 1, 604800, 0,
    "S", "longest time that a stop waits for running requests" },
  { "trace-fd", EL_SETTING_U64, AT (trace_fd), "2", 1, 1023, 0, "FD",
    "open file descriptor that --trace writes to" },
  { "trace", EL_SETTING_FLAG, AT (trace), "0", 0, 1, 0, NULL,
    "write a trace of events and actions" },
  { "check", EL_SETTING_FLAG, AT (check), "0", 0, 1, 0, NULL,
    "check the settings and exit" },
};

/* Values of --tell-load. */
static const struct
{
  const char *name;
  frontend_tell_t value;
} tell_values[] = {
  { "uneven", FRONTEND_TELL_UNEVEN },
  { "on", FRONTEND_TELL_ON },
  { "off", FRONTEND_TELL_OFF },
};

static int
tell_load_parse (const char *text, frontend_tell_t *out)
{
  size_t i;

  for (i = 0; i < sizeof tell_values / sizeof *tell_values; i++)
    if (strcmp (text, tell_values[i].name) == 0)
      {
        *out = tell_values[i].value;
        return 1;
      }
  return 0;
}

/* The limit of a resource, or MAX if it is lower. */
static uint64_t
resource_limit (int resource, uint64_t max)
{
  struct rlimit limit;

  if (getrlimit (resource, &limit) || limit.rlim_cur == RLIM_INFINITY
      || limit.rlim_cur > max)
    return max;
  return limit.rlim_cur;
}

/* The memory of the process in bytes. */
static uint64_t
memory_size (const daemon_settings_t *set)
{
  uint64_t machine
      = (uint64_t)sysconf (_SC_PHYS_PAGES) * (uint64_t)sysconf (_SC_PAGESIZE);

  machine = resource_limit (RLIMIT_AS, machine);
  return set->memory_mb && set->memory_mb << 20 < machine
             ? set->memory_mb << 20
             : machine;
}

/* The memory for stored answers, which is not drawn from the account. */
static uint64_t
answers_size (const daemon_settings_t *set)
{
  uint64_t max = memory_size (set) / ANSWERS_SHARE;

  return set->max_answers_mb << 20 < max ? set->max_answers_mb << 20 : max;
}

static uint64_t
descriptors_max (const daemon_settings_t *set)
{
  return set->descriptors ? set->descriptors
                          : resource_limit (RLIMIT_NOFILE, DESCRIPTORS_MAX);
}

/* Check that there is room for one request of the largest size. */
static el_status_t
room_check (const daemon_settings_t *set, el_err_t *err)
{
  uint64_t body = set->max_body;
  el_account_t account;

  if (set->entry[0] && body < FRONTEND_BODY_MAX)
    body = FRONTEND_BODY_MAX;
  el_account_init (&account, memory_size (set), descriptors_max (set));
  if (account.hold_max[EL_HOLD_LONG] >= body * NET_BODY_COPIES)
    return EL_OK;
  return el_err_set (err, EL_INVALID,
                     "--memory-mb: %" PRIu64 " MB have no room for a body of "
                     "%" PRIu64 " bytes",
                     memory_size (set) >> 20, body);
}

/* Check that requests that wait fit into half of the memory. */
static el_status_t
waiting_check (const daemon_settings_t *set, el_err_t *err)
{
  uint64_t max = memory_size (set) / 2 / WAITING_BYTES;

  if (set->max_waiting <= max)
    return EL_OK;
  return el_err_set (err, EL_INVALID,
                     "--max-waiting: %" PRIu64 " requests of %d bytes take "
                     "more than half of the memory; at most %" PRIu64,
                     set->max_waiting, WAITING_BYTES, max);
}

/* Check what the table of settings can't express. */
static el_status_t
settings_check (const daemon_settings_t *set, el_log_level_t *level,
                el_err_t *err)
{
  const struct
  {
    const char *name;
    const char *address;
  } addresses[] = {
    { "listen", set->listen },
    { "peer-listen", set->peer_listen },
    { set->entry[0] ? "entry" : "platform",
      set->entry[0] ? set->entry : set->platform },
    { "ready", set->ready },
    { set->entry[0] ? "store" : "ready",
      set->entry[0] ? set->store : set->ready },
  };
  frontend_tell_t tell;
  size_t i;

  if (!el_log_level_parse (set->log_level, level))
    return el_err_set (err, EL_INVALID,
                       "--log-level: takes error, warn, info or debug, "
                       "not '%s'",
                       set->log_level);
  for (i = 0; i < sizeof addresses / sizeof *addresses; i++)
    if (!net_address_valid (el_str (addresses[i].address)))
      return el_err_set (err, EL_INVALID, "--%s: takes ip:port, not '%s'",
                         addresses[i].name, addresses[i].address);
  if (!tell_load_parse (set->tell_load, &tell))
    return el_err_set (err, EL_INVALID,
                       "--tell-load: takes uneven, on or off, not '%s'",
                       set->tell_load);
  if (room_check (set, err) || waiting_check (set, err))
    return err->status;
  if (!co_name_valid (el_str (set->hall)))
    return el_err_set (err, EL_INVALID,
                       "--hall: takes a name of a-z, 0-9, '-' and '.', "
                       "not '%s'",
                       set->hall);
  return EL_OK;
}

static void
gate_options_fill (const daemon_settings_t *set, gt_options_t *out)
{
  *out = (gt_options_t){
    .listen = el_str (set->listen),
    .peer_listen = el_str (set->peer_listen),
    .peers = el_str (set->peers),
    .hall = el_str (set->hall),
    .entry = el_str (set->entry),
    .platform = el_str (set->platform),
    .cluster_key = el_str (set->cluster_key),
    .operator_key = el_str (set->operator_key),
    .store_followers = set->store_followers,
    .capacity = (uint64_t)(set->capacity * CAPACITY_SCALE),
    .max_active = set->max_active,
    .max_queue = set->max_queue,
    .max_body = set->max_body,
    .memory = memory_size (set),
    .descriptors = descriptors_max (set),
    .max_sessions = set->max_sessions,
    .max_entries = set->max_entries,
    .max_answers = answers_size (set),
    .deadline = set->deadline_ms * EL_MSEC,
    .call_limit = set->call_limit_ms * EL_MSEC,
    .session_idle = set->session_idle_s * EL_SEC,
    .session_hold = set->session_hold_s * EL_SEC,
    .leave_hold = set->leave_hold_s * EL_SEC,
    .drain_limit = set->drain_limit_s * EL_SEC,
    .trace_fd = set->trace ? (int)set->trace_fd : -1,
  };
}

static void
frontend_options_fill (const daemon_settings_t *set, frontend_options_t *out)
{
  *out = (frontend_options_t){
    .entry = el_str (set->entry),
    .ready = el_str (set->ready),
    .directory = el_str (set->directory),
    .store = el_str (set->store),
    .name = el_str (set->name),
    .hall = el_str (set->hall),
    .key = el_str (set->cluster_key),
    .entry_ttl_s = set->entry_ttl_s,
    .retry_ratio = set->retry_ratio,
    .retry_slack = set->retry_slack,
    .retry_window = (el_time_t)(set->retry_window_s * EL_SEC),
    .keys_limit = (el_time_t)(set->keys_limit_ms * EL_MSEC),
    .change_limit = (el_time_t)(set->change_limit_ms * EL_MSEC),
    .lease_ms = set->lease_ms,
    .load_interval = set->load_interval_ms * EL_MSEC,
    .max_waiting = set->max_waiting,
    .stop_min = set->stop_least_ms * EL_MSEC,
    .stop_max = set->stop_most_ms * EL_MSEC,
  };
  tell_load_parse (set->tell_load, &out->tell_load);
}

/* A component has stopped. The signal handlers stay installed, so that a
   second SIGTERM does not interrupt the last steps. */
static void
component_stopped (void *arg)
{
  daemon_process_t *process = arg;

  if (--process->stopping == 0)
    uv_stop (&process->loop);
}

static void
stop_signal (uv_signal_t *signal, int number)
{
  daemon_process_t *process = signal->data;

  (void)number;
  if (process->stopping)
    return;
  process->stopping = process->frontend ? 2 : 1;
  if (process->frontend)
    frontend_stop (process->frontend, component_stopped, process);
  gt_gate_drain (process->gate, component_stopped, process);
}

/* Settings come from options and the environment, which a running process
   can't reload. */
static void
reload_signal (uv_signal_t *signal, int number)
{
  (void)signal;
  (void)number;
  EL_LOG (EL_LOG_INFO, "reload",
          EL_FC ("outcome", "settings can only be changed by a restart"));
}

static void
dump_signal (uv_signal_t *signal, int number)
{
  daemon_process_t *process = signal->data;
  json_t *dump = gt_gate_dump (process->gate);
  char *text = json_dumps (dump, JSON_COMPACT);

  (void)number;
  EL_LOG (EL_LOG_INFO, "dump", EL_FC ("state", text));
  free (text);
  json_decref (dump);
}

static void
signals_open (daemon_process_t *process)
{
  uv_signal_init (&process->loop, &process->term);
  uv_signal_init (&process->loop, &process->interrupt);
  uv_signal_init (&process->loop, &process->dump);
  uv_signal_init (&process->loop, &process->reload);
  process->term.data = process;
  process->interrupt.data = process;
  process->dump.data = process;
  uv_signal_start (&process->term, stop_signal, SIGTERM);
  uv_signal_start (&process->interrupt, stop_signal, SIGINT);
  uv_signal_start (&process->dump, dump_signal, SIGUSR1);
  uv_signal_start (&process->reload, reload_signal, SIGHUP);
  signal (SIGPIPE, SIG_IGN);
}

/* The process state is static, as connections that callers keep open refer to
   it until the process exits. */
static int
daemon_run (gt_options_t *options, frontend_options_t *frontend)
{
  static daemon_process_t process;
  el_err_t err;

  mallopt (M_MMAP_THRESHOLD, RETURNED_BLOCK_BYTES);
  mallopt (M_TRIM_THRESHOLD, RETURNED_BLOCK_BYTES);
  uv_loop_init (&process.loop);
  options->loop = &process.loop;
  options->seed = uv_hrtime ();
  process.gate = gt_gate_new (options, &err);
  if (!process.gate)
    {
      EL_LOG (EL_LOG_ERROR, "not_started", EL_FC ("reason", err.msg));
      return EXIT_FAILURE;
    }
  frontend->seed = options->seed;
  if (frontend->entry.len)
    process.frontend = frontend_new (process.gate, frontend, &err);
  if (frontend->entry.len && !process.frontend)
    {
      EL_LOG (EL_LOG_ERROR, "not_started", EL_FC ("reason", err.msg));
      return EXIT_FAILURE;
    }
  signals_open (&process);
  uv_run (&process.loop, UV_RUN_DEFAULT);
  return EXIT_SUCCESS;
}

int
main (int argc, const char **argv)
{
  const el_settings_options_t options
      = { .program = "elmarchd",
          .env_prefix = "ELMARCHD",
          .usage = "[OPTION...]\nEvery option can also be set as an "
                   "environment variable: --max-queue is ELMARCHD_MAX_QUEUE.",
          .table = table,
          .ntable = sizeof table / sizeof *table };
  daemon_settings_t set;
  gt_options_t gate;
  frontend_options_t frontend;
  el_log_level_t level = EL_LOG_INFO;
  el_err_t err;
  el_settings_result_t result;
  int rc = EXIT_SUCCESS;

  memset (&set, 0, sizeof set);
  result = el_settings_parse (&options, argc, argv, &set, NULL, &err);
  if (result == EL_SETTINGS_OK && settings_check (&set, &level, &err))
    result = EL_SETTINGS_INVALID;
  if (result == EL_SETTINGS_INVALID)
    fprintf (stderr, "elmarchd: %s\n", err.msg);
  else if (result == EL_SETTINGS_OK && set.check)
    printf ("elmarchd: settings are valid\n");
  else if (result == EL_SETTINGS_OK && el_log_open ("elmarchd", level) == 0)
    {
      gate_options_fill (&set, &gate);
      frontend_options_fill (&set, &frontend);
      rc = daemon_run (&gate, &frontend);
      el_log_close ();
    }
  el_settings_free (&options, &set);
  return result == EL_SETTINGS_INVALID ? EL_EXIT_USAGE : rc;
}
