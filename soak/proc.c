/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Starts, pauses, stops and supervises one process of a run.
 */
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak.h"

extern char **environ;

/** Start PROC with ARGS, the first of which names the program. Its output is
    appended to the log file LOG. */
void
sk_proc_start (const sk_cluster_t *cluster, sk_proc_t *proc, const char *log,
               const char **args)
{
  posix_spawn_file_actions_t actions;
  char path[512];
  char file[512];

  snprintf (path, sizeof path, "%s/%s", cluster->bin, args[0]);
  snprintf (file, sizeof file, "%s/%s.log", cluster->dir, log);
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, STDOUT_FILENO, file,
                                    O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2 (&actions, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn (&proc->pid, path, &actions, NULL,
                   (char *const *)(uintptr_t)args, environ))
    abort ();
  posix_spawn_file_actions_destroy (&actions);
  proc->starts++;
  proc->stopping = 0;
  proc->paused = 0;
  proc->restart_at = 0;
}

/** Send a signal to a process if it is running. */
void
sk_proc_signal (sk_proc_t *proc, int number)
{
  if (proc->pid)
    kill (proc->pid, number);
}

/** Kill a process and wait for its exit. */
void
sk_proc_kill (sk_proc_t *proc)
{
  if (!proc->pid)
    return;
  proc->stopping = 1;
  kill (proc->pid, SIGKILL);
  waitpid (proc->pid, NULL, 0);
  proc->pid = 0;
}

/** Suspend a process, or resume it. */
void
sk_proc_pause (sk_proc_t *proc, int on)
{
  proc->paused = on;
  sk_proc_signal (proc, on ? SIGSTOP : SIGCONT);
}

/** Check whether a process has exited. Reports a violation unless it was told
   to stop and its status is 0, and schedules a restart. WHAT and I name it. */
void
sk_proc_reap (sk_proc_t *proc, const char *what, unsigned i)
{
  int status;

  if (!proc->pid || waitpid (proc->pid, &status, WNOHANG) != proc->pid)
    return;
  proc->pid = 0;
  if (!proc->stopping)
    sk_violation ("exit", "-", "%s %u exited unexpectedly, wait status %x",
                  what, i, (unsigned)status);
  else if (!WIFEXITED (status) || WEXITSTATUS (status))
    sk_violation ("exit", "-", "%s %u did not exit cleanly, wait status %x",
                  what, i, (unsigned)status);
  proc->restart_at = sk_now () + 1;
}
