/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The operator: writes the configuration and revokes keys of customers.
 */
#include <stdio.h>

#include "soak.h"

/** The text of a key, which differs for each generation. */
void
sk_key_text (unsigned key, unsigned generation, char *out, size_t size)
{
  snprintf (out, size, "key-%u-%u", key, generation);
}

/** Write a new version of the configuration. Returns whether the store
   accepted it. */
int
sk_config_write (sk_cluster_t *cluster)
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

  el_buf_printf (&body, head, ++cluster->config_version);
  for (k = 0; k < SK_KEYS; k++)
    {
      sk_key_text (k, cluster->key_generations[k], key, sizeof key);
      el_buf_printf (&body,
                     "%s{\"Name\":\"customer-%u\",\"ApiKeys\":[\"%s\"]}",
                     k ? "," : "", k, key);
    }
  el_buf_printf (&body, "]}");
  status = sk_http ("PUT", cluster->store.address, "/test/op/config", body.ptr,
                    NULL);
  el_buf_free (&body);
  return status == 200;
}

/** Revoke a key and give its customer a new one. */
void
sk_key_revoke (sk_cluster_t *cluster, unsigned key)
{
  int accepted;

  __atomic_store_n (&cluster->keys_revoked_at[key], 0, __ATOMIC_RELAXED);
  __atomic_add_fetch (&cluster->key_generations[key], 1, __ATOMIC_RELAXED);
  accepted = sk_config_write (cluster);
  __atomic_store_n (&cluster->keys_revoked_at[key], accepted ? sk_now () : 0,
                    __ATOMIC_RELAXED);
}
