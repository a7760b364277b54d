/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The processes of a run, the operator, and what faults do to them.
 */
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <curl/curl.h>
#include <jansson.h>
#include <uv.h>

#include "soak.h"

#define HTTP_LIMIT_MS 1000L
#define READY_TRIES 400
#define READY_STEP_NS 25000000
/* An entry of an endpoint that died goes after this, as with three heartbeats
   missed. */
#define ENTRY_GOES (1500 * EL_MSEC)
/* A host that was told to end has this long. */
#define GRACE (12 * EL_SEC)
#define KEYS_LIMIT_MS "2000"
#define ARGS_MAX 40

extern char **environ;

/** Now, in microseconds on the clock that endpoints note runs by. */
el_time_t
sk_now (void)
{
  return uv_hrtime () / 1000;
}

static size_t
http_body (char *data, size_t size, size_t n, void *arg)
{
  if (arg)
    el_buf_add (arg, (el_str_t){ data, size * n });
  return size * n;
}

/* See soak.h. */
long
sk_http (const char *method, const char *address, const char *path,
         const char *body, el_buf_t *out)
{
  CURL *curl = curl_easy_init ();
  char url[256];
  long status = 0;

  snprintf (url, sizeof url, "http://%s%s", address, path);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, HTTP_LIMIT_MS);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, http_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, out);
  if (body)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  if (curl_easy_perform (curl) == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (curl);
  return status;
}

/** An address of a host: its port's last digit tells which. */
void
sk_host_address (const sk_world_t *world, unsigned host, char digit, char *out)
{
  snprintf (out, SK_ADDRESS_MAX, "%s", world->hosts[host].address);
  out[strlen (out) - 1] = digit;
}

/** The text of a key; each time that it is taken away it becomes another. */
void
sk_key_text (unsigned key, unsigned generation, char *out, size_t size)
{
  snprintf (out, size, "key-%u-%u", key, generation);
}

static void
address_make (const sk_world_t *world, unsigned last, char *out)
{
  snprintf (out, SK_ADDRESS_MAX, "127.%u.%u.%u:7000",
            200 + (world->net >> 8) % 50, world->net & 0xff, last);
}

/* Addresses: the store, members, their links, hosts, their links. */
#define NET_STORE 1
#define NET_MEMBER 10
#define NET_MEMBER_LINK 40
#define NET_HOST 70
#define NET_STORE_LINK 90

static void
link_address (const sk_world_t *world, unsigned link, char *out)
{
  address_make (world,
                link < SK_HOSTS ? NET_STORE_LINK + link
                                : NET_MEMBER_LINK + link - SK_HOSTS,
                out);
}

static void
proc_start (const sk_world_t *world, sk_proc_t *proc, const char *log,
            const char **args)
{
  posix_spawn_file_actions_t actions;
  char path[512];
  char file[512];

  snprintf (path, sizeof path, "%s/%s", world->bin, args[0]);
  snprintf (file, sizeof file, "%s/%s.log", world->dir, log);
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, STDOUT_FILENO, file,
                                    O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2 (&actions, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn (&proc->pid, path, &actions, NULL,
                   (char *const *)(uintptr_t)args, environ))
    abort ();
  posix_spawn_file_actions_destroy (&actions);
  proc->boots++;
  proc->ending = 0;
  proc->paused = 0;
  proc->back = 0;
}

static void
wait_step (void)
{
  struct timespec step = { 0, READY_STEP_NS };

  nanosleep (&step, NULL);
}

/* Wait until ADDRESS answers PATH with 200. */
static int
wait_for (const char *address, const char *path, el_buf_t *out)
{
  int i;

  for (i = 0; i < READY_TRIES; i++)
    {
      if (out)
        el_buf_reset (out);
      if (sk_http ("GET", address, path, NULL, out) == 200)
        return 1;
      wait_step ();
    }
  return 0;
}

static const char *
member_hall (unsigned i)
{
  return i % SK_HALLS ? "hall-b" : "hall-a";
}

