/*
 * The batch ledger: a job runs in at most one place at a time, it is resumed
 * once after an eviction, and work that must not run twice is run again only if
 * the earlier attempt did not run or was stopped at a checkpoint.
 *
 * Two entries compete for one shard that holds one job. Either may pause at any
 * point, which the model expresses by the entry taking no step. A write in
 * flight reaches the store at any time, is applied if its comparisons still
 * hold, and its answer may be lost; the entry then re-reads. Entry e places
 * only on its own worker, so (attempt, entry) identifies a placement. Starts,
 * heartbeats and acknowledgements may be delayed arbitrarily.
 * A host stops its task RECLAIM ticks after it sent the heartbeat that the
 * holder acknowledged last; the permit's issue counts as the first heartbeat.
 * An entry has at most one write in flight. Because of that, the comparison of
 * the shard's revision is a redundant guard, and the model cannot detect its
 * removal. The stored content only advances, so it stands for its revision.
 *
 * Broken variants, each of which must fail:
 *   NO_HOLDER_COMPARE    a write does not compare the holder key
 *   NO_TAKEOVER_WAIT     a new holder does not wait before it places again
 *   TAKEOVER_FROM_ASK    the wait counts from requesting the holder key
 *   ACK_FROM_RECEIPT     an acknowledgement counts from its receipt
 *   START_FROM_RECEIPT   the first period counts from the start's receipt
 *   NO_LEASE_CHECK       a holder acknowledges without checking its lease
 *   WAIT_IGNORES_PLACEMENT  a placement does not restart the wait
 *   NEW_LEASE_KEEPS_KEY  an entry with a new store lease trusts its old key
 *   START_BEFORE_COMMIT  the start is sent before the placement is committed
 *   ASSUME_SUCCESS       a lost answer is treated as success
 *   RECORD_BEFORE_STOP   an eviction is recorded before the task has stopped
 *   RERUN_UNKNOWN        non-repeatable work runs again after a mere lapse
 */

#define LEASE 2   /* ticks of an entry's store lease */
#define PERMIT 2  /* ticks for which a start is admitted */
#define RECLAIM 2 /* ticks from the last acknowledged heartbeat to the stop */

#define ENTRIES 2
#define SLOTS 4 /* placements: attempt * ENTRIES + entry, attempts from 0 */
#define NONE 9

/* An entry's view of its holder key, which is stale once its lease lapsed. */
#define NO_KEY 0
#define CURRENT 1
#define STALE 2

/* Content of the shard: the step that the job has reached. */
#define WAITING_1 0
#define PLACED_1 1 /* + entry */
#define WAITING_2 3
#define PLACED_2 4 /* + entry */
#define ENDED 6    /* finished, parked, or out of attempts */
#define IS_PLACED(c) (c == 1 || c == 2 || c == 4 || c == 5)
#define SLOT(c) (c <= 2 -> c - 1 : c - 2)

/* A host's state of a placement. */
#define IDLE 0
#define RUNNING 1
#define EVICTED 2 /* stopped at a checkpoint */
#define FINISHED 3
#define LAPSED 4  /* stopped because its lease ran out */
#define REFUSED 5 /* was not started and will never be */

/* The store. */
byte content = WAITING_1;
byte holder;               /* entry 0 at first */
byte lease[ENTRIES];       /* ticks left; an entry's own count is never longer,
                            * and an equal one is the worst case */

/* The entries. */
byte own_key[ENTRIES];
byte claimed_key[ENTRIES]; /* the key in an answer that is in flight */
byte view[ENTRIES];        /* content as last read */
byte wait_ticks[ENTRIES];  /* since takeover, placement, start or ack */
bool writing[ENTRIES];     /* a write is in flight */
byte write_base[ENTRIES];
byte write_to[ENTRIES];
byte write_key[ENTRIES];

/* The hosts, by placement. */
byte state[SLOTS];
byte age[SLOTS]; /* ticks since permit issue or acknowledged heartbeat */
bool start_sent[SLOTS];
bool ack_in_flight[SLOTS];
byte heartbeat_age[SLOTS]; /* ticks since the heartbeat being answered */

bool repeatable; /* whether the job may be run twice */

#ifdef NO_HOLDER_COMPARE
#define IS_HOLDER(e) true
#else
#define IS_HOLDER(e) (write_key[e] == CURRENT)
#endif
#define UNCHANGED(e) (content == write_base[e])
#ifdef NO_TAKEOVER_WAIT
#define TAKEOVER_WAIT_START RECLAIM
#else
#define TAKEOVER_WAIT_START 0
#endif
#ifdef NO_LEASE_CHECK
#define LEASE_HELD(e) true
#else
#define LEASE_HELD(e) (lease[e] > 0)
#endif
#ifdef ACK_FROM_RECEIPT
#define ACCEPTS_LATE_ACK true
#else
#define ACCEPTS_LATE_ACK false
#endif
#ifdef RERUN_UNKNOWN
#define MAY_RERUN true
#else
#define MAY_RERUN repeatable
#endif

