/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Blocking HTTP/1.1, child processes and the record, for the scripts of
 * review/.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "rig.h"

/* Wait for a process to be ready. */
#define READY_S 15
#define POLL_S 0.02
#define PORT_FIRST 20000u
#define PORT_RANGE 10000u

double
now_s (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec * 1e-9;
}

void
sleep_s (double seconds)
{
  struct timespec wait;

  if (seconds <= 0)
    return;
  wait.tv_sec = (time_t)seconds;
  wait.tv_nsec = (long)((seconds - (double)wait.tv_sec) * 1e9);
  while (nanosleep (&wait, &wait) && errno == EINTR)
    ;
}

/** Appends a line to the record, which all processes of a run share. */
void
record (const char *format, ...)
{
  static int fd = -1;
  const char *path = getenv ("RIG_RECORD");
  char line[512];
  va_list args;
  int n;

  if (fd < 0)
    fd = open (path ? path : "/dev/stderr",
               O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
  n = snprintf (line, sizeof line, "%.4f ", now_s ());
  va_start (args, format);
  n += vsnprintf (line + n, sizeof line - (size_t)n - 1, format, args);
  va_end (args);
  if (n > (int)sizeof line - 2)
    n = (int)sizeof line - 2;
  line[n++] = '\n';
  if (write (fd, line, (size_t)n) != n)
    perror ("record");
}

/** Whether the disruption is to be played. */
int
trouble (void)
{
  const char *text = getenv ("TROUBLE");

  return !text || strcmp (text, "0") != 0;
}

/* Connections. */

static int
address_parse (const char *address, struct sockaddr_in *out)
{
  char ip[ADDRESS_MAX];
  const char *colon = strchr (address, ':');

  memset (out, 0, sizeof *out);
  if (!colon || colon - address >= (ptrdiff_t)sizeof ip)
    return 0;
  memcpy (ip, address, (size_t)(colon - address));
  ip[colon - address] = '\0';
  out->sin_family = AF_INET;
  out->sin_port = htons ((uint16_t)atoi (colon + 1));
  return inet_pton (AF_INET, ip, &out->sin_addr) == 1;
}

/** Finds a port that is free, below those that the system gives to outgoing
    connections, and not found before by this process. */
void
address_free (char *out)
{
  static unsigned next;
  struct sockaddr_in addr = { .sin_family = AF_INET };
  int taken = 1;
  int fd;

  if (!next)
    next = PORT_FIRST + (unsigned)getpid () * 37 % PORT_RANGE;
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  while (taken)
    {
      if (++next >= PORT_FIRST + PORT_RANGE)
        next = PORT_FIRST;
      addr.sin_port = htons ((uint16_t)next);
      fd = socket (AF_INET, SOCK_STREAM, 0);
      taken = bind (fd, (struct sockaddr *)&addr, sizeof addr) != 0;
      close (fd);
    }
  snprintf (out, ADDRESS_MAX, "127.0.0.1:%u", next);
}

int
server_open (const char *address)
{
  struct sockaddr_in addr;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  address_parse (address, &addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&addr, sizeof addr) || listen (fd, 512))
    {
      perror (address);
      exit (2);
    }
  return fd;
}

conn_t *
conn_open (const char *address, double timeout)
{
  struct timeval limit = { (time_t)timeout, 0 };
  struct sockaddr_in addr;
  conn_t *conn;
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address_parse (address, &addr);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *)&addr, sizeof addr))
    {
      close (fd);
      return NULL;
    }
  conn = calloc (1, sizeof *conn);
  conn->fd = fd;
  return conn;
}

/** Takes the next connection of a server; NULL if there is none. */
conn_t *
conn_accept (int server)
{
  conn_t *conn;
  int on = 1;
  int fd = accept4 (server, NULL, NULL, SOCK_CLOEXEC);

  if (fd < 0)
    return NULL;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  conn = calloc (1, sizeof *conn);
  conn->fd = fd;
  return conn;
}

void
conn_close (conn_t *conn)
{
  if (!conn)
    return;
  close (conn->fd);
  free (conn);
}

int
conn_write (conn_t *conn, const void *bytes, size_t len)
{
  const char *at = bytes;

  while (len)
    {
      ssize_t n = send (conn->fd, at, len, MSG_NOSIGNAL);

      if (n <= 0)
        return 0;
      at += n;
      len -= (size_t)n;
    }
  return 1;
}

