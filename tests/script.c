/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A scripted HTTP endpoint that replies with prepared bytes.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <check.h>

#include "script.h"

script_t script;
uv_loop_t loop;
net_clock_t test_clock;
net_client_t *client;

/* Read the head of a request and record it; false if the peer closed. */
static int
script_read (int fd)
{
  char buf[4096];
  size_t len = 0;
  ssize_t n;

  while (len < sizeof buf - 1 && (n = read (fd, buf + len, 1)) == 1)
    {
      len++;
      buf[len] = '\0';
      if (len > 3 && strcmp (buf + len - 4, "\r\n\r\n") == 0)
        {
          el_buf_add (&script.requests, (el_str_t){ buf, len });
          return 1;
        }
    }
  return 0;
}

static void *
script_run (void *arg)
{
  const struct linger reset = { 1, 0 };
  int fd = -1;
  size_t i;

  (void)arg;
  for (i = 0; i < script.n; i++)
    {
      const answer_t *answer = &script.answers[i];

      while (fd < 0 || !script_read (fd))
        {
          if (fd >= 0)
            close (fd);
          fd = accept (script.listener, NULL, NULL);
          if (fd < 0)
            return NULL;
          script.connections++;
        }
      if (answer->after_answer == RESET)
        setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      if (write (fd, answer->bytes, strlen (answer->bytes)) < 0)
        return NULL;
      if (answer->after_answer == KEEP_ALIVE)
        continue;
      close (fd);
      fd = -1;
    }
  if (fd >= 0)
    close (fd);
  return NULL;
}

/** Start the endpoint on a thread of its own; its address is in
    script.address. */
void
script_start (const answer_t *answers, size_t n)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof addr;

  script.answers = answers;
  script.n = n;
  script.connections = 0;
  el_buf_reset (&script.requests);
  script.listener = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (
      bind (script.listener, (struct sockaddr *)&addr, sizeof addr), 0);
  ck_assert_int_eq (listen (script.listener, 16), 0);
  getsockname (script.listener, (struct sockaddr *)&addr, &len);
  snprintf (script.address, sizeof script.address, "127.0.0.1:%u",
            ntohs (addr.sin_port));
  ck_assert_int_eq (pthread_create (&script.thread, NULL, script_run, NULL),
                    0);
}

/** Open the loop, clock and client of a test. */
void
loop_setup (void)
{
  signal (SIGPIPE, SIG_IGN);
  uv_loop_init (&loop);
  net_clock_init (&test_clock, &loop);
  client = net_client_new (&test_clock);
}

static void
on_timer (void *arg, el_time_t now)
{
  (void)now;
  *(int *)arg = 1;
}

/** Run the loop for a given time. */
void
loop_run_for (el_time_t span)
{
  int over = 0;
  el_timer_t timer = { .cb = on_timer, .arg = &over };

  net_clock_set (&test_clock, &timer, span);
  while (!over)
    uv_run (&loop, UV_RUN_ONCE);
}