static void
member_start (sk_world_t *world, unsigned i)
{
  sk_proc_t *proc = &world->members[i];
  int engine = i < SK_ENGINES;
  char name[16];
  char link[SK_ADDRESS_MAX];
  char record[300];
  const char *args[] = { "standin",
                         "--role",
                         "member",
                         "--listen",
                         proc->address,
                         "--store",
                         world->store.address,
                         "--name",
                         name,
                         "--service",
                         engine ? "llm" : "app",
                         "--hall",
                         member_hall (i),
                         "--card",
                         engine ? "half" : "",
                         "--step-us",
                         "10000",
                         "--announce",
                         link,
                         "--record",
                         record,
                         NULL };

  snprintf (name, sizeof name, "m%u", i);
  snprintf (record, sizeof record, "%s/runs", world->dir);
  link_address (world, SK_HOSTS + i, link);
  proc_start (world, proc, name, args);
}

/* The id under which the member has entered itself. */
static void
member_id (sk_proc_t *proc)
{
  el_buf_t body = { NULL, 0, 0 };
  json_t *json;

  if (wait_for (proc->address, "/runs", &body))
    {
      json = json_loadb (body.ptr, body.len, 0, NULL);
      snprintf (proc->id, sizeof proc->id, "%s",
                json_string_value (json_object_get (json, "id")));
      json_decref (json);
    }
  el_buf_free (&body);
}

static void
host_start (sk_world_t *world, unsigned i)
{
  char name[16];
  char at[5][SK_ADDRESS_MAX];
  char store[SK_ADDRESS_MAX];
  char seeds[SK_HOSTS * SK_ADDRESS_MAX] = "";
  const char *args[] = { "elmarchd",
                         "--listen",
                         at[0],
                         "--peer-listen",
                         at[1],
                         "--entry",
                         at[2],
                         "--ready",
                         at[3],
                         "--directory",
                         at[4],
                         "--peers",
                         seeds,
                         "--hall",
                         member_hall (i),
                         "--name",
                         name,
                         "--store",
                         store,
                         "--cluster-key",
                         "the-soak's-cluster-key",
                         "--operator-key",
                         "the-soak's-operator-key",
                         "--repeat-ratio",
                         "10",
                         "--repeat-slack",
                         "1000",
                         "--keys-limit-ms",
                         KEYS_LIMIT_MS,
                         NULL };
  unsigned k;

  for (k = 0; k < 5; k++)
    sk_host_address (world, i, (char)('0' + k), at[k]);
  for (k = 0; k < SK_HOSTS && k < 3; k++)
    {
      char seed[SK_ADDRESS_MAX];

      sk_host_address (world, k, '1', seed);
      strcat (strcat (seeds, seed), ",");
    }
  snprintf (name, sizeof name, "h%u", i);
  link_address (world, i, store);
  proc_start (world, &world->hosts[i], name, args);
}

/* The operator writes a new version; gives whether the store took it. */
static int
config_write (sk_world_t *world)
{
  static const char *const head
      = "{\"Version\":%d,\"Routes\":["
        "{\"Name\":\"chat\",\"Host\":\"rel.example\",\"PathPrefix\":\"/chat/"
        "\",\"RouteType\":\"streaming\",\"TimeoutMs\":20000,\"MaxAttempts\":2,"
        "\"Service\":\"llm\",\"Resumable\":true},"
        "{\"Name\":\"pay\",\"Host\":\"rel.example\",\"PathPrefix\":\"/pay/\","
        "\"RouteType\":\"unsafe\",\"TimeoutMs\":1500,\"MaxAttempts\":1,"
        "\"Service\":\"app\"},"
        "{\"Name\":\"look\",\"Host\":\"rel.example\",\"PathPrefix\":\"/look/"
        "\",\"RouteType\":\"safe\",\"TimeoutMs\":1500,\"MaxAttempts\":2,"
        "\"Service\":\"app\"}],"
        "\"Services\":[{\"Name\":\"app\"},{\"Name\":\"llm\",\"Engine\":{"
        "\"layers\":8,\"layer_mb\":1000,\"step_ms\":1,\"KvTokenBytes\":8000,"
        "\"usual\":{\"prompt\":10,\"answer\":10},"
        "\"kinds\":[{\"Name\":\"half\",\"mb\":4500,\"pace\":1}]}}],"
        "\"Limits\":{\"MaxBodyBytes\":65536,\"IdleTimeoutMs\":15000},"
        "\"Tenants\":[";
  el_buf_t body = { NULL, 0, 0 };
  char key[32];
  long status;
  unsigned k;

  el_buf_printf (&body, head, ++world->version);
  for (k = 0; k < SK_KEYS; k++)
    {
      sk_key_text (k, world->keys[k], key, sizeof key);
      el_buf_printf (&body,
                     "%s{\"Name\":\"customer-%u\",\"ApiKeys\":[\"%s\"]}",
                     k ? "," : "", k, key);
    }
  el_buf_printf (&body, "]}");
  status = sk_http ("PUT", world->store.address, "/test/op/config", body.ptr,
                    NULL);
  el_buf_free (&body);
  return status == 200;
}