/** Whether the other side has closed the connection. */
int
conn_gone (conn_t *conn)
{
  char byte;
  ssize_t n = recv (conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/* Reads on. Returns 1, 0 at a clean end, -1 at a reset or time-out. */
static int
conn_fill (conn_t *conn)
{
  ssize_t n;

  if (conn->n == sizeof conn->buf)
    return -1;
  n = recv (conn->fd, conn->buf + conn->n, sizeof conn->buf - conn->n, 0);
  if (n > 0)
    conn->n += (size_t)n;
  return n > 0 ? 1 : n == 0 ? 0 : -1;
}

static void
conn_drop (conn_t *conn, size_t n)
{
  conn->n -= n;
  memmove (conn->buf, conn->buf + n, conn->n);
}

static int
head_read (conn_t *conn, message_t *out)
{
  char *end;
  size_t len;

  while (!(end = memmem (conn->buf, conn->n, "\r\n\r\n", 4)))
    if (conn_fill (conn) <= 0)
      return 0;
  len = (size_t)(end - conn->buf);
  if (len + 3 > sizeof out->head)
    return 0;
  memcpy (out->head, conn->buf, len);
  memcpy (out->head + len, "\r\n", 3);
  conn_drop (conn, len + 4);
  return 1;
}

/** The value of a header, "" if there is none. */
const char *
message_header (const message_t *message, const char *name, char *out,
                size_t size)
{
  const char *line = strstr (message->head, "\r\n");
  size_t len = strlen (name);

  out[0] = '\0';
  while (line && line[2])
    {
      const char *end = strstr (line + 2, "\r\n");

      if (strncasecmp (line + 2, name, len) == 0 && line[2 + len] == ':')
        {
          const char *value = line + 3 + len;

          while (*value == ' ')
            value++;
          snprintf (out, size, "%.*s", (int)(end - value), value);
          break;
        }
      line = end;
    }
  return out;
}

/* Moves N bytes of the connection to the body. Returns 0 if it ends early. */
static int
body_take (conn_t *conn, message_t *out, size_t n)
{
  out->body = realloc (out->body, out->len + n + 1);
  while (n)
    {
      size_t part = conn->n < n ? conn->n : n;

      memcpy (out->body + out->len, conn->buf, part);
      out->len += part;
      n -= part;
      conn_drop (conn, part);
      if (n && conn_fill (conn) <= 0)
        return 0;
    }
  return 1;
}

static int
chunks_read (conn_t *conn, message_t *out)
{
  char *end;
  size_t size;

  for (;;)
    {
      while (!(end = memmem (conn->buf, conn->n, "\r\n", 2)))
        if (conn_fill (conn) <= 0)
          return 0;
      size = strtoul (conn->buf, NULL, 16);
      if (conn->buf[0] < '0')
        return 0;
      conn_drop (conn, (size_t)(end - conn->buf) + 2);
      if (!body_take (conn, out, size + 2))
        return 0;
      out->len -= 2; /* the line end behind a chunk */
      if (size == 0)
        return 1;
    }
}

static int
close_read (conn_t *conn, message_t *out)
{
  int rc;

  do
    {
      body_take (conn, out, conn->n);
      rc = conn_fill (conn);
    }
  while (rc > 0);
  return rc == 0;
}

/** Reads a message; for a response, sets whether its body is whole. Returns 0
    if not even the head came. */
int
message_read (conn_t *conn, message_t *out, int response)
{
  char value[64];

  memset (out, 0, sizeof *out);
  if (!head_read (conn, out))
    return 0;
  if (response)
    out->status = atoi (out->head + strlen ("HTTP/1.1 "));
  if (strcasecmp (
          message_header (out, "transfer-encoding", value, sizeof value),
          "chunked")
      == 0)
    out->whole = chunks_read (conn, out);
  else if (message_header (out, "content-length", value, sizeof value)[0])
    out->whole = body_take (conn, out, strtoul (value, NULL, 10));
  else
    out->whole = response ? close_read (conn, out) : 1;
  return 1;
}

void
message_free (message_t *message)
{
  free (message->body);
  message->body = NULL;
}

/* Processes. */

/** Starts a process, which ends with this one. Its output goes to LOG in the
    run's folder. */
pid_t
child_start (const char *const *args, const char *log)
{
  pid_t parent = getpid ();
  pid_t pid = fork ();
  char path[512];
  int fd;

  if (pid)
    return pid;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () != parent)
    _exit (2);
  snprintf (path, sizeof path, "%s/%s.log", getenv ("RIG_DIR"), log);
  fd = open (path, O_WRONLY | O_CREAT | O_TRUNC, 0644);
  dup2 (fd, 1);
  dup2 (fd, 2);
  execv (args[0], (char *const *)(void *)args);
  perror (args[0]);
  _exit (2);
}

void
child_kill (pid_t *pid)
{
  if (*pid <= 0)
    return;
  kill (*pid, SIGKILL);
  waitpid (*pid, NULL, 0);
  *pid = 0;
}

static int
http_call (const char *address, const char *method, const char *path,
           const char *body)
{
  conn_t *conn = conn_open (address, 5);
  message_t reply;
  char head[512];
  int status = 0;

  if (!conn)
    return 0;
  snprintf (head, sizeof head,
            "%s %s HTTP/1.1\r\nhost: %s\r\ncontent-length: %zu\r\n\r\n",
            method, path, address, strlen (body));
  if (conn_write (conn, head, strlen (head))
      && conn_write (conn, body, strlen (body))
      && message_read (conn, &reply, 1))
    {
      status = reply.status;
      message_free (&reply);
    }
  conn_close (conn);
  return status;
}

static int
http_wait (const char *address, const char *path)
{
  double end = now_s () + READY_S;

  while (now_s () < end)
    {
      if (http_call (address, "GET", path, "") == 200)
        return 1;
      sleep_s (POLL_S);
    }
  fprintf (stderr, "%s%s is not ready\n", address, path);
  return 0;
}

/* The store's stand-in takes what operators and servers write at /test/. */

int
store_put (const char *store, const char *key, const char *value)
{
  char path[256];

  snprintf (path, sizeof path, "/test/%s", key);
  return http_call (store, "PUT", path, value) == 200;
}

void
store_delete (const char *store, const char *key)
{
  char path[256];

  snprintf (path, sizeof path, "/test/%s", key);
  http_call (store, "DELETE", path, "");
}

static const char *
program (const char *name, char *out, size_t size)
{
  snprintf (out, size, "%s/%s", getenv ("RIG_BIN"), name);
  return out;
}

/** Starts the store and writes the configuration. Returns 0 on failure. */
int
site_start (site_t *site, size_t nhosts, const char *config)
{
  char standin[512];
  const char *args[] = { program ("standin", standin, sizeof standin),
                         "--role",
                         "store",
                         "--listen",
                         site->store,
                         NULL };

  memset (site, 0, sizeof *site);
  site->nhosts = nhosts;
  address_free (site->store);
  site->store_pid = child_start (args, "store");
  return http_wait (site->store, "/elmarch/kv-range?PathPrefix=none")
         && store_put (site->store, "op/config", config);
}

/* Starts a host with the command of the deploy file and the bounds of a small
   deployment. */
static void
host_start (site_t *site, size_t i, const char *peers)
{
  host_t *host = &site->hosts[i];
  char elmarchd[512];
  char name[32];
  const char *args[] = { program ("elmarchd", elmarchd, sizeof elmarchd),
                         "--listen",
                         host->listen,
                         "--peer-listen",
                         host->peer,
                         "--peers",
                         peers,
                         "--hall",
                         "hall-a",
                         "--name",
                         name,
                         "--entry",
                         host->entry,
                         "--ready",
                         host->ready,
                         "--directory",
                         host->directory,
                         "--store",
                         site->store,
                         "--capacity",
                         "1000.0",
                         "--repeat-ratio",
                         "0.2",
                         "--repeat-slack",
                         "202",
                         "--repeat-window-s",
                         "10",
                         "--keys-limit-ms",
                         "5000",
                         "--change-limit-ms",
                         "2000",
                         NULL };

  snprintf (name, sizeof name, "front-%zu", i + 1);
  host->pid = child_start (args, name);
}

int
site_hosts_start (site_t *site)
{
  char peers[HOSTS_MAX * ADDRESS_MAX] = "";
  size_t i;

  setenv ("ELMARCHD_CLUSTER_KEY", "elmarch-hosts-of-one-site", 1);
  setenv ("ELMARCHD_OPERATOR_KEY", "elmarch-operators-of-one-site", 1);
  for (i = 0; i < site->nhosts; i++)
    {
      host_t *host = &site->hosts[i];

      address_free (host->listen);
      address_free (host->peer);
      address_free (host->entry);
      address_free (host->ready);
      address_free (host->directory);
      if (i < 3)
        {
          strcat (peers, i ? "," : "");
          strcat (peers, host->peer);
        }
    }
  for (i = 0; i < site->nhosts; i++)
    host_start (site, i, peers);
  for (i = 0; i < site->nhosts; i++)
    if (!http_wait (site->hosts[i].ready, "/elmarch/ready"))
      return 0;
  return 1;
}

/** Records the hosts that have ended by themselves. Returns their number. */
size_t
site_reap (site_t *site)
{
  size_t n = 0;
  size_t i;

  for (i = 0; i < site->nhosts; i++)
    {
      host_t *host = &site->hosts[i];

      if (host->pid > 0 && !host->ended
          && waitpid (host->pid, &host->status, WNOHANG) == host->pid)
        {
          host->ended = 1;
          host->ended_at = now_s ();
          host->pid = 0;
          record ("front-%zu ended by itself: %s %d", i + 1,
                  WIFSIGNALED (host->status) ? "signal" : "exit status",
                  WIFSIGNALED (host->status) ? WTERMSIG (host->status)
                                             : WEXITSTATUS (host->status));
        }
      n += host->ended != 0;
    }
  return n;
}

void
site_end (site_t *site)
{
  size_t i;

  for (i = 0; i < site->nhosts; i++)
    child_kill (&site->hosts[i].pid);
  child_kill (&site->store_pid);
}
