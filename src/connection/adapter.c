/* Position comparison and names of codes, shared by all adapters. */
#include "adapter.h"

const char cfs_out_of_step[] = "a reply does not match its statement";

static const char *const reply_names[REPLY_CODES]
    = { "ok",           "busy",          "behind",     "not_primary",
        "wrong_target", "no_connection", "unprepared", "aborted",
        "failed",       "timeout",       "unknown",    "malformed",
        "no_database",  "no_key",        "other" };

static const char *const verb_names[]
    = { "begin", "begin_read", "commit",  "rollback", "read",
        "write", "set",        "prepare", "execute",  "deallocate",
        "reset", "status",     "pause",   "resume",   "demote" };

int
cfs_position_compare (const struct cfs_position *a,
                      const struct cfs_position *b)
{
  if (a->term != b->term)
    return a->term < b->term ? -1 : 1;
  if (a->number != b->number)
    return a->number < b->number ? -1 : 1;
  return 0;
}

const char *
cfs_reply_name (enum cfs_reply_code code)
{
  return (unsigned)code < REPLY_CODES ? reply_names[code] : "other";
}

const char *
cfs_verb_name (enum cfs_verb verb)
{
  return (unsigned)verb <= VERB_DEMOTE ? verb_names[verb] : "other";
}