static void
store_start (sk_world_t *world)
{
  const char *args[] = {
    "standin", "--role", "store", "--listen", world->store.address, NULL
  };

  proc_start (world, &world->store, "store", args);
  wait_for (world->store.address, "/elmarch/kv-range?PathPrefix=none", NULL);
}

/** Start everything and wait until all hosts are ready. */
void
sk_world_open (sk_world_t *world, const char *bin, const char *dir)
{
  char link[SK_ADDRESS_MAX];
  char ready[SK_ADDRESS_MAX];
  unsigned i;

  memset (world, 0, sizeof *world);
  world->bin = bin;
  snprintf (world->dir, sizeof world->dir, "%s", dir);
  world->net = (unsigned)getpid ();
  address_make (world, NET_STORE, world->store.address);
  for (i = 0; i < SK_MEMBERS; i++)
    address_make (world, NET_MEMBER + i, world->members[i].address);
  for (i = 0; i < SK_HOSTS; i++)
    address_make (world, NET_HOST + i, world->hosts[i].address);
  world->proxy = sk_proxy_new ();
  for (i = 0; i < SK_LINKS; i++)
    {
      link_address (world, i, link);
      sk_proxy_add (world->proxy, i, link,
                    i < SK_HOSTS ? world->store.address
                                 : world->members[i - SK_HOSTS].address);
    }
  sk_proxy_start (world->proxy);
  store_start (world);
  config_write (world);
  for (i = 0; i < SK_MEMBERS; i++)
    {
      member_start (world, i);
      member_id (&world->members[i]);
    }
  for (i = 0; i < SK_HOSTS; i++)
    host_start (world, i);
  for (i = 0; i < SK_HOSTS; i++)
    {
      sk_host_address (world, i, '3', ready);
      if (!wait_for (ready, "/elmarch/ready", NULL))
        sk_broken ("start", "-", "host %u is not ready", i);
    }
}

static void
proc_signal (sk_proc_t *proc, int number)
{
  if (proc->pid)
    kill (proc->pid, number);
}

/* Kill a process and wait for its end. */
static void
proc_kill (sk_proc_t *proc)
{
  if (!proc->pid)
    return;
  proc->ending = 1;
  kill (proc->pid, SIGKILL);
  waitpid (proc->pid, NULL, 0);
  proc->pid = 0;
}

static void
proc_pause (sk_proc_t *proc, int on)
{
  proc->paused = on;
  proc_signal (proc, on ? SIGSTOP : SIGCONT);
}

static void
member_gone (sk_world_t *world, sk_proc_t *proc)
{
  char path[128];

  snprintf (path, sizeof path, "/test/servers/%s", proc->id);
  proc->gone = 0;
  if (proc->id[0]
      && sk_http ("DELETE", world->store.address, path, NULL, NULL) != 200)
    proc->gone = sk_now () + EL_SEC; /* the store is paused: again */
}

