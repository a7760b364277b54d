/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/*
 * Messages between entry hosts. The committed peer.h and peer_xdr.c are made
 * from this file by "make proto".
 */
const PEER_MAC = 32;
const PEER_BODY_MAX = 9437184;
const PEER_TEXT_MAX = 8192;
const PEER_NAME_MAX = 512;
const PEER_HEADERS_MAX = 100;
const PEER_INCARNATION = 16;
const PEER_ADDRESS_MAX = 64;
const PEER_NEWS_MAX = 16;
const PEER_SPEC_MAX = 1048576;
const PEER_CHANGES_MAX = 65536;
const PEER_TOKENS_MAX = 262144;
const PEER_ENTRIES_MAX = 4096;
const PEER_SESSIONS_MAX = 4096;
const PEER_MEMBERS_MAX = 4096;
const PEER_ENGINES_MAX = 4096;
const PEER_RUMOR_MAX = 1000;
const PEER_RUMORS_MAX = 4096;

/* Every call and result travels sealed: an XDR body and its code. */
struct peer_sealed {
  opaque mac[PEER_MAC];
  opaque body<PEER_BODY_MAX>;
};

struct peer_member {
  opaque incarnation[PEER_INCARNATION];
  opaque peer<PEER_ADDRESS_MAX>;
  opaque http<PEER_ADDRESS_MAX>;
  opaque hall<PEER_ADDRESS_MAX>;
  unsigned hyper capacity;
  unsigned hyper counter;
  unsigned hyper revision;
  opaque successor[PEER_INCARNATION];
  int state;
  int offer;
};

/* How a member is, for those that know it already. */
struct peer_member_change {
  opaque incarnation[PEER_INCARNATION];
  unsigned hyper counter;
  int state;
  int offer;
};

struct peer_leaving {
  unsigned hyper id;
  opaque endpoint<PEER_ADDRESS_MAX>;
};

/* A probe, and its answer; in datagrams. */
struct peer_gossip {
  peer_member self;
  unsigned hyper digest;
  peer_member members<PEER_NEWS_MAX>;
  peer_member_change changes<PEER_NEWS_MAX>;
  peer_leaving leaving<PEER_NEWS_MAX>;
  unsigned hyper rumors; /* names the set that the sender knows */
};

/* A fact that all hosts should know soon, told first AGE_US ago. */
struct peer_rumor {
  unsigned hyper id;
  unsigned hyper age_us;
  unsigned hyper left_us;
  opaque body<PEER_RUMOR_MAX>;
};

/* Passes rumors on, or asks for all that the other host knows. */
struct peer_rumors {
  bool ask;
  peer_rumor rumors<PEER_RUMORS_MAX>;
};

/* Asks to probe another host and to hand its answer on. */
struct peer_relay {
  opaque target<PEER_ADDRESS_MAX>;
  peer_gossip gossip;
};

/* A host that has just started or missed news asks for all members that
   another one knows: the live ones whole, the others as changes. */
struct peer_members {
  peer_member members<PEER_MEMBERS_MAX>;
  peer_member_change changes<PEER_MEMBERS_MAX>;
};

/* Asks for the changes of configuration after a revision. */
struct peer_fetch_args {
  unsigned hyper after;
};

struct peer_change {
  unsigned hyper revision;
  opaque kind<PEER_ADDRESS_MAX>;
  opaque name<PEER_ADDRESS_MAX>;
  opaque spec<PEER_SPEC_MAX>;
};

struct peer_fetch_res {
  bool ready;
  bool whole;
  unsigned hyper revision;
  peer_change changes<PEER_CHANGES_MAX>;
};

struct peer_header {
  opaque name<PEER_NAME_MAX>;
  opaque value<PEER_TEXT_MAX>;
};

struct peer_forward_args {
  opaque token<PEER_NAME_MAX>;
  unsigned hyper sequence;
  unsigned hyper digest;
  unsigned hyper deadline_us;
  bool repeatable;
  unsigned hops;
  opaque target<PEER_NAME_MAX>;
  opaque method<PEER_NAME_MAX>;
  opaque path<PEER_TEXT_MAX>;
  peer_header headers<PEER_HEADERS_MAX>;
  opaque body<PEER_BODY_MAX>;
};

struct peer_forward_res {
  int verdict;
  int status;
  unsigned hyper retry_after_ms;
  peer_header headers<PEER_HEADERS_MAX>;
  opaque body<PEER_BODY_MAX>;
};

/* The answer to a request of a session that is handed over. */
struct peer_token {
  unsigned hyper id;
  unsigned hyper len;
};

struct peer_answer {
  bool chat;
  int verdict;
  int reason;
  unsigned hyper stream;
  unsigned hyper base;
  int status;
  opaque target<PEER_NAME_MAX>;
  peer_token tokens<PEER_TOKENS_MAX>;
  opaque text<PEER_BODY_MAX>;
  peer_header headers<PEER_HEADERS_MAX>;
  opaque body<PEER_BODY_MAX>;
};

struct peer_entry {
  unsigned hyper sequence;
  unsigned hyper digest;
  peer_answer *answer; /* none while it runs */
};

struct peer_session {
  opaque home[PEER_INCARNATION];
  unsigned hyper id;
  unsigned hyper floor;
  opaque customer<PEER_ADDRESS_MAX>;
  peer_entry entries<PEER_ENTRIES_MAX>;
};

struct peer_handover_args {
  peer_session sessions<PEER_SESSIONS_MAX>;
};

/* For each session whether it was taken over. */
struct peer_handover_res {
  bool taken<PEER_SESSIONS_MAX>;
};

/* Asks a host for what it has seen of the store after a revision of an epoch;
   answered when it knows something newer, or has heard of its hall's engines.
   KNOWN_AGO: microseconds since the moment as of which the asker knows all. */
struct peer_news_args {
  unsigned hyper epoch;
  unsigned hyper after;
  unsigned hyper known_ago;
};

struct peer_item {
  unsigned hyper revision;
  bool gone;
  opaque key<PEER_NAME_MAX>;
  opaque value<PEER_SPEC_MAX>;
};

/* How an engine does, as the host that tells it was told AGE_MS ago. */
struct peer_engine {
  opaque id<PEER_NAME_MAX>;
  unsigned hyper born;
  unsigned int fill_permille;
  unsigned int pace_percent;
  unsigned int taken_permille;
  unsigned int age_ms;
  bool silent;
};

/* KNOWN_AFTER: microseconds from the question's arrival to the moment as of
   which all is told; negative when that lies before. */
struct peer_news_res {
  bool ready;
  bool whole;
  unsigned hyper epoch;
  unsigned hyper revision;
  hyper known_after;
  peer_item items<PEER_CHANGES_MAX>;
  peer_engine engines<PEER_ENGINES_MAX>;
};

program ELMARCH_PEER {
  version ELMARCH_PEER_V1 {
    peer_sealed PEER_GOSSIP (peer_sealed) = 1;
    peer_sealed PEER_FORWARD (peer_sealed) = 2;
    peer_sealed PEER_RELAY (peer_sealed) = 3;
    peer_sealed PEER_FETCH (peer_sealed) = 4;
    peer_sealed PEER_HANDOVER (peer_sealed) = 5;
    peer_sealed PEER_NEWS (peer_sealed) = 6;
    peer_sealed PEER_MEMBERS (peer_sealed) = 7;
    peer_sealed PEER_RUMORS (peer_sealed) = 8;
  } = 1;
} = 0x20656c6d;