inline host_ticks()
{
    i = 0;
    do
    :: i < SLOTS ->
        if
        :: state[i] == RUNNING ->
            age[i]++;
            if
            :: age[i] >= RECLAIM ->
                state[i] = LAPSED;
                age[i] = 0;
                heartbeat_age[i] = 0;
                ack_in_flight[i] = false
            :: else ->
                if
                :: ack_in_flight[i] ->
                    heartbeat_age[i]++;
                    if
                    :: heartbeat_age[i] >= RECLAIM && !ACCEPTS_LATE_ACK ->
                        ack_in_flight[i] = false;
                        heartbeat_age[i] = 0
                    :: else
                    fi
                :: else
                fi
            fi
        :: state[i] == IDLE && age[i] < PERMIT -> age[i]++
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0
}

inline entry_ticks()
{
    i = 0;
    do
    :: i < ENTRIES ->
        if
        :: lease[i] > 0 ->
            lease[i]--;
            if
            :: lease[i] == 0 && holder == i ->
                holder = NONE;
                if
                :: own_key[i] == CURRENT -> own_key[i] = STALE
                :: else
                fi;
                if
                :: claimed_key[i] == CURRENT -> claimed_key[i] = STALE
                :: else
                fi;
                if
                :: write_key[i] == CURRENT -> write_key[i] = STALE
                :: else
                fi
            :: else
            fi
        :: else
        fi;
        if
        :: wait_ticks[i] < RECLAIM -> wait_ticks[i]++
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0
}

/* Sends a write that moves the job to the step `to`. */
inline write(to)
{
    writing[e] = true;
    write_base[e] = view[e];
    write_to[e] = to;
    write_key[e] = own_key[e]
}

inline end_host(how)
{
    state[s] = how;
    age[s] = 0;
    heartbeat_age[s] = 0;
    ack_in_flight[s] = false
}

/* The safety properties, checked when a task starts. */
inline check_start()
{
    i = 0;
    do
    :: i < SLOTS ->
        if
        :: i != s ->
            assert(state[i] != RUNNING);
            assert(repeatable || state[i] != FINISHED);
            assert(repeatable || state[i] != LAPSED);
            assert(i / ENTRIES != s / ENTRIES || state[i] == IDLE ||
                   state[i] == REFUSED)
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0
}