static void
member_kill (sk_world_t *world, unsigned i, el_time_t back)
{
  sk_proc_t *proc = &world->members[i];

  if (!proc->pid)
    return;
  proc_kill (proc);
  proc->gone = sk_now () + ENTRY_GOES;
  proc->back = sk_now () + (back > ENTRY_GOES ? back : ENTRY_GOES + EL_MSEC);
}

static void
host_kill (sk_world_t *world, unsigned i, el_time_t back)
{
  proc_kill (&world->hosts[i]);
  if (!world->hosts[i].back)
    world->hosts[i].back = sk_now () + back;
}

static void
member_answer (sk_world_t *world, const sk_fault_t *fault, const char *name)
{
  char body[64];

  snprintf (body, sizeof body, "{\"fault\":\"%s\"}", name);
  sk_http ("PUT", world->members[SK_ENGINES + fault->which].address, "/fault",
           body, NULL);
}

/* Take a key away and give its customer another. */
static void
key_take (sk_world_t *world, unsigned key)
{
  int written;

  if (world->store.paused)
    return;
  __atomic_store_n (&world->taken[key], 0, __ATOMIC_RELAXED);
  __atomic_add_fetch (&world->keys[key], 1, __ATOMIC_RELAXED);
  written = config_write (world);
  __atomic_store_n (&world->taken[key], written ? sk_now () : 0,
                    __ATOMIC_RELAXED);
}

/** Have FAULT strike. */
void
sk_world_fault (sk_world_t *world, sk_fault_t *fault)
{
  static const char *const answers[] = { "lose", "cross", "busy", "hang" };
  unsigned i;

  switch (fault->kind)
    {
    case SK_HOST_TERM:
      if (!world->hosts[fault->which].ending)
        proc_signal (&world->hosts[fault->which], SIGTERM);
      world->hosts[fault->which].ending = 1;
      break;
    case SK_HOST_KILL:
      host_kill (world, fault->which, fault->lasts);
      break;
    case SK_HOST_PAUSE:
      proc_pause (&world->hosts[fault->which], 1);
      break;
    case SK_HOSTS_KILL:
      for (i = 0; i < SK_HOSTS; i++)
        host_kill (world, i, fault->lasts);
      break;
    case SK_MEMBER_KILL:
      member_kill (world, fault->which, fault->lasts);
      break;
    case SK_MEMBER_PAUSE:
      proc_pause (&world->members[fault->which], 1);
      break;
    case SK_MEMBER_LEAVE:
      snprintf (fault->member, sizeof fault->member, "%s",
                world->members[fault->which].id);
      sk_http ("POST", world->members[fault->which].address, "/leave", "{}",
               NULL);
      break;
    case SK_MEMBER_ANSWER:
      member_answer (world, fault, answers[fault->how]);
      break;
    case SK_STORE_PAUSE:
      proc_pause (&world->store, 1);
      break;
    case SK_STORE_FORGET:
      sk_http ("POST", world->store.address, "/test/forget", "{}", NULL);
      break;
    case SK_LINK_DELAY:
      sk_proxy_delay (world->proxy, fault->which, 20 + 60 * fault->how);
      break;
    case SK_LINK_RESET:
      sk_proxy_reset (world->proxy, fault->which);
      break;
    case SK_LINK_CUT:
      sk_proxy_hold (world->proxy, fault->which,
                     fault->how % 2 ? SK_UP : SK_DOWN, 1);
      break;
    case SK_LINK_SILENT:
      sk_proxy_hold (world->proxy, fault->which, SK_UP, 1);
      sk_proxy_hold (world->proxy, fault->which, SK_DOWN, 1);
      break;
    case SK_CONFIG:
      if (!world->store.paused)
        config_write (world);
      break;
    case SK_KEY:
      key_take (world, fault->which);
      break;
    case SK_KINDS:
      break;
    }
}

static void
member_left (sk_world_t *world, unsigned i)
{
  sk_proc_t *proc = &world->members[i];

  if (proc->pid && !proc->paused)
    member_kill (world, i, 0);
}

