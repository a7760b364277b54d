/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Time, addresses, connections, HTTP messages, and the record.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "rig.h"

#define BACKLOG 256
#define HEAD_MAX 65536
#define CLIENT_TIMEOUT_S 4

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

uint64_t
rg_now (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void
rg_sleep (uint64_t ms)
{
  struct timespec wait = { (time_t)(ms / 1000), (long)(ms % 1000) * 1000000 };

  while (nanosleep (&wait, &wait) != 0 && errno == EINTR)
    ;
}

void
rg_unusable (const char *fmt, ...)
{
  va_list args;

  va_start (args, fmt);
  vfprintf (stderr, fmt, args);
  va_end (args);
  fputc ('\n', stderr);
  rg_hosts_end ();
  exit (RG_EXIT_UNUSABLE);
}

void
rg_address (char *out, unsigned last, unsigned port)
{
  unsigned pid = (unsigned)getpid ();

  snprintf (out, RG_ADDRESS_MAX, "127.%u.%u.%u:%u", 60 + pid % 150,
            pid / 150 % 250, last, port);
}

static void
address_parse (const char *address, struct sockaddr_in *out)
{
  char ip[RG_ADDRESS_MAX];
  const char *colon = strchr (address, ':');

  memset (out, 0, sizeof *out);
  snprintf (ip, sizeof ip, "%.*s", (int)(colon - address), address);
  out->sin_family = AF_INET;
  out->sin_port = htons ((uint16_t)strtoul (colon + 1, NULL, 10));
  inet_pton (AF_INET, ip, &out->sin_addr);
}

typedef struct listener
{
  int fd;
  rg_serve_fn *serve;
  void *arg;
} listener_t;

typedef struct accepted
{
  int fd;
  const listener_t *listener;
} accepted_t;

static void *
connection_run (void *arg)
{
  accepted_t accepted = *(accepted_t *)arg;

  free (arg);
  accepted.listener->serve (accepted.fd, accepted.listener->arg);
  close (accepted.fd);
  return NULL;
}

static void
thread_start (void *(*run) (void *arg), void *arg)
{
  pthread_t thread;

  if (pthread_create (&thread, NULL, run, arg) != 0)
    rg_unusable ("no thread left");
  pthread_detach (thread);
}

static void *
listener_run (void *arg)
{
  const listener_t *listener = arg;
  accepted_t *accepted;
  int on = 1;
  int fd;

  for (;;)
    {
      fd = accept (listener->fd, NULL, NULL);
      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      accepted = malloc (sizeof *accepted);
      if (!accepted)
        abort ();
      *accepted = (accepted_t){ fd, listener };
      thread_start (connection_run, accepted);
    }
  return NULL;
}

/** Serve each connection to ADDRESS in a thread. */
void
rg_listen (const char *address, rg_serve_fn *serve, void *arg)
{
  listener_t *listener = malloc (sizeof *listener);
  struct sockaddr_in addr;
  int on = 1;

  if (!listener)
    abort ();
  *listener = (listener_t){ socket (AF_INET, SOCK_STREAM, 0), serve, arg };
  address_parse (address, &addr);
  setsockopt (listener->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (listener->fd, (struct sockaddr *)&addr, sizeof addr) != 0
      || listen (listener->fd, BACKLOG) != 0)
    rg_unusable ("%s: %s", address, strerror (errno));
  thread_start (listener_run, listener);
}

/** Connect to ADDRESS. Returns -1 if that fails. */
int
rg_connect (const char *address)
{
  struct timeval timeout = { CLIENT_TIMEOUT_S, 0 };
  struct sockaddr_in addr;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address_parse (address, &addr);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *)&addr, sizeof addr) == 0)
    return fd;
  close (fd);
  return -1;
}

int
rg_send (int fd, const char *text, size_t len)
{
  ssize_t n;

  for (; len; text += n, len -= (size_t)n)
    {
      n = send (fd, text, len, MSG_NOSIGNAL);
      if (n <= 0)
        return 0;
    }
  return 1;
}

/* Reads a head, byte by byte. Returns 0 if the connection ends before. */
static int
head_receive (int fd, rg_message_t *out)
{
  size_t len = 0;

  out->head = malloc (HEAD_MAX);
  if (!out->head)
    abort ();
  while (len + 1 < HEAD_MAX && recv (fd, out->head + len, 1, 0) == 1)
    {
      out->head[++len] = '\0';
      if (len >= 4 && strcmp (out->head + len - 4, "\r\n\r\n") == 0)
        return 1;
    }
  return 0;
}

static int
bytes_receive (int fd, char *out, size_t len)
{
  ssize_t n;

  for (; len; out += n, len -= (size_t)n)
    {
      n = recv (fd, out, len, 0);
      if (n <= 0)
        return 0;
    }
  return 1;
}

/** Receive a message whose body, if any, has a length. Returns 0 if the
    connection ends before. */
int
rg_receive (int fd, rg_message_t *out)
{
  char length[32];

  *out = (rg_message_t){ 0 };
  if (!head_receive (fd, out))
    return 0;
  if (rg_header (out, "content-length", length, sizeof length))
    out->body_len = strtoul (length, NULL, 10);
  out->body = malloc (out->body_len + 1);
  if (!out->body)
    abort ();
  out->body[out->body_len] = '\0';
  return bytes_receive (fd, out->body, out->body_len);
}

void
rg_message_free (rg_message_t *message)
{
  free (message->head);
  free (message->body);
  *message = (rg_message_t){ 0 };
}

/** Copy the value of the header NAME. Returns 0 if there is none. */
int
rg_header (const rg_message_t *message, const char *name, char *out,
           size_t size)
{
  const char *line = message->head;
  size_t len = strlen (name);

  out[0] = '\0';
  while ((line = strstr (line, "\r\n")) && line[2] != '\r')
    {
      line += 2;
      if (strncasecmp (line, name, len) != 0 || line[len] != ':')
        continue;
      line += len + 1;
      line += strspn (line, " ");
      snprintf (out, size, "%.*s", (int)strcspn (line, "\r"), line);
      return 1;
    }
  return 0;
}

/** The status of a response. */
int
rg_status (const rg_message_t *message)
{
  const char *space = strchr (message->head, ' ');

  return space ? (int)strtol (space + 1, NULL, 10) : 0;
}

/** Send a GET request on a connection of its own. Returns the status, or 0 if
    there was no response. HEADERS are lines that end with CR and LF. */
int
rg_get (const char *address, const char *path, const char *headers)
{
  rg_message_t response = { 0 };
  char text[2048];
  int fd = rg_connect (address);
  int status = 0;
  int len;

  if (fd < 0)
    return 0;
  len = snprintf (text, sizeof text,
                  "GET %s HTTP/1.1\r\n%sConnection: close\r\n\r\n", path,
                  headers);
  if (rg_send (fd, text, (size_t)len) && head_receive (fd, &response))
    status = rg_status (&response);
  rg_message_free (&response);
  close (fd);
  return status;
}

/** Begin a test that writes to the file RECORD. */
void
rg_begin (const char *path)
{
  signal (SIGPIPE, SIG_IGN);
  alarm (RG_TIME_MAX_S);
  record = fopen (path, "w");
  if (!record)
    rg_unusable ("%s: %s", path, strerror (errno));
}

/** Have this process end when the test does. */
void
rg_die_with_parent (void)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

void
rg_record (const char *fmt, ...)
{
  va_list args;

  pthread_mutex_lock (&record_lock);
  fprintf (record, "%llu ", (unsigned long long)rg_now ());
  va_start (args, fmt);
  vfprintf (record, fmt, args);
  va_end (args);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&record_lock);
}