active proctype system()
{
    byte e;
    byte s;
    byte i;

#ifdef REPEATABLE
    repeatable = true;
#else
    if
    :: repeatable = true
    :: repeatable = false
    fi;
#endif
    lease[0] = LEASE;
    own_key[0] = CURRENT;
    age[0] = PERMIT;
    age[1] = PERMIT;
    age[2] = PERMIT;
    age[3] = PERMIT;

end:
    do
    /* Time passes for all processes. */
    :: d_step { host_ticks(); entry_ticks() }

    /* An entry renews its store lease, or gets a new one and drops its key. */
    :: atomic {
        select (e : 0 .. ENTRIES - 1);
        if
        :: lease[e] > 0 ->
            lease[e] = LEASE
        :: else ->
            lease[e] = LEASE;
#ifndef NEW_LEASE_KEEPS_KEY
            claimed_key[e] = NO_KEY;
            own_key[e] = NO_KEY;
            view[e] = 0;
#endif
            wait_ticks[e] = 0
        fi;
        e = 0
    }

#ifdef TAKEOVER_FROM_ASK
    /* An entry requests the holder key. */
    :: atomic {
        select (e : 0 .. ENTRIES - 1);
        if
        :: own_key[e] == NO_KEY && claimed_key[e] == NO_KEY -> wait_ticks[e] = 0
        :: else
        fi;
        e = 0
    }
#endif

    /* The store grants a request for the holder key; it may have been sent at
     * any earlier time. */
    :: atomic {
        select (e : 0 .. ENTRIES - 1);
        if
        :: holder == NONE && lease[e] > 0 && own_key[e] == NO_KEY ->
            holder = e;
            claimed_key[e] = CURRENT
        :: else
        fi;
        e = 0
    }

    /* The entry learns that it holds the shard, and reads it. */
    :: atomic {
        select (e : 0 .. ENTRIES - 1);
        if
        :: claimed_key[e] != NO_KEY ->
            own_key[e] = claimed_key[e];
            claimed_key[e] = NO_KEY;
            view[e] = content;
#ifndef TAKEOVER_FROM_ASK
            wait_ticks[e] = TAKEOVER_WAIT_START
#endif
        :: else
        fi;
        e = 0
    }

    /* An entry reads the shard, for example after a lost answer. */
    :: atomic {
        select (e : 0 .. ENTRIES - 1);
        if
        :: own_key[e] != NO_KEY -> view[e] = content
        :: else
        fi;
        e = 0
    }

    /* A holder places the next attempt, under a permit issued now. */
    :: atomic {
        select (e : 0 .. ENTRIES - 1);
        if
        :: own_key[e] != NO_KEY && !writing[e] &&
           (view[e] == WAITING_1 || view[e] == WAITING_2) ->
            write(view[e] + 1 + e);
#ifndef WAIT_IGNORES_PLACEMENT
            wait_ticks[e] = 0;
#endif
            s = SLOT(write_to[e]);
            if
            :: state[s] == IDLE && !start_sent[s] && content == view[e] ->
                age[s] = 0 /* else the write fails and its permit is unused */
            :: else
            fi;
#ifdef START_BEFORE_COMMIT
            start_sent[s] = true;
            wait_ticks[e] = 0;
#endif
            s = 0
        :: else
        fi;
        e = 0
    }

    /* A write reaches the store, or is lost on the way. */
    :: atomic {
        select (e : 0 .. ENTRIES - 1);
        if
        :: writing[e] ->
            if
            :: IS_HOLDER(e) && UNCHANGED(e) -> content = write_to[e]
            :: true
            fi;
#ifdef ASSUME_SUCCESS
            view[e] = write_to[e];
#endif
            writing[e] = false;
            write_base[e] = 0;
            write_key[e] = NO_KEY;
            write_to[e] = 0
        :: else
        fi;
        e = 0
    }

    /* The entry sends the start once it has read its committed placement. */
    :: atomic {
        select (e : 0 .. ENTRIES - 1);
        if
        :: (view[e] == PLACED_1 + e || view[e] == PLACED_2 + e) ->
            s = SLOT(view[e]);
            if
            :: state[s] == IDLE && !start_sent[s] ->
                start_sent[s] = true;
                wait_ticks[e] = 0
            :: else
            fi;
            s = 0
        :: else
        fi;
        e = 0
    }

    /* A start reaches its host. */
    :: atomic {
        select (s : 0 .. SLOTS - 1);
        if
        :: start_sent[s] && state[s] == IDLE && age[s] < PERMIT ->
            check_start();
            state[s] = RUNNING;
            start_sent[s] = false;
#ifdef START_FROM_RECEIPT
            age[s] = 0
#endif
        :: else
        fi;
        s = 0
    }

    /* A host finds that the permit has expired unused. */
    :: atomic {
        select (s : 0 .. SLOTS - 1);
        if
        :: state[s] == IDLE && age[s] >= PERMIT && IS_PLACED(content) &&
           SLOT(content) == s ->
            state[s] = REFUSED;
            start_sent[s] = false;
            age[s] = 0
        :: else
        fi;
        s = 0
    }

    /* A task finishes, or stops at a checkpoint on request. */
    :: atomic {
        select (s : 0 .. SLOTS - 1);
        if
        :: state[s] == RUNNING -> end_host(FINISHED)
        :: state[s] == RUNNING -> end_host(EVICTED)
        :: else
        fi;
        s = 0
    }

    /* A holder acknowledges a heartbeat of the attempt that it sees as placed;
     * the worst case is a heartbeat that arrived without delay. */
    :: atomic {
        select (e : 0 .. ENTRIES - 1);
        if
        :: own_key[e] != NO_KEY && LEASE_HELD(e) && IS_PLACED(view[e]) ->
            s = SLOT(view[e]);
            if
            :: state[s] == RUNNING && !ack_in_flight[s] ->
                ack_in_flight[s] = true;
                heartbeat_age[s] = 0;
                wait_ticks[e] = 0
            :: else
            fi;
            s = 0
        :: else
        fi;
        e = 0
    }

    /* An acknowledgement reaches the host. */
    :: atomic {
        select (s : 0 .. SLOTS - 1);
        if
        :: ack_in_flight[s] ->
#ifdef ACK_FROM_RECEIPT
            age[s] = 0;
#else
            if
            :: heartbeat_age[s] < age[s] -> age[s] = heartbeat_age[s]
            :: else
            fi;
#endif
            ack_in_flight[s] = false;
            heartbeat_age[s] = 0
        :: else
        fi;
        s = 0
    }

    /* A holder learns that an attempt has ended and records it. */
    :: atomic {
        select (e : 0 .. ENTRIES - 1);
        if
        :: own_key[e] != NO_KEY && !writing[e] && IS_PLACED(view[e]) ->
            s = SLOT(view[e]);
            if
            :: state[s] == FINISHED -> write(ENDED)
            :: (state[s] == EVICTED || state[s] == REFUSED) && s < ENTRIES ->
                write(WAITING_2)
            :: (state[s] == LAPSED || wait_ticks[e] >= RECLAIM) &&
               s < ENTRIES && MAY_RERUN ->
                write(WAITING_2)
            :: (state[s] == LAPSED || wait_ticks[e] >= RECLAIM) && !MAY_RERUN ->
                write(ENDED)
#ifdef RECORD_BEFORE_STOP
            :: state[s] == RUNNING && s < ENTRIES -> write(WAITING_2)
#endif
            :: else
            fi;
            s = 0
        :: else
        fi;
        e = 0
    }
    od
}