/** End what FAULT began. */
void
sk_world_fault_end (sk_world_t *world, sk_fault_t *fault)
{
  switch (fault->kind)
    {
    case SK_HOST_PAUSE:
      proc_pause (&world->hosts[fault->which], 0);
      break;
    case SK_MEMBER_PAUSE:
      proc_pause (&world->members[fault->which], 0);
      break;
    case SK_MEMBER_LEAVE:
      member_left (world, fault->which);
      break;
    case SK_MEMBER_ANSWER:
      member_answer (world, fault, "none");
      break;
    case SK_STORE_PAUSE:
      proc_pause (&world->store, 0);
      break;
    case SK_LINK_DELAY:
      sk_proxy_delay (world->proxy, fault->which, 0);
      break;
    case SK_LINK_CUT:
    case SK_LINK_SILENT:
      sk_proxy_hold (world->proxy, fault->which, SK_UP, 0);
      sk_proxy_hold (world->proxy, fault->which, SK_DOWN, 0);
      break;
    default:
      break;
    }
}

/* A process that ended: as it was told to, or by itself. */
static void
proc_reap (sk_proc_t *proc, const char *what, unsigned i)
{
  int status;

  if (!proc->pid || waitpid (proc->pid, &status, WNOHANG) != proc->pid)
    return;
  proc->pid = 0;
  if (!proc->ending)
    sk_broken ("exit", "-", "%s %u ended by itself, status %x", what, i,
               (unsigned)status);
  else if (!WIFEXITED (status) || WEXITSTATUS (status))
    sk_broken ("exit", "-", "%s %u stopped with status %x", what, i,
               (unsigned)status);
  proc->back = sk_now () + 1;
}

/** Start again what is due, take entries away, look for processes that ended.
 */
void
sk_world_tick (sk_world_t *world, el_time_t now)
{
  unsigned i;

  for (i = 0; i < SK_HOSTS; i++)
    {
      sk_proc_t *host = &world->hosts[i];

      proc_reap (host, "host", i);
      if (!host->pid && host->back && now >= host->back)
        host_start (world, i);
    }
  for (i = 0; i < SK_MEMBERS; i++)
    {
      sk_proc_t *member = &world->members[i];

      if (member->gone && now >= member->gone)
        member_gone (world, member);
      if (!member->pid && member->back && now >= member->back && !member->gone
          && !world->store.paused)
        {
          member_start (world, i);
          member_id (member);
        }
    }
}

/** End all faults: processes go on, links pass. */
void
sk_world_calm (sk_world_t *world)
{
  unsigned i;

  proc_pause (&world->store, 0);
  for (i = 0; i < SK_HOSTS; i++)
    proc_pause (&world->hosts[i], 0);
  for (i = 0; i < SK_MEMBERS; i++)
    proc_pause (&world->members[i], 0);
  for (i = 0; i < SK_LINKS; i++)
    {
      sk_proxy_delay (world->proxy, i, 0);
      sk_proxy_hold (world->proxy, i, SK_UP, 0);
      sk_proxy_hold (world->proxy, i, SK_DOWN, 0);
    }
}

/* Stop a host as planned; it must end by itself and without a leak. */
static void
host_end (sk_proc_t *host, unsigned i)
{
  el_time_t until = sk_now () + GRACE;

  proc_signal (host, SIGTERM);
  host->ending = 1;
  while (host->pid && sk_now () < until)
    {
      proc_reap (host, "host", i);
      wait_step ();
    }
  if (host->pid)
    sk_broken ("exit", "-", "host %u does not end", i);
  proc_kill (host);
}

/** End everything that was started. */
void
sk_world_close (sk_world_t *world)
{
  unsigned i;

  for (i = 0; i < SK_HOSTS; i++)
    host_end (&world->hosts[i], i);
  for (i = 0; i < SK_MEMBERS; i++)
    proc_kill (&world->members[i]);
  proc_kill (&world->store);
  sk_proxy_free (world->proxy);
}
