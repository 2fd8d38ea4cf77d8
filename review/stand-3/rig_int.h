/**
 * DOC: Declarations shared by the parts of the stand-ins: rig.c (hosts,
 * requesters, operator), instance.c (database instances, platform).
 */
#ifndef RIG_INT_H
#define RIG_INT_H

#include "rig.h"

#include <pthread.h>

#define PORT_INSTANCE 8341
#define PORT_PLATFORM 8466
#define ADDRESS_CORE 11
#define ADDRESS_FRONT 21
#define ADDRESS_INSTANCE 31
#define ADDRESS_PLATFORM 51
#define ADDRESS_CLAIM 61

/* Guards the instances, their log and the counts of requests. */
extern pthread_mutex_t lock;
/* The log or an instance has changed. */
extern pthread_cond_t changed;

int64_t unix_ms (void);
/** address_of() - "127.S.0.LAST"; valid for the next three calls */
const char *address_of (unsigned last);
/** listen_at() - Return: a socket, or -1 */
int listen_at (const char *address, unsigned port);
int connect_to (const char *address, unsigned port, int timeout_ms);
void start_thread (void *(*run) (void *), void *arg);
/** control_call() - calls the control address of a core host and follows
 * redirects.  Return: the status, 0 without a response. */
int control_call (unsigned first, const char *method, const char *path,
                  const char *body);
/** instances_begin() - starts three instances and the platform */
void instances_begin (void);
/** note_acknowledged() - a requester was told that a write is committed */
void note_acknowledged (const char *id);
const char *rig_folder (void);

#endif
